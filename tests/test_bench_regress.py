"""The regression table, on sample journal entries."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "bench"))

import regress  # noqa: E402


def entry(at: int, program: str, score: float, cmd: str = "real-score", **day: Any) -> dict[str, Any]:
    return {
        "cmd": cmd,
        "at": [f"2026-01-01T00:00:{at:02d}Z", ""],
        "site": "one",
        "policy": [{"sha256": "same"}] if cmd != "score" else [{"sha256": program}],
        "node_sha": program,
        "days": [{"name": "retune", "seed": 7, "score": score, **day}],
    }


@pytest.mark.parametrize(
    ("cmd", "before", "now", "outcome"),
    [
        ("real-score", [0.5, 0.6], [0.75], "gain"),
        ("real-score", [0.5, 0.6], [0.65], "within the swing"),
        ("real-score", [0.5, 0.6], [0.3], "fall"),
        ("real-score", [0.5], [0.9], "cannot tell"),
        ("real-score", [], [0.9], "cannot tell"),
        ("score", [0.5], [0.9], "gain"),
        ("score", [0.5], [0.48], "within the swing"),
        ("score", [0.5], [0.46], "fall"),
    ],
)
def test_outcome_depends_on_previous_score_and_swing(
    cmd: str, before: list[float], now: list[float], outcome: str
) -> None:
    entries = [entry(second, "old", score, cmd) for second, score in enumerate(before)]
    entries += [entry(30 + second, "new", score, cmd) for second, score in enumerate(now)]
    (row,) = regress.verdicts(entries)
    assert row.outcome == outcome
    assert row.now == now[0]


def test_other_seeds_other_sites_and_later_runs_are_not_compared() -> None:
    entries = [entry(1, "old", 0.9), entry(2, "old", 0.9), entry(5, "new", 0.2, seed=8)]
    entries.append({**entry(6, "other", 0.9, seed=8), "site": "two"})
    assert {row.outcome for row in regress.verdicts(entries)} == {"cannot tell"}


def test_until_limits_previous_programs_by_time() -> None:
    entries = [entry(1, "first", 0.1), entry(2, "first", 0.1), entry(5, "second", 0.9), entry(6, "new", 0.9)]
    (last,), (first,) = regress.verdicts(entries), regress.verdicts(entries, "2026-01-01T00:00:03")
    assert (last.outcome, first.outcome) == ("within the swing", "gain")


def test_higher_score_with_broken_rule_is_no_gain() -> None:
    entries = [entry(1, "old", 0.1), entry(2, "old", 0.1), entry(3, "new", 0.9, rules={"drain": 1})]
    assert [row.outcome for row in regress.verdicts(entries)] == ["BROKEN"]


@pytest.mark.parametrize(("scores", "status"), [([0.5, 0.5, 0.9], 0), ([0.9, 0.9, 0.5], 1)])
def test_command_prints_table_and_exits_by_outcome(tmp_path: Path, scores: list[float], status: int) -> None:
    for n, score in enumerate(scores):
        (tmp_path / f"{n}.json").write_text(json.dumps(entry(n, "new" if n == 2 else "old", score)))
    (tmp_path / "9.json").write_text("{incomplete entry")
    command = [sys.executable, str(ROOT / "bench" / "regress.py"), "--no-play", "--journal", str(tmp_path)]
    run = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    assert run.returncode == status, run.stderr
    assert ("gain" if status == 0 else "fall") in run.stdout
    assert "retune" in run.stdout


def test_missing_kit_is_reported(tmp_path: Path) -> None:
    command = [sys.executable, str(ROOT / "bench" / "regress.py"), "--quick", "--kit", str(tmp_path / "none")]
    run = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    assert run.returncode == 3
    assert "no kit" in run.stderr
    assert not run.stdout
