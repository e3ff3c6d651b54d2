"""What happened, written down by the stand-ins, and the rules as checks over it."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import pairwise
from typing import NamedTuple

SLACK_S = 0.5  # a final answer up to so long after its time only earns nothing
BESIDE_S = 0.25  # two attempts that overlap by less may be one that ends and one that begins, on their ways
TOLD_SLACK_S = 0.25


@dataclass(slots=True)
class Asked:
    """A client's request, and what it was told."""

    id: int
    node: int
    at: float
    deadline_s: float
    group: int
    answers: list[tuple[float, str]] = field(default_factory=list)
    ended: float | None = None  # the connection, before an answer


@dataclass(slots=True)
class Attempt:
    id: int
    node: int
    server: str
    at: float
    over: float | None = None  # answered, or gone


class Start(NamedTuple):
    """A server that starts cold: when, and how many connections it may be sent in `window_s` from then on."""

    server: str
    at: float
    warm_s: float
    window_s: float
    allowed: Callable[[float], float]  # seconds after the start -> connections in a window that ends then


class Broken(NamedTuple):
    rule: str
    what: str


@dataclass
class Ledger:
    asked: dict[int, Asked] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    starts: list[Start] = field(default_factory=list)
    drains: dict[tuple[int, str], float] = field(default_factory=dict)  # when a node was told
    cut: dict[tuple[int, str], list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    away: dict[int, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    served_s: float = 0.0  # seconds in which a client's messages came back in time
    wanted_s: float = 0.0
    calls: list[tuple[float, int]] = field(default_factory=list)  # to discovery, by node
    moves: int = 0
    resets: int = 0

    def tell(self, node: int, server: str, state: str, at: float) -> None:
        """Discovery has written this to the node."""
        if state == "SERVING":
            self.drains.pop((node, server), None)
        else:
            self.drains.setdefault((node, server), at)

    def was_cut(self, attempt: Attempt, until: float) -> bool:
        """Whether its server may not have heard that the node gave it up."""
        return any(
            begin < until and end > attempt.at
            for begin, end in self.cut.get((attempt.node, attempt.server), ())
        )

    def was_away(self, node: int, since: float, until: float) -> bool:
        """Whether the node, or its link to clients, was at fault at any moment of that time."""
        return any(begin < until and end > since for begin, end in self.away.get(node, ()))

    def cold_use(self) -> tuple[float, float]:
        """Connections sent to cold servers, and what these would have borne while the play lasted."""
        sent = bears = 0.0
        last = max((a.at for a in self.attempts), default=0.0)
        for start in self.starts:
            until = min(start.at + start.warm_s, last)
            sent += sum(a.server == start.server and start.at <= a.at <= until for a in self.attempts)
            seconds = max(0, int(until - start.at))
            bears += sum(start.allowed(second + 0.5) / start.window_s for second in range(seconds))
        return sent, bears


class Referee:
    """The rules, each a generator of what broke it."""

    def __init__(self, ledger: Ledger, grace_s: float) -> None:
        self.ledger, self.grace_s = ledger, grace_s

    def broken(self) -> list[Broken]:
        rules = (self.unanswered, self.answered_twice, self.two_attempts, self.drained, self.overrun)
        return [broken for rule in rules for broken in rule()]

    def unanswered(self) -> Iterator[Broken]:
        for one in self.ledger.asked.values():
            limit = one.at + one.deadline_s + SLACK_S
            in_time = any(at <= limit for at, _ in one.answers)
            if not in_time and not self.ledger.was_away(one.node, one.at - 0.5, limit):
                yield Broken("unanswered", f"{one.id:x} at node {one.node}, asked at {one.at:.3f}")

    def answered_twice(self) -> Iterator[Broken]:
        for one in self.ledger.asked.values():
            if len(one.answers) > 1:
                yield Broken("answered-twice", f"{one.id:x}: {[what for _, what in one.answers]}")

    def two_attempts(self) -> Iterator[Broken]:
        by_id: dict[int, list[Attempt]] = defaultdict(list)
        for attempt in self.ledger.attempts:
            by_id[attempt.id].append(attempt)
        for number, attempts in by_id.items():
            attempts.sort(key=lambda one: one.at)
            for before, after in pairwise(attempts):
                over = math.inf if before.over is None else before.over
                if over > after.at + BESIDE_S and not self.ledger.was_cut(before, after.at):
                    yield Broken("two-attempts", f"{number:x} at {before.server} and {after.server}")

    def drained(self) -> Iterator[Broken]:
        for attempt in self.ledger.attempts:
            told = self.ledger.drains.get((attempt.node, attempt.server))
            if told is not None and attempt.at > told + self.grace_s + TOLD_SLACK_S:
                yield Broken(
                    "drained", f"{attempt.id:x} to {attempt.server} {attempt.at - told:.3f} s after the word"
                )

    def overrun(self) -> Iterator[Broken]:
        """All nodes together send a cold server no more than it bears, with slack for chance."""
        for start in self.ledger.starts:
            times = sorted(a.at for a in self.ledger.attempts if a.server == start.server)
            for at in times:
                if not start.at <= at < start.at + start.warm_s:
                    continue
                count = bisect_right(times, at) - bisect_right(times, max(start.at, at - start.window_s))
                bears = start.allowed(at - start.at)
                if count > bears + 2 * math.sqrt(bears) + 2:
                    yield Broken("overrun", f"{start.server}: {count} where it bears {bears:.1f}")
                    break
