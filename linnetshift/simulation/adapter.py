"""Adapter between the simulator's wire and the routing decisions.

Reads batches of events from standard input and writes one reply of actions for each to standard output, until
the input ends. Each instance is a separate `Balancer` that shares nothing with others. The only clock is that
of the batches.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import BinaryIO

from linnetshift.routing.actions import Action
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import Event
from linnetshift.routing.settings import Settings
from linnetshift.routing.settings_reader import SettingsError
from linnetshift.simulation.batch_decoder import decode_batch, frame_size
from linnetshift.simulation.reply_encoder import encode_reply
from linnetshift.simulation.wire import LENGTH_BYTES, Create, Halt, InstanceFault, WireError, WireEvent


class InstanceTable:
    """The instances of this process by their numbers in the simulator."""

    def __init__(self) -> None:
        """Start empty; batches create the instances."""
        self._instances: dict[int, Balancer] = {}

    def run_batch(self, frame: bytes) -> bytes:
        """Process one batch and return the reply; an exception becomes a fault of its instance.

        Raises WireError if the frame is malformed.
        """
        now_ns, instance_events = decode_batch(frame)
        replies: list[tuple[int, list[Action]]] = []
        for number, events in instance_events:
            try:
                actions = self._run_instance(number, now_ns, events)
            except Exception as error:  # noqa: BLE001
                # Faults are contained here: for any exception the reply tells the simulator which instance
                # failed and why.
                fault = InstanceFault(number, f"{type(error).__name__}: {error}")
                return encode_reply(replies, fault)
            replies.append((number, actions))
        return encode_reply(replies)

    def _run_instance(self, number: int, now_ns: int, events: Iterable[WireEvent]) -> list[Action]:
        """Pass an instance its events in one step; events for an instance that is not running are ignored."""
        queued: list[Event] = []
        for event in events:
            if isinstance(event, Create | Halt):
                self._stop(number, now_ns, queued)
                queued = []
                if isinstance(event, Create):
                    self._instances[number] = create_balancer(event)
            elif number in self._instances:
                queued.append(event)
        if queued:
            return self._instances[number].step(now_ns, queued)
        return []

    def _stop(self, number: int, now_ns: int, last_events: list[Event]) -> None:
        """Process the last events of a running instance, discard the actions, and remove it."""
        balancer = self._instances.get(number)
        if balancer is not None:
            balancer.step(now_ns, last_events)
            del self._instances[number]


def create_balancer(event: Create) -> Balancer:
    """Create an instance without state; raises SettingsError, which names the key, for invalid settings."""
    try:
        raw = json.loads(event.settings)
    except ValueError as error:
        raise SettingsError(f"settings are not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise SettingsError("settings are not a JSON object")
    return Balancer(Settings.parse(raw), event.seed)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Write one reply to `sink`, flushed, for each batch from `source`, until `source` ends.

    Raises WireError if the input ends inside a frame or is otherwise malformed.
    """
    instances = InstanceTable()
    while header := source.read(LENGTH_BYTES):
        if len(header) < LENGTH_BYTES:
            raise WireError("input ends inside a frame's length")
        size = frame_size(header)
        body = source.read(size - LENGTH_BYTES)
        if len(body) < size - LENGTH_BYTES:
            raise WireError("input ends inside a frame")
        sink.write(instances.run_batch(header + body))
        sink.flush()


def main() -> int:
    """Serve standard input and output; returns exit status 1 after malformed input or a closed output."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"linnetshift: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0
