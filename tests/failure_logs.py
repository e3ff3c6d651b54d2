"""What processes and emulated endpoints of a failing test logged, for its report and for files."""

from __future__ import annotations

import re
import time
import weakref
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from running_proxy import RunningProxy

FOLDER = Path(__file__).parent.parent / "found"
"""Where the whole logs of failing tests are kept; not under version control."""

MAX_REPORTED_LINES = 200
"""Most lines of one log in a test's report: the last ones."""

running_proxies: weakref.WeakSet[RunningProxy] = weakref.WeakSet()
"""Processes that a test or a fixture still refers to."""


def timestamp() -> str:
    """The time as log lines have it: UTC, with milliseconds."""
    now_s = time.time()
    return f"{time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(now_s))}.{int(now_s % 1 * 1000):03d}Z"


def logs_of_running_proxies() -> dict[str, list[str]]:
    """The lines of each process, and of its emulated endpoints, by a name for the log."""
    logs = {}
    for running in list(running_proxies):
        logs[f"process-{running.process.pid}"] = [line.rstrip("\n") for line in list(running.log_lines)]
        for endpoint in running.endpoints:
            logs[f"endpoint-{endpoint.uid}-{endpoint.port}"] = list(endpoint.events)
    return {name: lines for name, lines in logs.items() if lines}


def keep(test_id: str, logs: dict[str, list[str]]) -> Path:
    """Write the whole logs of a failing test to files; returns their folder."""
    folder = FOLDER / re.sub(r"[^\w.-]+", "-", test_id)[-120:] / timestamp().replace(":", "")
    folder.mkdir(parents=True, exist_ok=True)
    for name, lines in logs.items():
        (folder / f"{name}.log").write_text("".join(f"{line}\n" for line in lines))
    return folder


def report_sections(test_id: str) -> list[tuple[str, str]]:
    """Keep the logs of a failing test; returns the sections, by title and text, that its report gets."""
    logs = logs_of_running_proxies()
    if not logs:
        return []
    folder = keep(test_id, logs)
    sections = [
        (f"log of {name}", "\n".join(lines[-MAX_REPORTED_LINES:])) for name, lines in sorted(logs.items())
    ]
    return [*sections, ("whole logs", str(folder.relative_to(FOLDER.parent)))]
