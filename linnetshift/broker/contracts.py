"""Teams' contracts: which team may invoke which service, and within which budgets.

Pure decisions on the caller's clock. Budgets hold for one proxy; with no contract everyone is admitted.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from linnetshift.routing.events import RETRY

PROHIBITED_WAIT_NS = 60_000_000_000  # outside the contract, until the contract changes
CROWDED_WAIT_NS = 1_000_000_000  # as many at once as agreed: one may end at any moment


class Breach(NamedTuple):
    limit: str
    wait_ns: int


@dataclass(slots=True)
class Budget:
    """So many a second, of which up to `burst` may come at once."""

    rate: float
    burst: float
    level: float = math.inf
    at: int = 0

    def wait_ns(self, now: int) -> int:
        """How long until one more is within the budget; 0 when it is now."""
        self.level = min(self.burst, self.level + self.rate * (now - self.at) / 1e9)
        self.at = now
        return math.ceil((1.0 - self.level) / self.rate * 1e9) if self.level < 1.0 else 0


@dataclass(slots=True)
class Contract:
    services: frozenset[int] | None = None  # None: all of them
    rate: Budget | None = None
    retries: Budget | None = None
    concurrency: int | None = None
    held: int = 0

    def breach(self, service: int, retry: bool, now: int) -> Breach | None:
        if self.services is not None and service not in self.services:
            return Breach("service", PROHIBITED_WAIT_NS)
        if self.concurrency is not None and self.held >= self.concurrency:
            return Breach("concurrency", CROWDED_WAIT_NS)
        charged = [("rate", self.rate), ("retries", self.retries if retry else None)]
        for limit, budget in charged:
            if budget is not None and (wait := budget.wait_ns(now)):
                return Breach(limit, wait)
        for _, budget in charged:
            if budget is not None:
                budget.level -= 1.0
        self.held += 1
        return None


class Contracts:
    def __init__(self, teams: Mapping[int, Contract] | None = None) -> None:
        self.teams = dict(teams or {})

    def admit(self, team: int, service: int, flags: int, now: int) -> Breach | None:
        """None, or the limit that this request would break; what is admitted is released later."""
        if not self.teams:
            return None
        contract = self.teams.get(team)
        if contract is None:
            return Breach("team", PROHIBITED_WAIT_NS)
        return contract.breach(service, bool(flags & RETRY), now)

    def follow(self, former: Contracts, held: Mapping[int, int]) -> None:
        """Take the place of `former`; what is held and spent goes on counting."""
        for team, contract in self.teams.items():
            contract.held = held.get(team, 0)
            old = former.teams.get(team, contract)
            for budget, before in ((contract.rate, old.rate), (contract.retries, old.retries)):
                if budget is not None and before is not None:
                    budget.level, budget.at = before.level, before.at

    def release(self, team: int) -> None:
        if team in self.teams:
            self.teams[team].held -= 1
