"""Turns of one connection: a peer that sends at full speed costs others a short turn, not a whole buffer."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest
from connections import ssh_packet, ssh_string
from proxy_harness import started_proxy

from linnetshift.event_loop.connection_limits import ConnectionLimiter
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.stream import Stream
from linnetshift.frontends.channels.session import MAX_PACKETS_PER_TURN, PACKETS_PER_OPEN, Session
from linnetshift.frontends.line_protocol.client_connection import ClientConnection
from linnetshift.frontends.line_protocol.message_relay import MAX_LINES_PER_TURN, MessageRelay
from linnetshift.frontends.line_protocol.messages import NextTurn
from linnetshift.frontends.line_protocol.request_reader import MAX_QUERIES_PER_TURN

SENT = 200
GLOBAL_REQUEST = ssh_packet(b"\x50" + ssh_string(b"x") + b"\1")
OPEN_OF_UNKNOWN_TYPE = ssh_packet(b"\x5a" + ssh_string(b"x") + bytes(12))


class Answers:
    """One connection of a frontend without a broker; counts the answers of each turn of the loop."""

    def __init__(self, connection_type: type[Session] | type[ClientConnection]) -> None:
        self.loop = Loop()
        frontend: Any = SimpleNamespace(
            loop=self.loop,
            broker=None,
            names=None,
            sessions=set(),
            clients=set(),
            is_draining=False,
            connection_limiter=ConnectionLimiter(self.loop, 0),
            answer_query=lambda _: b"PONG\r\n",
        )
        proxy_end, self.client_end = socket.socketpair()
        self.connection = connection_type(frontend, proxy_end, ("127.0.0.1", 1))
        self.connection.start(self.connection.run())

    def turn(self) -> bytes:
        """Run one turn; returns what was answered in it."""
        self.loop.call_later(0, lambda: None)  # so that the turn does not wait
        self.loop.run_once()
        try:
            return self.client_end.recv(1 << 20, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return b""


def session_with_input(sent: bytes) -> Answers:
    answers = Answers(Session)
    answers.client_end.send(b"SSH-2.0-terminal\r\n")
    answers.turn()
    answers.turn()
    answers.client_end.sendall(sent * SENT)
    return answers


def line_client_with_input(sent: bytes) -> Answers:
    answers = Answers(ClientConnection)
    answers.client_end.sendall(sent * SENT)
    return answers


@pytest.mark.parametrize(
    ("connect", "sent", "answer_bytes", "most"),
    [
        (session_with_input, GLOBAL_REQUEST, len(ssh_packet(b"\x52")), MAX_PACKETS_PER_TURN),
        (line_client_with_input, b"PING\r\n", len(b"PONG\r\n"), MAX_QUERIES_PER_TURN),
    ],
    ids=["channels", "line protocol"],
)
def test_one_turn_answers_a_bounded_number_of_requests(
    connect: Callable[[bytes], Answers], sent: bytes, answer_bytes: int, most: int
) -> None:
    """Guards against clients that wait while another one's whole buffer of requests is answered."""
    answers = connect(sent)
    answered = [len(answers.turn()) // answer_bytes for _ in range(3 * SENT)]
    assert sum(answered) == SENT
    assert max(answered) <= most


def test_one_turn_opens_few_channels() -> None:
    """Guards against other clients that wait while one session opens a buffer full of channels."""
    answers = session_with_input(OPEN_OF_UNKNOWN_TYPE)
    refused = [answers.turn().count(b"invocation@linnetshift") for _ in range(3 * SENT)]
    assert sum(refused) == SENT
    assert max(refused) <= MAX_PACKETS_PER_TURN // PACKETS_PER_OPEN


def test_queries_that_wait_for_a_turn_are_answered_after_the_client_ended_its_side() -> None:
    """Guards against queries that are read and not answered, as their client has sent all that it wants."""
    answers = line_client_with_input(b"PING\r\n")
    answers.client_end.shutdown(socket.SHUT_WR)
    received = b"".join(answers.turn() for _ in range(3 * SENT))
    assert received == b"PONG\r\n" * SENT


def test_overlong_line_that_comes_with_the_answer_ends_the_connection(tmp_path: Path) -> None:
    """Guards against one client that kept the loop busy, as its connection stayed open and readable."""
    with started_proxy(tmp_path) as running:
        client = running.client(b"OPEN 1 2 c=feed,t=acme,d=2000,x=%b\r\n" % (b"y" * 1200))
        endpoint = running.endpoints[0].accept()
        endpoint.line()
        with running.stopped():
            endpoint.send(b"UP r1\r\n")
            time.sleep(0.05)
            client.send(b"z" * 5000)
        running.logged("side=client reason=bad-line")
        before_s = running.cpu_s()
        time.sleep(0.5)
        assert running.cpu_s() - before_s < 0.25


def test_one_turn_relays_a_bounded_number_of_lines() -> None:
    """Guards against clients that wait while another one's whole buffer of short lines is relayed."""
    loop = Loop()
    proxy_end, client_end = socket.socketpair()
    stream = Stream(loop, proxy_end, lambda _: None)
    relayed: list[bytes] = []
    upstream = SimpleNamespace(is_congested=False, deliver=lambda line: relayed.append(bytes(line)))
    connection: Any = SimpleNamespace(stream=stream, broker=None, set_timer=Mock())
    request: Any = SimpleNamespace(attempt=SimpleNamespace(upstream=upstream))
    client_end.sendall(b"1\n" * 5 * MAX_LINES_PER_TURN)
    stream.fill()
    MessageRelay(connection, request).run().send(None)
    assert len(relayed) == MAX_LINES_PER_TURN
    connection.set_timer.assert_called_once_with(0, NextTurn)
    assert not stream.reading


def test_lines_that_wait_for_a_turn_are_all_relayed(tmp_path: Path) -> None:
    """Guards against lines that are lost, or left unsent, once they wait for the next turn."""
    with started_proxy(tmp_path) as running:
        client, endpoint = running.establish()
        lines = b"".join(b"%d\r\n" % number for number in range(20 * MAX_LINES_PER_TURN))
        client.send(lines)
        assert endpoint.read_exactly(len(lines)) == lines
        client.send(lines)
        client.sock.shutdown(socket.SHUT_WR)
        assert endpoint.read_exactly(len(lines)) == lines
        assert endpoint.read_exactly(1) == b""
