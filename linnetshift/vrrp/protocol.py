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
# Priorities with a meaning of their own (section 5.2.4).
PRIORITY_OWNER = 255  # of the router that owns the addresses
PRIORITY_RELEASED = 0  # the active router stops taking part


class AdvertisementError(ValueError):
    """A datagram that is not a valid advertisement of this version."""


class Advertisement(NamedTuple):
    """One advertisement of an active router."""

    vrid: int  # virtual router ID
    priority: int
    interval_cs: int  # max advertise interval, in centiseconds
    addresses: tuple[str, ...]  # dotted IPv4

    def encode(self) -> bytes:
        """The advertisement as a datagram; the checksum is computed with its own field as zero."""
        interval_cs = self.interval_cs & INTERVAL_MASK
        body = b"".join(socket.inet_aton(address) for address in self.addresses)
        fields = (VERSION_AND_TYPE, self.vrid, self.priority, len(self.addresses), interval_cs)
        return HEADER.pack(*fields, checksum(HEADER.pack(*fields, 0) + body)) + body

    @classmethod
    def decode(cls, data: bytes) -> Advertisement:
        """Read a datagram; raises AdvertisementError with what is wrong with it."""
        if len(data) < HEADER.size:
            raise AdvertisementError("too short")
        version_and_type, vrid, priority, count, interval_cs, _ = HEADER.unpack_from(data)
        if version_and_type != VERSION_AND_TYPE:
            raise AdvertisementError("not an advertisement of version 3")
        if len(data) != HEADER.size + IPV4_ADDRESS_BYTES * count:
            raise AdvertisementError("its length does not fit its addresses")
        if checksum(data):
            raise AdvertisementError("wrong checksum")
        offsets = range(HEADER.size, len(data), IPV4_ADDRESS_BYTES)
        addresses = tuple(socket.inet_ntoa(data[at : at + IPV4_ADDRESS_BYTES]) for at in offsets)
        return cls(vrid, priority, interval_cs & INTERVAL_MASK, addresses)


def checksum(data: bytes) -> int:
    """The Internet checksum (RFC 1071) of an even number of bytes; 0 where `data` holds a right one.

    Over IPv4 it covers the message alone, without a pseudo-header (section 5.2.8).
    """
    total: int = sum(struct.unpack(f">{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF
