"""The connection of one attempt to its endpoint."""

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
from linnetshift.event_loop.timers import MS, Timeout
from linnetshift.observability import log
from linnetshift.observability.log import Reason
from linnetshift.routing.events import Outcome

ANSWER_TIMER = "answer"
ESTABLISHED = b"UP"  # the first word of an answer that accepts the request; a receipt follows
LOAD_REPORT = b"LOAD "  # how a line begins with which an endpoint reports this connection's load
MAX_INSPECTED_BYTES = 64  # lines that mean something to the proxy are shorter


class ClientEnded(NamedTuple):
    """The client's side has ended."""

    is_reset: bool


class AttemptResult(NamedTuple):
    """How an attempt's connection ended: for the log, for the decisions, and for the client's side."""

    reason: Reason
    outcome: Outcome
    is_reset: bool = False


# What the first word of an endpoint's answer means, but for ESTABLISHED.
RESULTS_BY_ANSWER = {
    b"ERR": AttemptResult(Reason.ERROR, Outcome.ERROR),
    b"BUSY": AttemptResult(Reason.ENDPOINT_FULL, Outcome.FULL),
    b"MOVE": AttemptResult(Reason.ENDPOINT_MIGRATED, Outcome.CANCELLED),
}
UNKNOWN_ANSWER = AttemptResult(Reason.ERROR, Outcome.ERROR)

# What it means if the endpoint ends the connection after this line; after any other it broke off.
OUTCOMES_BY_LAST_LINE = {b"BYE": Outcome.OK, b"MOVE": Outcome.CANCELLED}


