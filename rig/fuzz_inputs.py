"""Generates mutated messages of each kind of peer: clients, operators, endpoints, discovery and others."""

from __future__ import annotations

import json
import random
import re
import struct
from collections.abc import Callable
from enum import IntEnum
from typing import Any

from rig.connection_load import Ending, PeerInput
from rig.mutation import (
    FieldKind,
    Message,
    MessageField,
    corrupt_bytes,
    encode,
    fixed,
    mutate_message,
    mutate_tree,
    split_randomly,
)

ENDINGS: tuple[Ending, ...] = ("wait", "wait", "half", "fin", "reset")
"""Endings of client connections, drawn evenly: most often waiting for the other side."""

SESSION_ENDINGS: tuple[Ending, ...] = ("half", "half", "fin", "reset")
"""Endings of sessions of the channels frontend; none waits, since a valid idle session may stay open."""

CHANNEL_TYPE = b"invocation@linnetshift"
"""Channel type that the frontend accepts."""

FIRST_CHANNEL = 0
"""Number of the first channel of a session."""

CHANNEL_WINDOW_BYTES = 1 << 20
"""Initial window of a channel, in bytes."""

MAX_PACKET_BYTES = 1 << 15
"""Maximum packet size of a channel, in bytes."""

WRONG_LENGTH_SHARE = 0.05
"""Share of the packets with a wrong length; the same share has a wrong padding length."""


class SshMessage(IntEnum):
    """Message numbers (RFC 4250, section 4.1)."""

    DISCONNECT = 1
    IGNORE = 2
    UNIMPLEMENTED = 3
    DEBUG = 4
    KEXINIT = 20
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


def text_field(text: bytes) -> MessageField:
    """A word of a text message."""
    return MessageField("text", text)


def byte(value: int) -> MessageField:
    """A byte of a binary message."""
    return MessageField("byte", value)


def uint32(value: int) -> MessageField:
    """A 32-bit integer of a binary message."""
    return MessageField("uint32", value)


def string(text: bytes) -> MessageField:
    """A string of a binary message."""
    return MessageField("string", text)


def request_line(rng: random.Random) -> Message:
    """A client's first line (the platform's protocol, "Clients to proxies")."""
    if rng.random() < 0.1:
        return [text_field(rng.choice((b"PING", b"STATS"))), fixed(b"\r\n")]
    message = [fixed(b"OPEN"), fixed(b" "), MessageField("hex", b"%016x" % rng.getrandbits(64)), fixed(b" ")]
    message += [MessageField("hex", b"%016x" % rng.getrandbits(64)), fixed(b" ")]
    values = [
        (b"c", text_field(b"feed")),
        (b"t", text_field(b"acme")),
        (b"d", MessageField("number", b"300")),
        (b"g", MessageField("hex", b"5c0f6e1a2b3d4c59")),
        (b"r", MessageField("number", b"1")),
        (b"h", MessageField("number", b"9")),
    ]
    values += [(b"again", MessageField("number", b"1")), (b"at", text_field(b"s-0"))][: rng.randrange(3)]
    for position, (name, value) in enumerate(values):
        message += [fixed(b"," if position else b""), text_field(name), fixed(b"="), value]
    return [*message, fixed(b"\r\n")]


def line_protocol_input(rng: random.Random, port: int) -> PeerInput:
    """A client of the platform's protocol; some send messages after the request line."""
    data = encode(mutate_message(rng, request_line(rng)))
    if rng.random() < 0.2:
        data += b"M 1 x\r\n" * rng.randrange(1, 400)
    data = corrupt_bytes(rng, data)
    # A request with a long deadline may stay unanswered until then, so its client half-closes.
    has_long_deadline = re.search(rb"[, ]d=\d{4,}", data) is not None
    return PeerInput(port, split_randomly(rng, data), "half" if has_long_deadline else rng.choice(ENDINGS))


def channel_open(rng: random.Random) -> Message:
    """The message that opens a channel with a request."""
    return [
        byte(SshMessage.CHANNEL_OPEN),
        string(CHANNEL_TYPE),
        uint32(FIRST_CHANNEL),
        uint32(CHANNEL_WINDOW_BYTES),
        uint32(MAX_PACKET_BYTES),
        string(b"feed"),
        string(b"acme"),
        MessageField("uint64", 7),
        MessageField("uint64", 0),
        uint32(300),
        uint32(rng.randrange(4)),
    ]


