"""Active health checks and the load reports in their results."""

from __future__ import annotations

from linnetshift.routing.actions import HealthCheck
from linnetshift.routing.context import RoutingContext
from linnetshift.routing.endpoints import LATENCY_REPORT_TTL_NS, Endpoint, EndpointTable
from linnetshift.routing.events import HealthCheckResult, Outcome
from linnetshift.routing.outlier_detection import OutlierDetection
from linnetshift.routing.pending_requests import PendingRequest, PendingRequests
from linnetshift.util.decaying_counter import DecayingCounter

MAX_LOAD = 0.85  # share of capacity in use from which an endpoint is avoided
TARGET_LOAD = 0.75  # load that migration aims for
MIGRATION_GAIN = 0.3  # share of the excess migrated per report; low, as reports may be seconds old
CHECKS_PER_REQUEST = 3  # checks that a new client's request adds to the budget, and the most per placement
MAX_SAVED_CHECKS = CHECKS_PER_REQUEST * 4
LOAD_REPORT_TTL_NS = 500_000_000  # no further check is needed for this long after a report
AVOID_LOADED_NS = 3_000_000_000  # how long a loaded endpoint is avoided after its report
REPORT_WEIGHT = 0.1  # of the latest report in the moving average of the load per connection
ARRIVAL_WINDOW_NS = 1_000_000_000
MAX_REPORTED_LOAD = 1e6
MIN_REPORTED_CONNECTIONS = 8.0  # with fewer the load per connection is too inaccurate
MAX_REPORTED_CONNECTIONS = 1e6
LOAD_COLUMN = "x0"
CONNECTIONS_COLUMN = "outstanding"
NO_COLUMN = -1
OVERDUE_TICKS = 2  # an endpoint is avoided while a health check has been in flight for longer


