"""Timers: a callback or an actor's timeout that is due once, unless it is cancelled first.

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
    """The duration in whole milliseconds, rounded up: who waits that long has waited long enough."""
    return -(-duration_ns // MS)


class Timeout(NamedTuple):
    """Message to an actor: a timer that it set has fired; the tag says which."""

    tag: object


class Timer:
    """Fires once unless it is cancelled first; after either it references nothing but the loop."""

    __slots__ = ("callback", "loop")

    def __init__(self, loop: Loop, callback: Callable[[], None]) -> None:
        """A timer that `Loop.schedule` has yet to arm."""
        self.loop = loop
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Never fire; without effect once it has fired or is cancelled."""
        if self.callback is not None:
            self.callback = None
            self.loop.handle_timer_cancelled()

    def fire(self) -> None:
        """Call the callback; called by the loop when the timer is due."""
        callback = self.callback
        self.callback = None
        if callback is not None:
            callback()


class ActorTimer(Timer):
    """An actor's timer: leaves a `Timeout` in its mailbox, and is cancelled when the actor ends."""

    __slots__ = ("actor", "tag")

    def __init__(self, actor: Actor, tag: object) -> None:
        """A timer of this actor; the tag is handed back in the `Timeout`."""
        super().__init__(actor.loop, self._post_timeout)
        self.actor: Actor | None = actor
        self.tag = tag

    def _post_timeout(self) -> None:
        tag = self.tag
        if (actor := self._release()) is not None:
            actor.post(Timeout(tag))

    def cancel(self) -> None:
        """Never fire, and let the actor go."""
        self._release()
        super().cancel()

    def _release(self) -> Actor | None:
        """Drop the references and return the actor.

        The loop's heap keeps a cancelled timer until its time: the actor must not be kept as long.
        """
        actor = self.actor
        self.actor = None
        self.tag = None
        if actor is not None:
            actor.timers.discard(self)
        return actor
