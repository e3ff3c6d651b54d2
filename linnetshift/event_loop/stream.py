"""A nonblocking stream socket with one bounded buffer each way, read as lines that are slices of it."""

from __future__ import annotations

import select
import socket
import struct
from collections.abc import Callable, Iterator
from enum import Enum

from linnetshift.event_loop.loop import Loop

# A peer can vanish without FIN or RST (power, cable, a dropped NAT entry). TCP then ends the connection by
# itself: when keep-alive probes on an idle connection get no answer, or sent data is not acknowledged. For
# both the user timeout takes precedence over the number of probes (tcp(7)).
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
# SO_LINGER, on with 0 s: close drops what is unsent and sends RST instead of FIN.
LINGER_ZERO = struct.pack("ii", 1, 0)
# The protocol's longest line, its end included.
MAX_LINE_BYTES = 4096
# The read buffer of a new stream: most peers send little, and there are streams by the ten thousand.
INITIAL_BUFFER_BYTES = 1024
EMPTY_VIEW = memoryview(b"")
# Passed to reads with MSG_TRUNC, for which the kernel discards up to this length and writes nothing.
DISCARD_BUFFER = bytearray(1 << 20)


class End(Enum):
    """How a peer ended its side of the connection; the other side is ended the same way."""

    FIN = "fin"
    RESET = "reset"


class Unread(Enum):
    """What a socket has for the next read, as far as a peek shows."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"  # the peer has ended its side, or the connection is gone


class LineTooLongError(ValueError):
    """A line longer than the protocol allows."""


def ignore_io(_mask: int) -> None:
    """Do nothing: the callback of a closed stream."""


class Stream:
    """A socket with a read buffer and a buffer of unsent data.

    What is read stays in the read buffer, `view[start:stop]`, until the next `fill`. The buffer starts small
    and has its full size, `max_buffer_bytes`, once a read has filled it. What can't be written yet is copied
    to `unsent`.

    Whoever feeds `send` stops reading its own peer while `is_congested`, so that neither buffer outgrows a
    few lines.

    A closed stream holds neither buffer nor callback, so that whoever still references it keeps nothing else
    alive. Slices given out before remain valid.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        io_callback: Callable[[int], None],
        max_buffer_bytes: int = 2 * MAX_LINE_BYTES,
    ) -> None:
        """Take over the socket; `io_callback` gets epoll's mask when it is ready."""
        self.loop = loop
        self.sock = sock
        self.io_callback = io_callback
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            # Lines are small and each is waited for: Nagle's algorithm would hold them back for an ACK.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for level, option, value in KEEPALIVE_OPTIONS:
                sock.setsockopt(level, option, value)
        self.fd = sock.fileno()
        self.max_buffer_bytes = max_buffer_bytes
        self.buffer = bytearray(min(INITIAL_BUFFER_BYTES, max_buffer_bytes))
        self.view = memoryview(self.buffer)
        self.start = 0  # where in `view` the bytes begin that have been read and not been taken
        self.stop = 0  # where they end
        self.unsent = bytearray()
        self.reading = True  # the owner takes what comes; see `set_reading`
        self.connecting = False  # connect has not finished
        self.broken = False  # a write failed: the connection is gone
        self.ending = False  # nothing more will be sent: FIN follows what is in `unsent`
        self.closed = False
        self.watched_mask = 0
        loop.stream_count += 1

    @property
    def is_congested(self) -> bool:
        """Whether sent data waits in `unsent`, as the socket's send buffer is full."""
        return bool(self.unsent)

    @property
    def untaken_bytes(self) -> int:
        """How many bytes have been read and not been taken."""
        return self.stop - self.start

    def arm(self) -> None:
        """Have epoll watch for what can be handled now: input, room for output, both or nothing.

        Where it is nothing the descriptor is unwatched, as a hang-up would wake the loop on every turn.
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
        """Read on, or leave what the peer sends to the kernel's buffer and TCP's flow control."""
        self.reading = is_reading
        self.arm()

    # ---- reading ----------------------------------------------------------------------------

    def fill(self) -> End | None:
        """Read once, and return how the peer ended if it did; slices given out before are void after this."""
        if self.closed:
            return End.RESET
        remaining = self.stop - self.start  # bytes that have been read and not been taken
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
            return None  # no room until the owner takes something
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
        """Whether the peer has not ended, found out without reading.

        Behind unread bytes a FIN shows only in the connection's TCP state.
        """
        unread = self._peek()
        if unread is not Unread.BYTES:
            return unread is Unread.NOTHING
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_STATE_BYTES)
        except OSError:
            return False
        return info[0] != TCP_STATE_CLOSE_WAIT

    @property
    def has_nothing_unread(self) -> bool:
        """Whether the peer has not ended and nothing that it sent waits to be read."""
        return self._peek() is Unread.NOTHING

    def _peek(self) -> Unread:
        if self.closed or self.broken:
            return Unread.END
        try:
            return Unread.BYTES if self.sock.recv(1, socket.MSG_PEEK) else Unread.END
        except BlockingIOError:
            return Unread.NOTHING
        except OSError:
            return Unread.END

    def discard_input(self) -> int | None:
        """Read once and discard; returns how many bytes there were, None once the peer has ended."""
        self.start = 0
        self.stop = 0
        try:
            return self.sock.recv_into(DISCARD_BUFFER, 0, socket.MSG_TRUNC) or None
        except BlockingIOError:
            return 0
        except OSError:
            return None

    def take(self, size: int) -> memoryview | None:
        """The next `size` bytes, or None until they have been read."""
        if self.stop - self.start < size:
            return None
        self.start += size
        return self.view[self.start - size : self.start]

    def line(self) -> memoryview | None:
        """The next line with its end, or None until it has been read.

        Raises LineTooLongError as soon as more than MAX_LINE_BYTES have come without an end.
        """
        end = self.buffer.find(b"\n", self.start, self.stop) + 1  # 0 while the line is not whole
        size = (end or self.stop) - self.start
        if size > MAX_LINE_BYTES:
            raise LineTooLongError
        return self.take(size) if end else None

    def lines(self) -> Iterator[memoryview]:
        """All lines that have been read; raises LineTooLongError."""
        while (line := self.line()) is not None:
            yield line

    def rest(self) -> memoryview:
        """Take all that has been read and not been taken: after `lines`, what has no line end."""
        start = self.start
        self.start = self.stop
        return self.view[start : self.stop]

    # ---- writing ----------------------------------------------------------------------------

    def send(self, data: memoryview | bytes) -> None:
        """Write at once what the socket takes and copy the rest; without effect once sending has ended."""
        if self.broken or self.closed or self.ending:
            return
        sent = 0 if self.unsent else self._write(data)
        if sent < len(data) and not self.broken:
            self.unsent += data[sent:]
            self.arm()

    def flush(self) -> None:
        """Write what the socket takes of the unsent data, then FIN if `finish` was called."""
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
        """End the sending side with FIN once everything is written; the peer may still send."""
        self.ending = True
        if not self.unsent:
            self._shut_down_sending()

    def _shut_down_sending(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.broken = True

    def close(self, end: End = End.FIN) -> None:
        """Close the socket and release buffers and callback; unread bytes make the kernel send RST anyway."""
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
