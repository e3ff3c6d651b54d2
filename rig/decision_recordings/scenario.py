"""Description of a recorded scenario, and the settings of its instances."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from rig.decision_recordings.model import MILLISECOND, SECOND

STEP_NS = 5 * MILLISECOND
"""Simulated time between two batches."""

CONNECT_TIMEOUT_NS = 120 * MILLISECOND
"""Time until an attempt fails to connect."""

MAX_RETRY_AFTER_NS = 1_500 * MILLISECOND
"""Longest retry delay that a rejection may ask for."""

RULES = {
    "answerSlackNs": 20 * MILLISECOND,
    "coldFrom": 0.2,
    "drainGraceNs": SECOND,
    "fallMultiple": 3.0,
    "mustAskInNs": 10 * SECOND,
    "tipAfterNs": 3 * SECOND,
    "warmUpNs": 8 * SECOND,
}
"""The settings' `rules`, the same in every scenario."""


def service(name: str, effect: str = "repeatable", group: str = "all", **more: Any) -> dict[str, Any]:
    """One entry of the settings' `services`."""
    return {
        "name": name,
        "effect": effect,
        "group": group,
        "aimNs": 500 * MILLISECOND,
        "hardLimitNs": 3 * SECOND,
        "lateWorth": 0.0,
        "streamed": True,
        "windowNs": 2 * SECOND,
        "worth": 1.0,
        **more,
    }


class TimelineEvent(NamedTuple):
    """A timed event of the scenario; `action` is a key of `Fleet.timeline_actions`."""

    at_s: float
    action: str
    arguments: tuple[Any, ...]


@dataclass(frozen=True)
class Scenario:
    """Sizes, traffic, settings and timeline of one recording."""

    name: str
    seed: int
    timeline: tuple[TimelineEvent, ...] = ()
    duration_s: float = 30.0
    instances: int = 4
    balancers: int = 4
    endpoints: int = 12
    zones: int = 2
    cell_size: int = 3
    warming_up_endpoints: int = 0  # endpoints that have just started
    capacity: float = 16.0  # connections that fill an endpoint of weight 1
    arrivals_per_s: float = 25.0
    lifetime_s: float = 8.0
    groups: int = 40  # 0: requests have no group
    adopted_connections: int = 0  # connections that each instance already has at its start
    withdrawn_share: float = 0.03
    peer_loss: float = 0.05
    invalid_events_per_s: float = 0.0  # unknown ids or invalid values
    failed_watch_share: float = 0.0
    services: tuple[dict[str, Any], ...] = (service("stream"),)
    settings: dict[str, Any] = field(default_factory=dict)
    allowed: dict[str, Any] = field(default_factory=dict)
    family: dict[str, Any] = field(default_factory=dict)
    columns: tuple[str, ...] = ("outstanding", "x0")

    def allowed_settings(self) -> dict[str, Any]:
        """The settings' `allowed`: what the instances may do."""
        return {
            "connectTimeoutNs": CONNECT_TIMEOUT_NS,
            "maxAttempts": 4,
            "maxRetryAfterNs": MAX_RETRY_AFTER_NS,
            "mayCancel": True,
            "parallelTries": False,
            "peerMessages": True,
            "probing": True,
            "retryAfter": True,
            **self.allowed,
        }

    def family_settings(self) -> dict[str, Any]:
        """The settings' `familyInfo`: the kind of traffic, and what endpoints report."""
        return {
            "groups": bool(self.groups),
            "messageAimNs": [100 * MILLISECOND] * len(self.services),
            "mode": "proxy",
            "tellsDelay": True,
            "tellsLoad": True,
            "tenantQuotaConnections": [],
            **self.family,
        }

    def settings_of(self, number: int) -> dict[str, Any]:
        """The settings of one instance, in the simulator's format."""
        settings: dict[str, Any] = {
            "allowed": self.allowed_settings(),
            "balancers": self.balancers,
            "discovery": "push",
            "family": "conn",
            "familyInfo": self.family_settings(),
            "fees": {"crossZone": 0.05},
            "myNumber": number,
            "overShareWorth": 0.2,
            "report": {"columns": list(self.columns), "how": "piggyback" if self.columns else "silent"},
            "rules": dict(RULES),
            "services": list(self.services),
            "stepNs": STEP_NS,
            "tenants": [],
            "weightSource": "nominal",
            "zone": number % self.zones,
            "zones": [f"zone-{zone}" for zone in range(self.zones)],
        }
        return settings | self.settings
