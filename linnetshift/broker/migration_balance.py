"""The number of clients that came from other proxies, less those that went there.

The latency estimator derives from it how many clients of the other proxies are connected here.
"""

from __future__ import annotations

from dataclasses import dataclass

# Time in which the balance decays to 0: about as long as a connection lasts.
MIGRATION_DECAY_NS = 30_000_000_000


@dataclass(slots=True)
class MigrationBalance:
    """A balance of clients that decays linearly to 0 within MIGRATION_DECAY_NS after its last change."""

    net: float = 0.0
    updated_ns: int = 0

    def record_migrated_in(self, now_ns: int) -> None:
        """Record a client that returned after its connection had ended.

        Unless this proxy migrated or lost it before, it came from another proxy.
        """
        self._add(1.0, now_ns)

    def record_migrated_out(self, now_ns: int) -> None:
        """Record a client that was asked to migrate or lost its connection, and will return to any proxy."""
        self._add(-1.0, now_ns)

    def net_in(self, now_ns: int) -> float:
        """Number of clients here that came from other proxies; negative if more have left."""
        return self.net * max(0.0, 1.0 - (now_ns - self.updated_ns) / MIGRATION_DECAY_NS)

    def _add(self, change: float, now_ns: int) -> None:
        decayed_share = min(1.0, (now_ns - self.updated_ns) / MIGRATION_DECAY_NS)
        self.net = self.net * (1.0 - decayed_share) + change
        self.updated_ns = now_ns
