"""Plays many short connections at once from one thread, and tells how each one ended."""

from __future__ import annotations

import errno
import selectors
import socket
import struct
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Literal

RESET = struct.pack("ii", 1, 0)
KEPT = 1 << 16  # bytes of what comes back that are kept for each connection

Ending = Literal["wait", "half", "fin", "reset"]


@dataclass(slots=True)
class Input:
    """What one peer does: send the pieces, a turn of the loop apart, then end in its way.

    `wait` lets the other side end; `half` ends its own sending first; `fin` and `reset` close at once. With
    `until`, it closes once one of these has come back.
    """

    port: int
    pieces: tuple[bytes, ...]
    ending: Ending = "wait"
    origin: str = ""  # what made it, for reports
    until: tuple[bytes, ...] = ()


@dataclass(slots=True)
class Result:
    """How it went. `ended` is `fin`, `reset`, `ours` (closed here), `refused` or `late` (never ended)."""

    input: Input
    ended: str
    received: bytes
    seconds: float


@dataclass(slots=True, eq=False)
class Peer:
    input: Input
    sock: socket.socket
    began: float
    left: list[bytes] = field(default_factory=list)
    received: bytearray = field(default_factory=bytearray)


def play(inputs: Iterable[Input], at_once: int = 50, limit_s: float = 10.0) -> Iterator[Result]:
    """Each result as it comes. No connection lives longer than `limit_s`, so the run ends by itself."""
    source, waiting = iter(inputs), True
    selector = selectors.EpollSelector()
    peers: set[Peer] = set()
    try:
        while waiting or peers:
            while waiting and len(peers) < at_once:
                made = next(source, None)
                if made is None:
                    waiting = False
                    break
                peer = dial(made)
                peers.add(peer)
                selector.register(peer.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, peer)
            now = time.monotonic()
            for key, mask in selector.select(0.05):
                peer = key.data
                ended = serve(peer, mask, selector)
                if ended:
                    peers.discard(peer)
                    yield close(peer, selector, ended)
            for peer in [p for p in peers if now - p.began > limit_s]:
                peers.discard(peer)
                yield close(peer, selector, "late")
    finally:
        for peer in peers:
            peer.sock.close()
        selector.close()


def dial(made: Input) -> Peer:
    sock = socket.socket()
    sock.setblocking(False)
    code = sock.connect_ex(("127.0.0.1", made.port))
    if code not in (0, errno.EINPROGRESS):
        raise OSError(code, "cannot dial")
    return Peer(made, sock, time.monotonic(), [piece for piece in made.pieces if piece])


def serve(peer: Peer, mask: int, selector: selectors.BaseSelector) -> str:
    """One turn of one peer; how it ended, if it has."""
    sock = peer.sock
    if mask & selectors.EVENT_WRITE:
        try:
            if peer.left:
                sent = sock.send(peer.left[0])
                peer.left[0] = peer.left[0][sent:]
                if not peer.left[0]:
                    del peer.left[0]
            if not peer.left:
                match peer.input.ending:
                    case "fin" | "reset":
                        return "ours"
                    case "half":
                        sock.shutdown(socket.SHUT_WR)
                selector.modify(sock, selectors.EVENT_READ, peer)
        except BlockingIOError:
            pass
        except ConnectionRefusedError:
            return "refused"
        except OSError:  # it was ended while we still sent: what was answered is read below
            peer.left.clear()
            selector.modify(sock, selectors.EVENT_READ, peer)
    if mask & selectors.EVENT_READ:
        try:
            got = sock.recv(65536)
        except BlockingIOError:
            return ""
        except OSError:
            return "reset"
        if not got:
            return "fin"
        peer.received += got[: KEPT - len(peer.received)]
        if any(mark in peer.received for mark in peer.input.until):
            return "ours"
    return ""


def close(peer: Peer, selector: selectors.BaseSelector, ended: str) -> Result:
    selector.unregister(peer.sock)
    if peer.input.ending == "reset" and ended == "ours":
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    peer.sock.close()
    return Result(peer.input, ended, bytes(peer.received), time.monotonic() - peer.began)
