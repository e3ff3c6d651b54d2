"""Closing and pausing an `Acceptor`, and what happens to queued connections and inherited sockets."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Iterator

import pytest

from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import Loop
from linnetshift.frontends.listener import Acceptor

ANY_PORT = ("127.0.0.1", 0)


@pytest.fixture
def accepted() -> Iterator[list[socket.socket]]:
    sockets: list[socket.socket] = []
    yield sockets
    for sock in sockets:
        sock.close()


@pytest.fixture
def acceptor(accepted: list[socket.socket]) -> Iterator[Acceptor]:
    open_acceptor = Acceptor(
        Loop(), ANY_PORT, lambda sock, _peer: accepted.append(sock), free_descriptor=lambda: False
    )
    yield open_acceptor
    open_acceptor.close()


def connect(acceptor: Acceptor) -> socket.socket:
    return socket.create_connection(acceptor.listener.getsockname())


def test_failed_bind_leaves_no_descriptor_open(acceptor: Acceptor) -> None:
    address: Address = acceptor.listener.getsockname()
    loop = Loop()
    open_descriptors = len(os.listdir("/proc/self/fd"))
    with pytest.raises(OSError, match="in use") as raised:  # `raised` keeps the error's frames alive
        Acceptor(loop, address, lambda _sock, _peer: None)
    assert raised.value.errno == errno.EADDRINUSE
    assert len(os.listdir("/proc/self/fd")) == open_descriptors


def test_close_accepts_queued_connections_first(acceptor: Acceptor, accepted: list[socket.socket]) -> None:
    # To their clients, queued connections are established: closing without accepting would reset them.
    with connect(acceptor), connect(acceptor):
        acceptor.close()
        assert len(accepted) == 2
        assert not acceptor.is_open
        acceptor.close()


def test_close_of_a_paused_acceptor_accepts_nothing(
    acceptor: Acceptor, accepted: list[socket.socket]
) -> None:
    acceptor.set_paused(True)
    with connect(acceptor):
        acceptor.close()
    assert accepted == []


def test_close_of_an_inherited_socket_leaves_it_open_elsewhere(accepted: list[socket.socket]) -> None:
    with socket.create_server(ANY_PORT) as shared:
        acceptor = Acceptor(Loop(), ANY_PORT, lambda sock, _peer: accepted.append(sock), shared.dup())
        with connect(acceptor):
            acceptor.close()
            assert accepted == []
            shared.accept()[0].close()


def test_paused_acceptor_accepts_queued_connections_after_resuming(
    acceptor: Acceptor, accepted: list[socket.socket]
) -> None:
    acceptor.set_paused(True)
    with connect(acceptor):
        assert acceptor.loop.handlers == {}
        acceptor.set_paused(False)
        acceptor.loop.run_once()
        assert len(accepted) == 1
