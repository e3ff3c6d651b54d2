"""A listening socket: who closes it, and what happens to connections in its queue."""

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
        Loop(), ANY_PORT, lambda sock, _peer: accepted.append(sock), make_room=lambda: False
    )
    yield open_acceptor
    open_acceptor.close()


def connect(acceptor: Acceptor) -> socket.socket:
    return socket.create_connection(acceptor.listener.getsockname())


def test_failed_bind_leaves_no_descriptor_open(acceptor: Acceptor) -> None:
    address: Address = acceptor.listener.getsockname()
    loop = Loop()
    before = len(os.listdir("/proc/self/fd"))
    with pytest.raises(OSError, match="in use") as raised:  # the error is kept, and its frames with it
        Acceptor(loop, address, lambda _sock, _peer: None)
    assert raised.value.errno == errno.EADDRINUSE
    assert len(os.listdir("/proc/self/fd")) == before


def test_close_accepts_the_queue_first(acceptor: Acceptor, accepted: list[socket.socket]) -> None:
    # They count as connected for their clients: a close would reset them.
    with connect(acceptor), connect(acceptor):
        acceptor.close()
        assert len(accepted) == 2
        assert not acceptor.is_open
        acceptor.close()


def test_close_of_a_paused_acceptor_leaves_the_queue(
    acceptor: Acceptor, accepted: list[socket.socket]
) -> None:
    acceptor.set_paused(True)
    with connect(acceptor):
        acceptor.close()
    assert accepted == []


def test_inherited_socket_is_closed_here_alone(accepted: list[socket.socket]) -> None:
    with socket.create_server(ANY_PORT) as shared:
        acceptor = Acceptor(Loop(), ANY_PORT, lambda sock, _peer: accepted.append(sock), shared.dup())
        with connect(acceptor):
            acceptor.close()
            assert accepted == []
            shared.accept()[0].close()


def test_pause_leaves_connections_until_it_ends(acceptor: Acceptor, accepted: list[socket.socket]) -> None:
    acceptor.set_paused(True)
    with connect(acceptor):
        assert acceptor.loop.handlers == {}
        acceptor.set_paused(False)
        acceptor.loop.run_once()
        assert len(accepted) == 1
