"""SSH's binary packets (RFC 4253, section 6) and the data types in them (RFC 4251, section 5).

There is no cipher, no MAC and no key exchange.
"""

from __future__ import annotations

import os
import struct

from linnetshift.event_loop.stream import LineTooLongError, Stream
from linnetshift.frontends.channels.messages import DisconnectReason

IDENTIFICATION = b"SSH-2.0-linnetshift\r\n"
# RFC 4253, section 4.2; includes the line end.
MAX_IDENTIFICATION_BYTES = 255
IDENTIFICATION_PREFIX = b"SSH-"
# Prefixes for version 2.0; a server that also supports older versions sends 1.99 (section 5.1).
KNOWN_VERSIONS = (b"SSH-2.0-", b"SSH-1.99")

# RFC 4253, section 6: without a cipher, packets are multiples of 8 bytes with at least 4 bytes of padding.
BLOCK_BYTES = 8
MIN_PADDING_BYTES = 4
LENGTH_FIELD_BYTES = 4
PADDING_LENGTH_FIELD_BYTES = 1
HEADER_BYTES = LENGTH_FIELD_BYTES + PADDING_LENGTH_FIELD_BYTES
# RFC 4253, section 6.1: the size that every implementation must accept, including the length field.
MAX_PACKET_BYTES = 35_000


class ProtocolError(ValueError):
    """The peer's input violates the framing, a message's format or the order of messages."""

    def __init__(self, text: str, reason: DisconnectReason = DisconnectReason.PROTOCOL_ERROR) -> None:
        """`text` and `reason` are sent in the DISCONNECT message."""
        super().__init__(text)
        self.reason = reason


def read_identification(stream: Stream) -> bool:
    """Return whether the peer's identification has been read; skips lines before it (RFC 4253, section 4.2).

    Raises ProtocolError for a version other than 2.0 and for a line that is too long.
    """
    try:
        for line in stream.lines():
            if bytes(line[:4]) != IDENTIFICATION_PREFIX:
                continue
            if len(line) > MAX_IDENTIFICATION_BYTES or bytes(line[:8]) not in KNOWN_VERSIONS:
                raise ProtocolError("not SSH 2.0", DisconnectReason.PROTOCOL_VERSION_NOT_SUPPORTED)
            return True
    except LineTooLongError:
        raise ProtocolError("no identification") from None
    return False


def encode_packet(payload: bytes) -> bytes:
    """Return the payload as a packet, padded with random bytes to a multiple of the block size."""
    padding = BLOCK_BYTES - (len(payload) + HEADER_BYTES) % BLOCK_BYTES
    if padding < MIN_PADDING_BYTES:
        padding += BLOCK_BYTES
    length = PADDING_LENGTH_FIELD_BYTES + len(payload) + padding
    return struct.pack(">IB", length, padding) + payload + os.urandom(padding)


def read_packet(stream: Stream) -> memoryview | None:
    """Return the next packet's payload, a slice of the stream's buffer; None until the packet is complete.

    Raises ProtocolError for invalid lengths.
    """
    received = stream.view[stream.start : stream.stop]
    if len(received) < LENGTH_FIELD_BYTES:
        return None
    length = int.from_bytes(received[:LENGTH_FIELD_BYTES], "big")
    # Checked as soon as it is received, rather than waiting for the rest of an invalid packet.
    size = LENGTH_FIELD_BYTES + length
    is_too_short = length < PADDING_LENGTH_FIELD_BYTES + MIN_PADDING_BYTES
    if size > MAX_PACKET_BYTES or is_too_short or size % BLOCK_BYTES:
        raise ProtocolError(f"packet length {length} is out of range")
    if len(received) < HEADER_BYTES:
        return None
    padding = received[LENGTH_FIELD_BYTES]
    # A payload has at least one byte, the message number.
    if padding < MIN_PADDING_BYTES or padding > length - PADDING_LENGTH_FIELD_BYTES - 1:
        raise ProtocolError(f"padding length {padding} is out of range")
    packet = stream.take(size)
    return None if packet is None else packet[HEADER_BYTES : size - padding]


class PayloadReader:
    """Reads the fields of one payload in order; all methods raise ProtocolError past its end.

    `rest` is the unread part, a slice of the stream's buffer that is valid until the stream reads again.
    """

    __slots__ = ("rest",)

    def __init__(self, payload: memoryview) -> None:
        """`payload` starts with the message number."""
        self.rest = payload

    def take(self, size: int) -> memoryview:
        """The next `size` bytes."""
        if size > len(self.rest):
            raise ProtocolError("a field runs past the end of its message")
        taken = self.rest[:size]
        self.rest = self.rest[size:]
        return taken

    def byte(self) -> int:
        """A byte as an integer."""
        return self.take(1)[0]

    def boolean(self) -> bool:
        """A boolean: every value but 0 is true."""
        return self.byte() != 0

    def uint32(self) -> int:
        """An unsigned 32-bit integer in network byte order."""
        return int.from_bytes(self.take(4), "big")

    def uint64(self) -> int:
        """An unsigned 64-bit integer in network byte order."""
        return int.from_bytes(self.take(8), "big")

    def string(self) -> memoryview:
        """A string: its length as uint32, then that many bytes."""
        return self.take(self.uint32())

    def text(self) -> str:
        """A string as text; bytes that are not UTF-8 are replaced."""
        return bytes(self.string()).decode("utf-8", "replace")
