"""Outbound connections, and the lingering close that all connections use."""

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

LINGER_NS = S // 2  # how long a connection that has ended its side waits for a silent peer's end

Steps = Generator[None, Any, Any]
"""A part of an actor's coroutine, run with `yield from`: receives the messages and returns a result."""


class Resume:
    """Message: the other connection of a relay is no longer congested."""


class Stop:
    """Message: the stream is closed or no longer needed, and the actor's coroutine must end."""


class OutboundConnection(Actor):
    """A connection that this process opens, to an endpoint or to discovery.

    Subclasses run `connect` first, and override `report_failure` to notify the owner of the connection.
    """

    stream: Stream | None = None
    was_refused = False  # ECONNREFUSED: no process listens at the address

    def handle_fault(self, error: Exception) -> None:
        """Contain a fault of one connection: it must not end the process."""
        log.exception(error)
        if self.stream is not None:
            self.stream.close(End.RESET)
        self.report_failure()

    def report_failure(self) -> None:
        """Notify the owner that the connection has failed after a fault."""

    def connect(self, address: Address, timeout_ns: int) -> Steps:
        """Connect; returns whether the connection is established, with `stream` open, within the timeout."""
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
                    # Closed in the same turn, before this message is handled: established and abandoned.
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
        """Create a TCP socket; None if no descriptor is free and no connection can be evicted."""
        while True:
            try:
                return socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            except OSError as error:
                if not self.loop.free_descriptor():
                    log.info("socket-unavailable", endpoint=address, error=error.strerror)
                    return None


def _start_connecting(stream: Stream, sock: socket.socket, address: Address) -> int:
    """Start a nonblocking connect; returns the errno if it fails at once, else 0."""
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
    """Discard input until the peer ends its side: closing with unread bytes sends RST, which loses data.

    Waits LINGER_NS for a silent peer that has read everything, until `receive_until` (ns of the loop's clock)
    for one that keeps sending, and STALL_NS for one that does not read.
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
                        break  # the peer has ended its side
                    has_received = has_received or received_bytes > 0
            case Timeout(tag=ConnectionTimer.LINGER):
                now = actor.loop.now()
                if stream.is_congested and now < write_deadline:
                    delay_ns = LINGER_NS  # a close now would drop unsent data
                elif has_received and now < receive_until:
                    delay_ns = min(LINGER_NS, receive_until - now)
                    has_received = False
                else:
                    break
                timer = actor.set_timer(delay_ns, ConnectionTimer.LINGER)
            case Stop():
                break
    timer.cancel()
