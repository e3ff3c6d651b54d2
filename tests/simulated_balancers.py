"""Several balancers on one simulated clock, with a common record of their actions.

The test configures which endpoints establish connections and how long their health checks take, and selects
the balancer of each request. A balancer receives only its own events. Times are in nanoseconds.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from itertools import count
from typing import Any, NamedTuple

from conftest import MS, S, listed, raw_settings

from linnetshift.routing.actions import Action, Fail, HealthCheck, Migrate, Reject, Send, SetTimer, Watch
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import (
    AttemptEnded,
    ConnectionEstablished,
    EndpointEntry,
    Event,
    HealthCheckResult,
    Outcome,
    Request,
    TimerFired,
)
from linnetshift.routing.settings import Settings

ANSWER_NS = 1 * MS  # response time of a healthy endpoint


class ScheduledEvent(NamedTuple):
    """A scheduled event; sorted by its time, then by the order of scheduling."""

    at: int
    order: int
    balancer: int
    event: Event


class SentAttempt(NamedTuple):
    """An attempt that a balancer sent."""

    at: int
    balancer: int
    request_id: int
    endpoint: bytes


class SentHealthCheck(NamedTuple):
    """A health check that a balancer sent."""

    at: int
    balancer: int
    endpoint: bytes


class SentMigration(NamedTuple):
    """A connection that a balancer migrated."""

    at: int
    balancer: int
    request_id: int


class SimulatedBalancers:
    """The balancers, their simulated clock and the record of their actions."""

    def __init__(
        self, balancer_count: int, endpoints: tuple[EndpointEntry, ...], seed: int = 0, **changes: object
    ) -> None:
        # With `perZone` balancers are spread over three zones, else all are in the first.
        zones = 3 if changes.pop("perZone", False) else 1
        settings = [
            raw_settings(**{**changes, "myNumber": n, "balancers": balancer_count, "zone": n % zones})
            for n in range(balancer_count)
        ]
        self.balancers = [Balancer(Settings.parse(raw), seed + n + 1) for n, raw in enumerate(settings)]
        self.restart_seeds = count(balancer_count + 1)
        self.now = 1 * S
        self.order = count()
        self.request_ids = count(1)
        self.due: list[ScheduledEvent] = []
        self.unreachable: set[bytes] = set()  # connections to these time out
        self.failing: set[bytes] = set()  # these answer everything with an error
        self.health_check_delays: dict[bytes, int] = {}  # of overloaded endpoints
        self.sends: list[SentAttempt] = []
        self.health_checks: list[SentHealthCheck] = []
        self.watches: list[tuple[int, int]] = []  # time and balancer
        self.answers: dict[int, list[tuple[int, Action]]] = {}  # by request, with their times
        self.migrations: list[SentMigration] = []
        self.attempts: Counter[int] = Counter()
        self.send_to_all(listed(*endpoints))

    def send_to_all(self, event: Event) -> None:
        for balancer in range(len(self.balancers)):
            self.send_event(balancer, event)

    def restart(self, balancer: int, known: Event) -> None:
        """Replace the balancer by a new one that knows only the list `known`; drop its scheduled events."""
        self.balancers[balancer] = Balancer(self.balancers[balancer].settings, next(self.restart_seeds))
        self.due = [scheduled for scheduled in self.due if scheduled.balancer != balancer]
        heapq.heapify(self.due)
        self.send_event(balancer, known)

    def send_event(self, balancer: int, *events: Event) -> None:
        for action in self.balancers[balancer].step(self.now, list(events)):
            self.perform(balancer, action)

    def call_later(self, delay: int, balancer: int, event: Event) -> None:
        heapq.heappush(self.due, ScheduledEvent(self.now + delay, next(self.order), balancer, event))

    def send_request(self, balancer: int, **changes: Any) -> int:
        request_id = next(self.request_ids)
        self.send_event(balancer, Request(request_id, 0, 0, request_id, 0, 0, 0, 2 * S)._replace(**changes))
        return request_id

    def run(self, until: int) -> None:
        while self.due and self.due[0].at <= until:
            scheduled = heapq.heappop(self.due)
            self.now = scheduled.at
            self.send_event(scheduled.balancer, scheduled.event)
        self.now = until

    def perform(self, balancer: int, action: Action) -> None:
        match action:
            case Send():
                self.answer_send(balancer, action)
            case HealthCheck(endpoint):
                self.answer_health_check(balancer, endpoint)
            case SetTimer(delay, token):
                self.call_later(delay, balancer, TimerFired(token))
            case Watch(on=True):
                self.watches.append((self.now, balancer))
            case Migrate(request):
                self.migrations.append(SentMigration(self.now, balancer, request))
                closed = AttemptEnded(request, 0, b"", True, 0, Outcome.CANCELLED, ())
                self.call_later(ANSWER_NS, balancer, closed)
            case Reject(request) | Fail(request):
                self.answers.setdefault(request, []).append((self.now, action))

    def answer_send(self, balancer: int, send: Send) -> None:
        """Schedule the outcome of the attempt: established, an error, or a failed connect."""
        request, endpoint, timeout = send
        attempt = self.attempts[request]
        self.attempts[request] += 1
        self.sends.append(SentAttempt(self.now, balancer, request, endpoint))
        if endpoint in self.unreachable:
            limit = min(timeout, self.balancers[balancer].settings.connect_timeout_ns)
            failed = AttemptEnded(request, attempt, endpoint, False, limit, Outcome.CONNECT_FAILED, ())
            self.call_later(limit, balancer, failed)
        elif endpoint in self.failing:
            failed = AttemptEnded(request, attempt, endpoint, False, ANSWER_NS, Outcome.ERROR, ())
            self.call_later(ANSWER_NS, balancer, failed)
        else:
            established = ConnectionEstablished(request, attempt, endpoint, ANSWER_NS)
            self.call_later(ANSWER_NS, balancer, established)

    def answer_health_check(self, balancer: int, endpoint: bytes) -> None:
        """Schedule the result of a health check, no later than the connect timeout."""
        self.health_checks.append(SentHealthCheck(self.now, balancer, endpoint))
        limit = self.balancers[balancer].settings.connect_timeout_ns
        outcome = Outcome.OK
        delay = self.health_check_delays.get(endpoint, ANSWER_NS)
        if endpoint in self.unreachable:
            outcome = Outcome.CONNECT_FAILED
            delay = limit
        elif endpoint in self.failing:
            outcome = Outcome.ERROR
        elif delay > limit:
            outcome = Outcome.TIMEOUT
            delay = limit
        self.call_later(delay, balancer, HealthCheckResult(endpoint, outcome, delay, ()))


def most_within(times: list[int], window: int) -> int:
    """The largest number of these times within any window of this length."""
    window_times: deque[int] = deque()
    most = 0
    for at in sorted(times):
        window_times.append(at)
        while window_times[0] <= at - window:
            window_times.popleft()
        most = max(most, len(window_times))
    return most
