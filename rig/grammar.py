"""Messages as fields that know their kind, and what can go wrong with them: mutation by the grammar.

A message is a list of fields; mutated, it is still almost one, so that it gets past the first check and meets
the second. All randomness comes from the `random.Random` that is handed in.
"""

from __future__ import annotations

import random
import struct
from typing import Any, Literal, NamedTuple

Kind = Literal["fixed", "text", "number", "hex", "byte", "uint32", "uint64", "string"]

ODD_TEXT = (
    b"", b" ", b"\0", b"\r\n", b"\n", b"=", b",", b"%", b"/", b"..", b"\xff\xfe", b"\xe2\x82", b"\x1b[2J",
    "\u202e".encode(), b"x" * 300, b"x" * 5000, b"-", b"null", b"'\";--",
)  # fmt: skip
ODD_NUMBERS = (
    b"0", b"-1", b"1", b"00", b"+1", b"1e9", b"1e400", b"nan", b"inf", b"-inf", b"0x10", b"1_0", b"2147483648",  # noqa: E501
    b"4294967295", b"4294967296", b"9223372036854775808", b"18446744073709551616", b"9" * 400, b"\xd9\xa1",
)  # fmt: skip
ODD_WORDS = (0, 1, 2, 0x7F, 0x7FFF_FFFF, 0x8000_0000, 0xFFFF_FFFF, 35_000, 65_536)
ODD_VALUES: tuple[Any, ...] = (
    None, True, False, 0, -1, 1, 1.5, -0.0, 1e308, float("nan"), float("inf"), 2**31, 2**63, 2**64, 10**30, "",  # noqa: E501
    " ", "\0", "\ud800", "x" * 5000, "1", "nan", [], {}, [[]], [None], {"": None}, [0] * 300, "127.0.0.1:0",
    "127.0.0.1:99999", "256.0.0.1:1", "::1", "DRAINING", "DELETED",
)  # fmt: skip


class Field(NamedTuple):
    kind: Kind
    value: bytes | int


Message = list[Field]


def fixed(text: bytes) -> Field:
    return Field("fixed", text)


def encode(message: Message) -> bytes:
    """On the wire: numbers big-endian, strings with their length before them (RFC 4251, section 5)."""
    made = b""
    for kind, value in message:
        if isinstance(value, int):
            width = {"byte": ">B", "uint32": ">I", "uint64": ">Q"}[kind]
            made += struct.pack(width, value & ((1 << 8 * struct.calcsize(width)) - 1))
        else:
            made += struct.pack(">I", len(value)) + value if kind == "string" else value
    return made


def odd(rng: random.Random, field: Field) -> Field:
    """The same kind of field with a value at some edge."""
    kind, value = field
    match kind:
        case "byte" | "uint32" | "uint64":
            assert isinstance(value, int)
            return Field(kind, rng.choice([*ODD_WORDS, value - 1, value + 1, rng.getrandbits(64)]))
        case "number":
            return Field(kind, rng.choice(ODD_NUMBERS))
        case "hex":
            return Field(kind, rng.choice([*ODD_NUMBERS, b"g", b"f" * 16, b"f" * 17, b"-f", b"F0"]))
        case _:
            assert isinstance(value, bytes)
            return Field(kind, rng.choice([*ODD_TEXT, value + rng.choice(ODD_TEXT), value * 2, value[:-1]]))


def mutate(rng: random.Random, message: Message) -> Message:
    """One to three faults; now and then none, since what is right must be met among them too."""
    made = list(message)
    for _ in range(rng.choice((0, 1, 1, 1, 2, 3))):
        if not made:
            break
        at = rng.randrange(len(made))
        match rng.randrange(6):
            case 0 | 1 | 2:
                made[at] = odd(rng, made[at])
            case 3:
                del made[at]
            case 4:
                made.insert(at, made[rng.randrange(len(made))])
            case 5:
                other = rng.randrange(len(made))
                made[at], made[other] = made[other], made[at]
    return made


def scar(rng: random.Random, data: bytes) -> bytes:
    """Faults that know no grammar: a bit turned, bytes lost, doubled, cut off or put in."""
    if not data or rng.random() < 0.6:
        return data
    at, size = rng.randrange(len(data)), rng.randrange(1, 9)
    match rng.randrange(5):
        case 0:
            return data[:at] + bytes([data[at] ^ 1 << rng.randrange(8)]) + data[at + 1 :]
        case 1:
            return data[:at] + data[at + size :]
        case 2:
            return data[:at] + data[at : at + size] * rng.randrange(2, 50) + data[at + size :]
        case 3:
            return data[:at]
        case _:
            return data[:at] + rng.randbytes(size) + data[at:]


def pieces(rng: random.Random, data: bytes) -> tuple[bytes, ...]:
    """As they may arrive: mostly at once."""
    cuts = sorted(rng.randrange(len(data) + 1) for _ in range(rng.choice((0, 0, 0, 1, 2, 3))))
    return tuple(data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True))


def mutate_tree(rng: random.Random, tree: Any) -> Any:
    """A JSON or TOML document with one place changed: another value, none, one more, or another's."""
    paths = list(walk(tree))
    for _ in range(rng.choice((1, 1, 2, 3))):
        path = rng.choice(paths)
        tree = put(tree, path, rng)
    return tree


def walk(tree: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    found = [path]
    if isinstance(tree, dict):
        for key, below in tree.items():
            found += walk(below, (*path, key))
    elif isinstance(tree, list):
        for place, below in enumerate(tree):
            found += walk(below, (*path, place))
    return found


def put(tree: Any, path: tuple[Any, ...], rng: random.Random) -> Any:
    if not path:
        return rng.choice(ODD_VALUES) if rng.random() < 0.2 else tree
    if isinstance(tree, dict) and path[0] in tree:
        made = dict(tree)
        if len(path) > 1:
            made[path[0]] = put(made[path[0]], path[1:], rng)
        elif rng.random() < 0.3:
            del made[path[0]]
        else:
            made[path[0]] = rng.choice(ODD_VALUES)
        return made
    if isinstance(tree, list) and isinstance(path[0], int) and path[0] < len(tree):
        items = list(tree)
        if len(path) > 1:
            items[path[0]] = put(items[path[0]], path[1:], rng)
        elif rng.random() < 0.3:
            items.append(items[path[0]])
        else:
            items[path[0]] = rng.choice(ODD_VALUES)
        return items
    return tree
