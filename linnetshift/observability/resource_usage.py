"""Sizes and bounds of the containers that live as long as the process.

Each owner of such a container reports its usage; `docs/memory.md` lists the containers, and `GET /ops/census`
returns the current figures.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class ResourceUsage(NamedTuple):
    """A container's size and its upper bound, both in entries."""

    size: int
    bound: int


def over_bound(resource_usage: Mapping[str, ResourceUsage]) -> list[str]:
    """Names of the containers that exceed their bounds; empty unless the program has a fault."""
    return [name for name, usage in resource_usage.items() if usage.size > usage.bound]
