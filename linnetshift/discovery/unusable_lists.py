"""What endpoint lists that cannot be used cost discovery, and when the whole list may be requested again."""

from __future__ import annotations

from linnetshift.event_loop.timers import S

# The pages allow lists of 64 KB, and 500 bytes for each endpoint, a day beyond what the usual fleet needs; a
# usual day lasts about a minute.
ALLOWANCE_BYTES = 64_000
ALLOWANCE_BYTES_PER_ENDPOINT = 500
ALLOWANCE_PERIOD_NS = 60 * S


class UnusableListBudget:
    """Limits the bytes of lists that cannot be used to the allowance in each period.

    Lives as long as the watch. What was spent is forgotten at a steady rate, the allowance in one period; at
    most two allowances count as spent, so a list is requested again after one period at the latest.

    Attributes:
        count: Answers that could not be used.
        total_bytes: Their bytes, received or declared.
    """

    def __init__(self) -> None:
        """Nothing is spent."""
        self.count = 0
        self.total_bytes = 0
        self._spent_bytes = 0.0
        self._allowance_bytes = ALLOWANCE_BYTES
        self._updated_at_ns = 0

    def charge(self, byte_count: int, endpoints: int, now_ns: int) -> None:
        """Count an answer that cannot be used; `endpoints` is the size of the list in use."""
        self.count += 1
        self.total_bytes += byte_count
        self._forget(now_ns)
        self._allowance_bytes = ALLOWANCE_BYTES + ALLOWANCE_BYTES_PER_ENDPOINT * endpoints
        self._spent_bytes = min(self._spent_bytes + byte_count, 2.0 * self._allowance_bytes)

    def wait_ns(self, now_ns: int) -> int:
        """Return how long no list may be requested that is likely to be unusable again."""
        self._forget(now_ns)
        excess_bytes = self._spent_bytes - self._allowance_bytes
        return max(0, int(excess_bytes * ALLOWANCE_PERIOD_NS / self._allowance_bytes))

    def _forget(self, now_ns: int) -> None:
        elapsed_ns = now_ns - self._updated_at_ns
        forgotten_bytes = self._allowance_bytes * elapsed_ns / ALLOWANCE_PERIOD_NS
        self._spent_bytes = max(0.0, self._spent_bytes - forgotten_bytes)
        self._updated_at_ns = now_ns
