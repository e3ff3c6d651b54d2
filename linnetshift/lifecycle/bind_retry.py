"""Attempts to bind an address that another process still holds."""

from __future__ import annotations

from collections.abc import Callable

from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.timers import MS, Timer
from linnetshift.util.backoff import Backoff

# Bounds of the back-off between two attempts; clients are refused meanwhile.
MIN_RETRY_NS = 20 * MS
MAX_RETRY_NS = 250 * MS


class BindRetry:
    """Repeats one attempt with a bounded back-off until it is cancelled."""

    def __init__(self, loop: Loop) -> None:
        """No attempt is pending."""
        self.loop = loop
        self._backoff = Backoff(MIN_RETRY_NS, MAX_RETRY_NS)
        self._timer: Timer | None = None

    @property
    def is_pending(self) -> bool:
        """Whether an attempt has failed and is repeated; also while it is being repeated."""
        return self._timer is not None

    def schedule(self, attempt: Callable[[], None]) -> None:
        """Call `attempt` after the next delay; it calls `schedule` or `cancel` in turn."""
        self._timer = self.loop.call_later(self._backoff.next_delay(), attempt)

    def cancel(self) -> None:
        """Repeat no more, as an attempt has succeeded or is no longer wanted."""
        self._backoff.reset()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
