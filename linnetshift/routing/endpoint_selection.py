"""Selection of the endpoint for a request's next attempt."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

from linnetshift.routing.context import RoutingContext
from linnetshift.routing.endpoints import NO_REQUEST, Endpoint, EndpointTable
from linnetshift.routing.events import EndpointState
from linnetshift.routing.health_checks import HealthChecks
from linnetshift.routing.pending_requests import PendingRequest, PendingRequests, key_hash
from linnetshift.routing.ranking import EndpointRanking
from linnetshift.routing.retry_policy import may_execute_on, may_repeat_on
from linnetshift.routing.settings import RequestClass
from linnetshift.routing.slow_start import SlowStart


class EndpointSelection:
    """Selects the best-ranked endpoint of a key that is eligible and not avoided.

    Stateless: reads the state of the given components, records in the request the endpoint drawn with a
    slow-start token, and triggers health checks.
    """

    def __init__(
        self,
        context: RoutingContext,
        endpoints: EndpointTable,
        requests: PendingRequests,
        ranking: EndpointRanking,
        slow_start: SlowStart,
        health_checks: HealthChecks,
    ) -> None:
        """`health_checks` sends the checks whose results a placement waits for."""
        self._context = context
        self._endpoints = endpoints
        self._requests = requests
        self._ranking = ranking
        self._slow_start = slow_start
        self._health_checks = health_checks

    def choose(self, pending: PendingRequest, is_mid_flow: bool) -> Endpoint | None:
        """Return the key's best eligible endpoint that is neither avoided nor already tried.

        Falls back to the best avoided endpoint whose reason may no longer hold, then to the best one that was
        tried without an error. Returns None if the request has to wait: no endpoint is eligible, or a health
        check is pending.
        """
        last_resort: Endpoint | None = None
        already_tried: Endpoint | None = None
        for endpoint in self._eligible(pending, is_mid_flow):
            if is_mid_flow:
                return endpoint
            if endpoint in pending.endpoints_tried:
                if already_tried is None and endpoint not in pending.endpoints_with_errors:
                    already_tried = endpoint
            elif self.is_avoided(endpoint, pending.request_class):
                if last_resort is None and self._is_last_resort(endpoint, pending.request_class):
                    last_resort = endpoint
            elif self._health_checks.check_before_placement(endpoint, pending):
                return None  # placed when the result arrives or the check is overdue
            else:
                return endpoint
        return last_resort or already_tried

    def find_alternative(
        self, pending: PendingRequest, endpoint: Endpoint, is_stopping_soon: bool = False
    ) -> Endpoint | None:
        """Return the endpoint that a connection on `endpoint` can migrate to, or None.

        Avoided endpoints and those warming up are excluded unless `endpoint` stops soon: then any ready one
        qualifies.
        """
        for other in self._preference_order(pending):
            if other is endpoint:
                continue
            if not is_stopping_soon and self.is_avoided(other, pending.request_class):
                continue
            if self._may_receive(other, is_mid_flow=False) or (is_stopping_soon and other.accepts_new):
                return other
        return None

    def is_avoided(self, endpoint: Endpoint, request_class: RequestClass) -> bool:
        """Whether `endpoint` is slow, ejected, overloaded or has a half-open attempt in flight.

        Lower-ranked endpoints are then preferred.
        """
        now = self._context.now
        if endpoint.is_over_objective(now, request_class) or now < endpoint.ejected_until:
            return True
        if endpoint.half_open_request != NO_REQUEST:
            return True
        return self._health_checks.should_avoid(endpoint)

    def has_alternative(
        self, pending: PendingRequest, sent_at: int, among: Iterable[Endpoint] | None = None
    ) -> bool:
        """Whether another attempt could succeed where the latest one, sent at `sent_at`, has not.

        True if the request may use an endpoint that it has not tried, or if any endpoint, including the same
        one, accepted an attempt sent later: then the fault is in the connection. `among` limits the endpoints
        to consider; default is all.
        """
        first_endpoint = pending.possibly_executed_on or pending.endpoint
        for endpoint in self._endpoints.values() if among is None else among:
            if not endpoint.accepts_new:
                continue
            if not may_repeat_on(pending.request_class, first_endpoint, endpoint):
                continue
            if endpoint not in pending.endpoints_tried:
                if self._may_be_chosen(endpoint, pending.request_class):
                    return True
            elif endpoint.last_accepted_sent_at > sent_at and endpoint not in pending.endpoints_with_errors:
                return True
        return False

    def possible_alternatives(self, request_class: RequestClass, since: int) -> list[Endpoint]:
        """The endpoints that `has_alternative` considers for requests of a class sent at `since` or later."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.accepts_new
            and (endpoint.last_accepted_sent_at > since or self._may_be_chosen(endpoint, request_class))
        ]

    def _may_be_chosen(self, endpoint: Endpoint, request_class: RequestClass) -> bool:
        """Whether a ready endpoint may be chosen, including as a last resort or with a slow-start token."""
        return not self.is_avoided(endpoint, request_class) or self._is_last_resort(endpoint, request_class)

    def wait_ns(self) -> float:
        """Estimated nanoseconds until a newly queued request can be placed; 0 if a warm endpoint can take it.

        Endpoints that return errors or are overloaded take no requests until their ejection ends.
        """
        now = self._context.now
        warm_up_ns = self._context.settings.warm_up_ns
        shortest_ns = math.inf
        usable: list[bytes] = []
        for endpoint in self._endpoints.values():
            if not endpoint.accepts_new:
                continue
            is_blocked_while_ejected = endpoint.is_overloaded or endpoint.returns_errors()
            ejection_ns = endpoint.ejected_until - now if is_blocked_while_ejected else 0
            is_warming_up = self._endpoints.is_warming_up(endpoint)
            warming_ns = endpoint.started_at + warm_up_ns - now if is_warming_up else 0
            shortest_ns = min(shortest_ns, max(ejection_ns, warming_ns, 0))
            if ejection_ns <= 0:
                usable.append(endpoint.id)
        return min(shortest_ns, self._slow_start.wait_ns(usable, len(self._requests.waiting)))

    def _eligible(self, pending: PendingRequest, is_mid_flow: bool) -> Iterator[Endpoint]:
        """Yield the endpoints eligible for the attempt, best first.

        The warming endpoint selected by a slow-start token and those due for a recovery attempt precede the
        ranking; packets of an open connection follow the ranking alone.
        """
        drawn = None if is_mid_flow else self._draw_warming_endpoint(pending)
        before_ranking = [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint is drawn or (endpoint.is_recovery_due and not is_mid_flow)
        ]
        for endpoint in (*before_ranking, *self._preference_order(pending)):
            may_receive = (
                self._may_receive(endpoint, is_mid_flow)
                or endpoint is drawn
                or (endpoint.is_recovery_due and endpoint.accepts_new)
            )
            if may_receive and may_execute_on(pending, endpoint):
                yield endpoint

    def _draw_warming_endpoint(self, pending: PendingRequest) -> Endpoint | None:
        """Return the warming endpoint drawn for this request with a slow-start token, or None."""
        self._ranking.candidates()  # also updates the slow-start shares
        shares = self._slow_start.shares
        previous = pending.warming_endpoint  # drawn at an earlier placement of this request
        if previous not in shares or self._endpoints[previous] in pending.endpoints_tried:
            context = self._context
            drawn = self._slow_start.draw(context.now, context.slow_start_window_ns, context.random.random)
            pending.warming_endpoint = drawn or b""
        return self._endpoints.get(pending.warming_endpoint)

    def _preference_order(self, pending: PendingRequest) -> Iterator[Endpoint]:
        """The ranking, but endpoints with connections of the group first, as each further one adds overhead.

        A balancer with no more requests and connections than endpoints uses the plain ranking: it knows too
        few connections, and each balancer would concentrate a group on other endpoints. The plain ranking is
        rotated by the request's skipped ranks: a balancer cannot tell why a client returned, and without
        skips all dropped clients would return to the endpoint that dropped them.
        """
        group = pending.request.group
        ranked = self._ranking.ranked(key_hash(pending.request))
        if group and not self._requests.are_too_few_to_judge():
            return iter(sorted(ranked, key=lambda endpoint: group not in endpoint.established_by_group))
        endpoints = list(ranked)
        skipped = pending.skipped_ranks
        return iter(endpoints[skipped:] + endpoints[:skipped])

    def _may_receive(self, endpoint: Endpoint, is_mid_flow: bool) -> bool:
        """Whether it is ready and warm, or, for packets of open connections, within its drain grace."""
        if endpoint.is_suspended and not is_mid_flow:
            return False
        if endpoint.state == EndpointState.READY:
            return not self._endpoints.is_warming_up(endpoint)
        settings = self._context.settings
        return (
            is_mid_flow
            and endpoint.state == EndpointState.DRAINING
            and self._context.now - endpoint.draining_since < settings.drain_grace_ns - settings.step_ns
        )

    def _is_last_resort(self, endpoint: Endpoint, request_class: RequestClass) -> bool:
        """Whether an avoided endpoint may get the attempt if there is no better one.

        True if it was ejected as unreachable, reported too high a load or did not answer a health check: that
        may be over.
        """
        return (
            not endpoint.is_over_objective(self._context.now, request_class)
            and not endpoint.is_overloaded
            and not endpoint.returns_errors()
            and endpoint.half_open_request == NO_REQUEST
        )
