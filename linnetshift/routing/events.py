"""Events that a balancer is given, and the enumerations in their fields.

Source: "Handle these", "Parse a list" and "Tell outcomes apart" in the simulator's wire protocol; the values
of the enumerations are those of the wire. Fields that mean the same everywhere:

- Times are whole nanoseconds of the caller's clock, which has no particular start; `elapsed_ns` counts from
  the send of the attempt or health check.
- `endpoint` is an opaque byte string (the address on the wire) that can be compared and sorted.
- `request_id` is an opaque integer, never used twice by one instance.
- `attempt` is the number of an attempt of its request, from 0, in the order of sends.
- `klass`, `tenant`, `zone` and `kind` are places in the lists of the settings, from 0.
- `report` holds the values of a load report in the order of `Settings.report_columns`; empty where none came.
- Fields for which a site has no value are 0.

The messages declare enumerations as `int`: values come from the wire unchecked, and to turn each into a
member would add to the cost of every message.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class EndpointState(IntEnum):
    """What an endpoint may be sent."""

    READY = 0
    """New connections."""
    REMOVED = 1
    """Nothing: it is gone. Only among changes; in a whole list such an endpoint is missing."""
    DRAINING = 2
    """Nothing new: it finishes its connections."""


class ListForm(IntEnum):
    """What an `EndpointList` holds."""

    DELTA = 0
    """The changed entries only."""
    FULL = 1
    """The whole list; an endpoint that is missing is gone."""
    CACHED = 2
    """The whole list as the instance last had it, which may be old; comes at its start."""
    FAILED = 3
    """No entries: a call to discovery failed or the subscription broke. The list so far is kept."""


class Outcome(IntEnum):
    """How an attempt or health check ended."""

    ERROR = 0
    """The endpoint returned an error; it may have executed."""
    OK = 1
    """Served."""
    FULL = 2
    """Rejected unseen by an endpoint that is at its limit or drains."""
    TIMEOUT = 3
    """No answer in time; it may have executed, or may still execute."""
    CONNECT_FAILED = 4
    """No connection in time: the endpoint is down, unreachable or takes no more connections."""
    RESET = 5
    """The connection broke while the attempt was in flight; it may have executed."""
    CANCELLED = 6
    """Ended by `Cancel`; it may have executed."""
    MOOT = 7
    """Not sent: the request was over or established, its time was up, or it had all its attempts."""


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})
"""Outcomes that prove the attempt had no effect."""

# Bits of `Request.flags`. Plain numbers, not an enumeration: they are tested for each request.
RETRY = 2
"""The client marks the request as a retry; only where clients do so."""
MID_FLOW = 8
"""Packets of an open connection arrive here.

Sent to the endpoint that holds the connection, also while that drains, it goes on unbroken; sent to any other
it is reset and set up again.
"""
RETURNED = 16
"""The client is back after its connection broke or was migrated."""

# Values of `ConnectionNote.kind`.
LOAD_NOTE = 1
"""The connection's load changed; the value is microseconds of work a second."""
SLOW_NOTE = 2
"""Messages take long at the connection's endpoint; the value is milliseconds that one takes there now."""


class EndpointEntry(NamedTuple):
    """One line of the list of endpoints."""

    endpoint: bytes
    zone: int
    kind: int  # of machine
    cell: int  # a few endpoints that know each other's idempotency keys; unique over all zones
    state: int  # an `EndpointState`
    # Relative to other endpoints; `Settings.weights_are_sizes` tells whether it varies with load.
    weight: float
    started_ns: int  # when it last started; 0: long ago
    drain_within_ns: int = 0  # while it drains: how soon its connections must be gone; 0: not known


class EndpointList(NamedTuple):
    """What discovery says of the endpoints; comes in order and without gaps."""

    form: int  # a `ListForm`
    version: int
    entries: tuple[EndpointEntry, ...]


class EndpointSuspension(NamedTuple):
    """Nothing new may be sent to an endpoint that is listed as ready, or again; connections there stay."""

    endpoint: bytes
    is_suspended: bool


class Request(NamedTuple):
    """A client asks for a connection; one final answer is owed."""

    request_id: int
    klass: int
    group: int  # connections of one group share work on an endpoint; 0: none
    key: int  # what the request concerns; requests with the same key go together
    load_hint: int  # expected load, in nanoseconds of work a second on a standard core
    flags: int  # bits: `RETRY`, `MID_FLOW`, `RETURNED`; 1: `load_hint` is valid
    tenant: int
    budget_ns: int  # until the client gives up, often a part of the class's deadline


class AdoptedConnection(NamedTuple):
    """A connection that was open through this instance when it started.

    It counts as established by attempt 0; `AttemptEnded` comes when it ends. Fields as in `Request`.
    """

    request_id: int
    klass: int
    group: int
    key: int
    load_hint: int
    flags: int
    tenant: int
    endpoint: bytes


class ConnectionEstablished(NamedTuple):
    """The attempt's connection is up: its timeout and deadline no longer run, only its end is to come."""

    request_id: int
    attempt: int
    endpoint: bytes
    elapsed_ns: int


class ConnectionNote(NamedTuple):
    """What is newly known of an attempt in flight."""

    request_id: int
    attempt: int
    endpoint: bytes
    kind: int  # `LOAD_NOTE` or `SLOW_NOTE`, which gives the unit of the value
    value: float


class AttemptEnded(NamedTuple):
    """An attempt or the connection that it established has ended; comes once for each `Send`."""

    request_id: int
    attempt: int
    endpoint: bytes
    closed: bool  # the request is over, with this outcome or before; else its final answer is still owed
    elapsed_ns: int
    outcome: int  # an `Outcome`
    report: tuple[float, ...]


class RequestWithdrawn(NamedTuple):
    """The client left before its final answer; nothing more is owed.

    It may follow an outcome with which the request has just ended: then its id is not known any more.
    """

    request_id: int


class TimerFired(NamedTuple):
    """A timer is due."""

    token: int  # as given to `SetTimer`


class HealthCheckResult(NamedTuple):
    """The result of one `HealthCheck`."""

    endpoint: bytes
    outcome: int  # an `Outcome`
    elapsed_ns: int
    report: tuple[float, ...]  # may be seconds old


class PeerMessage(NamedTuple):
    """A message from another instance."""

    sender: int  # its number, as in `Settings.node`
    data: bytes


Event = (
    EndpointList
    | EndpointSuspension
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