_FLAG = byte(1)
_CHANNEL = uint32(FIRST_CHANNEL)
_TEXT = string(b"text")
_LANGUAGE = string(b"en")

SESSION_MESSAGES: tuple[Message, ...] = (
    [byte(SshMessage.DISCONNECT), uint32(11), _TEXT, _LANGUAGE],
    [byte(SshMessage.IGNORE), _TEXT],
    [byte(SshMessage.UNIMPLEMENTED), uint32(0)],
    [byte(SshMessage.DEBUG), _FLAG, _TEXT, _LANGUAGE],
    [byte(SshMessage.KEXINIT), *[byte(0)] * 16],
    [byte(SshMessage.GLOBAL_REQUEST), string(b"keepalive@openssh.com"), _FLAG],
    [byte(SshMessage.REQUEST_SUCCESS)],
    [byte(SshMessage.REQUEST_FAILURE)],
    [byte(SshMessage.CHANNEL_OPEN_CONFIRMATION), _CHANNEL, _CHANNEL, uint32(9), uint32(9)],
    [byte(SshMessage.CHANNEL_OPEN_FAILURE), _CHANNEL, uint32(1), _TEXT, _TEXT],
    [byte(SshMessage.CHANNEL_WINDOW_ADJUST), _CHANNEL, uint32(1 << 16)],
    [byte(SshMessage.CHANNEL_DATA), _CHANNEL, string(b"M 1 x\r\n")],
    [byte(SshMessage.CHANNEL_EXTENDED_DATA), _CHANNEL, uint32(1), _TEXT],
    [byte(SshMessage.CHANNEL_EOF), _CHANNEL],
    [byte(SshMessage.CHANNEL_CLOSE), _CHANNEL],
    [byte(SshMessage.CHANNEL_REQUEST), _CHANNEL, string(b"exec"), _FLAG, _TEXT],
    [byte(SshMessage.CHANNEL_SUCCESS), _CHANNEL],
    [byte(SshMessage.CHANNEL_FAILURE), _CHANNEL],
)
"""Every message of RFC 4254 and of the transport that may follow, for the first channel."""


def session_messages(rng: random.Random) -> list[Message]:
    """A message that opens a channel, and some further messages."""
    return [channel_open(rng), *rng.sample(SESSION_MESSAGES, rng.randrange(0, 6))]


def packet(rng: random.Random, payload: bytes) -> bytes:
    """A packet without cipher and MAC (RFC 4253, section 6); some have wrong lengths."""
    padding = 4 + -(len(payload) + 9) % 8
    length = len(payload) + padding + 1
    if rng.random() < WRONG_LENGTH_SHARE:
        length = rng.choice((0, 1, 5, length - 1, length + 8, 35_000, 0xFFFF_FFFF))
    if rng.random() < WRONG_LENGTH_SHARE:
        padding = rng.randrange(256)
    return struct.pack(">IB", length & 0xFFFF_FFFF, padding) + payload + bytes(min(padding, 255))


def channels_input(rng: random.Random, port: int) -> PeerInput:
    """A session of the channels frontend."""
    identification: Message = [
        fixed(b"SSH-"),
        text_field(b"2.0"),
        fixed(b"-"),
        text_field(b"terminal"),
        fixed(b"\r\n"),
    ]
    mutated = encode(mutate_message(rng, identification))
    chunks = [corrupt_bytes(rng, mutated)] if rng.random() < 0.3 else [encode(identification)]
    for message in session_messages(rng):
        repeats = rng.choice((1, 1, 1, 2, 40))
        chunks += [packet(rng, encode(mutate_message(rng, message)))] * repeats
    ending = rng.choice(SESSION_ENDINGS)
    return PeerInput(port, split_randomly(rng, corrupt_bytes(rng, b"".join(chunks))), ending)


ADMIN_CALLS = (
    (b"GET", b"/ops/readiness"),
    (b"GET", b"/ops/census"),
    (b"PUT", b"/ops/servers/down?id=s-9"),
    (b"PUT", b"/ops/servers/up?id=s-9"),
)
"""Methods and targets of an operator's calls."""

