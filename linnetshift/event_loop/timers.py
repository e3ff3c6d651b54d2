"""One-shot timers: a callback, or a message to an actor, after a delay.

All times are in nanoseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from linnetshift.event_loop.actor import Actor
    from linnetshift.event_loop.loop import Loop

MS = 1_000_000  # nanoseconds in a millisecond
S = 1_000_000_000  # nanoseconds in a second


def ceil_ms(duration_ns: int) -> int:
    """The duration in whole milliseconds, rounded up so that it is never too short."""
    return -(-duration_ns // MS)


class Timeout(NamedTuple):
    """Message to an actor: the timer that it set with this tag has fired."""

    tag: object


class Timer:
    """Fires once unless it is cancelled first; after either it references only the loop."""

    __slots__ = ("callback", "loop")

    def __init__(self, loop: Loop, callback: Callable[[], None]) -> None:
        """A timer that is not armed yet; `Loop.schedule` arms it."""
        self.loop = loop
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Prevent it from firing; no effect once it has fired or is cancelled."""
        if self.callback is not None:
            self.callback = None
            self.loop.handle_timer_cancelled()

    def fire(self) -> None:
        """Call the callback; the loop does this when the timer is due."""
        callback = self.callback
        self.callback = None
        if callback is not None:
            callback()


class ActorTimer(Timer):
    """An actor's timer: posts `Timeout` to it, and is cancelled when the actor ends."""

    __slots__ = ("actor", "tag")

    def __init__(self, actor: Actor, tag: object) -> None:
        """A timer of this actor; its `Timeout` carries the tag."""
        super().__init__(actor.loop, self._post_timeout)
        self.actor: Actor | None = actor
        self.tag = tag

    def _post_timeout(self) -> None:
        tag = self.tag
        if (actor := self._detach()) is not None:
            actor.post(Timeout(tag))

    def cancel(self) -> None:
        """Prevent it from firing, and drop its reference to the actor."""
        self._detach()
        super().cancel()

    def _detach(self) -> Actor | None:
        """Drop the references to actor and tag; returns the actor.

        A cancelled timer may stay in the loop's heap until its due time and must not keep the actor alive.
        """
        actor = self.actor
        self.actor = None
        self.tag = None
        if actor is not None:
            actor.timers.discard(self)
        return actor
