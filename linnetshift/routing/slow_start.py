"""Slow start of cold endpoints: how many requests all nodes together may place there, shared without a word.

A fleet's budget at a cold endpoint over its number of nodes is far less than one connection in the time that
the budget is counted over: nodes that each saved up for a whole one had it when no request came, and cold
endpoints stood idle beside jammed ones. So a node's budget is counted in requests that *may* go to a cold
endpoint, and which of those does is a draw by the endpoint's share of the whole fleet. That part of the
traffic which goes to a endpoint is then the same at every node, however uneven their traffic, and the sums
are bounded by the nodes' sum.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from linnetshift.routing.settings import Settings

# Share of rule 4's budget for placements; the rest is for chance and heavy connections.
SAFETY = 0.5
# Endpoints stand about so full where no load is told: a fleet nearer its sum would fail at any fault.
LOADED = 0.7
# What may be saved up, in the time that rule 4 counts over: a wave may find all nodes with that much at hand.
SAVED = 1.0
RATE_NS = 10_000_000_000  # over which a node measures the rate at which connections come to stand


@dataclass(slots=True)
class TokenBucket:
    """Starts empty, so that a process that is killed and restarted gains nothing by it."""

    level: float = 0.0
    at: int = 0

    def refill(self, rate: float, depth: float, now: int) -> None:
        self.level = min(depth, self.level + rate * (now - self.at) / 1e9)
        self.at = now

    def take(self, chance: float) -> bool:
        """Take one; where less than one is there, all of it, and have one with that probability."""
        taken = min(1.0, self.level)
        self.level -= taken
        return chance < taken


@dataclass(slots=True)
class SlowStart:
    """A node's part of what cold endpoints bear."""

    bucket: TokenBucket = field(default_factory=TokenBucket)
    rate: float = 0.0  # requests a second that may be drawn for
    shares: dict[bytes, float] = field(default_factory=dict)  # of these, by cold endpoint
    fresh: float = 0.0  # connections a second that came to stand, as first arrivals
    fresh_at: int = 0

    def stands(self, now: int) -> None:
        """Only first arrivals count: a returning wave or a storm of retries says nothing of capacity."""
        self.fresh, self.fresh_at = self.fresh_rate(now) + 1e9 / RATE_NS, now

    def fresh_rate(self, now: int) -> float:
        return self.fresh * max(0.0, 1.0 - (now - self.fresh_at) / RATE_NS)

    def draw(self, now: int, window_ns: int, random: Callable[[], float]) -> bytes | None:
        """The cold endpoint that one more request goes to, if any."""
        if not self.shares:
            self.bucket = TokenBucket(at=now)  # nothing is saved up for when the first one starts
            return None
        self.bucket.refill(self.rate, self.rate * window_ns / 1e9 * SAVED, now)
        if not self.bucket.take(random()):
            return None
        at = random()
        for endpoint, part in self.shares.items():
            at -= part
            if at < 0.0:
                return endpoint
        return None

    def wait_ns(self, endpoints: Collection[bytes], ahead: int) -> float:
        """How long until one more than those `ahead` is drawn for one of these."""
        rate = self.rate * sum(self.shares.get(endpoint, 0.0) for endpoint in endpoints)
        owed = max(0.0, ahead + 1 - self.bucket.level)
        return owed / rate * 1e9 if rate > 0.0 else math.inf


def pace(settings: Settings, fresh: float, standing: int, told: float, endpoints: int) -> float:
    """How many requests a second one node may draw for cold endpoints.

    What fills the fleet, over the warm-up, fills a cold endpoint in that time. A node's part is `told`, by
    the loads that it was told, else by what stands through it; `fresh`, its first arrivals a second, may be
    more. Where nothing is known yet, as if all nodes sent each endpoint one in the time that rule 4 counts
    over.
    """
    fill = (max(standing, told) if told else standing / LOADED) * 1e9 / settings.warm_up_ns
    least = endpoints * 1e9 / (settings.overload_window_ns or settings.warm_up_ns) / settings.balancers
    return SAFETY * max(max(fresh, fill) * settings.overload_multiple, least)


def warmth(settings: Settings, started: int, now: int) -> float:
    """The share of its capacity that an endpoint which started then surely has by now; 0: it has long been
    up.
    """
    age = (now - started) / settings.warm_up_ns if started else 1.0
    return (
        1.0
        if age >= 1.0
        else settings.initial_capacity_share + (1.0 - settings.initial_capacity_share) * max(age, 0.0)
    )
