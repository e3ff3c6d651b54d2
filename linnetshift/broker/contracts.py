"""Teams' contracts: which team may call which service, and within which limits.

Pure decisions on the caller's clock. Limits hold for one proxy, not for the fleet. Without any contract
everyone is admitted; once there is one, a team without a contract is not.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from linnetshift.routing.events import RETRY
from linnetshift.util.token_bucket import TokenBucket

# Retry-after for what the contract does not allow at all: only a new contract changes that.
PROHIBITED_WAIT_NS = 60_000_000_000
# Retry-after at the concurrency limit: one of the open connections may end at any moment.
CONCURRENCY_WAIT_NS = 1_000_000_000


class Limit(StrEnum):
    """The limits of a contract; the values appear in replies and in the log."""

    TEAM = "team"
    SERVICE = "service"
    CONCURRENCY = "concurrency"
    RATE = "rate"
    RETRIES = "retries"


class Breach(NamedTuple):
    """The limit that a request would break, and after how long a retry may be admitted."""

    limit: Limit
    wait_ns: int


@dataclass(slots=True)
class Contract:
    """What one team has agreed to; a limit that is None does not apply."""

    services: frozenset[int] | None = None  # numbers of the request classes that it may use
    rate: TokenBucket | None = None  # of all requests
    retries: TokenBucket | None = None  # of those that are marked as retries, which count as requests too
    concurrency: int | None = None  # most requests and connections at once
    active: int = 0  # requests and connections admitted and not yet released

    def admit(self, service: int, is_retry: bool, now_ns: int) -> Breach | None:
        """Count one request in, or return the first limit that it would break; a breach costs no token."""
        if self.services is not None and service not in self.services:
            return Breach(Limit.SERVICE, PROHIBITED_WAIT_NS)
        if self.concurrency is not None and self.active >= self.concurrency:
            return Breach(Limit.CONCURRENCY, CONCURRENCY_WAIT_NS)
        retries = self.retries if is_retry else None
        buckets = ((Limit.RATE, self.rate), (Limit.RETRIES, retries))
        for limit, bucket in buckets:
            if bucket is not None and (wait_ns := bucket.wait_ns(now_ns)):
                return Breach(limit, wait_ns)
        for _, bucket in buckets:
            if bucket is not None:
                bucket.take()
        self.active += 1
        return None

    def replace(self, former: Contract) -> None:
        """Go on from the levels of `former`; a limit that only one of the two has starts full."""
        if self.rate is not None and former.rate is not None:
            self.rate.copy_level(former.rate)
        if self.retries is not None and former.retries is not None:
            self.retries.copy_level(former.retries)


class Contracts:
    """The contracts of all teams, by the team's number in the settings."""

    def __init__(self, teams: Mapping[int, Contract] | None = None) -> None:
        """No teams at all means that there are no limits."""
        self.teams = dict(teams or {})

    def admit(self, team: int, service: int, flags: int, now_ns: int) -> Breach | None:
        """Admit a request, or return the limit that it would break; what is admitted must be released."""
        if not self.teams:
            return None
        contract = self.teams.get(team)
        if contract is None:
            return Breach(Limit.TEAM, PROHIBITED_WAIT_NS)
        return contract.admit(service, bool(flags & RETRY), now_ns)

    def replace(self, former: Contracts, active: Mapping[int, int]) -> None:
        """Take the place of `former` in a running proxy: limits change, what has been used does not.

        `active` counts the open requests and connections by team.
        """
        for team, contract in self.teams.items():
            contract.active = active.get(team, 0)
            if (former_contract := former.teams.get(team)) is not None:
                contract.replace(former_contract)

    def release(self, team: int) -> None:
        """A request or connection that was admitted is over."""
        if team in self.teams:
            self.teams[team].active -= 1
