"""Listeners of the emulated peers: one port for each node, so that a peer knows who calls."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

LISTEN_BACKLOG = 512
"""Connections that may wait to be accepted: a burst of clients or attempts at one moment."""

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]]
"""Serves one connection of the node with this number."""


class NodeListeners:
    """One listening port for each node."""

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
