"""Logs of the processes and emulated endpoints of a failing test, for its report and for files."""

from __future__ import annotations

import re
import time
import weakref
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from running_proxy import RunningProxy

LOG_FOLDER = Path(__file__).parent.parent / "found"
"""Folder of the complete logs of failing tests; not under version control."""

MAX_REPORTED_LINES = 200
"""Maximum number of lines of one log in a test's report; the last ones are shown."""

running_proxies: weakref.WeakSet[RunningProxy] = weakref.WeakSet()
"""Processes that a test or a fixture still references."""


def timestamp() -> str:
    """The current time in the format of log lines: UTC, with milliseconds."""
    now_s = time.time()
    return f"{time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(now_s))}.{int(now_s % 1 * 1000):03d}Z"


def logs_of_running_proxies() -> dict[str, list[str]]:
    """Log lines of each process and each of its emulated endpoints, by a name for the log."""
    logs = {}
    for running in list(running_proxies):
        logs[f"process-{running.process.pid}"] = [line.rstrip("\n") for line in list(running.log_lines)]
        for endpoint in running.endpoints:
            logs[f"endpoint-{endpoint.uid}-{endpoint.port}"] = list(endpoint.events)
    return {name: lines for name, lines in logs.items() if lines}


def write_logs(test_id: str, logs: dict[str, list[str]]) -> Path:
    """Write the complete logs of a failing test to files; returns their folder."""
    folder = LOG_FOLDER / re.sub(r"[^\w.-]+", "-", test_id)[-120:] / timestamp().replace(":", "")
    folder.mkdir(parents=True, exist_ok=True)
    for name, lines in logs.items():
        (folder / f"{name}.log").write_text("".join(f"{line}\n" for line in lines))
    return folder


def report_sections(test_id: str) -> list[tuple[str, str]]:
    """Write the logs of a failing test; returns the title and text of each section for its report."""
    logs = logs_of_running_proxies()
    if not logs:
        return []
    folder = write_logs(test_id, logs)
    sections = [
        (f"log of {name}", "\n".join(lines[-MAX_REPORTED_LINES:])) for name, lines in sorted(logs.items())
    ]
    return [*sections, ("whole logs", str(folder.relative_to(LOG_FOLDER.parent)))]
