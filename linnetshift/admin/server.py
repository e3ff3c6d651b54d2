"""The listener of the administrative interface.

Its peers, operators and scripts, may be slow, broken or many. None delays another, and together they use a
bounded number of descriptors and buffers.
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

# The limit of connections with an unfinished call, and also of lingering ones after their response. Above it,
# the one that has been unfinished, or lingering, for the longest time is ended.
MAX_CONNECTIONS = 24
# Descriptors that clients and endpoints cannot use, so that operators can act when no others are free.
RESERVED_DESCRIPTORS = 4


class AdminServer:
    """Accepts administrative connections while the configuration has an address for them.

    Owns the connections and the reserved descriptors, for at most the life of the process.
    """

    def __init__(self, loop: Loop, operations: Operations) -> None:
        """A server without a listener; `replace_acceptor` sets one."""
        self.loop = loop
        self.operations = operations
        # Dictionaries, as they keep the order of insertion: the oldest first.
        self.unfinished_connections: dict[AdminConnection, None] = {}  # with an unfinished call
        self.lingering_connections: dict[AdminConnection, None] = {}  # answered, and not closed yet
        self.acceptor: Acceptor | None = None
        self.reserved_descriptors: list[int] = []

    @property
    def address(self) -> Address | None:
        """The address on which it listens; None while it does not listen."""
        return self.acceptor.address if self.acceptor is not None else None

    def open_acceptor(self, address: Address) -> Acceptor:
        """Listen on the address, for `replace_acceptor`; raises OSError if it can't be bound."""
        return Acceptor(self.loop, address, self.handle_connection, free_descriptor=self.free_descriptor)

    def replace_acceptor(self, acceptor: Acceptor | None) -> None:
        """Replace the listener, or remove it with None; calls in progress are still answered."""
        if self.acceptor is not None:
            self.acceptor.close()
        self.acceptor = acceptor
        if acceptor is not None:
            self.refill_reserve()

    def handle_connection(self, sock: socket.socket, peer: Address) -> None:
        """Serve an accepted connection."""
        if len(self.unfinished_connections) >= MAX_CONNECTIONS:
            longest_unfinished = next(iter(self.unfinished_connections))
            longest_unfinished.evict()
        connection = AdminConnection(self.loop, self.operations, self, sock, peer)
        connection.start(connection.run())

    # ---- descriptors ------------------------------------------------------------------------

    def free_descriptor(self) -> bool:
        """Free a descriptor: evict a connection without a request, else release a reserved descriptor."""
        if self.loop.free_descriptor():
            return True
        if not self.reserved_descriptors:
            return False
        os.close(self.reserved_descriptors.pop())
        return True

    def refill_reserve(self) -> None:
        """Refill the reserve with the descriptors that are free."""
        try:
            while len(self.reserved_descriptors) < RESERVED_DESCRIPTORS:
                self.reserved_descriptors.append(os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC))
        except OSError:
            pass  # no descriptor is free: the next connection that closes refills the reserve

    # ---- notifications from connections -------------------------------------------------------

    def handle_opened(self, connection: AdminConnection) -> None:
        """Count the connection among those with an unfinished call."""
        self.unfinished_connections[connection] = None

    def handle_call_ended(self, connection: AdminConnection) -> None:
        """Stop counting its call as unfinished."""
        self.unfinished_connections.pop(connection, None)

    def handle_answered(self, connection: AdminConnection) -> None:
        """Count it as lingering; at the limit, close the one that has lingered longest."""
        if len(self.lingering_connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self.lingering_connections))
            del self.lingering_connections[oldest]
            oldest.close_lingering()
        self.lingering_connections[connection] = None

    def handle_closed(self, connection: AdminConnection) -> None:
        """Remove the connection, and refill the reserve with its descriptor."""
        self.lingering_connections.pop(connection, None)
        self.refill_reserve()

    def resource_usage(self) -> dict[str, ResourceUsage]:
        """Sizes and bounds of its containers, by their names in `/ops/census`."""
        return {
            "door.callers": ResourceUsage(len(self.unfinished_connections), MAX_CONNECTIONS + 1),
            "door.lingering": ResourceUsage(len(self.lingering_connections), MAX_CONNECTIONS),
            "door.reserve": ResourceUsage(len(self.reserved_descriptors), RESERVED_DESCRIPTORS),
        }
