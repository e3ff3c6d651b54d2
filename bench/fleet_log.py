"""Counts across a fleet: the logs of all proxies of one run, joined on time and endpoint.

    python bench/fleet_log.py DIRECTORY [--step 0.1] [--busiest 8]
    python bench/fleet_log.py DIRECTORY --follow ID
    python bench/fleet_log.py DIRECTORY --classes [--step 5]

The second prints all that became of one client, at whichever proxy it came up, in the order of time: ID is
what an OPEN line began with, or the key after it, which stays the same when the client comes back. The
third tells class by class and step by step what clients came to: how many came, and how those ended.

Each file of discovery is one proxy's log, named for it. A line is the program's own; where a time in
seconds stands before it that is taken, else times count from the first line of all.
"""

from __future__ import annotations

import argparse
import re
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime
from itertools import pairwise
from pathlib import Path
from typing import NamedTuple

PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
PREFIX = re.compile(r"\[?(\d+\.\d+)\]?\s")
COLD_S = 10.0  # how long after its start an endpoint is taken for cold
FAILED_ATTEMPTS = ("unreachable", "timed-out", "error", "endpoint-full", "endpoint-reset")


class Line(NamedTuple):
    at: float
    proxy: str
    pairs: dict[str, str]

    @property
    def event(self) -> str:
        return self.pairs.get("event", "")


def read(directory: Path) -> list[Line]:
    """All lines of all proxies in the order of time; what is none of the program's is passed over."""
    found = []
    for path in sorted(directory.iterdir()):
        for text in path.read_text(errors="replace").splitlines():
            pairs = {key: value.strip('"') for key, value in PAIR.findall(text)}
            if "event" not in pairs or "ts" not in pairs:
                continue
            prefix = PREFIX.match(text)
            wall = datetime.fromisoformat(pairs["ts"].replace("Z", "+00:00")).timestamp()
            found.append((float(prefix[1]) if prefix else None, wall, path.stem, pairs))
    first = min((wall for _, wall, _, _ in found), default=0.0)
    lines = [Line(wall - first if at is None else at, proxy, pairs) for at, wall, proxy, pairs in found]
    return sorted(lines, key=lambda line: line.at)


def follow(lines: Iterable[Line], word: str) -> list[Line]:
    """The lines on one client: those of its key, and those of the requests that had it."""
    lines, wanted = list(lines), f"{int(word, 16):x}"
    keys = {wanted} | {
        line.pairs["key"] for line in lines if "key" in line.pairs and line.pairs.get("open") == wanted
    }
    starts: Counter[str] = Counter()
    numbered, theirs = [], set()
    for line in lines:
        starts[line.proxy] += line.event == "process-started"  # each process counts its requests anew
        request = line.proxy, starts[line.proxy], line.pairs.get("id", "0")
        numbered.append((request, line))
        if line.pairs.get("key") in keys:
            theirs.add(request)
    return [line for request, line in numbered if request in theirs]


