"""Reserves ports for programs that are started later."""

from __future__ import annotations

import random
import socket
from collections import deque
from contextlib import suppress

PORTS = (12_000, 32_000)
"""Range of the ports: below the ephemeral ports, one of which an outgoing connection could take meanwhile."""

MAX_RESERVATIONS = 256
"""Ports that this process reserves at a time; each takes a descriptor."""

MAX_RECENT_PORTS = 4096
"""Ports that this process does not return again; more than a test or rig run uses."""

_reservations: deque[socket.socket] = deque()
_recent_ports: deque[int] = deque(maxlen=MAX_RECENT_PORTS)


def free_port() -> int:
    """Reserve a port on which nothing listens, for a program that this process starts.

    No other call returns it while it is reserved, in this process or another. Beyond `MAX_RESERVATIONS` the
    oldest reservation is released; this process still returns none of its last `MAX_RECENT_PORTS` ports.
    """
    while True:
        port = random.SystemRandom().randrange(*PORTS)
        if port in _recent_ports:
            continue
        with suppress(OSError):
            _reservations.append(_reserve(port))
            _recent_ports.append(port)
            if len(_reservations) > MAX_RESERVATIONS:
                _reservations.popleft().close()
            return port


def _reserve(port: int) -> socket.socket:
    """A bound socket that does not listen; raises OSError if the port is in use or reserved.

    The kernel lets a listener bind the same port if both sockets have SO_REUSEADDR. It is set here only after
    binding, so two reservations exclude each other.
    """
    reservation = socket.socket()
    try:
        reservation.bind(("127.0.0.1", port))
    except OSError:
        reservation.close()
        raise
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return reservation
