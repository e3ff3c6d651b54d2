"""The predecessor's channels listener, of which this process holds a duplicate while both live."""

from __future__ import annotations

import socket
import struct

from linnetshift.event_loop.address import Address, is_bound_to
from linnetshift.event_loop.loop import Loop
from linnetshift.frontends.listener import Acceptor

# Value of SO_LINGER with a timeout of zero: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class InheritedListener:
    """Keeps the duplicate until the predecessor has closed its own.

    Closing the duplicate earlier would not close the listener: its address would stay in use, and clients
    would wait in its queue although nobody accepts. While this process does not serve them, they are reset.
    """

    def __init__(self, loop: Loop, sock: socket.socket, is_closed_by_predecessor: bool) -> None:
        """Take ownership of the duplicate; raises OSError if it is no usable socket.

        `is_closed_by_predecessor` tells whether the predecessor closes its own as soon as it is replaced. One
        of an older version keeps it until it exits.
        """
        self.is_closed_by_predecessor = is_closed_by_predecessor
        self._acceptor = Acceptor(loop, sock.getsockname(), _reset_connection, sock)
        self._acceptor.set_paused(True)

    @property
    def descriptor(self) -> int:
        """The duplicate's descriptor."""
        return self._acceptor.listener.fileno()

    def is_at(self, address: Address) -> bool:
        """Whether the listener is bound to the address."""
        return is_bound_to(self._acceptor.listener, address)

    def duplicate(self) -> socket.socket:
        """Return another duplicate, to accept connections from; raises OSError."""
        return self._acceptor.listener.dup()

    def set_rejecting(self, is_rejecting: bool) -> None:
        """Reset the connections that arrive, or leave them to whoever else accepts from the listener."""
        if is_rejecting == self._acceptor.is_paused:
            self._acceptor.set_paused(not is_rejecting)

    def close(self) -> None:
        """Close the duplicate."""
        self._acceptor.close()


def _reset_connection(sock: socket.socket, _peer: Address) -> None:
    with sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
