"""When discovery is polled: once at the start, and after a failed answer again with back-off."""

from __future__ import annotations

from linnetshift.routing.actions import SetTimer, Watch
from linnetshift.routing.context import RoutingContext

# The longest back-off: 6 s after discovery can be reached again, its answers count as known.
MAX_BACKOFF_NS = 1_000_000_000
MAX_FAILURES = 5  # doublings of the back-off
TOKEN_MASK = 0xFFFF


class DiscoveryPoller:
    """Asks for the list of endpoints where it is not pushed.

    State: whether the first poll went out, the failures in a row and the token of the back-off timer.
    """

    def __init__(self, context: RoutingContext) -> None:
        """Nothing has been polled yet."""
        self._context = context
        self._has_polled = False
        self._failures = 0
        self._timer_token = 0

    def poll_once(self) -> None:
        """Poll at the end of the first step, where the deployment does not push its list."""
        if self._context.settings.must_poll and not self._has_polled:
            self._has_polled = True
            self._context.emit(Watch(True))

    def handle_list_received(self) -> None:
        """Discovery answered: the next failure starts with the shortest back-off."""
        self._failures = 0

    def handle_list_failed(self) -> None:
        """Poll again after a back-off, jittered so that balancers that failed together part."""
        context = self._context
        self._failures = min(self._failures + 1, MAX_FAILURES)
        longest = min(context.settings.must_poll_within_ns // 4, MAX_BACKOFF_NS)
        delay_ns = min(longest // 10 << self._failures, longest) * context.random.uniform(0.5, 1.0)
        self._timer_token = (self._timer_token + 1) & TOKEN_MASK
        context.emit(SetTimer(int(delay_ns), self._timer_token))

    def handle_timer_fired(self, token: int) -> None:
        """Poll if that is the timer of the latest back-off."""
        if token == self._timer_token:
            self._context.emit(Watch(True))
