"""How large groups are, as one of many balancers can estimate from the clients that come to it.

Every endpoint that has any connection of a group pays an overhead for it. Where crossing zones has a price, a
group is placed in each zone. With few large groups that spreads what no endpoint could serve alone; with many
small ones each endpoint has some of several, and the overhead outweighs the connections.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection

SAMPLE_SIZE = 64  # latest clients that the estimate is made of
# The estimate begins as if of PRIOR_PAIRS pairs of clients PRIOR_EQUAL_PAIRS had been of one group.
PRIOR_EQUAL_PAIRS = 1.0
PRIOR_PAIRS = 30.0


class GroupSizeEstimator:
    """State: the groups of the latest clients, how often each occurs, and the pairs that are of one group."""

    def __init__(self) -> None:
        """Start without any client."""
        self._sample: deque[int] = deque()
        self.counts: Counter[int] = Counter()
        self._equal_pairs = 0

    def record_client(self, group: int) -> None:
        """Count a client of that group; 0 means that it has none."""
        if not group:
            return
        if len(self._sample) == SAMPLE_SIZE:
            self._forget_oldest()
        self._sample.append(group)
        self._equal_pairs += self.counts[group]
        self.counts[group] += 1

    def same_group_probability(self) -> float:
        """The chance that two clients are of one group."""
        sampled = len(self._sample)
        pairs = sampled * (sampled - 1) / 2
        return (self._equal_pairs + PRIOR_EQUAL_PAIRS) / (pairs + PRIOR_PAIRS)

    def zone_spread(self, zones: Collection[int]) -> float:
        """How far each group may spread over the zones; `zones` has one item for each endpoint.

        From 1.0, where there are enough endpoints for one of each group in each zone, down to 0.0, where
        there are far too few. Were all groups of one size, their number would be one over the chance that two
        clients are of one group; it is estimated so.
        """
        if not self._sample or not zones:
            return 1.0
        return min(1.0, len(zones) * self.same_group_probability() / len(set(zones)))

    def _forget_oldest(self) -> None:
        oldest = self._sample.popleft()
        self.counts[oldest] -= 1
        self._equal_pairs -= self.counts[oldest]
        if not self.counts[oldest]:
            del self.counts[oldest]
