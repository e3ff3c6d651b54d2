"""The channels frontend of the running proxy, between emulated clients and endpoints."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Literal

import pytest
from connections import ChannelsClient, Ending, PeerConnection
from emulated_peers import EmulatedEndpoint
from proxy_harness import CHANNELS_ENABLED, started_proxy
from running_proxy import RunningProxy

# Message numbers of RFC 4250, section 4.1.2, independent of the program's.
DISCONNECT = 1
IGNORE = 2
UNIMPLEMENTED = 3
GLOBAL_REQUEST = 80
REQUEST_FAILURE = 82
OPEN_FAILURE = 92
WINDOW_ADJUST = 93
DATA = 94
EOF = 96
CLOSE = 97
CHANNEL_REQUEST = 98
CHANNEL_FAILURE = 100
UNKNOWN_MESSAGE = 200


@pytest.fixture
def proxy(tmp_path: Path) -> Iterator[RunningProxy]:
    with started_proxy(tmp_path, broker_toml=CHANNELS_ENABLED) as running:
        yield running


def open_channel(
    running: RunningProxy, client: ChannelsClient, number: int, **options: int
) -> tuple[int, EmulatedEndpoint, PeerConnection]:
    """Open a channel and serve it: the proxy's number for it, its endpoint and the endpoint's connection."""
    client.open(number, **options)  # type: ignore[arg-type]
    listener, endpoint = running.serve_any()
    return client.expect_confirmation(number), listener, endpoint


def receive_data(client: ChannelsClient, number: int) -> bytes:
    """The data in the next message, which must be for this channel number."""
    rest = client.expect(DATA, number)
    assert int.from_bytes(rest[:4], "big") == len(rest) - 4
    return rest[4:]


def test_channel_ends_with_eof_when_its_endpoint_closes_normally(proxy: RunningProxy) -> None:
    client = ChannelsClient(proxy.channels_port)
    channel, _, endpoint = open_channel(proxy, client, 5)
    assert b" c=feed,t=acme,d=" in endpoint.first_line
    client.send_message(DATA, channel, b"M 1 x\r\n")
    assert endpoint.line() == b"M 1 x\r\n"
    endpoint.send(b"M 1 x\r\nBYE\r\n")
    assert receive_data(client, 5) == b"M 1 x\r\n"
    assert receive_data(client, 5) == b"BYE\r\n"
    endpoint.close()
    client.expect(EOF, 5)
    client.expect(CLOSE, 5)
    client.send_message(CLOSE, channel)
    proxy.logged("side=channel reason=served")


def test_endpoint_reset_sends_a_reset_request(proxy: RunningProxy) -> None:
    client = ChannelsClient(proxy.channels_port)
    _, _, endpoint = open_channel(proxy, client, 5)
    endpoint.close("reset")
    assert b"reset@linnetshift" in client.expect(CHANNEL_REQUEST, 5)
    client.expect(CLOSE, 5)


def reject_all_attempts(listener: EmulatedEndpoint) -> None:
    for _ in range(4):  # the maximum number of attempts
        conn = listener.accept()
        conn.line()
        conn.send(b"BUSY\r\n")
        conn.close()


def accept_without_answer(listener: EmulatedEndpoint) -> None:
    listener.accept()


def do_nothing(listener: EmulatedEndpoint) -> None:
    pass


@pytest.mark.parametrize(
    ("open_options", "act_as_endpoint", "reason_code", "text"),
    [
        ({}, reject_all_attempts, 4, b"come again after 1000 ms"),
        ({"wait_ms": 300}, accept_without_answer, None, b""),
        ({"klass": b"unheard-of"}, do_nothing, 2, b"unknown class"),
        ({"tenant": b"a,at=s-0"}, do_nothing, 2, b"impossible tenant"),
        ({"kind": b"session"}, do_nothing, 3, b"invocation@linnetshift"),
    ],
)
def test_open_failure_has_the_reason_code_of_its_cause(
    proxy: RunningProxy,
    open_options: dict[str, int],
    act_as_endpoint: Callable[[EmulatedEndpoint], None],
    reason_code: int | None,
    text: bytes,
) -> None:
    # Each cause has its own reason code, and the deadline holds even if the endpoint does not answer.
    client = ChannelsClient(proxy.channels_port)
    client.open(3, **open_options)  # type: ignore[arg-type]
    act_as_endpoint(proxy.endpoints[0])
    rest = client.expect(OPEN_FAILURE, 3)
    received_code = int.from_bytes(rest[:4], "big")
    assert received_code in ((2, 4) if reason_code is None else (reason_code,))
    assert text in rest


def test_endpoint_that_stalls_one_channel_does_not_delay_others(proxy: RunningProxy) -> None:
    # An endpoint that does not read may exhaust its own channel's window and nothing else.
    client = ChannelsClient(proxy.channels_port)
    stalled_channel, _, stalled_endpoint = open_channel(proxy, client, 1)
    other_channel, _, endpoint = open_channel(proxy, client, 2)
    line = b"z" * 1022 + b"\r\n"
    for _ in range(32):
        client.send_message(DATA, stalled_channel, line)
    for _ in range(100):
        client.send_message(DATA, other_channel, b"M 1 x\r\n")
        assert endpoint.line() == b"M 1 x\r\n"
        endpoint.send(b"M 1 x\r\n")
        while (message := client.read())[0] == WINDOW_ADJUST:
            pass
        assert message[0] == DATA
        assert message[1].endswith(b"M 1 x\r\n")
    for _ in range(32):
        assert stalled_endpoint.line() == line  # delayed by its endpoint, not lost


def test_client_that_stalls_one_channel_does_not_delay_others(proxy: RunningProxy) -> None:
    # Lines beyond the window wait in their channel, and its endpoint is not read meanwhile.
    client = ChannelsClient(proxy.channels_port)
    stalled_channel, _, stalled_endpoint = open_channel(proxy, client, 1, window=10)
    _, _, endpoint = open_channel(proxy, client, 2)
    stalled_endpoint.send(b"0123456789ab\r\n" * 3)
    assert receive_data(client, 1) == b"0123456789"
    for _ in range(50):
        endpoint.send(b"quick\r\n")
        assert receive_data(client, 2) == b"quick\r\n"
    client.send_message(WINDOW_ADJUST, stalled_channel, 32)
    received = b""
    while len(received) < 32:
        received += receive_data(client, 1)
    assert received == (b"0123456789ab\r\n" * 3)[10:]


def test_draining_endpoint_migrates_only_its_channels(tmp_path: Path) -> None:
    with started_proxy(tmp_path, endpoints=2, broker_toml=CHANNELS_ENABLED) as running:
        client = ChannelsClient(running.channels_port)
        established: dict[str, list[tuple[int, int, PeerConnection]]] = {"s-0": [], "s-1": []}
        for number in range(12):
            channel, listener, endpoint = open_channel(running, client, number, key=number + 1)
            established[listener.uid].append((number, channel, endpoint))
        assert established["s-0"]
        assert established["s-1"]
        running.discovery.change(**{"s-0": "DRAINING"})
        migrated = set()
        for _ in established["s-0"]:
            message_number, rest = client.read()
            assert message_number == CHANNEL_REQUEST
            assert b"move@linnetshift" in rest
            number = int.from_bytes(rest[:4], "big")
            client.expect(CLOSE, number)
            migrated.add(number)
        assert migrated == {number for number, _, _ in established["s-0"]}
        for number, channel, endpoint in established["s-1"]:
            client.send_message(DATA, channel, b"still here\r\n")
            assert endpoint.line() == b"still here\r\n"
            endpoint.send(b"yes\r\n")
            assert receive_data(client, number) == b"yes\r\n"


@pytest.mark.parametrize("ending", ["close", "disconnect", "fin", "reset"])
def test_client_end_is_passed_on_to_its_endpoints(
    proxy: RunningProxy, ending: Literal["close", "disconnect"] | Ending
) -> None:
    client = ChannelsClient(proxy.channels_port)
    channel, _, endpoint = open_channel(proxy, client, 1)
    if ending == "close":
        client.send_message(CLOSE, channel)
        client.expect(CLOSE, 1)
    elif ending == "disconnect":
        client.send_message(DISCONNECT, 11, b"done", b"")
    else:
        client.close(ending)
    assert endpoint.ended() == ("reset" if ending == "reset" else "fin")


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
def test_malformed_packet_ends_only_its_session(proxy: RunningProxy, sent: bytes) -> None:
    other = ChannelsClient(proxy.channels_port)
    client = ChannelsClient(proxy.channels_port)
    client.send(sent)
    assert client.expect(DISCONNECT, 2)
    assert client.ended() == "fin"
    proxy.logged("side=session reason=protocol-error")
    assert open_channel(proxy, other, 1)


def test_data_beyond_the_window_ends_the_session(proxy: RunningProxy) -> None:
    client = ChannelsClient(proxy.channels_port)
    channel, _, _ = open_channel(proxy, client, 1)
    client.send_message(DATA, channel, bytes(32768 + 1))
    assert b"window" in client.expect(DISCONNECT, 2)


@pytest.mark.parametrize("line", [b"SSH-1.5-old\r\n", b"x" * 6000])
def test_other_protocol_version_is_disconnected(proxy: RunningProxy, line: bytes) -> None:
    conn = proxy.client(line, proxy.channels_port)
    assert conn.line().startswith(b"SSH-2.0-")
    conn.read_exactly(5)
    assert conn.read_exactly(1) == b"\x01"


def test_unknown_messages_are_answered_as_rfc_4254_requires(proxy: RunningProxy) -> None:
    client = ChannelsClient(proxy.channels_port)
    channel, _, endpoint = open_channel(proxy, client, 1)
    # As a uint32 this is want-reply, 1, and three bytes that are ignored.
    client.send_message(GLOBAL_REQUEST, b"keepalive@example", 1 << 24)
    client.expect(REQUEST_FAILURE)
    client.send_payload(bytes([CHANNEL_REQUEST]) + struct.pack(">II", channel, 3) + b"env\x01")
    client.expect(CHANNEL_FAILURE, 1)
    client.send_message(IGNORE, b"ignored")
    client.send_message(EOF, channel)
    client.send_message(UNKNOWN_MESSAGE)
    client.expect(UNIMPLEMENTED, 5)  # the sixth packet, counted from 0
    endpoint.send(b"still served\r\n")
    assert receive_data(client, 1) == b"still served\r\n"


def test_channels_are_migrated_at_a_graceful_shutdown(proxy: RunningProxy) -> None:
    client = ChannelsClient(proxy.channels_port)
    channel, _, _ = open_channel(proxy, client, 1)
    proxy.terminate()
    assert b"move@linnetshift" in client.expect(CHANNEL_REQUEST, 1)
    client.expect(CLOSE, 1)
    client.send_message(CLOSE, channel)
    client.expect(DISCONNECT, 11)
    assert proxy.process.wait(20) == 0


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
        client = ChannelsClient(running.channels_port)
        uses_up_limit = b"concurrency" in limit or b"rate" in limit
        established = open_channel(running, client, 1) if uses_up_limit else None
        client.open(2, tenant=tenant)
        assert limit in client.expect(OPEN_FAILURE, 2, 1)
        line_client = running.client(b"OPEN 1 2 c=feed,t=%s,d=2000\r\n" % tenant)
        assert line_client.line().startswith(b"BUSY ")
        del established
