"""Slow start: how many requests all balancers together may place at endpoints that warm up.

A fleet's budget at a warming endpoint over its number of balancers is far less than one connection in the
time that the budget is counted over. Balancers that each saved up for a whole one had it when no request
came, and warming endpoints were idle beside overloaded ones. So a balancer's budget is counted in requests
that *may* go to a warming endpoint, and which of those does is a draw by the endpoint's share of the whole
fleet. That part of the traffic which goes to an endpoint is then the same at every balancer, however uneven
their traffic, and the sums are bounded without any message between them.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from linnetshift.routing.settings import Settings
from linnetshift.util.decaying_counter import DecayingCounter
from linnetshift.util.token_bucket import TokenBucket

# Share of rule 4's budget for placements; the rest is for chance and heavy connections.
BUDGET_SHARE = 0.5
# Endpoints are about so full where no load is known: a fleet nearer its sum would fail at any fault.
ASSUMED_LOAD = 0.7
# What may be saved up, in windows of rule 4: a wave may find all balancers with that much at hand.
BURST_WINDOWS = 1.0
ARRIVAL_WINDOW_NS = 10_000_000_000  # over which the rate of first arrivals is measured


def _arrival_counter() -> DecayingCounter:
    return DecayingCounter(ARRIVAL_WINDOW_NS)


def _empty_bucket(now: int = 0) -> TokenBucket:
    """It starts empty, so that a process that is killed and restarted gains nothing by it."""
    return TokenBucket(rate_per_s=0.0, capacity=0.0, level=0.0, refilled_at_ns=now)


@dataclass(slots=True)
class SlowStart:
    """A balancer's part of what warming endpoints bear.

    State: the tokens, the rate at which they come, the warming endpoints' shares and the rate of first
    arrivals.
    """

    token_bucket: TokenBucket = field(default_factory=_empty_bucket)
    tokens_per_s: float = 0.0
    shares: dict[bytes, float] = field(default_factory=dict)  # of the tokens, by warming endpoint
    first_arrivals_per_s: DecayingCounter = field(default_factory=_arrival_counter)

    def record_established(self, now: int) -> None:
        """Count a first arrival; a returning wave or a storm of retries says nothing of capacity."""
        self.first_arrivals_per_s.add(now, 1e9 / ARRIVAL_WINDOW_NS)

    def draw(self, now: int, window_ns: int, random: Callable[[], float]) -> bytes | None:
        """The warming endpoint that one more request goes to, if any."""
        if not self.shares:
            self.token_bucket = _empty_bucket(now)  # nothing is saved up for when the first starts
            return None
        bucket = self.token_bucket
        bucket.rate_per_s = self.tokens_per_s
        bucket.capacity = self.tokens_per_s * window_ns / 1e9 * BURST_WINDOWS
        bucket.refill(now)
        # Less than a whole token is taken too, and counts as one with that probability.
        if random() >= bucket.take():
            return None
        position = random()
        for endpoint, share in self.shares.items():
            position -= share
            if position < 0.0:
                return endpoint
        return None

    def wait_ns(self, endpoints: Collection[bytes], requests_ahead: int) -> float:
        """How long until a request behind so many others gets a token for one of these endpoints."""
        rate = self.tokens_per_s * sum(self.shares.get(endpoint, 0.0) for endpoint in endpoints)
        missing = max(0.0, requests_ahead + 1 - self.token_bucket.level)
        return missing / rate * 1e9 if rate > 0.0 else math.inf


def token_rate(
    settings: Settings, first_arrivals_per_s: float, established: int, capacity: float, endpoints: int
) -> float:
    """How many requests a second one balancer may draw for warming endpoints.

    What fills the fleet, over the warm-up, fills a warming endpoint in that time. A balancer's part is
    `capacity`, connections by the loads that were reported, else what is established through it; its first
    arrivals may be more. Where nothing is known yet, as if all balancers sent each endpoint one connection in
    the time that rule 4 counts over.
    """
    connections = max(established, capacity) if capacity else established / ASSUMED_LOAD
    fill_per_s = connections * 1e9 / settings.warm_up_ns
    window_ns = settings.overload_window_ns or settings.warm_up_ns
    least = endpoints * 1e9 / window_ns / settings.balancers
    return BUDGET_SHARE * max(max(first_arrivals_per_s, fill_per_s) * settings.overload_multiple, least)


def warm_up_factor(settings: Settings, started_at: int, now: int) -> float:
    """The share of its capacity that an endpoint surely has; `started_at` 0: it has long been up."""
    age = (now - started_at) / settings.warm_up_ns if started_at else 1.0
    if age >= 1.0:
        return 1.0
    return settings.initial_capacity_share + (1.0 - settings.initial_capacity_share) * max(age, 0.0)
