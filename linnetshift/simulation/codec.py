"""Binary codec for the bench's wire: batches of events in, one reply of actions for each batch."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import starmap
from struct import Struct
from typing import NamedTuple

from linnetshift.routing.actions import (
    Action,
    Cancel,
    Fail,
    FetchList,
    HealthCheck,
    Log,
    Migrate,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
    Watch,
)
from linnetshift.routing.events import (
    AdoptedConnection,
    AttemptEnded,
    ConnectionEstablished,
    ConnectionNote,
    EndpointEntry,
    EndpointList,
    Event,
    HealthCheckResult,
    PeerMessage,
    Request,
    RequestWithdrawn,
    TimerFired,
)


class WireError(ValueError):
    """A frame that breaks the wire's rules."""


class Create(NamedTuple):
    """An instance starts without state."""

    salt: int
    settings: bytes


class Halt(NamedTuple):
    """An instance is killed."""


WireEvent = Event | Create | Halt

HEADER = Struct(">IIQ")
REPLY_HEADER = Struct(">I")
MAX_FRAME = 1 << 30

_ON = Struct(">I")
_CREATE = Struct(">QI")
_LIST = Struct(">BQI")
_ENTRY = Struct(">6sHHHBfQ")
_REQUEST = Struct(">IQQBQHIQ")
_ADOPTED = Struct(">IQQQHQ6sIB")
_BEGUN = Struct(">IQB6s")
_NOTE = Struct(">IB6sBf")
_RESULT = Struct(">I6sBBQHB")
_ID = Struct(">I")
_SAMPLED = Struct(">HQ6sB")
_MAIL = Struct(">HH")
_FLOATS = [Struct(f">{n}f") for n in range(256)]

_SEND = Struct(">BIq6s")
_DENY = Struct(">BIQ")
_ONE = Struct(">BI")
_CANCEL = Struct(">BIB")
_TIMER = Struct(">BQI")
_ENDPOINT = Struct(">B6s")
_TELL = Struct(">BHH")
_TEXT = Struct(">BH")
_FLAG = Struct(">BB")


def frame_size(header: bytes) -> int:
    """Length of the whole frame that `header` (the first four bytes or more) opens."""
    size = int.from_bytes(header[:4], "big")
    if not HEADER.size <= size <= MAX_FRAME:
        raise WireError(f"frame length {size} is out of range")
    return size


def decode_batch(frame: bytes) -> tuple[int, list[tuple[int, list[WireEvent]]]]:
    """The batch's clock, and its events by instance, in order of arrival."""
    if len(frame) < HEADER.size:
        raise WireError("frame is shorter than its header")
    size, count, now = HEADER.unpack_from(frame)
    if size != len(frame):
        raise WireError(f"frame says {size} bytes but has {len(frame)}")
    try:
        groups = list(_records(frame, count))
    except (IndexError, WireError) as error:
        raise WireError(str(error)) from None
    except Exception as error:  # struct.error: a field runs past the end
        raise WireError(f"truncated record: {error}") from None
    return now, groups


