"""The broker: passes events to the balancer and carries out its actions.

The broker is independent of wire formats and sockets. Frontends submit requests, and upstream connections
report the outcomes of attempts. The balancer decides on all events of one turn of the event loop in one step.
"""

from __future__ import annotations

from collections.abc import Callable

from linnetshift.broker.active_request import ActiveRequest, Attempt
from linnetshift.broker.administrative_drains import max_names
from linnetshift.broker.attempts import AttemptTracker
from linnetshift.broker.connection_review import ConnectionReview
from linnetshift.broker.contracts import Contracts
from linnetshift.broker.endpoint_views import EndpointViews
from linnetshift.broker.event_inbox import EventInbox
from linnetshift.broker.latency_estimator import ConnectionLoad
from linnetshift.broker.ports import Connector, Discovery, Timers
from linnetshift.broker.request_table import RequestTable
from linnetshift.discovery.list_lease import ListLease
from linnetshift.observability.resource_usage import ResourceUsage
from linnetshift.routing.actions import (
    Action,
    Cancel,
    Fail,
    FetchList,
    HealthCheck,
    Migrate,
    Reject,
    Send,
    SetTimer,
    Watch,
)
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import EndpointList, Outcome, TimerFired
from linnetshift.routing.settings import Settings

MIGRATED_REASON = "migrated"
# Maximum number of events that one connection can post in one turn of the event loop.
MAX_EVENTS_PER_CONNECTION = 8


