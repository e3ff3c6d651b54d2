"""Run the scenarios against the `sim` command of the deploy file and record both directions of the wire.

The frames sent and received are written to `tests/data/decisions/NAME.in.xz` and `NAME.out.xz`.
"""

from __future__ import annotations

import lzma
import shlex
import subprocess
import sys
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from rig.decision_recordings.fleet import Fleet
from rig.decision_recordings.scenario import Scenario
from rig.decision_recordings.scenarios import SCENARIOS
from rig.decision_recordings.wire import frames

ROOT = Path(__file__).resolve().parent.parent.parent
"""Root of the repository."""

RECORDINGS_FOLDER = ROOT / "tests" / "data" / "decisions"
"""Folder of the recordings."""

DEPLOY_PYTHON = ".venv/bin/python"
"""Path of the interpreter in the deploy file."""

EXIT_TIMEOUT_S = 30
"""Time within which the command must exit after its input has ended."""


class Recording(NamedTuple):
    """All frames that were sent to the command, and all of its replies."""

    sent: bytes
    received: bytes


def simulator_command(root: Path = ROOT) -> str:
    """The `sim` command of the deploy file, with this interpreter in place of the deployment's."""
    command: str = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["sim"]
    return command.replace(DEPLOY_PYTHON, shlex.quote(sys.executable))


def record(scenario: Scenario, command: str) -> Recording:
    """Run a scenario against a shell command."""
    sent = bytearray()
    received = bytearray()
    with subprocess.Popen(
        ["sh", "-c", command], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as process:
        assert process.stdin is not None
        assert process.stdout is not None
        source = process.stdout
        sink = process.stdin

        def exchange(batch: bytes) -> bytes:
            sink.write(batch)
            sink.flush()
            size = source.read(4)
            reply = size + source.read(int.from_bytes(size, "big") - 4)
            sent.extend(batch)
            received.extend(reply)
            return reply

        Fleet(scenario, exchange).run()
        sink.close()
        process.wait(timeout=EXIT_TIMEOUT_S)
    return Recording(bytes(sent), bytes(received))


def main(names: Sequence[str]) -> int:
    """Record the named scenarios, by default all; returns the exit status."""
    RECORDINGS_FOLDER.mkdir(parents=True, exist_ok=True)
    for scenario in SCENARIOS:
        if names and scenario.name not in names:
            continue
        recording = record(scenario, simulator_command())
        for suffix, content in (("in", recording.sent), ("out", recording.received)):
            path = RECORDINGS_FOLDER / f"{scenario.name}.{suffix}.xz"
            path.write_bytes(lzma.compress(content, preset=9))
            print(f"{path.name}: {sum(1 for _ in frames(content))} frames, {path.stat().st_size} bytes")
    return 0
