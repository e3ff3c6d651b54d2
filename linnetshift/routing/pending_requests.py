"""The requests that await their final answer and the connections that are established."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from linnetshift.routing.endpoints import NO_REQUEST, Endpoint, EndpointTable
from linnetshift.routing.events import MID_FLOW, AdoptedConnection, Request
from linnetshift.routing.rendezvous_hashing import mix64
from linnetshift.routing.settings import RequestClass

NO_ATTEMPT = -1
"""In `last_attempt`: nothing was sent yet."""


def key_hash(request: Request | AdoptedConnection) -> int:
    """Hash of the group, else the client, else the request's own id, so that keyless requests spread."""
    return mix64(request.group or request.key or request.request_id)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that awaits its final answer, or an established connection."""

    request: Request | AdoptedConnection
    deadline: int  # ns of the caller's clock
    load_ns_per_s: float  # work of its connection; 0 when unknown
    request_class: RequestClass  # with the rules that were in force when it arrived
    last_attempt: int = NO_ATTEMPT
    endpoint: Endpoint | None = None  # where the latest attempt went, while it is in flight
    attempt_sent_at: int = 0  # and when it was sent, ns of the caller's clock
    is_established: bool = False
    health_checks_sent: int = 0  # before its placement
    endpoints_tried: list[Endpoint] = field(default_factory=list)
    endpoints_that_erred: list[Endpoint] = field(default_factory=list)
    skipped_ranks: int = 0  # best ranks that a returning client skips
    warming_endpoint: bytes = b""  # the one that a slow-start token was drawn for
    possibly_executed_on: Endpoint | None = None  # endpoint of the first attempt that may have had an effect
    possibly_executed_at: int = 0  # and when that was sent

    @property
    def is_first_mid_flow_attempt(self) -> bool:
        """Whether the next attempt is the first one for packets of an open connection of one endpoint."""
        return bool(self.request.flags & MID_FLOW) and self.last_attempt == NO_ATTEMPT


class PendingRequests:
    """The table of requests and established connections.

    State: the requests by id, the ids of those that wait for an endpoint, oldest first, and how many attempts
    are in flight that are not established yet; also the requests whose attempt may overrun its latency
    objective, since nothing else could serve them when it was sent.
    """

    def __init__(self, endpoints: EndpointTable) -> None:
        """Start empty."""
        self._endpoints = endpoints
        self._by_id: dict[int, PendingRequest] = {}
        self.waiting: deque[int] = deque()
        self.setups_in_flight = 0
        self._overrunning: dict[int, PendingRequest] = {}

    def __len__(self) -> int:
        """Requests without their final answer and established connections."""
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
        """Empty the queue; returns the ids that were in it, oldest first."""
        waiting = self.waiting
        self.waiting = deque()
        return waiting

    def are_few(self) -> bool:
        """Whether there are at most as many as endpoints, so that they say little of the endpoints."""
        return len(self._by_id) <= len(self._endpoints)

    def overrunning(self) -> list[PendingRequest]:
        """Those whose attempt in flight may overrun its latency objective, oldest first."""
        return list(self._overrunning.values())

    def begin_overrun(self, pending: PendingRequest) -> None:
        """The attempt in flight may overrun its latency objective."""
        self._overrunning[pending.request.request_id] = pending

    def end_overrun(self, pending: PendingRequest) -> None:
        """It may no longer, or there is none; does nothing for one that never might."""
        self._overrunning.pop(pending.request.request_id, None)

    def begin_attempt(self, pending: PendingRequest, endpoint: Endpoint) -> None:
        """Count an attempt that is sent now."""
        pending.last_attempt += 1
        pending.endpoint = endpoint
        pending.endpoints_tried.append(endpoint)
        endpoint.in_flight += 1
        endpoint.is_recovery_due = False
        endpoint.sends_since_report += 1
        self.setups_in_flight += 1

    def establish(self, pending: PendingRequest, endpoint: Endpoint) -> None:
        """Count the attempt in flight as an established connection."""
        self.end_overrun(pending)
        pending.is_established = True
        endpoint.add_established(pending)
        self.setups_in_flight -= 1

    def adopt(self, pending: PendingRequest, endpoint: Endpoint) -> None:
        """Add a connection that was established through this balancer before it started."""
        self.add(pending)
        pending.last_attempt = 0
        pending.endpoint = endpoint
        pending.is_established = True
        endpoint.add_established(pending)
        endpoint.in_flight += 1

    def end_attempt(self, pending: PendingRequest) -> None:
        """Count out the attempt or connection in flight, if there is one."""
        endpoint = pending.endpoint
        if endpoint is None:
            return
        self.end_overrun(pending)
        endpoint.in_flight -= 1
        if not pending.is_established:
            self.setups_in_flight -= 1
        endpoint.remove_established(pending)
        if endpoint.half_open_request == pending.request.request_id:
            endpoint.half_open_request = NO_REQUEST
        pending.endpoint = None

    def remove(self, pending: PendingRequest) -> None:
        """The request is over."""
        self._by_id.pop(pending.request.request_id, None)
        self.end_attempt(pending)
