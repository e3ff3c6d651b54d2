"""Ports that are given to programs started later."""

from __future__ import annotations

import random
import socket
from itertools import chain

import pytest

from rig.free_port import MAX_RESERVATIONS, free_port


def draw_first(monkeypatch: pytest.MonkeyPatch, *ports: int) -> None:
    """Have the next calls draw these ports, and then others."""
    generator = random.Random(1)
    drawn = chain(ports, iter(lambda: generator.randrange(12_000, 32_000), None))
    monkeypatch.setattr(random.SystemRandom, "randrange", lambda *_: next(drawn))


def test_port_is_given_once_while_it_is_reserved(monkeypatch: pytest.MonkeyPatch) -> None:
    # Two of the some hundred ports of a rig run were the same now and then, and a process ended.
    first, second = free_port(), free_port()
    draw_first(monkeypatch, first, second)
    assert free_port() not in (first, second)


def test_oldest_reservation_ends_once_there_are_too_many() -> None:
    first = free_port()
    for _ in range(MAX_RESERVATIONS):
        free_port()
    with socket.socket() as other:
        other.bind(("127.0.0.1", first))


def test_port_in_use_is_not_given(monkeypatch: pytest.MonkeyPatch) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        in_use = server.getsockname()[1]
        draw_first(monkeypatch, in_use)
        assert free_port() != in_use


def test_reserved_port_can_be_listened_on_and_connected_to() -> None:
    port = free_port()
    with (
        socket.create_server(("127.0.0.1", port)) as server,
        socket.create_connection(("127.0.0.1", port)) as client,
    ):
        accepted, _ = server.accept()
        with accepted:
            client.send(b"x")
            assert accepted.recv(1) == b"x"


def test_reserved_port_refuses_connections_until_somebody_listens() -> None:
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", free_port()))
