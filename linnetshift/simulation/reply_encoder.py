"""Encoder of the replies on the simulator's wire: one frame of actions per batch.

All numbers are big-endian without padding. A frame is its length and records; a record is a one-byte code and
the fields of that code, in the order of "Send these" in the simulator's wire protocol. A table maps each type
of action to its code and the function that encodes its fields.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from struct import Struct
from typing import Any

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
from linnetshift.simulation.wire import MAX_TEXT_BYTES, ActionCode, InstanceFault

REPLY_HEADER = Struct(">I")
"""Frame length in bytes, this field included."""

# A plain number, as it is written for each instance: looking it up in the enumeration costs more.
_SELECT_INSTANCE_ACTION = int(ActionCode.SELECT_INSTANCE)

_SELECT_INSTANCE = Struct(">BI")
_SEND = Struct(">Iq6s")
_REJECT = Struct(">IQ")
_REQUEST_ID = Struct(">I")
_CANCEL = Struct(">IB")
_SET_TIMER = Struct(">QI")
_ENDPOINT = Struct(">6s")
_PEER_MESSAGE_HEAD = Struct(">HH")
_FLAG = Struct(">B")
_LENGTH = Struct(">H")


def encode_reply(
    replies: Iterable[tuple[int, Iterable[Action]]], fault: InstanceFault | None = None
) -> bytes:
    """Encode one reply frame from the actions by instance; instances without actions are omitted."""
    reply = bytearray(REPLY_HEADER.size)
    for instance, actions in replies:
        instance_start = len(reply)
        reply += _SELECT_INSTANCE.pack(_SELECT_INSTANCE_ACTION, instance)
        actions_start = len(reply)
        for action in actions:
            code, encode = _ENCODERS[type(action)]
            reply.append(code)
            reply += encode(action)
        if len(reply) == actions_start:
            del reply[instance_start:]
    if fault is not None:
        reply += _SELECT_INSTANCE.pack(_SELECT_INSTANCE_ACTION, fault.instance)
        reply.append(ActionCode.FAULT)
        reply += _encode_text(fault.text)
    REPLY_HEADER.pack_into(reply, 0, len(reply))
    return bytes(reply)


def _encode_text(text: str) -> bytes:
    """Encode a text with its length in front, truncated to `MAX_TEXT_BYTES`."""
    data = text.encode()[:MAX_TEXT_BYTES]
    return _LENGTH.pack(len(data)) + data


# ---- encoders of an action's fields, one for each action ---------------------------------------


def _encode_send(action: Send) -> bytes:
    """Encode request id, timeout and endpoint."""
    return _SEND.pack(action.request_id, action.timeout_ns, action.endpoint)


def _encode_reject(action: Reject) -> bytes:
    """Encode request id and retry-after."""
    return _REJECT.pack(action.request_id, action.retry_after_ns)


def _encode_request_id(action: Fail | Migrate) -> bytes:
    """Encode the request id, the only field."""
    return _REQUEST_ID.pack(action.request_id)


def _encode_cancel(action: Cancel) -> bytes:
    """Encode request id and attempt."""
    return _CANCEL.pack(action.request_id, action.attempt)


def _encode_set_timer(action: SetTimer) -> bytes:
    """Encode delay and token."""
    return _SET_TIMER.pack(action.delay_ns, action.token)


def _encode_health_check(action: HealthCheck) -> bytes:
    """Encode the endpoint."""
    return _ENDPOINT.pack(action.endpoint)


def _encode_send_peer_message(action: SendPeerMessage) -> bytes:
    """Encode peer, length of the data, data."""
    return _PEER_MESSAGE_HEAD.pack(action.peer, len(action.data)) + action.data


def _encode_log(action: Log) -> bytes:
    """Encode the line with its length in front."""
    return _encode_text(action.text)


def _encode_watch(action: Watch) -> bytes:
    """Encode whether the watch is on."""
    return _FLAG.pack(action.on)


def _encode_fetch_list(_action: FetchList) -> bytes:
    """Return no bytes, as there are no fields."""
    return b""


Encoder = Callable[[Any], bytes]

_ENCODERS: Mapping[type[Action], tuple[int, Encoder]] = {
    Send: (ActionCode.SEND, _encode_send),
    Reject: (ActionCode.REJECT, _encode_reject),
    Fail: (ActionCode.FAIL, _encode_request_id),
    Cancel: (ActionCode.CANCEL, _encode_cancel),
    SetTimer: (ActionCode.SET_TIMER, _encode_set_timer),
    HealthCheck: (ActionCode.HEALTH_CHECK, _encode_health_check),
    SendPeerMessage: (ActionCode.SEND_PEER_MESSAGE, _encode_send_peer_message),
    Log: (ActionCode.LOG, _encode_log),
    Watch: (ActionCode.WATCH, _encode_watch),
    FetchList: (ActionCode.FETCH_LIST, _encode_fetch_list),
    Migrate: (ActionCode.MIGRATE, _encode_request_id),
}
