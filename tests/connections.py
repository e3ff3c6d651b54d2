"""The tests' end of connections to the program: lines, SSH framing and channels. All waits time out."""

from __future__ import annotations

import socket
import struct
from typing import Literal

WAIT_S = 20.0
"""Timeout of a test's wait, in seconds; each wait ends as soon as its event occurs."""

RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with a timeout of zero: `close` sends a reset."""

READ_BYTES = 1 << 16
"""Maximum number of bytes of one read."""

MAX_PACKET_BYTES = 1 << 15
"""Maximum packet size that an open channel message offers."""

CHANNEL_OPEN = 90
"""Number of the message that opens a channel (RFC 4254, section 9)."""

CHANNEL_OPEN_CONFIRMATION = 91
"""Number of the message that confirms an opened channel (RFC 4254, section 9)."""


def ssh_string(text: bytes) -> bytes:
    """A string of a binary message (RFC 4251, section 5)."""
    return struct.pack(">I", len(text)) + text


Ending = Literal["fin", "reset"]
"""How a side ends a connection."""


def ssh_packet(payload: bytes) -> bytes:
    """A packet without cipher and MAC (RFC 4253, section 6)."""
    padding = 4 + -(len(payload) + 9) % 8
    return struct.pack(">IB", len(payload) + padding + 1, padding) + payload + bytes(padding)


class PeerConnection:
    """One end of a connection, read line by line."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(WAIT_S)
        self._unread = b""
        self.first_line = b""
        """The request line, once `EmulatedEndpoint.serve` has read it."""

    def send(self, data: bytes) -> None:
        """Send all of the data."""
        self.sock.sendall(data)

    def read_exactly(self, size: int) -> bytes:
        """Read `size` bytes; fewer if the connection ends first."""
        while len(self._unread) < size and (data := self.sock.recv(READ_BYTES)):
            self._unread += data
        result = self._unread[:size]
        self._unread = self._unread[size:]
        return result

    def line(self) -> bytes:
        """Read the next line; at the end of the connection what is left, or nothing."""
        while b"\n" not in self._unread and (data := self.sock.recv(READ_BYTES)):
            self._unread += data
        line, end, self._unread = self._unread.partition(b"\n")
        return line + end

    def ended(self) -> Ending:
        """Wait for the other side to end the connection and return how; a line before that is an error."""
        try:
            rest = self.line()
        except ConnectionResetError:
            return "reset"
        assert not rest
        return "fin"

    def close(self, ending: Ending = "fin") -> None:
        """Close with a FIN or a reset."""
        if ending == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.sock.close()


class ChannelsClient(PeerConnection):
    """An SSH client: framing and channels, implemented independently of the program."""

    def __init__(self, port: int, sock: socket.socket | None = None) -> None:
        super().__init__(sock or socket.create_connection(("127.0.0.1", port), WAIT_S))
        if sock is None:
            self.send(b"SSH-2.0-terminal\r\n")
        assert self.line().startswith(b"SSH-2.0-")

    @classmethod
    def on_connection(cls, conn: PeerConnection) -> ChannelsClient:
        """A client on a connection whose identification has already been sent."""
        return cls(0, conn.sock)

    def send_message(self, *fields: int | bytes) -> None:
        """Send a message: its number, then its fields, integers as uint32 and bytes as strings."""
        kind, *rest = fields
        assert isinstance(kind, int)
        payload = bytes([kind]) + b"".join(
            struct.pack(">I", field) if isinstance(field, int) else ssh_string(field) for field in rest
        )
        self.send_payload(payload)

    def send_payload(self, payload: bytes) -> None:
        """Send a payload in a packet without cipher and MAC."""
        self.send(ssh_packet(payload))

    def read(self) -> tuple[int, bytes]:
        """Read the next message; returns its number and the rest of its payload."""
        head = self.read_exactly(5)
        assert len(head) == 5, "the connection ended"
        length, padding = struct.unpack(">IB", head)
        assert (length + 4) % 8 == 0
        assert padding >= 4
        payload = self.read_exactly(length - 1)[: length - 1 - padding]
        return payload[0], payload[1:]

    def expect(self, kind: int, *numbers: int) -> bytes:
        """Read the next message, which must have this number and begin with these uint32; return the rest."""
        received, rest = self.read()
        size = 4 * len(numbers)
        assert (received, struct.unpack(f">{len(numbers)}I", rest[:size])) == (kind, numbers), (
            received,
            rest,
        )
        return rest[size:]

    def open(
        self,
        number: int,
        key: int = 7,
        wait_ms: int = 2000,
        window: int = 1 << 20,
        klass: bytes = b"feed",
        kind: bytes = b"invocation@linnetshift",
        tenant: bytes = b"acme",
    ) -> None:
        """Open channel `number` with a request whose deadline is `wait_ms`."""
        head = (
            bytes([CHANNEL_OPEN]) + ssh_string(kind) + struct.pack(">III", number, window, MAX_PACKET_BYTES)
        )
        names = ssh_string(klass) + ssh_string(tenant)
        self.send_payload(head + names + struct.pack(">QQI", key, 0, wait_ms))

    def expect_confirmation(self, number: int) -> int:
        """Read the confirmation of channel `number`; returns the proxy's number for the channel."""
        return int.from_bytes(self.expect(CHANNEL_OPEN_CONFIRMATION, number)[:4], "big")
