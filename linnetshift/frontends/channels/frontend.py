"""Accepts sessions and knows those that are open."""

from __future__ import annotations

import socket

from linnetshift.broker.broker import Broker
from linnetshift.config.names import NameRegistry
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.connection_limits import ConnectionLimiter
from linnetshift.event_loop.loop import Loop
from linnetshift.frontends.channels.channel import Channel
from linnetshift.frontends.channels.session import DrainStarted, Session
from linnetshift.frontends.listener import Frontend
from linnetshift.observability.resource_usage import ResourceUsage

MAX_OPEN_CHANNELS = 8192  # of all sessions together


class ChannelsFrontend(Frontend):
    """Accepts sessions at the address of the broker's own file, while this proxy is to listen there."""

    def __init__(
        self, loop: Loop, broker: Broker, names: NameRegistry, connection_limiter: ConnectionLimiter
    ) -> None:
        """A frontend that listens nowhere until it is given an address."""
        super().__init__(loop, broker, names, connection_limiter)
        self.sessions: set[Session] = set()
        self.open_channels = 0  # of all sessions

    @property
    def is_full(self) -> bool:
        """Whether all sessions together have as many channels as may be open."""
        return self.open_channels >= MAX_OPEN_CHANNELS

    def handle_connection(self, sock: socket.socket, peer: Address) -> None:
        """Start a session on an accepted connection."""
        session = Session(self, sock, peer)
        session.start(session.run())

    def drain(self) -> None:
        """Accept no new session; each open one ends once its channels have."""
        self.is_draining = True
        self.close()
        self._drain_sessions()

    def set_paused(self, is_paused: bool) -> None:
        """Leave new sessions to the process that takes over, or accept them again."""
        super().set_paused(is_paused)
        if is_paused:
            self._drain_sessions()

    def _drain_sessions(self) -> None:
        for session in self.sessions:
            session.post(DrainStarted())

    def resource_usage(self, connections: int) -> dict[str, ResourceUsage]:
        """Sessions and channels; `connections` is the most sockets that may be open at once."""
        return {
            "channels.sessions": ResourceUsage(len(self.sessions), connections),
            "channels.open": ResourceUsage(self.open_channels, MAX_OPEN_CHANNELS),
        }

    def channels(self) -> list[Channel]:
        """The channels of all sessions."""
        return [channel for session in self.sessions for channel in session.channels.values()]
