"""Codec of the simulator's wire, written from its protocol description: frames, events and actions."""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator, Sequence
from enum import IntEnum
from typing import Any, NamedTuple

from rig.decision_recordings.model import Endpoint, Outcome, Request

_FRAME = struct.Struct(">IIQ")
_ENTRY = struct.Struct(">6sHHHBfQ")
_LENGTH_BYTES = 4
_ACTION_SELECT_INSTANCE = 13
_ACTION_SEND_PEER_MESSAGE = 7
_ACTION_LOG = 8
_ACTION_FAULT = 9


class ListForm(IntEnum):
    """Form of a list of endpoints, by its code."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class NoteKind(IntEnum):
    """Kind of a note about an established connection, by its code."""

    LOAD = 1
    MESSAGE_TIME = 2


class Action(NamedTuple):
    """One action of a reply: its instance, name, and fields in wire order."""

    instance: int
    name: str
    fields: tuple[Any, ...]


def frame(clock_ns: int, records: Sequence[bytes]) -> bytes:
    """Encode a batch of encoded records as a frame."""
    body = b"".join(records)
    return _FRAME.pack(_FRAME.size + len(body), len(records), clock_ns) + body


def frames(stream: bytes) -> Iterator[bytes]:
    """Split recorded bytes into frames, which start with their length."""
    offset = 0
    while offset < len(stream):
        size = max(_LENGTH_BYTES, int.from_bytes(stream[offset : offset + _LENGTH_BYTES], "big"))
        yield stream[offset : offset + size]
        offset += size


def select_instance(instance: int) -> bytes:
    """Select the instance of the following events of the frame."""
    return struct.pack(">BI", 12, instance)


def create(seed: int, settings: dict[str, Any]) -> bytes:
    """Start of an instance with the seed of its random numbers and its settings."""
    text = json.dumps(settings, sort_keys=True).encode()
    return struct.pack(">BQI", 0, seed, len(text)) + text


def stop() -> bytes:
    """Kill of an instance, which loses its state."""
    return b"\x09"


def endpoint_list(form: ListForm, version: int, entries: Sequence[bytes] = ()) -> bytes:
    """An endpoint list or its changes; `entries` are encoded by `list_entry`."""
    return struct.pack(">BBQI", 1, form, version, len(entries)) + b"".join(entries)


def new_request(request: Request) -> bytes:
    """A new request of a client."""
    return struct.pack(
        ">BIQQBQHIQ",
        2,
        request.id,
        request.group,
        request.load_hint,
        request.service,
        request.key,
        request.flags,
        request.tenant,
        request.budget_ns,
    )


def adopted_connection(request: Request, address: bytes) -> bytes:
    """A connection that was open when the instance started."""
    return struct.pack(
        ">BIQQQHQ6sIB",
        10,
        request.id,
        request.budget_ns,
        request.load_hint,
        request.key,
        request.flags,
        request.group,
        address,
        request.tenant,
        request.service,
    )


def connection_established(request_id: int, elapsed_ns: int, attempt: int, address: bytes) -> bytes:
    """An attempt's connection is established, `elapsed_ns` after the send."""
    return struct.pack(">BIQB6s", 3, request_id, elapsed_ns, attempt, address)


def attempt_ended(
    request_id: int,
    address: bytes,
    is_closed: bool,
    attempt: int,
    elapsed_ns: int,
    outcome: Outcome,
    report: Sequence[float] = (),
) -> bytes:
    """End of an attempt; `is_closed`: its request has ended, `report`: values of the report's columns."""
    head = struct.pack(
        ">BI6sBBQHB", 4, request_id, address, is_closed, attempt, elapsed_ns, outcome, len(report)
    )
    return head + struct.pack(f">{len(report)}f", *report)


def request_withdrawn(request_id: int) -> bytes:
    """The client of a request has disconnected."""
    return struct.pack(">BI", 5, request_id)


def timer_fired(token: int) -> bytes:
    """A timer of the instance has expired."""
    return struct.pack(">BI", 6, token)


def health_check_result(
    outcome: Outcome, elapsed_ns: int, address: bytes, report: Sequence[float] = ()
) -> bytes:
    """Result of a health check, `elapsed_ns` after the send."""
    head = struct.pack(">BHQ6sB", 7, outcome, elapsed_ns, address, len(report))
    return head + struct.pack(f">{len(report)}f", *report)


def peer_message(sender: int, data: bytes) -> bytes:
    """A message from another instance."""
    return struct.pack(">BHH", 8, sender, len(data)) + data


def connection_note(request_id: int, attempt: int, address: bytes, kind: int, value: float) -> bytes:
    """A note about a connection; `kind` is a `NoteKind` or an unknown code."""
    return struct.pack(">BIB6sBf", 11, request_id, attempt, address, kind, value)


def list_entry(endpoint: Endpoint) -> bytes:
    """The entry of an endpoint in a list."""
    return _ENTRY.pack(
        endpoint.address,
        endpoint.zone,
        endpoint.kind,
        endpoint.cell,
        endpoint.state,
        endpoint.weight,
        endpoint.started_ns,
    )


FIXED_ACTIONS = {
    0: ("send", struct.Struct(">Iq6s")),  # SubmitTo
    1: ("reject", struct.Struct(">IQ")),  # Deny
    2: ("fail", struct.Struct(">I")),  # GiveUp
    3: ("cancel", struct.Struct(">IB")),  # Retract
    4: ("set_timer", struct.Struct(">QI")),  # NotifyMe
    5: ("check_health", struct.Struct(">6s")),  # Probe
    10: ("watch", struct.Struct(">B")),  # Listen
    11: ("fetch_list", struct.Struct(">")),  # Reload
    12: ("migrate", struct.Struct(">I")),  # Reassign
}
"""Name and fields of each action of fixed length, by code; comments give the protocol's name."""


def actions(reply: bytes) -> Iterator[Action]:
    """Decode a reply; raises RuntimeError if an instance logs a line or reports a fault."""
    offset = _LENGTH_BYTES
    instance = -1
    while offset < len(reply):
        code = reply[offset]
        offset += 1
        if code == _ACTION_SELECT_INSTANCE:
            instance = int.from_bytes(reply[offset : offset + 4], "big")
            offset += 4
        elif code == _ACTION_SEND_PEER_MESSAGE:
            peer, size = struct.unpack_from(">HH", reply, offset)
            yield Action(instance, "send_peer_message", (peer, reply[offset + 4 : offset + 4 + size]))
            offset += 4 + size
        elif code in (_ACTION_FAULT, _ACTION_LOG):
            size = int.from_bytes(reply[offset : offset + 2], "big")
            text = reply[offset + 2 : offset + 2 + size].decode()
            raise RuntimeError(f"instance {instance} reports: {text}")
        else:
            name, fields = FIXED_ACTIONS[code]
            yield Action(instance, name, fields.unpack_from(reply, offset))
            offset += fields.size
