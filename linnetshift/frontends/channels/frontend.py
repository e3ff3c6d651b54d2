"""The frontend of the channels protocol: accepts sessions and keeps track of the open ones."""

from __future__ import annotations

import socket

from linnetshift.broker.broker import Broker
from linnetshift.endpoint_list.names import NameRegistry
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.connection_limits import ConnectionLimiter
from linnetshift.event_loop.loop import Loop
from linnetshift.frontends.channels.channel import Channel
from linnetshift.frontends.channels.session import DrainOver, DrainStarted, Session
from linnetshift.frontends.listener import Frontend
from linnetshift.observability.resource_usage import ResourceUsage

MAX_OPEN_CHANNELS = 8192  # of all sessions together


class ChannelsFrontend(Frontend):
    """Accepts sessions at the address in the broker file, while `ChannelsActivation` lets it listen."""

    def __init__(
        self, loop: Loop, broker: Broker, names: NameRegistry, connection_limiter: ConnectionLimiter
    ) -> None:
        """Create a frontend that does not listen yet."""
        super().__init__(loop, broker, names, connection_limiter)
        self.sessions: set[Session] = set()
        self.open_channels = 0  # of all sessions

    @property
    def is_full(self) -> bool:
        """Whether MAX_OPEN_CHANNELS channels are open."""
        return self.open_channels >= MAX_OPEN_CHANNELS

    def handle_connection(self, sock: socket.socket, peer: Address) -> None:
        """Start a session on an accepted connection; takes ownership of the socket."""
        session = Session(self, sock, peer)
        session.start(session.run())

    def drain(self) -> None:
        """Stop listening; each open session refuses channels, and ends as `session` describes."""
        self.is_draining = True
        self.close()
        self._notify_sessions(DrainStarted())

    def end_sessions(self) -> None:
        """End each session of a draining frontend as soon as it has no channels."""
        self._notify_sessions(DrainOver())

    def yield_to_successor(self) -> None:
        """Close this process's descriptor of the listener, and drain the open sessions.

        The connections that wait in the queue are the successor's. Paused but open, the listener would keep
        its address in use and let clients wait once the successor has closed its own descriptor.
        """
        if self.acceptor is not None:
            self.acceptor.set_paused(True)
        self.drain()

    def _notify_sessions(self, message: DrainStarted | DrainOver) -> None:
        for session in self.sessions:
            session.post(message)

    def resource_usage(self, connections: int) -> dict[str, ResourceUsage]:
        """Return the numbers of sessions and channels; at most `connections` sockets may be open."""
        return {
            "channels.sessions": ResourceUsage(len(self.sessions), connections),
            "channels.open": ResourceUsage(self.open_channels, MAX_OPEN_CHANNELS),
        }

    def channels(self) -> list[Channel]:
        """Return the channels of all sessions."""
        return [channel for session in self.sessions for channel in session.channels.values()]
