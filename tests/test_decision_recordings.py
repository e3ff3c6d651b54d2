"""The decisions of the `sim` command equal the recordings of `rig/decision_recordings` byte for byte.

An intended change of behaviour needs new recordings; renamed or moved code does not.
"""

from __future__ import annotations

import lzma
import subprocess
from itertools import zip_longest

import pytest

from rig.decision_recordings.recorder import RECORDINGS_FOLDER, ROOT, simulator_command
from rig.decision_recordings.scenarios import SCENARIOS
from rig.decision_recordings.wire import frames

RECORDING_COUNT = 8
"""Number of recorded scenarios."""

REPLAY_TIMEOUT_S = 60
"""Time limit of one replay."""

NAMES = sorted(path.name.removesuffix(".in.xz") for path in RECORDINGS_FOLDER.glob("*.in.xz"))


def read_recording(name: str) -> bytes:
    """Decompressed content of one recorded file."""
    return lzma.decompress((RECORDINGS_FOLDER / name).read_bytes())


def first_difference(expected: bytes, actual: bytes) -> str:
    """Describe the first reply that differs; empty if all are equal."""
    pairs = zip_longest(frames(expected), frames(actual))
    for number, (recorded, replayed) in enumerate(pairs):
        if recorded != replayed:
            frames_hex = ["no frame" if frame is None else frame.hex() for frame in (recorded, replayed)]
            return f"frame {number} differs: recorded {frames_hex[0]}, replayed {frames_hex[1]}"
    return ""


def test_every_scenario_is_recorded() -> None:
    assert len(NAMES) == RECORDING_COUNT
    assert sorted(scenario.name for scenario in SCENARIOS) == NAMES
    assert sorted(path.name.removesuffix(".out.xz") for path in RECORDINGS_FOLDER.glob("*.out.xz")) == NAMES
    for name in NAMES:
        assert (
            len(list(frames(read_recording(f"{name}.in.xz"))))
            == len(list(frames(read_recording(f"{name}.out.xz"))))
            > 1000
        )


@pytest.mark.parametrize("name", NAMES)
def test_decisions_equal_the_recording(name: str) -> None:
    run = subprocess.run(
        ["sh", "-c", simulator_command()],
        cwd=ROOT,
        input=read_recording(f"{name}.in.xz"),
        capture_output=True,
        timeout=REPLAY_TIMEOUT_S,
    )
    assert run.returncode == 0, f"{name}: {run.stderr.decode(errors='replace')}"
    difference = first_difference(read_recording(f"{name}.out.xz"), run.stdout)
    assert not difference, f"{name}: {difference}"


def test_first_different_frame_is_described() -> None:
    empty, rejection = bytes.fromhex("00000004"), bytes.fromhex("000000090d00000003")
    assert first_difference(empty + rejection, empty + rejection) == ""
    assert first_difference(empty + rejection, empty + empty).startswith("frame 1 differs: recorded 00000009")
    assert (
        first_difference(empty + rejection, empty)
        == f"frame 1 differs: recorded {rejection.hex()}, replayed no frame"
    )
    assert first_difference(empty, empty + empty) == "frame 1 differs: recorded no frame, replayed 00000004"
