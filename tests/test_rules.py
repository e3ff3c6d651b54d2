"""Random legal sequences of events, played against a small world that checks the rules on every action."""

from __future__ import annotations

import heapq
import random
from typing import Any

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
    MID_FLOW,
    NEVER_RAN,
    RETURNED,
    SLOW_NOTE,
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

FAILURES = [Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET]


class World:
    """Endpoints that fail at random; it answers every attempt and raises on any broken rule."""

    def __init__(self, seed: int, failing: float, **changes: Any) -> None:
        self.random = random.Random(seed)
        self.failing = failing
        self.settings = Settings.parse(raw_settings(**changes))
        self.node = Balancer(self.settings, seed)
        self.now = S
        self.due: list[tuple[int, int, Event]] = []
        self.order = 0
        self.owed: dict[int, int] = {}  # open requests and their deadlines
        self.out: dict[int, tuple[int, bytes, int]] = {}  # request: attempt, endpoint, sent
        self.attempts: dict[int, int] = {}
        self.standing: dict[int, bytes] = {}
        self.maybe: dict[int, tuple[bytes, int]] = {}  # first attempt that may have run
        self.told: dict[bytes, int] = {}
        self.zone = {endpoint(n): entry(n).zone for n in range(12)}
        self.answered = 0
        self.state: dict[bytes, int] = {endpoint(n): EndpointState.READY for n in range(12)}
        self.started: dict[bytes, int] = {}
        self.cold_sends: dict[bytes, list[int]] = {}
        self.first_stands = 0
        self.most_standing = 0
        self.least_total = 12.0

    def warmth(self, where: bytes) -> float:
        age = (self.now - self.started.get(where, -(10**12))) / self.settings.warm_up_ns
        return min(
            1.0, self.settings.initial_capacity_share + (1 - self.settings.initial_capacity_share) * age
        )

    def check_cold(self, where: bytes) -> None:
        """Rule 4 as one node can keep it: its sends in any window, as if every node sent as many.

        A warm endpoint of this size takes at most what the node ever held or saw come to stand, shared over
        the weights listed; one token may be left from before.
        """
        total = sum(int(self.warmth(h) * 8) / 8 for h, s in self.state.items() if s != EndpointState.REMOVED)
        self.least_total = min(self.least_total, total)
        if self.warmth(where) >= 1.0:
            return
        window, warm_up = self.settings.overload_window_ns, self.settings.warm_up_ns
        sends = self.cold_sends.setdefault(where, [])
        sends.append(self.now)
        recent = sum(self.now - at < window for at in sends)
        takes = max(self.most_standing / (warm_up / S), self.first_stands / 10) / self.least_total
        assert recent <= 2 + self.settings.overload_multiple * takes * window / S

    def call_later(self, delay: int, event: Event) -> None:
        self.order += 1
        heapq.heappush(self.due, (self.now + delay, self.order, event))

    def feed(self, events: list[Event]) -> None:
        for action in self.node.step(self.now, events):
            self.check(action)
        for request, deadline in self.owed.items():
            assert self.now <= deadline + self.settings.answer_slack_ns, f"{request} is overdue"

    def check(self, action: Action) -> None:
        match action:
            case Send(request, where, timeout):
                assert request in self.owed
                assert request not in self.out
                assert self.now - self.told.get(where, self.now) <= self.settings.drain_grace_ns
                self.allow_repeat(request, where)
                self.check_cold(where)
                attempt = self.attempts[request] = self.attempts.get(request, -1) + 1
                assert attempt < self.settings.classes[0].max_attempts
                self.out[request] = (attempt, where, self.now)
                self.answer(request, attempt, where, min(timeout, self.owed[request] - self.now))
            case Reject(request, _):
                klass = self.settings.classes[0]
                assert request in self.owed
                assert request not in self.out
                assert (
                    request not in self.maybe
                    or klass.effect == Effect.IDEMPOTENT
                    or (klass.effect == Effect.IDEMPOTENT_BY_KEY and klass.scope == Scope.ALL)
                )
                del self.owed[request]
                self.answered += 1
            case Fail(request):
                assert request in self.owed
                del self.owed[request]
                self.answered += 1
            case SetTimer(delay, token):
                self.call_later(max(delay, 1), TimerFired(token))
            case Migrate(request):
                where = self.standing.pop(request)
                attempt = self.attempts[request]
                self.call_later(MS, AttemptEnded(request, attempt, where, True, S, Outcome.CANCELLED, ()))
            case HealthCheck() | SendPeerMessage():
                raise AssertionError("not permitted here")

    def allow_repeat(self, request: int, where: bytes) -> None:
        klass = self.settings.classes[0]
        if request not in self.maybe or klass.effect == Effect.IDEMPOTENT:
            return
        first, sent = self.maybe[request]
        assert klass.effect == Effect.IDEMPOTENT_BY_KEY
        assert self.now - sent <= klass.idempotency_window_ns
        assert klass.scope == Scope.ALL or self.zone[where] == self.zone[first]

    def answer(self, request: int, attempt: int, where: bytes, timeout: int) -> None:
        delay = self.random.randrange(1, 300) * MS
        if self.random.random() >= self.failing and delay < timeout:
            self.call_later(delay, ConnectionEstablished(request, attempt, where, delay))
            return
        outcome = self.random.choice(FAILURES)
        delay = timeout if outcome == Outcome.TIMEOUT else min(delay, timeout)
        self.call_later(delay, AttemptEnded(request, attempt, where, False, delay, outcome, ()))

    def advance(self, until: int) -> None:
        while self.due and self.due[0][0] <= until:
            at, _, event = heapq.heappop(self.due)
            self.now = max(self.now, -(-at // (4 * MS)) * 4 * MS)  # batches come in steps
            match event:
                case ConnectionEstablished(request, _, where, _):
                    del self.out[request]
                    del self.owed[request]
                    self.standing[request] = where
                    self.first_stands += 1
                    self.most_standing = max(self.most_standing, len(self.standing))
                    self.answered += 1
                case AttemptEnded(request, _, where, closed, _, outcome, _) if not closed:
                    _, _, sent = self.out.pop(request)
                    if outcome not in NEVER_RAN:
                        self.maybe.setdefault(request, (where, sent))
            self.feed([event])
        self.now = max(self.now, until)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("requests"), st.integers(1, 6)),
        st.tuples(st.just("wait"), st.integers(1, 400)),
        st.tuples(st.just("state"), st.integers(0, 11), st.sampled_from([0, 1, 2])),
        st.tuples(st.just("restart"), st.integers(0, 11)),
        st.tuples(st.just("slow"), st.floats(0, 4000)),
        st.tuples(st.just("noise"), st.integers(0, 5)),
        st.tuples(st.just("break"), st.integers(0, 3)),
    ),
    max_size=60,
)


