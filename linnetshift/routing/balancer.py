"""The decisions of one balancer: `Balancer.step` takes events and returns actions, without a clock or I/O.

Events are defined in `events.py`, actions in `actions.py`; this module dispatches each event to the
components that handle it.
"""

from __future__ import annotations

from collections.abc import Sequence

from linnetshift.routing.actions import Action
from linnetshift.routing.context import RoutingContext
from linnetshift.routing.discovery_poller import DiscoveryPoller
from linnetshift.routing.endpoint_selection import EndpointSelection
from linnetshift.routing.endpoints import EndpointTable
from linnetshift.routing.events import (
    LOAD_NOTE,
    MESSAGE_TIME_NOTE,
    MID_FLOW,
    RETRY,
    RETURNED,
    AdoptedConnection,
    AttemptEnded,
    ConnectionEstablished,
    ConnectionNote,
    EndpointList,
    EndpointSuspension,
    Event,
    HealthCheckResult,
    ListForm,
    Outcome,
    PeerMessage,
    Request,
    RequestWithdrawn,
    TimerFired,
)
from linnetshift.routing.group_affinity import GroupSizeEstimator
from linnetshift.routing.health_checks import HealthChecks
from linnetshift.routing.load_shedding import AdmissionControl
from linnetshift.routing.message_latency import SLOW_ENDPOINT_PREFIX, MessageLatency
from linnetshift.routing.migration import Migration
from linnetshift.routing.outlier_detection import OutlierDetection
from linnetshift.routing.pending_requests import PendingRequest, PendingRequests
from linnetshift.routing.ranking import EndpointRanking
from linnetshift.routing.request_lifecycle import RequestLifecycle
from linnetshift.routing.returning_clients import ReturningClients
from linnetshift.routing.settings import Settings
from linnetshift.routing.slow_start import SlowStart
from linnetshift.routing.tick_timer import TICK_TOKEN, TickTimer
from linnetshift.routing.unresponsive_endpoints import UNRESPONSIVE_ENDPOINT_PREFIX, UnresponsiveEndpoints

MAX_NOTE_VALUE = 1e9  # notes with a NaN, negative or larger value are ignored
NS_PER_MS = 1e6
NS_PER_US = 1e3


