"""The requests that await their final answer, and the established connections."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from linnetshift.routing.endpoints import NO_REQUEST, Endpoint, EndpointTable
from linnetshift.routing.events import MID_FLOW, AdoptedConnection, Request
from linnetshift.routing.rendezvous_hashing import mix64
from linnetshift.routing.settings import RequestClass

NO_ATTEMPT = -1
"""Value of `last_attempt` before the first attempt."""


def key_hash(request: Request | AdoptedConnection) -> int:
    """Hash of the group, else the key, else the request's id, so that requests without a key spread."""
    return mix64(request.group or request.key or request.request_id)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that awaits its final answer, or an established connection."""

    request: Request | AdoptedConnection
    deadline: int  # ns of the caller's clock
    load_ns_per_s: float  # load of its connection; 0: unknown
    request_class: RequestClass  # with the rules in force at its arrival
    last_attempt: int = NO_ATTEMPT
    endpoint: Endpoint | None = None  # of the attempt or connection in flight
    attempt_sent_at: int = 0  # when the latest attempt was sent, ns of the caller's clock
    is_established: bool = False
    health_checks_sent: int = 0  # before its placement
    endpoints_tried: list[Endpoint] = field(default_factory=list)
    endpoints_with_errors: list[Endpoint] = field(default_factory=list)
    skipped_ranks: int = 0  # number of best ranks that a returning client skips
    warming_endpoint: bytes = b""  # endpoint that a slow-start token was drawn for
    possibly_executed_on: Endpoint | None = None  # by the first attempt that may have had an effect
    possibly_executed_at: int = 0  # when that attempt was sent

    @property
    def is_first_mid_flow_attempt(self) -> bool:
        """Whether the next attempt is the first one and carries packets of an open connection."""
        return bool(self.request.flags & MID_FLOW) and self.last_attempt == NO_ATTEMPT


class PendingRequests:
    """The table of requests and established connections.

    State: the requests by id, the ids of those that wait for an endpoint, oldest first, the number of
    attempts in flight that are not established yet, and the requests whose attempt may overrun its latency
    objective, as it had no alternative when it was sent.
    """

    def __init__(self, endpoints: EndpointTable) -> None:
        """Start empty."""
        self._endpoints = endpoints
        self._by_id: dict[int, PendingRequest] = {}
        self.waiting: deque[int] = deque()
        self.setups_in_flight = 0
        self._overrunning: dict[int, PendingRequest] = {}

    def __len__(self) -> int:
        """Number of requests without a final answer and established connections."""
        return len(self._by_id)

    def __contains__(self, request_id: int) -> bool:
        """Whether that request is known."""
        return request_id in self._by_id

    def __iter__(self) -> Iterator[int]:
        """The ids."""
        return iter(self._by_id)

    def get(self, request_id: int) -> PendingRequest | None:
        """The request of that id, None where it is not known."""
        return self._by_id.get(request_id)

    def add(self, pending: PendingRequest) -> None:
        """Add a request whose id is new."""
        self._by_id[pending.request.request_id] = pending

    def take_waiting(self) -> deque[int]:
        """Empty the queue of waiting requests; returns its ids, oldest first."""
        waiting = self.waiting
        self.waiting = deque()
        return waiting

    def are_too_few_to_judge(self) -> bool:
        """Whether there are at most as many requests and connections as endpoints, too few to judge by."""
        return len(self._by_id) <= len(self._endpoints)

    def overrunning(self) -> list[PendingRequest]:
        """Requests whose attempt in flight may overrun its latency objective, oldest first."""
        return list(self._overrunning.values())

    def allow_overrun(self, pending: PendingRequest) -> None:
        """Let the attempt in flight overrun its latency objective."""
        self._overrunning[pending.request.request_id] = pending

    def revoke_overrun(self, pending: PendingRequest) -> None:
        """Undo `allow_overrun`; does nothing for a request without it."""
        self._overrunning.pop(pending.request.request_id, None)

    def begin_attempt(self, pending: PendingRequest, endpoint: Endpoint) -> None:
        """Record an attempt that is sent to `endpoint`."""
        pending.last_attempt += 1
        pending.endpoint = endpoint
        pending.endpoints_tried.append(endpoint)
        endpoint.in_flight += 1
        endpoint.is_recovery_due = False
        endpoint.sends_since_load_change += 1
        self.setups_in_flight += 1

    def establish(self, pending: PendingRequest, endpoint: Endpoint) -> None:
        """Turn the attempt in flight into an established connection."""
        self.revoke_overrun(pending)
        pending.is_established = True
        endpoint.add_established(pending)
        self.setups_in_flight -= 1

    def adopt(self, pending: PendingRequest, endpoint: Endpoint) -> None:
        """Add a connection that was established before this balancer started."""
        self.add(pending)
        pending.last_attempt = 0
        pending.endpoint = endpoint
        pending.is_established = True
        endpoint.add_established(pending)
        endpoint.in_flight += 1

    def end_attempt(self, pending: PendingRequest) -> None:
        """Record the end of the attempt or connection in flight, if there is one."""
        endpoint = pending.endpoint
        if endpoint is None:
            return
        self.revoke_overrun(pending)
        endpoint.in_flight -= 1
        if not pending.is_established:
            self.setups_in_flight -= 1
        endpoint.remove_established(pending)
        if endpoint.half_open_request == pending.request.request_id:
            endpoint.half_open_request = NO_REQUEST
        pending.endpoint = None

    def remove(self, pending: PendingRequest) -> None:
        """Remove a request that is over, and its attempt or connection in flight."""
        self._by_id.pop(pending.request.request_id, None)
        self.end_attempt(pending)
