"""One thread: epoll, timers, and actors that are generators fed from their mailboxes."""

from __future__ import annotations

import heapq
import select
import time
from collections import deque
from collections.abc import Callable, Generator
from itertools import count
from typing import Any, NamedTuple, Protocol

from linnetshift.observability.resource_usage import ResourceUsage

ActorCoroutine = Generator[None, Any, None]
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
    """Fires once unless it is cancelled first; after either it holds nothing and nobody."""

    __slots__ = ("call", "loop")

    def __init__(self, loop: Loop, call: Callable[[], None]) -> None:
        self.loop = loop
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        if self.call is not None:
            self.call = None
            self.loop.compact()

    def fire(self) -> None:
        call, self.call = self.call, None
        if call is not None:
            call()


class ActorTimer(Timer):
    """An actor's timer: it leaves a `Timeout` in the mailbox, and ends with the actor."""

    __slots__ = ("actor", "tag")

    def __init__(self, actor: Actor, tag: object) -> None:
        super().__init__(actor.loop, self.post_timeout)
        self.actor: Actor | None = actor
        self.tag = tag

    def post_timeout(self) -> None:
        tag = self.tag
        if (actor := self.let_go()) is not None:
            actor.post(Timeout(tag))

    def cancel(self) -> None:
        self.let_go()
        super().cancel()

    def let_go(self) -> Actor | None:
        """The heap keeps this until its time: it must not keep the actor with it."""
        actor, self.actor, self.tag = self.actor, None, None
        if actor is not None:
            actor.timers.discard(self)
        return actor


class Closing(Protocol):
    """What an actor owns besides its alarms: a stream."""

    def close(self) -> None: ...


class Actor:
    """A script that receives, one at a time, the messages others leave in its mailbox.

    An actor that has ended, in whichever way, has let go of all that it owned: script, mailbox, alarms and
    stream. Others may still hold it and ask it things; it costs them a few plain values.
    """

    stream: Closing | None = None

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.mailbox: deque[Any] = deque()
        self.timers: set[ActorTimer] = set()
        self.scheduled = False
        self.coroutine: ActorCoroutine | None = None

    def start(self, coroutine: ActorCoroutine) -> None:
        self.coroutine = coroutine
        self._resume(None)

    def post(self, message: object) -> None:
        if self.coroutine is None:
            return
        self.mailbox.append(message)
        if not self.scheduled:
            self.scheduled = True
            self.loop.ready.append(self)

    def set_timer(self, delay_ns: int, tag: object) -> Timer:
        set_timer = ActorTimer(self, tag)
        self.timers.add(set_timer)
        self.loop.schedule(delay_ns, set_timer)
        return set_timer

    def process_mailbox(self) -> None:
        self.scheduled = False
        while self.mailbox and self.coroutine is not None:
            self._resume(self.mailbox.popleft())

    def _resume(self, message: object) -> None:
        assert self.coroutine is not None
        try:
            self.coroutine.send(message)
        except StopIteration:
            self.end()
        except Exception as error:
            self.coroutine = None  # it hears nothing more, not even of what its fault sets off
            try:
                self.faulted(error)
            finally:
                self.end()

    def end(self) -> None:
        """Let go of everything at once: waiting for a collector would keep buffers by the thousand."""
        self.coroutine = None
        self.mailbox.clear()
        while self.timers:
            next(iter(self.timers)).cancel()
        if self.stream is not None:
            self.stream.close()

    def faulted(self, error: Exception) -> None:
        """A fault in the script. Peers contain theirs; one of the others' ends the program."""
        raise error


FEW = 64  # cancelled timers that are left where they are


class Loop:
    """Runs actors until told to stop.

    The clock is monotonic and anchored to the wall once, so that it never steps back and yet compares
    with the start times that discovery lists.
    """

    def __init__(self) -> None:
        self.offset = time.time_ns() - time.monotonic_ns()
        self.epoll = select.epoll()
        self.handlers: dict[int, Handler] = {}
        self.ready: deque[Actor] = deque()
        self.timers: list[tuple[int, int, Timer]] = []
        self.dead = 0  # cancelled ones among them
        self.sequence = count()
        self.stopped = False
        self.streams = 0  # that are open
        self.make_room: Callable[[], bool] = lambda: False  # called for want of a descriptor
        # What a poll returns may have been ready since the poll before it, when the loop did not sleep.
        self.since = self.now()

    def now(self) -> int:
        return time.monotonic_ns() + self.offset

    def call_later(self, delay_ns: int, fire: Callable[[], None]) -> Timer:
        timer = Timer(self, fire)
        self.schedule(delay_ns, timer)
        return timer

    def schedule(self, delay_ns: int, timer: Timer) -> None:
        heapq.heappush(self.timers, (self.now() + max(0, delay_ns), next(self.sequence), timer))

    def compact(self) -> None:
        """One in the heap was cancelled. Dead ones never outnumber the living by more than a few."""
        self.dead += 1
        if self.dead > FEW and 2 * self.dead > len(self.timers):
            self.timers[:] = [entry for entry in self.timers if entry[2].call is not None]
            heapq.heapify(self.timers)
            self.dead = 0

    def resource_usage(self, connections: int) -> dict[str, ResourceUsage]:
        """`connections` is the most that may be open at once; each has a few timers."""
        pending = len(self.timers) - self.dead
        return {
            "loop.handlers": ResourceUsage(len(self.handlers), 2 * connections),
            "loop.ready": ResourceUsage(len(self.ready), 2 * connections),
            "loop.timers": ResourceUsage(pending, 8 * connections),
            "loop.dead-timers": ResourceUsage(self.dead, max(FEW, pending + 1)),
        }

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
            self.ready.popleft().process_mailbox()
        while self.timers and self.timers[0][2].call is None:  # nobody need be woken for it
            heapq.heappop(self.timers)
            self.dead -= 1
        wait = -1.0
        if self.ready or self.stopped:
            wait = 0.0
        elif self.timers:
            wait = max(0.0, (self.timers[0][0] - self.now()) / S)
        before = self.now()
        happened = self.epoll.poll(wait)
        after = self.now()
        self.since = after if after - before > MS else before
        # One before it may have closed this one, whose number a new one may have: it did not happen to that.
        for fd, mask, handler in [(fd, mask, self.handlers.get(fd)) for fd, mask in happened]:
            if handler is not None and self.handlers.get(fd) is handler:
                handler(mask)
        # Only now: after a stall of this process, what arrived in time must not count as late.
        self._fire_due()

    def _fire_due(self) -> None:
        now = self.now()
        while self.timers and self.timers[0][0] <= now:
            timer = heapq.heappop(self.timers)[2]
            if timer.call is None:
                self.dead -= 1
            else:
                timer.fire()
