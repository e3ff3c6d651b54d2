"""Logs of several proxies, merged in the order of time."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

FIELD = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
"""A field of a log line; values with spaces are quoted."""

TIME_PREFIX = re.compile(r"\[?(\d+\.\d+)\]?\s")
"""A time in seconds that precedes a log line."""


class LogLine(NamedTuple):
    """One line of a proxy's log, with its time in seconds."""

    at_s: float
    proxy: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """Name of the event."""
        return self.fields.get("event", "")

    def number(self, name: str) -> int:
        """The value of an integer field; 0 if it is missing or empty."""
        return int(self.fields.get(name) or 0)


class ParsedLine(NamedTuple):
    """A line with absolute times: `prefix_s` precedes it, if not None; `timestamp_s` is its timestamp."""

    prefix_s: float | None
    timestamp_s: float
    proxy: str
    fields: dict[str, str]


def parse_line(proxy: str, text: str) -> ParsedLine | None:
    """Parse one line; None if the program did not write it."""
    fields = {key: value.strip('"') for key, value in FIELD.findall(text)}
    if "event" not in fields or "ts" not in fields:
        return None
    prefix = TIME_PREFIX.match(text)
    timestamp = datetime.fromisoformat(fields["ts"].replace("Z", "+00:00")).timestamp()
    return ParsedLine(float(prefix[1]) if prefix else None, timestamp, proxy, fields)


def read_logs(directory: Path) -> list[LogLine]:
    """All lines of all proxies in the order of time; lines that the program did not write are omitted."""
    parsed = [
        line
        for path in sorted(directory.iterdir())
        for text in path.read_text(errors="replace").splitlines()
        if (line := parse_line(path.stem, text)) is not None
    ]
    first_s = min((line.timestamp_s for line in parsed), default=0.0)
    lines = []
    for line in parsed:
        at_s = line.timestamp_s - first_s if line.prefix_s is None else line.prefix_s
        lines.append(LogLine(at_s, line.proxy, line.fields))
    return sorted(lines, key=lambda line: line.at_s)


def follow_client(lines: Iterable[LogLine], client_id: str) -> list[LogLine]:
    """The lines of all requests with one client's key, in the order of `lines`.

    `client_id` is the id of one of its OPEN lines, or its key, in hexadecimal.
    """
    lines = list(lines)
    wanted = f"{int(client_id, 16):x}"
    keys = {wanted}
    keys |= {
        line.fields["key"] for line in lines if "key" in line.fields and line.fields.get("open") == wanted
    }
    process_starts: Counter[str] = Counter()
    numbered = []
    requests = set()
    for line in lines:
        if line.event == "process-started":  # each process numbers its requests from the start
            process_starts[line.proxy] += 1
        request = line.proxy, process_starts[line.proxy], line.fields.get("id", "0")
        numbered.append((request, line))
        if line.fields.get("key") in keys:
            requests.add(request)
    return [line for request, line in numbered if request in requests]
