"""Parsing a request line, and encoding it for an endpoint."""

from __future__ import annotations

import tracemalloc
from types import SimpleNamespace
from typing import cast

import pytest

from linnetshift.endpoint_list.names import UNKNOWN_NUMBER, NameRegistry
from linnetshift.event_loop.connection_limits import MAX_WAIT_MS
from linnetshift.event_loop.timers import MS
from linnetshift.frontends.line_protocol import protocol
from linnetshift.frontends.line_protocol.request_line import RequestLineError, parse_request_line
from linnetshift.routing.events import RETRY, RETURNED

NAMES = cast(NameRegistry, SimpleNamespace(classes={"feed": 3}, tenants={"acme": 5}))


def test_all_fields_are_parsed() -> None:
    parsed = parse_request_line(b"OPEN 1f 2A c=feed,t=acme,r=1,again=1,d=250,at=e7,g=9,h=1.5\r\n", NAMES)
    assert (parsed.id, parsed.key, parsed.group) == (0x1F, 0x2A, 9)
    assert (parsed.class_number, parsed.tenant, parsed.flags) == (3, 5, RETRY | RETURNED)
    assert (parsed.wait_ns, parsed.load_hint, parsed.adopted_endpoint) == (250 * MS, 1, b"e7")


def test_absent_fields_have_defaults_and_unknown_fields_are_ignored() -> None:
    parsed = parse_request_line(b"OPEN 1 2 c=feed,r=0,zz\r\n", NAMES)
    assert (parsed.tenant, parsed.flags, parsed.group) == (UNKNOWN_NUMBER, 0, 0)
    assert (parsed.wait_ns, parsed.load_hint, parsed.adopted_endpoint) == (0, 0, b"")


@pytest.mark.parametrize(
    ("line", "encoded"),
    [
        (b"OPEN 1F 2 c=feed,d=250,zz,t=\xff\r\n", b"OPEN 1F 2 c=feed,d=7,zz,t=\xff\r\n"),
        (b"OPEN 1 2 t=acme,c=feed\r\n", b"OPEN 1 2 t=acme,c=feed\r\n"),
    ],
)
def test_encoded_line_differs_only_in_the_deadline(line: bytes, encoded: bytes) -> None:
    assert parse_request_line(line, NAMES).encode(7) == encoded


def test_only_an_adopted_connection_may_wait_longer_than_the_limit() -> None:
    line = b"OPEN 1 2 c=feed,d=%d" % (MAX_WAIT_MS + 1)
    with pytest.raises(RequestLineError, match=r"^endless deadline$"):
        parse_request_line(line + b"\r\n", NAMES)
    assert parse_request_line(line + b",at=e7\r\n", NAMES).wait_ns == MAX_WAIT_MS * MS


@pytest.mark.parametrize(
    ("line", "error"),
    [
        (b"OPEN 1 2 c=feed\n", "not an OPEN line"),
        (b"OPEN 1 2 c=feed d=5\r\n", "not an OPEN line"),
        (b"OPEN 1 2 c=feed,t=a\x7f\r\n", "control characters"),
        (b"OPEN x 2 c=feed,c=feed\r\n", "a name twice"),
        (b"OPEN x 2 c=other,d=0\r\n", "unknown class"),
        (b"OPEN 1 2\r\n", "unknown class"),
        (b"OPEN x 2 c=feed,d=0,h=x\r\n", "bad deadline"),
        (b"OPEN 1 2 c=feed,d=0000000001\r\n", "bad deadline"),
        (b"OPEN x 2 c=feed,h=x\r\n", "bad hexadecimal number"),
        (b"OPEN 1 00000000000000002 c=feed\r\n", "bad hexadecimal number"),
        (b"OPEN 1 2 c=feed,g=\r\n", "bad hexadecimal number"),
        (b"OPEN 1 2 c=feed,h=9223372036854775808\r\n", "bad hint"),
        (b"OPEN 1 2 c=feed,h=inf\r\n", "bad hint"),
    ],
)
def test_error_describes_the_first_violation_in_the_line(line: bytes, error: str) -> None:
    # The text is logged, so the order of the checks is visible.
    with pytest.raises(RequestLineError, match=f"^{error}$"):
        parse_request_line(line, NAMES)


@pytest.mark.parametrize(("retry_after_ms", "line"), [(0, b"BUSY\r\n"), (1000, b"BUSY 1000\r\n")])
def test_busy_line_has_a_retry_delay_only_if_given(retry_after_ms: int, line: bytes) -> None:
    assert protocol.encode_busy(retry_after_ms) == line


def test_request_line_takes_little_more_memory_than_it_has_bytes() -> None:
    """Guards against the fields of established clients, which took 30 times the size of their line."""
    names = b"".join(b",%x=" % number for number in range(0x100, 0x400))
    line = b"OPEN 1 2 c=feed,d=2000%b\r\n" % names
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        parsed = [parse_request_line(bytes(bytearray(line)), NAMES) for _ in range(50)]
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert (after - before) / len(parsed) < 2 * len(line)
    assert parsed[0].encode(7) == line.replace(b"d=2000", b"d=7")


@pytest.mark.parametrize(
    ("line", "encoded"),
    [
        (b"OPEN 1 2 d=2000,c=feed\r\n", b"OPEN 1 2 d=7,c=feed\r\n"),
        (b"OPEN 1 2 xd=2000,c=feed,d=2000\r\n", b"OPEN 1 2 xd=2000,c=feed,d=7\r\n"),
        (b"OPEN 1 2 c=feed,d=20,x=d=20\r\n", b"OPEN 1 2 c=feed,d=7,x=d=20\r\n"),
        (b"OPEN 1 2 c=feed,x=,d=20\r\n", b"OPEN 1 2 c=feed,x=,d=7\r\n"),
    ],
    ids=str,
)
def test_only_the_deadline_is_replaced_wherever_it_stands(line: bytes, encoded: bytes) -> None:
    """Guards against a deadline that is written over another field."""
    assert parse_request_line(line, NAMES).encode(7) == encoded
