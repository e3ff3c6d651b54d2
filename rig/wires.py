"""What each kind of peer says when it is right; `grammar` makes it wrong."""

from __future__ import annotations

import json
import random
import re
import struct
from collections.abc import Callable
from typing import Any

from rig.crowd import Input
from rig.grammar import Field, Message, encode, fixed, mutate, mutate_tree, pieces, scar

ENDINGS = ("wait", "wait", "half", "fin", "reset")
TYPE = b"invocation@linnetshift"


def word(text: bytes) -> Field:
    return Field("text", text)


def opening(rng: random.Random) -> Message:
    """A client's first line (the platform's protocol, "Clients to proxies")."""
    if rng.random() < 0.1:
        return [word(rng.choice((b"PING", b"STATS"))), fixed(b"\r\n")]
    made = [fixed(b"OPEN"), fixed(b" "), Field("hex", b"%016x" % rng.getrandbits(64)), fixed(b" ")]
    made += [Field("hex", b"%016x" % rng.getrandbits(64)), fixed(b" ")]
    pairs = [(b"c", word(b"feed")), (b"t", word(b"acme")), (b"d", Field("number", b"300"))]
    pairs += [
        (b"g", Field("hex", b"5c0f6e1a2b3d4c59")),
        (b"r", Field("number", b"1")),
        (b"h", Field("number", b"9")),
    ]
    pairs += [(b"again", Field("number", b"1")), (b"at", word(b"s-0"))][: rng.randrange(3)]
    for place, (name, value) in enumerate(pairs):
        made += [fixed(b"," if place else b""), word(name), fixed(b"="), value]
    return [*made, fixed(b"\r\n")]


def platform(rng: random.Random, port: int) -> Input:
    data = encode(mutate(rng, opening(rng)))
    if rng.random() < 0.2:
        data += b"M 1 x\r\n" * rng.randrange(1, 400)
    data = scar(rng, data)
    patient = re.search(rb"[, ]d=\d{4,}", data)  # it may wait that long, and is then owed no answer before
    return Input(port, pieces(rng, data), "half" if patient else rng.choice(ENDINGS))  # type: ignore[arg-type]


def u32(value: int) -> Field:
    return Field("uint32", value)


def string(text: bytes) -> Field:
    return Field("string", text)


def packets(rng: random.Random) -> list[Message]:
    """Every message of RFC 4254 and the transport's that a terminal may send, channel 0 being the first."""
    flag, channel, text = Field("byte", 1), u32(0), string(b"text")
    opened = [
        Field("byte", 90),
        string(TYPE),
        u32(0),
        u32(1 << 20),
        u32(1 << 15),
        string(b"feed"),
        string(b"acme"),
    ]
    opened += [Field("uint64", 7), Field("uint64", 0), u32(300), u32(rng.randrange(4))]
    rest: list[Message] = [
        [Field("byte", 1), u32(11), text, string(b"en")],
        [Field("byte", 2), text],
        [Field("byte", 3), u32(0)],
        [Field("byte", 4), flag, text, string(b"en")],
        [Field("byte", 20), *[Field("byte", 0)] * 16],
        [Field("byte", 80), string(b"keepalive@openssh.com"), flag],
        [Field("byte", 81)],
        [Field("byte", 82)],
        [Field("byte", 91), channel, channel, u32(9), u32(9)],
        [Field("byte", 92), channel, u32(1), text, text],
        [Field("byte", 93), channel, u32(1 << 16)],
        [Field("byte", 94), channel, string(b"M 1 x\r\n")],
        [Field("byte", 95), channel, u32(1), text],
        [Field("byte", 96), channel],
        [Field("byte", 97), channel],
        [Field("byte", 98), channel, string(b"exec"), flag, text],
        [Field("byte", 99), channel],
        [Field("byte", 100), channel],
    ]
    return [opened, *rng.sample(rest, rng.randrange(0, 6))]


def framed(rng: random.Random, payload: bytes) -> bytes:
    """A packet without cipher and MAC (RFC 4253, section 6), its lengths now and then wrong."""
    padding = 4 + -(len(payload) + 9) % 8
    length = len(payload) + padding + 1
    if rng.random() < 0.05:
        length = rng.choice((0, 1, 5, length - 1, length + 8, 35_000, 0xFFFF_FFFF))
    if rng.random() < 0.05:
        padding = rng.randrange(256)
    return struct.pack(">IB", length & 0xFFFF_FFFF, padding) + payload + bytes(min(padding, 255))


