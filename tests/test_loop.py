"""The loop by itself."""

from __future__ import annotations

import select
import socket

from linnetshift.net.loop import Actor, Io, Loop, Script, Timeout


def test_what_arrived_during_a_stall_comes_before_the_timers_that_ran_out() -> None:
    # With timers first, connections that had come up in time were given up as unreachable.
    loop, seen = Loop(), list[object]()

    class Listening(Actor):
        def live(self) -> Script:
            while True:
                seen.append((yield))

    ours, theirs = socket.socketpair()
    with ours, theirs:
        actor = Listening(loop)
        actor.start(actor.live())
        loop.watch(ours.fileno(), select.EPOLLIN, lambda mask: actor.post(Io(mask)))
        actor.alarm(0, "late")
        theirs.send(b"in time")
        loop.turn()
        loop.turn()
    assert seen[:2] == [Io(select.EPOLLIN), Timeout("late")]
