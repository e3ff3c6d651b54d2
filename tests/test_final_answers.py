"""Final answers: each state of a request against each event that ends a connection or the process.

The races are forced: a full accept queue at the endpoint delays a connection, and the process is stopped
(SIGSTOP) while both ends act, so that it finds both events in one turn of the loop and in that order.
"""

from __future__ import annotations

import re
import select
import signal
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import pytest
from conftest import MS, S
from connections import WAIT_S, ChannelsClient, Ending, PeerConnection
from proxy_harness import CHANNELS_ENABLED, settings, started_proxy
from requests_in_state import (
    KEY,
    LONG_DEADLINE_MS,
    REQUEST_LINE,
    answer_all,
    connecting_request,
    queued_request,
    request_in_state,
    sent_request,
)
from running_proxy import RunningProxy, ranked

from linnetshift.frontends.channels.messages import MessageNumber
from rig.free_port import free_port

NOT_IDEMPOTENT: dict[str, Any] = {"effect": "once"}
"""Class settings of requests that must not be executed twice."""


@contextmanager
def proxy_with_long_timeouts(
    directory: Path, endpoints: int = 2, broker_toml: str = "", **class_settings: Any
) -> Iterator[RunningProxy]:
    """A proxy with a connect timeout of 10 s; the class of the requests has these settings."""
    default_class = settings()["services"][0]
    service = {**default_class, "aimNs": 10 * S, "hardLimitNs": 20 * S, **class_settings}
    with started_proxy(
        directory,
        endpoints,
        broker_toml,
        services=[service],
        allowed={"connectTimeoutNs": 10 * S, "maxAttempts": 4},
    ) as running:
        yield running


# ---- a connection that is established late ---------------------------------------------------


def test_endpoint_drained_while_connecting_is_sent_nothing(tmp_path: Path) -> None:
    # The decision may be a connect timeout old when the line is sent: the list must be checked again.
    with proxy_with_long_timeouts(tmp_path) as running:
        best, other = ranked(running)
        client = connecting_request(running, best)
        running.discovery.change(**{best.uid: "DRAINING"})
        running.logged("event=endpoint-list-received .*draining=1")
        best.empty_accept_queue()
        assert best.accept().line() == b""
        other.serve()
        assert client.line() == b"UP r1\r\n"


@pytest.mark.parametrize("frontend", ["platform", "channels"])
@pytest.mark.parametrize("ending", ["fin", "reset"])
def test_request_of_disconnected_client_is_not_sent_when_connection_is_established(
    tmp_path: Path, frontend: str, ending: Ending
) -> None:
    # Both are found in one turn: the client's close must be read before the connection is handled.
    with proxy_with_long_timeouts(tmp_path, broker_toml=CHANNELS_ENABLED) as running:
        best, _ = ranked(running)
        best.fill_accept_queue()
        if frontend == "channels":
            client: PeerConnection = ChannelsClient(running.channels_port)
            assert isinstance(client, ChannelsClient)
            client.open(5, key=KEY, wait_ms=LONG_DEADLINE_MS)
        else:
            client = running.client(REQUEST_LINE % LONG_DEADLINE_MS)
        best.wait_until_connecting()
        with running.stopped():
            best.empty_accept_queue()
            endpoint = best.accept()
            client.close(ending)
        assert endpoint.line() == b""
        running.logged("side=client reason=withdrawn" if frontend == "platform" else "side=channel")
        next_client = running.client(REQUEST_LINE.replace(b"77", b"78") % LONG_DEADLINE_MS)
        assert best.accept().line().startswith(b"OPEN 78 ")
        assert next_client


