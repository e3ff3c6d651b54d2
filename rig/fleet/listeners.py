"""Listeners of the emulated peers: a port per node, by which a peer identifies the connecting node."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

LISTEN_BACKLOG = 512
"""Connections that may wait to be accepted; covers a burst of clients or attempts."""

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]]
"""Serves a connection from the node with the given number."""


class NodeListeners:
    """A listening port per node."""

    def __init__(self) -> None:
        self.ports: list[int] = []
        """Ports by the node's number."""

        self._servers: list[asyncio.Server] = []

    async def open(self, nodes: int, handler: Handler) -> None:
        """Listen on a free port for each of the nodes."""
        for node in range(nodes):

            async def accept(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: int = node
            ) -> None:
                await handler(reader, writer, node)

            server = await asyncio.start_server(accept, "127.0.0.1", 0, backlog=LISTEN_BACKLOG)
            self._servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()
