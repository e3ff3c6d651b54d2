"""Concurrency limit of the connection set-ups that one balancer has in flight.

The load of all balancers on a shared store adds up, and none of them sees the sum. So each balancer adapts
its limit to the outcomes of its own set-ups: additive increase, multiplicative decrease, as in congestion
control. Balancers that share a bottleneck converge to equal limits whose sum it can serve, whatever their
number.
"""

from __future__ import annotations

INITIAL_LIMIT = 8.0
MIN_LIMIT = 2.0
CONGESTED_FAILURE_SHARE = 0.3  # of recent set-ups; above it a failed or slow set-up lowers the limit
DECREASE_FACTOR = 0.7  # applied at most once per latency objective
OUTCOME_WEIGHT = 0.1  # of the latest set-up in the moving average of failures


class ConcurrencyLimit:
    """State: the limit, the share of recent set-ups that failed or were slow, and when it last decreased."""

    def __init__(self) -> None:
        """Start low, so that a restarted process does not worsen an overload."""
        self.limit = INITIAL_LIMIT
        self.failure_share = 0.0
        self.decreased_at = 0

    @property
    def is_congested(self) -> bool:
        """Whether so many set-ups fail or are slow that another endpoint would not help."""
        return self.failure_share >= CONGESTED_FAILURE_SHARE

    def record_setup(
        self, now: int, latency_objective_ns: int, elapsed_ns: int, has_failed: bool, max_limit: float
    ) -> None:
        """Record a set-up that ended; `max_limit` bounds the increase.

        If set-ups are slow at all endpoints (an overloaded store), another endpoint does not help. Without a
        limit, returning clients and retries would queue behind requests whose clients have already given up.
        """
        has_failed_or_is_slow = has_failed or elapsed_ns > latency_objective_ns
        self.failure_share += OUTCOME_WEIGHT * (has_failed_or_is_slow - self.failure_share)
        if has_failed_or_is_slow:
            self._decrease(now, latency_objective_ns)
        elif elapsed_ns < latency_objective_ns // 2:  # well within the objective
            self._increase(max_limit)

    def _decrease(self, now: int, latency_objective_ns: int) -> None:
        if self.failure_share > CONGESTED_FAILURE_SHARE and now >= self.decreased_at + latency_objective_ns:
            self.limit = max(self.limit * DECREASE_FACTOR, MIN_LIMIT)
            self.decreased_at = now

    def _increase(self, max_limit: float) -> None:
        is_recovering = self.failure_share > CONGESTED_FAILURE_SHARE / 2
        self.limit += 1.0 / self.limit if is_recovering else 1.0
        self.limit = min(self.limit, max_limit)
