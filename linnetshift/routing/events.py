"""Events passed to a balancer, and the enumerations in their fields.

Source: "Handle these", "Parse a list" and "Tell outcomes apart" in the simulator's wire protocol;
enumeration values are those on the wire. Fields that several events share:

- Times are whole nanoseconds of the caller's clock, whose epoch is arbitrary; `elapsed_ns` counts from the
  send of the attempt or health check.
- `endpoint` is an opaque byte string (the address on the wire) that can be compared and sorted.
- `request_id` is an opaque integer, never used twice by one instance.
- `attempt` is the number of an attempt of its request, from 0, in the order of sends.
- `class_number`, `tenant`, `zone` and `kind` are indexes into lists of the settings, from 0.
- `report` holds the values of a load report in the order of `Settings.report_columns`; empty for none.
- Fields for which a deployment has no value are 0.

Enumeration fields are declared as `int`: values come from the wire unchecked, and converting each to a
member would add to the cost of every message.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class EndpointState(IntEnum):
    """State of an endpoint in the endpoint list."""

    READY = 0
    """Accepts new connections."""
    REMOVED = 1
    """Gone. Occurs in deltas only; a full list omits the endpoint."""
    DRAINING = 2
    """Accepts no new connections, but finishes those it has."""


class ListForm(IntEnum):
    """Content of an `EndpointList`."""

    DELTA = 0
    """The changed entries only."""
    FULL = 1
    """The whole list; endpoints missing from it are gone."""
    CACHED = 2
    """The whole list as the instance last had it, possibly outdated; sent at its start."""
    FAILED = 3
    """No entries: a call to discovery failed or the watch broke. The current list stays in use."""


class Outcome(IntEnum):
    """How an attempt or health check ended."""

    ERROR = 0
    """The endpoint returned an error; the attempt may have executed."""
    OK = 1
    """Served."""
    FULL = 2
    """Rejected before execution by an endpoint that is at its limit or draining."""
    TIMEOUT = 3
    """No answer in time; the attempt may have executed, or may still execute."""
    CONNECT_FAILED = 4
    """No connection in time: the endpoint is down, unreachable or accepts no more connections."""
    RESET = 5
    """The connection broke while the attempt was in flight; the attempt may have executed."""
    CANCELLED = 6
    """Ended by `Cancel`; the attempt may have executed."""
    NOT_SENT = 7
    """The request was over, established, past its deadline or out of attempts."""


NOT_EXECUTED_OUTCOMES = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
"""Outcomes that prove the attempt had no effect."""

# Bits of `Request.flags`; plain integers, as an enumeration would add to the cost of every request.
RETRY = 2
"""The request is a retry; set only where clients mark them."""
MID_FLOW = 8
"""The request carries packets of an open connection.

The connection continues if they are sent to the endpoint that holds it, even a draining one. Any other
endpoint resets it, and it is set up again.
"""
RETURNED = 16
"""The client reconnects after its connection broke or was migrated."""

# Values of `ConnectionNote.kind`.
LOAD_NOTE = 1
"""The connection's load changed; the value is in microseconds of work a second."""
MESSAGE_TIME_NOTE = 2
"""The value is the time that a message takes at the connection's endpoint, in milliseconds."""


class EndpointEntry(NamedTuple):
    """One entry of the endpoint list."""

    endpoint: bytes
    zone: int
    kind: int  # machine type
    cell: int  # endpoints of a cell share idempotency keys; unique over all zones
    state: int  # an `EndpointState`
    weight: float  # relative to other endpoints; may vary with load unless `Settings.weights_are_sizes`
    started_ns: int  # when it last started; 0: long ago
    drain_within_ns: int = 0  # while it drains: time until its connections must be gone; 0: unknown


class EndpointList(NamedTuple):
    """A list of endpoints, or changes to it, from discovery; delivered in order and without gaps."""

    form: int  # a `ListForm`
    version: int
    entries: tuple[EndpointEntry, ...]


class EndpointSuspension(NamedTuple):
    """Starts or ends the suspension of a ready endpoint: no new connections, but existing ones stay."""

    endpoint: bytes
    is_suspended: bool


class Request(NamedTuple):
    """A client's request for a connection; it must get exactly one final answer."""

    request_id: int
    class_number: int
    group: int  # connections of one group share work on an endpoint; 0: none
    key: int  # of the request's subject; requests with the same key are placed together
    load_hint: int  # expected load, in nanoseconds of work a second on a standard core
    flags: int  # bits: `RETRY`, `MID_FLOW`, `RETURNED`; 1: `load_hint` is valid
    tenant: int
    budget_ns: int  # time until the client gives up, often less than the class's deadline


class AdoptedConnection(NamedTuple):
    """A connection that was already open through this instance at its start.

    It counts as established by attempt 0; `AttemptEnded` follows when it ends. Fields as in `Request`.
    """

    request_id: int
    class_number: int
    group: int
    key: int
    load_hint: int
    flags: int
    tenant: int
    endpoint: bytes


class ConnectionEstablished(NamedTuple):
    """The attempt's connection is established: timeout and deadline no longer apply, only its end follows."""

    request_id: int
    attempt: int
    endpoint: bytes
    elapsed_ns: int


class ConnectionNote(NamedTuple):
    """New information on an attempt in flight."""

    request_id: int
    attempt: int
    endpoint: bytes
    kind: int  # `LOAD_NOTE` or `MESSAGE_TIME_NOTE`, which gives the unit of the value
    value: float


class AttemptEnded(NamedTuple):
    """An attempt or the connection that it established has ended; sent once for each `Send`."""

    request_id: int
    attempt: int
    endpoint: bytes
    closed: bool  # the request is over, by this outcome or before; else its final answer is due
    elapsed_ns: int
    outcome: int  # an `Outcome`
    report: tuple[float, ...]


class RequestWithdrawn(NamedTuple):
    """The client disconnected before its final answer, which is no longer needed.

    It may follow an outcome that has just ended the request: then its id is no longer known.
    """

    request_id: int


class TimerFired(NamedTuple):
    """A timer has expired."""

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
