"""Many nodes in one process on one time line: what each does alone, counted over all of them.

Endpoints answer by a script: whether they let connections stand, and how long a health check waits there. A
client goes to whichever node the line names; nodes hear only of what was theirs.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from itertools import count

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

ANSWER_NS = 1 * MS  # a sound endpoint's


class Fleet:
    def __init__(
        self, nodes: int, endpoints: tuple[EndpointEntry, ...], seed: int = 0, **changes: object
    ) -> None:
        zones = (
            3 if changes.pop("perZone", False) else 1
        )  # nodes in each of so many zones, or all in the first
        settings = [
            raw_settings(**{**changes, "myNumber": n, "balancers": nodes, "zone": n % zones})
            for n in range(nodes)
        ]
        self.nodes = [Balancer(Settings.parse(raw), seed + n + 1) for n, raw in enumerate(settings)]
        self.starts = count(nodes + 1)
        self.now, self.order, self.numbers = 1 * S, count(), count(1)
        self.due: list[tuple[int, int, int, Event]] = []
        self.dead: set[bytes] = set()  # connections there never come up
        self.erring: set[bytes] = set()  # answer everything with an error
        self.waits: dict[bytes, int] = {}  # how long a health check waits at a jammed endpoint
        self.sends: list[tuple[int, int, int, bytes]] = []  # time, node, request, endpoint
        self.health_checks: list[tuple[int, int, bytes]] = []
        self.watches: list[tuple[int, int]] = []
        self.answers: dict[int, list[tuple[int, Action]]] = {}
        self.moves: list[tuple[int, int, int]] = []
        self.attempts: Counter[int] = Counter()
        self.tell_all(listed(*endpoints))

    def tell_all(self, event: Event) -> None:
        for node in range(len(self.nodes)):
            self.tell(node, event)

    def restart(self, node: int, known: Event) -> None:
        """Its process is killed and comes back with nothing but that list; its timers ring in vain."""
        self.nodes[node] = Balancer(self.nodes[node].settings, next(self.starts))
        self.due = [entry for entry in self.due if entry[2] != node]
        heapq.heapify(self.due)
        self.tell(node, known)

    def tell(self, node: int, *events: Event) -> None:
        for action in self.nodes[node].step(self.now, list(events)):
            self.perform(node, action)

    def call_later(self, delay: int, node: int, event: Event) -> None:
        heapq.heappush(self.due, (self.now + delay, next(self.order), node, event))

    def ask(self, node: int, **changes: object) -> int:
        number = next(self.numbers)
        # type: ignore[arg-type]
        self.tell(node, Request(number, 0, 0, number, 0, 0, 0, 2 * S)._replace(**changes))
        return number

    def run(self, until: int) -> None:
        while self.due and self.due[0][0] <= until:
            self.now, _, node, event = heapq.heappop(self.due)
            self.tell(node, event)
        self.now = until

    def perform(self, node: int, action: Action) -> None:
        match action:
            case Send(request, endpoint, timeout):
                attempt = self.attempts[request]
                self.attempts[request] += 1
                self.sends.append((self.now, node, request, endpoint))
                if endpoint in self.dead:
                    limit = min(timeout, self.nodes[node].settings.connect_timeout_ns)
                    failed = AttemptEnded(
                        request, attempt, endpoint, False, limit, Outcome.CONNECT_FAILED, ()
                    )
                    self.call_later(limit, node, failed)
                elif endpoint in self.erring:
                    failed = AttemptEnded(request, attempt, endpoint, False, ANSWER_NS, Outcome.ERROR, ())
                    self.call_later(ANSWER_NS, node, failed)
                else:
                    self.call_later(
                        ANSWER_NS, node, ConnectionEstablished(request, attempt, endpoint, ANSWER_NS)
                    )
            case HealthCheck(endpoint):
                self.health_checks.append((self.now, node, endpoint))
                limit = self.nodes[node].settings.connect_timeout_ns
                outcome, wait = Outcome.OK, self.waits.get(endpoint, ANSWER_NS)
                if endpoint in self.dead:
                    outcome, wait = Outcome.CONNECT_FAILED, limit
                elif endpoint in self.erring:
                    outcome = Outcome.ERROR
                elif wait > limit:
                    outcome, wait = Outcome.TIMEOUT, limit
                self.call_later(wait, node, HealthCheckResult(endpoint, outcome, wait, ()))
            case SetTimer(delay, token):
                self.call_later(delay, node, TimerFired(token))
            case Watch(on=True):
                self.watches.append((self.now, node))
            case Migrate(request):
                self.moves.append((self.now, node, request))
                self.call_later(
                    ANSWER_NS, node, AttemptEnded(request, 0, b"", True, 0, Outcome.CANCELLED, ())
                )
            case Reject(request) | Fail(request):
                self.answers.setdefault(request, []).append((self.now, action))


def most_within(times: list[int], window: int) -> int:
    """The most of them in any window of that length."""
    kept: deque[int] = deque()
    most = 0
    for at in sorted(times):
        kept.append(at)
        while kept[0] <= at - window:
            kept.popleft()
        most = max(most, len(kept))
    return most
