"""Clients that came from other proxies, less those that went there: how far the others are away."""

from __future__ import annotations

from dataclasses import dataclass

# How long a client that came from another proxy tells of that proxy: about a connection's life.
MIGRATION_MEMORY_NS = 30_000_000_000


@dataclass(slots=True)
class MigrationBalance:
    """A count of clients that fades linearly to nothing within MIGRATION_MEMORY_NS after its last change."""

    net: float = 0.0
    updated_ns: int = 0

    def record_migrated_in(self, now_ns: int) -> None:
        """A client came back after a break.

        Those that came and were not migrated from here were another proxy's, which has so many fewer.
        """
        self._add(1.0, now_ns)

    def record_migrated_out(self, now_ns: int) -> None:
        """A client was asked to migrate, or lost its connection, and will come back somewhere."""
        self._add(-1.0, now_ns)

    def net_in(self, now_ns: int) -> float:
        """Clients here that were another proxy's; negative where more have left than came."""
        return self.net * max(0.0, 1.0 - (now_ns - self.updated_ns) / MIGRATION_MEMORY_NS)

    def _add(self, change: float, now_ns: int) -> None:
        faded = min(1.0, (now_ns - self.updated_ns) / MIGRATION_MEMORY_NS)
        self.net = self.net * (1.0 - faded) + change
        self.updated_ns = now_ns