def play(world: World, steps: list[tuple[Any, ...]]) -> None:
    world.feed([EndpointList(ListForm.CACHED, 1, tuple(entry(n) for n in range(12)))])
    number = 0
    for step in steps:
        match step:
            case ("requests", count):
                for _ in range(count):
                    number += 1
                    budget = world.random.choice([50, 400, 1000, 2000]) * MS
                    world.owed[number] = world.now + budget
                    flags = world.random.choice([0, 0, MID_FLOW, RETURNED])
                    group = world.random.randrange(8)
                    world.feed([Request(number, 0, group, number, 0, flags, 0, budget)])
            case ("wait", ms):
                world.advance(world.now + ms * 4 * MS)
            case ("state", n, state):
                changed = entry(n, state=state)
                world.state[changed.endpoint] = state
                world.started.pop(changed.endpoint, None)
                if state == EndpointState.READY:
                    world.told.pop(changed.endpoint, None)
                else:
                    world.told.setdefault(changed.endpoint, world.now)
                world.feed([EndpointList(ListForm.DELTA, 2, (changed,))])
            case ("restart", n):
                world.told.pop(endpoint(n), None)
                world.state[endpoint(n)], world.started[endpoint(n)] = EndpointState.READY, world.now
                world.cold_sends.pop(endpoint(n), None)
                world.feed([EndpointList(ListForm.DELTA, 2, (entry(n, started_ns=world.now),))])
            case ("slow", value):
                notes = [ConnectionNote(r, 0, h, SLOW_NOTE, value) for r, h in world.standing.items()]
                known = [n for n in notes if n.request_id in world.standing]
                for note in known:
                    if note.request_id in world.standing:
                        world.feed([note])
            case ("noise", kind):
                world.feed(
                    [
                        [RequestWithdrawn(10**6)],
                        [TimerFired(4242)],
                        [PeerMessage(60000, b"\xff\x00junk")],
                        [HealthCheckResult(endpoint(3), 1, 5, (float("nan"),))],
                        [EndpointList(ListForm.FAILED, 0, ())],
                        [AttemptEnded(10**6, 0, endpoint(250), False, 1, Outcome.RESET, (1.0,))],
                    ][kind]
                )
            case ("break", count):
                for request in list(world.standing)[:count]:
                    where = world.standing.pop(request)
                    ended = AttemptEnded(request, world.attempts[request], where, True, S, Outcome.RESET, ())
                    world.feed([ended])
    world.advance(world.now + 5 * S)
    assert not world.owed
    assert set(world.node.requests) == set(world.standing)
    assert sum(h.in_flight for h in world.node.endpoints.values()) == len(world.standing)
    assert len(world.node.requests.waiting) == 0


def check_effect(seed: int, failing: float, steps: list[tuple[Any, ...]], changes: dict[str, Any]) -> None:
    play(World(seed, failing, **changes), steps)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.integers(0, 2**32), st.sampled_from([0.0, 0.2, 0.8]), STEPS)
def test_rules_hold_for_repeatable_requests(seed: int, failing: float, steps: list[tuple[Any, ...]]) -> None:
    check_effect(seed, failing, steps, {})


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.integers(0, 2**32), st.sampled_from([0.2, 0.8]), STEPS)
def test_rules_hold_for_requests_that_may_run_once(
    seed: int, failing: float, steps: list[tuple[Any, ...]]
) -> None:
    check_effect(seed, failing, steps, effect("once"))


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.integers(0, 2**32), st.sampled_from([0.2, 0.8]), st.sampled_from(["all", "zone"]), STEPS)
def test_rules_hold_for_keyed_requests(
    seed: int, failing: float, group: str, steps: list[tuple[Any, ...]]
) -> None:
    check_effect(seed, failing, steps, effect("by_key", group, windowNs=300 * MS))


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.integers(0, 2**32), STEPS)
def test_the_same_events_give_the_same_actions(seed: int, steps: list[tuple[Any, ...]]) -> None:
    logs = []
    for _ in range(2):
        world = World(seed, 0.4)
        log: list[Action] = []
        step = world.node.step

        def recorded(now: int, events: Any, step: Any = step, log: list[Action] = log) -> list[Action]:
            actions: list[Action] = step(now, events)
            log.extend(actions)
            return actions

        world.node.step = recorded  # type: ignore[method-assign]
        play(world, steps)
        logs.append(log)
    assert logs[0] == logs[1]
