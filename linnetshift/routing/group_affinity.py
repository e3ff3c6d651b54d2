"""How large groups are, as one of many nodes can tell from the clients that come to it.

Every endpoint that holds any of a group pays for it. Where crossing zones has a price, a group has a place in
each zone. With few large groups that spreads what no endpoint could bear alone; with many small ones each
endpoint holds some of several, and the places weigh more than the connections that stand there.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection

MET = 64  # clients by which a node judges
# Before any came, as if of so many pairs of clients that many had been of one group.
PRIOR_ALIKE = 1.0
PRIOR_PAIRS = 30.0


class GroupSizes:
    def __init__(self) -> None:
        self.met: deque[int] = deque()
        self.counts: Counter[int] = Counter()
        self.alike = 0  # pairs among them that are of one group

    def meet(self, group: int) -> None:
        """A client of that group came by; 0 is none."""
        if not group:
            return
        if len(self.met) == MET:
            oldest = self.met.popleft()
            self.counts[oldest] -= 1
            self.alike -= self.counts[oldest]
            if not self.counts[oldest]:
                del self.counts[oldest]
        self.met.append(group)
        self.alike += self.counts[group]
        self.counts[group] += 1

    def likeness(self) -> float:
        """The chance that two clients are of one group."""
        pairs = len(self.met) * (len(self.met) - 1) / 2
        return (self.alike + PRIOR_ALIKE) / (pairs + PRIOR_PAIRS)

    def worth_places(self, zones: Collection[int]) -> float:
        """From 1, where there are endpoints for a place of each group in each zone, down to 0, where far too
        few.

        `zones` are those of the endpoints.
        So many groups as would be, were all alike: one over the chance that two clients are of one.
        """
        return min(1.0, len(zones) * self.likeness() / len(set(zones))) if self.met and zones else 1.0
