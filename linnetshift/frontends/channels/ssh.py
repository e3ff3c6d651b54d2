"""SSH's binary packets (RFC 4253, section 6) without cipher, MAC and key exchange, and their fields."""

from __future__ import annotations

import os
import struct
from enum import IntEnum

from linnetshift.event_loop.stream import Stream

IDENTIFICATION = b"SSH-2.0-linnetshift\r\n"
BLOCK = 8
LEAST_PADDING = 4
MOST_PACKET = 35_000  # RFC 4253, section 6.1
MOST_IDENTIFICATION = 255


class Message(IntEnum):
    DISCONNECT = 1
    IGNORE = 2
    UNIMPLEMENTED = 3
    DEBUG = 4
    GLOBAL_REQUEST = 80
    REQUEST_SUCCESS = 81
    REQUEST_FAILURE = 82
    CHANNEL_OPEN = 90
    CHANNEL_OPEN_CONFIRMATION = 91
    CHANNEL_OPEN_FAILURE = 92
    CHANNEL_WINDOW_ADJUST = 93
    CHANNEL_DATA = 94
    CHANNEL_EXTENDED_DATA = 95
    CHANNEL_EOF = 96
    CHANNEL_CLOSE = 97
    CHANNEL_REQUEST = 98
    CHANNEL_SUCCESS = 99
    CHANNEL_FAILURE = 100


class OpenFailure(IntEnum):
    ADMINISTRATIVELY_PROHIBITED = 1
    CONNECT_FAILED = 2
    UNKNOWN_CHANNEL_TYPE = 3
    RESOURCE_SHORTAGE = 4


class Disconnect(IntEnum):
    PROTOCOL_ERROR = 2
    PROTOCOL_VERSION_NOT_SUPPORTED = 8
    BY_APPLICATION = 11


class Malformed(ValueError):
    """What the peer sent breaks the framing or a message's form; the code goes into DISCONNECT."""

    def __init__(self, text: str, code: Disconnect = Disconnect.PROTOCOL_ERROR) -> None:
        super().__init__(text)
        self.code = code


def packet(payload: bytes) -> bytes:
    """Padded with at least four bytes so that the whole is a multiple of eight."""
    padding = BLOCK - (len(payload) + 5) % BLOCK
    if padding < LEAST_PADDING:
        padding += BLOCK
    return struct.pack(">IB", 1 + len(payload) + padding, padding) + payload + os.urandom(padding)


def next_packet(stream: Stream) -> memoryview | None:
    """The payload of the next whole packet in the stream's buffer, a slice of it."""
    held = stream.view[stream.start : stream.stop]
    if len(held) < 4:
        return None
    length = int.from_bytes(held[:4], "big")
    # Judged as soon as it is there: what will never be a packet need not be waited for.
    if length + 4 > MOST_PACKET or length < 1 + LEAST_PADDING or (length + 4) % BLOCK:
        raise Malformed(f"packet length {length} is out of range")
    if len(held) < 5:
        return None
    padding = held[4]
    if padding < LEAST_PADDING or padding > length - 2:
        raise Malformed(f"padding length {padding} is out of range")
    whole = stream.take(4 + length)
    return None if whole is None else whole[5 : 4 + length - padding]


def string(text: bytes | memoryview) -> bytes:
    return struct.pack(">I", len(text)) + text


def message(kind: Message, form: str = "", *fields: int) -> bytes:
    """A message's number and the fields of fixed length that follow it."""
    return struct.pack(">B" + form, kind, *fields)


class Fields:
    """Reads a payload's fields in turn; what they are cut from must not be refilled meanwhile."""

    def __init__(self, payload: memoryview) -> None:
        self.rest = payload

    def take(self, size: int) -> memoryview:
        if size > len(self.rest):
            raise Malformed("a field runs past the end of its message")
        taken, self.rest = self.rest[:size], self.rest[size:]
        return taken

    def byte(self) -> int:
        return self.take(1)[0]

    def boolean(self) -> bool:
        return self.byte() != 0

    def uint32(self) -> int:
        return int.from_bytes(self.take(4), "big")

    def uint64(self) -> int:
        return int.from_bytes(self.take(8), "big")

    def string(self) -> memoryview:
        return self.take(self.uint32())

    def text(self) -> str:
        return bytes(self.string()).decode("utf-8", "replace")
