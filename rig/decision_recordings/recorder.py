"""Play the scenarios against the deploy file's `sim` command and write down both sides of the wire.

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

DATA = ROOT / "tests" / "data" / "decisions"
"""Where the recordings are kept."""

DEPLOY_PYTHON = ".venv/bin/python"
"""The interpreter's name in the deploy file."""

EXIT_TIMEOUT_S = 30
"""How long the command may take to end once its input has ended, in seconds."""


class Recording(NamedTuple):
    """All frames that were sent to the command, and all of its replies."""

    sent: bytes
    received: bytes


def simulator_command(root: Path = ROOT) -> str:
    """The deploy file's command named `sim`, run by this interpreter whatever its environment is called."""
    command: str = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["sim"]
    return command.replace(DEPLOY_PYTHON, shlex.quote(sys.executable))


def record(scenario: Scenario, command: str) -> Recording:
    """Play a scenario against the command, a shell's text."""
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
    """Record the named scenarios, or all of them; the exit status."""
    DATA.mkdir(parents=True, exist_ok=True)
    for scenario in SCENARIOS:
        if names and scenario.name not in names:
            continue
        recording = record(scenario, simulator_command())
        for suffix, content in (("in", recording.sent), ("out", recording.received)):
            path = DATA / f"{scenario.name}.{suffix}.xz"
            path.write_bytes(lzma.compress(content, preset=9))
            print(f"{path.name}: {sum(1 for _ in frames(content))} frames, {path.stat().st_size} bytes")
    return 0