def _records(frame: bytes, count: int) -> Iterator[tuple[int, list[WireEvent]]]:
    at, end = HEADER.size, len(frame)
    node: int | None = None
    events: list[WireEvent] = []
    for _ in range(count):
        if at >= end:
            raise WireError("frame holds fewer records than it says")
        code = frame[at]
        at += 1
        if code == 12:
            if node is not None:
                yield node, events
            (node,) = _ON.unpack_from(frame, at)
            events = []
            at += _ON.size
            continue
        if node is None:
            raise WireError("event before any instance was named")
        event: WireEvent
        if code == 11:
            event = ConnectionNote._make(_NOTE.unpack_from(frame, at))
            at += _NOTE.size
        elif code == 2:
            rid, group, hint, klass, key, flags, tenant, budget = _REQUEST.unpack_from(frame, at)
            event = Request(rid, klass, group, key, hint, flags, tenant, budget)
            at += _REQUEST.size
        elif code == 3:
            rid, elapsed, attempt, endpoint = _BEGUN.unpack_from(frame, at)
            event = ConnectionEstablished(rid, attempt, endpoint, elapsed)
            at += _BEGUN.size
        elif code == 4:
            rid, endpoint, closed, attempt, elapsed, outcome, n = _RESULT.unpack_from(frame, at)
            at += _RESULT.size
            report = _FLOATS[n].unpack_from(frame, at)
            event = AttemptEnded(rid, attempt, endpoint, bool(closed), elapsed, outcome, report)
            at += 4 * n
        elif code == 6:
            event = TimerFired(*_ID.unpack_from(frame, at))
            at += _ID.size
        elif code == 7:
            outcome, elapsed, endpoint, n = _SAMPLED.unpack_from(frame, at)
            at += _SAMPLED.size
            event = HealthCheckResult(endpoint, outcome, elapsed, _FLOATS[n].unpack_from(frame, at))
            at += 4 * n
        elif code == 5:
            event = RequestWithdrawn(*_ID.unpack_from(frame, at))
            at += _ID.size
        elif code == 8:
            sender, n = _MAIL.unpack_from(frame, at)
            at += _MAIL.size
            event = PeerMessage(sender, _take(frame, at, n))
            at += n
        elif code == 1:
            form, version, n = _LIST.unpack_from(frame, at)
            at += _LIST.size
            rows = _take(frame, at, n * _ENTRY.size)
            event = EndpointList(form, version, tuple(starmap(EndpointEntry, _ENTRY.iter_unpack(rows))))
            at += n * _ENTRY.size
        elif code == 10:
            rid, _budget, hint, key, flags, group, endpoint, tenant, klass = _ADOPTED.unpack_from(frame, at)
            event = AdoptedConnection(rid, klass, group, key, hint, flags, tenant, endpoint)
            at += _ADOPTED.size
        elif code == 0:
            salt, n = _CREATE.unpack_from(frame, at)
            at += _CREATE.size
            event = Create(salt, _take(frame, at, n))
            at += n
        elif code == 9:
            event = Halt()
        else:
            raise WireError(f"unknown event code {code}")
        events.append(event)
    if at != end:
        raise WireError(f"{end - at} bytes follow the last record")
    if node is not None:
        yield node, events


def _take(frame: bytes, at: int, size: int) -> bytes:
    if at + size > len(frame):
        raise WireError("truncated record: a field runs past the end of the frame")
    return frame[at : at + size]


def encode_reply(
    replies: Iterable[tuple[int, Iterable[Action]]], fault: tuple[int, str] | None = None
) -> bytes:
    """One reply frame; instances without actions take no room. A fault names its instance and text."""
    out = bytearray(REPLY_HEADER.size)
    for node, actions in replies:
        start = len(out)
        out += _ONE.pack(13, node)
        empty = len(out)
        for action in actions:
            out += encode_action(action)
        if len(out) == empty:
            del out[start:]
    if fault is not None:
        text = fault[1].encode()[:65535]
        out += _ONE.pack(13, fault[0])
        out += _TEXT.pack(9, len(text)) + text
    REPLY_HEADER.pack_into(out, 0, len(out))
    return bytes(out)


def encode_action(action: Action) -> bytes:
    match action:
        case Send(request, endpoint, timeout_ns):
            return _SEND.pack(0, request, timeout_ns, endpoint)
        case SetTimer(delay_ns, token):
            return _TIMER.pack(4, delay_ns, token)
        case Reject(request, retry_after_ns):
            return _DENY.pack(1, request, retry_after_ns)
        case Fail(request):
            return _ONE.pack(2, request)
        case Cancel(request, attempt):
            return _CANCEL.pack(3, request, attempt)
        case Migrate(request):
            return _ONE.pack(12, request)
        case HealthCheck(endpoint):
            return _ENDPOINT.pack(5, endpoint)
        case SendPeerMessage(peer, data):
            return _TELL.pack(7, peer, len(data)) + data
        case Log(text):
            line = text.encode()[:65535]
            return _TEXT.pack(8, len(line)) + line
        case Watch(on):
            return _FLAG.pack(10, on)
        case FetchList():
            return b"\x0b"
