"""A client of the channels front: SSH's connection protocol (RFC 4254) without its cryptography."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable

from parts2 import Case

OPEN, CONFIRMATION, FAILURE, ADJUST, DATA, EOF, CLOSE, REQUEST = 90, 91, 92, 93, 94, 96, 97, 98
DISCONNECT, GLOBAL_REQUEST, REQUEST_FAILURE = 1, 80, 82


def text(value: bytes) -> bytes:
    """A string of RFC 4251."""
    return struct.pack(">I", len(value)) + value


def packet(payload: bytes) -> bytes:
    """A packet of RFC 4253 without cipher and MAC."""
    padding = 8 - (len(payload) + 5) % 8
    if padding < 4:
        padding += 8
    return struct.pack(">IB", 1 + len(payload) + padding, padding) + payload + bytes(padding)


class ClientChannel:
    """One channel, as its client sees it."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.remote = -1
        self.receipt = b""
        self.data = b""
        self.answer = ""  # "up", "failed CODE TEXT", or empty while there is none
        self.requests: list[bytes] = []
        self.opened_at = 0.0
        self.has_eof = False
        self.is_written = False  # its CHANNEL_OPEN, to the connection
        self.is_closed = asyncio.Event()
        self.is_answered = asyncio.Event()


class ClientSession:
    """One connection with its channels; windows are granted only when the case says so."""

    def __init__(self, case: Case, name: str, delay_s: float = 0.0) -> None:
        self.case = case
        self.name = name
        self.delay_s = delay_s  # of the link, one way
        self.channels: dict[int, ClientChannel] = {}
        self.end = ""  # how the session ended
        self.ended = asyncio.Event()
        self.on_disconnect: Callable[[], None] | None = None

    async def connect(self, port: int, host: str = "127.0.0.1") -> None:
        """Connect and exchange the identifications."""
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.send_raw(b"SSH-2.0-standin\r\n")
        line = await asyncio.wait_for(self.reader.readline(), 3)
        assert line.startswith(b"SSH-2.0-"), line
        self.task = asyncio.create_task(self._read())

    def send_raw(self, data: bytes, opened: ClientChannel | None = None) -> None:
        """Send bytes, after the delay of the link; `opened` is the channel that they open."""
        if not self.delay_s:
            self._write(data, opened)
            return
        asyncio.get_running_loop().call_later(self.delay_s, self._write, data, opened)

    def _write(self, data: bytes, opened: ClientChannel | None) -> None:
        if not self.writer.is_closing():
            self.writer.write(data)
            if opened is not None:
                opened.is_written = True

    def send(self, payload: bytes, opened: ClientChannel | None = None) -> None:
        """Send one payload."""
        self.send_raw(packet(payload), opened)

    def open(self, class_name: bytes, key: int, wait_ms: int, window: int) -> ClientChannel:
        """Send CHANNEL_OPEN."""
        channel = ClientChannel(len(self.channels))
        self.channels[channel.number] = channel
        channel.opened_at = self.case.record.now()
        fields = text(class_name) + text(b"acme") + struct.pack(">QQI", key, 0, wait_ms)
        head = struct.pack(">III", channel.number, window, 16_384)
        self.send(bytes([OPEN]) + text(b"invocation@linnetshift") + head + fields, channel)
        return channel

    def grant(self, channel: ClientChannel, size: int) -> None:
        """Extend the window of a channel."""
        self.send(struct.pack(">BII", ADJUST, channel.remote, size))

    def send_data(self, channel: ClientChannel, data: bytes) -> None:
        """Send data on a channel."""
        self.send(struct.pack(">BI", DATA, channel.remote) + text(data))

    def close_channel(self, channel: ClientChannel) -> None:
        """Send CLOSE."""
        self.send(struct.pack(">BI", CLOSE, channel.remote))

    async def _read(self) -> None:
        try:
            while True:
                head = await self.reader.readexactly(5)
                length, padding = struct.unpack(">IB", head)
                body = await self.reader.readexactly(length - 1)
                payload = body[: length - 1 - padding]
                if self.delay_s:
                    asyncio.get_running_loop().call_later(self.delay_s, self._handle, payload)
                else:
                    self._handle(payload)
        except (asyncio.IncompleteReadError, OSError) as error:
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            self.end = self.end or type(error).__name__
            self.ended.set()

    def _handle(self, payload: bytes) -> None:
        kind = payload[0]
        if kind == DISCONNECT:
            size = int.from_bytes(payload[5:9], "big")
            self.end = f"DISCONNECT {payload[9 : 9 + size].decode()}"
            self.ended.set()
        elif kind == GLOBAL_REQUEST:
            self.send(bytes([REQUEST_FAILURE]))
        elif kind in (CONFIRMATION, FAILURE, ADJUST, DATA, EOF, CLOSE, REQUEST):
            self._handle_channel(kind, self.channels[int.from_bytes(payload[1:5], "big")], payload[5:])

    def _handle_channel(self, kind: int, channel: ClientChannel, rest: bytes) -> None:
        if kind == CONFIRMATION:
            channel.remote = int.from_bytes(rest[:4], "big")
            channel.receipt = rest[16:]
            channel.answer = "up"
            channel.is_answered.set()
        elif kind == FAILURE:
            size = int.from_bytes(rest[4:8], "big")
            channel.answer = f"failed {int.from_bytes(rest[:4], 'big')} {rest[8 : 8 + size].decode()}"
            channel.is_answered.set()
        elif kind == DATA:
            channel.data += rest[4:]
        elif kind == EOF:
            channel.has_eof = True
        elif kind == REQUEST:
            channel.requests.append(rest[4 : 4 + int.from_bytes(rest[:4], "big")])
        elif kind == CLOSE and not channel.is_closed.is_set():
            channel.is_closed.set()
            self.close_channel(channel)
