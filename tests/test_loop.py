"""The loop by itself."""

from __future__ import annotations

import os
import select
import socket

from linnetshift.event_loop.actor import Actor, ActorCoroutine, Io
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.timers import Timeout


def test_what_arrived_during_a_stall_comes_before_the_timers_that_ran_out() -> None:
    # With timers first, connections that had come up in time were given up as unreachable.
    loop, seen = Loop(), list[object]()

    class Listening(Actor):
        def run(self) -> ActorCoroutine:
            while True:
                seen.append((yield))

    ours, theirs = socket.socketpair()
    with ours, theirs:
        actor = Listening(loop)
        actor.start(actor.run())
        loop.watch(ours.fileno(), select.EPOLLIN, lambda mask: actor.post(Io(mask)))
        actor.set_timer(0, "late")
        theirs.send(b"in time")
        loop.run_once()
        loop.run_once()
    assert seen[:2] == [Io(select.EPOLLIN), Timeout("late")]


def test_what_happened_to_one_that_is_closed_is_not_told_to_its_successor() -> None:
    # Under want of descriptors a number was given anew within one turn, and the new one took it for its own.
    loop, told, kept = Loop(), list[str](), list[socket.socket]()
    pairs = [socket.socketpair() for _ in range(2)]

    def first_heard(closed: socket.socket) -> None:
        told.append("first")
        number = closed.fileno()
        loop.unwatch(number)
        closed.close()
        kept.extend(socket.socketpair())
        if kept[0].fileno() != number:
            os.dup2(kept[0].fileno(), number)
        loop.watch(number, select.EPOLLOUT, lambda _: told.append("successor"))

    for (ours, theirs), (other, _) in zip(pairs, reversed(pairs), strict=True):
        theirs.send(b"x")
        loop.watch(ours.fileno(), select.EPOLLIN, lambda _, closed=other: first_heard(closed))  # type: ignore[misc]
    loop.run_once()
    assert told == ["first"]
    for ours, _ in pairs:
        if ours.fileno() >= 0:
            loop.unwatch(ours.fileno())
    loop.run_once()
    assert told == ["first", "successor"]
