"""Load shedding: which share of the keys a node admits while most of its endpoints miss their aims.

Which keys those are is a matter of the key, so nodes shed the same groups, and a client that returns meets
the same answer wherever it comes.
"""

from __future__ import annotations

from dataclasses import dataclass

from linnetshift.routing.ranking import MASK, mix64

# Once a second, while messages are late at more than the first share of the endpoints, fewer keys are
# admitted; under the second share, slowly more.
SHED_OVER = 0.4
ADMIT_UNDER = 0.15
SHED_STEP = 0.35
ADMIT_STEP = 0.05
ADMIT_LEAST = 0.2
EVERY_NS = 1_000_000_000
SALT = 0x9E3779B97F4A7C15  # splitmix64's increment: a draw per key that is independent of its ranking


@dataclass(slots=True)
class LoadShedding:
    admit: float = 1.0  # the share of the keys
    at: int = 0
    jammed: bool = False  # messages are late at most endpoints: moves would only carry the jam about

    def due(self, now: int) -> bool:
        return now - self.at >= EVERY_NS

    def review(self, now: int, late: int, endpoints: int) -> None:
        self.at = now
        self.jammed = late > max(1.0, SHED_OVER * endpoints)  # one alone can be left for the others
        if self.jammed:
            self.admit = max(self.admit * (1.0 - SHED_STEP), ADMIT_LEAST)
        elif late <= ADMIT_UNDER * endpoints:
            self.admit = min(self.admit + ADMIT_STEP, 1.0)

    def admits(self, key_hash: int) -> bool:
        return self.admit >= 1.0 or mix64(key_hash ^ SALT) < self.admit * MASK

    @property
    def at_least(self) -> bool:
        """Whether no more can be shed."""
        return self.admit <= ADMIT_LEAST
