"""A listening socket, and what all frontends share."""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable

from linnetshift.broker.broker import Broker
from linnetshift.config.names import NameRegistry
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.connection_limits import (
    ConnectionLimiter,
)
from linnetshift.event_loop.loop import MS, Loop
from linnetshift.observability import log

BACKLOG = 1024
ACCEPTS = 64  # at one turn of the loop
PAUSE_NS = 50 * MS  # without descriptors, how long nothing is accepted


class Acceptor:
    """A listening socket that hands each connection on and outlives a want of descriptors.

    One that was given is shared with other processes: it is only watched, never bound, shut down or told to
    listen anew.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        take: Callable[[socket.socket, Address], None],
        given: socket.socket | None = None,
        make_room: Callable[[], bool] | None = None,
    ) -> None:
        """`make_room` is called for want of a descriptor, and says whether there may be one now."""
        self.loop, self.address, self.take = loop, address, take
        self.make_room = make_room or loop.make_room
        self.paused = False
        self.given = given is not None
        if given is None:
            self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.bind(address)
            self.listener.listen(BACKLOG)
        else:
            self.listener = given
        self.listener.setblocking(False)
        self.accept_again()

    def pause(self, paused: bool) -> None:
        """Leave what arrives to another process, or take it again."""
        self.paused = paused
        if paused and self.listener.fileno() >= 0:
            self.loop.unwatch(self.listener.fileno())
        self.accept_again()

    def accept_again(self) -> None:
        if self.listener.fileno() >= 0 and not self.paused:
            self.loop.watch(self.listener.fileno(), select.EPOLLIN, self.accept)

    def accept(self, _mask: int, most: int = ACCEPTS) -> None:
        for _ in range(most):
            try:
                sock, peer = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE) and self.make_room():
                    continue
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    # The backlog stays readable: without a pause this would spin until some end.
                    self.loop.unwatch(self.listener.fileno())
                    self.loop.call_later(PAUSE_NS, self.accept_again)
                    log.info("accept-paused", error=error.strerror)
                    return
                continue  # the peer was gone before it was accepted
            self.take(sock, peer)

    def close(self) -> None:
        if self.listener.fileno() >= 0 and not self.given and not self.paused:
            # Those in the queue were accepted by this machine, and a close would reset them.
            self.accept(0, 2 * BACKLOG)
        if self.listener.fileno() >= 0:
            # First: closing does not end epoll's interest in a socket that other processes hold too.
            self.loop.unwatch(self.listener.fileno())
            self.listener.close()


class Frontend:
    """What takes connections in, at an address that may change while the program runs."""

    def __init__(
        self, loop: Loop, broker: Broker, names: NameRegistry, connection_limiter: ConnectionLimiter
    ) -> None:
        self.loop, self.broker, self.names, self.connection_limiter = loop, broker, names, connection_limiter
        self.is_draining = False
        self.acceptor: Acceptor | None = None

    @property
    def address(self) -> Address | None:
        return self.acceptor.address if self.acceptor is not None else None

    def take(self, sock: socket.socket, peer: Address) -> None:
        raise NotImplementedError

    def listen(self, address: Address, given: socket.socket | None = None) -> None:
        if address != self.address:
            self.follow(Acceptor(self.loop, address, self.take, given))

    def pause(self, paused: bool) -> None:
        """Leave new connections to the process that takes this one's place, or take them again."""
        self.is_draining = paused
        if self.acceptor is not None:
            self.acceptor.pause(paused)

    def follow(self, acceptor: Acceptor) -> None:
        """Listen there from now on; what was accepted before goes on."""
        self.close()
        self.is_draining, self.acceptor = False, acceptor

    def close(self) -> None:
        if self.acceptor is not None:
            self.acceptor.close()
            self.acceptor = None
