"""A nonblocking stream socket with a bounded read buffer and a buffer of unsent data; reads lines."""

from __future__ import annotations

import select
import socket
import struct
from collections.abc import Callable, Iterator
from enum import Enum

from linnetshift.event_loop.loop import Loop

# A peer can disappear without FIN or RST (power, cable, a dropped NAT entry). The kernel then ends the
# connection: when keep-alive probes on an idle connection get no answer, or sent data is not acknowledged.
# In both cases the user timeout takes precedence over the number of probes (tcp(7)).
KEEPALIVE_IDLE_S = 15
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_TIMEOUT_MS = 20_000
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
)
# The first byte of TCP_INFO is the state; in CLOSE_WAIT (linux/tcp_states.h) the peer has sent its FIN.
TCP_STATE_BYTES = 1
TCP_STATE_CLOSE_WAIT = 8
# SO_LINGER, on with 0 s: close drops unsent data and sends RST instead of FIN.
LINGER_ZERO = struct.pack("ii", 1, 0)
# The longest line of the protocol, line end included.
MAX_LINE_BYTES = 4096
# The read buffer of a new stream: most peers send little, and tens of thousands of streams may be open.
INITIAL_BUFFER_BYTES = 1024
EMPTY_VIEW = memoryview(b"")
# The target of reads with MSG_TRUNC: the kernel discards up to its length and writes nothing to it.
DISCARD_BUFFER = bytearray(1 << 20)


class End(Enum):
    """How a peer ended its side; the other connection of a relay is ended the same way."""

    FIN = "fin"
    RESET = "reset"


