"""Links between processes: a relay for each, which can be slowed, cut one way or both, silenced or reset."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

CHUNK = 16384


class Link:
    """One direction's address for another's: who connects here is passed on to `target`.

    A cut swallows what goes that way and says nothing, as a network does; TCP's own answers still come from
    the relay, so a cut link looks half open to both ends.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.port = 0
        self.delay_s = 0.0
        self.cut_there = self.cut_back = False
        self.refuses = False  # new connections are reset at once
        self.silent = False  # new connections are accepted and lead nowhere
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def accept(self, near_in: asyncio.StreamReader, near_out: asyncio.StreamWriter) -> None:
        if self.refuses:
            reset(near_out)
            return
        if self.silent:
            self.writers.add(near_out)
            return  # held open until it is healed or closed
        try:
            await asyncio.sleep(self.delay_s)
            far_in, far_out = await asyncio.open_connection(*self.target)
        except OSError:
            reset(near_out)
            return
        self.writers |= {near_out, far_out}
        there = asyncio.ensure_future(self.pump(near_in, far_out, "there"))
        back = asyncio.ensure_future(self.pump(far_in, near_out, "back"))
        self.tasks |= {there, back}
        with contextlib.suppress(asyncio.CancelledError):  # closed at the end of the play
            await asyncio.gather(there, back)
        self.tasks -= {there, back}
        self.writers -= {near_out, far_out}
        for writer in (near_out, far_out):
            with contextlib.suppress(OSError):
                writer.close()

    async def pump(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, way: str) -> None:
        """Each way on its own; the end and a reset pass on like data, late or not at all."""
        loop = asyncio.get_running_loop()
        late: asyncio.Queue[tuple[float, bytes | None, bool]] = asyncio.Queue(64)

        async def read() -> None:
            while True:
                try:
                    data = await source.read(CHUNK)
                except OSError:
                    await late.put((loop.time() + self.delay_s, None, True))
                    return
                await late.put((loop.time() + self.delay_s, data, False))
                if not data:
                    return

        reading = asyncio.ensure_future(read())
        try:
            while True:
                due, data, broken = await late.get()
                if (wait := due - loop.time()) > 0.0:
                    await asyncio.sleep(wait)
                cut = self.cut_there if way == "there" else self.cut_back
                if not cut:
                    if broken:
                        reset(sink)
                    elif data:
                        sink.write(data)
                        await sink.drain()
                    elif sink.can_write_eof():
                        sink.write_eof()
                if broken or not data:
                    return
        except OSError:
            return
        finally:
            reading.cancel()

    def reset(self) -> None:
        """Break all that is open."""
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()

    def heal(self) -> None:
        self.delay_s, self.cut_there, self.cut_back, self.refuses = 0.0, False, False, False
        if self.silent:  # what was half open is gone when the link is back
            self.silent = False
            self.reset()

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
        self.reset()
        for task in self.tasks:
            task.cancel()


def reset(writer: asyncio.StreamWriter) -> None:
    """End with a reset, as a process that dies does."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    with contextlib.suppress(OSError, AttributeError):
        writer.transport.abort()
