"""Why clients come back, as one of many nodes can tell from its own.

A client that comes back says that its connection broke or was moved, and not which. All nodes together see
as many drops as returns that come of them, so a node's own drops beside the returns that it meets tell how
likely each was dropped. Then the endpoint that its key comes to first may be the one that dropped it, and
would again.
"""

from __future__ import annotations

from dataclasses import dataclass

KEPT_NS = 10_000_000_000  # over which both are counted
GO_ON = 0.3  # chance that a client that was dropped goes on to the next rank, and from there to the one after


@dataclass(slots=True)
class Returns:
    drops: float = 0.0
    returns: float = 0.0
    at: int = 0

    def _fade(self, now: int) -> None:
        left = max(0.0, 1.0 - (now - self.at) / KEPT_NS)
        self.drops, self.returns, self.at = self.drops * left, self.returns * left, now

    def dropped(self, now: int) -> None:
        """A connection that stood was reset by its endpoint."""
        self._fade(now)
        self.drops += 1.0

    def came(self, now: int) -> float:
        """A client came back: the chance that it is to go on."""
        self._fade(now)
        self.returns += 1.0
        return GO_ON * min(1.0, self.drops / self.returns)
