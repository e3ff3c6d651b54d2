"""Connections that this process opens, and an orderly end of any connection."""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Generator
from typing import Any

from linnetshift.event_loop.address import Address
from linnetshift.event_loop.connection_limits import STALL_NS
from linnetshift.event_loop.loop import Actor, Io, S, Timeout
from linnetshift.event_loop.stream import End, Stream
from linnetshift.observability import log

LINGER_NS = S // 2  # how long an ended connection waits for the peer's own end
Steps = Generator[None, Any, Any]


class Resume:
    """The other side takes messages again."""


class Stop:
    """The stream is closed already; only the script is still to end."""


class OutboundConnection(Actor):
    """What connections to endpoints share: coming up within a limit, writing, and the first line."""

    stream: Stream | None = None

    def ready(self, mask: int) -> None:
        self.post(Io(mask))

    def faulted(self, error: Exception) -> None:
        log.exception(error)
        if self.stream is not None:
            self.stream.close(End.RESET)
        self.report_failure()

    def report_failure(self) -> None:
        """Report the failure to whoever waits for this peer."""

    def connect(self, address: Address, limit_ns: int) -> Steps:
        """Whether the connection came up in time."""
        sock = None
        while sock is None:
            try:
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            except OSError as error:  # out of descriptors: the attempt never reached anyone
                if not self.loop.make_room():
                    log.info("socket-unavailable", endpoint=address, error=error.strerror)
                    return False
        self.stream = stream = Stream(self.loop, sock, self.ready)
        try:
            code = sock.connect_ex(address)
        except OSError as error:
            code = error.errno or errno.EINVAL
        if code not in (0, errno.EINPROGRESS):
            return False
        stream.connecting = code != 0
        stream.arm()
        timer = self.set_timer(limit_ns, "connect")
        while stream.connecting:
            match (yield):
                case Io():
                    # Given up in the very turn in which it came up, it is closed before this is read.
                    if stream.closed or sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                        return False
                    stream.connecting = False
                    stream.arm()
                case Timeout(tag="connect") | Stop():
                    return False
        timer.cancel()
        return True


def linger(actor: Actor, stream: Stream, until: int = 0) -> Steps:
    """Read on until the peer ends too: closing with bytes unread would reset what is still on its way.

    A peer that is quiet is waited for LINGER_NS, from when it has taken all that was sent; one that sends on,
    until the time given; one that takes nothing, as long as any that has stopped reading.
    """
    timer, heard = actor.set_timer(LINGER_NS, "linger"), False
    taken_by = actor.loop.now() + STALL_NS
    stream.want(True)
    while not stream.broken:
        match (yield):
            case Io(mask):
                if mask & select.EPOLLOUT:
                    stream.flush()
                if mask & ~select.EPOLLOUT:
                    got = stream.drain()
                    heard = heard or got > 0
                    if got < 0:
                        break
            case Timeout(tag="linger") if stream.is_congested and actor.loop.now() < taken_by:
                timer = actor.set_timer(LINGER_NS, "linger")  # a close now would drop it
            case Timeout(tag="linger"):
                if not heard or actor.loop.now() >= until:
                    break
                timer, heard = actor.set_timer(min(LINGER_NS, until - actor.loop.now()), "linger"), False
            case Stop():
                break
    timer.cancel()
