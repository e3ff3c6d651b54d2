"""The broker's own data about endpoints: zones, start times, drains, latency and observed facts."""

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
    """Updates the views of endpoints from the endpoint list, and passes the list on to the balancer."""

    def __init__(
        self, settings: Settings, clock: Callable[[], int], inbox: EventInbox, lease: ListLease
    ) -> None:
        """Start without endpoints; `lease` is the lease on the endpoint list."""
        self.clock = clock
        self.inbox = inbox
        self.zones: dict[bytes, int] = {}  # zone number, by endpoint
        self.started_ns: dict[bytes, int] = {}  # time of the last start as listed, by endpoint; 0: long ago
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
        """Apply a list or changes of it from discovery, or handle a failure of discovery."""
        self.unconfirmed.handle_endpoint_list(event)
        self._apply(self.administrative_drains.overlay(event))
        self.review_unconfirmed_endpoints()
        for endpoint in self.administrative_drains.evict_removed():
            self.latency_estimator.evict(endpoint)
            self.unconfirmed.evict(endpoint)
            self.zones.pop(endpoint, None)
            self.started_ns.pop(endpoint, None)

    def drain_endpoint(self, endpoint: bytes) -> bool:
        """Start an administrative drain; returns whether the endpoint is known and now drained."""
        drains = self.administrative_drains
        if drains.is_full() and not drains.is_drained(endpoint):
            return False
        if drains.is_known(endpoint) and not drains.is_drained(endpoint):
            drains.drain_endpoint(endpoint)
            self._apply(drains.entry_update(endpoint))
        return drains.is_known(endpoint)

    def restore_endpoint(self, endpoint: bytes) -> bool:
        """End an administrative drain; returns whether the endpoint is known."""
        drains = self.administrative_drains
        if drains.is_drained(endpoint):
            drains.restore_endpoint(endpoint)
            self._apply(drains.entry_update(endpoint))
        return drains.is_known(endpoint)

    def _apply(self, event: EndpointList) -> None:
        """Update all views from a list with the overlay applied, and post it to the balancer."""
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
        """Record that an endpoint refused a connection (it has ended) or migrated a client (it drains)."""
        if self.administrative_drains.is_known(endpoint):
            self.unconfirmed.record_unavailable(endpoint, self.clock())

    def review_unconfirmed_endpoints(self) -> None:
        """Update which endpoints are suspended, and notify the balancer of the changes."""
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
            return  # evicted from the list: nothing is stored for it
        zone = self.zones.get(endpoint)
        remote_zone = zone if zone != self.settings.zone else None  # None: own or unknown zone
        self.latency_estimator.record_response_time(endpoint, remote_zone, elapsed_ns, self.clock())

    def record_connection_ended(self, endpoint: bytes, outcome: Outcome) -> None:
        """Record how the endpoint's side ended an established connection."""
        if outcome == Outcome.RESET and self.administrative_drains.is_known(endpoint):
            self.latency_estimator.record_reset(endpoint, self.clock())
        if outcome != Outcome.OK:
            self.latency_estimator.migrations.record_migrated_out(self.clock())
        if outcome == Outcome.CANCELLED:
            self.deployment_facts.record_migration_request()
