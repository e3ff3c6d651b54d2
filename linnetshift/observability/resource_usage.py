"""How much of everything the program holds, and how much it may.

Each owner of a container that lives as long as the program tells its size and its bound; `docs/memory.md` has
the table, and `GET /ops/census` the figures of the moment.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class ResourceUsage(NamedTuple):
    """A container's size and the most that it may ever hold, both in entries."""

    size: int
    bound: int


def over(resource_usage: Mapping[str, ResourceUsage]) -> list[str]:
    """The names of those that hold more than they may."""
    return [name for name, held in resource_usage.items() if held.size > held.bound]
