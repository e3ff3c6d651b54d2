"""Ports for programs that are started later."""

from __future__ import annotations

import random
import socket
from contextlib import suppress

PORTS = (12_000, 32_000)
"""Below the ports that the kernel gives to outgoing connections, one of which might take it meanwhile."""


def free_port() -> int:
    """A port on which nothing listens."""
    while True:
        port = random.SystemRandom().randrange(*PORTS)
        with suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
