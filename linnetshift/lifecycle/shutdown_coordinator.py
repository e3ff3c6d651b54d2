"""When this process shuts down: on a signal, or because a successor has replaced it."""

from __future__ import annotations

from linnetshift.broker.broker import Broker
from linnetshift.event_loop.connection_limits import ConnectionLimiter
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.stream import Stream
from linnetshift.frontends.line_protocol.frontend import LineProtocolFrontend
from linnetshift.lifecycle.channels_activation import ChannelsActivation
from linnetshift.lifecycle.graceful_shutdown import GracefulShutdown


class ShutdownCoordinator:
    """Starts, shortens and cancels the graceful shutdown, whose `ShutdownClients` it is."""

    def __init__(
        self,
        loop: Loop,
        broker: Broker,
        frontend: LineProtocolFrontend,
        activation: ChannelsActivation,
        connection_limiter: ConnectionLimiter,
    ) -> None:
        """Nothing shuts down yet."""
        self.loop = loop
        self.broker = broker
        self.frontend = frontend
        self.activation = activation
        self.channels = activation.frontend
        self.connection_limiter = connection_limiter
        self.shutdown: GracefulShutdown | None = None
        self.is_terminating = False  # on a signal, which nothing cancels

    def terminate(self, is_replaced: bool) -> None:
        """Shut down because of a signal; one that comes again changes nothing.

        `is_replaced` tells whether a successor accepts in place of this process.
        """
        if self.is_terminating:
            return
        self.is_terminating = True
        if self.shutdown is not None and is_replaced:
            self.shutdown.shorten()
        else:
            self._start(is_replaced=False)

    def start_replaced(self) -> None:
        """Migrate the clients to the successor, which accepts from now on, and end."""
        self._start(is_replaced=True)

    def cancel(self) -> None:
        """Serve on, as the successor is gone."""
        if self.shutdown is not None:
            self.shutdown.end()

    def _start(self, is_replaced: bool) -> None:
        self.frontend.is_draining = True
        if not is_replaced:
            self.activation.stop_vrrp()
        self.shutdown = GracefulShutdown(self.loop, self.broker, self, is_replaced)
        self.shutdown.start(self.shutdown.run())

    # ---- the shutdown's clients -------------------------------------------------------------

    def stop_listening(self) -> None:
        """Close the listening sockets of both frontends."""
        self.frontend.close()
        self.channels.drain()

    def connections_in_use(self) -> int:
        """Connections that await something; one that is silent must not delay the shutdown."""
        return len(self.frontend.clients) + len(self.channels.sessions) - self.connection_limiter.idle_count()

    def open_streams(self) -> list[Stream]:
        """The streams of all connections of both frontends."""
        return [connection.stream for connection in (*self.frontend.clients, *self.channels.sessions)]

    def notify_idle_clients(self) -> None:
        """Have the clients without a request migrate too."""
        self.frontend.notify_idle_clients()
