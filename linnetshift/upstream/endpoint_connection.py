"""The connection of one attempt: its set-up, then the relay of the endpoint's lines to the client."""

from __future__ import annotations

import select
from typing import NamedTuple

from linnetshift.broker.active_request import Attempt
from linnetshift.broker.broker import Broker
from linnetshift.broker.ports import Client
from linnetshift.event_loop.actor import ActorCoroutine, Io
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.outbound_connection import OutboundConnection, Resume, Steps, Stop, linger
from linnetshift.event_loop.stream import End, LineTooLongError, Stream
from linnetshift.event_loop.timers import MS
from linnetshift.observability import log
from linnetshift.observability.log import Reason
from linnetshift.routing.events import Outcome
from linnetshift.upstream.attempt_setup import AttemptResult, AttemptSetup
from linnetshift.util.figures import FigureError, parse_figure

LOAD_REPORT = b"LOAD "  # the beginning of a line in which an endpoint reports load
MAX_INSPECTED_BYTES = 64  # lines that the proxy interprets are shorter


class ClientEnded(NamedTuple):
    """Message: the client's side has ended."""

    is_reset: bool


# Outcomes by the last line before the endpoint ended the connection; RESET after any other line.
OUTCOMES_BY_LAST_LINE = {b"BYE": Outcome.OK, b"MOVE": Outcome.CANCELLED}