@pytest.mark.parametrize("unread_bytes", [1, 1000, 20_000_000])
def test_request_is_not_sent_when_client_close_follows_unread_bytes(
    tmp_path: Path, unread_bytes: int
) -> None:
    # Peeking at the socket finds the data, not the close; above 64 KiB the kernel has not received the close.
    with proxy_with_long_timeouts(tmp_path) as running:
        best, _ = ranked(running)
        client = connecting_request(running, best)
        with running.stopped():
            best.empty_accept_queue()
            endpoint = best.accept()
            client.sock.setblocking(False)
            with suppress(BlockingIOError):
                client.send(b"x" * unread_bytes)
            client.close()
        assert endpoint.line() == b""
        running.logged("side=client reason=(withdrawn|bad-line)")


def test_request_is_not_sent_when_session_close_follows_unread_packet(tmp_path: Path) -> None:
    with proxy_with_long_timeouts(tmp_path, broker_toml=CHANNELS_ENABLED) as running:
        best, _ = ranked(running)
        best.fill_accept_queue()
        client = ChannelsClient(running.channels_port)
        client.open(5, key=KEY, wait_ms=LONG_DEADLINE_MS)
        best.wait_until_connecting()
        with running.stopped():
            best.empty_accept_queue()
            endpoint = best.accept()
            # IGNORE is a packet that does not announce the close.
            client.send_message(MessageNumber.IGNORE, b"never mind")
            client.close()
        assert endpoint.line() == b""
        running.logged("side=channel")


def test_requests_of_disconnected_clients_are_not_sent_after_a_burst(tmp_path: Path) -> None:
    # Eight requests are connecting, the others queued. All clients close while the process is stopped, and
    # then the connections are established.
    with proxy_with_long_timeouts(tmp_path) as running:
        best, _ = ranked(running)
        best.fill_accept_queue()
        closed_clients = [
            running.client(REQUEST_LINE.replace(b"77", b"%d" % number) % LONG_DEADLINE_MS)
            for number in range(100, 160)
        ]
        best.wait_until_connecting()
        assert running.alive()
        with running.stopped():
            for client in closed_clients:
                client.close()
            best.empty_accept_queue()
        next_client = running.client(REQUEST_LINE % LONG_DEADLINE_MS)
        first_line = b""
        while not first_line:
            first_line = best.accept().line()
        assert first_line.startswith(b"OPEN 77 ")
        assert next_client


def test_request_of_client_that_closed_before_accept_is_not_sent(tmp_path: Path) -> None:
    with proxy_with_long_timeouts(tmp_path) as running:
        best, _ = ranked(running)
        with running.stopped():
            closed_clients = [
                running.client(REQUEST_LINE.replace(b"77", b"%d" % number) % LONG_DEADLINE_MS)
                for number in range(100, 108)
            ]
            for client in closed_clients:
                client.close()
        next_client = running.client(REQUEST_LINE % LONG_DEADLINE_MS)
        assert best.accept().line().startswith(b"OPEN 77 ")
        assert next_client


def test_queued_request_of_disconnected_client_is_not_sent(tmp_path: Path) -> None:
    with proxy_with_long_timeouts(tmp_path) as running:
        best, _ = ranked(running)
        client, in_flight = queued_request(running, best)
        with running.stopped():
            answer_all(in_flight)
            client.close()
        running.logged("side=client reason=withdrawn .*attempts=0")
        next_client = running.client(REQUEST_LINE.replace(b"77", b"78") % LONG_DEADLINE_MS)
        assert best.accept().line().startswith(b"OPEN 78 ")
        assert next_client


def test_not_idempotent_request_is_retried_when_endpoint_closes_on_accept(tmp_path: Path) -> None:
    # A line written to a connection known to be closed would make the request count as possibly executed.
    with proxy_with_long_timeouts(tmp_path, **NOT_IDEMPOTENT) as running:
        best, other = ranked(running)
        client = connecting_request(running, best)
        with running.stopped():
            best.empty_accept_queue()
            best.accept().close()
        other.serve()
        assert client.line() == b"UP r1\r\n"


