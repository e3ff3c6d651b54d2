"""Teams' contracts: which services a team may call, and within which limits.

The caller supplies the time. Limits apply to one proxy, not to the fleet. If there are no contracts, all
requests are admitted; if there are any, teams without a contract are rejected.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from linnetshift.routing.events import RETRY
from linnetshift.util.token_bucket import TokenBucket

# Retry-after for requests that the contract does not allow at all: only a new contract changes that.
PROHIBITED_RETRY_AFTER_NS = 60_000_000_000
# Retry-after at the concurrency limit: an open connection may end at any time.
CONCURRENCY_RETRY_AFTER_NS = 1_000_000_000


class Limit(StrEnum):
    """The limits of a contract; the values appear in replies and in the log."""

    TEAM = "team"
    SERVICE = "service"
    CONCURRENCY = "concurrency"
    RATE = "rate"
    RETRIES = "retries"


class ExceededLimit(NamedTuple):
    """The limit that a request would exceed, and the time after which a retry may be admitted."""

    limit: Limit
    retry_after_ns: int


@dataclass(slots=True)
class Contract:
    """The limits of one team; a limit that is None does not apply."""

    services: frozenset[int] | None = None  # numbers of the allowed request classes
    rate: TokenBucket | None = None  # for all requests
    retries: TokenBucket | None = None  # for requests marked as retries, which also count in `rate`
    concurrency: int | None = None  # maximum number of concurrent requests and connections
    active: int = 0  # requests and connections admitted and not yet released

    def admit(self, service: int, is_retry: bool, now_ns: int) -> ExceededLimit | None:
        """Admit one request, or return the first limit that it would exceed; then no token is taken."""
        if self.services is not None and service not in self.services:
            return ExceededLimit(Limit.SERVICE, PROHIBITED_RETRY_AFTER_NS)
        if self.concurrency is not None and self.active >= self.concurrency:
            return ExceededLimit(Limit.CONCURRENCY, CONCURRENCY_RETRY_AFTER_NS)
        retries = self.retries if is_retry else None
        buckets = ((Limit.RATE, self.rate), (Limit.RETRIES, retries))
        for limit, bucket in buckets:
            if bucket is not None and (wait_ns := bucket.wait_ns(now_ns)):
                return ExceededLimit(limit, wait_ns)
        for _, bucket in buckets:
            if bucket is not None:
                bucket.take()
        self.active += 1
        return None

    def carry_over(self, former: Contract) -> None:
        """Copy the token levels of `former`; a bucket that `former` lacks starts full."""
        if self.rate is not None and former.rate is not None:
            self.rate.continue_from(former.rate)
        if self.retries is not None and former.retries is not None:
            self.retries.continue_from(former.retries)


class Contracts:
    """The contracts of all teams, by the team's number in the settings."""

    def __init__(self, teams: Mapping[int, Contract] | None = None) -> None:
        """Without teams, there are no limits."""
        self.teams = dict(teams or {})

    def admit(self, team: int, service: int, flags: int, now_ns: int) -> ExceededLimit | None:
        """Admit a request, or return the limit that it would exceed; an admitted request must be released."""
        if not self.teams:
            return None
        contract = self.teams.get(team)
        if contract is None:
            return ExceededLimit(Limit.TEAM, PROHIBITED_RETRY_AFTER_NS)
        return contract.admit(service, bool(flags & RETRY), now_ns)

    def carry_over(self, former: Contracts, active: Mapping[int, int]) -> None:
        """Carry over usage at a reload: copies the token levels of `former`, and sets the active counts.

        `active` is the number of open requests and connections, by team.
        """
        for team, contract in self.teams.items():
            contract.active = active.get(team, 0)
            if (former_contract := former.teams.get(team)) is not None:
                contract.carry_over(former_contract)

    def release(self, team: int) -> None:
        """Count an admitted request or connection as ended."""
        if team in self.teams:
            self.teams[team].active -= 1
