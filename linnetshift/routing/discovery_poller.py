"""Polling of discovery: once at the start, and again with back-off after each failure."""

from __future__ import annotations

from linnetshift.routing.actions import SetTimer, Watch
from linnetshift.routing.context import RoutingContext
from linnetshift.routing.settings import Settings

# Well under the 6 s after which the list counts as known here once discovery can be reached again.
MAX_BACKOFF_NS = 1_000_000_000
# The longest back-off grows by this for each balancer, up to MAX_FLEET_BACKOFF_NS: otherwise the retries of a
# large fleet alone would keep discovery from serving any call.
BACKOFF_PER_BALANCER_NS = 150_000_000
MAX_FLEET_BACKOFF_NS = 8_000_000_000
# Of polling intervals; the settings allow four without a call after one that failed.
MAX_BACKOFF_INTERVALS = 2
BACKOFF_DIVISOR = 10  # the back-off is the longest one divided by this, doubled with each failure
MAX_FAILURES = 5  # in a row; further ones do not lengthen the back-off
# A call that failed sooner was refused without being queued; one that failed later was a watch.
MIN_QUEUED_NS = 1_000_000_000
MAX_QUEUED_NS = 5_000_000_000
# Longest back-off after a call that failed in the queue, so that the next is answered within the 6 s.
MAX_BACKOFF_AFTER_QUEUE_NS = 4_000_000_000
MIN_BACKOFF_SHARE_AFTER_QUEUE = 0.3  # of the longest back-off in that case
NEVER_POLLED_NS = -(1 << 62)  # before any time of the caller's clock
TOKEN_MASK = 0xFFFF  # tokens of the back-off timer have 16 bits; the tick's is above them


class DiscoveryPoller:
    """Polls for the endpoint list where it is not pushed.

    State: whether the first poll was sent, when the latest unanswered call began, the number of failures in a
    row and the token of the back-off timer.
    """

    def __init__(self, context: RoutingContext) -> None:
        """Start without a poll."""
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
        """Reset the back-off: discovery has answered."""
        self._failures = 0
        self._polled_at = NEVER_POLLED_NS  # the watch continues without another call

    def handle_list_failed(self) -> None:
        """Poll again after a back-off, with jitter to spread balancers whose calls failed together.

        Discovery also processes queued calls that have failed by then. Calls that failed in the queue would
        keep it overloaded if all were repeated soon, so they are spread over the longest back-off.
        """
        context = self._context
        self._failures = min(self._failures + 1, MAX_FAILURES)
        longest_ns = longest_backoff_ns(context.settings)
        backoff_ns = (longest_ns // BACKOFF_DIVISOR) << self._failures
        delay_ns = min(backoff_ns, longest_ns) * context.random.uniform(0.5, 1.0)
        if self._has_failed_in_queue():
            spread_ns = max(min(backoff_ns, longest_ns), min(longest_ns, MAX_BACKOFF_AFTER_QUEUE_NS))
            delay_ns = spread_ns * context.random.uniform(MIN_BACKOFF_SHARE_AFTER_QUEUE, 1.0)
        self._timer_token = (self._timer_token + 1) & TOKEN_MASK
        context.emit(SetTimer(int(delay_ns), self._timer_token))

    def handle_timer_fired(self, token: int) -> None:
        """Poll if the timer is that of the latest back-off."""
        if token == self._timer_token:
            self._poll()

    def _poll(self) -> None:
        self._polled_at = self._context.now
        self._context.emit(Watch(True))

    def _has_failed_in_queue(self) -> bool:
        """Whether the call failed while waiting in discovery's queue, which shows an overload."""
        waited_ns = self._context.now - self._polled_at
        return MIN_QUEUED_NS <= waited_ns <= MAX_QUEUED_NS


def longest_backoff_ns(settings: Settings) -> int:
    """The longest back-off of one balancer in nanoseconds, before jitter."""
    interval_ns = settings.must_poll_within_ns
    fleet_ns = min(settings.balancers * BACKOFF_PER_BALANCER_NS, MAX_FLEET_BACKOFF_NS)
    return max(min(interval_ns // 4, MAX_BACKOFF_NS), min(fleet_ns, MAX_BACKOFF_INTERVALS * interval_ns))