def test_retry_is_not_sent_after_its_idempotency_window(tmp_path: Path) -> None:
    # The window must be checked again when the line is sent, not only at the decision to retry.
    idempotency = {"effect": "by_key", "group": "all", "windowNs": 2 * S}
    service = {**settings()["services"][0], "aimNs": 10 * S, "hardLimitNs": 20 * S, **idempotency}
    with started_proxy(tmp_path, 2, services=[service], allowed={"connectTimeoutNs": 1500 * MS}) as running:
        best, other = ranked(running)
        other.fill_accept_queue()
        client, endpoint = sent_request(running, best)
        endpoint.send(b"ERR\r\n")
        other.wait_until_connecting()
        with running.stopped():
            other.empty_accept_queue()
            retry = other.accept()
            time.sleep(2.0)
        assert retry.line() == b""
        assert client.line() == b"ERR\r\n"  # BUSY would claim that a retry is safe


def test_retry_that_could_miss_its_idempotency_window_is_not_started(tmp_path: Path) -> None:
    # The connect timeout is 10 s: the retry might be sent after the window of 5 s.
    with proxy_with_long_timeouts(tmp_path, effect="by_key", group="all", windowNs=5 * S) as running:
        best, _ = ranked(running)
        client, endpoint = sent_request(running, best)
        endpoint.send(b"ERR\r\n")
        assert client.line() == b"BUSY 1000\r\n"  # the client's own retry after 1 s is within the window
        running.logged("side=client reason=rejected .*attempts=1")


# ---- each state against each event -----------------------------------------------------------


def close_with_fin(conn: PeerConnection) -> None:
    """Close the connection in order."""
    conn.close()


def close_with_reset(conn: PeerConnection) -> None:
    """Reset the connection."""
    conn.close("reset")


def close_after_partial_line(conn: PeerConnection) -> None:
    """Close within an answer line."""
    conn.send(b"UP r")
    conn.close()


def send_invalid_bytes(conn: PeerConnection) -> None:
    """Send a line that is not text."""
    conn.send(b"\xff\x00\r\n")


def send_oversized_line(conn: PeerConnection) -> None:
    """Send more than the longest line, without an end of line."""
    conn.send(b"x" * 6000)


def send_two_answers_and_close(conn: PeerConnection) -> None:
    """Send an error and then an acceptance, and close."""
    conn.send(b"ERR\r\nUP r1\r\n")
    conn.close()


def connection_end_events(running: RunningProxy) -> list[str]:
    """Log lines that report the end of the client's connection of request 77."""
    return [
        line
        for line in running.passed_lines + running.unread_lines()
        if re.search("event=connection-ended side=client.* open=77 ", line)
    ]


@pytest.mark.parametrize("state", ["queued", "connecting", "sent"])
@pytest.mark.parametrize("end_connection", [close_with_fin, close_with_reset])
def test_disconnected_client_ends_its_request_in_each_state(
    tmp_path: Path, state: str, end_connection: Callable[[PeerConnection], None]
) -> None:
    with proxy_with_long_timeouts(tmp_path) as running:
        best, _ = ranked(running)
        running.passed_lines.clear()
        client, endpoint, in_flight = request_in_state(running, best, state)
        end_connection(client)
        running.logged("side=client reason=withdrawn")
        if endpoint is not None:
            assert endpoint.ended() in ("fin", "reset")
        elif state == "connecting":
            best.empty_accept_queue()
        answer_all(in_flight)
        next_client = running.client(REQUEST_LINE.replace(b"77", b"78") % LONG_DEADLINE_MS)
        attempt = running.next_attempted().accept()
        assert attempt.line().startswith(b"OPEN 78 ")
        assert next_client
        assert len(connection_end_events(running)) == 1


