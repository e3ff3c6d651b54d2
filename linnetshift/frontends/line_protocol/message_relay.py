"""The last state of a client connection: established, with lines relayed in both directions."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

from linnetshift.broker.active_request import ActiveRequest
from linnetshift.event_loop.actor import Io
from linnetshift.event_loop.connection_limits import ConnectionTimer
from linnetshift.event_loop.outbound_connection import Resume, Steps
from linnetshift.event_loop.stream import End, LineTooLongError
from linnetshift.event_loop.timers import Timeout, Timer
from linnetshift.frontends.line_protocol import protocol
from linnetshift.frontends.line_protocol.messages import EndpointEnded, MigrationRequested, NextTurn
from linnetshift.frontends.listener import endpoint_end_reason
from linnetshift.observability.log import Reason

if TYPE_CHECKING:
    from linnetshift.frontends.line_protocol.client_connection import ClientConnection

# Lines that a connection relays before others have their turn.
MAX_LINES_PER_TURN = 64


class MessageRelay:
    """Relays the client's lines to the endpoint until either side ends.

    Lines from the endpoint do not use the mailbox: the endpoint's connection calls
    `ClientConnection.deliver`. Lives as long as its `run`; the connection holds no reference to it.
    """

    def __init__(self, connection: ClientConnection, request: ActiveRequest) -> None:
        """Relay for a request that its endpoint has accepted."""
        self.connection = connection
        self.request = request
        self.stream = connection.stream
        self.broker = connection.broker
        self.turn_timer: Timer | None = None  # armed while lines wait for the next turn

    def run(self) -> Steps:
        """Return the `Reason` why the connection ends; the broker is notified if the client ended it."""
        end: End | None = None
        if not self._relay_lines():
            return Reason.BAD_LINE
        while end is None:
            match (yield):
                case Io(mask):
                    end = self._transfer(mask)
                case Resume():
                    pass
                case Timeout(tag=tag) if tag is NextTurn:
                    self.turn_timer = None
                case message:
                    reason = self._handle(message)
                    if reason is not None:
                        return reason
                    continue
            if not self._relay_lines():
                return Reason.BAD_LINE
        return self._handle_client_end(end)

    def _transfer(self, mask: int) -> End | None:
        """Write and read once; return how the client ended, or None."""
        end: End | None = None
        if mask & select.EPOLLOUT:
            self._flush()
        if mask & ~select.EPOLLOUT:
            end = self.stream.fill()
        return End.RESET if self.stream.broken and end is None else end

    def _relay_lines(self) -> bool:
        """Send complete lines to the endpoint until it is congested, and stop reading while it is.

        After MAX_LINES_PER_TURN the others wait for the next turn. Returns False if a line is longer than the
        protocol allows, which ends both sides.
        """
        if self.turn_timer is not None:
            return True
        attempt = self.request.attempt
        upstream = attempt.upstream if attempt is not None else None
        if upstream is None:
            return True
        try:
            for _ in range(MAX_LINES_PER_TURN):
                if upstream.is_congested or (line := self.stream.line()) is None:
                    break
                upstream.deliver(line)
            else:
                self.turn_timer = self.connection.set_timer(0, NextTurn)
        except LineTooLongError:
            self.connection.record_line_too_long()
            self.broker.handle_client_ended(self.request, False)
            return False
        self.stream.set_reading(not upstream.is_congested and self.turn_timer is None)
        return True

    def _flush(self) -> None:
        """Write unsent data to the client, and resume the endpoint's connection once none is left."""
        self.stream.flush()
        self.connection.update_stall_timer()
        attempt = self.request.attempt
        if not self.stream.is_congested and attempt is not None and attempt.upstream is not None:
            attempt.upstream.resume()

    def _handle(self, message: object) -> Reason | None:
        """Handle a message other than `Io` and `Resume`; return a reason if it ends the connection."""
        match message:
            case EndpointEnded(outcome, was_reset):
                return endpoint_end_reason(outcome, was_reset)
            case MigrationRequested(reason):
                self.stream.send(protocol.MOVE_LINE)  # never inside a line: only complete ones are sent
                self.broker.handle_client_ended(self.request, False)
                return Reason(reason)
            case Timeout(tag=ConnectionTimer.STALL) if self.connection.is_stalled():
                self.broker.handle_client_ended(self.request, False)
                return Reason.STALLED
        return None

    def _handle_client_end(self, end: End) -> Reason:
        """End the endpoint's side the way the client ended; before a FIN, pass on an unfinished line."""
        attempt = self.request.attempt
        upstream = attempt.upstream if attempt is not None else None
        if end is End.FIN and upstream is not None and (rest := self.stream.rest()):
            upstream.deliver(rest)
        self.broker.handle_client_ended(self.request, end is End.RESET)
        return Reason.CLIENT_RESET if end is End.RESET else Reason.CLIENT_LEFT
