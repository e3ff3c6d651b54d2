"""The set-up of one attempt: from connecting until the endpoint has answered the request line."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING, NamedTuple

from linnetshift.event_loop.actor import Io
from linnetshift.event_loop.connection_limits import ConnectionTimer
from linnetshift.event_loop.outbound_connection import Steps, Stop
from linnetshift.event_loop.stream import End, LineTooLongError, Stream
from linnetshift.event_loop.timers import MS, Timeout
from linnetshift.observability.log import Reason
from linnetshift.routing.events import Outcome

if TYPE_CHECKING:
    from linnetshift.upstream.endpoint_connection import EndpointConnection

ESTABLISHED = b"UP"  # the first word of an answer that accepts the request; a receipt follows


class AttemptResult(NamedTuple):
    """How an attempt's connection ended: for the log, for the balancer, and for the client's side."""

    reason: Reason
    outcome: Outcome
    is_reset: bool = False


# Results by the first word of the endpoint's answer, except ESTABLISHED.
RESULTS_BY_ANSWER = {
    b"ERR": AttemptResult(Reason.ERROR, Outcome.ERROR),
    b"BUSY": AttemptResult(Reason.ENDPOINT_FULL, Outcome.FULL),
    b"MOVE": AttemptResult(Reason.ENDPOINT_MIGRATED, Outcome.CANCELLED),
}
UNKNOWN_ANSWER_RESULT = AttemptResult(Reason.ERROR, Outcome.ERROR)


class AttemptSetup:
    """Connects, sends the request line and waits for the endpoint's answer.

    Lives as long as its `run`; the connection holds no reference to it.
    """

    def __init__(self, connection: EndpointConnection) -> None:
        """A set-up that opens nothing before `run`."""
        self.connection = connection
        self.attempt = connection.attempt
        self.broker = connection.broker
        self.loop = connection.loop
        self.is_accepted = False  # the endpoint has accepted the request

    def run(self) -> Steps:
        """Return None once the endpoint has accepted the request, else the `AttemptResult`."""
        connection = self.connection
        timeout_ns = min(self.broker.settings.connect_timeout_ns, self.attempt.deadline - self.loop.now())
        is_connected = yield from connection.connect(connection.address, timeout_ns)
        if not is_connected:
            if connection.was_refused:
                self.broker.record_unavailable(self.attempt.endpoint)
            reason = Reason.ABANDONED if connection.is_released else Reason.UNREACHABLE
            return AttemptResult(reason, Outcome.CONNECT_FAILED)
        stream = connection.stream
        assert stream is not None
        if not self.broker.may_send(self.attempt):
            # Nothing is sent to the endpoint; the broker places the request again if that is allowed.
            return AttemptResult(Reason.ABANDONED, Outcome.NOT_SENT)
        if not stream.is_present:
            # The endpoint closed the connection before it got the request, so it has executed nothing.
            return AttemptResult(Reason.ENDPOINT_LEFT, Outcome.CONNECT_FAILED)
        return (yield from self._exchange_request_line(stream))

    def _exchange_request_line(self, stream: Stream) -> Steps:
        """Send the request line and wait for its answer; returns as `run` does."""
        self.attempt.is_sent = True
        remaining_ns = self.attempt.deadline - self.loop.now()
        stream.send(self.attempt.request.encode_request_line(max(1, remaining_ns // MS)))
        timer = self.connection.set_timer(remaining_ns, ConnectionTimer.ANSWER)
        result: AttemptResult | None = None
        while result is None and not self.is_accepted:
            match (yield):
                case Io(mask):
                    result = self._handle_io(stream, mask)
                case Timeout(tag=ConnectionTimer.ANSWER):
                    result = AttemptResult(Reason.TIMED_OUT, Outcome.TIMEOUT)
                case Stop():
                    result = AttemptResult(Reason.ABANDONED, Outcome.CANCELLED)
        timer.cancel()
        return result

    def _handle_io(self, stream: Stream, mask: int) -> AttemptResult | None:
        """Write and read as far as possible; the result if the attempt failed."""
        if mask & select.EPOLLOUT:
            stream.flush()
        has_unsent_bytes = stream.is_congested or stream.broken
        if not mask & ~select.EPOLLOUT:
            return None
        end = stream.fill()
        result = self._receive_answer(stream)
        if result is not None or self.is_accepted or end is None:
            return result
        # An endpoint that lacks a part of the request line has executed nothing, so another one may be tried.
        reason = Reason.ENDPOINT_RESET if end is End.RESET else Reason.ENDPOINT_LEFT
        return AttemptResult(reason, Outcome.CONNECT_FAILED if has_unsent_bytes else Outcome.RESET)

    def _receive_answer(self, stream: Stream) -> AttemptResult | None:
        """Read the answer if it is complete; the result unless the answer accepts the request."""
        try:
            line = stream.line()
        except LineTooLongError:
            return AttemptResult(Reason.BAD_LINE, Outcome.ERROR)
        if line is None:
            return None
        keyword, _, receipt = bytes(line).rstrip(b"\r\n").partition(b" ")
        if keyword == ESTABLISHED and _is_receipt(receipt):
            self.is_accepted = True
            self.broker.handle_established(self.attempt, line)
            return None
        return RESULTS_BY_ANSWER.get(keyword, UNKNOWN_ANSWER_RESULT)


def _is_receipt(text: bytes) -> bool:
    """Whether the text may follow ESTABLISHED: printable ASCII, and not empty."""
    return bool(text) and text.isascii() and text.decode().isprintable()
