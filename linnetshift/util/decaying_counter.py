"""A counter of recent events whose value falls linearly with time."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class DecayingCounter:
    """Counts events over about the last `window_ns`.

    At each update the value is scaled by the share of the window that has not passed since the last update.
    Times are nanoseconds of the caller's clock and must not decrease.
    """

    window_ns: int
    value: float = 0.0
    updated_at: int = 0

    def decayed(self, now: int) -> float:
        """The value at that time; the counter is left as it is."""
        return self.value * max(0.0, 1.0 - (now - self.updated_at) / self.window_ns)

    def decay(self, now: int) -> None:
        """Make the value at that time the new starting point."""
        self.value = self.decayed(now)
        self.updated_at = now

    def add(self, now: int, amount: float = 1.0) -> None:
        """Count `amount` events at that time."""
        self.decay(now)
        self.value += amount
