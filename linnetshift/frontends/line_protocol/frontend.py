"""The frontend of the line protocol: accepts clients and answers readiness queries."""

from __future__ import annotations

import socket

from linnetshift.broker.broker import Broker
from linnetshift.endpoint_list.names import NameRegistry
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.connection_limits import ConnectionLimiter
from linnetshift.event_loop.loop import Loop
from linnetshift.frontends.line_protocol import protocol
from linnetshift.frontends.line_protocol.client_connection import ClientConnection
from linnetshift.frontends.line_protocol.messages import ShutdownNotice
from linnetshift.frontends.listener import Frontend
from linnetshift.observability.resource_usage import ResourceUsage


class LineProtocolFrontend(Frontend):
    """Accepts clients at the address in the proxy file."""

    def __init__(
        self, loop: Loop, broker: Broker, names: NameRegistry, connection_limiter: ConnectionLimiter
    ) -> None:
        """Create a frontend that does not listen yet."""
        super().__init__(loop, broker, names, connection_limiter)
        self.clients: set[ClientConnection] = set()
        self.open_request_ids: set[int] = set()  # from the request lines of open connections

    def handle_connection(self, sock: socket.socket, peer: Address) -> None:
        """Serve an accepted connection; takes ownership of the socket."""
        client = ClientConnection(self, sock, peer)
        client.start(client.run())

    def notify_idle_clients(self) -> None:
        """Notify all clients of the shutdown: those without a request are answered and closed."""
        for client in self.clients:
            client.post(ShutdownNotice())

    def resource_usage(self, connections: int) -> dict[str, ResourceUsage]:
        """Return the sizes of the containers here; at most `connections` may be open at once."""
        return {
            "platform.consumers": ResourceUsage(len(self.clients), connections),
            "platform.ids": ResourceUsage(len(self.open_request_ids), connections),
        }

    def answer_query(self, query: bytes) -> bytes:
        """Return the answer to PING (whether this proxy accepts requests) or STATS (no load report)."""
        if not query.startswith(protocol.PING):
            return protocol.NO_STATS_LINE
        return protocol.ERROR_LINE if self.is_draining else protocol.PONG_LINE
