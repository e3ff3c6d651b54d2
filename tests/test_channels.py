"""The channels frontend: stand-in terminals and gateways around the real program."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from connections import ChannelsClient, PeerConnection
from emulated_peers import EmulatedEndpoint
from proxy_harness import started_proxy
from running_proxy import RunningProxy

CHANNELS_ENABLED = '[channels]\nenabled = true\nlisten = "127.0.0.1:PORT"\n'
DATA, WINDOW_ADJUST, EOF, CLOSE, CHANNEL_REQUEST = 94, 93, 96, 97, 98


@pytest.fixture
def one(tmp_path: Path) -> Iterator[RunningProxy]:
    with started_proxy(tmp_path, broker_toml=CHANNELS_ENABLED) as running:
        yield running


def served(
    running: RunningProxy, terminal: ChannelsClient, number: int, **how: int
) -> tuple[int, EmulatedEndpoint, PeerConnection]:
    """The proxy's number for a new channel, its endpoint and the endpoint's end."""
    terminal.open(number, **how)  # type: ignore[arg-type]
    listener, endpoint = running.serve_any()
    return terminal.expect_confirmation(number), listener, endpoint


def data(terminal: ChannelsClient, number: int) -> bytes:
    rest = terminal.expect(DATA, number)
    assert int.from_bytes(rest[:4], "big") == len(rest) - 4
    return rest[4:]


def test_channel_is_served_to_its_end(one: RunningProxy) -> None:
    terminal = ChannelsClient(one.channels_port)
    channel, _, endpoint = served(one, terminal, 5)
    assert b" c=feed,t=acme,d=" in endpoint.first_line
    terminal.send_message(DATA, channel, b"M 1 x\r\n")
    assert endpoint.line() == b"M 1 x\r\n"
    endpoint.send(b"M 1 x\r\nBYE\r\n")
    assert data(terminal, 5) == b"M 1 x\r\n"
    assert data(terminal, 5) == b"BYE\r\n"
    endpoint.close()
    terminal.expect(EOF, 5)
    terminal.expect(CLOSE, 5)
    terminal.send_message(CLOSE, channel)
    one.logged("side=channel reason=served")


def test_endpoint_reset_sends_a_reset_request(one: RunningProxy) -> None:
    terminal = ChannelsClient(one.channels_port)
    _, _, endpoint = served(one, terminal, 5)
    endpoint.close("reset")
    assert b"reset@linnetshift" in terminal.expect(CHANNEL_REQUEST, 5)
    terminal.expect(CLOSE, 5)


def reject_all_attempts(listener: EmulatedEndpoint) -> None:
    for _ in range(4):  # as many attempts as are allowed
        conn = listener.accept()
        conn.line()
        conn.send(b"BUSY\r\n")
        conn.close()


def accept_without_answer(listener: EmulatedEndpoint) -> None:
    listener.accept()


def do_nothing(listener: EmulatedEndpoint) -> None:
    pass


@pytest.mark.parametrize(
    ("how", "gateway", "code", "text"),
    [
        ({}, reject_all_attempts, 4, b"come again after 1000 ms"),
        ({"wait_ms": 300}, accept_without_answer, None, b""),
        ({"klass": b"unheard-of"}, do_nothing, 2, b"unknown class"),
        ({"tenant": b"a,at=s-0"}, do_nothing, 2, b"impossible tenant"),
        ({"kind": b"session"}, do_nothing, 3, b"invocation@linnetshift"),
    ],
)
def test_failure_to_open_has_its_reason_code(
    one: RunningProxy,
    how: dict[str, int],
    gateway: Callable[[EmulatedEndpoint], None],
    code: int | None,
    text: bytes,
) -> None:
    # Each way of not being served has its own code, and a deadline is kept whatever the gateway does.
    terminal = ChannelsClient(one.channels_port)
    terminal.open(3, **how)  # type: ignore[arg-type]
    gateway(one.endpoints[0])
    rest = terminal.expect(92, 3)
    assert int.from_bytes(rest[:4], "big") in ((2, 4) if code is None else (code,))
    assert text in rest


def test_endpoint_that_stalls_one_channel_does_not_delay_others(one: RunningProxy) -> None:
    # What one gateway does not read may fill that channel's window and nothing else.
    terminal = ChannelsClient(one.channels_port)
    slow, _, stalled = served(one, terminal, 1)
    quick, _, endpoint = served(one, terminal, 2)
    line = b"z" * 1022 + b"\r\n"
    for _ in range(32):
        terminal.send_message(DATA, slow, line)
    for _ in range(100):
        terminal.send_message(DATA, quick, b"M 1 x\r\n")
        assert endpoint.line() == b"M 1 x\r\n"
        endpoint.send(b"M 1 x\r\n")
        while (got := terminal.read())[0] == WINDOW_ADJUST:
            pass
        assert got[0] == DATA
        assert got[1].endswith(b"M 1 x\r\n")
    for _ in range(32):
        assert stalled.line() == line  # held back by its gateway, not lost


def test_client_that_stalls_one_channel_does_not_delay_others(one: RunningProxy) -> None:
    # Lines without window wait on their own channel; the endpoint is read no further meanwhile.
    terminal = ChannelsClient(one.channels_port)
    stalled, _, flood = served(one, terminal, 1, window=10)
    _, _, endpoint = served(one, terminal, 2)
    flood.send(b"0123456789ab\r\n" * 3)
    assert data(terminal, 1) == b"0123456789"
    for _ in range(50):
        endpoint.send(b"quick\r\n")
        assert data(terminal, 2) == b"quick\r\n"
    terminal.send_message(WINDOW_ADJUST, stalled, 32)
    got = b""
    while len(got) < 32:
        got += data(terminal, 1)
    assert got == (b"0123456789ab\r\n" * 3)[10:]


def test_draining_endpoint_migrates_only_its_channels(tmp_path: Path) -> None:
    with started_proxy(tmp_path, endpoints=2, broker_toml=CHANNELS_ENABLED) as running:
        terminal = ChannelsClient(running.channels_port)
        established: dict[str, list[tuple[int, int, PeerConnection]]] = {"s-0": [], "s-1": []}
        for number in range(12):
            channel, listener, endpoint = served(running, terminal, number, key=number + 1)
            established[listener.uid].append((number, channel, endpoint))
        assert established["s-0"]
        assert established["s-1"]
        running.discovery.change(**{"s-0": "DRAINING"})
        moved = set()
        for _ in established["s-0"]:
            kind, rest = terminal.read()
            assert kind == CHANNEL_REQUEST
            assert b"move@linnetshift" in rest
            number = int.from_bytes(rest[:4], "big")
            terminal.expect(CLOSE, number)
            moved.add(number)
        assert moved == {number for number, _, _ in established["s-0"]}
        for number, channel, endpoint in established["s-1"]:
            terminal.send_message(DATA, channel, b"still here\r\n")
            assert endpoint.line() == b"still here\r\n"
            endpoint.send(b"yes\r\n")
            assert data(terminal, number) == b"yes\r\n"


@pytest.mark.parametrize("how", ["close", "disconnect", "fin", "reset"])
def test_client_end_is_passed_on_to_its_endpoints(one: RunningProxy, how: str) -> None:
    terminal = ChannelsClient(one.channels_port)
    channel, _, endpoint = served(one, terminal, 1)
    if how == "close":
        terminal.send_message(CLOSE, channel)
        terminal.expect(CLOSE, 1)
    elif how == "disconnect":
        terminal.send_message(1, 11, b"done", b"")
    else:
        terminal.close(how)
    assert endpoint.ended() == ("reset" if how == "reset" else "fin")


@pytest.mark.parametrize(
    "sent",
    [
        struct.pack(">IB", 0xFFFFFFFF, 4),
        struct.pack(">IB", 12, 3) + bytes(11),
        struct.pack(">IB", 12, 200) + bytes(11),
        struct.pack(">IB", 13, 4) + bytes(12),
        struct.pack(">IB", 12, 10) + bytes([90]) + bytes(10),
        struct.pack(">IB", 12, 6) + bytes([94, 0, 0, 0, 9]) + bytes(6),
        struct.pack(">IB", 28, 10) + bytes([91]) + bytes(26),
    ],
)
def test_malformed_packet_ends_only_its_session(one: RunningProxy, sent: bytes) -> None:
    other = ChannelsClient(one.channels_port)
    terminal = ChannelsClient(one.channels_port)
    terminal.send(sent)
    assert terminal.expect(1, 2)
    assert terminal.ended() == "fin"
    one.logged("side=session reason=protocol-error")
    assert served(one, other, 1)


def test_data_beyond_the_window_ends_the_session(one: RunningProxy) -> None:
    terminal = ChannelsClient(one.channels_port)
    channel, _, _ = served(one, terminal, 1)
    terminal.send_message(DATA, channel, bytes(32768 + 1))
    assert b"window" in terminal.expect(1, 2)


@pytest.mark.parametrize("line", [b"SSH-1.5-old\r\n", b"x" * 6000])
def test_other_protocol_version_is_disconnected(one: RunningProxy, line: bytes) -> None:
    conn = one.client(line, one.channels_port)
    assert conn.line().startswith(b"SSH-2.0-")
    conn.read_exactly(5)
    assert conn.read_exactly(1) == b"\x01"


def test_unknown_messages_are_answered_as_rfc_4254_requires(one: RunningProxy) -> None:
    terminal = ChannelsClient(one.channels_port)
    channel, _, endpoint = served(one, terminal, 1)
    terminal.send_message(
        80, b"keepalive@example", 1 << 24
    )  # a want-reply of 1 and three bytes that are ignored
    terminal.expect(82)
    terminal.send_payload(bytes([98]) + struct.pack(">II", channel, 3) + b"env\x01")
    terminal.expect(100, 1)
    terminal.send_message(2, b"ignored")
    terminal.send_message(EOF, channel)
    terminal.send_message(200)
    terminal.expect(3, 5)  # the sixth packet, counted from 0
    endpoint.send(b"still served\r\n")
    assert data(terminal, 1) == b"still served\r\n"


def test_channels_migrate_before_a_planned_stop(one: RunningProxy) -> None:
    terminal = ChannelsClient(one.channels_port)
    channel, _, _ = served(one, terminal, 1)
    one.terminate()
    assert b"move@linnetshift" in terminal.expect(CHANNEL_REQUEST, 1)
    terminal.expect(CLOSE, 1)
    terminal.send_message(CLOSE, channel)
    terminal.expect(1, 11)
    assert one.process.wait(20) == 0


CONTRACT = '[[contract]]\nteam = "acme"\n'


@pytest.mark.parametrize(
    ("contract", "tenant", "limit"),
    [
        (CONTRACT + "services = []\n", b"acme", b"service: come again after 60000 ms"),
        (CONTRACT + "concurrency = 1\n", b"acme", b"concurrency: come again after 1000 ms"),
        (CONTRACT + "rate_per_s = 0.001\nrate_burst = 1\n", b"acme", b"rate: come again after "),
        (CONTRACT, b"other", b"team: come again after 60000 ms"),
    ],
)
def test_contract_limit_reports_retry_after(
    tmp_path: Path, contract: str, tenant: bytes, limit: bytes
) -> None:
    with started_proxy(tmp_path, broker_toml=CHANNELS_ENABLED + contract) as running:
        terminal = ChannelsClient(running.channels_port)
        established = served(running, terminal, 1) if b"concurrency" in limit or b"rate" in limit else None
        terminal.open(2, tenant=tenant)
        assert limit in terminal.expect(92, 2, 1)
        client = running.client(b"OPEN 1 2 c=feed,t=%s,d=2000\r\n" % tenant)
        assert client.line().startswith(b"BUSY ")
        del established
