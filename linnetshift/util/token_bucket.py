"""Token bucket on the caller's clock, for rate limits and paced admission."""

from __future__ import annotations

import math
from dataclasses import dataclass

NS_PER_S = 1e9


@dataclass(slots=True)
class TokenBucket:
    """Accrues `rate_per_s` tokens per second, up to `capacity`.

    Never reads a clock: callers pass the time in ns, from one clock that does not go back. A bucket starts
    full by default; for an empty one pass `level=0.0` and the current time as `refilled_at_ns`. Rate and
    capacity may be changed between calls and apply from the next refill on.
    """

    rate_per_s: float
    capacity: float
    level: float = math.inf
    refilled_at_ns: int = 0

    def refill(self, now_ns: int) -> None:
        """Add the tokens accrued since the last refill, up to the capacity."""
        accrued = self.rate_per_s * (now_ns - self.refilled_at_ns) / NS_PER_S
        self.level = min(self.capacity, self.level + accrued)
        self.refilled_at_ns = now_ns

    def wait_ns(self, now_ns: int) -> int:
        """Refill, and return the nanoseconds until a whole token is available, 0 if one is now.

        The rate must be above 0.
        """
        self.refill(now_ns)
        if self.level >= 1.0:
            return 0
        return math.ceil((1.0 - self.level) / self.rate_per_s * NS_PER_S)

    def take(self) -> float:
        """Take one token, or the remaining fraction of one; returns the amount taken.

        A caller that admits with the returned amount as probability keeps to the rate on average, even while
        the level is below one.
        """
        taken = min(1.0, self.level)
        self.level -= taken
        return taken

    def continue_from(self, other: TokenBucket) -> None:
        """Continue from the level of `other`, which this bucket replaces."""
        self.level = other.level
        self.refilled_at_ns = other.refilled_at_ns
