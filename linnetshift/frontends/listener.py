"""Listening sockets, and what the frontends have in common."""

from __future__ import annotations

import errno
import select
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable

from linnetshift.broker.broker import Broker
from linnetshift.config.names import NameRegistry
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.connection_limits import ConnectionLimiter
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.timers import MS
from linnetshift.observability import log
from linnetshift.observability.log import Reason
from linnetshift.routing.events import Outcome

BACKLOG = 1024  # connections that the kernel keeps for a listening socket
MAX_ACCEPTS_PER_WAKEUP = 64  # so that a flood leaves time for established connections
MAX_ACCEPTS_AT_CLOSE = 2 * BACKLOG  # a full queue, and what joins it meanwhile
# How long nothing is accepted while descriptors or buffers are short.
ACCEPT_PAUSE_NS = 50 * MS
# How long before the deadline the answer is due: the client counts from when it sent the request, which was
# before the loop saw it.
ANSWER_RESERVE_NS = 4 * MS
DESCRIPTOR_SHORTAGE_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE})
SHORTAGE_ERRNOS = DESCRIPTOR_SHORTAGE_ERRNOS | {errno.ENOBUFS, errno.ENOMEM}


class Acceptor:
    """Owns a listening socket, passes each connection on and survives a shortage of descriptors.

    An inherited socket is shared with other processes: it is only watched, never bound or shut down, and
    `listen` is not called on it again.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        on_accept: Callable[[socket.socket, Address], None],
        inherited: socket.socket | None = None,
        make_room: Callable[[], bool] | None = None,
    ) -> None:
        """Accept at once, on a new socket bound to `address` unless one is inherited; raises OSError.

        `on_accept` owns the socket that it is called with. `make_room` is called for want of a descriptor and
        returns whether there may be one now; by default it is the loop's.
        """
        self.loop = loop
        self.address = address
        self.on_accept = on_accept
        self.make_room = make_room or loop.make_room
        self.is_paused = False
        self.is_inherited = inherited is not None
        self.listener = inherited if inherited is not None else _open_listener(address)
        self.listener.setblocking(False)
        self._watch()

    @property
    def is_open(self) -> bool:
        """Whether the socket is not closed yet."""
        return self.listener.fileno() >= 0

    def set_paused(self, is_paused: bool) -> None:
        """Leave new connections to another process that shares the socket, or accept them again."""
        self.is_paused = is_paused
        if is_paused and self.is_open:
            self.loop.unwatch(self.listener.fileno())
        self._watch()

    def close(self) -> None:
        """Close the socket, after what is in its queue is accepted; a second call does nothing."""
        if not self.is_open:
            return
        if not self.is_inherited and not self.is_paused:
            # The kernel has accepted those in the queue for their clients; a close would reset them.
            self._accept(MAX_ACCEPTS_AT_CLOSE)
        # First: closing does not end epoll's interest in a socket that other processes hold too.
        self.loop.unwatch(self.listener.fileno())
        self.listener.close()

    def _watch(self) -> None:
        if self.is_open and not self.is_paused:
            self.loop.watch(self.listener.fileno(), select.EPOLLIN, self._handle_readable)

    def _handle_readable(self, _mask: int) -> None:
        self._accept(MAX_ACCEPTS_PER_WAKEUP)

    def _accept(self, limit: int) -> None:
        """Accept at most `limit` connections from the queue; pause while descriptors or buffers are short."""
        for _ in range(limit):
            try:
                sock, peer = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in DESCRIPTOR_SHORTAGE_ERRNOS and self.make_room():
                    continue
                if error.errno in SHORTAGE_ERRNOS:
                    self._pause_for(ACCEPT_PAUSE_NS)
                    log.info("accept-paused", error=error.strerror)
                    return
                continue  # the peer was gone before it was accepted
            self.on_accept(sock, peer)

    def _pause_for(self, delay_ns: int) -> None:
        """Stop watching for a while: the queue stays readable, and the loop would spin on it."""
        self.loop.unwatch(self.listener.fileno())
        self.loop.call_later(delay_ns, self._watch)


def _open_listener(address: Address) -> socket.socket:
    """Return a socket that listens on the address; raises OSError, with nothing left open."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


class Frontend(ABC):
    """Accepts clients of one protocol, at an address that may change while the program runs."""

    def __init__(
        self, loop: Loop, broker: Broker, names: NameRegistry, connection_limiter: ConnectionLimiter
    ) -> None:
        """Create a frontend that listens nowhere yet."""
        self.loop = loop
        self.broker = broker
        self.names = names
        self.connection_limiter = connection_limiter
        self.is_draining = False  # new clients are to go elsewhere: PING is answered with ERR
        self.acceptor: Acceptor | None = None

    @property
    def address(self) -> Address | None:
        """Where this frontend listens; None while it does not."""
        return self.acceptor.address if self.acceptor is not None else None

    @abstractmethod
    def handle_connection(self, sock: socket.socket, peer: Address) -> None:
        """Serve a connection that was accepted; owns the socket from now on."""

    def listen(self, address: Address, inherited: socket.socket | None = None) -> None:
        """Listen on the address unless this frontend does already; raises OSError."""
        if address != self.address:
            self.use_acceptor(Acceptor(self.loop, address, self.handle_connection, inherited))

    def set_paused(self, is_paused: bool) -> None:
        """Leave new connections to this process's successor, or accept them again."""
        self.is_draining = is_paused
        if self.acceptor is not None:
            self.acceptor.set_paused(is_paused)

    def use_acceptor(self, acceptor: Acceptor) -> None:
        """Own this acceptor in place of the present one, which is closed; accepted connections go on."""
        self.close()
        self.is_draining = False
        self.acceptor = acceptor

    def close(self) -> None:
        """Stop listening; accepted connections go on."""
        if self.acceptor is not None:
            self.acceptor.close()
            self.acceptor = None


def endpoint_end_reason(outcome: int, is_reset: bool) -> Reason:
    """The reason to log for an established connection that its endpoint ended with this `Outcome`."""
    if is_reset:
        return Reason.ENDPOINT_RESET
    if outcome == Outcome.OK:
        return Reason.SERVED
    return Reason.ENDPOINT_MIGRATED if outcome == Outcome.CANCELLED else Reason.ENDPOINT_LEFT
