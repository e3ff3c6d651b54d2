"""When discovery is polled: once at the start, and after a failed answer again with back-off."""

from __future__ import annotations

from linnetshift.routing.actions import SetTimer, Watch
from linnetshift.routing.context import RoutingContext

# Well under the 6 s after which, once discovery can be reached again, its list counts as known here.
MAX_BACKOFF_NS = 1_000_000_000
MAX_FAILURES = 5  # in a row; further ones do not lengthen the back-off
TOKEN_MASK = 0xFFFF  # tokens of the back-off timer have 16 bits; the tick's is above them


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
        """Poll again after a back-off, with jitter so that balancers that failed together poll apart."""
        context = self._context
        self._failures = min(self._failures + 1, MAX_FAILURES)
        longest_ns = min(context.settings.must_poll_within_ns // 4, MAX_BACKOFF_NS)
        backoff_ns = (longest_ns // 10) << self._failures  # doubles with each failure
        delay_ns = min(backoff_ns, longest_ns) * context.random.uniform(0.5, 1.0)
        self._timer_token = (self._timer_token + 1) & TOKEN_MASK
        context.emit(SetTimer(int(delay_ns), self._timer_token))

    def handle_timer_fired(self, token: int) -> None:
        """Poll if the timer is that of the latest back-off."""
        if token == self._timer_token:
            self._context.emit(Watch(True))
