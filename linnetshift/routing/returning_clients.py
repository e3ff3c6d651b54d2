"""Estimates from one balancer's own connections how likely a returning client was dropped.

A returning client's connection broke or was migrated; the request does not say which. Over all balancers each
drop leads to one return, so the ratio of drops to returns at one balancer estimates the probability that a
client was dropped. If it was, the endpoint that its key ranks first may have done so, and may do so again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from linnetshift.util.decaying_counter import DecayingCounter

WINDOW_NS = 10_000_000_000  # window in which drops and returns are counted
SKIP_PROBABILITY = 0.3  # that a dropped client skips its best rank, and each further one in turn


def _counter() -> DecayingCounter:
    return DecayingCounter(WINDOW_NS)


@dataclass(slots=True)
class ReturningClients:
    """State: counts of dropped connections and returned clients, decaying over WINDOW_NS."""

    drops: DecayingCounter = field(default_factory=_counter)
    returns: DecayingCounter = field(default_factory=_counter)

    def record_drop(self, now: int) -> None:
        """Count an established connection that was reset by its endpoint."""
        self._decay(now)
        self.drops.value += 1.0

    def record_return(self, now: int) -> float:
        """Count a returning client; returns the probability with which it should skip its best rank."""
        self._decay(now)
        self.returns.value += 1.0
        return SKIP_PROBABILITY * min(1.0, self.drops.value / self.returns.value)

    def _decay(self, now: int) -> None:
        """Decay both counters at the same times, as otherwise their ratio would be biased."""
        self.drops.decay(now)
        self.returns.decay(now)
