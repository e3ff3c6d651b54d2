"""Slow start: how many requests all balancers together may place at endpoints that warm up.

The slow-start budget of an endpoint is what it can take without failing: `Settings.overload_multiple` times
the capacity that it has by then, counted over the overload window (`Settings.overload_window_ns`, or the
warm-up time where that is 0).

The fleet's budget for a warming endpoint, divided by the number of balancers, is far less than one connection
in the time that the budget is counted over. Balancers that each saved up for a whole connection had the
budget when no request came, and warming endpoints were idle beside overloaded ones. So a balancer's tokens
are for requests that *may* go to a warming endpoint; whether one does, and to which, is drawn by the
endpoints' shares of the fleet's capacity. The part of the traffic that goes to an endpoint is then the same
at every balancer, however uneven their traffic, and its sum is bounded without any message between them.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from linnetshift.routing.settings import Settings
from linnetshift.util.decaying_counter import DecayingCounter
from linnetshift.util.token_bucket import TokenBucket

# Share of the slow-start budget that placements use; the rest allows for chance and heavy connections.
BUDGET_SHARE = 0.5
# Assumed load of a fleet that reports none: with less in reserve it would not survive any fault.
ASSUMED_LOAD = 0.7
# Capacity of the token bucket, in overload windows: a wave may find every balancer's bucket full.
BURST_WINDOWS = 1.0
NS_PER_S = 1e9
ARRIVAL_WINDOW_NS = 10_000_000_000  # over which the rate of first arrivals is measured


def _arrival_counter() -> DecayingCounter:
    return DecayingCounter(ARRIVAL_WINDOW_NS)


def _empty_bucket(now: int = 0) -> TokenBucket:
    """An empty bucket, so that a process that is killed and restarted gains no tokens by it."""
    return TokenBucket(rate_per_s=0.0, capacity=0.0, level=0.0, refilled_at_ns=now)


@dataclass(slots=True)
class SlowStart:
    """A balancer's part of the requests that warming endpoints may get.

    State: the tokens and their rate, the warming endpoints' shares, and the rate of first arrivals.
    """

    token_bucket: TokenBucket = field(default_factory=_empty_bucket)
    tokens_per_s: float = 0.0
    shares: dict[bytes, float] = field(default_factory=dict)  # of the fleet's capacity, by warming endpoint
    first_arrivals_per_s: DecayingCounter = field(default_factory=_arrival_counter)

    def record_established(self, now: int) -> None:
        """Count a first arrival; waves of returning clients or retries say nothing of capacity."""
        self.first_arrivals_per_s.add(now, NS_PER_S / ARRIVAL_WINDOW_NS)

    def draw(self, now: int, window_ns: int, random: Callable[[], float]) -> bytes | None:
        """The warming endpoint that one more request goes to, if any; takes a token where there is one.

        `random` returns a float of 0 to 1, and is called once for the token and once for the endpoint.
        """
        if not self.shares:
            self.token_bucket = _empty_bucket(now)  # nothing is saved up for when the first starts
            return None
        bucket = self.token_bucket
        bucket.rate_per_s = self.tokens_per_s
        bucket.capacity = self.tokens_per_s * window_ns / NS_PER_S * BURST_WINDOWS
        bucket.refill(now)
        # Less than a whole token is taken too, and counts as one with that probability.
        if random() >= bucket.take():
            return None
        return self._endpoint_at(random())

    def _endpoint_at(self, position: float) -> bytes | None:
        """The endpoint whose share of 0 to 1 holds `position`; None for the part of the warm endpoints."""
        for endpoint, share in self.shares.items():
            position -= share
            if position < 0.0:
                return endpoint
        return None

    def wait_ns(self, endpoints: Collection[bytes], requests_ahead: int) -> float:
        """Nanoseconds until a request behind so many others gets a token for one of these endpoints."""
        useful_tokens_per_s = self.tokens_per_s * sum(
            self.shares.get(endpoint, 0.0) for endpoint in endpoints
        )
        missing_tokens = max(0.0, requests_ahead + 1 - self.token_bucket.level)
        return missing_tokens / useful_tokens_per_s * NS_PER_S if useful_tokens_per_s > 0.0 else math.inf


def token_rate(
    settings: Settings, first_arrivals_per_s: float, established: int, capacity: float, endpoints: int
) -> float:
    """How many tokens a second one balancer gets for warming endpoints.

    The rate that would fill the whole fleet within the warm-up time fills a warming endpoint in that time. A
    balancer's part of the fleet is `capacity`, in connections by the loads that were reported, or what is
    `established` through it if more; with `capacity` 0.0, for none reported, that over ASSUMED_LOAD. A higher
    rate of first arrivals is taken instead. The rate is at least that of all balancers together sending each
    of the `endpoints` one connection in the overload window.
    """
    connections = max(established, capacity) if capacity else established / ASSUMED_LOAD
    fill_per_s = connections * NS_PER_S / settings.warm_up_ns
    window_ns = settings.overload_window_ns or settings.warm_up_ns
    min_per_s = endpoints * NS_PER_S / window_ns / settings.balancers
    return BUDGET_SHARE * max(max(first_arrivals_per_s, fill_per_s) * settings.overload_multiple, min_per_s)


def warm_up_factor(settings: Settings, started_at: int, now: int) -> float:
    """The share of its capacity that an endpoint is certain to have; `started_at` 0: it started long ago."""
    age = (now - started_at) / settings.warm_up_ns if started_at else 1.0
    if age >= 1.0:
        return 1.0
    return settings.initial_capacity_share + (1.0 - settings.initial_capacity_share) * max(age, 0.0)
