"""Teams' contracts: which team may invoke which service, and within which budgets."""

from __future__ import annotations

from typing import NamedTuple


class Breach(NamedTuple):
    limit: str
    wait_ns: int


class Contracts:
    def admit(self, team: int, service: int, flags: int, now: int) -> Breach | None:
        return None

    def release(self, team: int, service: int) -> None:
        return None
