"""Messages of SSH's connection protocol (RFC 4254): numbers, reason codes and encoding."""

from __future__ import annotations

import struct
from enum import IntEnum

# RFC 4254 requires a language tag (RFC 3066) after each human-readable text.
LANGUAGE_TAG = b"en"


class MessageNumber(IntEnum):
    """The first byte of a payload (RFC 4250, section 4.1.2)."""

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


class OpenFailureReason(IntEnum):
    """Why a channel was not opened (RFC 4254, section 5.1)."""

    ADMINISTRATIVELY_PROHIBITED = 1
    CONNECT_FAILED = 2
    UNKNOWN_CHANNEL_TYPE = 3
    RESOURCE_SHORTAGE = 4


class DisconnectReason(IntEnum):
    """Why a session was ended (RFC 4253, section 11.1)."""

    PROTOCOL_ERROR = 2
    PROTOCOL_VERSION_NOT_SUPPORTED = 8
    BY_APPLICATION = 11


def encode_string(text: bytes | memoryview) -> bytes:
    """A string of RFC 4251, section 5: its length as uint32, then its bytes."""
    return struct.pack(">I", len(text)) + text


def retry_after_text(retry_after_ms: int) -> str:
    """The text of an open failure that tells the client when to retry."""
    return f"come again after {retry_after_ms} ms"


def encode_disconnect(reason: DisconnectReason, text: str) -> bytes:
    """DISCONNECT: the session ends."""
    head = struct.pack(">BI", MessageNumber.DISCONNECT, reason)
    return head + encode_string(text.encode()) + encode_string(LANGUAGE_TAG)


def encode_unimplemented(sequence_number: int) -> bytes:
    """UNIMPLEMENTED: the answer to an unknown message, with its packet's sequence number."""
    return struct.pack(">BI", MessageNumber.UNIMPLEMENTED, sequence_number)


def encode_global_request(name: bytes) -> bytes:
    """GLOBAL_REQUEST with `want reply` set."""
    return struct.pack(">B", MessageNumber.GLOBAL_REQUEST) + encode_string(name) + b"\1"


def encode_request_failure() -> bytes:
    """REQUEST_FAILURE: the answer to an unknown global request."""
    return struct.pack(">B", MessageNumber.REQUEST_FAILURE)


def encode_open_confirmation(
    recipient_channel: int, sender_channel: int, window: int, max_packet_bytes: int, receipt: bytes
) -> bytes:
    """CHANNEL_OPEN_CONFIRMATION, with the endpoint's receipt as the channel type's own field."""
    head = struct.pack(
        ">BIIII",
        MessageNumber.CHANNEL_OPEN_CONFIRMATION,
        recipient_channel,
        sender_channel,
        window,
        max_packet_bytes,
    )
    return head + encode_string(receipt)


def encode_open_failure(recipient_channel: int, reason: OpenFailureReason, text: str) -> bytes:
    """CHANNEL_OPEN_FAILURE."""
    head = struct.pack(">BII", MessageNumber.CHANNEL_OPEN_FAILURE, recipient_channel, reason)
    return head + encode_string(text.encode()) + encode_string(LANGUAGE_TAG)


def encode_window_adjust(recipient_channel: int, bytes_to_add: int) -> bytes:
    """CHANNEL_WINDOW_ADJUST: the other side may send `bytes_to_add` bytes more."""
    return struct.pack(">BII", MessageNumber.CHANNEL_WINDOW_ADJUST, recipient_channel, bytes_to_add)


def encode_channel_data(recipient_channel: int, data: memoryview) -> bytes:
    """CHANNEL_DATA."""
    return struct.pack(">BII", MessageNumber.CHANNEL_DATA, recipient_channel, len(data)) + data


def encode_channel_eof(recipient_channel: int) -> bytes:
    """CHANNEL_EOF: no more data follows."""
    return struct.pack(">BI", MessageNumber.CHANNEL_EOF, recipient_channel)


def encode_channel_close(recipient_channel: int) -> bytes:
    """CHANNEL_CLOSE: nothing more follows; the channel ends once both sides have sent it."""
    return struct.pack(">BI", MessageNumber.CHANNEL_CLOSE, recipient_channel)


def encode_channel_request(recipient_channel: int, request_type: bytes) -> bytes:
    """CHANNEL_REQUEST with `want reply` not set."""
    head = struct.pack(">BI", MessageNumber.CHANNEL_REQUEST, recipient_channel)
    return head + encode_string(request_type) + b"\0"


def encode_channel_failure(recipient_channel: int) -> bytes:
    """CHANNEL_FAILURE: the answer to an unknown channel request."""
    return struct.pack(">BI", MessageNumber.CHANNEL_FAILURE, recipient_channel)
