"""Listening sockets, and the base class of the frontends."""

from __future__ import annotations

import errno
import select
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable

from linnetshift.broker.broker import Broker
from linnetshift.endpoint_list.names import NameRegistry
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.connection_limits import ConnectionLimiter
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.timers import MS
from linnetshift.observability import log
from linnetshift.observability.log import Reason
from linnetshift.routing.events import Outcome

BACKLOG = 1024  # maximum length of the kernel's accept queue
MAX_ACCEPTS_PER_WAKEUP = 64  # leaves time for established connections in a flood
MAX_ACCEPTS_AT_CLOSE = 2 * BACKLOG  # a full queue, and connections that join it meanwhile
# How long accepting pauses when descriptors or socket buffers have run out.
ACCEPT_PAUSE_NS = 50 * MS
# How long before the deadline the answer is due: the client counts from when it sent the request, which is
# earlier than when the loop received it.
ANSWER_MARGIN_NS = 4 * MS
DESCRIPTOR_SHORTAGE_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE})
RESOURCE_SHORTAGE_ERRNOS = DESCRIPTOR_SHORTAGE_ERRNOS | {errno.ENOBUFS, errno.ENOMEM}


class Acceptor:
    """Owns a listening socket, hands over each accepted connection, and pauses when descriptors run out.

    An inherited socket is shared with other processes: it is only watched, and never bound, shut down or
    passed to `listen` again.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        on_accept: Callable[[socket.socket, Address], None],
        inherited: socket.socket | None = None,
        free_descriptor: Callable[[], bool] | None = None,
    ) -> None:
        """Start accepting, on a new socket bound to `address` unless one is inherited, which it then owns.

        Raises OSError; the socket is closed then. `on_accept` takes ownership of the socket that it is
        passed. `free_descriptor` is called when no descriptor is free, and returns whether one may be free
        now; by default it is the loop's.
        """
        self.loop = loop
        self.address = address
        self.on_accept = on_accept
        self.free_descriptor = free_descriptor or loop.free_descriptor
        self.is_paused = False
        self.is_shared = inherited is not None
        self.listener = inherited if inherited is not None else _open_listener(address)
        try:
            self.listener.setblocking(False)
            self._watch()
        except OSError:
            self.listener.close()
            raise

    @property
    def is_open(self) -> bool:
        """Whether the socket has not been closed."""
        return self.listener.fileno() >= 0

    def set_paused(self, is_paused: bool) -> None:
        """Stop or resume accepting; meanwhile another process that shares the socket accepts."""
        self.is_paused = is_paused
        if is_paused and self.is_open:
            self.loop.unwatch(self.listener.fileno())
        self._watch()

    def close(self) -> None:
        """Accept what is queued, unless shared or paused, and close the socket; idempotent."""
        if not self.is_open:
            return
        if not self.is_shared and not self.is_paused:
            # To their clients, queued connections are established; closing would reset them.
            self._accept(MAX_ACCEPTS_AT_CLOSE)
        # Before closing: epoll keeps watching a closed socket that other processes still have open.
        self.loop.unwatch(self.listener.fileno())
        self.listener.close()

    def _watch(self) -> None:
        if self.is_open and not self.is_paused:
            self.loop.watch(self.listener.fileno(), select.EPOLLIN, self._handle_readable)

    def _handle_readable(self, _mask: int) -> None:
        self._accept(MAX_ACCEPTS_PER_WAKEUP)

    def _accept(self, limit: int) -> None:
        """Accept up to `limit` queued connections; pause if descriptors or buffers have run out."""
        for _ in range(limit):
            try:
                sock, peer = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in DESCRIPTOR_SHORTAGE_ERRNOS and self.free_descriptor():
                    continue
                if error.errno in RESOURCE_SHORTAGE_ERRNOS:
                    self._pause_for(ACCEPT_PAUSE_NS)
                    log.info("accept-paused", error=error.strerror)
                    return
                continue  # the peer disconnected before it was accepted
            self.on_accept(sock, peer)

    def _pause_for(self, delay_ns: int) -> None:
        """Stop watching for `delay_ns`: the socket stays readable, so the loop would spin."""
        self.loop.unwatch(self.listener.fileno())
        self.loop.call_later(delay_ns, self._watch)


def _open_listener(address: Address) -> socket.socket:
    """Return a socket that listens on `address`; raises OSError and leaves no descriptor open."""
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
    """Accepts clients of one protocol, at an address that may change while the process runs."""

    def __init__(
        self, loop: Loop, broker: Broker, names: NameRegistry, connection_limiter: ConnectionLimiter
    ) -> None:
        """Create a frontend that does not listen yet."""
        self.loop = loop
        self.broker = broker
        self.names = names
        self.connection_limiter = connection_limiter
        self.is_draining = False  # PING is answered with ERR, so that new clients go elsewhere
        self.acceptor: Acceptor | None = None

    @property
    def address(self) -> Address | None:
        """The address that this frontend listens on; None while it does not listen."""
        return self.acceptor.address if self.acceptor is not None else None

    @abstractmethod
    def handle_connection(self, sock: socket.socket, peer: Address) -> None:
        """Serve an accepted connection; takes ownership of the socket."""

    def listen(self, address: Address, inherited: socket.socket | None = None) -> None:
        """Listen on `address` unless this frontend already does; raises OSError."""
        if address != self.address:
            self.replace_acceptor(Acceptor(self.loop, address, self.handle_connection, inherited))

    def set_paused(self, is_paused: bool) -> None:
        """Stop accepting, which leaves new connections to the successor, or resume."""
        self.is_draining = is_paused
        if self.acceptor is not None:
            self.acceptor.set_paused(is_paused)

    def replace_acceptor(self, acceptor: Acceptor) -> None:
        """Replace and close the current acceptor; accepted connections stay open."""
        self.close()
        self.is_draining = False
        self.acceptor = acceptor

    def close(self) -> None:
        """Stop listening; accepted connections stay open."""
        if self.acceptor is not None:
            self.acceptor.close()
            self.acceptor = None


def endpoint_end_reason(outcome: int, is_reset: bool) -> Reason:
    """Return the reason to log for an established connection that its endpoint ended with this `Outcome`."""
    if is_reset:
        return Reason.ENDPOINT_RESET
    if outcome == Outcome.OK:
        return Reason.SERVED
    return Reason.ENDPOINT_MIGRATED if outcome == Outcome.CANCELLED else Reason.ENDPOINT_LEFT
