"""A counter of recent events whose value decays over time."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class DecayingCounter:
    """Counts events over about the last `window_ns`.

    Decays linearly between updates: each update scales the value by the share of the window not yet elapsed
    since the previous update. Times are nanoseconds of the caller's clock and must not decrease.
    """

    window_ns: int
    value: float = 0.0
    updated_at: int = 0

    def decayed(self, now: int) -> float:
        """Return the value at `now` without changing the counter."""
        return self.value * max(0.0, 1.0 - (now - self.updated_at) / self.window_ns)

    def decay(self, now: int) -> None:
        """Update the value to that at `now`."""
        self.value = self.decayed(now)
        self.updated_at = now

    def add(self, now: int, amount: float = 1.0) -> None:
        """Count `amount` events at `now`."""
        self.decay(now)
        self.value += amount
