"""Ports for programs that are started later."""

from __future__ import annotations

import random
import socket
from collections import deque
from contextlib import suppress

PORTS = (12_000, 32_000)
"""Below the ports that the kernel gives to outgoing connections, one of which might take it meanwhile."""

MAX_RESERVATIONS = 256
"""Ports that are kept for this process at a time; more than one test or rig run uses."""

_reservations: deque[socket.socket] = deque()


def free_port() -> int:
    """A port on which nothing listens, reserved for a program that this process starts.

    No other call gives the same port while it is reserved, in this process or another; the oldest reservation
    ends when there are more than `MAX_RESERVATIONS`.
    """
    while True:
        port = random.SystemRandom().randrange(*PORTS)
        with suppress(OSError):
            _reservations.append(_reserve(port))
            if len(_reservations) > MAX_RESERVATIONS:
                _reservations.popleft().close()
            return port


def _reserve(port: int) -> socket.socket:
    """A bound socket that does not listen; raises OSError where the port is in use or reserved.

    The kernel lets a listener bind the same port if both sockets have SO_REUSEADDR. This one has it only once
    it is bound, so two reservations exclude each other.
    """
    reservation = socket.socket()
    try:
        reservation.bind(("127.0.0.1", port))
    except OSError:
        reservation.close()
        raise
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return reservation
