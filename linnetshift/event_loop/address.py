"""Addresses of TCP and UDP peers."""

from __future__ import annotations

import os
import socket

MAX_LABEL_CHARACTERS = 63  # of a host name, RFC 1035, section 2.3.4

Address = tuple[str, int]
"""An IPv4 address or a host name, and a port, as the socket module expects them."""


def format_address(address: Address) -> str:
    """Format an address as `ADDRESS:PORT`, for the log."""
    return f"{address[0]}:{address[1]}"


def parse_address(text: str) -> Address:
    """Parse `ADDRESS:PORT`; raises ValueError for other texts and for ports outside 1 to 65535."""
    address, _, port = text.rpartition(":")
    if not address or not port.isdigit() or not 0 < int(port) < 65536 or not _is_host(address):
        raise ValueError(f"{os.fsdecode(text)!r} is not ADDRESS:PORT")
    return address, int(port)


def _is_host(text: str) -> bool:
    """Whether the text can be an address or a host name: with others, `bind` does not raise OSError."""
    labels = text.removesuffix(".").split(".")
    return text.isascii() and all(0 < len(label) <= MAX_LABEL_CHARACTERS for label in labels)


def is_bound_to(sock: socket.socket, address: Address) -> bool:
    """Whether the socket is bound to the address; raises OSError if the socket is closed."""
    try:
        host = socket.gethostbyname(address[0])
    except OSError:  # an unknown name
        return False
    return bool(sock.getsockname() == (host, address[1]))
