"""A token bucket that is refilled on the caller's clock."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that starts empty: a process that is killed and restarted gains nothing by it."""

    level: float = 0.0  # tokens
    refilled_at: int = 0

    def refill(self, rate: float, depth: float, now: int) -> None:
        """Add `rate` tokens a second since the last refill, up to `depth`."""
        self.level = min(depth, self.level + rate * (now - self.refilled_at) / 1e9)
        self.refilled_at = now

    def take(self, draw: float) -> bool:
        """Take a token; less than one is taken whole and counts as one with that probability.

        `draw` is a random number from 0 to 1.
        """
        taken = min(1.0, self.level)
        self.level -= taken
        return draw < taken
