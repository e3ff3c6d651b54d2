"""Addresses of TCP and UDP peers."""

from __future__ import annotations

import os

Address = tuple[str, int]
"""An IPv4 address or a host name, and a port, as the socket module expects them."""


def format_address(address: Address) -> str:
    """Format an address as `ADDRESS:PORT`, for the log."""
    return f"{address[0]}:{address[1]}"


def parse_address(text: str) -> Address:
    """Parse `ADDRESS:PORT`; raises ValueError for other texts and for ports outside 1 to 65535."""
    address, _, port = text.rpartition(":")
    if not address or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{os.fsdecode(text)!r} is not ADDRESS:PORT")
    return address, int(port)