# How a client's connection ended, in the order of the columns; any other reason stands under the last.
ENDS = (
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


def by_class(lines: Iterable[Line], step: float) -> Iterator[str]:
    """Each class in each step: clients that came, attempts that began, and why connections ended."""
    came: Counter[tuple[int, str]] = Counter()
    opened: Counter[tuple[int, str]] = Counter()
    ended: dict[tuple[int, str], Counter[str]] = defaultdict(Counter)
    for line in lines:
        klass = line.pairs.get("class")
        if klass is None:
            continue
        here = int(line.at / step), klass
        if line.event == "attempt-started":
            opened[here] += 1
        elif line.event == "connection-ended" and line.pairs.get("side") == "client":
            reason = line.pairs["reason"]
            ended[here][reason if reason in ENDS else "other"] += 1
            came[int((line.at - int(line.pairs.get("ms") or 0) / 1000) / step), klass] += 1
    yield "   from class              came attempts " + " ".join(f"{reason:>14}" for reason in ENDS)
    for here in sorted(came.keys() | opened.keys() | ended.keys()):
        row = " ".join(f"{ended[here][reason]:14}" for reason in ENDS)
        yield f"{here[0] * step:7.1f} {here[1]:<16} {came[here]:7} {opened[here]:8} {row}"


class Fleet:
    """What all proxies did, together."""

    def __init__(self, lines: Iterable[Line]) -> None:
        self.proxies: set[str] = set()
        self.opened: dict[str, list[float]] = defaultdict(list)
        self.outcomes: dict[str, Counter[str]] = defaultdict(Counter)
        self.boots: dict[str, float] = {}
        self.moves: Counter[str] = Counter()
        self.rejections: list[tuple[float, int, int]] = []  # when, after how many attempts, told to wait (ms)
        self.attempts: Counter[int] = Counter()
        self.probes: dict[str, Counter[str]] = defaultdict(Counter)
        self.calls: list[tuple[float, bool]] = []
        self.lists: dict[str, list[float]] = defaultdict(list)
        self.ready: dict[str, list[float]] = defaultdict(list)
        self.waiting: dict[str, float] = {}
        self.end = 0.0
        for line in lines:
            self.proxies.add(line.proxy)
            self.end = max(self.end, line.at)
            self.take(line)

    def take(self, line: Line) -> None:
        pairs = line.pairs
        match line.event:
            case "process-started":
                self.waiting[line.proxy] = line.at - int(pairs.get("start_ms") or 0) / 1000
            case "attempt-started":
                self.opened[pairs["endpoint"]].append(line.at)
            case "endpoint-list-received":
                self.lists[line.proxy].append(line.at)
                self.calls.append((line.at, True))
                for name, boot in (one.split("@") for one in pairs.get("warming_up", "").split(",") if one):
                    self.boots.setdefault(name, line.at - float(boot) / 1000)
            case "discovery-call-failed":
                self.calls.append((line.at, False))
            case "connection-ended" if pairs.get("side") == "health-check":
                self.probes[pairs["endpoint"]][pairs["reason"]] += 1
            case "connection-ended" if pairs.get("side") == "endpoint":
                self.outcomes[pairs["endpoint"]][pairs["reason"]] += 1
            case "connection-ended" if pairs.get("side") == "client":
                self.client(line)

    def client(self, line: Line) -> None:
        reason = line.pairs["reason"]
        if reason == "probed":
            if line.proxy in self.waiting:
                self.ready[line.proxy].append(line.at - self.waiting.pop(line.proxy))
            return
        self.attempts[int(line.pairs.get("attempts") or 0)] += 1
        if reason == "rejected":
            tried, wait = int(line.pairs.get("attempts") or 0), int(line.pairs.get("wait_ms") or 0)
            self.rejections.append((line.at, tried, wait))
        elif reason in ("migrated", "unresponsive"):
            self.moves[reason] += 1

    def cold(self, endpoint: str, at: float) -> bool:
        boot = self.boots.get(endpoint)
        return boot is not None and boot <= at < boot + COLD_S

    def busiest(self, step: float, most: int) -> list[tuple[int, float, str, int]]:
        """The steps in which one endpoint was opened most: how often, when, where, how often cold."""
        counts: Counter[tuple[int, str]] = Counter()
        for endpoint, times in self.opened.items():
            counts.update((int(at / step), endpoint) for at in times)
        rows = []
        for (slot, endpoint), count in counts.most_common(most):
            cold = sum(self.cold(endpoint, at) for at in self.opened[endpoint] if int(at / step) == slot)
            rows.append((count, slot * step, endpoint, cold))
        return rows

    def list_ages(self) -> list[float]:
        """How old each proxy's list was just before each new one, and at the end."""
        ages = []
        for times in self.lists.values():
            marks = [*times, self.end]
            ages += [after - before for before, after in pairwise(marks)]
        return ages

    def most_in_a_second(self, times: Iterable[float]) -> int:
        return max(Counter(int(at) for at in times).values(), default=0)

    def report(self, step: float, most: int) -> Iterator[str]:
        yield f"proxies {len(self.proxies)}  seconds {self.end:.1f}"
        ready = [took for times in self.ready.values() for took in times]
        if ready:
            yield f"start to ready  median {statistics.median(ready):.3f} s  longest {max(ready):.3f} s"
        failed = sum(not fine for _, fine in self.calls)
        peak = self.most_in_a_second(at for at, _ in self.calls)
        yield f"discovery answers {len(self.calls)}  failed {failed}  most in a second {peak}"
        if ages := self.list_ages():
            yield f"age of lists  median {statistics.median(ages):.1f} s  oldest {max(ages):.1f} s"
        opened = sum(map(len, self.opened.values()))
        cold = sum(self.cold(endpoint, at) for endpoint, times in self.opened.items() for at in times)
        yield f"connections opened {opened}  to cold endpoints {cold}"
        for count, at, endpoint, chilly in self.busiest(step, most):
            yield f"  {at:7.1f} s  {endpoint:<14} opened {count} within {step:g} s, {chilly} of them cold"
        yield "attempts per request " + " ".join(f"{n}:{c}" for n, c in sorted(self.attempts.items()))
        for endpoint in sorted(self.outcomes):
            ended = self.outcomes[endpoint]
            bad = sum(ended[reason] for reason in FAILED_ATTEMPTS)
            words = " ".join(f"{reason}:{count}" for reason, count in ended.most_common())
            yield f"  {endpoint:<14} failed {bad} of {sum(ended.values())}  {words}"
        untried = sum(tried == 0 for _, tried, _ in self.rejections)
        peak = self.most_in_a_second(at for at, _, _ in self.rejections)
        back = self.most_in_a_second(at + wait / 1000 for at, _, wait in self.rejections)
        yield (
            f"rejections {len(self.rejections)}  without an attempt {untried}"
            f"  most in a second {peak}, due back in one {back}"
        )
        yield "moves " + (" ".join(f"{why}:{n}" for why, n in sorted(self.moves.items())) or "none")
        for endpoint in sorted(self.probes):
            words = " ".join(f"{reason}:{count}" for reason, count in self.probes[endpoint].most_common())
            yield f"  health checks of {endpoint:<14} {words}"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("directory", type=Path)
    parser.add_argument(
        "--step", type=float, help="seconds that opened connections (0.1) or classes (5) are counted over"
    )
    parser.add_argument("--busiest", type=int, default=8, help="how many of the busiest steps are shown")
    parser.add_argument("--follow", metavar="ID", help="an id or a key, in hexadecimal")
    parser.add_argument("--classes", action="store_true", help="a table by class and step")
    chosen = parser.parse_args()
    if chosen.follow is not None:
        for line in follow(read(chosen.directory), chosen.follow):
            print(
                f"{line.at:9.3f} {line.proxy:<6}",
                *(f"{k}={v}" for k, v in line.pairs.items() if k not in ("ts", "level")),
            )
        return
    if chosen.classes:
        for row in by_class(read(chosen.directory), chosen.step or 5.0):
            print(row)
        return
    for row in Fleet(read(chosen.directory)).report(chosen.step or 0.1, chosen.busiest):
        print(row)


if __name__ == "__main__":
    main()
