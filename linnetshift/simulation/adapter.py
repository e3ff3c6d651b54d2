"""Adapter between the bench's wire and the decision module.

Reads batches from standard input and writes one reply for each to standard output. Each
instance is a `Balancer` of its own; nothing is shared between them.
"""

from __future__ import annotations

import json
import sys
from typing import BinaryIO

from linnetshift.routing.actions import Action
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import Event
from linnetshift.routing.settings import Settings
from linnetshift.routing.settings_reader import SettingsError
from linnetshift.simulation import codec


def create(event: codec.Create) -> Balancer:
    try:
        raw = json.loads(event.settings)
    except ValueError as error:
        raise SettingsError(f"settings are not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise SettingsError("settings are not a JSON object")
    return Balancer(Settings.parse(raw), event.salt)


def run_batch(nodes: dict[int, Balancer], frame: bytes) -> bytes:
    """Decide one batch; an exception in the module becomes a fault of its instance."""
    now, groups = codec.decode_batch(frame)
    replies: list[tuple[int, list[Action]]] = []
    for number, events in groups:
        try:
            replies.append((number, run_instance(nodes, number, now, events)))
        except Exception as error:
            return codec.encode_reply(replies, (number, f"{type(error).__name__}: {error}"))
    return codec.encode_reply(replies)


def run_instance(
    nodes: dict[int, Balancer], number: int, now: int, events: list[codec.WireEvent]
) -> list[Action]:
    actions: list[Action] = []
    pending: list[Event] = []
    for event in events:
        if isinstance(event, codec.Create | codec.Halt):
            if number in nodes:
                nodes[number].step(now, pending)  # its answers die with it
            pending = []
            nodes.pop(number, None)
            if isinstance(event, codec.Create):
                nodes[number] = create(event)
        elif number in nodes:
            pending.append(event)
    if pending and number in nodes:
        actions = nodes[number].step(now, pending)
    return actions


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    nodes: dict[int, Balancer] = {}
    while header := source.read(4):
        if len(header) < 4:
            raise codec.WireError("input ends inside a frame's length")
        size = codec.frame_size(header)
        body = source.read(size - 4)
        if len(body) < size - 4:
            raise codec.WireError("input ends inside a frame")
        sink.write(run_batch(nodes, header + body))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except codec.WireError as error:
        print(f"linnetshift: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0