def channels(rng: random.Random, port: int) -> Input:
    """A session; it ends by itself, since one that is idle and sound may stay."""
    hello = encode(
        mutate(rng, [fixed(b"SSH-"), word(b"2.0"), fixed(b"-"), word(b"terminal"), fixed(b"\r\n")])
    )
    sent = [scar(rng, hello)] if rng.random() < 0.3 else [b"SSH-2.0-terminal\r\n"]
    for message in packets(rng):
        times = rng.choice((1, 1, 1, 2, 40))
        sent += [framed(rng, encode(mutate(rng, message)))] * times
    ending = rng.choice(("half", "half", "fin", "reset"))
    return Input(port, pieces(rng, scar(rng, b"".join(sent))), ending)  # type: ignore[arg-type]


def door(rng: random.Random, port: int) -> Input:
    """An operator's call (RFC 9112)."""
    method, target = rng.choice(
        (
            (b"GET", b"/ops/readiness"),
            (b"GET", b"/ops/census"),
            (b"PUT", b"/ops/servers/down?id=s-9"),
            (b"PUT", b"/ops/servers/up?id=s-9"),
        )
    )
    message = [word(method), fixed(b" "), word(target), fixed(b" "), word(b"HTTP/1.1"), fixed(b"\r\n")]
    for name, value in (
        (b"Host", b"x"),
        (b"Content-Length", b"2"),
        (b"Expect", b"100-continue"),
        (b"X", b"y"),
    ):
        if rng.random() < 0.6:
            kind: Any = "number" if name == b"Content-Length" else "text"
            message += [word(name), fixed(b":"), fixed(b" "), Field(kind, value), fixed(b"\r\n")]
    message += [fixed(b"\r\n"), word(b"{}")]
    data = encode(mutate(rng, message)) * rng.choice((1, 1, 1, 2, 30))
    return Input(port, pieces(rng, scar(rng, data)), rng.choice(ENDINGS))  # type: ignore[arg-type]


def answers(rng: random.Random) -> bytes:
    """What an endpoint says to an opening line, and after it."""
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
        message += [word(head), fixed(b" " if value else b""), Field("number", value), fixed(b"\r\n")]
    return scar(rng, encode(mutate(rng, message)))


def document(rng: random.Random, listing: dict[str, Any]) -> bytes:
    """Discovery's answer: a changed tree, or bytes that are hardly JSON."""
    return scar(rng, json.dumps(mutate_tree(rng, listing)).encode())


def handover_lines(rng: random.Random) -> bytes:
    """What another process of this proxy says."""
    lines: list[dict[str, Any]] = [
        {"say": "hello"},
        {"say": "serving"},
        {"say": "stopped"},
        {"say": "ban", "provider": "s-0", "out": rng.random() < 0.5, "number": 1},
        {"say": "held", "number": 0},
        {"say": "beat", "streams": 3, "moved": 2, "loads": {"s-0": [[5.0, 1], [None, 2]]}},
    ]
    said = [lines[0], *rng.choices(lines, k=rng.randrange(5))]
    sent = b"".join(
        json.dumps(mutate_tree(rng, line) if rng.random() < 0.7 else line).encode() + b"\n" for line in said
    )
    return scar(rng, sent)


def advertisement(rng: random.Random, vrid: int) -> bytes:
    """A VRRP datagram (RFC 9568, section 5.2), its checksum mostly right, so that what is in it is read."""
    message = [Field("byte", 0x31), Field("byte", vrid), Field("byte", 90), Field("byte", 1)]
    body = encode(mutate(rng, [*message, Field("byte", 0), Field("byte", 100), u32(0), u32(0x7F000001)]))
    body = scar(rng, body[:6] + b"\0\0" + body[8:])
    if len(body) >= 8 and rng.random() < 0.8:
        padded = body + bytes(len(body) % 2)
        total = sum(struct.unpack(f">{len(padded) // 2}H", padded))
        while total >> 16:
            total = (total & 0xFFFF) + (total >> 16)
        body = body[:6] + struct.pack(">H", ~total & 0xFFFF) + body[8:]
    return body


WIRES: dict[str, Callable[[random.Random, int], Input]] = {
    "platform": platform,
    "channels": channels,
    "door": door,
}
