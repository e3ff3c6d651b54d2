"""Compares the scores of both deployments, day by day, with the last run of another program.

    python bench/regress.py [--quick] [--no-play] [--before MOMENT] [--kit FOLDER]

Runs every site file of the kit in the simulator and on sockets, then prints a table with a verdict per day.
Exit status 0: no score fell; 1: one fell, or a rule was broken; 2: a bench failed; 3: the kit is missing.

Scores are compared if site, bench, name and seed of their day are equal. A program is identified by the
digests of its policy files and, on sockets, of its node. The simulator is deterministic. On sockets the swing
is the widest range of one program's scores on the day; if no program ran the day twice, it is unknown.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

from rich.console import Console
from rich.table import Table

NOISE = 0.03
"""Noise of a score, in addition to the swing (from the platform's description of the benches)."""

LATEST = "9"
"""Sorts after the time of every journal entry, as these begin with the year."""


class Bench(NamedTuple):
    """A bench: its program in the kit, and the command in its journal entries."""

    program: str
    command: str


BENCHES = {"sim": Bench("bin/lbsim", "score"), "sockets": Bench("real/bin/lbreal", "real-score")}
"""The benches by their name in the table."""

SINGLE_DAY_COMMANDS = ("real",)
"""Commands that run single days on sockets; their scores count for the swing."""


class Day(NamedTuple):
    """A day; scores are compared only if all fields are equal."""

    site: str
    bench: str
    name: str
    seed: str


class DayScore(NamedTuple):
    """One run of a day: program, time (ISO 8601), score, and whether a rule was broken."""

    day: Day
    program: str
    at: str
    score: float
    is_rule_broken: bool


class Outcome(StrEnum):
    """Outcome of a comparison, as printed in the table."""

    GAIN = "gain"
    FALL = "fall"
    WITHIN_SWING = "within the swing"
    UNKNOWN = "cannot tell"
    RULE_BROKEN = "BROKEN"


class Verdict(NamedTuple):
    """A program's score on a day compared with the previous program's; unknown without a swing."""

    day: Day
    before: float | None
    now: float
    swing: float | None
    outcome: Outcome


def bench_of(entry: dict[str, Any]) -> str | None:
    """Name of the bench that wrote a journal entry; None if the entry has no days."""
    command = entry.get("cmd", "")
    if command == BENCHES["sim"].command:
        return "sim"
    if command == BENCHES["sockets"].command or command in SINGLE_DAY_COMMANDS:
        return "sockets"
    return None


def program_of(entry: dict[str, Any], bench: str) -> str:
    """Identity of the program that a bench ran: digests of its policy files, on sockets also of its node."""
    digests = [file["sha256"] for file in entry.get("policy") or []]
    if bench == "sockets":
        digests.append(entry.get("node_sha") or "")
    return "".join(digest[:12] for digest in digests)


def day_scores(entries: Iterable[dict[str, Any]]) -> list[DayScore]:
    """The scores of completed days in journal entries, oldest first."""
    scores = []
    for entry in entries:
        bench = bench_of(entry)
        if bench is None:
            continue
        program = program_of(entry, bench)
        for day in entry.get("days") or []:
            if day.get("score") is None:
                continue
            seed = str(day.get("seed", day.get("day", "")))
            key = Day(entry.get("site", ""), bench, day["name"], seed)
            is_rule_broken = bool(day.get("fault")) or any((day.get("rules") or {}).values())
            scores.append(DayScore(key, program, entry["at"][0], day["score"], is_rule_broken))
    return sorted(scores, key=lambda score: score.at)


def swing_of(day: Day, scores: Iterable[DayScore]) -> float | None:
    """Widest range of one program's scores on a day; None if no program ran it twice."""
    if day.bench == "sim":  # deterministic
        return 0.0
    by_program: dict[str, list[float]] = {}
    for score in scores:
        by_program.setdefault(score.program, []).append(score.score)
    spans = [max(each) - min(each) for each in by_program.values() if len(each) > 1]
    return max(spans, default=None)


def compare(before: float | None, now: float, swing: float | None, is_rule_broken: bool) -> Outcome:
    """Compare two scores of a day; changes up to swing plus noise are neither gain nor fall."""
    if is_rule_broken:
        return Outcome.RULE_BROKEN
    if before is None or swing is None:
        return Outcome.UNKNOWN
    if abs(now - before) <= swing + NOISE:
        return Outcome.WITHIN_SWING
    return Outcome.GAIN if now > before else Outcome.FALL


def day_verdict(day: Day, all_scores: list[DayScore], program: str, until: str = LATEST) -> Verdict | None:
    """Verdict on the program's median score on a day; None if it did not run the day.

    Only programs that ran before the time `until` count as previous.
    """
    of_day = [score for score in all_scores if score.day == day]
    own = [score for score in of_day if score.program == program]
    if not own:
        return None
    now = median(score.score for score in own)
    first = min(own[0].at, until)
    others = [score.program for score in of_day if score.program != program and score.at < first]
    before = median(score.score for score in of_day if score.program == others[-1]) if others else None
    swing = swing_of(day, of_day)
    is_rule_broken = any(score.is_rule_broken for score in own)
    return Verdict(day, before, now, swing, compare(before, now, swing, is_rule_broken))


def read_journal(journal: Path) -> list[dict[str, Any]]:
    """Entries of a journal; files that are not entries are skipped (incompletely written ones, blobs)."""
    entries = []
    for path in sorted(journal.glob("*.json")):
        try:
            entry = json.loads(path.read_text())
        except ValueError:
            continue
        if isinstance(entry, dict):
            entries.append(entry)
    return entries


def verdicts(entries: Iterable[dict[str, Any]], until: str = LATEST) -> list[Verdict]:
    """Verdicts on the latest scored program of each site and bench, for the days of its last score."""
    entries = list(entries)
    all_scores = day_scores(entries)
    results = []
    for name, bench in BENCHES.items():
        for site in dict.fromkeys(entry.get("site", "") for entry in entries):
            scored = day_scores(
                entry
                for entry in entries
                if entry.get("cmd") == bench.command and entry.get("site", "") == site
            )
            last_scores = [score for score in scored if score.at == scored[-1].at]
            results += [
                day_verdict(score.day, all_scores, score.program, until)
                for score in last_scores
                if score.day.bench == name
            ]
    return [verdict for verdict in results if verdict is not None]


def make_table(rows: Iterable[Verdict]) -> Table:
    """The printed table."""
    table = Table(title="each day against its last run by another program")
    for name in ("site", "bench", "day", "seed"):
        table.add_column(name, no_wrap=True)
    for name in ("before", "now", "swing"):
        table.add_column(name, justify="right")
    table.add_column("verdict", no_wrap=True)
    for row in rows:
        figures = ["-" if figure is None else f"{figure:.2f}" for figure in (row.before, row.now, row.swing)]
        table.add_row(*row.day, *figures, row.outcome)
    return table


def run_benches(kit: Path, root: Path, is_quick: bool, why: str) -> bool:
    """Run every site in the simulator and on sockets, one at a time; returns whether all succeeded."""
    have_all_succeeded = True
    sites = sorted([*kit.glob("sites/*.toml"), *kit.glob("users/*.toml")])
    for site in sites:
        for bench in BENCHES.values():
            command = [str(kit / bench.program), "score", str(site)]
            if is_quick:
                command.append("--quick")
            run = subprocess.run([*command, "--why", why], cwd=root, check=False)
            have_all_succeeded &= run.returncode == 0
    return have_all_succeeded


def parse_options(arguments: list[str] | None, root: Path) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="run only the quick days of each bench")
    parser.add_argument("--no-play", action="store_true", help="run nothing, print the table of the journal")
    parser.add_argument(
        "--before", default=LATEST, help="compare with the last program that ran before this time"
    )
    parser.add_argument("--why", default="Both deployments, for the regression table")
    parser.add_argument(
        "--kit", type=Path, default=Path("../given/kit"), help="relative to the repository's root"
    )
    parser.add_argument("--journal", type=Path, default=root / "journal")
    return parser.parse_args(arguments)


def main(arguments: list[str] | None = None) -> int:
    """Run the benches and print the table; returns the exit status."""
    root = Path(__file__).resolve().parent.parent
    options = parse_options(arguments, root)
    if not options.no_play:
        if not (root / options.kit / "bin").is_dir():
            print(
                f"regress: no kit at {options.kit}; no bench was run (--no-play only reads the journal)",
                file=sys.stderr,
            )
            return 3
        if not run_benches(options.kit, root, options.quick, options.why):
            print("regress: a bench failed; its output is above", file=sys.stderr)
            return 2
    rows = verdicts(read_journal(options.journal), options.before)
    Console(width=120, highlight=False).print(make_table(rows))
    return int(any(row.outcome in (Outcome.FALL, Outcome.RULE_BROKEN) for row in rows))


if __name__ == "__main__":
    sys.exit(main())