@pytest.mark.parametrize(
    ("state", "class_settings", "answer"),
    [
        ("queued", NOT_IDEMPOTENT, b"BUSY\r\n"),
        ("connecting", NOT_IDEMPOTENT, b"BUSY\r\n"),
        ("sent", NOT_IDEMPOTENT, b"ERR\r\n"),
        ("sent", {"effect": "by_key", "group": "zone", "windowNs": 60 * S}, b"ERR\r\n"),
        ("sent", {"effect": "by_key", "group": "all", "windowNs": 60 * S}, b"BUSY\r\n"),
        ("sent", {"effect": "by_key", "group": "all", "windowNs": 1}, b"ERR\r\n"),
        ("sent", {}, b"BUSY\r\n"),
    ],
)
@pytest.mark.parametrize("end", ["half-close", "shutdown"])
def test_ended_request_is_rejected_only_where_a_retry_is_safe(
    tmp_path: Path, state: str, class_settings: dict[str, Any], answer: bytes, end: str
) -> None:
    # BUSY states that a retry is safe; a graceful shutdown or a client's half-close does not make it so.
    with proxy_with_long_timeouts(tmp_path, **class_settings) as running:
        best, _ = ranked(running)
        client, _endpoint, _in_flight = request_in_state(running, best, state)
        if end == "half-close":
            client.sock.shutdown(socket.SHUT_WR)
        else:
            running.terminate()
        assert client.line() == answer
        assert client.ended() == "fin"
        client.close()
        if end == "shutdown":
            assert running.process.wait(WAIT_S) == 0


@pytest.mark.parametrize(
    "end_connection",
    [
        close_with_fin,
        close_with_reset,
        close_after_partial_line,
        send_invalid_bytes,
        send_oversized_line,
        send_two_answers_and_close,
    ],
)
def test_possibly_executed_request_fails_when_endpoint_connection_ends(
    tmp_path: Path, end_connection: Callable[[PeerConnection], None]
) -> None:
    with proxy_with_long_timeouts(tmp_path, **NOT_IDEMPOTENT) as running:
        best, _ = ranked(running)
        running.passed_lines.clear()
        client, endpoint = sent_request(running, best)
        end_connection(endpoint)
        assert client.line() == b"ERR\r\n"
        assert client.ended() == "fin"
        client.close()
        running.logged("side=client reason=failed .*attempts=1")
        assert len(connection_end_events(running)) == 1


@pytest.mark.parametrize("second_answer", [b"ERR\r\n", b"BUSY\r\n", b"UP r2\r\n"])
def test_second_answer_of_rejecting_endpoint_is_not_relayed(tmp_path: Path, second_answer: bytes) -> None:
    with proxy_with_long_timeouts(tmp_path) as running:
        best, other = ranked(running)
        client, endpoint = sent_request(running, best)
        with running.stopped():
            endpoint.send(b"BUSY\r\n")
            endpoint.send(second_answer)
        served = other.serve()
        assert client.line() == b"UP r1\r\n"
        served.send(b"x\r\n")
        assert client.line() == b"x\r\n"


def test_partial_line_and_close_are_relayed(tmp_path: Path) -> None:
    with started_proxy(tmp_path) as running:
        client, endpoint = running.establish()
        with running.stopped():
            endpoint.send(b"whole\r\nhal")
            endpoint.close()
        assert client.line() == b"whole\r\n"
        assert client.line() == b"hal"
        client.close()
        running.logged("side=client reason=endpoint-left")


def test_slow_reader_receives_everything_before_its_migration(tmp_path: Path) -> None:
    # A close half a second after MOVE would discard what the client has not read yet, MOVE included.
    with started_proxy(tmp_path, 2) as running:
        best, _ = ranked(running)
        client = running.open()
        endpoint = best.serve()
        assert client.line() == b"UP r1\r\n"
        endpoint.sock.settimeout(0.5)
        with suppress(TimeoutError):
            while True:  # until all buffers on the way are full
                endpoint.send(b"y" * 3998 + b"\r\n")
        endpoint.sock.settimeout(WAIT_S)
        running.discovery.change(**{best.uid: "DRAINING"})
        with suppress(ConnectionError):
            assert endpoint.sock.recv(1) == b""  # MOVE was sent to the client
        time.sleep(1.2)
        lines = list(iter(client.line, b""))
        assert lines.pop() == b"MOVE\r\n"
        assert set(lines) == {b"y" * 3998 + b"\r\n"}


