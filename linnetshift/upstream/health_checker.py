"""Active health checks, and the load reports in their answers."""

from __future__ import annotations

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
from linnetshift.util.figures import FigureError, parse_figure

# For connecting, and the same again for the answer.
HEALTH_CHECK_TIMEOUT_NS = 200 * MS

PING = b"PING\r\n"
LOAD_REPORT_REQUEST = b"STATS\r\n"
HEALTHY = b"PONG"  # the first word of a healthy endpoint's answer to either; a load report may follow

REASONS_BY_OUTCOME = {
    Outcome.OK: Reason.ANSWERED,
    Outcome.ERROR: Reason.ERROR,
    Outcome.RESET: Reason.ENDPOINT_RESET,
    Outcome.TIMEOUT: Reason.TIMED_OUT,
    Outcome.CONNECT_FAILED: Reason.UNREACHABLE,
}


class HealthChecker(OutboundConnection):
    """One health check of an endpoint; requests a load report too unless `columns` is empty."""

    def __init__(
        self,
        loop: Loop,
        endpoint: bytes,
        columns: tuple[str, ...],
        notify_result: Callable[[Outcome, int, tuple[float, ...]], None],
        notify_refused: Callable[[], None],
    ) -> None:
        """`notify_result` gets the outcome, the response time in ns, and the values of the load report.

        `notify_refused` is called before it if the endpoint's machine refused the connection.
        """
        super().__init__(loop)
        self.endpoint = endpoint
        self.columns = columns
        self.notify_result = notify_result
        self.notify_refused = notify_refused
        self.started_at_ns = loop.now()
        self.load_report: tuple[float, ...] = ()

    def run(self, address: Address) -> ActorCoroutine:
        """Check the endpoint at the address, and report."""
        outcome = Outcome.CONNECT_FAILED
        is_connected = yield from self.connect(address, HEALTH_CHECK_TIMEOUT_NS)
        stream = self.stream
        if is_connected and stream is not None:
            # The time to connect does not show how fast the endpoint answers, so it is not counted.
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
        """Log the result and pass it on."""
        elapsed_ns = self.loop.now() - self.started_at_ns
        check_fields: dict[str, object] = {
            "endpoint": self.endpoint.decode("utf-8", "replace"),
            "ms": elapsed_ns // MS,
        }
        report_fields = dict(zip(self.columns, self.load_report, strict=False))
        # A column may have the name of one of the check's own fields, which keep their places and values.
        log.connection_ended(
            "health-check", REASONS_BY_OUTCOME[outcome], **(check_fields | report_fields | check_fields)
        )
        self.notify_result(outcome, elapsed_ns, self.load_report)

    def _await_answer(self, stream: Stream) -> Steps:
        """Wait for the answer or the timeout; returns the outcome."""
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
            self.load_report = parse_load_report(report, self.columns)
            if report and self.columns and not self.load_report:
                log.info("load-report-invalid", endpoint=self.endpoint.decode("utf-8", "replace"))
            return Outcome.OK if keyword == HEALTHY else Outcome.ERROR
        return Outcome.RESET if end is not None else None


def parse_load_report(text: bytes, columns: tuple[str, ...]) -> tuple[float, ...]:
    """A load report, `NAME=NUMBER,NAME=NUMBER...`, as values in the order of `columns`.

    Empty if a column is missing or no valid figure: a partial report would be taken for a complete one.
    """
    pairs = (pair.partition("=") for pair in text.decode("ascii", "replace").split(","))
    text_by_column = {name: number for name, _, number in pairs}
    try:
        return tuple(parse_figure(text_by_column[column]) for column in columns)
    except (KeyError, FigureError):
        return ()
