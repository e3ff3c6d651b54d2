"""A node's turns at cold hosts: its part of what all nodes together may send there.

A host's rate is the fleet's budget for it over the nodes' number or by this node's share of the traffic; a
turn is one connection. What is not used is not saved beyond one turn, so that no window holds more than its
budget and one for each node.
"""

from __future__ import annotations

import math
from collections.abc import Iterable


def refilled(level: float, rate: float, past_ns: int) -> float:
    """The turns at hand after some time at so many a second; never more than one."""
    return min(1.0, level + rate * past_ns / 1e9)


def wait_ns(turns: Iterable[tuple[float, float, int]], ahead: int) -> float:
    """How long until one more than those `ahead` has a turn at any host; infinite where none may.

    Each host has its turns at hand, its rate a second, and how long until it is warm and needs none. Rates
    are taken as they are now; they only grow as the hosts warm up.
    """
    hosts = list(turns)
    warm = min((left for _, _, left in hosts), default=math.inf)
    rate = sum(rate for _, rate, _ in hosts)
    owed = ahead + 1 - sum(level for level, _, _ in hosts)
    return min(warm, max(0.0, owed) / rate * 1e9 if rate > 0.0 else math.inf)
