"""Teams' contracts: which services a team may call, and within which limits.

The caller supplies the time. Limits apply to one proxy, not to the fleet. If there are no contracts, all
requests are admitted; if there are any, teams without a contract are rejected.

`ContractTerms` are what an operator wrote: they name teams and services. `Contracts` enforce them, and refer
to both by number. A name without a number matches no request, and keeps its token levels until it has one.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple

from linnetshift.routing.events import RETRY
from linnetshift.routing.settings import RequestClass
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


class RateLimit(NamedTuple):
    """The terms of a token bucket: a rate in requests per second, and a burst in requests."""

    rate_per_s: float
    burst: float

    def new_bucket(self) -> TokenBucket:
        """Return a full bucket."""
        return TokenBucket(self.rate_per_s, self.burst)


@dataclass(frozen=True, slots=True)
class ContractTerms:
    """One team's contract as written; a limit that is None does not apply."""

    team: str
    services: frozenset[str] | None = None  # names of the allowed request classes
    rate: RateLimit | None = None
    retries: RateLimit | None = None
    concurrency: int | None = None

    def contract(self, classes: Sequence[RequestClass]) -> Contract:
        """Return the contract, unused so far; `classes` are those of the settings, by number."""
        services = self.services
        return Contract(
            services=None if services is None else _numbers_of(services, classes),
            rate=self.rate.new_bucket() if self.rate is not None else None,
            retries=self.retries.new_bucket() if self.retries is not None else None,
            concurrency=self.concurrency,
        )


def _numbers_of(names: frozenset[str], classes: Sequence[RequestClass]) -> frozenset[int]:
    """Return the numbers of the classes with these names: current ones, and former ones still in use."""
    return frozenset(number for number, request_class in enumerate(classes) if request_class.name in names)


@dataclass(frozen=True, slots=True)
class ContractList:
    """All contracts as written.

    Attributes:
        terms: Of each team that has a contract.
        unlimited_teams: Those of them whose contract cannot be used, so that their terms set no limits.
        admits_other_teams: Teams without a contract are admitted although others have one, as a contract that
            cannot be used may be theirs.
    """

    terms: tuple[ContractTerms, ...] = ()
    unlimited_teams: frozenset[str] = frozenset()
    admits_other_teams: bool = False


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
    """The contracts of all teams in force.

    Attributes:
        teams: By the team's number in the settings.
        unlisted_teams: By name, the contracts of teams that no settings have listed so far.
        admits_other_teams: Whether teams without a contract are admitted although others have one.
    """

    def __init__(
        self,
        teams: Mapping[int, Contract] | None = None,
        unlisted_teams: Mapping[str, Contract] | None = None,
        admits_other_teams: bool = False,
        team_numbers: Mapping[str, int] = MappingProxyType({}),
    ) -> None:
        """Without any contract, there are no limits; `team_numbers` are those of all teams ever listed."""
        self.teams = dict(teams or {})
        self.unlisted_teams = dict(unlisted_teams or {})
        self.admits_other_teams = admits_other_teams
        self._team_numbers = dict(team_numbers)

    @classmethod
    def of(
        cls, contracts: ContractList, team_numbers: Mapping[str, int], classes: Sequence[RequestClass]
    ) -> Contracts:
        """Return the contracts, unused so far.

        `team_numbers` has the number of each team that was ever listed; `classes` are those of the settings,
        by number.
        """
        teams: dict[int, Contract] = {}
        unlisted_teams: dict[str, Contract] = {}
        for terms in contracts.terms:
            contract = terms.contract(classes)
            if terms.team in team_numbers:
                teams[team_numbers[terms.team]] = contract
            else:
                unlisted_teams[terms.team] = contract
        return cls(teams, unlisted_teams, contracts.admits_other_teams, team_numbers)

    def admit(self, team: int, service: int, flags: int, now_ns: int) -> ExceededLimit | None:
        """Admit a request, or return the limit that it would exceed; an admitted request must be released."""
        contract = self.teams.get(team)
        if contract is not None:
            return contract.admit(service, bool(flags & RETRY), now_ns)
        if self.admits_other_teams or not (self.teams or self.unlisted_teams):
            return None
        return ExceededLimit(Limit.TEAM, PROHIBITED_RETRY_AFTER_NS)

    def find(self, team: str) -> Contract | None:
        """Return the contract of the team with this name, whether or not the settings have listed it."""
        number = self._team_numbers.get(team)
        return self.unlisted_teams.get(team) if number is None else self.teams.get(number)

    def by_name(self) -> dict[str, Contract]:
        """Return all contracts by their team's name."""
        listed = {
            name: self.teams[number] for name, number in self._team_numbers.items() if number in self.teams
        }
        return {**listed, **self.unlisted_teams}

    def carry_over(self, former: Contracts, active: Mapping[int, int]) -> None:
        """Carry over usage at a reload: copies the token levels of `former`, and sets the active counts.

        `active` is the number of open requests and connections, by team.
        """
        for team, contract in self.teams.items():
            contract.active = active.get(team, 0)
            if (former_contract := former.teams.get(team)) is not None:
                contract.carry_over(former_contract)
        for name, former_contract in former.unlisted_teams.items():
            if (later_contract := self.find(name)) is not None:
                later_contract.carry_over(former_contract)

    def release(self, team: int) -> None:
        """Count an admitted request or connection as ended."""
        if team in self.teams:
            self.teams[team].active -= 1


def names_without_match(
    contracts: ContractList, listed_teams: Iterable[str], listed_services: Iterable[str]
) -> list[str]:
    """Return the teams and services that contracts name and the settings do not list, in the file's order.

    `listed_teams` and `listed_services` are the names in the settings.
    """
    teams, services = set(listed_teams), set(listed_services)
    unmatched: dict[str, None] = {}
    for terms in contracts.terms:
        if terms.team not in teams:
            unmatched[f"team {terms.team}"] = None
        for service in sorted((terms.services or frozenset()) - services):
            unmatched[f"service {service}"] = None
    return list(unmatched)
