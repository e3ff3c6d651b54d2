"""Both deployments played one after the other, each day compared with its last run in the journal.

    python bench/regress.py [--quick] [--no-play] [--before MOMENT] [--kit FOLDER]

Plays every site file of the kit in the simulator and on sockets, then prints one table with a verdict a day.
Exit status 0: no day fell; 1: one did, or broke a rule; 2: a bench did not run; 3: the kit is not here.

A day is its site, bench, name and seed, so that only like is compared with like; a program is the text of
its policy files and, on sockets, of its node. The simulator gives one figure for one text. On sockets the
swing is the widest span of one program's scores on that day; where none played it twice nothing can be told.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

from rich.console import Console
from rich.table import Table

NOISE = 0.03  # BENCH: a change under this is noise, whatever the swing
BENCHES = {"sim": ("bin/lbsim", "score"), "sockets": ("real/bin/lbreal", "real-score")}
LOOKS = ("real",)  # single days on sockets: they tell of the swing too


class Day(NamedTuple):
    site: str
    bench: str
    name: str
    seed: str


class Play(NamedTuple):
    day: Day
    program: str
    at: str
    score: float
    broken: bool


class Verdict(NamedTuple):
    day: Day
    before: float | None
    now: float
    swing: float | None
    word: str


def plays(entries: Iterable[dict[str, Any]]) -> list[Play]:
    """What the journal's entries say of whole days, oldest first; what has no score is left out."""
    found = []
    for entry in entries:
        command = entry.get("cmd", "")
        bench = "sim" if command == "score" else "sockets" if command in ("real-score", *LOOKS) else None
        if bench is None:
            continue
        program = "".join(each["sha256"][:12] for each in entry.get("policy") or [])
        program += (entry.get("node_sha") or "")[:12] if bench == "sockets" else ""
        for day in entry.get("days") or []:
            if day.get("score") is None:
                continue
            which = Day(entry.get("site", ""), bench, day["name"], str(day.get("seed", day.get("day", ""))))
            broken = bool(day.get("fault")) or any((day.get("rules") or {}).values())
            found.append(Play(which, program, entry["at"][0], day["score"], broken))
    return sorted(found, key=lambda play: play.at)


def judge(day: Day, all_plays: list[Play], program: str, until: str = "9") -> Verdict | None:
    """The program's median on a day against the last other program's; None where it did not play it.

    `until`: only programs that played before that moment are compared with.
    """
    of_day = [play for play in all_plays if play.day == day]
    mine = [play for play in of_day if play.program == program]
    if not mine:
        return None
    now = median(play.score for play in mine)
    first = min(mine[0].at, until)
    others = [play.program for play in of_day if play.program != program and play.at < first]
    before = median(p.score for p in of_day if p.program == others[-1]) if others else None
    scores: dict[str, list[float]] = {}
    for play in of_day:
        scores.setdefault(play.program, []).append(play.score)
    spans = [max(seen) - min(seen) for seen in scores.values() if len(seen) > 1]
    swing = 0.0 if day.bench == "sim" else max(spans, default=None)
    if any(play.broken for play in mine):
        word = "BROKEN"
    elif before is None or swing is None:
        word = "cannot tell"
    elif abs(now - before) <= swing + NOISE:
        word = "within the swing"
    else:
        word = "gain" if now > before else "fall"
    return Verdict(day, before, now, swing, word)


def read(journal: Path) -> list[dict[str, Any]]:
    """Entries of a journal; a file that is none (one being written, a blob) is passed over."""
    entries = []
    for path in sorted(journal.glob("*.json")):
        try:
            entry = json.loads(path.read_text())
        except ValueError:
            continue
        if isinstance(entry, dict):
            entries.append(entry)
    return entries


def verdicts(entries: Iterable[dict[str, Any]], until: str = "9") -> list[Verdict]:
    """For each site and bench the newest scored program, on the days of its last score."""
    entries = list(entries)
    known, found = plays(entries), []
    for bench, (_, command) in BENCHES.items():
        for site in dict.fromkeys(entry.get("site", "") for entry in entries):
            scored = plays(e for e in entries if e.get("cmd") == command and e.get("site", "") == site)
            last = [play for play in scored if play.at == scored[-1].at]
            found += [judge(play.day, known, play.program, until) for play in last if play.day.bench == bench]
    return [verdict for verdict in found if verdict is not None]


def table(rows: Iterable[Verdict]) -> Table:
    made = Table(title="each day against its last run by another program")
    for name in ("site", "bench", "day", "seed"):
        made.add_column(name, no_wrap=True)
    for name in ("before", "now", "swing"):
        made.add_column(name, justify="right")
    made.add_column("verdict", no_wrap=True)
    for row in rows:
        figures = ["-" if x is None else f"{x:.2f}" for x in (row.before, row.now, row.swing)]
        made.add_row(*row.day, *figures, row.word)
    return made


def play(kit: Path, root: Path, quick: bool, why: str) -> bool:
    """Every site in the simulator and on sockets, nothing beside; whether all of them ran."""
    ran = True
    sites = sorted([*kit.glob("sites/*.toml"), *kit.glob("users/*.toml")])
    for site in sites:
        for program, _ in BENCHES.values():
            command = [str(kit / program), "score", str(site), *(["--quick"] if quick else []), "--why", why]
            ran &= subprocess.run(command, cwd=root, check=False).returncode == 0
    return ran


def main(arguments: list[str] | None = None) -> int:
    root = Path(__file__).resolve().parent.parent
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="the quick days of each bench only")
    parser.add_argument("--no-play", action="store_true", help="only the table of what the journal holds")
    parser.add_argument(
        "--before", default="9", help="compare with the last program played before this moment"
    )
    parser.add_argument("--why", default="Both deployments, for the regression table")
    parser.add_argument(
        "--kit", type=Path, default=Path("../given/kit"), help="seen from the repository's root"
    )
    parser.add_argument("--journal", type=Path, default=root / "journal")
    chosen = parser.parse_args(arguments)
    if not chosen.no_play:
        if not (root / chosen.kit / "bin").is_dir():
            print(
                f"regress: no kit at {chosen.kit}; nothing was played (--no-play reads the journal)",
                file=sys.stderr,
            )
            return 3
        if not play(chosen.kit, root, chosen.quick, chosen.why):
            print("regress: a bench did not run; what it printed stands above", file=sys.stderr)
            return 2
    rows = verdicts(read(chosen.journal), chosen.before)
    Console(width=120, highlight=False).print(table(rows))
    return int(any(row.word in ("fall", "BROKEN") for row in rows))


if __name__ == "__main__":
    sys.exit(main())
