"""Actual state of the simulated fleet: endpoints, requests and instances."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum, IntFlag, auto

MILLISECOND = 1_000_000
"""Nanoseconds in a millisecond; all times on the simulator's wire are in nanoseconds."""

SECOND = 1_000_000_000
"""Nanoseconds in a second."""


class EndpointState(IntEnum):
    """State of an endpoint, by its code in a list entry."""

    READY = 0
    REMOVED = 1
    DRAINING = 2


class Outcome(IntEnum):
    """Outcome of an attempt or a health check, by its code on the wire."""

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


class Impairment(Enum):
    """Impairments under which an endpoint still accepts connections."""

    SLOW = auto()
    """Connections are accepted late."""

    BUSY = auto()
    """Connections are accepted in time; messages take between a third of their target time and all of it."""


class RequestFlag(IntFlag):
    """Flags of a request on the wire."""

    HAS_LOAD_HINT = 1
    RETRY = 2
    MID_FLOW = 8
    RETURNED = 16


@dataclass(eq=False, slots=True)
class Endpoint:
    """One endpoint; `listed_version` is the version of the list that last changed its entry.

    `fault` is the outcome of each attempt there, or an impairment.
    """

    address: bytes
    zone: int
    kind: int
    cell: int
    weight: float
    started_ns: int = 0
    state: EndpointState = EndpointState.READY
    listed_version: int = 1
    fault: Outcome | Impairment | None = None
    open_connections: int = 0


@dataclass(eq=False, slots=True)
class Request:
    """A request, or the connection that it has established."""

    id: int
    instance: int
    service: int
    group: int
    key: int
    load_hint: int
    flags: int
    budget_ns: int
    deadline_ns: int = 0
    tenant: int = 0
    attempt: int = -1
    endpoint: Endpoint | None = None
    """Endpoint of the attempt in flight or of the connection."""

    sent_ns: int = 0
    is_established: bool = False
    has_client_left: bool = False


@dataclass(eq=False, slots=True)
class Instance:
    """One instance of the program."""

    number: int
    start_count: int = 0
    is_live: bool = False
    receives_lists: bool = False
    list_version: int = 0
    """Version of the last list sent to it; 0: the next one must be a full list."""
