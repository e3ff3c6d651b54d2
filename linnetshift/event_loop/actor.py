"""Actors: coroutines that receive messages from a mailbox, one at a time, on the event loop's thread."""

from __future__ import annotations

from collections import deque
from collections.abc import Generator
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from linnetshift.event_loop.timers import ActorTimer, Timer

if TYPE_CHECKING:
    from linnetshift.event_loop.loop import Loop

# A generator: each `yield` waits for the next message.
ActorCoroutine = Generator[None, Any, None]


class Io(NamedTuple):
    """Message to an actor: its socket is ready for reading or writing."""

    mask: int  # epoll's event mask


class Closable(Protocol):
    """The interface of an actor's stream, which is closed when the actor ends."""

    def close(self) -> None:
        """Release descriptor and buffers; a second call has no effect."""


class Actor:
    """A coroutine with a mailbox, its timers and at most one stream.

    An actor that has ended, in whichever way, has released its coroutine, mailbox, timers and stream. Others
    may still reference it and read its attributes: only those few plain values stay in memory.
    """

    stream: Closable | None = None

    def __init__(self, loop: Loop) -> None:
        """An actor that receives no message until `start`."""
        self.loop = loop
        self.mailbox: deque[Any] = deque()
        self.timers: set[ActorTimer] = set()
        self.is_scheduled = False  # in the loop's queue of actors with messages
        self.coroutine: ActorCoroutine | None = None

    def start(self, coroutine: ActorCoroutine) -> None:
        """Run the coroutine to its first `yield`, before this call returns."""
        self.coroutine = coroutine
        self._resume(None)

    def post(self, message: object) -> None:
        """Queue a message for the loop's next turn; dropped if the actor has ended or not started."""
        if self.coroutine is None:
            return
        self.mailbox.append(message)
        if not self.is_scheduled:
            self.is_scheduled = True
            self.loop.ready_actors.append(self)

    def post_io(self, mask: int) -> None:
        """Post that the socket is ready: the callback for `Stream` and `Loop.watch`."""
        self.post(Io(mask))

    def set_timer(self, delay_ns: int, tag: object) -> Timer:
        """Post `Timeout(tag)` after `delay_ns`; a timeout already in the mailbox can't be cancelled."""
        timer = ActorTimer(self, tag)
        self.timers.add(timer)
        self.loop.schedule(delay_ns, timer)
        return timer

    def process_mailbox(self) -> None:
        """Pass all messages to the coroutine, including those that it posts to itself meanwhile."""
        self.is_scheduled = False
        while self.mailbox and self.coroutine is not None:
            self._resume(self.mailbox.popleft())

    def _resume(self, message: object) -> None:
        assert self.coroutine is not None
        try:
            self.coroutine.send(message)
        except StopIteration:
            self.end()
        # `handle_fault` either contains the fault or ends the program.
        except Exception as error:  # noqa: BLE001
            self.coroutine = None  # first, so that messages caused by the fault are dropped
            try:
                self.handle_fault(error)
            finally:
                self.end()

    def end(self) -> None:
        """Release everything now: left to the garbage collector, thousands of buffers would remain."""
        self.coroutine = None
        self.mailbox.clear()
        while self.timers:
            next(iter(self.timers)).cancel()
        if self.stream is not None:
            self.stream.close()

    def handle_fault(self, error: Exception) -> None:
        """Handle an exception that the coroutine raised; the actor is ended afterwards.

        Actors that serve one connection override it to contain the fault; by default it ends the program.
        """
        raise error
