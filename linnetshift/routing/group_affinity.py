"""Estimates the size of groups from the clients that one of many balancers sees.

Each endpoint with at least one connection of a group has overhead for the group. Where crossing zones has a
cost, a group is placed in each zone. That spreads a few large groups that no endpoint could serve alone; with
many small groups each endpoint serves parts of several, and the overhead exceeds the work for connections.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection

SAMPLE_SIZE = 64  # latest clients in the estimate
# Prior of the estimate: PRIOR_EQUAL_PAIRS out of PRIOR_PAIRS pairs of clients are in the same group.
PRIOR_EQUAL_PAIRS = 1.0
PRIOR_PAIRS = 30.0


class GroupSizeEstimator:
    """State: the groups of the latest clients, the count of each, and the number of pairs in one group."""

    def __init__(self) -> None:
        """Start with an empty sample."""
        self._sample: deque[int] = deque()
        self.counts: Counter[int] = Counter()
        self._equal_pairs = 0

    def record_client(self, group: int) -> None:
        """Add a client of that group to the sample; 0, for no group, is ignored."""
        if not group:
            return
        if len(self._sample) == SAMPLE_SIZE:
            self._evict_oldest()
        self._sample.append(group)
        self._equal_pairs += self.counts[group]
        self.counts[group] += 1

    def same_group_probability(self) -> float:
        """Estimated probability that two clients are in the same group."""
        sampled = len(self._sample)
        pairs = sampled * (sampled - 1) / 2
        return (self._equal_pairs + PRIOR_EQUAL_PAIRS) / (pairs + PRIOR_PAIRS)

    def zone_spread(self, zones: Collection[int]) -> float:
        """Return how far each group may spread over the zones; `zones` has one item for each endpoint.

        1.0 if each group can have an endpoint of its own in each zone, approaching 0.0 the fewer endpoints
        there are. The number of groups is estimated as 1 / `same_group_probability()`, which is exact for
        groups of equal size.
        """
        if not self._sample or not zones:
            return 1.0
        return min(1.0, len(zones) * self.same_group_probability() / len(set(zones)))

    def _evict_oldest(self) -> None:
        oldest = self._sample.popleft()
        self.counts[oldest] -= 1
        self._equal_pairs -= self.counts[oldest]
        if not self.counts[oldest]:
            del self.counts[oldest]
