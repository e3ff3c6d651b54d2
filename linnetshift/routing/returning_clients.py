"""How likely a returning client was dropped, as one of many balancers can tell from its own connections.

A client that comes back says that its connection broke or was migrated, and not which of the two. Over all
balancers each drop leads to one return, so the ratio of the drops that one balancer sees to the returns that
it receives estimates how likely a client was dropped. If it was, the endpoint that its key ranks first may be
the one that dropped it, and would do so again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from linnetshift.util.decaying_counter import DecayingCounter

WINDOW_NS = 10_000_000_000  # over which drops and returns are counted
SKIP_PROBABILITY = 0.3  # that a dropped client skips its best rank, and then each further one


def _counter() -> DecayingCounter:
    return DecayingCounter(WINDOW_NS)


@dataclass(slots=True)
class ReturningClients:
    """State: connections that endpoints dropped and clients that returned, in about the last 10 s."""

    drops: DecayingCounter = field(default_factory=_counter)
    returns: DecayingCounter = field(default_factory=_counter)

    def record_drop(self, now: int) -> None:
        """Count an established connection that its endpoint reset."""
        self._decay(now)
        self.drops.value += 1.0

    def record_return(self, now: int) -> float:
        """Count a client that came back; returns the probability that it should skip its best rank."""
        self._decay(now)
        self.returns.value += 1.0
        return SKIP_PROBABILITY * min(1.0, self.drops.value / self.returns.value)

    def _decay(self, now: int) -> None:
        """Decay both at the same times: only then is their ratio that of the events."""
        self.drops.decay(now)
        self.returns.decay(now)
