"""What the broker itself knows of endpoints: zones, start times, drains, latency and observed facts."""

from __future__ import annotations

from collections.abc import Callable

from linnetshift.broker.active_request import Attempt
from linnetshift.broker.administrative_drains import AdministrativeDrains, is_full_list
from linnetshift.broker.deployment_facts import DeploymentFacts
from linnetshift.broker.event_inbox import EventInbox
from linnetshift.broker.latency_estimator import LatencyEstimator
from linnetshift.broker.unconfirmed_endpoints import UnconfirmedEndpoints
from linnetshift.discovery.list_lease import ListLease
from linnetshift.routing.events import EndpointList, HealthCheckResult, Outcome
from linnetshift.routing.settings import Settings


class EndpointViews:
    """Keeps the views of endpoints in step with the list, and passes the list on to the balancer."""

    def __init__(
        self, settings: Settings, clock: Callable[[], int], inbox: EventInbox, lease: ListLease
    ) -> None:
        """Start with no endpoints known; `lease` is that of the list."""
        self.clock = clock
        self.inbox = inbox
        self.zones: dict[bytes, int] = {}  # number of each endpoint's zone
        self.started_ns: dict[bytes, int] = {}  # when each endpoint last started, as listed; 0: long ago
        self.administrative_drains = AdministrativeDrains(clock)
        self.unconfirmed = UnconfirmedEndpoints(lease, self.administrative_drains)
        self.latency_estimator = LatencyEstimator()
        self.deployment_facts = DeploymentFacts()
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply the settings, also while running."""
        self.settings = settings
        objective_ns = min(service.message_latency_objective_ns for service in settings.offered)
        self.latency_estimator.configure(objective_ns, settings.balancers, settings.weights_are_sizes)

    # ---- the endpoint list and its administrative overlay -----------------------------------

    def handle_endpoint_list(self, event: EndpointList) -> None:
        """Record a list or its changes from discovery, or that discovery failed."""
        self.unconfirmed.handle_endpoint_list(event)
        self._apply(self.administrative_drains.overlay(event))
        self.review_unconfirmed_endpoints()
        for endpoint in self.administrative_drains.forget_removed():
            self.latency_estimator.forget(endpoint)
            self.unconfirmed.forget(endpoint)
            self.zones.pop(endpoint, None)
            self.started_ns.pop(endpoint, None)

    def drain_endpoint(self, endpoint: bytes) -> bool:
        """Have nothing new sent there until it is restored; whether it was ever listed and is drained now."""
        drains = self.administrative_drains
        if drains.is_full() and not drains.is_drained(endpoint):
            return False
        if drains.is_known(endpoint) and not drains.is_drained(endpoint):
            drains.drain_endpoint(endpoint)
            self._apply(drains.entry_update(endpoint))
        return drains.is_known(endpoint)

    def restore_endpoint(self, endpoint: bytes) -> bool:
        """Use a drained endpoint again at once; whether it was ever listed."""
        drains = self.administrative_drains
        if drains.is_drained(endpoint):
            drains.restore_endpoint(endpoint)
            self._apply(drains.entry_update(endpoint))
        return drains.is_known(endpoint)

    def _apply(self, event: EndpointList) -> None:
        """Update every view by a list with its overlay, and post it to the balancer."""
        is_full = is_full_list(event)
        if is_full:
            self.zones = {}
            self.latency_estimator.weights = {}
            listed_now = {entry.endpoint for entry in event.entries}
            self.started_ns = {
                endpoint: started_ns
                for endpoint, started_ns in self.started_ns.items()
                if endpoint in listed_now
            }
        for entry in event.entries:
            if self.started_ns.get(entry.endpoint, entry.started_ns) != entry.started_ns:
                self.latency_estimator.handle_restart(entry.endpoint)
            self.started_ns[entry.endpoint] = entry.started_ns
            self.zones[entry.endpoint] = entry.zone
            if entry.weight > 0.0:
                self.latency_estimator.weights[entry.endpoint] = entry.weight
        self.deployment_facts.handle_endpoint_list(event.entries, is_full, self.clock())
        self.inbox.post(event)

    def record_unavailable(self, endpoint: bytes) -> None:
        """An endpoint refused a connection, so has no process, or sent a client away, so drains."""
        if self.administrative_drains.is_known(endpoint):
            self.unconfirmed.record_unavailable(endpoint, self.clock())

    def review_unconfirmed_endpoints(self) -> None:
        """Notify the balancer of endpoints that it must not use, or may again, by the list's lease."""
        for suspension in self.unconfirmed.review(self.clock()):
            self.inbox.post(suspension)

    # ---- observations -----------------------------------------------------------------------

    def handle_health_check_result(
        self, endpoint: bytes, outcome: Outcome, elapsed_ns: int, report: tuple[float, ...]
    ) -> None:
        """Pass the result of a health check on to the balancer."""
        if outcome == Outcome.OK and self.settings.report_columns:
            self.deployment_facts.record_health_report(bool(report))
        self.inbox.post(HealthCheckResult(endpoint, outcome, elapsed_ns, report))

    def record_response_time(self, attempt: Attempt, elapsed_ns: int) -> None:
        """Record how long the endpoint took to reply to a message."""
        endpoint = attempt.endpoint
        if not self.administrative_drains.is_known(endpoint):
            return  # forgotten: nothing is kept under its name any more
        zone = self.zones.get(endpoint)
        remote_zone = zone if zone != self.settings.zone else None  # None: none is crossed, or it is unknown
        self.latency_estimator.record_response_time(endpoint, remote_zone, elapsed_ns, self.clock())

    def record_connection_ended(self, endpoint: bytes, outcome: Outcome) -> None:
        """Record how the endpoint's side ended an established connection."""
        if outcome == Outcome.RESET and self.administrative_drains.is_known(endpoint):
            self.latency_estimator.record_reset(endpoint, self.clock())
        if outcome != Outcome.OK:
            self.latency_estimator.migrations.record_migrated_out(self.clock())
        if outcome == Outcome.CANCELLED:
            self.deployment_facts.record_migration_request()
