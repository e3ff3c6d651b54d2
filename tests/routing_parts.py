"""The components of a balancer without the balancer, for their unit tests."""

from __future__ import annotations

from typing import Any

from conftest import S, endpoint, entry, listed, raw_settings, request

from linnetshift.routing.context import RoutingContext
from linnetshift.routing.endpoint_selection import EndpointSelection
from linnetshift.routing.endpoints import Endpoint, EndpointTable
from linnetshift.routing.group_affinity import GroupSizeEstimator
from linnetshift.routing.health_checks import HealthChecks
from linnetshift.routing.load_shedding import AdmissionControl
from linnetshift.routing.migration import Migration
from linnetshift.routing.outlier_detection import OutlierDetection
from linnetshift.routing.pending_requests import PendingRequest, PendingRequests
from linnetshift.routing.ranking import EndpointRanking
from linnetshift.routing.request_lifecycle import RequestLifecycle
from linnetshift.routing.settings import Settings
from linnetshift.routing.slow_start import SlowStart
from linnetshift.routing.tick_timer import TickTimer


class Parts:
    """The components that most others depend on, with `endpoints` listed and the clock at 1 s."""

    def __init__(self, endpoints: int = 4, **changes: Any) -> None:
        """`changes` are passed to `raw_settings`."""
        self.context = RoutingContext(Settings.parse(raw_settings(**changes)), 1)
        self.context.begin_step(1 * S)
        self.endpoints = EndpointTable(self.context)
        self.endpoints.apply(listed(*(entry(n) for n in range(endpoints))))
        self.requests = PendingRequests(self.endpoints)
        self.slow_start = SlowStart()
        self.ranking = EndpointRanking(self.context, self.endpoints, self.slow_start, GroupSizeEstimator())
        self.admission = AdmissionControl(self.context, self.endpoints)
        self.outlier_detection = OutlierDetection(self.context, self.endpoints)
        self.health_checks = HealthChecks(self.context, self.endpoints, self.requests, self.outlier_detection)
        self.selection = EndpointSelection(
            self.context, self.endpoints, self.requests, self.ranking, self.slow_start, self.health_checks
        )
        self.tick_timer = TickTimer(self.context)
        self.migration = Migration(self.context, self.selection, self.admission, self.tick_timer)
        self.lifecycle = RequestLifecycle(
            self.context, self.requests, self.selection, self.outlier_detection, self.tick_timer
        )

    def begin_step(self, now: int) -> None:
        """Begin a step at `now`, in nanoseconds."""
        self.context.begin_step(now)

    def endpoint(self, number: int) -> Endpoint:
        """The listed endpoint with this number."""
        return self.endpoints[endpoint(number)]

    def pending(self, number: int, **changes: Any) -> PendingRequest:
        """Add a request that has just arrived."""
        context = self.context
        pending = PendingRequest(
            request(number, **changes), context.now + 2 * S, 0.0, context.settings.classes[0]
        )
        self.requests.add(pending)
        return pending

    def connection(self, number: int, target: Endpoint, **changes: Any) -> PendingRequest:
        """Add a request whose connection to `target` is established."""
        pending = self.pending(number, **changes)
        self.requests.begin_attempt(pending, target)
        self.requests.establish(pending, target)
        return pending
