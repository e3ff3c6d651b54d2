"""Reservation of ports for programs that are started later."""

from __future__ import annotations

import random
import socket
from itertools import chain

import pytest

from rig.free_port import MAX_RESERVATIONS, free_port


def draw_first(monkeypatch: pytest.MonkeyPatch, *ports: int) -> None:
    """Make the next calls draw these ports first, then random ones."""
    generator = random.Random(1)
    drawn = chain(ports, iter(lambda: generator.randrange(12_000, 32_000), None))
    monkeypatch.setattr(random.SystemRandom, "randrange", lambda *_: next(drawn))


def test_reserved_port_is_not_returned_again(monkeypatch: pytest.MonkeyPatch) -> None:
    # Without reservations, two of the some hundred ports of a rig run were sometimes equal: a process ended.
    first, second = free_port(), free_port()
    draw_first(monkeypatch, first, second)
    assert free_port() not in (first, second)


def test_port_whose_reservation_was_released_is_not_returned_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against rig runs of over 256 ports, in which a process could not listen at its port."""
    first = free_port()
    for _ in range(MAX_RESERVATIONS):
        free_port()
    draw_first(monkeypatch, first)
    assert free_port() != first


def test_oldest_reservation_is_released_beyond_the_maximum() -> None:
    first = free_port()
    for _ in range(MAX_RESERVATIONS):
        free_port()
    with socket.socket() as other:
        other.bind(("127.0.0.1", first))


def test_port_in_use_is_not_returned(monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_reserved_port_refuses_connections_until_a_listener_is_bound() -> None:
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", free_port()))