class PeekResult(Enum):
    """What a peek finds at a socket without reading."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"  # the peer has ended its side, or the connection is lost


class LineTooLongError(ValueError):
    """A line of more than MAX_LINE_BYTES."""


def ignore_io(_mask: int) -> None:
    """Do nothing: the callback of a closed stream."""


class Stream:
    """A socket with a read buffer and a buffer of unsent data.

    Bytes that were read and not taken are `view[start:stop]` of the read buffer. The buffer starts small and
    grows to `max_buffer_bytes` once a read has filled it. Data that can't be written yet is copied to
    `unsent`.

    Callers of `send` stop reading the data's source while `is_congested`, so that neither buffer exceeds a
    few lines.

    A closed stream references neither buffer nor callback, so that a remaining reference to the stream keeps
    nothing else alive. Slices returned before the close remain valid.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        io_callback: Callable[[int], None],
        max_buffer_bytes: int = 2 * MAX_LINE_BYTES,
    ) -> None:
        """Take ownership of the socket; `io_callback` is called with epoll's event mask when it is ready."""
        self.loop = loop
        self.sock = sock
        self.io_callback = io_callback
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            # Lines are small and peers wait for each: Nagle's algorithm would delay them until an ACK.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for level, option, value in KEEPALIVE_OPTIONS:
                sock.setsockopt(level, option, value)
        self.fd = sock.fileno()
        self.max_buffer_bytes = max_buffer_bytes
        self.buffer = bytearray(min(INITIAL_BUFFER_BYTES, max_buffer_bytes))
        self.view = memoryview(self.buffer)
        self.start = 0  # offset in `view` of the first byte that was read and not taken
        self.stop = 0  # offset in `view` after the last byte that was read
        self.unsent = bytearray()
        self.reading = True  # whether to watch for input; see `set_reading`
        self.connecting = False  # connect has not finished
        self.broken = False  # a write failed: the connection is lost
        self.ending = False  # `finish` was called: FIN follows once `unsent` is written
        self.closed = False
        self.watched_mask = 0
        loop.stream_count += 1

    @property
    def is_congested(self) -> bool:
        """Whether data waits in `unsent` because the socket's send buffer is full."""
        return bool(self.unsent)

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that were read and not taken."""
        return self.stop - self.start

    def arm(self) -> None:
        """Have epoll watch for what can be handled now: input, room for output, both or neither.

        With neither, the descriptor is unwatched: epoll reports a hang-up for any mask, on every turn.
        """
        if self.closed:
            return
        mask = 0
        if self.reading and not self.connecting:
            mask = select.EPOLLIN
        if (self.unsent and not self.broken) or self.connecting:
            mask |= select.EPOLLOUT
        if mask != self.watched_mask:
            self.watched_mask = mask
            if mask:
                self.loop.watch(self.fd, mask, self.io_callback)
            else:
                self.loop.unwatch(self.fd)

    def set_reading(self, is_reading: bool) -> None:
        """Start or stop reading; unread input stays in the kernel's buffer, under TCP's flow control."""
        self.reading = is_reading
        self.arm()

    # ---- reading ----------------------------------------------------------------------------

    def fill(self) -> End | None:
        """Read once; returns how the peer ended, or None. Invalidates all slices returned before."""
        if self.closed:
            return End.RESET
        remaining = self.stop - self.start
        if self.stop == len(self.view) < self.max_buffer_bytes:  # the last read filled the initial buffer
            full_size_buffer = bytearray(self.max_buffer_bytes)
            full_size_buffer[:remaining] = self.view[self.start : self.stop]
            self.buffer = full_size_buffer
            self.view = memoryview(full_size_buffer)
        elif self.start:
            self.view[:remaining] = self.view[self.start : self.stop]
        self.start = 0
        self.stop = remaining
        if self.stop == len(self.view):
            return None  # full until the owner takes bytes
        try:
            received = self.sock.recv_into(self.view[self.stop :])
        except BlockingIOError:
            return None
        except OSError:
            return End.RESET
        if not received:
            return End.FIN
        self.stop += received
        return None

    @property
    def is_present(self) -> bool:
        """Whether the peer has not ended its side, determined without reading.

        A FIN behind unread bytes shows only in the connection's TCP state.
        """
        peeked = self._peek()
        if peeked is not PeekResult.BYTES:
            return peeked is PeekResult.NOTHING
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_STATE_BYTES)
        except OSError:
            return False
        return info[0] != TCP_STATE_CLOSE_WAIT

    @property
    def has_nothing_unread(self) -> bool:
        """Whether the peer has not ended its side and no input is unread."""
        return self._peek() is PeekResult.NOTHING

    def _peek(self) -> PeekResult:
        if self.closed or self.broken:
            return PeekResult.END
        try:
            return PeekResult.BYTES if self.sock.recv(1, socket.MSG_PEEK) else PeekResult.END
        except BlockingIOError:
            return PeekResult.NOTHING
        except OSError:
            return PeekResult.END

    def discard_input(self) -> int | None:
        """Read once and discard; returns the number of bytes, or None once the peer has ended its side."""
        self.start = 0
        self.stop = 0
        try:
            return self.sock.recv_into(DISCARD_BUFFER, 0, socket.MSG_TRUNC) or None
        except BlockingIOError:
            return 0
        except OSError:
            return None

    def take(self, size: int) -> memoryview | None:
        """Take the next `size` bytes; None until they have been read."""
        if self.stop - self.start < size:
            return None
        self.start += size
        return self.view[self.start - size : self.start]

    def line(self) -> memoryview | None:
        """Take the next line, with its end; None until all of it has been read.

        Raises LineTooLongError as soon as more than MAX_LINE_BYTES were read without a line end.
        """
        end = self.buffer.find(b"\n", self.start, self.stop) + 1  # 0 while the line is incomplete
        size = (end or self.stop) - self.start
        if size > MAX_LINE_BYTES:
            raise LineTooLongError
        return self.take(size) if end else None

    def lines(self) -> Iterator[memoryview]:
        """Take each complete line that has been read; raises LineTooLongError."""
        while (line := self.line()) is not None:
            yield line

    def rest(self) -> memoryview:
        """Take all bytes that were read and not taken: after `lines`, the start of an incomplete line."""
        start = self.start
        self.start = self.stop
        return self.view[start : self.stop]

    # ---- writing ----------------------------------------------------------------------------

    def send(self, data: memoryview | bytes) -> None:
        """Write what the socket accepts now and buffer the rest; no effect once sending has ended."""
        if self.broken or self.closed or self.ending:
            return
        sent = 0 if self.unsent else self._write(data)
        if sent < len(data) and not self.broken:
            self.unsent += data[sent:]
            self.arm()

    def flush(self) -> None:
        """Write what the socket accepts of the unsent data, then FIN if `finish` was called."""
        if self.unsent:
            del self.unsent[: self._write(self.unsent)]
        if self.broken:
            self.unsent.clear()
        if not self.unsent and self.ending:
            self._shut_down_sending()
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
        """End this side with FIN once everything is written; the peer may still send."""
        self.ending = True
        if not self.unsent:
            self._shut_down_sending()

    def _shut_down_sending(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.broken = True

    def close(self, end: End = End.FIN) -> None:
        """Close the socket, release buffers and callback; with unread input the kernel sends RST anyway."""
        if self.closed:
            return
        self.closed = True
        self.loop.stream_count -= 1
        self.loop.unwatch(self.fd)
        if end is End.RESET:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self.sock.close()
        self.io_callback = ignore_io
        self.buffer = bytearray()
        self.unsent = bytearray()
        self.view = EMPTY_VIEW
        self.start = 0
        self.stop = 0
