"""Sessions of the channels frontend that end: each CHANNEL_OPEN is answered before DISCONNECT."""

from __future__ import annotations

import socket
import time
from pathlib import Path
from types import SimpleNamespace

import pytest
from connections import ChannelsClient, PeerConnection
from proxy_harness import CHANNELS_ENABLED, started_proxy
from running_proxy import RunningProxy

from linnetshift.event_loop.connection_limits import ConnectionLimiter
from linnetshift.event_loop.loop import Loop
from linnetshift.frontends.channels.session import Session

# Message numbers of RFC 4250, section 4.1.2, independent of the program's.
DISCONNECT = 1
OPEN_FAILURE = 92
RESOURCE_SHORTAGE = 4
BY_APPLICATION = 11
OPENED_AT_ONCE = 5


def shut_down(running: RunningProxy) -> None:
    """Send SIGTERM and wait until new connections are refused; a connection keeps the process running."""
    running.terminate()
    running.logged("event=shutdown-started")
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        try:
            socket.create_connection(("127.0.0.1", running.channels_port)).close()
        except OSError:
            return
        time.sleep(0.02)
    raise AssertionError("still listens")


def switch_channels_off(running: RunningProxy) -> None:
    running.config.with_name("broker.toml").write_text("")
    running.reload("event=configuration-reloaded")


DRAINS = {"shutdown": shut_down, "reload": switch_channels_off}


@pytest.mark.parametrize("drain", DRAINS)
def test_open_in_a_session_that_rests_is_refused_before_disconnect(tmp_path: Path, drain: str) -> None:
    """Guards against review/10: DISCONNECT was sent first, and the CHANNEL_OPEN got no answer."""
    with started_proxy(tmp_path, broker_toml=CHANNELS_ENABLED) as running:
        client = ChannelsClient(running.channels_port)
        DRAINS[drain](running)
        client.open(5, klass=b"unknown")
        text = client.expect(OPEN_FAILURE, 5, RESOURCE_SHORTAGE)
        assert b"come again after 0 ms" in text
        client.expect(DISCONNECT, BY_APPLICATION)


@pytest.mark.parametrize("drain", DRAINS)
def test_opens_that_do_not_wait_for_each_other_are_all_answered(tmp_path: Path, drain: str) -> None:
    """Guards against DISCONNECT after the first refusal, while further opens are on their way."""
    with started_proxy(tmp_path, broker_toml=CHANNELS_ENABLED) as running:
        client = ChannelsClient(running.channels_port)
        for number in range(2):
            client.open(number)
        served = [running.serve_any() for _ in range(2)]
        confirmed = [client.read() for _ in range(2)]
        assert [kind for kind, _ in confirmed] == [91, 91]
        assert served
        for _, rest in confirmed:
            client.send_message(97, int.from_bytes(rest[4:8], "big"))
        assert [client.read()[0] for _ in range(2)] == [97, 97]
        DRAINS[drain](running)
        for number in range(10, 10 + OPENED_AT_ONCE):
            client.open(number)
            client.expect(OPEN_FAILURE, number, RESOURCE_SHORTAGE)


def test_session_that_rests_is_ended_before_the_process_exits(tmp_path: Path) -> None:
    """Guards against sessions that are cut off without DISCONNECT at the end of a shutdown."""
    with started_proxy(tmp_path, broker_toml=CHANNELS_ENABLED) as running:
        client = ChannelsClient(running.channels_port)
        running.terminate()
        client.expect(DISCONNECT, BY_APPLICATION)
        client.close()
        assert running.process.wait(10) == 0


def test_open_of_an_evicted_session_is_refused_before_its_end() -> None:
    """Guards against a session that is closed, to make room, over a CHANNEL_OPEN that has arrived."""
    loop = Loop()
    frontend = SimpleNamespace(
        loop=loop,
        broker=None,
        names=None,
        sessions=set(),
        is_draining=False,
        connection_limiter=ConnectionLimiter(loop, 0),
    )
    proxy_end, client_end = socket.socketpair()
    session = Session(frontend, proxy_end, ("127.0.0.1", 1))  # type: ignore[arg-type]
    session.start(session.run())
    client_end.send(b"SSH-2.0-terminal\r\n")
    loop.run_once()
    loop.run_once()
    client = ChannelsClient.on_connection(PeerConnection(client_end))
    client.open(5)
    session.evict()
    client.expect(OPEN_FAILURE, 5, RESOURCE_SHORTAGE)
    assert client.sock.recv(1) == b""
