"""Types that pass between a node and the decision module: settings, events in, actions out.

Times are whole nanoseconds of the caller's clock. An endpoint id is an opaque byte string that
can be compared and sorted; a request id is an opaque integer, never used twice.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class EndpointState(IntEnum):
    READY = 0
    REMOVED = 1
    DRAINING = 2


class ListForm(IntEnum):
    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Outcome(IntEnum):
    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})
"""Outcomes that prove the attempt had no effect."""

RETRY = 2
MID_FLOW = 8
RETURNED = 16
"""Request flags: a marked repeat, packets of an open connection, a client back after a break."""

LOAD_NOTE = 1
SLOW_NOTE = 2
"""Kinds of note: the connection's load now (us of work a second), a message's time now (ms)."""


# ---- events ------------------------------------------------------------------------------------


class EndpointEntry(NamedTuple):
    """One line of the list of endpoints."""

    endpoint: bytes
    zone: int
    kind: int
    cell: int
    state: int
    weight: float
    started_ns: int
    drain_within_ns: int = 0  # while it drains: how soon its connections must be gone, where that is known


class EndpointList(NamedTuple):
    form: int
    version: int
    entries: tuple[EndpointEntry, ...]


class Request(NamedTuple):
    """A client asks for a connection; one final answer is owed."""

    request_id: int
    klass: int
    group: int
    key: int
    load_hint: int
    flags: int
    tenant: int
    budget_ns: int


class AdoptedConnection(NamedTuple):
    """A connection that was open through this node when it started."""

    request_id: int
    klass: int
    group: int
    key: int
    load_hint: int
    flags: int
    tenant: int
    endpoint: bytes


class ConnectionEstablished(NamedTuple):
    """The attempt's connection stands; only its end is still to come."""

    request_id: int
    attempt: int
    endpoint: bytes
    elapsed_ns: int


class ConnectionNote(NamedTuple):
    request_id: int
    attempt: int
    endpoint: bytes
    kind: int
    value: float


class AttemptEnded(NamedTuple):
    request_id: int
    attempt: int
    endpoint: bytes
    closed: bool
    elapsed_ns: int
    outcome: int
    report: tuple[float, ...]


class RequestWithdrawn(NamedTuple):
    request_id: int


class TimerFired(NamedTuple):
    token: int


class HealthCheckResult(NamedTuple):
    endpoint: bytes
    outcome: int
    elapsed_ns: int
    report: tuple[float, ...]


class PeerMessage(NamedTuple):
    sender: int
    data: bytes


Event = (
    EndpointList
    | Request
    | AdoptedConnection
    | ConnectionEstablished
    | ConnectionNote
    | AttemptEnded
    | RequestWithdrawn
    | TimerFired
    | HealthCheckResult
    | PeerMessage
)
