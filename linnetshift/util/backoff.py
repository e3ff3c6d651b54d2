"""Bounded exponential back-off between attempts."""

from __future__ import annotations


class Backoff:
    """Delays that double from a minimum to a maximum, both in the caller's unit."""

    __slots__ = ("_next_delay", "maximum", "minimum")

    def __init__(self, minimum: int, maximum: int) -> None:
        """The first delay is the minimum."""
        self.minimum = minimum
        self.maximum = maximum
        self._next_delay = minimum

    def next_delay(self) -> int:
        """Return the delay before the next attempt."""
        delay = self._next_delay
        self._next_delay = min(2 * delay, self.maximum)
        return delay

    def reset(self) -> None:
        """Start again with the minimum, after a success."""
        self._next_delay = self.minimum
