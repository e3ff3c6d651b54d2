"""Names of the events that the program logs, read from its source."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent / "linnetshift"
"""Root of the program's source."""

LOG_CALLS = ("info", "error")
"""Functions and methods that log an event; their first argument is its name."""


def logged_events() -> set[str]:
    """Each event whose name is a literal in a log call of the program."""
    return {event for path in PACKAGE.rglob("*.py") for event in events_in(ast.parse(path.read_text()))}


def events_in(tree: ast.AST) -> Iterator[str]:
    """The literal first argument of each log call."""
    for node in ast.walk(tree):
        match node:
            case ast.Call(
                func=ast.Name(id=name) | ast.Attribute(attr=name), args=[ast.Constant(value=str(event)), *_]
            ) if name in LOG_CALLS:
                yield event
