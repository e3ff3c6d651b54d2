"""Actions that the balancer returns from a step, in the order in which they are to be carried out.

Each takes effect at the time of the step. Times are whole nanoseconds; `request_id` and `endpoint` are as in
`linnetshift.routing.events`. Source: "Send these" in the simulator's wire protocol.
"""

from __future__ import annotations

from typing import NamedTuple

ALL_PEERS = 0xFFFF
"""Peer number that stands for every other instance: all bits of the wire's field."""


class Send(NamedTuple):
    """Start an attempt; it ends by itself after `timeout_ns`.

    Attempts of one request are numbered 0, 1, 2 in the order of these actions. Each ends with exactly one
    `AttemptEnded`.
    """

    request_id: int
    endpoint: bytes
    timeout_ns: int  # ends with the client's deadline at the latest; a negative one expires at once


class Reject(NamedTuple):
    """Final answer: not done, and a retry does no harm."""

    request_id: int
    retry_after_ns: int  # how long the client should stay away; 0: no advice


class Fail(NamedTuple):
    """Final answer: not served, without a promise as to effects."""

    request_id: int


class Cancel(NamedTuple):
    """Abandon an attempt; it ends as `Outcome.CANCELLED` unless another outcome is on its way.

    No effect on an attempt whose connection is established.
    """

    request_id: int
    attempt: int  # its number


class Migrate(NamedTuple):
    """End an established connection in an orderly way; its client comes back with a new request."""

    request_id: int


class SetTimer(NamedTuple):
    """Ask for a `TimerFired`; timers cannot be revoked, those no longer wanted are to be ignored."""

    delay_ns: int  # from now
    token: int  # below 2**32; comes back with the event


class HealthCheck(NamedTuple):
    """Check an endpoint; `HealthCheckResult` answers."""

    endpoint: bytes


class SendPeerMessage(NamedTuple):
    """Message to one peer by number, or to all with `ALL_PEERS`; it may get lost."""

    peer: int
    data: bytes  # at most 256 bytes


class Log(NamedTuple):
    """Write a line to the log."""

    text: str


class Watch(NamedTuple):
    """Start or stop watching discovery's list of endpoints for changes.

    One `EndpointList` answers the call, also where it fails; it includes the changes missed until then.
    """

    on: bool  # start; else stop


class FetchList(NamedTuple):
    """Ask discovery for the whole list once."""


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
