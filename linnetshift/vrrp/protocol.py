"""VRRP version 3 advertisements (RFC 9568, section 5): encoding, decoding, checksum."""

from __future__ import annotations

import socket
import struct
from typing import NamedTuple

VERSION = 3
ADVERTISEMENT = 1
HEADER = struct.Struct(">BBBBHH")
# priorities with a meaning of their own
OWNER = 255
RELEASED = 0


class BadAdvertisement(ValueError):
    """A datagram that is no advertisement of this version."""


class Advertisement(NamedTuple):
    vrid: int
    priority: int
    interval: int  # in centiseconds, as on the wire
    addresses: tuple[str, ...]

    def encode(self) -> bytes:
        count, interval = len(self.addresses), self.interval & 0x0FFF
        kind = VERSION << 4 | ADVERTISEMENT
        body = b"".join(socket.inet_aton(address) for address in self.addresses)
        blank = HEADER.pack(kind, self.vrid, self.priority, count, interval, 0) + body
        return HEADER.pack(kind, self.vrid, self.priority, count, interval, checksum(blank)) + body


def checksum(data: bytes) -> int:
    """The Internet's checksum; over IPv4 it covers the message alone (section 5.2.8)."""
    total: int = sum(struct.unpack(f">{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF


def decode(data: bytes) -> Advertisement:
    if len(data) < HEADER.size:
        raise BadAdvertisement("too short")
    kind, vrid, priority, count, interval, _ = HEADER.unpack_from(data)
    if kind != VERSION << 4 | ADVERTISEMENT:
        raise BadAdvertisement("not an advertisement of version 3")
    if len(data) != HEADER.size + 4 * count:
        raise BadAdvertisement("its length does not fit its addresses")
    if checksum(data):
        raise BadAdvertisement("wrong checksum")
    places = range(HEADER.size, len(data), 4)
    return Advertisement(
        vrid, priority, interval & 0x0FFF, tuple(socket.inet_ntoa(data[at : at + 4]) for at in places)
    )
