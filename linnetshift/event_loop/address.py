"""Addresses of TCP and UDP peers."""

from __future__ import annotations

import os

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    address, _, port = text.rpartition(":")
    if not address or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{os.fsdecode(text)!r} is not ADDRESS:PORT")
    return address, int(port)
