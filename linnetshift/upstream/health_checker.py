"""Active health checks and the load reports that they bring."""

from __future__ import annotations

import math
import select
from collections.abc import Callable

from linnetshift.event_loop.actor import ActorCoroutine, Io
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.connection_limits import ConnectionTimer
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.outbound_connection import OutboundConnection, Steps
from linnetshift.event_loop.stream import LineTooLongError, Stream
from linnetshift.event_loop.timers import MS, Timeout
from linnetshift.observability import log
from linnetshift.observability.log import Reason
from linnetshift.routing.events import Outcome

# For the connection, and again for the answer.
HEALTH_CHECK_TIMEOUT_NS = 200 * MS

PING = b"PING\r\n"
LOAD_REPORT_REQUEST = b"STATS\r\n"
HEALTHY = b"PONG"  # the first word of a healthy endpoint's answer to either; a load report may follow

REASONS = {
    Outcome.OK: Reason.ANSWERED,
    Outcome.ERROR: Reason.ERROR,
    Outcome.RESET: Reason.ENDPOINT_RESET,
    Outcome.TIMEOUT: Reason.TIMED_OUT,
    Outcome.CONNECT_FAILED: Reason.UNREACHABLE,
}


class HealthChecker(OutboundConnection):
    """One health check of an endpoint, which requests a load report too where `columns` names any."""

    def __init__(
        self,
        loop: Loop,
        endpoint: bytes,
        columns: tuple[str, ...],
        notify_result: Callable[[Outcome, int, tuple[float, ...]], None],
        notify_refused: Callable[[], None],
    ) -> None:
        """`notify_result` gets the outcome, the response time in ns, and the figures of the load report.

        `notify_refused` is called first where the endpoint's machine refused the connection.
        """
        super().__init__(loop)
        self.endpoint = endpoint
        self.columns = columns
        self.notify_result = notify_result
        self.notify_refused = notify_refused
        self.started_at_ns = loop.now()
        self.figures: tuple[float, ...] = ()

    def run(self, address: Address) -> ActorCoroutine:
        """Check the endpoint at the address, and report."""
        outcome = Outcome.CONNECT_FAILED
        is_connected = yield from self.connect(address, HEALTH_CHECK_TIMEOUT_NS)
        stream = self.stream
        if is_connected and stream is not None:
            # The round trip of connecting does not show how fast the endpoint is.
            self.started_at_ns = self.loop.now()
            stream.send(LOAD_REPORT_REQUEST if self.columns else PING)
            outcome = yield from self._await_answer(stream)
        if stream is not None:
            stream.close()
        if self.was_refused:
            self.notify_refused()
        self._report(outcome)

    def report_failure(self) -> None:
        """Report an error after a fault in the check itself."""
        self._report(Outcome.ERROR)

    def _report(self, outcome: Outcome) -> None:
        """Log the end and pass on the result."""
        elapsed_ns = self.loop.now() - self.started_at_ns
        check_fields: dict[str, object] = {
            "endpoint": self.endpoint.decode("utf-8", "replace"),
            "ms": elapsed_ns // MS,
        }
        figures = dict(zip(self.columns, self.figures, strict=False))
        # A column may have the name of one of the check's own fields, which keep their places and values.
        log.connection_ended("health-check", REASONS[outcome], **(check_fields | figures | check_fields))
        self.notify_result(outcome, elapsed_ns, self.figures)

    def _await_answer(self, stream: Stream) -> Steps:
        """The outcome, once the answer is there or its time is up."""
        timer = self.set_timer(HEALTH_CHECK_TIMEOUT_NS, ConnectionTimer.ANSWER)
        outcome: Outcome | None = None
        while outcome is None:
            match (yield):
                case Io(mask):
                    outcome = self._handle_io(stream, mask)
                case Timeout(tag=ConnectionTimer.ANSWER):
                    outcome = Outcome.TIMEOUT
        timer.cancel()
        return outcome

    def _handle_io(self, stream: Stream, mask: int) -> Outcome | None:
        """Write and read as far as possible; the outcome once it is known."""
        if mask & select.EPOLLOUT:
            stream.flush()
        end = stream.fill()
        try:
            line = stream.line()
        except LineTooLongError:
            return Outcome.ERROR
        if line is not None:
            keyword, _, report = bytes(line).strip().partition(b" ")
            self.figures = parse_load_report(report, self.columns)
            return Outcome.OK if keyword == HEALTHY else Outcome.ERROR
        return Outcome.RESET if end is not None else None


def parse_load_report(text: bytes, columns: tuple[str, ...]) -> tuple[float, ...]:
    """A load report, `NAME=FIGURE,NAME=FIGURE...`, as figures in the order of `columns`.

    Empty where a column is missing or no finite number: half a report would be read as a whole one.
    """
    pairs = (pair.partition("=") for pair in text.decode("ascii", "replace").split(","))
    text_by_column = {name: figure for name, _, figure in pairs}
    try:
        figures = tuple(float(text_by_column[column]) for column in columns)
    except (KeyError, ValueError):
        return ()
    return figures if all(map(math.isfinite, figures)) else ()
