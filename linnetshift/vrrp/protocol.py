"""VRRP version 3 advertisements (RFC 9568, section 5): encoding, decoding, checksum."""

from __future__ import annotations

import socket
import struct
from typing import NamedTuple

VERSION = 3
TYPE_ADVERTISEMENT = 1
VERSION_AND_TYPE = VERSION << 4 | TYPE_ADVERTISEMENT
# Version and type, virtual router ID, priority, address count, max advertise interval, checksum.
HEADER = struct.Struct(">BBBBHH")
IPV4_ADDRESS_BYTES = 4
# The 12 bits of the max advertise interval; the 4 above them are reserved.
INTERVAL_MASK = 0x0FFF
# Priorities with a special meaning (section 5.2.4).
PRIORITY_OWNER = 255  # of the router that owns the addresses
PRIORITY_RELEASED = 0  # of an active router that stops participating


class AdvertisementError(ValueError):
    """A datagram that is not a valid advertisement of this version."""


class Advertisement(NamedTuple):
    """One advertisement of an active router."""

    vrid: int  # virtual router ID
    priority: int
    interval_cs: int  # max advertise interval, in centiseconds
    addresses: tuple[str, ...]  # dotted IPv4

    def encode(self) -> bytes:
        """Encode as a datagram; the checksum is computed with its own field set to zero."""
        interval_cs = self.interval_cs & INTERVAL_MASK
        body = b"".join(socket.inet_aton(address) for address in self.addresses)
        fields = (VERSION_AND_TYPE, self.vrid, self.priority, len(self.addresses), interval_cs)
        return HEADER.pack(*fields, checksum(HEADER.pack(*fields, 0) + body)) + body

    @classmethod
    def decode(cls, data: bytes) -> Advertisement:
        """Decode a datagram; raises AdvertisementError if it is invalid."""
        if len(data) < HEADER.size:
            raise AdvertisementError(f"{len(data)} bytes, shorter than the header of {HEADER.size} bytes")
        version_and_type, vrid, priority, count, interval_cs, _ = HEADER.unpack_from(data)
        if version_and_type != VERSION_AND_TYPE:
            raise AdvertisementError(f"version and type {version_and_type:#04x}, not {VERSION_AND_TYPE:#04x}")
        if len(data) != HEADER.size + IPV4_ADDRESS_BYTES * count:
            raise AdvertisementError(f"{len(data)} bytes do not match an address count of {count}")
        if checksum(data):
            raise AdvertisementError("wrong checksum")
        offsets = range(HEADER.size, len(data), IPV4_ADDRESS_BYTES)
        addresses = tuple(socket.inet_ntoa(data[at : at + IPV4_ADDRESS_BYTES]) for at in offsets)
        return cls(vrid, priority, interval_cs & INTERVAL_MASK, addresses)


def checksum(data: bytes) -> int:
    """The Internet checksum (RFC 1071) of an even number of bytes; 0 if `data` includes its valid checksum.

    Over IPv4 it covers the message alone, without a pseudo-header (section 5.2.8).
    """
    total: int = sum(struct.unpack(f">{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF
