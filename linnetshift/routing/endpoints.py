"""The endpoints that this balancer knows: list updates, draining, restart."""

from __future__ import annotations

from collections.abc import Iterator, ValuesView
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linnetshift.routing.context import RoutingContext
from linnetshift.routing.events import (
    EndpointEntry,
    EndpointList,
    EndpointState,
    EndpointSuspension,
    ListForm,
)
from linnetshift.routing.settings import RequestClass
from linnetshift.routing.slow_start import warm_up_factor

if TYPE_CHECKING:
    from linnetshift.routing.pending_requests import PendingRequest

ERROR_THRESHOLD = 2
"""Errors from this many endpoints are attributed to the request.

Errors on this many requests in a row are attributed to the endpoint.
"""

SLOW_DIVISOR = 3
"""Messages count as slow from their latency objective divided by this on."""

LATENCY_REPORT_TTL_NS = 2_500_000_000
"""How long an endpoint counts as slow after a report; reports come each second, two in a row may be lost."""

NO_REQUEST = -1
"""Value of `half_open_request` where no half-open attempt is in flight."""

# Recovery attempts that an endpoint gets from all balancers, on average, as soon as it is ready again; it
# tolerates two attempts beyond its slow-start budget.
RECOVERY_ATTEMPTS_OF_FLEET = 2.0
MAX_WEIGHT = 1e9  # NaN, zero, negative and larger weights are replaced by 1
NEVER_REPORTED_NS = -(1 << 62)  # before any time of the caller's clock


@dataclass(slots=True, eq=False)
class Endpoint:
    """One endpoint as this balancer knows it; times are nanoseconds of the caller's clock."""

    id: bytes
    zone: int = 0
    cell: int = 0
    kind: int = 0
    state: int = EndpointState.READY
    is_suspended: bool = False  # gets no new connections though listed as ready
    weight: float = 1.0
    started_at: int = 0  # 0: long ago
    drain_within_ns: int = 0  # it may stop this long after it began to drain; 0: unknown
    draining_since: int = 0  # when this balancer learned that it drains or is gone
    in_flight: int = 0  # this balancer's attempts and connections there
    established: dict[int, PendingRequest] = field(default_factory=dict)  # connections by request id
    established_by_group: dict[int, int] = field(default_factory=dict)  # their number by group
    over_objective_until: int = 0  # messages count as slow until then, see `is_over_objective`
    message_latency_ns: int = 0  # as last reported; 0: unknown
    majority_over_objective_until: int = 0  # until then, they miss the objective of most connections
    ejected_until: int = 0
    ejection_time_ns: int = 0  # length of the latest ejection; 0: none since its start
    is_overloaded: bool = False  # whether it was ejected as overloaded, not as unreachable
    ejected_at: int = 0
    load: float = 0.0  # share of its capacity in use, as last reported
    load_reported_at: int = NEVER_REPORTED_NS
    sends_since_load_change: int = 0  # this balancer's attempts there since the reported load changed
    sends_before_load_change: int = 0  # the same between the two latest changes
    health_check_sent_at: int = 0  # send time of the health check in flight; 0: none
    unresponsive_reports: dict[int, int] = field(default_factory=dict)  # time of the report, by balancer
    last_established_at: int = 0
    last_accepted_sent_at: int = 0  # send time of the latest attempt that it accepted
    consecutive_errors: int = 0  # errors in a row; only the first one of each request counts
    half_open_request: int = NO_REQUEST  # request whose attempt tests it after an ejection
    is_recovery_due: bool = False  # ready again: gets the next request, or might get none for long

    @property
    def accepts_new(self) -> bool:
        """Whether it is ready and new connections may be sent there."""
        return self.state == EndpointState.READY and not self.is_suspended

    def add_established(self, pending: PendingRequest) -> None:
        """Add a connection that was established here."""
        self.established[pending.request.request_id] = pending
        group = pending.request.group
        self.established_by_group[group] = self.established_by_group.get(group, 0) + 1

    def remove_established(self, pending: PendingRequest) -> None:
        """Remove a connection; does nothing if it is not established here."""
        if self.established.pop(pending.request.request_id, None) is not None:
            group = pending.request.group
            self.established_by_group[group] -= 1
            if not self.established_by_group[group]:
                del self.established_by_group[group]

    def is_over_objective(self, now: int, request_class: RequestClass) -> bool:
        """Whether messages here are slow for that class: a third of its objective or more, or unknown."""
        return (
            now < self.over_objective_until
            and not 0 < self.message_latency_ns * SLOW_DIVISOR < request_class.message_latency_objective_ns
        )

    def returns_errors(self) -> bool:
        """Whether it answered so many requests in a row with an error that the next one is likely to fail."""
        return self.consecutive_errors >= ERROR_THRESHOLD

    def reset_health(self) -> None:
        """Clear failures and slow messages after a restart: they were those of the previous process."""
        self.over_objective_until = 0
        self.majority_over_objective_until = 0
        self.ejected_until = 0
        self.ejection_time_ns = 0
        self.consecutive_errors = 0


