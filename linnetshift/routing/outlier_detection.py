"""Outlier detection: ejects failing endpoints for a time, and whole zones or cells that are down."""

from __future__ import annotations

from linnetshift.routing.context import RoutingContext
from linnetshift.routing.endpoints import NO_REQUEST, Endpoint, EndpointTable
from linnetshift.routing.events import Outcome
from linnetshift.routing.pending_requests import PendingRequest

MIN_ENDPOINTS_DOWN = 3
"""A zone or cell is down if at least so many of its endpoints are, and more are down than recently worked."""

MIN_EJECTION_CONNECT_TIMEOUTS = 4  # length of the first ejection; the longest is the warm-up time
# Bounds of the random factor of an ejection's length, which spreads the half-open attempts of many balancers.
MIN_EJECTION_JITTER = 0.75
MAX_EJECTION_JITTER = 1.25
UNREACHABLE_OUTCOMES = frozenset({Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT})


class OutlierDetection:
    """Decides how long an endpoint is ejected after a failure.

    State: the ejection fields of the endpoints.
    """

    def __init__(self, context: RoutingContext, endpoints: EndpointTable) -> None:
        """No endpoint is ejected at first."""
        self._context = context
        self._endpoints = endpoints

    def record_outcome(self, endpoint: Endpoint, outcome: int, was_established: bool) -> None:
        """Record how an attempt or an established connection on `endpoint` ended."""
        if outcome == Outcome.FULL or (outcome == Outcome.RESET and was_established):
            # Otherwise dropped connections would return at once to the endpoint that dropped them.
            self.record_failure(endpoint, is_overload=True)
        elif outcome in UNREACHABLE_OUTCOMES and not was_established:
            self.record_failure(endpoint, is_overload=False)

    def record_established(self, endpoint: Endpoint, request_id: int, elapsed_ns: int) -> None:
        """Record an established connection: the endpoint responds, and a half-open attempt has succeeded.

        `elapsed_ns` is the time from the send of the attempt.
        """
        now = self._context.now
        endpoint.last_established_at = now
        endpoint.last_accepted_sent_at = max(endpoint.last_accepted_sent_at, now - elapsed_ns)
        endpoint.unresponsive_reports.clear()
        if endpoint.half_open_request == request_id:
            endpoint.half_open_request = NO_REQUEST
        endpoint.consecutive_errors = 0

    def record_error(self, endpoint: Endpoint, is_first_of_request: bool) -> None:
        """Record an error response, even if another endpoint serves the request later."""
        endpoint.consecutive_errors += is_first_of_request
        if endpoint.returns_errors():
            self.record_failure(endpoint, is_overload=False)

    def record_failure(self, endpoint: Endpoint, is_overload: bool) -> None:
        """Eject an endpoint; the time doubles with each failure soon after the previous ejection."""
        now = self._context.now
        if now < endpoint.ejected_until:
            # The same failure, seen by another request.
            endpoint.is_overloaded = endpoint.is_overloaded and is_overload
            return
        endpoint.is_overloaded = is_overload
        endpoint.ejected_at = now
        endpoint.ejection_time_ns = self._next_ejection_time_ns(endpoint)
        jitter = self._context.random.uniform(MIN_EJECTION_JITTER, MAX_EJECTION_JITTER)
        endpoint.ejected_until = now + int(endpoint.ejection_time_ns * jitter)
        others = self._endpoints.values()
        self._eject_if_down([other for other in others if other.zone == endpoint.zone], endpoint)
        self._eject_if_down([other for other in others if other.cell == endpoint.cell], endpoint)

    def begin_half_open_attempt(self, endpoint: Endpoint, request_id: int) -> None:
        """Mark an attempt sent soon after an ejection as half-open: other requests wait for its end."""
        if endpoint.ejection_time_ns and self._failed_recently(endpoint):
            endpoint.half_open_request = request_id

    def handle_attempt_overdue(self, pending: PendingRequest) -> None:
        """Treat a half-open attempt that is past its latency objective as failed.

        Otherwise all other requests would wait until it ends.
        """
        endpoint = pending.endpoint
        if endpoint is not None and endpoint.half_open_request == pending.request.request_id:
            endpoint.half_open_request = NO_REQUEST
            self.record_failure(endpoint, is_overload=False)

    def _next_ejection_time_ns(self, endpoint: Endpoint) -> int:
        settings = self._context.settings
        if endpoint.ejection_time_ns and self._failed_recently(endpoint):
            return min(endpoint.ejection_time_ns * 2, settings.warm_up_ns)
        return MIN_EJECTION_CONNECT_TIMEOUTS * settings.connect_timeout_ns

    def _failed_recently(self, endpoint: Endpoint) -> bool:
        return self._context.now < endpoint.ejected_until + 2 * endpoint.ejection_time_ns

    def _eject_if_down(self, members: list[Endpoint], endpoint: Endpoint) -> None:
        """Eject the other members of a zone or cell that is down, without a failed attempt at each."""
        now = self._context.now
        # A failure this recent counts as down even if it looked like overload: a zone or cell fails at once.
        recent_ns = 2 * self._context.settings.connect_timeout_ns
        ejected = [e for e in members if now < e.ejected_until]
        down = sum(not e.is_overloaded or now - e.ejected_at < recent_ns for e in ejected)
        working = [
            e
            for e in members
            if now < e.last_established_at + 2 * endpoint.ejection_time_ns and now >= e.ejected_until
        ]
        if down < MIN_ENDPOINTS_DOWN or down <= len(working):
            return
        for other in members:
            if now >= other.ejected_until and other not in working:
                other.ejected_until = endpoint.ejected_until
                other.ejection_time_ns = endpoint.ejection_time_ns
                other.is_overloaded = endpoint.is_overloaded