class EndpointConnection(OutboundConnection):
    """One attempt's connection: an actor with two states, and the broker's `UpstreamConnection`.

    The states are set-up, until the endpoint's answer (`AttemptSetup`), and established, with lines relayed.
    The broker gets one report of the end, unless the client ended or the broker abandoned the attempt before.
    """

    def __init__(self, loop: Loop, broker: Broker, attempt: Attempt, address: Address) -> None:
        """A connection that opens nothing before `start` is called with `run()`."""
        super().__init__(loop)
        self.broker = broker
        self.attempt = attempt
        self.address = address
        self.awaiting_reply_since_ns = 0  # when the oldest line without a reply was sent; 0: none
        self.last_received_ns = loop.now()
        self.outcome_by_last_line = Outcome.RESET  # if the endpoint ends now
        self.is_released = False  # the broker has the report of the end, or wants none

    # ---- called by the broker and the client's side -----------------------------------------

    @property
    def is_congested(self) -> bool:
        """Whether sent bytes wait until the endpoint reads."""
        return self.stream is not None and self.stream.is_congested

    def deliver(self, message: memoryview) -> None:
        """Send a line from the client to the endpoint."""
        if self.stream is not None and not self.is_released:
            self.stream.send(message)
            if not self.awaiting_reply_since_ns:
                self.awaiting_reply_since_ns = self.loop.now()

    def resume(self) -> None:
        """Read on, as the client is no longer congested."""
        self.post(Resume())

    def oldest_unanswered_ns(self) -> int:
        """Time since the oldest line without a reply was sent; 0 if there is none."""
        return self.loop.now() - self.awaiting_reply_since_ns if self.awaiting_reply_since_ns else 0

    def idle_ns(self) -> int:
        """Time since the endpoint last sent a line.

        0 while this side does not read because the client is congested: there may be unread lines.
        """
        if self.stream is None or not self.stream.reading:
            return 0
        return self.loop.now() - self.last_received_ns

    def handle_client_ended(self, reset: bool) -> None:
        """End the endpoint's side the way the client ended its own."""
        self.is_released = True
        self.post(ClientEnded(reset))

    def abandon(self) -> None:
        """Close at once: this connection must not be open when the next attempt sends its first byte."""
        self.is_released = True
        if self.stream is not None:
            self.stream.close()
        self.post(Stop())

    # ---- the actor --------------------------------------------------------------------------

    def run(self) -> ActorCoroutine:
        """Set up the connection, relay until one side ends, and report the end."""
        self.attempt.upstream = self
        result = yield from AttemptSetup(self).run()
        if result is None:
            result = yield from self._relay()
        self._report(self._close_stream(result))

    def report_failure(self) -> None:
        """End the attempt after a fault on its connection."""
        self._report(AttemptResult(Reason.FAULT, Outcome.RESET, is_reset=True))

    def _close_stream(self, result: AttemptResult) -> AttemptResult:
        """Close the stream; returns the result, with the reason ABANDONED where the broker had closed it."""
        if self.stream is None:
            return result
        if self.stream.closed:
            result = result._replace(reason=Reason.ABANDONED)
        self.stream.close(End.RESET if result.is_reset and self.is_released else End.FIN)
        return result

    def _report(self, result: AttemptResult) -> None:
        """Log the end, and report it to the broker unless that is done or not wanted."""
        log.connection_ended(
            "endpoint",
            result.reason,
            id=self.attempt.request.id,
            attempt=self.attempt.number,
            endpoint=self.attempt.endpoint.decode("utf-8", "replace"),
            ms=(self.loop.now() - self.attempt.began) // MS,
        )
        if not self.is_released:
            self.is_released = True
            self.broker.handle_attempt_ended(self.attempt, result.outcome, result.is_reset)

    # ---- established ------------------------------------------------------------------------

    def _relay(self) -> Steps:
        """Pass the endpoint's lines on until one side ends; returns the `AttemptResult`.

        The other direction does not use this actor's mailbox: the client's side calls `deliver`.
        """
        stream = self.stream
        assert stream is not None
        client = self.attempt.request.client
        end = self._forward_lines(stream)
        while end is None:
            match (yield):
                case Io(mask):
                    end = self._handle_io(stream, client, mask)
                case Resume():
                    end = self._forward_lines(stream)
                case ClientEnded(is_reset=True):
                    return AttemptResult(Reason.CLIENT_RESET, self.outcome_by_last_line, is_reset=True)
                case ClientEnded():
                    stream.finish()
                    yield from linger(self, stream)
                    return AttemptResult(Reason.CLIENT_LEFT, self.outcome_by_last_line)
                case Stop():
                    return AttemptResult(Reason.ABANDONED, self.outcome_by_last_line)
        if end is End.FIN and (rest := stream.rest()):
            client.deliver(rest)
        return _result_of_end(end, self.outcome_by_last_line)

    def _handle_io(self, stream: Stream, client: Client, mask: int) -> End | None:
        """Write and read as far as possible; how the endpoint ended the connection, if it did."""
        end: End | None = None
        if mask & select.EPOLLOUT:
            stream.flush()
            if not stream.is_congested:
                client.resume()
        if mask & ~select.EPOLLOUT:
            end = stream.fill()
            end = self._forward_lines(stream) or end
        if stream.broken and end is None:
            return End.RESET
        return end

    def _forward_lines(self, stream: Stream) -> End | None:
        """Pass complete lines to the client, and stop reading while the client is congested.

        A line that is too long counts as a reset.
        """
        client = self.attempt.request.client
        if self.is_released:
            stream.rest()  # discarded, as the client has ended or the attempt was abandoned
            return None
        try:
            while not client.is_congested and (line := stream.line()) is not None:
                self._inspect_line(line)
                client.deliver(line)
        except LineTooLongError:
            return End.RESET
        stream.set_reading(not client.is_congested)
        return None

    def _inspect_line(self, line: memoryview) -> None:
        """Record load reports, response times and the last line; all lines are passed on."""
        self.last_received_ns = self.loop.now()
        text = bytes(line[:MAX_INSPECTED_BYTES]).strip()
        if text.startswith(LOAD_REPORT):
            self._record_load_report(text[len(LOAD_REPORT) :])
            return
        self.outcome_by_last_line = OUTCOMES_BY_LAST_LINE.get(text, Outcome.RESET)
        if self.awaiting_reply_since_ns:
            self.broker.record_response_time(self.attempt, self.loop.now() - self.awaiting_reply_since_ns)
            self.awaiting_reply_since_ns = 0

    def _record_load_report(self, value: bytes) -> None:
        """Pass a reported value to the broker; an invalid one is logged, and the former one stays.

        It is the connection's load in us/s or the endpoint's message time in ms; the broker determines which.
        """
        try:
            figure = parse_figure(value)
        except FigureError as error:
            endpoint = self.attempt.endpoint.decode("utf-8", "replace")
            log.info("load-report-invalid", endpoint=endpoint, error=str(error))
            return
        self.broker.record_load_report(self.attempt, figure)


def _result_of_end(end: End, outcome: Outcome) -> AttemptResult:
    """The result of an established connection that the endpoint ended; `outcome` is by the last line."""
    is_reset = end is End.RESET
    if outcome is Outcome.OK:
        reason = Reason.SERVED
    elif outcome is Outcome.CANCELLED:
        reason = Reason.ENDPOINT_MIGRATED
    else:
        reason = Reason.ENDPOINT_RESET if is_reset else Reason.ENDPOINT_LEFT
    return AttemptResult(reason, outcome, is_reset)
