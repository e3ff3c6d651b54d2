"""Runs many short concurrent connections from one thread, and reports how each ended."""

from __future__ import annotations

import errno
import selectors
import socket
import struct
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Literal

LINGER_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER with a timeout of zero: close sends a reset."""

MAX_KEPT_BYTES = 1 << 16
"""Received bytes that are kept per connection; later ones are discarded."""

READ_BYTES = 1 << 16
"""Upper bound of the bytes that are read at once."""

POLL_S = 0.05
"""Longest wait for an event, in seconds; bounds how late a time limit is noticed."""

Ending = Literal["wait", "half", "fin", "reset"]
"""Action after all is sent: wait for the other side, half-close, or close with a FIN or a reset."""


class ConnectionEnd(StrEnum):
    """How a connection ended."""

    FIN = "fin"
    RESET = "reset"
    CLOSED_HERE = "closed-here"
    REFUSED = "refused"
    TIMED_OUT = "timed-out"


@dataclass(slots=True)
class PeerInput:
    """Pieces that a peer sends, each in its own turn of the loop, and how it ends the connection.

    With `until`, it closes once one of these texts has been received.
    """

    port: int
    pieces: tuple[bytes, ...]
    ending: Ending = "wait"
    origin: str = ""
    """Name of its generator, for reports."""

    until: tuple[bytes, ...] = ()


@dataclass(slots=True)
class ConnectionResult:
    """How the connection of an input ended, what it received, and its duration in seconds."""

    input: PeerInput
    ended: ConnectionEnd
    received: bytes
    duration_s: float


@dataclass(slots=True, eq=False)
class Connection:
    """An open connection, and its unsent pieces."""

    input: PeerInput
    sock: socket.socket
    began_s: float
    unsent: list[bytes] = field(default_factory=list)
    received: bytearray = field(default_factory=bytearray)


def run_connections(
    inputs: Iterable[PeerInput], max_open: int = 50, limit_s: float = 10.0
) -> Iterator[ConnectionResult]:
    """Run a connection for each input, at most `max_open` at a time; yields each result as it ends.

    Connections time out after `limit_s`, which bounds the run. Raises OSError if one cannot be opened.
    """
    source = iter(inputs)
    has_more = True
    connections: set[Connection] = set()
    with selectors.EpollSelector() as selector:
        try:
            while has_more or connections:
                while has_more and len(connections) < max_open:
                    peer_input = next(source, None)
                    if peer_input is None:
                        has_more = False
                        break
                    connections.add(open_connection(peer_input, selector))
                for connection, ended in ended_connections(connections, selector, limit_s):
                    connections.discard(connection)
                    yield close_connection(connection, selector, ended)
        finally:
            for connection in connections:
                connection.sock.close()


def ended_connections(
    connections: set[Connection], selector: selectors.BaseSelector, limit_s: float
) -> Iterator[tuple[Connection, ConnectionEnd]]:
    """Wait for events and handle them; yields connections that ended or timed out."""
    now_s = time.monotonic()
    for key, events in selector.select(POLL_S):
        ended = handle_events(key.data, events, selector)
        if ended is not None:
            yield key.data, ended
    for connection in [each for each in connections if now_s - each.began_s > limit_s]:
        yield connection, ConnectionEnd.TIMED_OUT


def open_connection(peer_input: PeerInput, selector: selectors.BaseSelector) -> Connection:
    """Start a non-blocking connect; raises OSError."""
    sock = socket.socket()
    sock.setblocking(False)
    code = sock.connect_ex(("127.0.0.1", peer_input.port))
    if code not in (0, errno.EINPROGRESS):
        raise OSError(code, "cannot connect")
    unsent = [piece for piece in peer_input.pieces if piece]
    connection = Connection(peer_input, sock, time.monotonic(), unsent)
    selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, connection)
    return connection


def handle_events(
    connection: Connection, events: int, selector: selectors.BaseSelector
) -> ConnectionEnd | None:
    """Send and receive once; returns how the connection ended, or None."""
    if events & selectors.EVENT_WRITE:
        try:
            ended = send_piece(connection, selector)
        except BlockingIOError:
            ended = None
        except ConnectionRefusedError:
            ended = ConnectionEnd.REFUSED
        except OSError:  # closed by the other side: its answer is read below
            ended = None
            connection.unsent.clear()
            selector.modify(connection.sock, selectors.EVENT_READ, connection)
        if ended is not None:
            return ended
    if events & selectors.EVENT_READ:
        return receive(connection)
    return None


def send_piece(connection: Connection, selector: selectors.BaseSelector) -> ConnectionEnd | None:
    """Send from the first unsent piece; once all is sent, apply the input's ending. Raises OSError."""
    unsent = connection.unsent
    if unsent:
        sent = connection.sock.send(unsent[0])
        unsent[0] = unsent[0][sent:]
        if not unsent[0]:
            del unsent[0]
    if unsent:
        return None
    match connection.input.ending:
        case "fin" | "reset":
            return ConnectionEnd.CLOSED_HERE
        case "half":
            connection.sock.shutdown(socket.SHUT_WR)
    selector.modify(connection.sock, selectors.EVENT_READ, connection)
    return None


def receive(connection: Connection) -> ConnectionEnd | None:
    """Receive available data; returns how the connection ended, or None."""
    try:
        data = connection.sock.recv(READ_BYTES)
    except BlockingIOError:
        return None
    except OSError:
        return ConnectionEnd.RESET
    if not data:
        return ConnectionEnd.FIN
    connection.received += data[: MAX_KEPT_BYTES - len(connection.received)]
    if any(marker in connection.received for marker in connection.input.until):
        return ConnectionEnd.CLOSED_HERE
    return None


def close_connection(
    connection: Connection, selector: selectors.BaseSelector, ended: ConnectionEnd
) -> ConnectionResult:
    """Close the socket, with a reset if the input ends with one; returns the result."""
    selector.unregister(connection.sock)
    if connection.input.ending == "reset" and ended is ConnectionEnd.CLOSED_HERE:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    connection.sock.close()
    duration_s = time.monotonic() - connection.began_s
    return ConnectionResult(connection.input, ended, bytes(connection.received), duration_s)
