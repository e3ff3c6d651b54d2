"""Counts over all proxies of a run, from the lines of their logs."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from itertools import pairwise
from typing import NamedTuple

from proxy_logs import LogLine

WARM_UP_S = 10.0
"""Time after its start during which an endpoint counts as warming up."""


class Rejection(NamedTuple):
    """A rejected request: time, number of attempts, and the retry delay that the client was given."""

    at_s: float
    attempts: int
    retry_after_ms: int


class DiscoveryCall(NamedTuple):
    """A call to discovery: when it ended, and whether it returned a list."""

    at_s: float
    is_answered: bool


class BusyStep(NamedTuple):
    """A step in which an endpoint got many connections; `warming_up_count`: those while it was warming up."""

    connections: int
    at_s: float
    endpoint: str
    warming_up_count: int


class FleetCounts:
    """Counts over all proxies."""

    def __init__(self, lines: Iterable[LogLine]) -> None:
        self.proxies: set[str] = set()
        self.end_s = 0.0
        self.attempt_times: dict[str, list[float]] = defaultdict(list)
        """Start times of the attempts at an endpoint, in seconds."""

        self.attempt_ends: dict[str, Counter[str]] = defaultdict(Counter)
        """Reasons with which attempts and connections of an endpoint ended."""

        self.health_check_ends: dict[str, Counter[str]] = defaultdict(Counter)
        """Reasons with which health checks of an endpoint ended."""

        self.endpoint_starts: dict[str, float] = {}
        """Start time of an endpoint in seconds, from the first list in which it is warming up."""

        self.attempts_per_request: Counter[int] = Counter()
        self.migrations: Counter[str] = Counter()
        self.rejections: list[Rejection] = []
        self.discovery_calls: list[DiscoveryCall] = []
        self.list_times: dict[str, list[float]] = defaultdict(list)
        """Times at which a proxy received a list, in seconds."""

        self.start_durations: dict[str, list[float]] = defaultdict(list)
        """Times from a proxy's start until its first readiness probe ended, in seconds."""

        self._starting: dict[str, float] = {}
        for line in lines:
            self.proxies.add(line.proxy)
            self.end_s = max(self.end_s, line.at_s)
            self._count(line)

    def _count(self, line: LogLine) -> None:
        match line.event:
            case "process-started":
                self._starting[line.proxy] = line.at_s - line.number("start_ms") / 1000
            case "attempt-started":
                self.attempt_times[line.fields["endpoint"]].append(line.at_s)
            case "endpoint-list-received":
                self._count_list(line)
            case "discovery-call-failed":
                self.discovery_calls.append(DiscoveryCall(line.at_s, is_answered=False))
            case "connection-ended":
                self._count_end(line)

    def _count_list(self, line: LogLine) -> None:
        self.list_times[line.proxy].append(line.at_s)
        self.discovery_calls.append(DiscoveryCall(line.at_s, is_answered=True))
        for item in line.fields.get("warming_up", "").split(","):
            if item:
                endpoint, age_ms = item.split("@")
                self.endpoint_starts.setdefault(endpoint, line.at_s - float(age_ms) / 1000)

    def _count_end(self, line: LogLine) -> None:
        match line.fields.get("side"):
            case "health-check":
                self.health_check_ends[line.fields["endpoint"]][line.fields["reason"]] += 1
            case "endpoint":
                self.attempt_ends[line.fields["endpoint"]][line.fields["reason"]] += 1
            case "client":
                self._count_client(line)

    def _count_client(self, line: LogLine) -> None:
        reason = line.fields["reason"]
        if reason == "probed":
            if line.proxy in self._starting:
                duration_s = line.at_s - self._starting.pop(line.proxy)
                self.start_durations[line.proxy].append(duration_s)
            return
        attempts = line.number("attempts")
        self.attempts_per_request[attempts] += 1
        if reason == "rejected":
            self.rejections.append(Rejection(line.at_s, attempts, line.number("wait_ms")))
        elif reason in ("migrated", "unresponsive"):
            self.migrations[reason] += 1

    def is_warming_up(self, endpoint: str, at_s: float) -> bool:
        """Whether the endpoint was warming up at that time; False if no list gave its start time."""
        started_s = self.endpoint_starts.get(endpoint)
        return started_s is not None and started_s <= at_s < started_s + WARM_UP_S

    def busiest_steps(self, step_s: float, limit: int) -> list[BusyStep]:
        """The steps in which one endpoint got the most connections, the busiest first, at most `limit`."""
        counts: Counter[tuple[int, str]] = Counter()
        for endpoint, times in self.attempt_times.items():
            counts.update((int(at_s / step_s), endpoint) for at_s in times)
        rows = []
        for (step, endpoint), count in counts.most_common(limit):
            times = [at_s for at_s in self.attempt_times[endpoint] if int(at_s / step_s) == step]
            warming_up_count = sum(self.is_warming_up(endpoint, at_s) for at_s in times)
            rows.append(BusyStep(count, step * step_s, endpoint, warming_up_count))
        return rows

    def list_ages_s(self) -> list[float]:
        """Ages of each proxy's list when the next one arrived, and at the end of the run, in seconds."""
        ages = []
        for times in self.list_times.values():
            ages += [after - before for before, after in pairwise([*times, self.end_s])]
        return ages
