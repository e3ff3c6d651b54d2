"""Slow start: limits the requests that all balancers together place on endpoints that are warming up.

The slow-start budget of an endpoint is what it can take without failing: `Settings.overload_multiple` times
its current capacity, counted over the overload window (`Settings.overload_window_ns`, or the warm-up time if
that is 0).

One balancer's part of the budget for a warming endpoint is far less than one connection per overload window.
If each balancer accumulated a whole connection per endpoint, budget would be unused at balancers without
requests, and warming endpoints would stay idle while others are overloaded. So a token only allows a request
to be considered for the warming endpoints; a random draw by their shares of the total capacity selects one of
them or none. Each endpoint then gets the same part of the traffic at every balancer, however unevenly traffic
is distributed, and the sum is bounded without messages between balancers.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from linnetshift.routing.settings import Settings
from linnetshift.util.decaying_counter import DecayingCounter
from linnetshift.util.token_bucket import TokenBucket

# Share of the slow-start budget that placements use; the rest covers chance and heavy connections.
BUDGET_SHARE = 0.5
# Assumed load of endpoints that report none: with less spare capacity they could not absorb any fault.
ASSUMED_LOAD = 0.7
# Capacity of the token bucket, in overload windows; a burst may find every balancer's bucket full.
BURST_WINDOWS = 1.0
NS_PER_S = 1e9
ARRIVAL_WINDOW_NS = 10_000_000_000  # window of the rate of first arrivals


def _arrival_counter() -> DecayingCounter:
    return DecayingCounter(ARRIVAL_WINDOW_NS)


def _empty_bucket(now: int = 0) -> TokenBucket:
    """Start empty, so that a process gains no tokens by being killed and restarted."""
    return TokenBucket(rate_per_s=0.0, capacity=0.0, level=0.0, refilled_at_ns=now)


@dataclass(slots=True)
class SlowStart:
    """One balancer's part of the slow-start budget.

    State: the tokens and their rate, the shares of the warming endpoints, and the rate of first arrivals
    (connections of new clients: neither retries, returns nor open connections).
    """

    token_bucket: TokenBucket = field(default_factory=_empty_bucket)
    tokens_per_s: float = 0.0
    shares: dict[bytes, float] = field(default_factory=dict)  # of the total capacity, by warming endpoint
    first_arrivals_per_s: DecayingCounter = field(default_factory=_arrival_counter)

    def record_first_arrival(self, now: int) -> None:
        """Count a first arrival; bursts of returning clients or retries do not reflect capacity."""
        self.first_arrivals_per_s.add(now, NS_PER_S / ARRIVAL_WINDOW_NS)

    def draw(self, now: int, window_ns: int, random: Callable[[], float]) -> bytes | None:
        """Take a token if available and return the warming endpoint drawn for a request, or None.

        `random` returns a float from 0 to 1. It is called for the token and, if that is granted, again for
        the endpoint.
        """
        if not self.shares:
            self.token_bucket = _empty_bucket(now)  # no tokens accrue before an endpoint starts to warm up
            return None
        bucket = self.token_bucket
        bucket.rate_per_s = self.tokens_per_s
        bucket.capacity = self.tokens_per_s * window_ns / NS_PER_S * BURST_WINDOWS
        bucket.refill(now)
        # A fraction of a token is taken too, and grants the request with that probability.
        if random() >= bucket.take():
            return None
        return self._endpoint_at(random())

    def _endpoint_at(self, position: float) -> bytes | None:
        """Return the endpoint whose share of the range 0 to 1 holds `position`, None for the warm ones."""
        for endpoint, share in self.shares.items():
            position -= share
            if position < 0.0:
                return endpoint
        return None

    def wait_ns(self, endpoints: Collection[bytes], requests_ahead: int) -> float:
        """Nanoseconds until a request with `requests_ahead` before it gets a token for one of `endpoints`."""
        useful_tokens_per_s = self.tokens_per_s * sum(
            self.shares.get(endpoint, 0.0) for endpoint in endpoints
        )
        missing_tokens = max(0.0, requests_ahead + 1 - self.token_bucket.level)
        return missing_tokens / useful_tokens_per_s * NS_PER_S if useful_tokens_per_s > 0.0 else math.inf


def token_rate(
    settings: Settings,
    first_arrivals_per_s: float,
    established_count: int,
    capacity: float,
    endpoint_count: int,
) -> float:
    """Return the tokens per second that one balancer gets for warming endpoints.

    Based on the rate that would fill all endpoints within the warm-up time, which fills a warming one in that
    time. A balancer's part of all connections is `capacity`, as estimated from reported loads, or
    `established_count`, those of this process and its predecessor, if that is more. Without load reports
    `capacity` is 0.0, and the part is `established_count` / ASSUMED_LOAD. A higher rate of first arrivals
    replaces that rate. The minimum lets all balancers together send each of the `endpoint_count` endpoints
    one connection per overload window.
    """
    connections = max(established_count, capacity) if capacity else established_count / ASSUMED_LOAD
    fill_per_s = connections * NS_PER_S / settings.warm_up_ns
    window_ns = settings.overload_window_ns or settings.warm_up_ns
    min_per_s = endpoint_count * NS_PER_S / window_ns / settings.balancers
    return BUDGET_SHARE * max(max(first_arrivals_per_s, fill_per_s) * settings.overload_multiple, min_per_s)


def warm_up_factor(settings: Settings, started_at: int, now: int) -> float:
    """Return the share of its capacity that an endpoint is sure to have; `started_at` 0 means long ago."""
    age = (now - started_at) / settings.warm_up_ns if started_at else 1.0
    if age >= 1.0:
        return 1.0
    return settings.initial_capacity_share + (1.0 - settings.initial_capacity_share) * max(age, 0.0)
