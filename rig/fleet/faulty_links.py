"""TCP proxies as links between processes; a link can be delayed, cut in either direction, or reset."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from enum import Enum, auto
from typing import NamedTuple

from rig.connection_load import LINGER_RESET
from rig.fleet.listeners import LISTEN_BACKLOG
from rig.free_port import free_port

READ_BYTES = 16384
"""Upper bound of the bytes that are forwarded at once."""

MAX_QUEUED_CHUNKS = 64
"""Delayed chunks that each direction queues; when the queue is full, reading stops."""


class Direction(Enum):
    """Direction of data: FORWARD is from the connecting side to the target."""

    FORWARD = auto()
    BACKWARD = auto()


class Chunk(NamedTuple):
    """Data, end of data (empty) or a reset, and when it is due to be forwarded, on the loop's clock."""

    due_s: float
    data: bytes
    is_reset: bool


class LinkProxy:
    """A TCP proxy that forwards connections at its own address to `target`.

    A cut silently drops data in that direction, as a network does. TCP acknowledgements still come from the
    proxy, so a cut link looks half open to both ends.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.port = 0
        self.delay_s = 0.0
        self.is_cut_forward = False
        self.is_cut_backward = False
        self.refuses_connections = False
        """Whether new connections are reset at once."""

        self.is_unresponsive = False
        """Whether new connections are accepted but not forwarded."""

        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen on a free port, or again on the previous one, which no connection can have taken."""
        self.port = self.port or free_port()
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", self.port, backlog=LISTEN_BACKLOG
        )

    def stop_listening(self) -> None:
        """Stop listening until `open`: the kernel refuses new connections, as after the end of a process."""
        if self._server is not None:
            self._server.close()

    @property
    def address(self) -> str:
        """The listening address as host:port."""
        return f"127.0.0.1:{self.port}"

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            reset_connection(writer)
        self._writers.clear()

    def clear_faults(self) -> None:
        """Clear all faults; if the link was unresponsive, reset its connections."""
        self.delay_s = 0.0
        self.is_cut_forward = False
        self.is_cut_backward = False
        self.refuses_connections = False
        if self.is_unresponsive:
            self.is_unresponsive = False
            self.reset()

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, client_reader: asyncio.StreamReader, client_writer: asyncio.StreamWriter) -> None:
        if self.refuses_connections:
            reset_connection(client_writer)
            return
        if self.is_unresponsive:
            self._writers.add(client_writer)  # kept open until the faults are cleared or the link is closed
            return
        try:
            await asyncio.sleep(self.delay_s)
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset_connection(client_writer)
            return
        writers = {client_writer, target_writer}
        tasks = {
            asyncio.ensure_future(self._forward(client_reader, target_writer, Direction.FORWARD)),
            asyncio.ensure_future(self._forward(target_reader, client_writer, Direction.BACKWARD)),
        }
        self._writers |= writers
        self._tasks |= tasks
        with contextlib.suppress(asyncio.CancelledError):  # closed at the end of the run
            await asyncio.gather(*tasks)
        self._tasks -= tasks
        self._writers -= writers
        for writer in (client_writer, target_writer):
            with contextlib.suppress(OSError):
                writer.close()

    async def _forward(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, direction: Direction
    ) -> None:
        """Forward one direction; end of data and resets are delayed or dropped like data."""
        queue: asyncio.Queue[Chunk] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        reading = asyncio.ensure_future(self._read(source, queue))
        try:
            while True:
                chunk = await queue.get()
                wait_s = chunk.due_s - asyncio.get_running_loop().time()
                if wait_s > 0.0:
                    await asyncio.sleep(wait_s)
                if not self._is_cut(direction):
                    await forward_chunk(chunk, sink)
                if chunk.is_reset or not chunk.data:
                    return
        except OSError:
            return
        finally:
            reading.cancel()

    async def _read(self, source: asyncio.StreamReader, queue: asyncio.Queue[Chunk]) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await source.read(READ_BYTES)
            except OSError:
                await queue.put(Chunk(loop.time() + self.delay_s, b"", is_reset=True))
                return
            await queue.put(Chunk(loop.time() + self.delay_s, data, is_reset=False))
            if not data:
                return

    def _is_cut(self, direction: Direction) -> bool:
        return self.is_cut_forward if direction is Direction.FORWARD else self.is_cut_backward


async def forward_chunk(chunk: Chunk, sink: asyncio.StreamWriter) -> None:
    """Write a chunk's data, its end of data, or its reset to the connection; raises OSError."""
    if chunk.is_reset:
        reset_connection(sink)
    elif chunk.data:
        sink.write(chunk.data)
        await sink.drain()
    elif sink.can_write_eof():
        sink.write_eof()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, as the kernel does for a killed process."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    with contextlib.suppress(OSError, AttributeError):
        writer.transport.abort()
