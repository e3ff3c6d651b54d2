"""The line length limit of a stream, and detection of the peer's end without reading."""

from __future__ import annotations

import select
import socket
from collections.abc import Iterator

import pytest
from connections import RESET, WAIT_S

from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.stream import MAX_LINE_BYTES, LineTooLongError, Stream


class StreamWithPeer(Stream):
    """A stream on a TCP connection, and the peer's socket."""

    def __init__(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.peer = socket.create_connection(listener.getsockname(), WAIT_S)
            own_socket, _ = listener.accept()
        super().__init__(Loop(), own_socket, lambda _mask: None)

    def wait_for_input(self) -> None:
        """Wait until bytes or the peer's end have arrived, without reading."""
        assert select.select([self.sock], [], [], WAIT_S)[0]

    def wait_for_peer_end(self) -> None:
        """Wait until the peer's FIN or reset has arrived, also behind unread bytes."""
        poller = select.poll()
        poller.register(self.sock, select.POLLRDHUP)
        assert poller.poll(WAIT_S * 1000)


@pytest.fixture
def stream() -> Iterator[StreamWithPeer]:
    stream_with_peer = StreamWithPeer()
    yield stream_with_peer
    stream_with_peer.close()
    stream_with_peer.peer.close()


def receive(stream: StreamWithPeer, data: bytes) -> None:
    """Send the data from the peer, and `fill` until the stream has read all of it."""
    stream.peer.sendall(data)
    expected = stream.stop - stream.start + len(data)
    while stream.stop - stream.start < expected:
        stream.wait_for_input()
        assert stream.fill() is None


def test_longest_line_is_returned_with_its_end(stream: StreamWithPeer) -> None:
    line = b"x" * (MAX_LINE_BYTES - 1) + b"\n"
    receive(stream, line + b"rest")
    assert bytes(stream.line() or b"") == line
    assert stream.line() is None
    assert bytes(stream.rest()) == b"rest"


def test_line_over_the_limit_raises(stream: StreamWithPeer) -> None:
    receive(stream, b"x" * MAX_LINE_BYTES + b"\n")
    with pytest.raises(LineTooLongError):
        stream.line()


def test_unfinished_line_raises_once_it_is_over_the_limit(stream: StreamWithPeer) -> None:
    receive(stream, b"first\n" + b"x" * MAX_LINE_BYTES)
    assert bytes(stream.line() or b"") == b"first\n"
    assert stream.line() is None  # at the limit: the next byte may be its end
    receive(stream, b"x")
    with pytest.raises(LineTooLongError):
        stream.line()


def test_silent_peer_is_present_with_nothing_unread(stream: StreamWithPeer) -> None:
    assert stream.is_present
    assert stream.has_nothing_unread


def test_peer_with_unread_bytes_is_present(stream: StreamWithPeer) -> None:
    stream.peer.sendall(b"x")
    stream.wait_for_input()
    assert stream.is_present
    assert not stream.has_nothing_unread


@pytest.mark.parametrize("unread", [b"", b"x"])
def test_peer_that_has_ended_is_absent_even_behind_unread_bytes(
    stream: StreamWithPeer, unread: bytes
) -> None:
    stream.peer.sendall(unread)
    stream.peer.shutdown(socket.SHUT_WR)
    stream.wait_for_peer_end()
    assert not stream.is_present
    assert not stream.has_nothing_unread


def test_peer_that_has_reset_is_absent(stream: StreamWithPeer) -> None:
    stream.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    stream.peer.close()
    stream.wait_for_input()
    assert not stream.is_present
    assert not stream.has_nothing_unread


def test_peer_of_a_closed_stream_is_absent(stream: StreamWithPeer) -> None:
    stream.close()
    assert not stream.is_present
    assert not stream.has_nothing_unread


def test_peer_is_absent_once_a_write_has_failed(stream: StreamWithPeer) -> None:
    stream.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    stream.peer.close()
    stream.wait_for_input()
    stream.send(b"x")
    assert stream.broken
    assert not stream.is_present