class EndpointTable:
    """All endpoints that are listed or still hold connections.

    State: the endpoints by id, in the order in which they were first listed, and the highest weight that any
    endpoint of a kind ever had.
    """

    def __init__(self, context: RoutingContext) -> None:
        """Start empty, until the first list."""
        self._context = context
        self._by_id: dict[bytes, Endpoint] = {}
        self._highest_weight_of_kind: dict[int, float] = {}

    def __len__(self) -> int:
        """Number of endpoints, including those that drain."""
        return len(self._by_id)

    def __iter__(self) -> Iterator[bytes]:
        """The ids."""
        return iter(self._by_id)

    def __contains__(self, endpoint_id: bytes) -> bool:
        """Whether an endpoint of that id is known."""
        return endpoint_id in self._by_id

    def __getitem__(self, endpoint_id: bytes) -> Endpoint:
        """The endpoint of that id; raises KeyError where it is not known."""
        return self._by_id[endpoint_id]

    def get(self, endpoint_id: bytes) -> Endpoint | None:
        """The endpoint of that id, None where it is not known."""
        return self._by_id.get(endpoint_id)

    def values(self) -> ValuesView[Endpoint]:
        """All endpoints, in the order in which they were first listed."""
        return self._by_id.values()

    def apply(self, update: EndpointList) -> list[Endpoint]:
        """Apply a full list or changes to it; returns unavailable endpoints with established connections."""
        unavailable: list[Endpoint] = []  # draining or removed by this update
        if update.form in (ListForm.FULL, ListForm.CACHED):
            listed = {entry.endpoint for entry in update.entries}
            for endpoint in self._by_id.values():
                if endpoint.id not in listed and endpoint.state != EndpointState.REMOVED:
                    self._set_unavailable(endpoint, EndpointState.REMOVED)
                    unavailable.append(endpoint)
        for entry in update.entries:
            known = self._by_id.get(entry.endpoint)
            if known is None:
                self._add(entry)
                continue
            self._update(known, entry)
            if known.state != EndpointState.READY:
                unavailable.append(known)
        self._delete_unused()
        return [endpoint for endpoint in unavailable if endpoint.established]

    def suspend(self, event: EndpointSuspension) -> None:
        """Suspend or resume an endpoint; does nothing if it is not known."""
        endpoint = self._by_id.get(event.endpoint)
        if endpoint is not None:
            endpoint.is_suspended = event.is_suspended

    def warm_up_factor(self, endpoint: Endpoint) -> float:
        """The share of its capacity that an endpoint has by now at least, 1.0 once it is warm."""
        return warm_up_factor(self._context.settings, endpoint.started_at, self._context.now)

    def is_warming_up(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint started so recently that it cannot serve its full share yet."""
        return self.warm_up_factor(endpoint) < 1.0

    def capacity(self, endpoint: Endpoint) -> float:
        """Its weight; where weights may fall with load, the highest ever seen for its kind."""
        if self._context.settings.weights_are_sizes:
            return endpoint.weight
        return self._highest_weight_of_kind[endpoint.kind]

    def has_fewer_endpoints_than_balancers(self) -> bool:
        """Whether there are fewer endpoints than balancers: each sees too few connections to judge by.

        Preferred to the number of its own connections, which fluctuates.
        """
        return self._context.settings.balancers > len(self._by_id)

    def _add(self, entry: EndpointEntry) -> None:
        endpoint = Endpoint(entry.endpoint, draining_since=self._context.now)
        self._by_id[entry.endpoint] = endpoint
        endpoint.state = entry.state
        self._copy_attributes(endpoint, entry)

    def _update(self, endpoint: Endpoint, entry: EndpointEntry) -> None:
        """Apply an entry, including its state, to a known endpoint."""
        if entry.started_ns != endpoint.started_at:
            endpoint.reset_health()
        self._copy_attributes(endpoint, entry)
        if entry.state != EndpointState.READY:
            self._set_unavailable(endpoint, EndpointState(entry.state))
            return
        if endpoint.state != EndpointState.READY:
            endpoint.is_recovery_due = endpoint.is_recovery_due or self._draw_recovery_attempt()
        endpoint.state = EndpointState.READY

    def _draw_recovery_attempt(self) -> bool:
        """Draw whether this balancer sends an attempt to an endpoint that is ready again."""
        context = self._context
        return context.random.random() * context.settings.balancers < RECOVERY_ATTEMPTS_OF_FLEET

    def _copy_attributes(self, endpoint: Endpoint, entry: EndpointEntry) -> None:
        """Copy everything but the state from an entry."""
        endpoint.zone = entry.zone
        endpoint.cell = entry.cell
        endpoint.kind = entry.kind
        endpoint.started_at = entry.started_ns
        endpoint.drain_within_ns = entry.drain_within_ns
        endpoint.weight = entry.weight if 0.0 < entry.weight < MAX_WEIGHT else 1.0
        highest_weight = self._highest_weight_of_kind.get(endpoint.kind, 0.0)
        self._highest_weight_of_kind[endpoint.kind] = max(highest_weight, endpoint.weight)

    def _set_unavailable(self, endpoint: Endpoint, state: EndpointState) -> None:
        """Set a state other than ready; the drain grace starts with the first update that does."""
        if endpoint.state == EndpointState.READY:
            endpoint.draining_since = self._context.now
        endpoint.state = state

    def _delete_unused(self) -> None:
        """Delete removed endpoints that have nothing in flight."""
        unused = [e for e in self._by_id.values() if e.state == EndpointState.REMOVED and not e.in_flight]
        for endpoint in unused:
            del self._by_id[endpoint.id]
