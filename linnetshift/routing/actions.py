"""Actions returned by `Balancer.step`, in the order in which to carry them out.

Each takes effect at the time of the step. Times are whole nanoseconds; `request_id` and `endpoint` are as in
`linnetshift.routing.events`. Source: "Send these" in the simulator's wire protocol.
"""

from __future__ import annotations

from typing import NamedTuple

ALL_PEERS = 0xFFFF
"""Peer number that addresses every other instance: all bits of the wire field are set."""


class Send(NamedTuple):
    """Start an attempt, which times out after `timeout_ns`.

    Attempts of one request are numbered 0, 1, 2 in the order of these actions. Each ends with exactly one
    `AttemptEnded`.
    """

    request_id: int
    endpoint: bytes
    timeout_ns: int  # never past the client's deadline; a negative value expires at once


class Reject(NamedTuple):
    """Final answer: not served, and a retry is harmless."""

    request_id: int
    retry_after_ns: int  # how long the client should wait before a retry; 0: unspecified


class Fail(NamedTuple):
    """Final answer: not served; the request may have had an effect."""

    request_id: int


class Cancel(NamedTuple):
    """Abandon an attempt; it ends as `Outcome.CANCELLED` unless another outcome is on its way.

    No effect on an attempt whose connection is established.
    """

    request_id: int
    attempt: int  # its number


class Migrate(NamedTuple):
    """Close an established connection gracefully; its client reconnects with a new request."""

    request_id: int


class SetTimer(NamedTuple):
    """Schedule a `TimerFired`; it cannot be cancelled, so the balancer ignores those no longer needed."""

    delay_ns: int  # from now
    token: int  # below 2**32; comes back with the event


class HealthCheck(NamedTuple):
    """Check an endpoint; a `HealthCheckResult` follows."""

    endpoint: bytes


class SendPeerMessage(NamedTuple):
    """Send a message to one peer, or to all with `ALL_PEERS`; it may get lost."""

    peer: int
    data: bytes  # at most 256 bytes


class Log(NamedTuple):
    """Write a line to the log."""

    text: str


class Watch(NamedTuple):
    """Start or stop a watch on discovery's endpoint list.

    One `EndpointList` answers the call, even if it fails; it includes the changes missed until then.
    """

    on: bool  # start the watch; else stop it


class FetchList(NamedTuple):
    """Fetch the whole endpoint list from discovery once."""


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
