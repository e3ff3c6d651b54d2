"""A nonblocking TCP socket with one bounded buffer each way, read as lines that are slices of it."""

from __future__ import annotations

import select
import socket
import struct
from collections.abc import Callable, Iterator
from enum import Enum

from linnetshift.event_loop.loop import Loop

# A peer that is gone without a word: unanswered keep-alives, or data left unacknowledged, end the connection.
HALF_OPEN = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 15),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 20_000),
)
CLOSE_WAIT = 8  # the state of a TCP connection whose peer has ended its sending
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_LINE = 4096
SMALL = 1024  # bytes that a stream reads into until there is more at once: most never say much
NOTHING = memoryview(b"")
NOWHERE = bytearray(1 << 20)  # never written: the kernel throws away what is read with MSG_TRUNC


class End(Enum):
    """How a peer ended its side: the other side is ended the same way."""

    FIN = "fin"
    RESET = "reset"


class LineTooLong(ValueError):
    """A line longer than the protocol allows."""


def unheard(_mask: int) -> None:
    """In place of the callback of a stream that is closed."""


class Stream:
    """What is read stays in a bounded buffer until the next `fill`; what cannot be written yet is copied.

    The buffer starts small and has its full size once a read has filled it. A stream that is closed holds
    neither buffer nor callback: whoever keeps it keeps nothing else. Slices given out before stay whole.

    Whoever feeds `send` stops reading its own peer while `is_congested`, so neither buffer outgrows a few
    lines.
    """

    def __init__(
        self, loop: Loop, sock: socket.socket, ready: Callable[[int], None], size: int = 2 * MAX_LINE
    ) -> None:
        self.loop, self.sock, self.ready = loop, sock, ready
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for level, option, value in HALF_OPEN:
                sock.setsockopt(level, option, value)
        self.fd = sock.fileno()
        self.size = size
        self.buffer = bytearray(min(SMALL, size))
        self.view = memoryview(self.buffer)
        self.start = self.stop = 0
        self.out = bytearray()
        self.reading = True
        self.connecting = False
        self.broken = False  # a write found the peer gone
        self.ending = False  # nothing more will be sent
        self.closed = False
        self.interest = 0
        loop.streams += 1

    @property
    def is_congested(self) -> bool:
        return bool(self.out)

    def arm(self) -> None:
        """Tell epoll what is wanted now; with nothing wanted, even a hang-up must not spin the loop."""
        if self.closed:
            return
        mask = (select.EPOLLIN if self.reading and not self.connecting else 0) | (
            select.EPOLLOUT if (self.out and not self.broken) or self.connecting else 0
        )
        if mask != self.interest:
            self.interest = mask
            if mask:
                self.loop.watch(self.fd, mask, self.ready)
            else:
                self.loop.unwatch(self.fd)

    def want(self, reading: bool) -> None:
        self.reading = reading
        self.arm()

    # ---- reading ----------------------------------------------------------------------------

    def fill(self) -> End | None:
        """Read once; how the peer ended, if it did. Slices given out before are void after this."""
        if self.closed:
            return End.RESET
        kept = self.stop - self.start
        if self.stop == len(self.view) < self.size:  # the read before filled it: there is more than a little
            grown = bytearray(self.size)
            grown[:kept] = self.view[self.start : self.stop]
            self.buffer, self.view = grown, memoryview(grown)
        elif self.start:
            self.view[:kept] = self.view[self.start : self.stop]
        self.start, self.stop = 0, kept
        if self.stop == len(self.view):
            return None
        try:
            got = self.sock.recv_into(self.view[self.stop :])
        except BlockingIOError:
            return None
        except OSError:
            return End.RESET
        if not got:
            return End.FIN
        self.stop += got
        return None

    @property
    def is_present(self) -> bool:
        """Whether the peer's end has not come yet, for who must know it before it is read.

        Where it lies behind bytes that nobody has read, only the connection's state tells of it.
        """
        unread = self.unread()
        if not unread:
            return unread is None
        try:
            return self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != CLOSE_WAIT
        except OSError:
            return False

    @property
    def has_nothing_unread(self) -> bool:
        """Whether the peer is there and has said nothing more: behind what it said its end may lie."""
        return self.unread() is None

    def unread(self) -> bool | None:
        """Whether bytes wait to be read; None where there is nothing to read, not even an end."""
        if self.closed or self.broken:
            return False
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return None
        except OSError:
            return False

    def drain(self) -> int:
        """Read once and let it go; how much there was, -1 once the peer has ended."""
        self.start = self.stop = 0
        try:
            return self.sock.recv_into(NOWHERE, 0, socket.MSG_TRUNC) or -1
        except BlockingIOError:
            return 0
        except OSError:
            return -1

    def take(self, size: int) -> memoryview | None:
        """The next `size` bytes, once they are there."""
        if self.stop - self.start < size:
            return None
        self.start += size
        return self.view[self.start - size : self.start]

    def line(self) -> memoryview | None:
        """The next whole line with its end, once it is there."""
        size = self.buffer.find(b"\n", self.start, self.stop) + 1 - self.start
        if max(size, self.stop - self.start if size <= 0 else 0) > MAX_LINE:
            raise LineTooLong
        return self.take(size) if size > 0 else None

    def lines(self) -> Iterator[memoryview]:
        while (line := self.line()) is not None:
            yield line

    def rest(self) -> memoryview:
        """What came without the end of a line."""
        self.start, at = self.stop, self.start
        return self.view[at : self.stop]

    # ---- writing ----------------------------------------------------------------------------

    def send(self, data: memoryview | bytes) -> None:
        """Write at once what the socket takes and keep a copy of the rest."""
        if self.broken or self.closed or self.ending:
            return
        sent = 0 if self.out else self._write(data)
        if sent < len(data) and not self.broken:
            self.out += data[sent:]
            self.arm()

    def flush(self) -> None:
        if self.out:
            del self.out[: self._write(self.out)]
        if self.broken:
            self.out.clear()
        if not self.out and self.ending:
            self._shut()
        self.arm()

    def _write(self, data: memoryview | bytes | bytearray) -> int:
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            self.broken = True
            return 0

    # ---- ending -----------------------------------------------------------------------------

    def finish(self) -> None:
        """End the sending side once everything is written; the peer sees a plain end."""
        self.ending = True
        if not self.out:
            self._shut()

    def _shut(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.broken = True

    def close(self, how: End = End.FIN) -> None:
        if self.closed:
            return
        self.closed = True
        self.loop.streams -= 1
        self.loop.unwatch(self.fd)
        if how is End.RESET:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.sock.close()
        self.ready = unheard
        self.buffer, self.out = bytearray(), bytearray()
        self.view, self.start, self.stop = NOTHING, 0, 0
