"""Which endpoint a request's next attempt goes to."""

from __future__ import annotations

import math
from collections.abc import Iterator

from linnetshift.routing.context import RoutingContext
from linnetshift.routing.endpoints import NO_REQUEST, Endpoint, EndpointTable
from linnetshift.routing.events import EndpointState
from linnetshift.routing.health_checks import HealthChecks
from linnetshift.routing.pending_requests import PendingRequest, PendingRequests, key_hash
from linnetshift.routing.ranking import EndpointRanking
from linnetshift.routing.retry_policy import may_execute_on
from linnetshift.routing.settings import RequestClass
from linnetshift.routing.slow_start import SlowStart


class EndpointSelection:
    """Goes through a key's endpoints by rank and leaves out those that something speaks against.

    Stateless: it reads the endpoints, the requests and slow start.
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
        """The components that it reads, and `health_checks`, which it sends out."""
        self._context = context
        self._endpoints = endpoints
        self._requests = requests
        self._ranking = ranking
        self._slow_start = slow_start
        self._health_checks = health_checks

    def choose(self, pending: PendingRequest, is_mid_flow: bool) -> Endpoint | None:
        """The key's best endpoint that nothing speaks against; if all are bad, the plain ranking.

        None where the request must wait: no endpoint may have it, or a health check decides.
        """
        suspect: Endpoint | None = None  # ejected, but not known to be overloaded
        tried: Endpoint | None = None
        for endpoint in self._eligible(pending, is_mid_flow):
            if is_mid_flow:
                return endpoint
            if endpoint in pending.endpoints_tried:
                if tried is None and endpoint not in pending.endpoints_that_erred:
                    tried = endpoint
            elif self.is_avoided(endpoint, pending.request_class):
                if suspect is None and self._is_last_resort(endpoint, pending.request_class):
                    suspect = endpoint
            elif self._health_checks.check_before_placement(endpoint, pending):
                return None  # its answer, or the lack of one, decides
            else:
                return endpoint
        return suspect or tried

    def find_alternative(
        self, pending: PendingRequest, endpoint: Endpoint, is_last_chance: bool = False
    ) -> Endpoint | None:
        """Where a connection would go that leaves `endpoint`.

        Never from one bad endpoint to another, unless the first is about to stop; nor to one that may not
        take it yet.
        """
        for other in self._preference_order(pending):
            if other is endpoint:
                continue
            if not is_last_chance and self.is_avoided(other, pending.request_class):
                continue
            if self._may_receive(other, False) or (is_last_chance and other.state == EndpointState.READY):
                return other
        return None

    def is_avoided(self, endpoint: Endpoint, request_class: RequestClass) -> bool:
        """Whether it is slow, ejected, under test or loaded: the key's next rank is taken instead."""
        now = self._context.now
        if endpoint.is_over_objective(now, request_class) or now < endpoint.ejected_until:
            return True
        if endpoint.half_open_request != NO_REQUEST:
            return True
        return self._health_checks.advises_against(endpoint)

    def wait_ns(self) -> float:
        """How long until a request that joins the queue has a chance, 0 where a warm endpoint may serve it.

        An endpoint that returns errors or is overloaded has none to give before its ejection is over.
        """
        now = self._context.now
        warm_up_ns = self._context.settings.warm_up_ns
        soonest = math.inf
        usable: list[bytes] = []
        for endpoint in self._endpoints.values():
            if endpoint.state != EndpointState.READY:
                continue
            is_bad = endpoint.is_overloaded or endpoint.returns_errors()
            ejection_ns = endpoint.ejected_until - now if is_bad else 0
            is_warming_up = self._endpoints.is_warming_up(endpoint)
            warming_ns = endpoint.started_at + warm_up_ns - now if is_warming_up else 0
            soonest = min(soonest, max(ejection_ns, warming_ns, 0))
            if ejection_ns <= 0:
                usable.append(endpoint.id)
        return min(soonest, self._slow_start.wait_ns(usable, len(self._requests.waiting)))

    def _eligible(self, pending: PendingRequest, is_mid_flow: bool) -> Iterator[Endpoint]:
        """Endpoints that may have the attempt, best first; one whose turn it is goes before the ranking."""
        drawn = None if is_mid_flow else self._draw_warming_endpoint(pending)
        first = [e for e in self._endpoints.values() if e is drawn or (e.is_recovery_due and not is_mid_flow)]
        for endpoint in (*first, *self._preference_order(pending)):
            may_receive = (
                self._may_receive(endpoint, is_mid_flow)
                or endpoint is drawn
                or (endpoint.is_recovery_due and endpoint.state == EndpointState.READY)
            )
            if may_receive and may_execute_on(pending, endpoint):
                yield endpoint

    def _draw_warming_endpoint(self, pending: PendingRequest) -> Endpoint | None:
        """The warming endpoint that this request goes to, if it gets a slow-start token."""
        self._ranking.candidates()  # makes the shares anew where they are out of date
        shares = self._slow_start.shares
        drawn = pending.warming_endpoint
        if drawn not in shares or self._endpoints[drawn] in pending.endpoints_tried:
            context = self._context
            token = self._slow_start.draw(context.now, context.slow_start_window_ns, context.random.random)
            pending.warming_endpoint = token or b""
        return self._endpoints.get(pending.warming_endpoint)

    def _preference_order(self, pending: PendingRequest) -> Iterator[Endpoint]:
        """The ranking, endpoints that hold some of the group first, since each that does pays an overhead.

        A balancer with fewer connections than there are endpoints sees too few of these: each would have its
        own. Nor has it seen why a client came back: unless one in some went on, all would return to who drops
        them.
        """
        group = pending.request.group
        ranked = self._ranking.ranked(key_hash(pending.request))
        if group and not self._requests.are_few():
            return iter(sorted(ranked, key=lambda endpoint: group not in endpoint.established_by_group))
        endpoints = list(ranked)
        skipped = pending.skipped_ranks
        return iter(endpoints[skipped:] + endpoints[:skipped])

    def _may_receive(self, endpoint: Endpoint, is_mid_flow: bool) -> bool:
        """Whether it is warm and ready; while it drains only for packets of its connections, for a while."""
        if endpoint.state == EndpointState.READY:
            return not self._endpoints.is_warming_up(endpoint)
        settings = self._context.settings
        return (
            is_mid_flow
            and endpoint.state == EndpointState.DRAINING
            and self._context.now - endpoint.draining_since < settings.drain_grace_ns - settings.step_ns
        )

    def _is_last_resort(self, endpoint: Endpoint, request_class: RequestClass) -> bool:
        """Whether an avoided endpoint may still get the attempt if there is no better one."""
        return (
            not endpoint.is_over_objective(self._context.now, request_class)
            and not endpoint.is_overloaded
            and not endpoint.returns_errors()
            and endpoint.half_open_request == NO_REQUEST
        )
