"""What the program found out of its deployment by itself, which no setting tells.

Facts for staff and their log: decisions rest on the settings and on what single providers show.
"""

from __future__ import annotations

from collections.abc import Collection

from linnetshift.core.census import Held
from linnetshift.interface import HostEntry, HostState

# A provider that sends its consumers away does so as it begins to drain, seconds before the list tells of it.
SETTLED_NS = 1_000_000_000


class Learned:
    def __init__(self) -> None:
        self.known: dict[str, str] = {}
        self.news: list[tuple[str, str]] = []  # not told yet
        self.drains: dict[bytes, int] = {}  # when the list first told that a provider drains

    def found(self, what: str, value: str) -> None:
        """A fact about the deployment; told once, and again when it changes."""
        if self.known.get(what) != value:
            self.known[what] = value
            self.news.append((what, value))

    def fresh(self) -> list[tuple[str, str]]:
        """What was learned since the last call."""
        news, self.news = self.news, []
        return news

    def listed(self, entries: Collection[HostEntry], whole: bool, now: int) -> None:
        """A list, or its changes; one that operators took out (it has a time to leave) says nothing."""
        told = {entry.host for entry in entries}
        draining = {e.host for e in entries if e.state == HostState.DRAINING and not e.leave_ns}
        self.drains = {
            host: at
            for host, at in self.drains.items()
            if host in draining or (host not in told and not whole)
        }
        self.drains.update(dict.fromkeys(draining - self.drains.keys(), now))

    def review(self, standing: Collection[bytes], now: int) -> None:
        """`standing`: the providers at which consumers stand."""
        if any(now - at > SETTLED_NS and host in standing for host, at in self.drains.items()):
            self.found("drain", "serves-on")

    def sent_away(self) -> None:
        """A provider told a consumer to go elsewhere."""
        self.found("drain", "sends-away")

    def reported(self, figures: bool) -> None:
        """A probe that asked for a report was answered."""
        self.found("reports", "figures" if figures else "none")

    def held(self, names: int) -> dict[str, Held]:
        return {"learned.drains": Held(len(self.drains), names)}
