"""Counts over a fleet: the logs of all proxies of one run, joined on time and endpoint.

    python bench/fleet_log.py DIRECTORY [--step 0.1] [--busiest 8]
    python bench/fleet_log.py DIRECTORY --follow ID
    python bench/fleet_log.py DIRECTORY --classes [--step 5]

`--follow` prints the lines about one client from all proxies, ordered by time: ID is the id of an OPEN line
or the key after it, which stays the same when the client reconnects. `--classes` prints for each class and
step how many clients arrived, and how their connections ended.

Each file of DIRECTORY is the log of the proxy with the file's name. A time in seconds before a line is used
if there is one; otherwise times are relative to the first line of all logs.
"""

from __future__ import annotations

import argparse
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

from fleet_counts import FleetCounts
from proxy_logs import LogLine, follow_client, read_logs

FAILED_ATTEMPTS = ("unreachable", "timed-out", "error", "endpoint-full", "endpoint-reset")
"""End reasons of failed attempts."""

CLIENT_END_REASONS = (
    "served",
    "migrated",
    "unresponsive",
    "endpoint-migrated",
    "endpoint-reset",
    "rejected",
    "failed",
    "withdrawn",
    "other",
)
"""End reasons of clients' connections, in the order of the columns; the last counts all others."""

BUSIEST_STEP_S = 0.1
"""Default step over which an endpoint's connections are counted."""

CLASS_STEP_S = 5.0
"""Default step of the table by class."""


class ClassStep(NamedTuple):
    """A row of the table by class."""

    step: int
    service_class: str


def class_table(lines: Iterable[LogLine], step_s: float) -> Iterator[str]:
    """Rows by step and class: arrived clients, started attempts, and end reasons of connections."""
    arrivals: Counter[ClassStep] = Counter()
    attempts: Counter[ClassStep] = Counter()
    ended: dict[ClassStep, Counter[str]] = defaultdict(Counter)
    for line in lines:
        service_class = line.fields.get("class")
        if service_class is None:
            continue
        row = ClassStep(int(line.at_s / step_s), service_class)
        if line.event == "attempt-started":
            attempts[row] += 1
        elif line.event == "connection-ended" and line.fields.get("side") == "client":
            reason = line.fields["reason"]
            ended[row][reason if reason in CLIENT_END_REASONS else "other"] += 1
            arrival_s = line.at_s - line.number("ms") / 1000
            arrivals[ClassStep(int(arrival_s / step_s), service_class)] += 1
    reasons = " ".join(f"{reason:>14}" for reason in CLIENT_END_REASONS)
    yield f"   from class              came attempts {reasons}"
    for row in sorted(arrivals.keys() | attempts.keys() | ended.keys()):
        counts = " ".join(f"{ended[row][reason]:14}" for reason in CLIENT_END_REASONS)
        begin_s = row.step * step_s
        yield f"{begin_s:7.1f} {row.service_class:<16} {arrivals[row]:7} {attempts[row]:8} {counts}"


def max_in_a_second(times: Iterable[float]) -> int:
    """The largest number of these times within one whole second of the run."""
    return max(Counter(int(at_s) for at_s in times).values(), default=0)


def report(counts: FleetCounts, step_s: float, limit: int) -> Iterator[str]:
    """Lines of the report, with at most `limit` of the busiest steps."""
    yield f"proxies {len(counts.proxies)}  seconds {counts.end_s:.1f}"
    yield from report_discovery(counts)
    yield from report_connections(counts, step_s, limit)
    yield from report_rejections(counts)
    migrations = " ".join(f"{reason}:{count}" for reason, count in sorted(counts.migrations.items()))
    yield f"moves {migrations or 'none'}"
    for endpoint in sorted(counts.health_check_ends):
        yield f"  health checks of {endpoint:<14} {by_frequency(counts.health_check_ends[endpoint])}"


