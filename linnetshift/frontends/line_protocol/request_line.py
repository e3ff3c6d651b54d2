"""The first line of a client: parsing, and the form in which it is sent to an endpoint."""

from __future__ import annotations

from typing import NamedTuple

from linnetshift.config.names import UNKNOWN_NUMBER, NameRegistry
from linnetshift.event_loop.connection_limits import MAX_WAIT_MS
from linnetshift.event_loop.timers import MS
from linnetshift.frontends.line_protocol import protocol
from linnetshift.routing.events import RETRY, RETURNED

LINE_TOO_LONG = "too long"  # the logged error of any line over the protocol's limit
HEXADECIMAL_DIGITS = b"0123456789abcdefABCDEF"
LOAD_HINT_LIMIT = 2.0**63  # exclusive: the decisions hold the hint in a signed 64-bit number

# A field as it came: its name, b"=" or nothing, and its value.
Field = tuple[bytes, bytes, bytes]


class RequestLineError(ValueError):
    """A first line that breaks the protocol; the text says how, for the log."""


class RequestLine(NamedTuple):
    """A parsed request line; classes and tenants are given by their numbers in the `NameRegistry`."""

    id: int
    klass: int
    tenant: int
    key: int
    group: int
    flags: int  # RETRY and RETURNED of `routing.events`
    load_hint: int
    wait_ns: int  # how long the client waits for its answer; 0 where the line does not say
    adopted_endpoint: bytes  # empty for a new connection
    head: list[bytes]  # the tokens before the fields, as they came
    fields: list[Field]

    def encode(self, remaining_ms: int) -> bytes:
        """Return the line for an endpoint, whose answer is waited for that long; the rest is as it came."""
        if not self.fields:
            return b" ".join(self.head) + protocol.LINE_END
        fields = b",".join(
            name + separator + (b"%d" % remaining_ms if name == protocol.DEADLINE_FIELD else value)
            for name, separator, value in self.fields
        )
        return b" ".join([*self.head, fields]) + protocol.LINE_END


def parse_request_line(line: bytes, names: NameRegistry) -> RequestLine:
    """Parse a whole line with its end; raises `RequestLineError`."""
    tokens = _split_tokens(line)
    fields = [field.partition(b"=") for field in tokens[3].split(b",")] if len(tokens) == 4 else []
    values = {name: value for name, _, value in fields}
    if len(values) < len(fields):
        raise RequestLineError("a name twice")  # an endpoint might use the other value
    klass = names.classes.get(_decode(values.get(protocol.CLASS_FIELD, b"")))
    if klass is None:
        raise RequestLineError("unknown class")
    adopted_endpoint = values.get(protocol.ADOPTED_FIELD, b"")
    wait_ms = _parse_wait_ms(values.get(protocol.DEADLINE_FIELD), bool(adopted_endpoint))
    return RequestLine(
        id=_parse_hexadecimal(tokens[1]),
        klass=klass,
        tenant=names.tenants.get(_decode(values.get(protocol.TENANT_FIELD, b"")), UNKNOWN_NUMBER),
        key=_parse_hexadecimal(tokens[2]),
        group=_parse_hexadecimal(values.get(protocol.GROUP_FIELD, b"0")),
        flags=_parse_flags(values),
        load_hint=_parse_load_hint(values.get(protocol.LOAD_HINT_FIELD, b"")),
        wait_ns=wait_ms * MS,
        adopted_endpoint=adopted_endpoint,
        head=tokens[:3],
        fields=fields,
    )


def _split_tokens(line: bytes) -> list[bytes]:
    """Return the three tokens of the head and, where there are any, the fields as a fourth."""
    text = line[: -len(protocol.LINE_END)]
    tokens = text.split(b" ")
    if not line.endswith(protocol.LINE_END) or len(tokens) not in (3, 4) or tokens[0] != protocol.OPEN:
        raise RequestLineError("not an OPEN line")
    if any(byte < 0x20 or byte == 0x7F for byte in text):
        raise RequestLineError("control characters")
    return tokens


def _decode(text: bytes) -> str:
    """Decode a name; with bytes that are not UTF-8 it becomes one that no settings list."""
    return text.decode("utf-8", "replace")


def _parse_flags(values: dict[bytes, bytes]) -> int:
    retry = RETRY if values.get(protocol.RETRY_FIELD) == protocol.FLAG_SET else 0
    returned = RETURNED if values.get(protocol.RETURNED_FIELD) == protocol.FLAG_SET else 0
    return retry | returned


def _parse_wait_ms(text: bytes | None, is_adopted: bool) -> int:
    """Return how long the client waits, 0 where it does not say.

    An adopted connection may name a time beyond the limit, which is cut to it: it comes with the longest that
    32 bits of microseconds hold.
    """
    if text is None:
        return 0
    if not (text.isdigit() and len(text) <= protocol.MAX_DEADLINE_DIGITS and int(text)):
        raise RequestLineError("bad deadline")
    wait_ms = int(text)
    if wait_ms > MAX_WAIT_MS and not is_adopted:
        raise RequestLineError("endless deadline")
    return min(wait_ms, MAX_WAIT_MS)


def _parse_hexadecimal(text: bytes) -> int:
    if not 0 < len(text) <= protocol.MAX_HEXADECIMAL_DIGITS or not all(
        digit in HEXADECIMAL_DIGITS for digit in text
    ):
        raise RequestLineError("bad hexadecimal number")
    return int(text, 16)


def _parse_load_hint(text: bytes) -> int:
    """Return the client's estimate of the load that its connection brings; 0 without one."""
    try:
        value = float(text or b"0")
    except ValueError:
        value = -1.0
    if not 0.0 <= value < LOAD_HINT_LIMIT:
        raise RequestLineError("bad hint")
    return int(value)
