"""Connections that this process opens, and an orderly end of any connection."""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Generator
from typing import Any

from linnetshift.event_loop.actor import Actor, Io
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.connection_limits import STALL_NS, ConnectionTimer
from linnetshift.event_loop.stream import End, Stream
from linnetshift.event_loop.timers import S, Timeout
from linnetshift.observability import log

LINGER_NS = S // 2  # how long an ended connection waits for the peer's own end

Steps = Generator[None, Any, Any]
"""A part of an actor's coroutine: receives the actor's messages, and returns a result."""


class Resume:
    """Message: the other side of a relay takes lines again."""


class Stop:
    """Message: the stream is closed, or no longer needed; the actor's coroutine is to end."""


class OutboundConnection(Actor):
    """A connection that this process opens: to an endpoint, or to discovery.

    Subclasses run `connect` first, and override `report_failure` for whoever waits for the connection.
    """

    stream: Stream | None = None
    was_refused = False  # by the peer's machine: no process listens there

    def faulted(self, error: Exception) -> None:
        """Contain a fault on one connection: it must not end the process."""
        log.exception(error)
        if self.stream is not None:
            self.stream.close(End.RESET)
        self.report_failure()

    def report_failure(self) -> None:
        """Report after a fault that this connection has failed."""

    def connect(self, address: Address, timeout_ns: int) -> Steps:
        """Connect; returns whether the connection is established in time, with `stream` open."""
        sock = self._create_socket(address)
        if sock is None:
            return False
        self.stream = stream = Stream(self.loop, sock, self.post_io)
        error = _start_connecting(stream, sock, address)
        if error:
            self.was_refused = error == errno.ECONNREFUSED
            return False
        timer = self.set_timer(timeout_ns, ConnectionTimer.CONNECT)
        while stream.connecting:
            match (yield):
                case Io():
                    # It may be established and abandoned, so closed, in one turn, before this is handled.
                    if stream.closed:
                        return False
                    if error := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                        self.was_refused = error == errno.ECONNREFUSED
                        return False
                    stream.connecting = False
                    stream.arm()
                case Timeout(tag=ConnectionTimer.CONNECT) | Stop():
                    return False
        timer.cancel()
        return True

    def _create_socket(self, address: Address) -> socket.socket | None:
        """Return a TCP socket; None where descriptors are short and no connection can be evicted."""
        while True:
            try:
                return socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            except OSError as error:
                if not self.loop.make_room():
                    log.info("socket-unavailable", endpoint=address, error=error.strerror)
                    return None


def _start_connecting(stream: Stream, sock: socket.socket, address: Address) -> int:
    """Begin to connect without blocking; returns the error where that failed at once, else 0."""
    try:
        code = sock.connect_ex(address)
    except OSError as error:
        code = error.errno or errno.EINVAL
    if code not in (0, errno.EINPROGRESS):
        return code
    stream.connecting = code != 0
    stream.arm()
    return 0


def linger(actor: Actor, stream: Stream, receive_until: int = 0) -> Steps:
    """Read on until the peer ends too: closing with bytes unread would reset what is still on its way.

    A peer that is silent is waited for LINGER_NS, from when it has taken all that was sent; one that keeps
    sending, until `receive_until` (ns of the loop's clock); one that takes nothing, for STALL_NS.
    """
    timer = actor.set_timer(LINGER_NS, ConnectionTimer.LINGER)
    has_received = False
    write_deadline = actor.loop.now() + STALL_NS
    stream.set_reading(True)
    while not stream.broken:
        match (yield):
            case Io(mask):
                if mask & select.EPOLLOUT:
                    stream.flush()
                if mask & ~select.EPOLLOUT:
                    received_bytes = stream.discard_input()
                    if received_bytes is None:
                        break  # the peer has ended too
                    has_received = has_received or received_bytes > 0
            case Timeout(tag=ConnectionTimer.LINGER):
                now = actor.loop.now()
                if stream.is_congested and now < write_deadline:
                    delay_ns = LINGER_NS  # a close now would drop what is unsent
                elif has_received and now < receive_until:
                    delay_ns = min(LINGER_NS, receive_until - now)
                    has_received = False
                else:
                    break
                timer = actor.set_timer(delay_ns, ConnectionTimer.LINGER)
            case Stop():
                break
    timer.cancel()
