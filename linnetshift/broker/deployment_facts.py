"""What the program found out of its deployment by itself, which no setting tells.

Facts for staff and their log: decisions rest on the settings and on what single endpoints show.
"""

from __future__ import annotations

from collections.abc import Collection

from linnetshift.observability.resource_usage import ResourceUsage
from linnetshift.routing.events import EndpointEntry, EndpointState

# An endpoint that sends its clients away does so as it begins to drain, seconds before the list tells of it.
SETTLED_NS = 1_000_000_000


class DeploymentFacts:
    def __init__(self) -> None:
        self.known: dict[str, str] = {}
        self.news: list[tuple[str, str]] = []  # not told yet
        self.drains: dict[bytes, int] = {}  # when the list first told that an endpoint drains

    def found(self, what: str, value: str) -> None:
        """A fact about the deployment; told once, and again when it changes."""
        if self.known.get(what) != value:
            self.known[what] = value
            self.news.append((what, value))

    def fresh(self) -> list[tuple[str, str]]:
        """What was learned since the last call."""
        news, self.news = self.news, []
        return news

    def listed(self, entries: Collection[EndpointEntry], whole: bool, now: int) -> None:
        """A list, or its changes; one that operators took out (it has a time to leave) says nothing."""
        told = {entry.endpoint for entry in entries}
        draining = {
            e.endpoint for e in entries if e.state == EndpointState.DRAINING and not e.drain_within_ns
        }
        self.drains = {
            endpoint: at
            for endpoint, at in self.drains.items()
            if endpoint in draining or (endpoint not in told and not whole)
        }
        self.drains.update(dict.fromkeys(draining - self.drains.keys(), now))

    def review(self, standing: Collection[bytes], now: int) -> None:
        """`standing`: the endpoints at which clients stand."""
        if any(now - at > SETTLED_NS and endpoint in standing for endpoint, at in self.drains.items()):
            self.found("drain", "serves-on")

    def sent_away(self) -> None:
        """An endpoint told a client to go elsewhere."""
        self.found("drain", "sends-away")

    def reported(self, figures: bool) -> None:
        """A health check that asked for a report was answered."""
        self.found("reports", "figures" if figures else "none")

    def resource_usage(self, names: int) -> dict[str, ResourceUsage]:
        return {"learned.drains": ResourceUsage(len(self.drains), names)}
