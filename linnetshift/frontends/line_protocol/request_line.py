"""The first line of a client: parsing, and the form in which it goes to an endpoint."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from linnetshift.config.names import UNKNOWN, NameRegistry
from linnetshift.event_loop.connection_limits import (
    MOST_WAIT_MS,
)
from linnetshift.event_loop.loop import MS
from linnetshift.routing.events import RETRY, RETURNED


class BadLine(ValueError):
    """A first line that is none of the protocol's."""


class RequestLine(NamedTuple):
    """A first line, read."""

    id: int
    klass: int
    tenant: int
    key: int
    group: int
    flags: int
    hint: int
    wait_ns: int  # 0 where the line does not say
    adopt: bytes
    forward: Callable[[int], bytes]


def parse_request_line(line: bytes, names: NameRegistry) -> RequestLine:
    words = line[:-2].split(b" ")
    if not line.endswith(b"\r\n") or len(words) not in (3, 4) or words[0] != b"OPEN":
        raise BadLine("not an OPEN line")
    if any(byte < 0x20 or byte == 0x7F for byte in line[:-2]):
        raise BadLine("control characters")
    pairs = [pair.partition(b"=") for pair in words[3].split(b",")] if len(words) == 4 else []
    values = {name: value for name, _, value in pairs}
    if len(values) < len(pairs):
        raise BadLine("a name twice")  # endpoints may heed the other one
    klass = names.classes.get(values.get(b"c", b"").decode("utf-8", "replace"))
    if klass is None:
        raise BadLine("unknown class")
    tenant = values.get(b"t", b"").decode("utf-8", "replace")
    flags = (RETRY if values.get(b"r") == b"1" else 0) | (RETURNED if values.get(b"again") == b"1" else 0)
    wait, adopt = values.get(b"d"), values.get(b"at", b"")
    if wait is not None and not (wait.isdigit() and len(wait) < 10 and int(wait)):
        raise BadLine("bad deadline")
    # One that was open before the run comes with as long as 32 bits of microseconds hold.
    if wait is not None and int(wait) > MOST_WAIT_MS and not adopt:
        raise BadLine("endless deadline")

    def forward(left_ms: int) -> bytes:
        told = b",".join(
            name + mark + (b"%d" % left_ms if name == b"d" else value) for name, mark, value in pairs
        )
        return b" ".join([*words[:3], told] if pairs else words) + b"\r\n"

    return RequestLine(
        id=_hex(words[1]),
        klass=klass,
        tenant=names.tenants.get(tenant, UNKNOWN),
        key=_hex(words[2]),
        group=_hex(values.get(b"g", b"0")),
        flags=flags,
        hint=_hint(values.get(b"h", b"")),
        wait_ns=min(int(wait or 0), MOST_WAIT_MS) * MS,
        adopt=adopt,
        forward=forward,
    )


def _hex(text: bytes) -> int:
    if not 0 < len(text) <= 16 or not all(c in b"0123456789abcdefABCDEF" for c in text):
        raise BadLine("bad hexadecimal number")
    return int(text, 16)


def _hint(text: bytes) -> int:
    """A guess at the load; without one, 0."""
    try:
        value = float(text or b"0")
    except ValueError:
        value = -1.0
    if not 0.0 <= value < 2.0**63:
        raise BadLine("bad hint")
    return int(value)
