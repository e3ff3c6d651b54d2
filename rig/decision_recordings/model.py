"""State of the simulated fleet: endpoints, requests and instances as they really are."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum, IntFlag, auto

MILLISECOND = 1_000_000
"""Nanoseconds in a millisecond: all times of the simulator's wire are in nanoseconds."""

SECOND = 1_000_000_000
"""Nanoseconds in a second."""


class EndpointState(IntEnum):
    """State of an endpoint, by its code in a list entry."""

    READY = 0
    GONE = 1
    DRAINING = 2


class Outcome(IntEnum):
    """Result of an attempt or a probe, by its code on the wire."""

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


class Condition(Enum):
    """Ways in which an endpoint is impaired and accepts connections still."""

    SLOW = auto()
    """It accepts, but late."""

    BUSY = auto()
    """It accepts in time; messages take less than their target time and more than a third of it."""


class RequestFlag(IntFlag):
    """Flags of a request on the wire."""

    HINTED = 1
    RETRY = 2
    MID_FLOW = 8
    RETURNED = 16


@dataclass(eq=False, slots=True)
class Endpoint:
    """One endpoint; `listed_version` is the version of the list that last changed its entry.

    `fault` is the outcome of each attempt there, or a condition under which it still accepts.
    """

    address: bytes
    zone: int
    kind: int
    cell: int
    weight: float
    started_ns: int = 0
    state: EndpointState = EndpointState.READY
    listed_version: int = 1
    fault: Outcome | Condition | None = None
    open_connections: int = 0


@dataclass(eq=False, slots=True)
class Request:
    """A request, or the connection that it became."""

    id: int
    instance: int
    service: int
    group: int
    key: int
    hint_ns: int
    flags: int
    budget_ns: int
    deadline_ns: int = 0
    tenant: int = 0
    attempt: int = -1
    endpoint: Endpoint | None = None
    """Where the latest attempt went, until that attempt ends."""

    sent_ns: int = 0
    is_established: bool = False
    is_abandoned: bool = False
    """Whether the client has left."""


@dataclass(eq=False, slots=True)
class Instance:
    """One instance of the program, as discovery and the simulator see it."""

    number: int
    starts: int = 0
    is_live: bool = False
    is_subscribed: bool = False
    list_version: int = 0
    """Version of the list that it was last sent; 0 where it has none."""
