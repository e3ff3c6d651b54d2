"""Comparison of two versions of the program: files of a commit, and processor time of a process."""

from __future__ import annotations

import subprocess
from pathlib import Path

ROOT = Path(__file__).parent.parent
"""Root of the repository."""


def unpack_commit(commit: str, folder: Path) -> None:
    """Extract the program and its deploy files at a commit; raises CalledProcessError if git or tar fails."""
    archive = subprocess.run(
        ["git", "archive", commit, "linnetshift", "deploy"], cwd=ROOT, capture_output=True, check=True
    )
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)


def processor_time_ns(pid: int) -> int:
    """Processor time of a process in nanoseconds (/proc/PID/schedstat)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])
