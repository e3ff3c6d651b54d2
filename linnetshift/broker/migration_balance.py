"""Clients that came from other proxies, less those that went there.

From it the latency estimator infers how many of their clients the other proxies have lost to this one.
"""

from __future__ import annotations

from dataclasses import dataclass

# How long a client from another proxy counts as lost there: about as long as a connection lasts.
MIGRATION_MEMORY_NS = 30_000_000_000


@dataclass(slots=True)
class MigrationBalance:
    """A count of clients that fades linearly to nothing within MIGRATION_MEMORY_NS after its last change."""

    net: float = 0.0
    updated_ns: int = 0

    def record_migrated_in(self, now_ns: int) -> None:
        """Record a client that returned after its connection had ended.

        Where this proxy did not migrate or lose it before, it came from another proxy.
        """
        self._add(1.0, now_ns)

    def record_migrated_out(self, now_ns: int) -> None:
        """Record a client that was asked to migrate or lost its connection, and will return to some proxy."""
        self._add(-1.0, now_ns)

    def net_in(self, now_ns: int) -> float:
        """Clients here that came from other proxies; negative where more have left than came."""
        return self.net * max(0.0, 1.0 - (now_ns - self.updated_ns) / MIGRATION_MEMORY_NS)

    def _add(self, change: float, now_ns: int) -> None:
        faded = min(1.0, (now_ns - self.updated_ns) / MIGRATION_MEMORY_NS)
        self.net = self.net * (1.0 - faded) + change
        self.updated_ns = now_ns
