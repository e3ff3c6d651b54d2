"""Requests, attempts and outcomes: what happens goes to the decision module, what it says is done.

The broker knows no wire and no socket. Fronts hand it requests; endpoints tell it what became of
attempts. Everything that comes in waits in one inbox and is decided in one `step`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from itertools import count

from linnetshift.broker.active_request import ActiveRequest, Attempt, Client, UpstreamConnection
from linnetshift.broker.administrative_drains import MOST_KNOWN, MOST_OUT, AdministrativeDrains
from linnetshift.broker.contracts import Contracts
from linnetshift.broker.deployment_facts import DeploymentFacts
from linnetshift.broker.latency_estimator import LatencyEstimator, Standing
from linnetshift.broker.ports import Connector, Discovery, Timers
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
from linnetshift.routing.events import (
    LOAD_NOTE,
    NEVER_RAN,
    RETURNED,
    SLOW_NOTE,
    AdoptedConnection,
    AttemptEnded,
    ConnectionEstablished,
    ConnectionNote,
    EndpointList,
    Event,
    HealthCheckResult,
    ListForm,
    Outcome,
    Request,
    RequestWithdrawn,
    TimerFired,
)
from linnetshift.routing.settings import Settings

# A connection that brings nothing back must be ended or moved within 7 s.
STALLED_NS = 4_000_000_000
# A sound endpoint answers a line at once, a jammed one too: one that owes an answer for so long, and from
# which nothing has come on any connection since, has vanished, and all of its clients are moved.
SILENT_NS = 400_000_000
# The module's own answer comes by the deadline; this long after it the broker answers in its place.
OVERDUE_NS = 8_000_000
# Connections that were open before the run come back through us within 40 s of its start.
ADOPT_NS = 60_000_000_000
ADOPT_AGAIN_NS = 200_000_000


class Broker:
    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], int],
        timers: Timers,
        discovery: Discovery,
        connector: Connector,
        contracts: Contracts,
    ) -> None:
        self.settings, self.contracts = settings, contracts
        self.balancer = Balancer(settings, seed)
        self.clock, self.timers, self.discovery, self.connector = clock, timers, discovery, connector
        self.started = clock()
        self.inbox: list[Event] = []
        self.requests: dict[int, ActiveRequest] = {}
        self.ids = count(1)
        self.zones: dict[bytes, int] = {}
        self.starts: dict[bytes, int] = {}
        self.latency_estimator = LatencyEstimator()
        self.deployment_facts = DeploymentFacts()
        self.migrated = 0  # clients told to move, ever
        self.administrative_drains = AdministrativeDrains(clock)
        self.configure(settings, contracts)

    def configure(self, settings: Settings, contracts: Contracts) -> None:
        """Also while running: what is known and under way stays."""
        self.settings = settings
        self.balancer.configure(settings)
        aim = min(c.message_latency_objective_ns for c in settings.offered)
        self.latency_estimator.configure(aim, settings.balancers, settings.weights_are_sizes)
        contracts.follow(self.contracts, Counter(i.tenant for i in self.requests.values()))
        self.contracts = contracts

    def post(self, event: Event) -> None:
        if not self.inbox:
            self.timers.schedule_processing()
        self.inbox.append(event)

    def process_events(self) -> None:
        events, self.inbox = self.inbox, []
        if not events:
            return
        # News of endpoints goes first: what came in the same turn is not to be placed by an older list.
        events.sort(key=lambda event: type(event) is not EndpointList)
        for action in self.balancer.step(self.clock(), events):
            self.perform(action)

    def perform(self, action: Action) -> None:
        match action:
            case Send(request_id, endpoint, timeout_ns):
                self.send(request_id, endpoint, timeout_ns)
            case Reject(request_id, retry_after_ns):
                self.reject(request_id, retry_after_ns)
            case Fail(request_id):
                self.fail(request_id)
            case Migrate(request_id):
                self.migrate(request_id, "migrated")
            case Cancel(request_id, number):
                self.cancel(request_id, number)
            case SetTimer(delay_ns, token):
                self.timers.set_balancer_timer(delay_ns, token)
            case Watch(on):
                self.discovery.watch(on)
            case FetchList():
                self.discovery.fetch()
            case HealthCheck(endpoint):
                self.connector.check_health(endpoint)
            case _:
                pass  # there are no peers to tell, and the module's log lines are the bench's

    # ---- what comes in ----------------------------------------------------------------------

    def timer_fired(self, token: int) -> None:
        self.post(TimerFired(token))

    def handle_endpoint_list(self, event: EndpointList) -> None:
        self.apply_endpoint_list(self.administrative_drains.overlay(event))
        for name in self.administrative_drains.trim():
            self.latency_estimator.forget(name)
            self.zones.pop(name, None)
            self.starts.pop(name, None)

    def drain_endpoint(self, endpoint: bytes) -> bool:
        """Send nothing new there until it is called back; whether it was ever listed and is out now."""
        if self.administrative_drains.full() and not self.administrative_drains.holds(endpoint):
            return False
        if self.administrative_drains.knows(endpoint) and not self.administrative_drains.holds(endpoint):
            self.administrative_drains.drain_endpoint(endpoint)
            self.apply_endpoint_list(self.administrative_drains.change(endpoint))
        return self.administrative_drains.knows(endpoint)

    def restore_endpoint(self, endpoint: bytes) -> bool:
        """Use it again at once; whether it was ever listed."""
        if self.administrative_drains.holds(endpoint):
            self.administrative_drains.restore_endpoint(endpoint)
            self.apply_endpoint_list(self.administrative_drains.change(endpoint))
        return self.administrative_drains.knows(endpoint)

    def apply_endpoint_list(self, event: EndpointList) -> None:
        if event.form in (ListForm.FULL, ListForm.CACHED):
            self.zones, self.latency_estimator.weights = {}, {}
            named = {entry.endpoint for entry in event.entries}
            self.starts = {endpoint: at for endpoint, at in self.starts.items() if endpoint in named}
        for entry in event.entries:
            if self.starts.get(entry.endpoint, entry.started_ns) != entry.started_ns:
                self.latency_estimator.restarted(entry.endpoint)
            self.starts[entry.endpoint] = entry.started_ns
            self.zones[entry.endpoint] = entry.zone
            if entry.weight > 0.0:
                self.latency_estimator.weights[entry.endpoint] = entry.weight
        self.deployment_facts.listed(
            event.entries, event.form in (ListForm.FULL, ListForm.CACHED), self.clock()
        )
        self.post(event)

    def handle_health_check_result(
        self, endpoint: bytes, outcome: Outcome, elapsed_ns: int, report: tuple[float, ...]
    ) -> None:
        if outcome == Outcome.OK and self.settings.report_columns:
            self.deployment_facts.reported(bool(report))
        self.post(HealthCheckResult(endpoint, outcome, elapsed_ns, report))

    def submit(self, request: ActiveRequest) -> None:
        """One final answer is owed from here on."""
        request.id, request.began = next(self.ids), self.clock()
        breach = self.contracts.admit(request.tenant, request.klass, request.flags, request.began)
        if breach is not None:
            request.release().reject(breach.wait_ns, breach.limit)
            return
        self.requests[request.id] = request
        if request.adopted_endpoint and request.began - self.started > ADOPT_NS:
            # Whoever still names an endpoint would choose it past the module, a draining one too.
            self.fail(request.id)
            return
        if request.adopted_endpoint:
            self.adopt(request)
            return
        left = max(1, request.deadline - request.began)
        number = request.id  # the request itself would be held until then, answered or not
        request.overdue_timer = self.timers.call_later(left + OVERDUE_NS, lambda: self.overdue(number))
        self.post(
            Request(
                request.id,
                request.klass,
                request.group,
                request.key,
                request.load_hint,
                request.flags,
                request.tenant,
                left,
            )
        )

    def overdue(self, request_id: int) -> None:
        """Whatever keeps the module from it, an answer is owed before the client gives up."""
        if (client := self.answer(request_id)) is not None:
            self.post(RequestWithdrawn(request_id))
            client.fail()

    def handle_established(self, attempt: Attempt, receipt: memoryview) -> None:
        """The endpoint serves: the final answer, and the start of the standing connection."""
        request, now = attempt.request, self.clock()
        attempt.is_established = True
        request.settle()
        if request.flags & RETURNED:
            self.latency_estimator.guest(True, now)
        if request.adopted_endpoint:
            self.post(
                AdoptedConnection(
                    request.id,
                    request.klass,
                    request.group,
                    request.key,
                    request.load_hint,
                    request.flags,
                    request.tenant,
                    attempt.endpoint,
                )
            )
        else:
            self.post(
                ConnectionEstablished(request.id, attempt.number, attempt.endpoint, now - attempt.began)
            )
        request.client.handle_established(receipt)

    def handle_attempt_ended(self, attempt: Attempt, outcome: Outcome, reset: bool = False) -> None:
        """The link is closed: before the connection stood the module may try again, afterwards it is over."""
        request = attempt.request
        if request.attempt is not attempt:
            return
        request.part()
        if outcome not in NEVER_RAN:
            request.possibly_executed_at = request.possibly_executed_at or attempt.began
        if attempt.is_established or request.is_answered:
            client = self.forget(request)
            if attempt.is_established:
                if outcome == Outcome.RESET and self.administrative_drains.knows(attempt.endpoint):
                    self.latency_estimator.dropped(attempt.endpoint, self.clock())
                if outcome != Outcome.OK:
                    self.latency_estimator.guest(False, self.clock())
                if outcome == Outcome.CANCELLED:
                    self.deployment_facts.sent_away()
                client.handle_endpoint_ended(outcome, reset)
        elif request.adopted_endpoint:
            self.retry_adoption(request, outcome)
            return
        self.report_attempt_ended(attempt, outcome)

    def retry_adoption(self, request: ActiveRequest, outcome: Outcome) -> None:
        """Only one endpoint will do: while it cannot be reached, it is asked again."""
        if outcome not in NEVER_RAN or self.clock() + ADOPT_AGAIN_NS >= request.deadline:
            self.fail(request.id)
            return
        request.overdue_timer = self.timers.call_later(ADOPT_AGAIN_NS, lambda: self.adopt(request))

    def adopt(self, request: ActiveRequest) -> None:
        if self.administrative_drains.holds(
            request.adopted_endpoint
        ):  # this goes past the module, which would not send there
            self.fail(request.id)
        elif not request.is_answered:
            self.open(request, request.adopted_endpoint, request.deadline)

    def report_attempt_ended(self, attempt: Attempt, outcome: int) -> None:
        elapsed = self.clock() - attempt.began
        request = attempt.request
        self.post(
            AttemptEnded(
                request.id, attempt.number, attempt.endpoint, request.is_answered, elapsed, outcome, ()
            )
        )

    def handle_client_ended(self, request: ActiveRequest, reset: bool) -> None:
        """The client left, or has been sent away."""
        if request.id not in self.requests:
            return
        attempt, waiting = request.attempt, not request.is_answered
        link = request.part()
        self.forget(request)
        if waiting and not request.adopted_endpoint:
            self.post(RequestWithdrawn(request.id))
        if attempt is None:
            return
        if link is not None:
            if attempt.is_established:
                link.handle_client_ended(reset)
            else:
                link.abandon()
        if attempt.is_established or not request.adopted_endpoint:
            self.report_attempt_ended(attempt, attempt.outcome_on_client_end)

    def record_response_time(self, attempt: Attempt, elapsed_ns: int) -> None:
        """An endpoint's reply to a client's message came after so long."""
        if not self.administrative_drains.knows(attempt.endpoint):
            return  # trimmed: nothing is kept under its name any more
        zone = self.zones.get(attempt.endpoint)
        far = zone if zone != self.settings.zone else None
        self.latency_estimator.answered(attempt.endpoint, far, elapsed_ns, self.clock())

    def record_load_report(self, attempt: Attempt, load: float) -> None:
        """The connection's load, or the time that messages take at the endpoint: the figure tells which."""
        endpoint = attempt.endpoint
        if not self.administrative_drains.knows(endpoint):
            return  # trimmed: nothing is kept under its name any more
        if self.settings.reports_message_time and self.latency_estimator.tells_time(
            endpoint, load, self.clock()
        ):
            self.deployment_facts.found("message-times", "told")
            self.note(attempt, SLOW_NOTE, load)
            return
        attempt.load = load
        self.note(attempt, LOAD_NOTE, load)

    def linked(self) -> dict[bytes, list[tuple[Attempt, UpstreamConnection]]]:
        """What stands, by endpoint."""
        held: dict[bytes, list[tuple[Attempt, UpstreamConnection]]] = {}
        for request in self.established():
            attempt = request.attempt
            if attempt is not None and attempt.link is not None:
                held.setdefault(attempt.endpoint, []).append((attempt, attempt.link))
        return held

    def review_unresponsive_endpoints(self) -> None:
        """Some times a second: a machine that vanished neither answers nor resets."""
        for held in self.linked().values():
            quiet = min(link.idle_ns() for _, link in held)
            longest = max(link.oldest_unanswered_ns() for _, link in held)
            vanished = longest > SILENT_NS and quiet >= longest
            for attempt, link in held:
                if attempt.outcome_on_client_end == Outcome.CANCELLED and (
                    vanished or link.oldest_unanswered_ns() > STALLED_NS
                ):
                    attempt.outcome_on_client_end = Outcome.RESET
                    self.migrate(attempt.request.id, "unresponsive")

    def review_latency(self) -> None:
        """Once a second: note the endpoints whose messages are slow, each on one connection."""
        linked = self.linked()
        self.deployment_facts.review(linked.keys(), self.clock())
        if self.settings.reports_message_time:
            first = {endpoint: held[0][0] for endpoint, held in linked.items()}
            for endpoint, ms in self.latency_estimator.review(self.loads(), self.clock()):
                self.note(first[endpoint], SLOW_NOTE, ms)

    def loads(self) -> dict[bytes, list[Standing]]:
        """What stands asks of each endpoint."""
        return {
            endpoint: [
                Standing(attempt.load, attempt.request.group, link.oldest_unanswered_ns())
                for attempt, link in held
            ]
            for endpoint, held in self.linked().items()
        }

    def note(self, attempt: Attempt, kind: int, value: float) -> None:
        self.post(ConnectionNote(attempt.request.id, attempt.number, attempt.endpoint, kind, value))

    # ---- what the module says ---------------------------------------------------------------

    def send(self, request_id: int, endpoint: bytes, timeout_ns: int) -> None:
        request = self.requests.get(request_id)
        if request is None or request.is_answered or request.attempt is not None:
            # Withdrawn in the meantime. Two attempts of one request must never be out together.
            number = 0 if request is None else request.attempts
            self.post(AttemptEnded(request_id, number, endpoint, True, 0, Outcome.MOOT, ()))
            return
        if not request.client.is_present:  # its end is about to be read
            self.post(AttemptEnded(request_id, request.attempts, endpoint, True, 0, Outcome.MOOT, ()))
            return
        left = request.deadline - self.clock()
        within = min(timeout_ns, left) if timeout_ns > 0 else left
        self.open(request, endpoint, self.clock() + within)

    def open(self, request: ActiveRequest, endpoint: bytes, deadline: int) -> None:
        attempt = Attempt(request, request.attempts, endpoint, self.clock(), deadline)
        request.attempts += 1
        request.attempt = attempt
        self.connector.open(attempt)

    def may_send(self, attempt: Attempt) -> bool:
        """Whether the attempt's line may go out now. Asked at that instant, and by whoever sends.

        Its connection took a while to come up, since the module decided: meanwhile the list may have told
        that the endpoint leaves, operators may have taken it out, the client may have left, its time or the
        time for repeats may be over.
        """
        request, endpoint, now = attempt.request, attempt.endpoint, self.clock()
        if request.attempt is not attempt or request.is_answered or not request.client.is_present:
            return False
        if self.administrative_drains.holds(endpoint) or not (
            request.adopted_endpoint or self.administrative_drains.ready(endpoint)
        ):
            return False
        klass, first = self.settings.classes[request.klass], request.possibly_executed_at
        return now < attempt.deadline and (not first or klass.may_retry(first, now))

    def is_retry_safe(self, request: ActiveRequest) -> bool:
        """Whether the client may be told that coming again is harmless."""
        attempt = request.attempt
        first = request.possibly_executed_at or (
            attempt.began if attempt is not None and attempt.is_sent else 0
        )
        klass, again_by = (
            self.settings.classes[request.klass],
            self.clock() + self.settings.max_retry_after_ns,
        )
        return not first or klass.client_may_retry(first, again_by)

    def answer_unserved(self, request: ActiveRequest) -> None:
        """Answer it now, past the module: rejected where coming again is harmless, else failed."""
        if self.is_retry_safe(request):
            self.reject(request.id)
        else:
            self.fail(request.id)

    def reject(self, request_id: int, retry_after_ns: int = 0) -> None:
        if (client := self.answer(request_id)) is not None:
            client.reject(retry_after_ns, "")

    def fail(self, request_id: int) -> None:
        if (client := self.answer(request_id)) is not None:
            client.fail()

    def answer(self, request_id: int) -> Client | None:
        """The client to give its one final answer, unless it has had it."""
        request = self.requests.get(request_id)
        if request is None or request.is_answered:
            return None
        attempt, link = request.attempt, request.part()
        client = self.forget(request)
        if link is not None:
            link.abandon()
        if attempt is not None:
            self.report_attempt_ended(attempt, Outcome.CANCELLED)
        return client

    def cancel(self, request_id: int, number: int) -> None:
        request = self.requests.get(request_id)
        attempt = request.attempt if request is not None else None
        if attempt is None or attempt.number != number or attempt.is_established:
            return
        if attempt.link is not None:
            attempt.link.abandon()
        self.handle_attempt_ended(attempt, Outcome.CANCELLED)

    def migrate(self, request_id: int, reason: str) -> None:
        request = self.requests.get(request_id)
        if request is not None and request.attempt is not None and request.attempt.is_established:
            self.latency_estimator.guest(False, self.clock())
            self.migrated += 1
            request.client.migrate(reason)

    def forget(self, request: ActiveRequest) -> Client:
        """It is over; its client, which it holds no longer."""
        if self.requests.pop(request.id, None) is not None:
            self.contracts.release(request.tenant)
        return request.release()

    def resource_usage(self, connections: int) -> dict[str, ResourceUsage]:
        """What is held; `connections` is the most that may be open or waiting at once."""
        names, balancer = MOST_KNOWN + MOST_OUT, self.balancer
        return {
            "broker.invocations": ResourceUsage(len(self.requests), connections),
            "broker.inbox": ResourceUsage(len(self.inbox), 8 * connections + names),
            "broker.zones": ResourceUsage(len(self.zones), names),
            "broker.starts": ResourceUsage(len(self.starts), names),
            "module.hosts": ResourceUsage(len(balancer.endpoints), names),
            "module.hung": ResourceUsage(len(balancer.migration), names),
            "module.pending": ResourceUsage(len(balancer.requests), connections),
            "module.held": ResourceUsage(len(balancer.requests.waiting), connections),
            "settings.classes": ResourceUsage(
                len(self.settings.classes), connections + 2 * len(self.settings.offered)
            ),
            **self.administrative_drains.resource_usage(),
            **self.latency_estimator.resource_usage(names),
            **self.deployment_facts.resource_usage(names),
        }

    # ---- leaving ----------------------------------------------------------------------------

    def established(self) -> list[ActiveRequest]:
        return [i for i in self.requests.values() if i.attempt is not None and i.attempt.is_established]

    def unanswered(self) -> list[ActiveRequest]:
        return [i for i in self.requests.values() if not i.is_answered]


__all__ = ["ActiveRequest", "Attempt", "Broker", "Client"]
