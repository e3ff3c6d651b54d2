"""Facts about the deployment that are not in the settings, as observed from its endpoints.

They are logged for operators. No decision depends on them: decisions use the settings and the observations of
each endpoint.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import StrEnum

from linnetshift.observability.resource_usage import ResourceUsage
from linnetshift.routing.events import EndpointEntry, EndpointState

# Connections that remain this long after the list reports a drain show that the endpoint keeps serving: an
# endpoint that migrates its clients does so as it begins to drain, seconds before the list reports it.
DRAIN_SETTLING_NS = 1_000_000_000


class FactKind(StrEnum):
    """The subject of a fact; the values appear in the log."""

    DRAIN = "drain"
    REPORTS = "reports"
    MESSAGE_TIMES = "message-times"


class DrainBehaviour(StrEnum):
    """How endpoints treat their clients while they drain."""

    MIGRATES_CLIENTS = "sends-away"
    KEEPS_SERVING = "serves-on"


class HealthReports(StrEnum):
    """Whether answers to health checks contain a load report."""

    FIGURES = "figures"
    NONE = "none"


class MessageTimes(StrEnum):
    """Whether endpoints report message times."""

    REPORTED = "told"


class DeploymentFacts:
    """Holds the observed facts, and those not yet logged."""

    def __init__(self) -> None:
        """Start without facts."""
        self.known: dict[FactKind, str] = {}
        self.unreported: list[tuple[FactKind, str]] = []
        self.draining_since_ns: dict[bytes, int] = {}  # when the list first reported the drain

    def observe(self, fact: FactKind, value: str) -> None:
        """Record a fact; it is reported once, and again whenever its value changes."""
        if self.known.get(fact) != value:
            self.known[fact] = value
            self.unreported.append((fact, value))

    def take_unreported(self) -> list[tuple[FactKind, str]]:
        """Facts observed or changed since the last call, oldest first."""
        unreported = self.unreported
        self.unreported = []
        return unreported

    def handle_endpoint_list(
        self, entries: Collection[EndpointEntry], is_full_list: bool, now_ns: int
    ) -> None:
        """Record which endpoints drain; `is_full_list` means that endpoints without an entry are not listed.

        Ignores administrative drains (entries with `drain_within_ns`), which do not show how endpoints drain.
        """
        listed_now = {entry.endpoint for entry in entries}
        draining = {
            entry.endpoint
            for entry in entries
            if entry.state == EndpointState.DRAINING and not entry.drain_within_ns
        }
        self.draining_since_ns = {
            endpoint: since_ns
            for endpoint, since_ns in self.draining_since_ns.items()
            if endpoint in draining or (endpoint not in listed_now and not is_full_list)
        }
        self.draining_since_ns.update(dict.fromkeys(draining - self.draining_since_ns.keys(), now_ns))

    def review(self, connected: Collection[bytes], now_ns: int) -> None:
        """Record that endpoints keep serving while they drain, if one of them still has connections.

        `connected` holds the endpoints with established connections.
        """
        for endpoint, since_ns in self.draining_since_ns.items():
            if now_ns - since_ns > DRAIN_SETTLING_NS and endpoint in connected:
                self.observe(FactKind.DRAIN, DrainBehaviour.KEEPS_SERVING)
                return

    def record_migration_request(self) -> None:
        """Record that an endpoint asked a client to migrate."""
        self.observe(FactKind.DRAIN, DrainBehaviour.MIGRATES_CLIENTS)

    def record_health_report(self, has_figures: bool) -> None:
        """Record whether the answer to a health check that asked for a load report contains one."""
        self.observe(FactKind.REPORTS, HealthReports.FIGURES if has_figures else HealthReports.NONE)

    def resource_usage(self, max_names: int) -> dict[str, ResourceUsage]:
        """Sizes and bounds, under their names in `GET /ops/census`; `max_names` bounds known endpoints."""
        return {"learned.drains": ResourceUsage(len(self.draining_since_ns), max_names)}
