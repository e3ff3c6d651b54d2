"""How many connection set-ups one balancer may have in flight.

What all balancers send to a shared store adds up, and none sees the sum. So the limit follows what each
set-up shows: additive increase, multiplicative decrease, as in congestion control. Balancers that share a
bottleneck come to equal limits whose sum it bears, whatever their number.
"""

from __future__ import annotations

INITIAL_LIMIT = 8.0
MIN_LIMIT = 2.0
CONGESTED_FAILURE_SHARE = 0.3  # of recent set-ups slow or failed, from which the limit is lowered
DECREASE_FACTOR = 0.7  # at most once within a latency objective
OUTCOME_WEIGHT = 0.1  # of the latest set-up in the share


class ConcurrencyLimit:
    """State: the limit, the share of recent set-ups that failed or were slow, and the latest decrease."""

    def __init__(self) -> None:
        """Start low, so that a restarted process does not add to an overload."""
        self.limit = INITIAL_LIMIT
        self.failure_share = 0.0
        self.decreased_at = 0

    @property
    def is_congested(self) -> bool:
        """Whether so many set-ups fail that another endpoint is not the cure."""
        return self.failure_share >= CONGESTED_FAILURE_SHARE

    def record_setup(
        self, now: int, latency_objective_ns: int, elapsed_ns: int, has_failed: bool, max_limit: float
    ) -> None:
        """Count a set-up that ended; `max_limit` bounds the increase.

        Slow everywhere (a shared store past its rate) is not cured by another endpoint. Without a limit,
        returning clients and retries queue up behind work that nobody waits for.
        """
        is_bad = has_failed or elapsed_ns > latency_objective_ns
        self.failure_share += OUTCOME_WEIGHT * (is_bad - self.failure_share)
        if is_bad:
            self._decrease(now, latency_objective_ns)
        elif elapsed_ns < latency_objective_ns // 2:
            self._increase(max_limit)

    def _decrease(self, now: int, latency_objective_ns: int) -> None:
        if self.failure_share > CONGESTED_FAILURE_SHARE and now >= self.decreased_at + latency_objective_ns:
            self.limit = max(self.limit * DECREASE_FACTOR, MIN_LIMIT)
            self.decreased_at = now

    def _increase(self, max_limit: float) -> None:
        is_recovering = self.failure_share > CONGESTED_FAILURE_SHARE / 2
        self.limit += 1.0 / self.limit if is_recovering else 1.0
        self.limit = min(self.limit, max_limit)