# ---- SIGTERM ---------------------------------------------------------------------------------


def test_graceful_shutdown_answers_the_accept_queue(tmp_path: Path) -> None:
    # 64 are accepted per turn; the connections behind them would be reset when the listener closes.
    with started_proxy(tmp_path) as running:
        running.terminate()
        running.logged("event=shutdown-started")
        with running.stopped():
            clients = [running.open(1000) for _ in range(200)]
            time.sleep(0.7)  # longer than connections are accepted after the signal
        for client in clients:
            assert client.line()[:4] in (b"BUSY", b"ERR\r")
            client.close()
        assert running.process.wait(WAIT_S) == 0


def test_reload_to_another_address_serves_the_accept_queue_of_the_former_one(tmp_path: Path) -> None:
    with proxy_with_long_timeouts(tmp_path, endpoints=1) as running:
        port = free_port()
        config_text = running.config.read_text().replace(f"127.0.0.1:{running.port}", f"127.0.0.1:{port}")
        running.config.write_text(config_text)
        with running.stopped():
            running.process.send_signal(signal.SIGHUP)
            clients = [
                running.client(REQUEST_LINE.replace(b"77", b"%x" % number) % LONG_DEADLINE_MS)
                for number in range(100, 300)
            ]
        endpoint = running.endpoints[0]
        served = [endpoint.serve() for _ in clients]
        for client in clients:
            assert client.line() == b"UP r1\r\n"
        assert len(served) == len(clients)


@pytest.mark.parametrize("sent_before", [b"", b"OPEN 1 2 c=fe", b"PING\r\n"])
def test_idle_client_gets_busy_at_shutdown_and_its_later_request_is_not_sent(
    tmp_path: Path, sent_before: bytes
) -> None:
    # Without an answer it would be reset at the exit, and a line that arrives at that moment would be lost.
    with started_proxy(tmp_path) as running:
        idle_client = running.client(sent_before)
        if sent_before.endswith(b"\n"):
            assert idle_client.line() == b"PONG\r\n"
        else:
            assert running.alive()
        running.terminate()
        assert idle_client.line() == b"BUSY\r\n"
        assert idle_client.ended() == "fin"
        idle_client.send(REQUEST_LINE % 2000)  # from a client that has not seen the close yet
        idle_client.close()
        assert running.process.wait(WAIT_S) == 0
        running.logged("event=shutdown-finished")
        assert not [line for line in running.passed_lines if "event=attempt-started" in line]


@pytest.mark.parametrize("frontend", ["platform", "channels"])
def test_late_request_on_idle_connection_is_answered_until_exit(tmp_path: Path, frontend: str) -> None:
    with started_proxy(tmp_path, broker_toml=CHANNELS_ENABLED) as running:
        established = running.establish()  # keeps the process running until this connection is migrated
        idle_client: PeerConnection = (
            ChannelsClient(running.channels_port) if frontend == "channels" else running.client()
        )
        assert running.alive()
        running.terminate()
        running.logged("event=shutdown-started")
        if isinstance(idle_client, ChannelsClient):
            idle_client.open(5)  # served, or refused once no more are accepted: either is an answer
            sockets = [running.endpoints[0].sock, idle_client.sock]
            if running.endpoints[0].sock in select.select(sockets, [], [], WAIT_S)[0]:
                served = running.endpoints[0].serve()
                assert idle_client.expect_confirmation(5) >= 0
                assert served
                assert b"move@linnetshift" in idle_client.expect(MessageNumber.CHANNEL_REQUEST, 5)
                idle_client.expect(MessageNumber.CHANNEL_CLOSE, 5)
            else:
                assert idle_client.read()[0] in (MessageNumber.CHANNEL_OPEN_FAILURE, MessageNumber.DISCONNECT)
        else:
            idle_client.send(REQUEST_LINE % 2000)
            served = running.endpoints[0].serve()
            assert idle_client.line() == b"UP r1\r\n"
            assert served
            assert idle_client.line() == b"MOVE\r\n"
        assert established[0].line() == b"MOVE\r\n"
        for client in (established[0], idle_client):
            client.close()
        assert running.process.wait(WAIT_S) == 0


