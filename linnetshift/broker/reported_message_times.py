"""Message times reported by endpoints.

Such a report has the same form as a connection's load report; its figure and its time of arrival tell the two
apart. An endpoint reports its message time in ms, once a second on one connection of each proxy while it is
slow, and once more when it no longer is.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from linnetshift.observability.resource_usage import ResourceUsage

NS_PER_S = 1_000_000_000
NS_PER_MS = 1e6

# Figures below this are always message times: a typical connection's load in us/s is a hundred times as high.
CERTAIN_MESSAGE_TIME_BELOW_MS = 500.0
# Figures from there up to this are message times if they arrive one interval after another small figure.
POSSIBLE_MESSAGE_TIME_BELOW_MS = 10_000.0
REPORT_INTERVAL_NS = NS_PER_S
REPORT_JITTER_NS = 30_000_000
# How long a reported time is valid: two intervals, as one report may be lost.
REPORTED_TIME_LIFETIME_NS = 2 * NS_PER_S


class ReportedTime(NamedTuple):
    """A message time reported by an endpoint, and the arrival time of the report, both in ns."""

    at_ns: int
    elapsed_ns: float


NEVER_REPORTED = ReportedTime(0, 0.0)


class ReportedMessageTimes:
    """Distinguishes reported message times from loads, and stores the latest one of each endpoint.

    All times are in ns of the caller's clock.

    Attributes:
        latest: the latest reported message time, by endpoint.
        small_figure_at_ns: when an endpoint last reported a figure that may be a message time, by endpoint.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self.latest: dict[bytes, ReportedTime] = {}
        self.small_figure_at_ns: dict[bytes, int] = {}

    def record(self, endpoint: bytes, figure: float, now_ns: int) -> float | None:
        """Record a reported figure if it is a message time in ms.

        Returns the message time in ns, or None if the figure is a connection's load.
        """
        if figure >= POSSIBLE_MESSAGE_TIME_BELOW_MS:
            return None
        since_last_ns = now_ns - self.small_figure_at_ns.get(endpoint, 0)
        self.small_figure_at_ns[endpoint] = now_ns
        if (
            figure >= CERTAIN_MESSAGE_TIME_BELOW_MS
            and abs(since_last_ns - REPORT_INTERVAL_NS) > REPORT_JITTER_NS
        ):
            return None
        elapsed_ns = figure * NS_PER_MS
        self.latest[endpoint] = ReportedTime(now_ns, elapsed_ns)
        return elapsed_ns

    def elapsed_ns(self, endpoint: bytes, now_ns: int) -> float:
        """The message time last reported by the endpoint, in ns; 0 if the report has expired."""
        reported = self.latest.get(endpoint, NEVER_REPORTED)
        return reported.elapsed_ns if now_ns - reported.at_ns < REPORTED_TIME_LIFETIME_NS else 0.0

    def drop(self, endpoint: bytes) -> None:
        """Drop the endpoint's reports."""
        self.small_figure_at_ns.pop(endpoint, None)
        self.latest.pop(endpoint, None)

    def drop_all_but(self, endpoints: Collection[bytes]) -> None:
        """Drop the reports of all other endpoints."""
        for endpoint in (self.small_figure_at_ns.keys() | self.latest.keys()) - set(endpoints):
            self.drop(endpoint)

    def resource_usage(self, max_names: int) -> dict[str, ResourceUsage]:
        """Sizes and bounds, under their names in `GET /ops/census`; `max_names` bounds known endpoints."""
        return {
            "gauge.small_at": ResourceUsage(len(self.small_figure_at_ns), max_names),
            "gauge.told_times": ResourceUsage(len(self.latest), max_names),
        }
