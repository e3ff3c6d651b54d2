"""The request line: parsing it, and encoding it for an endpoint."""

from __future__ import annotations

from typing import NamedTuple

from linnetshift.endpoint_list.names import UNKNOWN_NUMBER, NameRegistry
from linnetshift.event_loop.connection_limits import MAX_WAIT_MS
from linnetshift.event_loop.timers import MS
from linnetshift.frontends.line_protocol import protocol
from linnetshift.routing.events import RETRY, RETURNED

LINE_TOO_LONG = "too long"  # the logged error of any line over the length limit
HEXADECIMAL_DIGITS = b"0123456789abcdefABCDEF"
LOAD_HINT_LIMIT = 2.0**63  # exclusive: the decisions hold the hint in a signed 64-bit number


class RequestLineError(ValueError):
    """A request line that violates the protocol; the text describes the violation for the log."""


class RequestLine(NamedTuple):
    """A parsed request line; class and tenant are their numbers in the `NameRegistry`."""

    id: int
    class_number: int
    tenant: int
    key: int
    group: int
    flags: int  # RETRY and RETURNED of `routing.events`
    load_hint: int
    wait_ns: int  # how long the client waits for its answer; 0: not given
    adopted_endpoint: bytes  # empty unless the connection is adopted
    line: bytes  # as received; kept in place of its fields, which take many times its size
    deadline: slice | None  # where the digits of the deadline are in `line`

    def encode(self, remaining_ms: int) -> bytes:
        """Return the line for an endpoint: as received, but with `remaining_ms` as its deadline, if any."""
        if self.deadline is None:
            return self.line
        return b"%b%d%b" % (self.line[: self.deadline.start], remaining_ms, self.line[self.deadline.stop :])


def parse_request_line(line: bytes, names: NameRegistry) -> RequestLine:
    """Parse a complete line, including its line end; raises `RequestLineError`."""
    tokens = _split_tokens(line)
    fields = [field.partition(b"=") for field in tokens[3].split(b",")] if len(tokens) == 4 else []
    values = {name: value for name, _, value in fields}
    if len(values) < len(fields):
        raise RequestLineError("a name twice")  # an endpoint might use the other value
    class_number = names.classes.get(_decode(values.get(protocol.CLASS_FIELD, b"")))
    if class_number is None:
        raise RequestLineError("unknown class")
    adopted_endpoint = values.get(protocol.ADOPTED_FIELD, b"")
    wait_ms = _parse_wait_ms(values.get(protocol.DEADLINE_FIELD), bool(adopted_endpoint))
    return RequestLine(
        id=_parse_hexadecimal(tokens[1]),
        class_number=class_number,
        tenant=names.tenants.get(_decode(values.get(protocol.TENANT_FIELD, b"")), UNKNOWN_NUMBER),
        key=_parse_hexadecimal(tokens[2]),
        group=_parse_hexadecimal(values.get(protocol.GROUP_FIELD, b"0")),
        flags=_parse_flags(values),
        load_hint=_parse_load_hint(values.get(protocol.LOAD_HINT_FIELD, b"")),
        wait_ns=wait_ms * MS,
        adopted_endpoint=adopted_endpoint,
        line=line,
        deadline=_find_deadline(line, values),
    )


def _find_deadline(line: bytes, values: dict[bytes, bytes]) -> slice | None:
    """Return where the deadline's digits are in the line; None if it has no deadline."""
    digits = values.get(protocol.DEADLINE_FIELD)
    if digits is None:
        return None
    field = protocol.DEADLINE_FIELD + b"=" + digits
    fields_start = line.rindex(b" ") + 1
    # The name may be the end of another field's: the field follows the head or a comma.
    text = b"," + line[fields_start : -len(protocol.LINE_END)] + b","
    start = fields_start + text.index(b"," + field + b",") + len(protocol.DEADLINE_FIELD) + 1
    return slice(start, start + len(digits))


def _split_tokens(line: bytes) -> list[bytes]:
    """Return the three head tokens and, if there are any fields, all of them as a fourth."""
    text = line[: -len(protocol.LINE_END)]
    tokens = text.split(b" ")
    if not line.endswith(protocol.LINE_END) or len(tokens) not in (3, 4) or tokens[0] != protocol.OPEN:
        raise RequestLineError("not an OPEN line")
    if any(byte < 0x20 or byte == 0x7F for byte in text):
        raise RequestLineError("control characters")
    return tokens


def _decode(text: bytes) -> str:
    """Decode a name; invalid UTF-8 is replaced, so that the name is unknown to the settings."""
    return text.decode("utf-8", "replace")


def _parse_flags(values: dict[bytes, bytes]) -> int:
    retry = RETRY if values.get(protocol.RETRY_FIELD) == protocol.FLAG_SET else 0
    returned = RETURNED if values.get(protocol.RETURNED_FIELD) == protocol.FLAG_SET else 0
    return retry | returned


def _parse_wait_ms(text: bytes | None, is_adopted: bool) -> int:
    """Return how long the client waits; 0 if not given.

    For an adopted connection, a time over MAX_WAIT_MS is reduced to it rather than rejected: adopted
    connections come with the longest time that 32 bits of microseconds hold.
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
    """Return the client's estimate of its connection's load; 0 if not given."""
    try:
        value = float(text or b"0")
    except ValueError:
        value = -1.0
    if not 0.0 <= value < LOAD_HINT_LIMIT:
        raise RequestLineError("bad hint")
    return int(value)
