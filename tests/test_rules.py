"""Property tests of the balancer: random event sequences against a simulation that checks every action.

A request gets one final answer in time, an attempt only where a retry is allowed and the endpoint may serve,
and a warming-up endpoint no more attempts than slow start permits.

Hypothesis derives the seed of a derandomized test from its source text: editing one changes its examples.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Sequence
from typing import Any, NamedTuple

from conftest import MS, S, effect, endpoint, entry, raw_settings
from hypothesis import given, settings
from hypothesis import strategies as st

from linnetshift.routing.actions import (
    Action,
    Fail,
    HealthCheck,
    Migrate,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
)
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import (
    MESSAGE_TIME_NOTE,
    MID_FLOW,
    NOT_EXECUTED_OUTCOMES,
    RETURNED,
    AttemptEnded,
    ConnectionEstablished,
    ConnectionNote,
    EndpointList,
    EndpointState,
    Event,
    HealthCheckResult,
    ListForm,
    Outcome,
    PeerMessage,
    Request,
    RequestWithdrawn,
    TimerFired,
)
from linnetshift.routing.settings import Effect, Scope, Settings

BATCH_NS = 4 * MS
"""Interval between the balancer's batches of events."""

FAILURES = [Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET]


class AttemptInFlight(NamedTuple):
    """An attempt without a result so far."""

    number: int
    endpoint: bytes
    sent_at: int


class PossibleExecution(NamedTuple):
    """The first attempt of a request that may have had an effect."""

    endpoint: bytes
    sent_at: int


