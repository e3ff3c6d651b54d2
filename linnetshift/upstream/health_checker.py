"""Active health checks and the load reports that they bring."""

from __future__ import annotations

import math
import select
from collections.abc import Callable

from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import MS, ActorCoroutine, Io, Loop, Timeout
from linnetshift.event_loop.outbound_connection import OutboundConnection, Steps
from linnetshift.event_loop.stream import LineTooLongError, Stream
from linnetshift.observability import log
from linnetshift.observability.log import Reason
from linnetshift.routing.events import Outcome

HEALTH_CHECK_NS = 200 * MS
PROBED = {
    Outcome.OK: Reason.ANSWERED,
    Outcome.ERROR: Reason.ERROR,
    Outcome.RESET: Reason.ENDPOINT_RESET,
    Outcome.TIMEOUT: Reason.TIMED_OUT,
    Outcome.CONNECT_FAILED: Reason.UNREACHABLE,
}


class HealthChecker(OutboundConnection):
    """One health check of an endpoint; where `columns` are named, it asks for the report of them too."""

    def __init__(
        self,
        loop: Loop,
        endpoint: bytes,
        columns: tuple[str, ...],
        told: Callable[[Outcome, int, tuple[float, ...]], None],
    ) -> None:
        super().__init__(loop)
        self.endpoint, self.columns, self.told, self.began = endpoint, columns, told, loop.now()
        self.figures: tuple[float, ...] = ()

    def run(self, address: Address) -> ActorCoroutine:
        outcome = Outcome.CONNECT_FAILED
        up = yield from self.connect(address, HEALTH_CHECK_NS)
        stream = self.stream
        if up and stream is not None:
            self.began = self.loop.now()  # the time to connect, twice the way there and back, is the way's
            stream.send(b"STATS\r\n" if self.columns else b"PING\r\n")
            outcome = yield from self.answer(stream)
        if stream is not None:
            stream.close()
        self.report(outcome)

    def gave_up(self) -> None:
        self.report(Outcome.ERROR)

    def report(self, outcome: Outcome) -> None:
        took = self.loop.now() - self.began
        told: dict[str, object] = {"provider": self.endpoint.decode("utf-8", "replace"), "ms": took // MS}
        figures = dict(zip(self.columns, self.figures, strict=False))
        log.connection_ended("health-check", PROBED[outcome], **(told | figures | told))
        self.told(outcome, took, self.figures)

    def answer(self, stream: Stream) -> Steps:
        timer = self.set_timer(HEALTH_CHECK_NS, "probe")
        outcome: Outcome | None = None
        while outcome is None:
            match (yield):
                case Io(mask):
                    if mask & select.EPOLLOUT:
                        stream.flush()
                    end = stream.fill()
                    try:
                        line = stream.line()
                    except LineTooLongError:
                        outcome = Outcome.ERROR
                        break
                    if line is not None:
                        word, _, rest = bytes(line).strip().partition(b" ")
                        outcome = Outcome.OK if word == b"PONG" else Outcome.ERROR
                        self.figures = parse_report(rest, self.columns)
                    elif end is not None:
                        outcome = Outcome.RESET
                case Timeout(tag="probe"):
                    outcome = Outcome.TIMEOUT
        timer.cancel()
        return outcome


def parse_report(text: bytes, columns: tuple[str, ...]) -> tuple[float, ...]:
    """A load report, `NAME=FIGURE,NAME=FIGURE...`, as figures in the order of `columns`.

    Nothing at all where a column is missing or no finite number: half a report would be read as a whole one.
    """
    told = dict(pair.partition("=")[::2] for pair in text.decode("ascii", "replace").split(","))
    try:
        figures = tuple(float(told[column]) for column in columns)
    except (KeyError, ValueError):
        return ()
    return figures if all(map(math.isfinite, figures)) else ()