ADMIN_HEADERS: tuple[tuple[bytes, bytes, FieldKind], ...] = (
    (b"Host", b"x", "text"),
    (b"Content-Length", b"2", "number"),
    (b"Expect", b"100-continue", "text"),
    (b"X", b"y", "text"),
)
"""Header fields of an operator's call; each may be left out."""


def admin_input(rng: random.Random, port: int) -> PeerInput:
    """An operator's call (RFC 9112); some are repeated on the connection."""
    method, target = rng.choice(ADMIN_CALLS)
    message = [text_field(method), fixed(b" "), text_field(target), fixed(b" ")]
    message += [text_field(b"HTTP/1.1"), fixed(b"\r\n")]
    for name, value, kind in ADMIN_HEADERS:
        if rng.random() < 0.6:
            message += [text_field(name), fixed(b":"), fixed(b" "), MessageField(kind, value), fixed(b"\r\n")]
    message += [fixed(b"\r\n"), text_field(b"{}")]
    data = encode(mutate_message(rng, message)) * rng.choice((1, 1, 1, 2, 30))
    return PeerInput(port, split_randomly(rng, corrupt_bytes(rng, data)), rng.choice(ENDINGS))


def endpoint_answer(rng: random.Random) -> bytes:
    """An endpoint's answer to a request line, with up to three further lines."""
    first = rng.choice((b"UP r1", b"BUSY", b"ERR", b"BYE", b"MOVE", b"PONG"))
    lines = [
        first,
        *rng.choices(
            (b"LOAD 700", b"LOAD nan", b"LOAD", b"LOAD -1e999", b"M 1", b"BYE", b"MOVE"), k=rng.randrange(4)
        ),
    ]
    message: Message = []
    for line in lines:
        head, _, value = line.partition(b" ")
        message += [
            text_field(head),
            fixed(b" " if value else b""),
            MessageField("number", value),
            fixed(b"\r\n"),
        ]
    return corrupt_bytes(rng, encode(mutate_message(rng, message)))


def discovery_answer(rng: random.Random, listing: dict[str, Any]) -> bytes:
    """Discovery's answer: a mutated document, some with corrupt bytes."""
    return corrupt_bytes(rng, json.dumps(mutate_tree(rng, listing)).encode())


def takeover_lines(rng: random.Random) -> bytes:
    """Mutated lines that a peer process sends over the takeover socket in a hot restart."""
    lines: list[dict[str, Any]] = [
        {"say": "hello"},
        {"say": "serving"},
        {"say": "stopped"},
        {"say": "ban", "provider": "s-0", "out": rng.random() < 0.5, "number": 1},
        {"say": "held", "number": 0},
        {"say": "beat", "streams": 3, "moved": 2, "loads": {"s-0": [[5.0, 1], [None, 2]]}},
    ]
    sent_lines = [lines[0], *rng.choices(lines, k=rng.randrange(5))]
    data = b"".join(
        json.dumps(mutate_tree(rng, line) if rng.random() < 0.7 else line).encode() + b"\n"
        for line in sent_lines
    )
    return corrupt_bytes(rng, data)


def vrrp_advertisement(rng: random.Random, vrid: int) -> bytes:
    """A VRRP datagram (RFC 9568, section 5.2); most have a valid checksum, so that the fields are parsed."""
    message = [
        MessageField("byte", 0x31),
        MessageField("byte", vrid),
        MessageField("byte", 90),
        MessageField("byte", 1),
    ]
    body = encode(
        mutate_message(
            rng, [*message, MessageField("byte", 0), MessageField("byte", 100), uint32(0), uint32(0x7F000001)]
        )
    )
    body = corrupt_bytes(rng, body[:6] + b"\0\0" + body[8:])
    if len(body) >= 8 and rng.random() < 0.8:
        padded = body + bytes(len(body) % 2)
        total = sum(struct.unpack(f">{len(padded) // 2}H", padded))
        while total >> 16:
            total = (total & 0xFFFF) + (total >> 16)
        body = body[:6] + struct.pack(">H", ~total & 0xFFFF) + body[8:]
    return body


CLIENT_INPUTS: dict[str, Callable[[random.Random, int], PeerInput]] = {
    "line-protocol": line_protocol_input,
    "channels": channels_input,
    "admin": admin_input,
}
"""Input generators by frontend; the second argument is the frontend's port."""