class Simulation:
    """Endpoints that fail at random: asserts the rules on each action and schedules each attempt's result."""

    def __init__(self, seed: int, failure_probability: float, **changes: Any) -> None:
        self.random = random.Random(seed)
        self.failure_probability = failure_probability
        self.settings = Settings.parse(raw_settings(**changes))
        self.balancer = Balancer(self.settings, seed)
        self.now = S
        self.scheduled: list[tuple[int, int, Event]] = []
        self.scheduled_count = 0
        self.deadlines: dict[int, int] = {}  # of unanswered requests
        self.in_flight: dict[int, AttemptInFlight] = {}  # by request
        self.attempts: dict[int, int] = {}  # number of the latest attempt, by request
        self.established: dict[int, bytes] = {}  # endpoint by request
        self.possible_executions: dict[int, PossibleExecution] = {}  # by request
        self.unavailable_since: dict[bytes, int] = {}
        self.zones = {endpoint(n): entry(n).zone for n in range(12)}
        self.answered = 0
        self.states: dict[bytes, int] = {endpoint(n): EndpointState.READY for n in range(12)}
        self.started_at: dict[bytes, int] = {}
        self.slow_start_sends: dict[bytes, list[int]] = {}
        self.established_total = 0
        self.max_established = 0
        self.min_total_capacity = 12.0

    def warm_up_factor(self, endpoint_id: bytes) -> float:
        """Share of its full capacity that the endpoint has by now, from 0 to 1."""
        progress = (self.now - self.started_at.get(endpoint_id, -(10**12))) / self.settings.warm_up_ns
        return min(
            1.0,
            self.settings.initial_capacity_share + (1 - self.settings.initial_capacity_share) * progress,
        )

    def check_slow_start(self, endpoint_id: bytes) -> None:
        """Assert that this balancer's sends to a warming-up endpoint stay within its slow-start budget.

        The budget is per overload window and assumes that all balancers send equally. The rate of a warm
        endpoint is bounded by the most connections the balancer has had established, and by all it has
        established, divided by the listed capacity. One slow-start token may be left from before the window.
        """
        total_capacity = sum(
            int(self.warm_up_factor(listed_id) * 8) / 8
            for listed_id, state in self.states.items()
            if state != EndpointState.REMOVED
        )
        self.min_total_capacity = min(self.min_total_capacity, total_capacity)
        if self.warm_up_factor(endpoint_id) >= 1.0:
            return
        window, warm_up = self.settings.overload_window_ns, self.settings.warm_up_ns
        sends = self.slow_start_sends.setdefault(endpoint_id, [])
        sends.append(self.now)
        recent = sum(self.now - at < window for at in sends)
        connections_per_s = (
            max(self.max_established / (warm_up / S), self.established_total / 10) / self.min_total_capacity
        )
        assert recent <= 2 + self.settings.overload_multiple * connections_per_s * window / S

    def call_later(self, delay: int, event: Event) -> None:
        self.scheduled_count += 1
        heapq.heappush(self.scheduled, (self.now + delay, self.scheduled_count, event))

    def feed(self, events: list[Event]) -> None:
        for action in self.balancer.step(self.now, events):
            self.check(action)
        for request, deadline in self.deadlines.items():
            assert self.now <= deadline + self.settings.answer_slack_ns, f"{request} is overdue"

    def check(self, action: Action) -> None:
        """Assert that the action is allowed, and carry it out."""
        match action:
            case Send():
                self.check_send(action)
            case Reject(request, _):
                self.check_reject(request)
            case Fail(request):
                self.check_answer(request)
            case SetTimer(delay, token):
                self.call_later(max(delay, 1), TimerFired(token))
            case Migrate(request):
                assert request in self.established
                endpoint_id = self.established.pop(request)
                attempt = self.attempts[request]
                self.call_later(
                    MS, AttemptEnded(request, attempt, endpoint_id, True, S, Outcome.CANCELLED, ())
                )
            case HealthCheck() | SendPeerMessage():
                raise AssertionError("not permitted here")

    def check_send(self, send: Send) -> None:
        request, endpoint_id, timeout = send
        assert request in self.deadlines
        assert request not in self.in_flight
        unavailable_ns = self.now - self.unavailable_since.get(endpoint_id, self.now)
        assert unavailable_ns <= self.settings.drain_grace_ns
        self.check_retry_allowed(request, endpoint_id)
        self.check_slow_start(endpoint_id)
        attempt = self.attempts[request] = self.attempts.get(request, -1) + 1
        assert attempt < self.settings.classes[0].max_attempts
        self.in_flight[request] = AttemptInFlight(attempt, endpoint_id, self.now)
        self.schedule_result(request, attempt, endpoint_id, min(timeout, self.deadlines[request] - self.now))

    def check_reject(self, request: int) -> None:
        """Assert that a rejected request has no attempt in flight and is safe for its client to retry."""
        request_class = self.settings.classes[0]
        assert request not in self.in_flight
        assert (
            request not in self.possible_executions
            or request_class.effect == Effect.IDEMPOTENT
            or (request_class.effect == Effect.IDEMPOTENT_BY_KEY and request_class.scope == Scope.ALL)
        )
        self.check_answer(request)

    def check_answer(self, request: int) -> None:
        """Assert that the request has had no final answer so far, and record this one."""
        assert request in self.deadlines
        del self.deadlines[request]
        self.answered += 1

    def check_retry_allowed(self, request: int, endpoint_id: bytes) -> None:
        """Assert that a request that may have been executed is retried only where its effect allows it."""
        request_class = self.settings.classes[0]
        if request not in self.possible_executions or request_class.effect == Effect.IDEMPOTENT:
            return
        first = self.possible_executions[request]
        assert request_class.effect == Effect.IDEMPOTENT_BY_KEY
        assert self.now - first.sent_at <= request_class.idempotency_window_ns
        assert request_class.scope == Scope.ALL or self.zones[endpoint_id] == self.zones[first.endpoint]

    def schedule_result(self, request: int, attempt: int, endpoint_id: bytes, timeout: int) -> None:
        delay = self.random.randrange(1, 300) * MS
        if self.random.random() >= self.failure_probability and delay < timeout:
            self.call_later(delay, ConnectionEstablished(request, attempt, endpoint_id, delay))
            return
        outcome = self.random.choice(FAILURES)
        delay = timeout if outcome == Outcome.TIMEOUT else min(delay, timeout)
        self.call_later(delay, AttemptEnded(request, attempt, endpoint_id, False, delay, outcome, ()))

    def advance(self, until: int) -> None:
        """Deliver the scheduled events up to this time, each at the next batch interval."""
        while self.scheduled and self.scheduled[0][0] <= until:
            at, _, event = heapq.heappop(self.scheduled)
            self.now = max(self.now, -(-at // BATCH_NS) * BATCH_NS)  # rounded up to the batch interval
            match event:
                case ConnectionEstablished(request, _, endpoint_id, _):
                    del self.in_flight[request]
                    del self.deadlines[request]
                    self.established[request] = endpoint_id
                    self.established_total += 1
                    self.max_established = max(self.max_established, len(self.established))
                    self.answered += 1
                case AttemptEnded(request, _, endpoint_id, closed, _, outcome, _) if not closed:
                    attempt = self.in_flight.pop(request)
                    if outcome not in NOT_EXECUTED_OUTCOMES:
                        execution = PossibleExecution(endpoint_id, attempt.sent_at)
                        self.possible_executions.setdefault(request, execution)
            self.feed([event])
        self.now = max(self.now, until)


class SendRequests(NamedTuple):
    """This many requests arrive."""

    request_count: int


class Wait(NamedTuple):
    """Time passes, in units of the balancer's batch interval."""

    batches: int


class ChangeState(NamedTuple):
    """An endpoint is listed in another state."""

    endpoint_number: int
    state: int


class RestartEndpoint(NamedTuple):
    """An endpoint restarts and is listed as ready."""

    endpoint_number: int


class ReportLatency(NamedTuple):
    """Each established connection reports a slow message, of this latency."""

    latency_ms: float


class SendInvalidEvent(NamedTuple):
    """One of `INVALID_EVENTS` arrives."""

    event_number: int


class BreakConnections(NamedTuple):
    """The oldest established connections are reset."""

    connection_count: int


Step = (
    SendRequests | Wait | ChangeState | RestartEndpoint | ReportLatency | SendInvalidEvent | BreakConnections
)

ENDPOINT_NUMBERS = st.integers(0, 11)

STEPS: st.SearchStrategy[list[Step]] = st.lists(
    st.one_of(
        st.builds(SendRequests, st.integers(1, 6)),
        st.builds(Wait, st.integers(1, 400)),
        st.builds(ChangeState, ENDPOINT_NUMBERS, st.sampled_from([0, 1, 2])),
        st.builds(RestartEndpoint, ENDPOINT_NUMBERS),
        st.builds(ReportLatency, st.floats(0, 4000)),
        st.builds(SendInvalidEvent, st.integers(0, 5)),
        st.builds(BreakConnections, st.integers(0, 3)),
    ),
    max_size=60,
)


INVALID_EVENTS: list[Event] = [
    RequestWithdrawn(10**6),
    TimerFired(4242),
    PeerMessage(60000, b"\xff\x00junk"),
    HealthCheckResult(endpoint(3), 1, 5, (float("nan"),)),
    EndpointList(ListForm.FAILED, 0, ()),
    AttemptEnded(10**6, 0, endpoint(250), False, 1, Outcome.RESET, (1.0,)),
]


class StepRunner:
    """Carries out the drawn steps in a simulation."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.last_request_id = 0

    def run(self, step: Step) -> None:
        match step:
            case SendRequests(request_count):
                for _ in range(request_count):
                    self.send_request()
            case Wait(batches):
                self.simulation.advance(self.simulation.now + batches * BATCH_NS)
            case ChangeState(number, state):
                self.change_state(number, state)
            case RestartEndpoint(number):
                self.restart_endpoint(number)
            case ReportLatency(latency_ms):
                self.report_latency(latency_ms)
            case SendInvalidEvent(number):
                self.simulation.feed([INVALID_EVENTS[number]])
            case BreakConnections(connection_count):
                self.break_connections(connection_count)

    def send_request(self) -> None:
        simulation = self.simulation
        self.last_request_id += 1
        number = self.last_request_id
        budget = simulation.random.choice([50, 400, 1000, 2000]) * MS
        simulation.deadlines[number] = simulation.now + budget
        flags = simulation.random.choice([0, 0, MID_FLOW, RETURNED])
        group = simulation.random.randrange(8)
        simulation.feed([Request(number, 0, group, number, 0, flags, 0, budget)])

    def change_state(self, endpoint_number: int, state: int) -> None:
        simulation = self.simulation
        changed = entry(endpoint_number, state=state)
        simulation.states[changed.endpoint] = state
        simulation.started_at.pop(changed.endpoint, None)
        if state == EndpointState.READY:
            simulation.unavailable_since.pop(changed.endpoint, None)
        else:
            simulation.unavailable_since.setdefault(changed.endpoint, simulation.now)
        simulation.feed([EndpointList(ListForm.DELTA, 2, (changed,))])

    def restart_endpoint(self, endpoint_number: int) -> None:
        simulation = self.simulation
        simulation.unavailable_since.pop(endpoint(endpoint_number), None)
        simulation.states[endpoint(endpoint_number)] = EndpointState.READY
        simulation.started_at[endpoint(endpoint_number)] = simulation.now
        simulation.slow_start_sends.pop(endpoint(endpoint_number), None)
        simulation.feed(
            [EndpointList(ListForm.DELTA, 2, (entry(endpoint_number, started_ns=simulation.now),))]
        )

    def report_latency(self, latency_ms: float) -> None:
        simulation = self.simulation
        notes = [
            ConnectionNote(request, 0, endpoint_id, MESSAGE_TIME_NOTE, latency_ms)
            for request, endpoint_id in simulation.established.items()
        ]
        for note in notes:
            if note.request_id in simulation.established:  # an earlier note may have migrated the connection
                simulation.feed([note])

    def break_connections(self, count: int) -> None:
        simulation = self.simulation
        for request in list(simulation.established)[:count]:
            endpoint_id = simulation.established.pop(request)
            ended = AttemptEnded(
                request, simulation.attempts[request], endpoint_id, True, S, Outcome.RESET, ()
            )
            simulation.feed([ended])


def play(simulation: Simulation, steps: list[Step]) -> None:
    """Run the steps, let all deadlines pass, and check that requests and counts of open connections agree."""
    simulation.feed([EndpointList(ListForm.CACHED, 1, tuple(entry(n) for n in range(12)))])
    runner = StepRunner(simulation)
    for step in steps:
        runner.run(step)
    simulation.advance(simulation.now + 5 * S)
    assert not simulation.deadlines
    assert set(simulation.balancer.requests) == set(simulation.established)
    assert sum(e.in_flight for e in simulation.balancer.endpoints.values()) == len(simulation.established)
    assert len(simulation.balancer.requests.waiting) == 0


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.integers(0, 2**32), st.sampled_from([0.0, 0.2, 0.8]), STEPS)
def test_rules_hold_for_idempotent_requests(seed: int, failure_probability: float, steps: list[Step]) -> None:
    play(Simulation(seed, failure_probability), steps)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.integers(0, 2**32), st.sampled_from([0.2, 0.8]), STEPS)
def test_rules_hold_for_requests_that_are_not_idempotent(
    seed: int, failure_probability: float, steps: list[Step]
) -> None:
    play(Simulation(seed, failure_probability, **effect("once")), steps)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.integers(0, 2**32), st.sampled_from([0.2, 0.8]), st.sampled_from(["all", "zone"]), STEPS)
def test_rules_hold_for_requests_with_an_idempotency_key(
    seed: int, failure_probability: float, group: str, steps: list[Step]
) -> None:
    play(Simulation(seed, failure_probability, **effect("by_key", group, windowNs=300 * MS)), steps)


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.integers(0, 2**32), STEPS)
def test_same_events_give_the_same_actions(seed: int, steps: list[Step]) -> None:
    assert actions_of_play(seed, steps) == actions_of_play(seed, steps)


def actions_of_play(seed: int, steps: list[Step]) -> list[Action]:
    """All actions of the balancer while the steps run in a new simulation."""
    simulation = Simulation(seed, 0.4)
    actions: list[Action] = []
    step = simulation.balancer.step

    def record_actions(now_ns: int, events: Sequence[Event]) -> list[Action]:
        step_actions = step(now_ns, events)
        actions.extend(step_actions)
        return step_actions

    simulation.balancer.step = record_actions  # type: ignore[method-assign]
    play(simulation, steps)
    return actions
