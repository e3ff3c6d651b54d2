"""Connections without a valid request do not affect other clients, whatever they send or omit."""

from __future__ import annotations

import os
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest
from connections import WAIT_S, ChannelsClient
from proxy_harness import CHANNELS_ENABLED, launch_process, limit_descriptors, started_proxy
from running_proxy import OPEN_LINE, RunningProxy


@pytest.fixture
def proxy(tmp_path: Path) -> Iterator[RunningProxy]:
    with started_proxy(tmp_path) as running:
        yield running


@pytest.mark.parametrize(
    "line",
    [
        b"HELLO\r\n",
        b"OPEN 1 2 c=feed,t=acme,d=100\n",
        b"OPEN xyz 2 c=feed,t=acme,d=100\r\n",
        b"OPEN 1 12345678901234567 c=feed,t=acme,d=100\r\n",
        b"OPEN 2 c=feed,t=acme,d=100\r\n",
        b"OPEN 1 2 c=feed,d=100,g=-1\r\n",
        b"OPEN 1 2 c=unheard-of,t=acme,d=100\r\n",
        b"OPEN 1 2 c=feed,t=acme,d=soon\r\n",
        b"OPEN 1 2 c=feed,t=acme,d=-5\r\n",
        b"OPEN 1 2 c=feed,t=acme,d=0\r\n",
        b"OPEN 1 2 c=feed,t=acme,d=999999999\r\n",
        b"OPEN 1 2 c=feed,t=acme,d=100,h=-1\r\n",
        b"OPEN 1 2 c=feed,t=acme,d=100,h=nan\r\n",
        b"OPEN 1 2 c=feed,t=acme,d=100,c=feed\r\n",
        b"OPEN 1 2 c=feed,t=ac\0me,d=100\r\n",
        b"OPEN 1 2\r\n",
        b"OPEN 1 2 c=feed,t=acme,d=100\r\n" * 100,
        b"OPEN 1 2 c=feed,t=acme,d=100\r\nhalf",
        b"\xff\xfe\r\n",
        b"x" * 5000,
    ],
)
def test_invalid_request_line_fails_only_its_own_client(proxy: RunningProxy, line: bytes) -> None:
    # An invalid line must not affect other clients or reach an endpoint, which would void the run.
    client = proxy.client(line)
    assert client.line() == b"ERR\r\n"
    client.close()
    proxy.logged("side=client reason=bad-line")
    assert proxy.alive()


def test_second_request_with_an_open_id_fails(proxy: RunningProxy) -> None:
    # Passed on, it was a duplicate to each endpoint in turn, which took six attempts per request.
    line = OPEN_LINE % (7, 2000)
    client = proxy.client(line)
    endpoint = proxy.endpoints[0].serve()
    assert client.line() == b"UP r1\r\n"
    assert proxy.client(line).line() == b"ERR\r\n"
    client.close()
    assert endpoint.ended() in ("fin", "reset")
    proxy.logged("side=client reason=client-left")
    later_client = proxy.client(line)
    proxy.endpoints[0].serve()
    assert later_client.line() == b"UP r1\r\n"


def test_errors_from_two_endpoints_fail_the_request(tmp_path: Path) -> None:
    with started_proxy(tmp_path, endpoints=3) as running:
        client = running.open()
        for _ in range(2):
            running.next_attempted().answer_attempt(b"ERR\r\n", "fin")
        assert client.line() == b"ERR\r\n"
        running.logged("side=client reason=failed .*attempts=2")


def test_client_that_sends_before_its_answer_is_closed(proxy: RunningProxy) -> None:
    # Its unread lines filled the buffer, so that the end of its side went undetected.
    client = proxy.open()
    endpoint = proxy.endpoints[0].accept()
    endpoint.line()
    client.send(b"M 1\r\n" * 4000)
    assert client.line() == b"ERR\r\n"
    assert endpoint.ended() in ("fin", "reset")


def test_overlong_line_ends_an_established_connection(proxy: RunningProxy) -> None:
    client, endpoint = proxy.establish()
    client.send(b"x" * 5000)
    assert endpoint.ended() == "fin"
    assert client.ended() == "fin"
    assert "reason=bad-line" in proxy.logged("side=client")


def test_input_after_a_bad_line_is_discarded_until_the_answer_arrives(proxy: RunningProxy) -> None:
    # Closing with unread bytes resets the connection and loses the answer; keeping them exhausts memory.
    client = proxy.client()
    client.sock.settimeout(None)
    sent = threading.Event()

    def send() -> None:
        for _ in range(60):
            client.send(b"x" * (1 << 20))
        sent.set()

    threading.Thread(target=send, daemon=True).start()
    assert sent.wait(WAIT_S)
    assert client.line() == b"ERR\r\n"
    assert client.ended() == "fin"


