"""How much of everything the program holds, and how much it may.

Each owner of a container that lives as long as the program reports its size and its bound; `docs/memory.md`
has the table, and `GET /ops/census` the current figures.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class ResourceUsage(NamedTuple):
    """A container's size and the most that it may ever hold, both in entries."""

    size: int
    bound: int


def over_bound(resource_usage: Mapping[str, ResourceUsage]) -> list[str]:
    """The names of the containers that hold more than they may; always empty unless there is a fault."""
    return [name for name, usage in resource_usage.items() if usage.size > usage.bound]
