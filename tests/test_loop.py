"""The order of events and timers within a turn of the loop, and reuse of descriptor numbers."""

from __future__ import annotations

import os
import select
import socket

from linnetshift.event_loop.actor import Actor, ActorCoroutine, Io
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.timers import Timeout


def test_io_during_a_stall_is_handled_before_due_timers() -> None:
    # With timers first, connections that were established in time during a stall counted as unreachable.
    loop, received = Loop(), list[object]()

    class RecordingActor(Actor):
        def run(self) -> ActorCoroutine:
            while True:
                received.append((yield))

    own_end, peer_end = socket.socketpair()
    with own_end, peer_end:
        actor = RecordingActor(loop)
        actor.start(actor.run())
        loop.watch(own_end.fileno(), select.EPOLLIN, lambda mask: actor.post(Io(mask)))
        actor.set_timer(0, "due")
        peer_end.send(b"in time")
        loop.run_once()
        loop.run_once()
    assert received[:2] == [Io(select.EPOLLIN), Timeout("due")]


def test_event_of_a_closed_descriptor_is_not_passed_to_its_new_owner() -> None:
    # With few free descriptors, a number is reused within a turn; the new socket's handler got the old event.
    loop, calls, new_pair = Loop(), list[str](), list[socket.socket]()
    pairs = [socket.socketpair() for _ in range(2)]

    def close_other(closed: socket.socket) -> None:
        calls.append("first")
        number = closed.fileno()
        loop.unwatch(number)
        closed.close()
        new_pair.extend(socket.socketpair())
        if new_pair[0].fileno() != number:
            os.dup2(new_pair[0].fileno(), number)
        loop.watch(number, select.EPOLLOUT, lambda _: calls.append("new owner"))

    for (own_end, peer_end), (other, _) in zip(pairs, reversed(pairs), strict=True):
        peer_end.send(b"x")
        loop.watch(own_end.fileno(), select.EPOLLIN, lambda _, closed=other: close_other(closed))  # type: ignore[misc]
    loop.run_once()
    assert calls == ["first"]
    for own_end, _ in pairs:
        if own_end.fileno() >= 0:
            loop.unwatch(own_end.fileno())
    loop.run_once()
    assert calls == ["first", "new owner"]
