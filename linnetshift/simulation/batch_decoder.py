"""Decoder of the batches on the simulator's wire: frames of events for many instances.

All numbers are big-endian without padding. A frame is a header and records; a record is a one-byte code and
the fields of that code, in the order of "Handle these" in the simulator's wire protocol.

Decoders are functions `(frame, offset) -> (event, offset after it)` in a table by event code. As they run for
each message, they build the typed messages of `linnetshift.routing.events` without an intermediate form. If
the frame ends inside a record they raise `struct.error` or `WireError`.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Mapping
from itertools import starmap
from struct import Struct
from typing import NoReturn

from linnetshift.routing.events import (
    AdoptedConnection,
    AttemptEnded,
    ConnectionEstablished,
    ConnectionNote,
    EndpointEntry,
    EndpointList,
    HealthCheckResult,
    PeerMessage,
    Request,
    RequestWithdrawn,
    TimerFired,
)
from linnetshift.simulation.wire import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    Create,
    EventCode,
    Halt,
    InstanceEvents,
    WireError,
    WireEvent,
)

BATCH_HEADER = Struct(">IIQ")
"""Frame length in bytes, number of records, clock in nanoseconds."""
FLOAT_BYTES = 4
"""Size of one value of a load report."""

# A plain number, as it is compared for each record: looking it up in the enumeration costs more.
_SELECT_INSTANCE_EVENT = int(EventCode.SELECT_INSTANCE)

_U32 = Struct(">I")
_CREATE_HEAD = Struct(">QI")
_LIST_HEAD = Struct(">BQI")
_LIST_ENTRY = Struct(">6sHHHBfQ")
_REQUEST = Struct(">IQQBQHIQ")
_ADOPTED_CONNECTION = Struct(">IQQQHQ6sIB")
_CONNECTION_ESTABLISHED = Struct(">IQB6s")
_CONNECTION_NOTE = Struct(">IB6sBf")
_ATTEMPT_ENDED_HEAD = Struct(">I6sBBQHB")
_HEALTH_CHECK_RESULT_HEAD = Struct(">HQ6sB")
_PEER_MESSAGE_HEAD = Struct(">HH")
_LOAD_REPORTS = [Struct(f">{count}f") for count in range(256)]  # by number of values, which is one byte


def frame_size(header: bytes) -> int:
    """Return the length in bytes of the whole frame that starts with `header`, at least four bytes.

    Raises WireError if the length is out of range.
    """
    size = int.from_bytes(header[:LENGTH_BYTES], "big")
    if not BATCH_HEADER.size <= size <= MAX_FRAME_BYTES:
        raise WireError(f"frame length {size} is out of range")
    return size


def decode_batch(frame: bytes) -> tuple[int, list[InstanceEvents]]:
    """Decode one whole frame into its clock, in nanoseconds, and its events by instance.

    An instance may occur more than once. Raises WireError if the frame is malformed.
    """
    if len(frame) < BATCH_HEADER.size:
        raise WireError("frame is shorter than its header")
    size, count, now_ns = BATCH_HEADER.unpack_from(frame)
    if size != len(frame):
        raise WireError(f"frame says {size} bytes but has {len(frame)}")
    try:
        instance_events = _decode_records(frame, count)
    except struct.error as error:  # a field runs past the end
        raise WireError(f"truncated record: {error}") from None
    return now_ns, instance_events


def _decode_records(frame: bytes, count: int) -> list[InstanceEvents]:
    """Decode the `count` records after the header, which must fill the frame."""
    instance_events: list[InstanceEvents] = []
    events: list[WireEvent] | None = None
    offset = BATCH_HEADER.size
    end = len(frame)
    for _ in range(count):
        if offset >= end:
            raise WireError("frame holds fewer records than it says")
        code = frame[offset]
        offset += 1
        if code == _SELECT_INSTANCE_EVENT:
            (instance,) = _U32.unpack_from(frame, offset)
            offset += _U32.size
            events = []
            instance_events.append((instance, events))
            continue
        if events is None:
            raise WireError("event before any instance was named")
        event, offset = _DECODER_BY_CODE[code](frame, offset)
        events.append(event)
    if offset != end:
        raise WireError(f"{end - offset} bytes follow the last record")
    return instance_events


# ---- decoders, one for each event --------------------------------------------------------------


def _decode_create(frame: bytes, offset: int) -> tuple[Create, int]:
    """Decode `Create`: seed, length of the settings, settings."""
    seed, size = _CREATE_HEAD.unpack_from(frame, offset)
    offset += _CREATE_HEAD.size
    return Create(seed, _bytes_at(frame, offset, size)), offset + size


def _decode_endpoint_list(frame: bytes, offset: int) -> tuple[EndpointList, int]:
    """Decode `EndpointList`: form, version, number of entries, entries."""
    form, version, count = _LIST_HEAD.unpack_from(frame, offset)
    offset += _LIST_HEAD.size
    size = count * _LIST_ENTRY.size
    rows = _LIST_ENTRY.iter_unpack(_bytes_at(frame, offset, size))
    return EndpointList(form, version, tuple(starmap(EndpointEntry, rows))), offset + size


def _decode_request(frame: bytes, offset: int) -> tuple[Request, int]:
    """Decode `Request`, whose fields have another order on the wire."""
    request_id, group, load_hint, class_number, key, flags, tenant, budget_ns = _REQUEST.unpack_from(
        frame, offset
    )
    event = Request(request_id, class_number, group, key, load_hint, flags, tenant, budget_ns)
    return event, offset + _REQUEST.size


def _decode_connection_established(frame: bytes, offset: int) -> tuple[ConnectionEstablished, int]:
    """Decode `ConnectionEstablished`."""
    request_id, elapsed_ns, attempt, endpoint = _CONNECTION_ESTABLISHED.unpack_from(frame, offset)
    event = ConnectionEstablished(request_id, attempt, endpoint, elapsed_ns)
    return event, offset + _CONNECTION_ESTABLISHED.size


def _decode_attempt_ended(frame: bytes, offset: int) -> tuple[AttemptEnded, int]:
    """Decode `AttemptEnded`: fixed fields, number of values of the load report, values."""
    request_id, endpoint, closed, attempt, elapsed_ns, outcome, count = _ATTEMPT_ENDED_HEAD.unpack_from(
        frame, offset
    )
    offset += _ATTEMPT_ENDED_HEAD.size
    report = _LOAD_REPORTS[count].unpack_from(frame, offset)
    event = AttemptEnded(request_id, attempt, endpoint, bool(closed), elapsed_ns, outcome, report)
    return event, offset + FLOAT_BYTES * count


def _decode_request_withdrawn(frame: bytes, offset: int) -> tuple[RequestWithdrawn, int]:
    """Decode `RequestWithdrawn`."""
    return RequestWithdrawn(*_U32.unpack_from(frame, offset)), offset + _U32.size


def _decode_timer_fired(frame: bytes, offset: int) -> tuple[TimerFired, int]:
    """Decode `TimerFired`."""
    return TimerFired(*_U32.unpack_from(frame, offset)), offset + _U32.size


def _decode_health_check_result(frame: bytes, offset: int) -> tuple[HealthCheckResult, int]:
    """Decode `HealthCheckResult`: fixed fields, number of values of the load report, values."""
    outcome, elapsed_ns, endpoint, count = _HEALTH_CHECK_RESULT_HEAD.unpack_from(frame, offset)
    offset += _HEALTH_CHECK_RESULT_HEAD.size
    report = _LOAD_REPORTS[count].unpack_from(frame, offset)
    return HealthCheckResult(endpoint, outcome, elapsed_ns, report), offset + FLOAT_BYTES * count


def _decode_peer_message(frame: bytes, offset: int) -> tuple[PeerMessage, int]:
    """Decode `PeerMessage`: sender, length of the data, data."""
    sender, size = _PEER_MESSAGE_HEAD.unpack_from(frame, offset)
    offset += _PEER_MESSAGE_HEAD.size
    return PeerMessage(sender, _bytes_at(frame, offset, size)), offset + size


def _decode_halt(_frame: bytes, offset: int) -> tuple[Halt, int]:
    """Decode `Halt`, which has no fields."""
    return Halt(), offset


def _decode_adopted_connection(frame: bytes, offset: int) -> tuple[AdoptedConnection, int]:
    """Decode `AdoptedConnection`; the budget is skipped, as it has no deadline."""
    fields = _ADOPTED_CONNECTION.unpack_from(frame, offset)
    request_id, _budget_ns, load_hint, key, flags, group, endpoint, tenant, class_number = fields
    event = AdoptedConnection(request_id, class_number, group, key, load_hint, flags, tenant, endpoint)
    return event, offset + _ADOPTED_CONNECTION.size


def _decode_connection_note(frame: bytes, offset: int) -> tuple[ConnectionNote, int]:
    """Decode `ConnectionNote`, whose fields are in wire order."""
    note = ConnectionNote._make(_CONNECTION_NOTE.unpack_from(frame, offset))
    return note, offset + _CONNECTION_NOTE.size


def _decode_unknown(frame: bytes, offset: int) -> NoReturn:
    """Raise WireError for a code unknown to this version, as the length of its record is unknown too."""
    raise WireError(f"unknown event code {frame[offset - 1]}")


def _bytes_at(frame: bytes, offset: int, size: int) -> bytes:
    """Return `size` bytes at `offset`; raises WireError if the frame is shorter."""
    if offset + size > len(frame):
        raise WireError("truncated record: a field runs past the end of the frame")
    return frame[offset : offset + size]


Decoder = Callable[[bytes, int], tuple[WireEvent, int]]

_DECODERS: Mapping[int, Decoder] = {
    EventCode.CREATE: _decode_create,
    EventCode.ENDPOINT_LIST: _decode_endpoint_list,
    EventCode.REQUEST: _decode_request,
    EventCode.CONNECTION_ESTABLISHED: _decode_connection_established,
    EventCode.ATTEMPT_ENDED: _decode_attempt_ended,
    EventCode.REQUEST_WITHDRAWN: _decode_request_withdrawn,
    EventCode.TIMER_FIRED: _decode_timer_fired,
    EventCode.HEALTH_CHECK_RESULT: _decode_health_check_result,
    EventCode.PEER_MESSAGE: _decode_peer_message,
    EventCode.HALT: _decode_halt,
    EventCode.ADOPTED_CONNECTION: _decode_adopted_connection,
    EventCode.CONNECTION_NOTE: _decode_connection_note,
}

# Indexed by code: a list is faster than a mapping with enumeration members as keys.
_DECODER_BY_CODE = [_DECODERS.get(code, _decode_unknown) for code in range(256)]