def test_unfinished_request_line_times_out(proxy: RunningProxy) -> None:
    # Without a time-out, each unfinished request would hold a descriptor forever.
    client = proxy.client(b"OPEN 9b1f03aa5c7e2d41 7f")
    assert client.line() == b"ERR\r\n"
    assert client.ended() == "fin"
    proxy.logged("side=client reason=request-timeout")


@pytest.mark.parametrize("frontend", ["platform", "channels"])
def test_idle_connections_are_evicted_for_new_ones(tmp_path: Path, frontend: str) -> None:
    # Without eviction, hundreds of idle connections used every descriptor, including those for endpoints.
    with started_proxy(tmp_path, broker_toml=CHANNELS_ENABLED, before=limit_descriptors) as running:
        established, endpoint = running.establish()
        port = running.channels_port if frontend == "channels" else running.port
        idle_clients = [running.client(port=port) for _ in range(60)]
        running.logged("reason=evicted")
        running.establish()
        idle_clients[0].line()  # the longest idle one gets ERR, or the SSH identification
        assert idle_clients[0].ended() == "fin"
        endpoint.send(b"on\r\n")
        assert established.line() == b"on\r\n"


@pytest.mark.parametrize(
    ("frontend", "idle_input", "pieces"),
    [
        ("platform", b"", [b"OPEN 9b1f03aa5c7e2d41 7f3a", b"9c21e0b4d655 c=fe", b"ed,t=acme,d=2000\r\n"]),
        ("platform", b"PING\r\n", [b"", b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,t=acme\r\n"]),
        ("channels", b"", [b"SSH-", b"2.0-", b"terminal\r\n"]),
    ],
)
def test_idle_connections_are_evicted_before_a_slow_client(
    tmp_path: Path, frontend: str, idle_input: bytes, pieces: list[bytes]
) -> None:
    # Evicting by age alone hit the client whose request line arrives slowly: in a flood it is the oldest.
    with started_proxy(tmp_path, broker_toml=CHANNELS_ENABLED, before=limit_descriptors) as running:
        slow_client = running.client(port=running.channels_port if frontend == "channels" else running.port)
        for piece in pieces[:-1]:
            slow_client.send(piece)
            assert running.alive()
            running.logged("reason=probed")  # a later turn of the loop, so each piece is read separately
        idle_clients = [running.client(idle_input) for _ in range(60)]
        running.logged("reason=evicted")
        slow_client.send(pieces[-1])
        if frontend == "channels":
            channels_client = ChannelsClient.on_connection(slow_client)
            channels_client.open(0)
            running.endpoints[0].serve()
            channels_client.expect_confirmation(0)
        else:
            running.endpoints[0].serve()
            assert slow_client.line() == b"UP r1\r\n"
        assert idle_clients


def test_evicted_connection_with_unread_bytes_gets_its_answer_and_a_fin(tmp_path: Path) -> None:
    # Closing with unread bytes reset the connection, which lost the answer.
    with started_proxy(tmp_path, before=limit_descriptors) as running:
        silent_clients = [running.client() for _ in range(8)]
        assert running.alive()
        with running.stopped():
            for conn in silent_clients:
                conn.send(b"OPEN 1 2 c=fe")
            newer_clients = [running.client() for _ in range(30)]
        for conn in silent_clients:
            assert conn.line() == b"ERR\r\n"
            assert conn.ended() == "fin"
        assert len(newer_clients) == 30


def test_accepting_pauses_when_descriptors_run_out(tmp_path: Path) -> None:
    # Retrying at once would spin; exiting would lose every established connection.
    with started_proxy(tmp_path, before=limit_descriptors) as running:
        waiting_clients = [running.open(60000) for _ in range(60)]
        running.logged("event=accept-paused")
        for conn in waiting_clients:
            conn.close()
        # Attempts in progress may have been sent; none is started for clients that have left.
        last_client = running.client(b"OPEN 77 2 c=feed,t=acme,d=20000\r\n")
        attempt = running.endpoints[0].accept()
        while not attempt.line().startswith(b"OPEN 77 "):
            attempt = running.endpoints[0].accept()
        attempt.send(b"UP r1\r\n")
        assert last_client.line() == b"UP r1\r\n"
        running.establish()


def test_full_log_pipe_does_not_block_the_proxy(proxy: RunningProxy, tmp_path: Path) -> None:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    while True:
        try:
            os.write(writer, b"x" * 4096)
        except BlockingIOError:
            break
    os.set_blocking(writer, True)
    proxy.process.kill()
    proxy.process.wait(WAIT_S)
    process = launch_process(str(tmp_path / "config.json"), stderr=writer)
    try:
        while True:
            try:
                assert proxy.alive()
                break
            except ConnectionRefusedError:
                assert process.poll() is None
    finally:
        process.kill()
        process.wait(WAIT_S)
        os.close(reader)
        os.close(writer)
