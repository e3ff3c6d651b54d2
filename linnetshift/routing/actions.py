"""Actions that the balancer returns from a step."""

from __future__ import annotations

from typing import NamedTuple

# ---- actions -----------------------------------------------------------------------------------


class Send(NamedTuple):
    """Start an attempt; it ends by itself after `timeout_ns`."""

    request_id: int
    endpoint: bytes
    timeout_ns: int


class Reject(NamedTuple):
    """Final answer: not done, and a retry does no harm."""

    request_id: int
    retry_after_ns: int


class Fail(NamedTuple):
    """Final answer: not served, without a promise as to effects."""

    request_id: int


class Cancel(NamedTuple):
    request_id: int
    attempt: int


class Migrate(NamedTuple):
    """End an open connection politely; its client comes again."""

    request_id: int


class SetTimer(NamedTuple):
    delay_ns: int
    token: int


class HealthCheck(NamedTuple):
    endpoint: bytes


class SendPeerMessage(NamedTuple):
    """Message to one peer by number, or to all with `ALL_PEERS`."""

    peer: int
    data: bytes


class Log(NamedTuple):
    text: str


class Watch(NamedTuple):
    """Ask to be told of changes to the list of endpoints."""

    on: bool


class FetchList(NamedTuple):
    """Ask for the whole list once."""


ALL_PEERS = 0xFFFF

Action = (
    Send
    | Reject
    | Fail
    | Cancel
    | Migrate
    | SetTimer
    | HealthCheck
    | SendPeerMessage
    | Log
    | Watch
    | FetchList
)
