"""The `sim` command decides byte for byte as recorded; `rig/decision_recordings` makes the recordings.

A change of behaviour that is meant needs new recordings. One that only renames or moves code does not.
"""

from __future__ import annotations

import lzma
import subprocess
from itertools import zip_longest

import pytest

from rig.decision_recordings.recorder import DATA, ROOT, simulator_command
from rig.decision_recordings.scenarios import SCENARIOS
from rig.decision_recordings.wire import frames

RECORDINGS = 8
"""How many scenarios are recorded."""

REPLAY_TIMEOUT_S = 60
"""How long one replay may take, in seconds."""

NAMES = sorted(path.name.removesuffix(".in.xz") for path in DATA.glob("*.in.xz"))


def read(name: str) -> bytes:
    """Content of one recorded file."""
    return lzma.decompress((DATA / name).read_bytes())


def first_difference(expected: bytes, actual: bytes) -> str:
    """Which reply is the first that differs, and how; empty where all are equal."""
    pairs = zip_longest(frames(expected), frames(actual))
    for number, (recorded, replayed) in enumerate(pairs):
        if recorded != replayed:
            frames_hex = ["no frame" if frame is None else frame.hex() for frame in (recorded, replayed)]
            return f"frame {number} differs: recorded {frames_hex[0]}, replayed {frames_hex[1]}"
    return ""


def test_every_scenario_is_recorded() -> None:
    assert len(NAMES) == RECORDINGS
    assert sorted(scenario.name for scenario in SCENARIOS) == NAMES
    assert sorted(path.name.removesuffix(".out.xz") for path in DATA.glob("*.out.xz")) == NAMES
    for name in NAMES:
        assert len(list(frames(read(f"{name}.in.xz")))) == len(list(frames(read(f"{name}.out.xz")))) > 1000


@pytest.mark.parametrize("name", NAMES)
def test_decisions_are_as_recorded(name: str) -> None:
    run = subprocess.run(
        ["sh", "-c", simulator_command()],
        cwd=ROOT,
        input=read(f"{name}.in.xz"),
        capture_output=True,
        timeout=REPLAY_TIMEOUT_S,
    )
    assert run.returncode == 0, f"{name}: {run.stderr.decode(errors='replace')}"
    difference = first_difference(read(f"{name}.out.xz"), run.stdout)
    assert not difference, f"{name}: {difference}"


def test_the_first_frame_that_differs_is_named() -> None:
    empty, rejection = bytes.fromhex("00000004"), bytes.fromhex("000000090d00000003")
    assert first_difference(empty + rejection, empty + rejection) == ""
    assert first_difference(empty + rejection, empty + empty).startswith("frame 1 differs: recorded 00000009")
    assert (
        first_difference(empty + rejection, empty)
        == f"frame 1 differs: recorded {rejection.hex()}, replayed no frame"
    )
    assert first_difference(empty, empty + empty) == "frame 1 differs: recorded no frame, replayed 00000004"
