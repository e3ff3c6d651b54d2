"""One thread: epoll, timers, and actors that are generators fed from their mailboxes."""

from __future__ import annotations

import heapq
import select
import time
from collections import deque
from collections.abc import Callable, Generator
from itertools import count
from typing import Any, NamedTuple

Script = Generator[None, Any, None]
Handler = Callable[[int], None]

MS = 1_000_000
S = 1_000_000_000


class Io(NamedTuple):
    """A socket of the actor's is ready; the mask is epoll's."""

    mask: int


class Timeout(NamedTuple):
    """A timer that the actor set has run out."""

    tag: object


class Timer:
    """Fires once unless it is cancelled first."""

    __slots__ = ("fire",)

    def __init__(self, fire: Callable[[], None]) -> None:
        self.fire: Callable[[], None] | None = fire

    def cancel(self) -> None:
        self.fire = None


class Actor:
    """A script that receives, one at a time, the messages others leave in its mailbox."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.mailbox: deque[Any] = deque()
        self.scheduled = False
        self.script: Script | None = None

    def start(self, script: Script) -> None:
        self.script = script
        self._resume(None)

    def post(self, message: object) -> None:
        if self.script is None:
            return
        self.mailbox.append(message)
        if not self.scheduled:
            self.scheduled = True
            self.loop.ready.append(self)

    def alarm(self, delay_ns: int, tag: object) -> Timer:
        return self.loop.call_later(delay_ns, lambda: self.post(Timeout(tag)))

    def run(self) -> None:
        self.scheduled = False
        while self.mailbox and self.script is not None:
            self._resume(self.mailbox.popleft())

    def _resume(self, message: object) -> None:
        assert self.script is not None
        try:
            self.script.send(message)
        except StopIteration:
            self.end()
        except Exception as error:
            self.end()
            self.faulted(error)

    def end(self) -> None:
        self.script = None
        self.mailbox.clear()

    def faulted(self, error: Exception) -> None:
        """A fault in the script. Peers contain theirs; one of the others' ends the program."""
        raise error


class Loop:
    """Runs actors until told to stop.

    The clock is monotonic and anchored to the wall once, so that it never steps back and yet compares
    with the start times that the directory lists.
    """

    def __init__(self) -> None:
        self.offset = time.time_ns() - time.monotonic_ns()
        self.epoll = select.epoll()
        self.handlers: dict[int, Handler] = {}
        self.ready: deque[Actor] = deque()
        self.timers: list[tuple[int, int, Timer]] = []
        self.sequence = count()
        self.stopped = False
        self.streams = 0  # that are open
        self.make_room: Callable[[], bool] = lambda: False  # called for want of a descriptor
        # What a poll returns may have been ready since the poll before it, when the loop did not sleep.
        self.since = self.now()

    def now(self) -> int:
        return time.monotonic_ns() + self.offset

    def call_later(self, delay_ns: int, fire: Callable[[], None]) -> Timer:
        timer = Timer(fire)
        self.schedule(delay_ns, timer)
        return timer

    def schedule(self, delay_ns: int, timer: Timer) -> None:
        heapq.heappush(self.timers, (self.now() + max(0, delay_ns), next(self.sequence), timer))

    def watch(self, fd: int, mask: int, handler: Handler) -> None:
        if fd in self.handlers:
            self.epoll.modify(fd, mask)
        else:
            self.epoll.register(fd, mask)
        self.handlers[fd] = handler

    def unwatch(self, fd: int) -> None:
        if self.handlers.pop(fd, None) is not None:
            self.epoll.unregister(fd)

    def run(self) -> None:
        while not self.stopped:
            self.turn()

    def turn(self) -> None:
        for _ in range(len(self.ready)):
            self.ready.popleft().run()
        wait = -1.0
        if self.ready or self.stopped:
            wait = 0.0
        elif self.timers:
            wait = max(0.0, (self.timers[0][0] - self.now()) / S)
        before = self.now()
        happened = self.epoll.poll(wait)
        after = self.now()
        self.since = after if after - before > MS else before
        for fd, mask in happened:
            handler = self.handlers.get(fd)
            if handler is not None:  # a handler before it may have closed this one
                handler(mask)
        # Only now: after a stall of this process, what arrived in time must not count as late.
        self._fire_due()

    def _fire_due(self) -> None:
        now = self.now()
        while self.timers and (self.timers[0][0] <= now or self.timers[0][2].fire is None):
            fire = heapq.heappop(self.timers)[2].fire
            if fire is not None:
                fire()
