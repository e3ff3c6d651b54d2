"""The first state of a client connection: from accept until a request is submitted."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

from linnetshift.event_loop.actor import Io
from linnetshift.event_loop.connection_limits import REQUEST_LINE_TIMEOUT_NS, ConnectionTimer
from linnetshift.event_loop.outbound_connection import Steps, Stop
from linnetshift.event_loop.stream import End, LineTooLongError
from linnetshift.event_loop.timers import Timeout, Timer
from linnetshift.frontends.line_protocol import protocol
from linnetshift.frontends.line_protocol.messages import NextTurn, ShutdownNotice
from linnetshift.frontends.line_protocol.request_line import (
    LINE_TOO_LONG,
    RequestLineError,
    parse_request_line,
)
from linnetshift.observability.log import Reason

if TYPE_CHECKING:
    from linnetshift.frontends.line_protocol.client_connection import ClientConnection


# Queries that a connection is answered before others have their turn.
MAX_QUERIES_PER_TURN = 16


class RequestReader:
    """Answers queries on one connection until its request line is received and submitted to the broker.

    Lives as long as its `run`; the connection holds no reference to it.
    """

    def __init__(self, connection: ClientConnection) -> None:
        """Read from the connection's stream, which must be armed."""
        self.connection = connection
        self.stream = connection.stream
        self.frontend = connection.frontend
        self.received_at = connection.loop.ready_since  # when the loop saw the last input, in ns of its clock
        self.was_queried = False
        self.turn_timer: Timer | None = None  # armed while queries wait for the next turn
        self.client_end: End | None = None  # how the client ended its side

    def run(self) -> Steps:
        """Return None once a request has been submitted, else the `Reason` why the connection ends."""
        timer = self.connection.set_timer(REQUEST_LINE_TIMEOUT_NS, ConnectionTimer.REQUEST_LINE)
        self.client_end = self.stream.fill()  # usually the request line has already arrived
        while True:
            try:
                is_submitted = self._process_lines()
            except RequestLineError as error:
                return self.connection.answer_bad_line(str(error))
            except LineTooLongError:
                return self.connection.answer_bad_line(LINE_TOO_LONG)
            if is_submitted:
                timer.cancel()
                return None
            # Otherwise answers to a client that sends queries without reading would exhaust memory.
            self.stream.set_reading(not self.stream.is_congested and self.turn_timer is None)
            if self.client_end is not None and self.turn_timer is None:
                return Reason.PROBED if self.was_queried else Reason.EMPTY
            reason = self._handle((yield))
            if reason is not None:
                return reason

    def _process_lines(self) -> bool:
        """Answer queries while the client reads the answers; return whether a request was submitted.

        After MAX_QUERIES_PER_TURN the others wait for the next turn.
        """
        if self.turn_timer is not None:
            return False
        answered = 0
        while not self.stream.is_congested and (line := self.stream.line()) is not None:
            prefix = bytes(line[: protocol.QUERY_PREFIX_BYTES])
            if prefix.rstrip() not in protocol.QUERIES:
                request_line = parse_request_line(bytes(line), self.frontend.names)
                self.connection.submit(request_line, self.received_at)
                return True
            self.stream.send(self.frontend.answer_query(prefix))
            self.frontend.connection_limiter.handle_answered(self.connection)
            self.was_queried = True
            answered += 1
            if answered == MAX_QUERIES_PER_TURN:
                self.turn_timer = self.connection.set_timer(0, NextTurn)
                break
        return False

    def _handle(self, message: object) -> Reason | None:
        """Handle one message; return a reason if it ends the connection."""
        match message:
            case Io(mask):
                self._handle_io(mask)
            case Timeout(tag=tag) if tag is NextTurn:
                self.turn_timer = None
            case Stop():
                return Reason.EVICTED
            case ShutdownNotice():
                # BUSY also answers a request line that is in transit; later input is discarded.
                self.stream.fill()
                self.stream.send(protocol.BUSY_LINE)
                return Reason.SHUT_DOWN
            case Timeout(tag=ConnectionTimer.REQUEST_LINE):
                self.stream.send(protocol.ERROR_LINE)
                return Reason.REQUEST_TIMEOUT
        return None

    def _handle_io(self, mask: int) -> None:
        if mask & select.EPOLLOUT:
            self.stream.flush()
        self.received_at = self.connection.loop.ready_since
        buffered_before = self.stream.buffered_bytes
        self.client_end = self.stream.fill()
        if self.stream.buffered_bytes > buffered_before:
            self.frontend.connection_limiter.handle_partial_request(self.connection)
