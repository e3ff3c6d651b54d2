"""The listener of the administrative interface.

Its peers are people and scripts that may be slow, broken or many. None of them delays another, and all
together cost a bounded number of descriptors and buffers.
"""

from __future__ import annotations

import os
import socket

from linnetshift.admin.connection import AdminConnection
from linnetshift.admin.operations import Operations
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import Loop
from linnetshift.frontends.listener import Acceptor
from linnetshift.observability.resource_usage import ResourceUsage

# Connections whose call is not finished, and those that linger after it: this many of each. One more ends
# the one that has been unfinished, or has lingered, longest.
MAX_CONNECTIONS = 24
# Descriptors that clients and endpoints cannot take, so that staff can act while they run short.
RESERVED_DESCRIPTORS = 4


class AdminServer:
    """Accepts administrative connections, while the configuration names an address for them.

    Owns the connections and the reserved descriptors; both live as long as the process at most.
    """

    def __init__(self, loop: Loop, operations: Operations) -> None:
        """Listens nowhere until `use_acceptor` is given a listening socket."""
        self.loop = loop
        self.operations = operations
        # Dictionaries for their order, the oldest first.
        self.unfinished: dict[AdminConnection, None] = {}  # whose call is not finished
        self.lingering: dict[AdminConnection, None] = {}  # answered, and not closed yet
        self.acceptor: Acceptor | None = None
        self.reserved_descriptors: list[int] = []

    @property
    def address(self) -> Address | None:
        """Where it listens; None while it does not."""
        return self.acceptor.address if self.acceptor is not None else None

    def open_acceptor(self, address: Address) -> Acceptor:
        """A listening socket at the address, for `use_acceptor`; raises OSError where it cannot be bound."""
        return Acceptor(self.loop, address, self.handle_connection, make_room=self.make_room)

    def use_acceptor(self, acceptor: Acceptor | None) -> None:
        """Listen there from now on, or nowhere; calls under way are still answered."""
        if self.acceptor is not None:
            self.acceptor.close()
        self.acceptor = acceptor
        if acceptor is not None:
            self.refill_reserve()

    def handle_connection(self, sock: socket.socket, peer: Address) -> None:
        """Serve an accepted connection."""
        if len(self.unfinished) >= MAX_CONNECTIONS:
            longest_unfinished = next(iter(self.unfinished))
            longest_unfinished.evict()
        connection = AdminConnection(self.loop, self.operations, self, sock, peer)
        connection.start(connection.run())

    # ---- descriptors ------------------------------------------------------------------------

    def make_room(self) -> bool:
        """Free a descriptor: of a client connection without a request, else a reserved one."""
        if self.loop.make_room():
            return True
        if not self.reserved_descriptors:
            return False
        os.close(self.reserved_descriptors.pop())
        return True

    def refill_reserve(self) -> None:
        """Reserve descriptors again, as far as there are any."""
        try:
            while len(self.reserved_descriptors) < RESERVED_DESCRIPTORS:
                self.reserved_descriptors.append(os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC))
        except OSError:
            pass  # out of descriptors: the next connection that closes refills it

    # ---- what its connections report ----------------------------------------------------------

    def handle_opened(self, connection: AdminConnection) -> None:
        """Count it among those whose call is not finished."""
        self.unfinished[connection] = None

    def handle_call_ended(self, connection: AdminConnection) -> None:
        """Its call no longer counts as unfinished."""
        self.unfinished.pop(connection, None)

    def handle_answered(self, connection: AdminConnection) -> None:
        """Let it linger; the one that has lingered longest makes room."""
        if len(self.lingering) >= MAX_CONNECTIONS:
            oldest = next(iter(self.lingering))
            del self.lingering[oldest]
            oldest.close_lingering()
        self.lingering[connection] = None

    def handle_closed(self, connection: AdminConnection) -> None:
        """Forget it, and reserve its descriptor if one is missing."""
        self.lingering.pop(connection, None)
        self.refill_reserve()

    def resource_usage(self) -> dict[str, ResourceUsage]:
        """Its containers, under their names in `/ops/census`."""
        return {
            "door.callers": ResourceUsage(len(self.unfinished), MAX_CONNECTIONS + 1),
            "door.lingering": ResourceUsage(len(self.lingering), MAX_CONNECTIONS),
            "door.reserve": ResourceUsage(len(self.reserved_descriptors), RESERVED_DESCRIPTORS),
        }