class Broker:
    """Connects frontends, upstream connections, discovery and the balancer.

    Attributes:
        settings, contracts: as last configured.
        balancer: decides on all events; `perform` carries out its actions.
        requests: requests in progress, by id.
        administrative_drains, latency_estimator, deployment_facts: views of the endpoints.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], int],
        timers: Timers,
        discovery: Discovery,
        connector: Connector,
        contracts: Contracts,
        list_lease: ListLease | None = None,
    ) -> None:
        """`clock` returns ns of the system's monotonic clock; `seed` is for the balancer's random source.

        `list_lease` is renewed by the discovery client.
        """
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.clock = clock
        self.timers = timers
        self.discovery = discovery
        self.connector = connector
        self.inbox = EventInbox(timers)
        self.endpoint_views = EndpointViews(settings, clock, self.inbox, list_lease or ListLease(clock()))
        self.administrative_drains = self.endpoint_views.administrative_drains
        self.latency_estimator = self.endpoint_views.latency_estimator
        self.deployment_facts = self.endpoint_views.deployment_facts
        self.request_table = RequestTable(settings, contracts, clock, timers, self.inbox)
        self.requests = self.request_table.requests
        self.attempts = AttemptTracker(
            self.request_table, self.endpoint_views, connector, clock, timers, self.inbox
        )
        self.connection_review = ConnectionReview(self.request_table, self.endpoint_views, clock, self.inbox)

    @property
    def contracts(self) -> Contracts:
        """The contracts that admit requests."""
        return self.request_table.contracts

    @property
    def migrated(self) -> int:
        """Number of clients asked to migrate since the start."""
        return self.connection_review.migrated

    def configure(self, settings: Settings, contracts: Contracts) -> None:
        """Apply reloaded settings and contracts; observations and requests in progress are kept."""
        self.settings = settings
        self.balancer.configure(settings)
        self.endpoint_views.configure(settings)
        self.request_table.configure(settings, contracts)

    # ---- the balancer -----------------------------------------------------------------------

    def process_events(self) -> None:
        """Pass all posted events to the balancer, and carry out its actions."""
        events = self.inbox.take()
        if not events:
            return
        for action in self.balancer.step(self.clock(), events):
            self.perform(action)

    def perform(self, action: Action) -> None:
        """Carry out one action of the balancer."""
        match action:
            case Send(request_id, endpoint, timeout_ns):
                self.attempts.send(request_id, endpoint, timeout_ns)
            case Reject(request_id, retry_after_ns):
                self.request_table.reject(request_id, retry_after_ns)
            case Fail(request_id):
                self.request_table.fail(request_id)
            case Migrate(request_id):
                self.migrate(request_id, MIGRATED_REASON)
            case Cancel(request_id, number):
                self.attempts.cancel(request_id, number)
            case SetTimer(delay_ns, token):
                self.timers.set_balancer_timer(delay_ns, token)
            case Watch(on):
                self.discovery.watch(on)
            case FetchList():
                self.discovery.fetch()
            case HealthCheck(endpoint):
                self.connector.check_health(endpoint)
            case _:
                pass  # peer messages have no receiver here, and log lines are for the simulator

    def timer_fired(self, token: int) -> None:
        """Notify the balancer that a timer which it set has fired."""
        self.inbox.post(TimerFired(token))

    # ---- endpoints --------------------------------------------------------------------------

    def handle_endpoint_list(self, event: EndpointList) -> None:
        """Handle a list or changes of it from discovery, or a failure of discovery."""
        self.endpoint_views.handle_endpoint_list(event)

    def handle_health_check_result(
        self, endpoint: bytes, outcome: Outcome, elapsed_ns: int, report: tuple[float, ...]
    ) -> None:
        """Handle the end of a health check; `report` holds the load report's columns, or is empty."""
        self.endpoint_views.handle_health_check_result(endpoint, outcome, elapsed_ns, report)

    def record_unavailable(self, endpoint: bytes) -> None:
        """Record that an endpoint refused a connection, so its process has ended."""
        self.endpoint_views.record_unavailable(endpoint)

    def review_unconfirmed_endpoints(self) -> None:
        """Suspend or resume unconfirmed endpoints; called several times a second."""
        self.endpoint_views.review_unconfirmed_endpoints()

    def drain_endpoint(self, endpoint: bytes) -> bool:
        """Start an administrative drain; returns whether the endpoint is known and now drained."""
        return self.endpoint_views.drain_endpoint(endpoint)

    def restore_endpoint(self, endpoint: bytes) -> bool:
        """End an administrative drain; returns whether the endpoint is known."""
        return self.endpoint_views.restore_endpoint(endpoint)

    # ---- requests and their final answers ---------------------------------------------------

    def submit(self, request: ActiveRequest) -> None:
        """Accept a request from a frontend, which gets exactly one final answer unless its client leaves."""
        if not self.request_table.add(request):
            return
        if request.adopted_endpoint:
            self.attempts.begin_adoption(request)
        else:
            self.request_table.ask_balancer(request)

    def handle_client_ended(self, request: ActiveRequest, reset: bool) -> None:
        """Handle a client that left or has migrated; no effect on a request that is over."""
        self.attempts.handle_client_ended(request, reset)

    def answer_without_balancer(self, request: ActiveRequest) -> None:
        """Answer without waiting for the balancer: reject if a retry is harmless, else fail."""
        self.request_table.answer_without_balancer(request)

    def is_retry_safe(self, request: ActiveRequest) -> bool:
        """Whether the client may be told that a retry is harmless."""
        return self.request_table.is_retry_safe(request)

    def established(self) -> list[ActiveRequest]:
        """Requests whose connection is established."""
        return self.request_table.established()

    def unanswered(self) -> list[ActiveRequest]:
        """Requests that still wait for their final answer."""
        return self.request_table.unanswered()

    # ---- attempts ---------------------------------------------------------------------------

    def may_send(self, attempt: Attempt) -> bool:
        """Whether the attempt's request line may be sent now; must be called immediately before sending."""
        return self.attempts.may_send(attempt)

    def handle_established(self, attempt: Attempt, receipt: memoryview) -> None:
        """Handle the endpoint's acceptance of a request; `receipt` is its line that confirms it."""
        self.attempts.handle_established(attempt, receipt)

    def handle_attempt_ended(self, attempt: Attempt, outcome: Outcome, reset: bool = False) -> None:
        """Handle the close of an attempt's connection; `reset` is True if it was reset or broke off."""
        self.attempts.handle_ended(attempt, outcome, reset)

    # ---- established connections ------------------------------------------------------------

    def record_response_time(self, attempt: Attempt, elapsed_ns: int) -> None:
        """Record how long the endpoint took to reply to a client's message."""
        self.endpoint_views.record_response_time(attempt, elapsed_ns)

    def record_load_report(self, attempt: Attempt, figure: float) -> None:
        """Record an endpoint's report of a connection's load in us/s, or of its message time in ms."""
        self.connection_review.record_load_report(attempt, figure)

    def migrate(self, request_id: int, reason: str) -> None:
        """Ask the client of an established connection to migrate; `reason` is for the log."""
        self.connection_review.migrate(request_id, reason)

    def connection_loads(self) -> dict[bytes, list[ConnectionLoad]]:
        """Loads of the established connections, by endpoint."""
        return self.connection_review.connection_loads()

    def review_unresponsive_endpoints(self) -> None:
        """Migrate the clients of unresponsive endpoints; called several times a second."""
        self.connection_review.review_unresponsive_endpoints()

    def review_latency(self) -> None:
        """Notify the balancer of slow endpoints; called once a second."""
        self.connection_review.review_latency()

    # ---- resources --------------------------------------------------------------------------

    def resource_usage(self, connections: int) -> dict[str, ResourceUsage]:
        """Sizes and bounds of all containers, under their names in `GET /ops/census`.

        `connections` is the maximum number of connections that are open or waiting at once.
        """
        names = max_names()
        views = self.endpoint_views
        balancer = self.balancer
        max_events = MAX_EVENTS_PER_CONNECTION * connections + names
        max_classes = connections + 2 * len(self.settings.offered)
        return {
            "broker.invocations": ResourceUsage(len(self.requests), connections),
            "broker.inbox": ResourceUsage(len(self.inbox.events), max_events),
            "broker.zones": ResourceUsage(len(views.zones), names),
            "broker.starts": ResourceUsage(len(views.started_ns), names),
            "module.hosts": ResourceUsage(len(balancer.endpoints), names),
            "module.hung": ResourceUsage(len(balancer.migration), names),
            "module.pending": ResourceUsage(len(balancer.requests), connections),
            "module.held": ResourceUsage(len(balancer.requests.waiting), connections),
            "settings.classes": ResourceUsage(len(self.settings.classes), max_classes),
            **self.administrative_drains.resource_usage(),
            **views.unconfirmed.resource_usage(names),
            **self.latency_estimator.resource_usage(names),
            **self.deployment_facts.resource_usage(names),
        }