def test_last_answer_is_delivered_despite_unread_input(tmp_path: Path) -> None:
    with started_proxy(tmp_path) as running:
        client, endpoint = running.establish()
        running.terminate()
        running.logged("event=shutdown-started")
        with running.stopped():
            client.send(b"half a line")
            endpoint.send(b"so is this")
            time.sleep(3.5)  # both the migration time and the exit deadline have passed
        assert client.line() == b"MOVE\r\n"
        assert client.ended() == "fin"
        client.close()
        assert running.process.wait(WAIT_S) == 0


def test_answer_that_arrives_with_shutdown_signal_is_relayed(tmp_path: Path) -> None:
    # Both are handled in one turn: the client is served, and then migrated like any other.
    with proxy_with_long_timeouts(tmp_path) as running:
        best, _ = ranked(running)
        client, endpoint = sent_request(running, best)
        with running.stopped():
            endpoint.send(b"UP r1\r\n")
            running.terminate()
        assert [client.line(), client.line()] == [b"UP r1\r\n", b"MOVE\r\n"]
        assert client.ended() == "fin"
        assert endpoint.line() == b""
        client.close()
        assert running.process.wait(WAIT_S) == 0


def test_each_client_is_answered_while_many_connect_during_shutdown(tmp_path: Path) -> None:
    with proxy_with_long_timeouts(tmp_path) as running:
        best, _ = ranked(running)
        client = running.client(REQUEST_LINE.replace(b"77", b"76") % LONG_DEADLINE_MS)
        served = best.serve()
        assert client.line() == b"UP r1\r\n"
        waiting_client, endpoint = sent_request(running, best)
        running.terminate()
        running.logged("event=shutdown-started")
        clients = [running.client() for _ in range(60)]
        closed_clients = [
            running.client(REQUEST_LINE.replace(b"77", b"%d" % number) % LONG_DEADLINE_MS)
            for number in range(100, 140)
        ]
        for closed_client in closed_clients:
            closed_client.close("reset")
        endpoint.send(b"ERR\r\n")
        # Retried, or rejected: one answer, and no reset.
        with suppress(BlockingIOError):
            best.sock.setblocking(False)
            best.accept().send(b"UP r1\r\n")
        assert waiting_client.line() in (b"UP r1\r\n", b"BUSY 1000\r\n", b"BUSY\r\n", b"ERR\r\n")
        assert client.line() == b"MOVE\r\n"
        assert len(clients) == 60
        assert served
        for open_client in (client, waiting_client, *clients):
            open_client.close()
        assert running.process.wait(WAIT_S) == 0


def test_request_fails_as_possibly_executed_after_late_reset(tmp_path: Path) -> None:
    with proxy_with_long_timeouts(tmp_path, **NOT_IDEMPOTENT) as running:
        best, other = ranked(running)
        client, endpoint = sent_request(running, best)
        established = []
        for number in range(100, 107):  # the reset comes after other requests were served
            client_on_best = running.client(REQUEST_LINE.replace(b"77", b"%d" % number) % LONG_DEADLINE_MS)
            established.append((client_on_best, best.serve()))
            assert client_on_best.line() == b"UP r1\r\n"
        endpoint.close("reset")
        assert client.line() == b"ERR\r\n"
        other.sock.setblocking(False)
        with pytest.raises(BlockingIOError):
            other.accept()
