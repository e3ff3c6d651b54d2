"""The contracts in the broker file: an array of tables, of which each stands alone."""

from __future__ import annotations

import math
from collections import Counter
from typing import Any, NamedTuple

from linnetshift.broker.contracts import ContractList, ContractTerms, RateLimit
from linnetshift.config.broker_parts import CONTRACTS_PART, UnusablePart, UnusablePartError
from linnetshift.config.errors import INVALID_VALUE_ERRORS


class ContractsReading(NamedTuple):
    """The contracts in force, and those that could not be used."""

    contracts: ContractList
    unusable: tuple[UnusablePart, ...]


class ContractsReader:
    """Reads the contracts of one document; each stands alone, with all its limits together.

    The last good contract of a team whose contract cannot be used stays in force. Without one, the team is
    admitted without limits. Where it cannot be read whose contract it is, this holds for all teams that have
    no other contract.
    """

    def __init__(self, document: dict[str, Any], former: ContractList | None) -> None:
        """`former` is what has been in force, None at a start."""
        self.items = document.get(CONTRACTS_PART, [])
        self.has_former = former is not None
        self.former = former or ContractList()
        self.last_good = {terms.team: terms for terms in self.former.terms}
        self.unusable: list[UnusablePart] = []
        self.terms: dict[str, ContractTerms] = {}
        self.unlimited_teams: set[str] = set()

    def read(self) -> ContractsReading:
        """Return the contracts in force."""
        if not isinstance(self.items, list):
            part = UnusablePart(CONTRACTS_PART, "must be an array of tables", self.has_former)
            return ContractsReading(self.former, (part,))
        teams = [_team_of(item) for item in self.items]
        uses = Counter(teams)
        for index, (item, team) in enumerate(zip(self.items, teams, strict=True)):
            path = f"{CONTRACTS_PART}[{index}]"
            try:
                self._read_contract(item, team, uses[team])
            except UnusablePartError as error:
                self._leave_out(path, team, str(error))
        if None in uses:
            self.unlimited_teams.update(self.former.unlimited_teams - self.terms.keys())
            self.terms = {**self.last_good, **self.terms}
        contracts = ContractList(
            tuple(self.terms.values()),
            frozenset(self.unlimited_teams),
            None in uses and self._admitted_other_teams(),
        )
        return ContractsReading(contracts, tuple(self.unusable))

    def _read_contract(self, item: Any, team: str | None, uses: int) -> None:
        """Raise UnusablePartError where the contract cannot be used; `uses` counts its team's contracts."""
        if team is None:
            raise UnusablePartError("'team' must be a name")
        if uses > 1:
            raise UnusablePartError(f"team {team!r} has {uses} contracts")
        self.terms[team] = _parse_contract(item, team)

    def _leave_out(self, path: str, team: str | None, reason: str) -> None:
        has_last_good = self.has_former
        if team is not None:
            has_last_good = team in self.last_good and team not in self.former.unlimited_teams
            self.terms[team] = self.last_good[team] if has_last_good else ContractTerms(team)
            if not has_last_good:
                self.unlimited_teams.add(team)
        self.unusable.append(UnusablePart(path, reason, has_last_good))

    def _admitted_other_teams(self) -> bool:
        """Whether teams without a contract have been admitted so far; at a start they are."""
        return not self.has_former or not self.former.terms or self.former.admits_other_teams


def _team_of(item: Any) -> str | None:
    """Return the team that a contract names; None where that cannot be read."""
    team = item.get("team") if isinstance(item, dict) else None
    return str(team) if isinstance(team, (str, int)) else None


def _parse_contract(item: dict[str, Any], team: str) -> ContractTerms:
    """Raise UnusablePartError where a value has a wrong type or is out of its range."""
    try:
        return ContractTerms(
            team=team,
            services=_parse_services(item),
            rate=_parse_rate_limit(item, "rate_per_s", "rate_burst"),
            retries=_parse_rate_limit(item, "retries_per_s", "retries_burst"),
            concurrency=int(item["concurrency"]) if "concurrency" in item else None,
        )
    except INVALID_VALUE_ERRORS as error:
        raise UnusablePartError(str(error)) from None


def _parse_services(item: dict[str, Any]) -> frozenset[str] | None:
    """Return the names of the allowed services; None, for all of them, where the key is absent."""
    if "services" not in item:
        return None
    services = item["services"]
    if not isinstance(services, list):
        raise ValueError("'services' must be a list of names")
    return frozenset(str(name) for name in services)


def _parse_rate_limit(item: dict[str, Any], rate_key: str, burst_key: str) -> RateLimit | None:
    """The terms of a rate in requests per second and a burst in requests; None without a rate."""
    if rate_key not in item:
        return None
    rate = float(item[rate_key])
    burst = float(item.get(burst_key, max(1.0, rate)))
    if not 0.0 < rate < math.inf or not 1.0 <= burst < math.inf:
        raise ValueError(
            f"{rate_key} must be above 0 and {burst_key} 1 or more, both finite; got {rate:g} and {burst:g}"
        )
    return RateLimit(rate, burst)
