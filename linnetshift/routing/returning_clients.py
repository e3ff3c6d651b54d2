"""Why clients come back, as one of many balancers can tell from its own connections.

A client that comes back says that its connection broke or was migrated, and not which. All balancers together
see as many drops as returns that come of them, so the drops that one sees itself beside the returns that it
receives say how likely each client was dropped. Then the endpoint that its key comes to first may be the one
that dropped it, and would again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from linnetshift.util.decaying_counter import DecayingCounter

WINDOW_NS = 10_000_000_000  # over which drops and returns are counted
SKIP_PROBABILITY = 0.3  # that a dropped client leaves out its best rank, and from there each further one


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
        """Count a client that came back; returns the probability that it is to leave out its best rank."""
        self._decay(now)
        self.returns.value += 1.0
        return SKIP_PROBABILITY * min(1.0, self.drops.value / self.returns.value)

    def _decay(self, now: int) -> None:
        """Both at the same times: only then their ratio is that of the events."""
        self.drops.decay(now)
        self.returns.decay(now)