class EndpointConnection(OutboundConnection):
    """One attempt's connection: the request line, the answer to it, then lines both ways.

    Implements the broker's `UpstreamConnection`. The broker gets one report of its end, unless the client
    ended or the broker abandoned the attempt before.
    """

    def __init__(self, loop: Loop, broker: Broker, attempt: Attempt, address: Address) -> None:
        """Nothing is opened before `start` is called with `run()`."""
        super().__init__(loop)
        self.broker = broker
        self.attempt = attempt
        self.address = address
        self.awaiting_reply_since_ns = 0  # when a line went out that has no reply yet; 0: none
        self.last_received_ns = loop.now()
        self.outcome_at_end = Outcome.RESET  # what the end of the connection means, by the last line
        self.is_established = False
        self.is_released = False  # the broker has given it up, or has the report of its end

    # ---- called by the broker and the client's side -----------------------------------------

    @property
    def is_congested(self) -> bool:
        """Whether bytes wait for the endpoint to take them."""
        return self.stream is not None and self.stream.is_congested

    def deliver(self, message: memoryview) -> None:
        """Send a line of the client's."""
        if self.stream is not None and not self.is_released:
            self.stream.send(message)
            if not self.awaiting_reply_since_ns:
                self.awaiting_reply_since_ns = self.loop.now()

    def resume(self) -> None:
        """The client takes lines again."""
        self.post(Resume())

    def oldest_unanswered_ns(self) -> int:
        """For how long the endpoint has owed a reply; 0 if it owes none."""
        return self.loop.now() - self.awaiting_reply_since_ns if self.awaiting_reply_since_ns else 0

    def idle_ns(self) -> int:
        """For how long the endpoint has sent nothing.

        0 while this side does not read: its client does not take what the endpoint may have sent.
        """
        if self.stream is None or not self.stream.reading:
            return 0
        return self.loop.now() - self.last_received_ns

    def handle_client_ended(self, reset: bool) -> None:
        """End the endpoint's side the same way."""
        self.is_released = True
        self.post(ClientEnded(reset))

    def abandon(self) -> None:
        """Close it here and now: the next attempt's first byte must not meet this one still open."""
        self.is_released = True
        if self.stream is not None:
            self.stream.close()
        self.post(Stop())

    # ---- the actor --------------------------------------------------------------------------

    def run(self) -> ActorCoroutine:
        """Establish the connection, relay until one side ends, and report."""
        self.attempt.upstream = self
        result = yield from self.establish()
        if result is None:
            result = yield from self.relay()
        self.report(self.close_stream(result))

    def close_stream(self, result: AttemptResult) -> AttemptResult:
        """Close the stream; the result with the reason ABANDONED where the broker had closed it."""
        if self.stream is None:
            return result
        if self.stream.closed:
            result = result._replace(reason=Reason.ABANDONED)
        self.stream.close(End.RESET if result.is_reset and self.is_released else End.FIN)
        return result

    def report_failure(self) -> None:
        """End the attempt after a fault on its connection."""
        self.report(AttemptResult(Reason.FAULT, Outcome.RESET, is_reset=True))

    def report(self, result: AttemptResult) -> None:
        """Log the end, and notify the broker if it does not know."""
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

    # ---- until the endpoint's answer --------------------------------------------------------

    def establish(self) -> Steps:
        """Connect, send the request line and await its answer; None once the endpoint accepted it."""
        limit_ns = min(self.broker.settings.connect_timeout_ns, self.attempt.deadline - self.loop.now())
        is_connected = yield from self.connect(self.address, limit_ns)
        if not is_connected:
            reason = Reason.ABANDONED if self.is_released else Reason.UNREACHABLE
            return AttemptResult(reason, Outcome.CONNECT_FAILED)
        stream = self.stream
        assert stream is not None
        if not self.broker.may_send(self.attempt):
            # The endpoint must not get a byte; the request is placed anew, if it may be.
            return AttemptResult(Reason.ABANDONED, Outcome.MOOT)
        if not stream.is_present:
            # Closed as soon as it was accepted: nothing can have been executed there.
            return AttemptResult(Reason.ENDPOINT_LEFT, Outcome.CONNECT_FAILED)
        return (yield from self.exchange_request_line(stream))

    def exchange_request_line(self, stream: Stream) -> Steps:
        """Send the request line and await its answer; None once the endpoint accepted it."""
        self.attempt.is_sent = True
        remaining_ns = self.attempt.deadline - self.loop.now()
        stream.send(self.attempt.request.encode_request_line(max(1, remaining_ns // MS)))
        timer = self.set_timer(remaining_ns, ANSWER_TIMER)
        result: AttemptResult | None = None
        while result is None and not self.is_established:
            match (yield):
                case Io(mask):
                    result = self.handle_io_before_answer(stream, mask)
                case Timeout(tag="answer"):
                    result = AttemptResult(Reason.TIMED_OUT, Outcome.TIMEOUT)
                case Stop():
                    result = AttemptResult(Reason.ABANDONED, Outcome.CANCELLED)
        timer.cancel()
        return result

    def handle_io_before_answer(self, stream: Stream, mask: int) -> AttemptResult | None:
        """Write and read as far as possible; the result if the attempt failed."""
        if mask & select.EPOLLOUT:
            stream.flush()
        is_unsent = stream.is_congested or stream.broken
        if not mask & ~select.EPOLLOUT:
            return None
        end = stream.fill()
        result = self.receive_answer(stream)
        if result is not None or self.is_established or end is None:
            return result
        # Without the whole request line the endpoint has executed nothing, and another may be tried.
        reason = Reason.ENDPOINT_RESET if end is End.RESET else Reason.ENDPOINT_LEFT
        return AttemptResult(reason, Outcome.CONNECT_FAILED if is_unsent else Outcome.RESET)

    def receive_answer(self, stream: Stream) -> AttemptResult | None:
        """Read the answer once it is complete; the result unless it accepts the request."""
        try:
            line = stream.line()
        except LineTooLongError:
            return AttemptResult(Reason.BAD_LINE, Outcome.ERROR)
        if line is None:
            return None
        keyword, _, receipt = bytes(line).rstrip(b"\r\n").partition(b" ")
        if keyword == ESTABLISHED and is_receipt(receipt):
            self.is_established = True
            self.broker.handle_established(self.attempt, line)
            return None
        return RESULTS_BY_ANSWER.get(keyword, UNKNOWN_ANSWER)

    # ---- established ------------------------------------------------------------------------

    def relay(self) -> Steps:
        """Pass lines on both ways until one side ends; the result."""
        stream = self.stream
        assert stream is not None
        client = self.attempt.request.client
        end = self.forward_lines(stream)
        while end is None:
            match (yield):
                case Io(mask):
                    end = self.handle_io(stream, client, mask)
                case Resume():
                    end = self.forward_lines(stream)
                case ClientEnded(is_reset=True):
                    return AttemptResult(Reason.CLIENT_RESET, self.outcome_at_end, is_reset=True)
                case ClientEnded():
                    stream.finish()
                    yield from linger(self, stream)
                    return AttemptResult(Reason.CLIENT_LEFT, self.outcome_at_end)
                case Stop():
                    return AttemptResult(Reason.ABANDONED, self.outcome_at_end)
        if end is End.FIN and (rest := stream.rest()):
            client.deliver(rest)
        return result_of_end(end, self.outcome_at_end)

    def handle_io(self, stream: Stream, client: Client, mask: int) -> End | None:
        """Write and read as far as possible; how the endpoint ended the connection, if it did."""
        end: End | None = None
        if mask & select.EPOLLOUT:
            stream.flush()
            if not stream.is_congested:
                client.resume()
        if mask & ~select.EPOLLOUT:
            end = stream.fill()
            end = self.forward_lines(stream) or end
        if stream.broken and end is None:
            return End.RESET
        return end

    def forward_lines(self, stream: Stream) -> End | None:
        """Pass whole lines to the client while it takes them; stop reading when it does not.

        A line that is too long counts as a reset.
        """
        client = self.attempt.request.client
        if self.is_released:
            stream.rest()
            return None
        try:
            while not client.is_congested and (line := stream.line()) is not None:
                self.inspect_line(line)
                client.deliver(line)
        except LineTooLongError:
            return End.RESET
        stream.set_reading(not client.is_congested)
        return None

    def inspect_line(self, line: memoryview) -> None:
        """Record what a line means to the proxy; it is passed on all the same."""
        self.last_received_ns = self.loop.now()
        text = bytes(line[:MAX_INSPECTED_BYTES]).strip()
        if text.startswith(LOAD_REPORT):
            self.record_load_report(text[len(LOAD_REPORT) :])
            return
        self.outcome_at_end = OUTCOMES_BY_LAST_LINE.get(text, Outcome.RESET)
        if self.awaiting_reply_since_ns:
            self.broker.record_response_time(self.attempt, self.loop.now() - self.awaiting_reply_since_ns)
            self.awaiting_reply_since_ns = 0

    def record_load_report(self, figure: bytes) -> None:
        """Notify the broker of a reported figure.

        It is the connection's load in us/s or the endpoint's message time in ms; the broker finds out which.
        """
        try:
            self.broker.record_load_report(self.attempt, float(figure))
        except ValueError:
            log.info("load-report-invalid", endpoint=self.attempt.endpoint.decode("utf-8", "replace"))


def result_of_end(end: End, outcome: Outcome) -> AttemptResult:
    """The result of an established connection that the endpoint ended; `outcome` is by its last line."""
    is_reset = end is End.RESET
    if outcome is Outcome.OK:
        reason = Reason.SERVED
    elif outcome is Outcome.CANCELLED:
        reason = Reason.ENDPOINT_MIGRATED
    else:
        reason = Reason.ENDPOINT_RESET if is_reset else Reason.ENDPOINT_LEFT
    return AttemptResult(reason, outcome, is_reset)


def is_receipt(text: bytes) -> bool:
    """Whether the text may follow ESTABLISHED: printable ASCII, and not empty."""
    return bool(text) and text.isascii() and text.decode().isprintable()
