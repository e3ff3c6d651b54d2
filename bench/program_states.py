"""Two states of the program side by side: a commit's files, and what a process of either costs."""

from __future__ import annotations

import subprocess
from pathlib import Path

ROOT = Path(__file__).parent.parent
"""Root of the repository."""


def unpack_commit(commit: str, folder: Path) -> None:
    """Write the program and its deploy files as they are in a commit; raises CalledProcessError."""
    archive = subprocess.run(
        ["git", "archive", commit, "linnetshift", "deploy"], cwd=ROOT, capture_output=True, check=True
    )
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)


def processor_time_ns(pid: int) -> int:
    """Processor time that the scheduler booked to a process, in nanoseconds (/proc/PID/schedstat)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])
