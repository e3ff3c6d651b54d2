"""Codec of the simulator's wire, written from its description: frames, events to an adapter, its actions."""

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
_ACTION_NOTIFY = 7
_ACTION_RECORD = 8
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
    """One action of a reply: who takes it, its name and its fields in the order of the wire."""

    instance: int
    name: str
    fields: tuple[Any, ...]


def frame(clock_ns: int, records: Sequence[bytes]) -> bytes:
    """One batch of encoded records."""
    body = b"".join(records)
    return _FRAME.pack(_FRAME.size + len(body), len(records), clock_ns) + body


def frames(stream: bytes) -> Iterator[bytes]:
    """Split recorded bytes into frames; each starts with its own length."""
    offset = 0
    while offset < len(stream):
        size = max(_LENGTH_BYTES, int.from_bytes(stream[offset : offset + _LENGTH_BYTES], "big"))
        yield stream[offset : offset + size]
        offset += size


def select_instance(instance: int) -> bytes:
    """The instance that the following events of the frame are for."""
    return struct.pack(">BI", 12, instance)


def create(salt: int, settings: dict[str, Any]) -> bytes:
    """Start of an instance: the salt of its random source, and its settings."""
    text = json.dumps(settings, sort_keys=True).encode()
    return struct.pack(">BQI", 0, salt, len(text)) + text


def stop() -> bytes:
    """End of an instance."""
    return b"\x09"


def endpoint_list(form: ListForm, version: int, entries: Sequence[bytes] = ()) -> bytes:
    """A list of endpoints, or what changed in it; `entries` are encoded by `list_entry`."""
    return struct.pack(">BBQI", 1, form, version, len(entries)) + b"".join(entries)


def new_request(request: Request) -> bytes:
    """A request that a client has just made."""
    return struct.pack(
        ">BIQQBQHIQ",
        2,
        request.id,
        request.group,
        request.hint_ns,
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
        request.hint_ns,
        request.key,
        request.flags,
        request.group,
        address,
        request.tenant,
        request.service,
    )


def established(request_id: int, elapsed_ns: int, attempt: int, address: bytes) -> bytes:
    """An attempt became a connection, `elapsed_ns` after it was sent."""
    return struct.pack(">BIQB6s", 3, request_id, elapsed_ns, attempt, address)


def attempt_result(
    request_id: int,
    address: bytes,
    is_closed: bool,
    attempt: int,
    elapsed_ns: int,
    outcome: Outcome,
    report: Sequence[float] = (),
) -> bytes:
    """End of an attempt; `is_closed` where its request ends with it, `report` in the settings' columns."""
    head = struct.pack(
        ">BI6sBBQHB", 4, request_id, address, is_closed, attempt, elapsed_ns, outcome, len(report)
    )
    return head + struct.pack(f">{len(report)}f", *report)


def client_left(request_id: int) -> bytes:
    """The client of a request has closed."""
    return struct.pack(">BI", 5, request_id)


def timer_expired(token: int) -> bytes:
    """A timer that the instance has set is due."""
    return struct.pack(">BI", 6, token)


def probe_result(outcome: Outcome, elapsed_ns: int, address: bytes, report: Sequence[float] = ()) -> bytes:
    """Answer to a probe, `elapsed_ns` after it was sent."""
    head = struct.pack(">BHQ6sB", 7, outcome, elapsed_ns, address, len(report))
    return head + struct.pack(f">{len(report)}f", *report)


def peer_message(sender: int, data: bytes) -> bytes:
    """A message of another instance."""
    return struct.pack(">BHH", 8, sender, len(data)) + data


def connection_note(request_id: int, attempt: int, address: bytes, kind: int, value: float) -> bytes:
    """A note about a connection; `kind` is a `NoteKind`, or a code that does not exist."""
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
    0: ("submit", struct.Struct(">Iq6s")),
    1: ("deny", struct.Struct(">IQ")),
    2: ("give_up", struct.Struct(">I")),
    3: ("retract", struct.Struct(">IB")),
    4: ("notify_me", struct.Struct(">QI")),
    5: ("probe", struct.Struct(">6s")),
    10: ("listen", struct.Struct(">B")),
    11: ("reload", struct.Struct(">")),
    12: ("reassign", struct.Struct(">I")),
}
"""Name and fields of each action of fixed length, by its code."""


def actions(reply: bytes) -> Iterator[Action]:
    """Decode a reply; raises RuntimeError where an instance reports a fault."""
    offset = _LENGTH_BYTES
    instance = -1
    while offset < len(reply):
        code = reply[offset]
        offset += 1
        if code == _ACTION_SELECT_INSTANCE:
            instance = int.from_bytes(reply[offset : offset + 4], "big")
            offset += 4
        elif code == _ACTION_NOTIFY:
            peer, size = struct.unpack_from(">HH", reply, offset)
            yield Action(instance, "notify", (peer, reply[offset + 4 : offset + 4 + size]))
            offset += 4 + size
        elif code in (_ACTION_FAULT, _ACTION_RECORD):
            size = int.from_bytes(reply[offset : offset + 2], "big")
            text = reply[offset + 2 : offset + 2 + size].decode()
            raise RuntimeError(f"instance {instance} reports: {text}")
        else:
            name, fields = FIXED_ACTIONS[code]
            yield Action(instance, name, fields.unpack_from(reply, offset))
            offset += fields.size
