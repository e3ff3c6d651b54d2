"""The event loop: one thread that waits with epoll for descriptors and timers and runs the actors."""

from __future__ import annotations

import heapq
import select
import time
from collections import deque
from collections.abc import Callable
from itertools import count

from linnetshift.event_loop.actor import Actor
from linnetshift.event_loop.timers import MS, S, Timer
from linnetshift.observability.resource_usage import ResourceUsage

# Called with epoll's event mask when a descriptor is ready.
Handler = Callable[[int], None]
# Up to this many cancelled timers stay in the heap: rebuilding it for fewer costs more than keeping them.
MAX_CANCELLED_TIMERS = 64
# Bounds in the resource usage, per connection that may be open.
HANDLERS_PER_CONNECTION = 2
ACTORS_PER_CONNECTION = 2
TIMERS_PER_CONNECTION = 8


class Loop:
    """Runs actors until `stopped` is set.

    The clock is monotonic, in nanoseconds, plus an offset to the wall clock that is taken once: it never
    steps back, and its times are comparable with the start times in the endpoint list.

    A turn has a fixed order: actors with messages, one wait in epoll, handlers of ready descriptors, due
    timers.
    """

    def __init__(self) -> None:
        """A loop without descriptors, actors and timers."""
        self.wall_clock_offset_ns = time.time_ns() - time.monotonic_ns()
        self.epoll = select.epoll()
        self.handlers: dict[int, Handler] = {}
        self.ready_actors: deque[Actor] = deque()
        # A heap of due time, sequence number (which orders equal due times) and timer.
        self.timers: list[tuple[int, int, Timer]] = []
        self.cancelled_timers = 0  # number of cancelled entries in `timers`
        self.timer_sequence = count()
        self.stopped = False
        self.stream_count = 0  # open streams
        # Called when no descriptor is free: closes a connection and returns True, or returns False.
        self.free_descriptor: Callable[[], bool] = lambda: False
        # The earliest time at which the descriptors of the last poll may have become ready: the start of the
        # poll if it returned at once, else its end.
        self.ready_since = self.now()

    def now(self) -> int:
        """The time of the loop's clock, in nanoseconds since the epoch."""
        return time.monotonic_ns() + self.wall_clock_offset_ns

    def call_later(self, delay_ns: int, callback: Callable[[], None]) -> Timer:
        """Call the callback once after `delay_ns`, on a later turn."""
        timer = Timer(self, callback)
        self.schedule(delay_ns, timer)
        return timer

    def schedule(self, delay_ns: int, timer: Timer) -> None:
        """Arm a timer; a negative delay counts as zero."""
        heapq.heappush(self.timers, (self.now() + max(0, delay_ns), next(self.timer_sequence), timer))

    def handle_timer_cancelled(self) -> None:
        """Count a cancelled timer; rebuild the heap if many, and over half of its entries, are cancelled."""
        self.cancelled_timers += 1
        if self.cancelled_timers > MAX_CANCELLED_TIMERS and 2 * self.cancelled_timers > len(self.timers):
            self.timers[:] = [entry for entry in self.timers if entry[2].callback is not None]
            heapq.heapify(self.timers)
            self.cancelled_timers = 0

    def resource_usage(self, max_connections: int) -> dict[str, ResourceUsage]:
        """Sizes and bounds by name in `/ops/census`; `max_connections` is how many may be open at once."""
        pending = len(self.timers) - self.cancelled_timers
        return {
            "loop.handlers": ResourceUsage(len(self.handlers), HANDLERS_PER_CONNECTION * max_connections),
            "loop.ready": ResourceUsage(len(self.ready_actors), ACTORS_PER_CONNECTION * max_connections),
            "loop.timers": ResourceUsage(pending, TIMERS_PER_CONNECTION * max_connections),
            "loop.dead-timers": ResourceUsage(self.cancelled_timers, max(MAX_CANCELLED_TIMERS, pending + 1)),
        }

    def watch(self, fd: int, mask: int, handler: Handler) -> None:
        """Call the handler on each event of the mask; replaces an earlier mask and handler."""
        if fd in self.handlers:
            self.epoll.modify(fd, mask)
        else:
            self.epoll.register(fd, mask)
        self.handlers[fd] = handler

    def unwatch(self, fd: int) -> None:
        """Stop watching; no effect on a descriptor that is not watched."""
        if self.handlers.pop(fd, None) is not None:
            self.epoll.unregister(fd)

    def run(self) -> None:
        """Run turns until `stopped` is set."""
        while not self.stopped:
            self.run_once()

    def run_once(self) -> None:
        """Run one turn; waits in epoll while there is no work."""
        for _ in range(len(self.ready_actors)):
            self.ready_actors.popleft().process_mailbox()
        while self.timers and self.timers[0][2].callback is None:  # cancelled: must not wake the loop
            heapq.heappop(self.timers)
            self.cancelled_timers -= 1
        wait_s = -1.0  # no timeout
        if self.ready_actors or self.stopped:
            wait_s = 0.0
        elif self.timers:
            wait_s = max(0.0, (self.timers[0][0] - self.now()) / S)
        poll_began_at = self.now()
        events = self.epoll.poll(wait_s)
        poll_ended_at = self.now()
        has_waited = poll_ended_at - poll_began_at > MS
        self.ready_since = poll_ended_at if has_waited else poll_began_at
        # A handler may close the descriptor of a later event, and a new socket may then get the same number.
        # All handlers are looked up before any is called: the event must not reach the new socket's handler.
        for fd, mask, handler in [(fd, mask, self.handlers.get(fd)) for fd, mask in events]:
            if handler is not None and self.handlers.get(fd) is handler:
                handler(mask)
        # Timers come after the events: input that arrived in time while the process was stalled is not late.
        self._fire_due_timers()

    def _fire_due_timers(self) -> None:
        now = self.now()
        while self.timers and self.timers[0][0] <= now:
            timer = heapq.heappop(self.timers)[2]
            if timer.callback is None:
                self.cancelled_timers -= 1
            else:
                timer.fire()