class HealthChecks:
    """Sends health checks within a budget and records their results.

    State: the budget of checks, the rate of arrivals, the average load per connection, and the load fields of
    the endpoints.
    """

    _load_column: int
    _connections_column: int

    def __init__(
        self,
        context: RoutingContext,
        endpoints: EndpointTable,
        requests: PendingRequests,
        outlier_detection: OutlierDetection,
    ) -> None:
        """Start with an empty budget and no load reports."""
        self._context = context
        self._endpoints = endpoints
        self._requests = requests
        self._outlier_detection = outlier_detection
        self._check_budget = 0.0
        self._arrivals = DecayingCounter(ARRIVAL_WINDOW_NS)
        self.load_per_connection = 0.0
        self.configure()

    def configure(self) -> None:
        """Look up the columns of the load reports in the settings."""
        settings = self._context.settings
        columns = settings.report_columns
        has_load = settings.may_health_check and LOAD_COLUMN in columns
        self._load_column = columns.index(LOAD_COLUMN) if has_load else NO_COLUMN
        has_connections = CONNECTIONS_COLUMN in columns
        self._connections_column = columns.index(CONNECTIONS_COLUMN) if has_connections else NO_COLUMN

    @property
    def reports_load(self) -> bool:
        """Whether results of health checks include a load."""
        return self._load_column != NO_COLUMN

    def may_check_for_migration(self) -> bool:
        """Whether the budget allows a check that tells how many connections to migrate."""
        return self.reports_load and self._check_budget >= 1.0

    def increase_budget(self) -> None:
        """Allow more checks for a request that is neither a retry nor from a returning client."""
        self._check_budget = min(self._check_budget, MAX_SAVED_CHECKS) + CHECKS_PER_REQUEST

    def record_arrival(self) -> None:
        """Count a request, including those of returning clients."""
        self._arrivals.add(self._context.now)

    def should_avoid(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint's estimated load is too high or its health check is overdue."""
        now = self._context.now
        if now - endpoint.load_reported_at < AVOID_LOADED_NS and self._estimated_load(endpoint) >= MAX_LOAD:
            return True
        return 0 < endpoint.health_check_sent_at < now - OVERDUE_TICKS * self._context.tick_ns

    def is_load_report_current(self, endpoint: Endpoint) -> bool:
        """Whether the latest report is no older than LOAD_REPORT_TTL_NS."""
        return self._context.now - endpoint.load_reported_at <= LOAD_REPORT_TTL_NS

    def check_before_placement(self, endpoint: Endpoint, pending: PendingRequest) -> bool:
        """Check an endpoint before a placement if needed; returns whether to wait for the result.

        No check is needed if established connections already show the endpoint's state. With many balancers,
        each has fewer connections than endpoints and would not notice an overload or failure without checks.
        """
        if not self._context.settings.may_health_check:
            return False
        if not self.reports_load and (endpoint.established or not self._requests.are_too_few_to_judge()):
            return False
        is_report_recent = self._context.now - endpoint.load_reported_at < LOAD_REPORT_TTL_NS
        if is_report_recent or pending.health_checks_sent >= CHECKS_PER_REQUEST:
            return False
        if not endpoint.health_check_sent_at:
            pending.health_checks_sent += 1
        self.check(endpoint)
        return True

    def check(self, endpoint: Endpoint) -> None:
        """Send a health check unless one is in flight."""
        if not endpoint.health_check_sent_at:
            endpoint.health_check_sent_at = self._context.now
            self._check_budget -= 1.0
            self._context.emit(HealthCheck(endpoint.id))

    def handle_result(self, endpoint: Endpoint, event: HealthCheckResult) -> float:
        """Record the result of the check in flight.

        Returns the share of this balancer's connections to migrate because of the load, 0.0 for none.
        """
        sent_at = endpoint.health_check_sent_at
        endpoint.health_check_sent_at = 0
        if event.outcome != Outcome.OK:
            self._record_failure(endpoint, event.outcome)
            return 0.0
        # A result without a load still shows that the endpoint responds, and its latency.
        endpoint.load_reported_at = self._context.now
        self._record_latency(endpoint, event.elapsed_ns)
        is_complete = len(event.report) == len(self._context.settings.report_columns)
        if sent_at < endpoint.started_at or not is_complete:
            return 0.0
        return self._apply_load_report(endpoint, event.report)

    def _record_failure(self, endpoint: Endpoint, outcome: int) -> None:
        if outcome != Outcome.FULL:  # rejected for too many checks: says nothing about the endpoint
            is_overload = outcome != Outcome.CONNECT_FAILED
            self._outlier_detection.record_failure(endpoint, is_overload)

    def _record_latency(self, endpoint: Endpoint, elapsed_ns: int) -> None:
        """Mark the endpoint as slow if the check took two thirds of the message latency objective or more."""
        if elapsed_ns * 3 >= self._context.message_latency_objective_ns * 2 > 0:
            endpoint.over_objective_until = self._context.now + LATENCY_REPORT_TTL_NS
            endpoint.message_latency_ns = elapsed_ns // 2

    def _apply_load_report(self, endpoint: Endpoint, report: tuple[float, ...]) -> float:
        """Record the load, in all and per connection; returns the share of connections to migrate."""
        if not self.reports_load:
            return 0.0
        load = report[self._load_column]
        if not 0.0 <= load < MAX_REPORTED_LOAD:  # NaN is rejected too
            return 0.0
        connections = report[self._connections_column] if self._connections_column != NO_COLUMN else 0.0
        if load != endpoint.load:
            endpoint.load = load
            endpoint.sends_before_load_change = endpoint.sends_since_load_change
            endpoint.sends_since_load_change = 0
        if MIN_REPORTED_CONNECTIONS < connections < MAX_REPORTED_CONNECTIONS:
            self.load_per_connection += REPORT_WEIGHT * (load / connections - self.load_per_connection)
        if load <= MAX_LOAD:
            return 0.0
        return (load - TARGET_LOAD) / load * MIGRATION_GAIN

    def _estimated_load(self, endpoint: Endpoint) -> float:
        """The reported load plus an estimate of the load that all balancers have sent since.

        Reports may be seconds old: when a balancer starts, a hundred connections can follow one report. In a
        burst of arrivals the other balancers are assumed to send as many as this one.
        """
        balancers = min(self._context.settings.balancers, max(1.0, self._arrivals.value))
        sends = endpoint.sends_since_load_change + endpoint.sends_before_load_change / 2
        return endpoint.load + sends * balancers * self.load_per_connection