class Balancer:
    """Dispatches events to the components of one balancer. Instances share nothing."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """`seed` determines every random draw."""
        context = RoutingContext(settings, seed)
        self.context = context
        self.endpoints = EndpointTable(context)
        self.requests = PendingRequests(self.endpoints)
        self.group_sizes = GroupSizeEstimator()
        self.returning_clients = ReturningClients()
        self.slow_start = SlowStart()
        self.ranking = EndpointRanking(context, self.endpoints, self.slow_start, self.group_sizes)
        self.admission = AdmissionControl(context, self.endpoints)
        self.outlier_detection = OutlierDetection(context, self.endpoints)
        self.health_checks = HealthChecks(context, self.endpoints, self.requests, self.outlier_detection)
        self.selection = EndpointSelection(
            context, self.endpoints, self.requests, self.ranking, self.slow_start, self.health_checks
        )
        self._tick_timer = TickTimer(context)
        self.migration = Migration(context, self.selection, self.admission, self._tick_timer)
        self._unresponsive = UnresponsiveEndpoints(context, self.outlier_detection, self.migration)
        self._message_latency = MessageLatency(context, self.admission, self.health_checks, self.migration)
        self.lifecycle = RequestLifecycle(
            context, self.requests, self.selection, self.outlier_detection, self._tick_timer
        )
        self._discovery_poller = DiscoveryPoller(context)

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self.context.settings

    @property
    def now(self) -> int:
        """Time of the latest step, ns of the caller's clock."""
        return self.context.now

    def configure(self, settings: Settings) -> None:
        """Apply new settings, at any time; the state of endpoints and requests is kept.

        Classes may be added, but existing ones must keep their numbers (`Settings.numbered_after`).
        """
        self.context.configure(settings)
        self.health_checks.configure()
        self.ranking.invalidate()

    def step(self, now_ns: int, events: Sequence[Event]) -> list[Action]:
        """Handle events in order; returns the resulting actions in the order in which to carry them out.

        `now_ns` is the time of the step on the caller's clock, in nanoseconds.
        """
        self.context.begin_step(now_ns)
        for event in events:
            self._dispatch(event)
        self._discovery_poller.poll_once()
        return self.context.actions

    def _dispatch(self, event: Event) -> None:
        """Dispatch an event by its type."""
        match event:
            case Request():
                self._handle_request(event)
            case ConnectionEstablished():
                self._handle_established(event)
            case ConnectionNote():
                self._handle_note(event)
            case AttemptEnded():
                self._handle_attempt_ended(event)
            case RequestWithdrawn():
                self._handle_withdrawn(event)
            case AdoptedConnection():
                self._handle_adopted_connection(event)
            case _:
                self._dispatch_non_request_event(event)

    def _dispatch_non_request_event(
        self, event: EndpointList | EndpointSuspension | HealthCheckResult | PeerMessage | TimerFired
    ) -> None:
        """Dispatch an event that belongs to no request by its type."""
        match event:
            case EndpointList():
                self._handle_endpoint_list(event)
            case EndpointSuspension():
                self.endpoints.suspend(event)
                self.ranking.invalidate()
            case HealthCheckResult():
                self._handle_health_check_result(event)
            case PeerMessage():
                self._handle_peer_message(event)
            case TimerFired():
                self._handle_timer_fired(event)

    def _handle_request(self, event: Request) -> None:
        if event.request_id in self.requests:
            return
        request_class = self.settings.classes[event.class_number]
        deadline = self.now + (event.budget_ns or request_class.deadline_ns)
        pending = PendingRequest(event, deadline, event.load_hint, request_class)
        self.requests.add(pending)
        if not event.flags & (RETRY | RETURNED):
            self.health_checks.increase_budget()
        self.group_sizes.record_client(event.group)
        if event.flags & RETURNED and self.endpoints.has_fewer_endpoints_than_balancers():
            self._skip_ranks(pending)
        self.health_checks.record_arrival()
        self.admission.review()
        if event.flags & MID_FLOW or self.admission.admits(event):
            self.lifecycle.place(pending)
        else:
            self.lifecycle.reject(pending)

    def _skip_ranks(self, pending: PendingRequest) -> None:
        """Skip some of the best-ranked endpoints, as one of them may have dropped the returning client."""
        probability = self.returning_clients.record_return(self.now)
        while probability and self.context.random.random() < probability:
            pending.skipped_ranks += 1

    def _handle_established(self, event: ConnectionEstablished) -> None:
        pending = self.requests.get(event.request_id)
        endpoint = self.endpoints.get(event.endpoint)
        if pending is None or endpoint is None:
            return
        if event.attempt != pending.last_attempt or pending.endpoint is not endpoint:
            return
        self.requests.establish(pending, endpoint)
        self.outlier_detection.record_established(endpoint, event.request_id, event.elapsed_ns)
        self.migration.handle_established(endpoint)
        self.lifecycle.record_setup(pending, event.elapsed_ns, has_failed=False)
        if not pending.request.flags & (MID_FLOW | RETURNED | RETRY):
            self.slow_start.record_first_arrival(self.now)

    def _handle_note(self, event: ConnectionNote) -> None:
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is None or not 0.0 <= event.value < MAX_NOTE_VALUE:
            return
        if event.kind == MESSAGE_TIME_NOTE:
            self._message_latency.handle_report(endpoint, int(event.value * NS_PER_MS))
        elif event.kind == LOAD_NOTE:
            pending = self.requests.get(event.request_id)
            if pending is not None:
                pending.load_ns_per_s = event.value * NS_PER_US

    def _handle_attempt_ended(self, event: AttemptEnded) -> None:
        pending = self.requests.get(event.request_id)
        if pending is None or event.attempt != pending.last_attempt or pending.endpoint is None:
            return
        endpoint = pending.endpoint
        was_established = pending.is_established
        self.requests.end_attempt(pending)
        if event.outcome == Outcome.RESET and was_established:
            self.returning_clients.record_drop(self.now)
        self.outlier_detection.record_outcome(endpoint, event.outcome, was_established)
        if event.outcome == Outcome.CONNECT_FAILED and not was_established:
            self._unresponsive.handle_connect_failure(endpoint)
        self.lifecycle.handle_attempt_ended(pending, endpoint, event)

    def _handle_withdrawn(self, event: RequestWithdrawn) -> None:
        pending = self.requests.get(event.request_id)
        if pending is not None:
            self.requests.remove(pending)

    def _handle_adopted_connection(self, event: AdoptedConnection) -> None:
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is None or event.request_id in self.requests:
            return
        request_class = self.settings.classes[event.class_number]
        no_deadline = 0  # an established connection has none
        self.requests.adopt(PendingRequest(event, no_deadline, event.load_hint, request_class), endpoint)

    def _handle_endpoint_list(self, event: EndpointList) -> None:
        if event.form == ListForm.FAILED:
            self._discovery_poller.handle_list_failed()
            return
        self._discovery_poller.handle_list_received()
        for endpoint in self.endpoints.apply(event):
            self.migration.begin_gradual_migration(endpoint)
        self.ranking.invalidate()

    def _handle_health_check_result(self, event: HealthCheckResult) -> None:
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is None or not endpoint.health_check_sent_at:
            return
        share_to_migrate = self.health_checks.handle_result(endpoint, event)
        if share_to_migrate:
            misses_objectives = self.now < endpoint.majority_over_objective_until
            self.migration.migrate_excess(endpoint, misses_objectives, lambda _: share_to_migrate)
        self.lifecycle.retry_waiting()

    def _handle_peer_message(self, event: PeerMessage) -> None:
        endpoint = self.endpoints.get(event.data[1:])
        is_from_peer = event.sender < self.settings.balancers and event.sender != self.settings.node
        if endpoint is None or not is_from_peer:
            return
        if event.data[:1] == UNRESPONSIVE_ENDPOINT_PREFIX:
            self._unresponsive.handle_report(endpoint, event.sender)
        elif event.data[:1] == SLOW_ENDPOINT_PREFIX:
            self._message_latency.handle_peer_report(endpoint)

    def _handle_timer_fired(self, event: TimerFired) -> None:
        if event.token == TICK_TOKEN:
            self._tick_timer.handle_fired()
            self.migration.handle_tick()
            self.lifecycle.review_overrunning()
            self.lifecycle.retry_waiting()
        else:
            self._discovery_poller.handle_timer_fired(event.token)
