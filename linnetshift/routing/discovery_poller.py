"""When discovery is polled: once at the start, and after a failed answer again with back-off."""

from __future__ import annotations

from linnetshift.routing.actions import SetTimer, Watch
from linnetshift.routing.context import RoutingContext
from linnetshift.routing.settings import Settings

# Well under the 6 s after which, once discovery can be reached again, its list counts as known here.
MAX_BACKOFF_NS = 1_000_000_000
# The retries of a large fleet alone would keep discovery from serving any call. So each balancer's back-off
# grows to this long for every balancer that there is, at most to MAX_FLEET_BACKOFF_NS.
BACKOFF_PER_BALANCER_NS = 150_000_000
MAX_FLEET_BACKOFF_NS = 8_000_000_000
# The settings allow four polling intervals without a call after one that failed.
MAX_BACKOFF_INTERVALS = 2
FIRST_BACKOFF_SHARE = 10  # the back-off starts from that part of the longest, and doubles with each failure
MAX_FAILURES = 5  # in a row; further ones do not lengthen the back-off
# A call that failed after less was refused without a turn; one that was open for longer was a watch.
MIN_WAIT_FOR_TURN_NS = 1_000_000_000
MAX_WAIT_FOR_TURN_NS = 5_000_000_000
# After a call that waited in vain, the next one comes within this, so that it is answered within the 6 s.
MAX_CROWDED_BACKOFF_NS = 4_000_000_000
MIN_CROWDED_SHARE = 0.3  # of that back-off
NEVER_POLLED_NS = -(1 << 62)  # before any time of the caller's clock
TOKEN_MASK = 0xFFFF  # tokens of the back-off timer have 16 bits; the tick's is above them


class DiscoveryPoller:
    """Asks for the list of endpoints where it is not pushed.

    State: whether the first poll went out, when the latest call began that had no answer yet, the failures in
    a row and the token of the back-off timer.
    """

    def __init__(self, context: RoutingContext) -> None:
        """Nothing has been polled yet."""
        self._context = context
        self._has_polled = False
        self._polled_at = NEVER_POLLED_NS
        self._failures = 0
        self._timer_token = 0

    def poll_once(self) -> None:
        """Poll at the end of the first step, where the deployment does not push its list."""
        if self._context.settings.must_poll and not self._has_polled:
            self._has_polled = True
            self._poll()

    def handle_list_received(self) -> None:
        """Discovery answered: the next failure starts with the shortest back-off."""
        self._failures = 0
        self._polled_at = NEVER_POLLED_NS  # the watch goes on by itself

    def handle_list_failed(self) -> None:
        """Poll again after a back-off, with jitter so that balancers that failed together poll apart.

        A call that has waited for its turn in vain took that turn all the same. If all that failed together
        came again soon, their turns would keep discovery crowded: they spread over the longest back-off.
        """
        context = self._context
        self._failures = min(self._failures + 1, MAX_FAILURES)
        longest_ns = longest_backoff_ns(context.settings)
        backoff_ns = (longest_ns // FIRST_BACKOFF_SHARE) << self._failures
        delay_ns = min(backoff_ns, longest_ns) * context.random.uniform(0.5, 1.0)
        if self._has_waited_in_vain():
            spread_ns = max(min(backoff_ns, longest_ns), min(longest_ns, MAX_CROWDED_BACKOFF_NS))
            delay_ns = spread_ns * context.random.uniform(MIN_CROWDED_SHARE, 1.0)
        self._timer_token = (self._timer_token + 1) & TOKEN_MASK
        context.emit(SetTimer(int(delay_ns), self._timer_token))

    def handle_timer_fired(self, token: int) -> None:
        """Poll if the timer is that of the latest back-off."""
        if token == self._timer_token:
            self._poll()

    def _poll(self) -> None:
        self._polled_at = self._context.now
        self._context.emit(Watch(True))

    def _has_waited_in_vain(self) -> bool:
        """Whether the call that failed waited for a turn at discovery, which so is crowded."""
        waited_ns = self._context.now - self._polled_at
        return MIN_WAIT_FOR_TURN_NS <= waited_ns <= MAX_WAIT_FOR_TURN_NS


def longest_backoff_ns(settings: Settings) -> int:
    """How long the back-off of one balancer grows, before jitter."""
    interval_ns = settings.must_poll_within_ns
    fleet_ns = min(settings.balancers * BACKOFF_PER_BALANCER_NS, MAX_FLEET_BACKOFF_NS)
    return max(min(interval_ns // 4, MAX_BACKOFF_NS), min(fleet_ns, MAX_BACKOFF_INTERVALS * interval_ns))
