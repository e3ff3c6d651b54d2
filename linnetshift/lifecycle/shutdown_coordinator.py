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
    """Starts, shortens and cancels the graceful shutdown; implements its `ShutdownClients`."""

    def __init__(
        self,
        loop: Loop,
        broker: Broker,
        frontend: LineProtocolFrontend,
        activation: ChannelsActivation,
        connection_limiter: ConnectionLimiter,
    ) -> None:
        """No shutdown starts before one is requested."""
        self.loop = loop
        self.broker = broker
        self.frontend = frontend
        self.activation = activation
        self.channels = activation.frontend
        self.connection_limiter = connection_limiter
        self.shutdown: GracefulShutdown | None = None
        self.is_terminating = False  # after a signal; this can't be cancelled

    def terminate(self, is_replaced: bool) -> None:
        """Shut down on a signal; further signals have no effect.

        `is_replaced` tells whether a successor accepts in place of this process.
        """
        if self.is_terminating:
            return
        self.is_terminating = True
        if self.shutdown is not None and is_replaced:
            self.shutdown.shorten()
        else:
            self._start(is_replaced=False)

    def shut_down_replaced(self) -> None:
        """Migrate the clients to the successor, which accepts from now on, and stop."""
        self._start(is_replaced=True)

    def cancel(self) -> None:
        """Cancel the shutdown and continue to serve, as the successor has disconnected."""
        if self.shutdown is not None:
            self.shutdown.end()

    def _start(self, is_replaced: bool) -> None:
        self.frontend.is_draining = True
        if not is_replaced:
            self.activation.stop()
        self.shutdown = GracefulShutdown(self.loop, self.broker, self, is_replaced)
        self.shutdown.start(self.shutdown.run())

    # ---- the shutdown's clients -------------------------------------------------------------

    def stop_listening(self) -> None:
        """Close the listening sockets of both frontends."""
        self.frontend.close()
        self.activation.stop_listening()

    def connections_in_use(self) -> int:
        """Return the number of connections that are not idle; idle ones must not delay the shutdown."""
        return len(self.frontend.clients) + len(self.channels.sessions) - self.connection_limiter.idle_count()

    def open_streams(self) -> list[Stream]:
        """Return the streams of all connections of both frontends."""
        return [connection.stream for connection in (*self.frontend.clients, *self.channels.sessions)]

    def notify_idle_clients(self) -> None:
        """Have the clients without a request migrate too."""
        self.frontend.notify_idle_clients()

    def end_sessions(self) -> None:
        """End the sessions of the channels frontend that have no channels."""
        self.channels.end_sessions()
