"""Messages as lists of typed fields, and their mutation.

Mutated messages stay almost valid, so that they pass a parser's first checks and reach the later ones. All
randomness comes from the given `random.Random`.
"""

from __future__ import annotations

import random
import struct
from typing import Any, Literal, NamedTuple

FieldKind = Literal["fixed", "text", "number", "hex", "byte", "uint32", "uint64", "string"]
"""Kind of a field: `fixed` is a separator, `string` has its length before it, the uints are binary."""

EDGE_TEXTS = (
    b"", b" ", b"\0", b"\r\n", b"\n", b"=", b",", b"%", b"/", b"..", b"\xff\xfe", b"\xe2\x82", b"\x1b[2J",
    "\u202e".encode(), b"x" * 300, b"x" * 5000, b"-", b"null", b"'\";--",
)  # fmt: skip
"""Edge cases of texts: empty, white space, separators, long, invalid UTF-8."""

EDGE_NUMBERS = (
    b"0", b"-1", b"1", b"00", b"+1", b"1e9", b"1e400", b"nan", b"inf", b"-inf", b"0x10", b"1_0", b"2147483648",  # noqa: E501
    b"4294967295", b"4294967296", b"9223372036854775808", b"18446744073709551616", b"9" * 400, b"\xd9\xa1",
)  # fmt: skip
"""Edge cases of numbers as text: out of range, other notations, non-ASCII digits."""

EDGE_INTEGERS = (0, 1, 2, 0x7F, 0x7FFF_FFFF, 0x8000_0000, 0xFFFF_FFFF, 35_000, 65_536)
"""Edge cases of binary integers: around field widths and packet limits."""

EDGE_VALUES: tuple[Any, ...] = (
    None, True, False, 0, -1, 1, 1.5, -0.0, 1e308, float("nan"), float("inf"), 2**31, 2**63, 2**64, 10**30, "",  # noqa: E501
    " ", "\0", "\ud800", "x" * 5000, "1", "nan", [], {}, [[]], [None], {"": None}, [0] * 300, "127.0.0.1:0",
    "127.0.0.1:99999", "256.0.0.1:1", "::1", "DRAINING", "DELETED",
)  # fmt: skip
"""Edge cases of JSON or TOML values of any type, including values that are valid for other fields."""

UNCHANGED_BYTES_SHARE = 0.6
"""Share of the messages that `corrupt_bytes` leaves unchanged."""

DELETED_SHARE = 0.3
"""Share of the mutations of a document that delete a key or repeat an item."""

REPLACED_ROOT_SHARE = 0.2
"""Share of the mutations at the root of a document that replace the document."""

TreePath = tuple[Any, ...]
"""Keys and positions from the root of a document to a value."""


class MessageField(NamedTuple):
    """A field of a message; the kinds `byte`, `uint32` and `uint64` have an integer value."""

    kind: FieldKind
    value: bytes | int


Message = list[MessageField]


def fixed(text: bytes) -> MessageField:
    """A separator."""
    return MessageField("fixed", text)


def encode(message: Message) -> bytes:
    """The message's bytes: integers big-endian, strings after their length (RFC 4251, section 5)."""
    encoded = b""
    for kind, value in message:
        if isinstance(value, int):
            width = {"byte": ">B", "uint32": ">I", "uint64": ">Q"}[kind]
            encoded += struct.pack(width, value & ((1 << 8 * struct.calcsize(width)) - 1))
        else:
            encoded += struct.pack(">I", len(value)) + value if kind == "string" else value
    return encoded


def edge_value(rng: random.Random, field: MessageField) -> MessageField:
    """A field of the same kind with an edge-case value."""
    kind, value = field
    match kind:
        case "byte" | "uint32" | "uint64":
            assert isinstance(value, int)
            integers = [*EDGE_INTEGERS, value - 1, value + 1, rng.getrandbits(64)]
            return MessageField(kind, rng.choice(integers))
        case "number":
            return MessageField(kind, rng.choice(EDGE_NUMBERS))
        case "hex":
            digits = [*EDGE_NUMBERS, b"g", b"f" * 16, b"f" * 17, b"-f", b"F0"]
            return MessageField(kind, rng.choice(digits))
        case _:
            assert isinstance(value, bytes)
            texts = [*EDGE_TEXTS, value + rng.choice(EDGE_TEXTS), value * 2, value[:-1]]
            return MessageField(kind, rng.choice(texts))


def mutate_message(rng: random.Random, message: Message) -> Message:
    """Apply up to three mutations of fields; some messages stay unchanged: valid ones are needed too."""
    mutated = list(message)
    for _ in range(rng.choice((0, 1, 1, 1, 2, 3))):
        if not mutated:
            break
        position = rng.randrange(len(mutated))
        match rng.randrange(6):
            case 0 | 1 | 2:
                mutated[position] = edge_value(rng, mutated[position])
            case 3:
                del mutated[position]
            case 4:
                mutated.insert(position, mutated[rng.randrange(len(mutated))])
            case 5:
                other = rng.randrange(len(mutated))
                mutated[position], mutated[other] = mutated[other], mutated[position]
    return mutated


def corrupt_bytes(rng: random.Random, data: bytes) -> bytes:
    """Flip a bit, or delete, repeat, truncate or insert bytes; most data stays unchanged."""
    if not data or rng.random() < UNCHANGED_BYTES_SHARE:
        return data
    at = rng.randrange(len(data))
    size = rng.randrange(1, 9)
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


def split_randomly(rng: random.Random, data: bytes) -> tuple[bytes, ...]:
    """The data split into one to four pieces; mostly one."""
    cuts = sorted(rng.randrange(len(data) + 1) for _ in range(rng.choice((0, 0, 0, 1, 2, 3))))
    return tuple(data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True))


def mutate_tree(rng: random.Random, tree: Any) -> Any:
    """A JSON or TOML document with up to three values changed, deleted or repeated."""
    paths = tree_paths(tree)
    for _ in range(rng.choice((1, 1, 2, 3))):
        tree = mutate_at(tree, rng.choice(paths), rng)
    return tree


def tree_paths(tree: Any, path: TreePath = ()) -> list[TreePath]:
    """Paths to all values of a document, the root first."""
    paths = [path]
    if isinstance(tree, dict):
        for key, value in tree.items():
            paths += tree_paths(value, (*path, key))
    elif isinstance(tree, list):
        for position, value in enumerate(tree):
            paths += tree_paths(value, (*path, position))
    return paths


def mutate_at(tree: Any, path: TreePath, rng: random.Random) -> Any:
    """A copy of the document changed at the path; unchanged if an earlier mutation removed that place."""
    if not path:
        return rng.choice(EDGE_VALUES) if rng.random() < REPLACED_ROOT_SHARE else tree
    key = path[0]
    is_key = isinstance(tree, dict) and key in tree
    is_position = isinstance(tree, list) and isinstance(key, int) and key < len(tree)
    if not is_key and not is_position:
        return tree
    mutated = tree.copy()
    if len(path) > 1:
        mutated[key] = mutate_at(mutated[key], path[1:], rng)
    elif rng.random() >= DELETED_SHARE:
        mutated[key] = rng.choice(EDGE_VALUES)
    elif is_key:
        del mutated[key]
    else:
        mutated.append(mutated[key])
    return mutated