def by_frequency(reasons: Counter[str]) -> str:
    """Reasons with their counts, the most frequent first."""
    return " ".join(f"{reason}:{count}" for reason, count in reasons.most_common())


def report_discovery(counts: FleetCounts) -> Iterator[str]:
    """Lines on starts, calls to discovery and ages of lists."""
    durations = [duration_s for each in counts.start_durations.values() for duration_s in each]
    if durations:
        median_s = statistics.median(durations)
        yield f"start to ready  median {median_s:.3f} s  longest {max(durations):.3f} s"
    calls = counts.discovery_calls
    failed = sum(not call.is_answered for call in calls)
    peak = max_in_a_second(call.at_s for call in calls)
    yield f"discovery answers {len(calls)}  failed {failed}  most in a second {peak}"
    ages = counts.list_ages_s()
    if ages:
        yield f"age of lists  median {statistics.median(ages):.1f} s  oldest {max(ages):.1f} s"


def report_connections(counts: FleetCounts, step_s: float, limit: int) -> Iterator[str]:
    """Lines on attempts by endpoint and step, and their end reasons."""
    opened = sum(map(len, counts.attempt_times.values()))
    warming_up = sum(
        counts.is_warming_up(endpoint, at_s)
        for endpoint, times in counts.attempt_times.items()
        for at_s in times
    )
    yield f"connections opened {opened}  to cold endpoints {warming_up}"
    for step in counts.busiest_steps(step_s, limit):
        within = f"opened {step.connections} within {step_s:g} s, {step.warming_up_count} of them cold"
        yield f"  {step.at_s:7.1f} s  {step.endpoint:<14} {within}"
    per_request = sorted(counts.attempts_per_request.items())
    yield "attempts per request " + " ".join(f"{attempts}:{count}" for attempts, count in per_request)
    for endpoint in sorted(counts.attempt_ends):
        ends = counts.attempt_ends[endpoint]
        failed = sum(ends[reason] for reason in FAILED_ATTEMPTS)
        yield f"  {endpoint:<14} failed {failed} of {sum(ends.values())}  {by_frequency(ends)}"


def report_rejections(counts: FleetCounts) -> Iterator[str]:
    """Lines on rejections, and the most clients whose retry delay ends within one second."""
    rejections = counts.rejections
    without_attempt = sum(rejection.attempts == 0 for rejection in rejections)
    peak = max_in_a_second(rejection.at_s for rejection in rejections)
    due_peak = max_in_a_second(each.at_s + each.retry_after_ms / 1000 for each in rejections)
    yield (
        f"rejections {len(rejections)}  without an attempt {without_attempt}"
        f"  most in a second {peak}, due back in one {due_peak}"
    )


def client_history(lines: Iterable[LogLine], client_id: str) -> Iterator[str]:
    """Lines about one client, ordered by time; `client_id` is an id or a key, in hexadecimal."""
    for line in follow_client(lines, client_id):
        fields = [f"{key}={value}" for key, value in line.fields.items() if key not in ("ts", "level")]
        yield " ".join([f"{line.at_s:9.3f} {line.proxy:<6}", *fields])


def main() -> None:
    """Print the report, or the view that the options select."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("directory", type=Path)
    parser.add_argument(
        "--step",
        type=float,
        help="step in seconds: of opened connections (default 0.1) or of classes (default 5)",
    )
    parser.add_argument("--busiest", type=int, default=8, help="number of the busiest steps to show")
    parser.add_argument("--follow", metavar="ID", help="an id or a key, in hexadecimal")
    parser.add_argument("--classes", action="store_true", help="print a table by class and step")
    options = parser.parse_args()
    lines = read_logs(options.directory)
    if options.follow is not None:
        rows = client_history(lines, options.follow)
    elif options.classes:
        rows = class_table(lines, options.step or CLASS_STEP_S)
    else:
        rows = report(FleetCounts(lines), options.step or BUSIEST_STEP_S, options.busiest)
    for row in rows:
        print(row)


if __name__ == "__main__":
    main()
