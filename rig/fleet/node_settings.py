"""Settings of the nodes of a scenario."""

from __future__ import annotations

from typing import Any

from rig.base_settings import S, changed_settings
from rig.fleet.scenario import Scenario

DRAIN_GRACE_S = 0.5
"""How long after a drain notice connections may still be sent, in seconds."""

MESSAGE_OBJECTIVE_S = 0.2
"""Latency objective of a message's echo, in seconds."""

POLL_INTERVAL_NS = 2 * S
"""Longest interval between calls to discovery, in nanoseconds."""


def node_settings(scenario: Scenario, node: int) -> dict[str, Any]:
    """The settings object in the proxy file of one node."""
    endpoints = scenario.endpoints
    traffic = scenario.traffic
    service = {
        "name": "feed",
        "aimNs": int(traffic.deadline_s / 4 * S),
        "hardLimitNs": int(traffic.deadline_s * S),
        "effect": "repeatable",
        "group": "all",
    }
    return changed_settings(
        {
            "myNumber": node,
            "balancers": scenario.configured_nodes or scenario.nodes,
            "discovery": scenario.lists,
            "zones": ["a"],
            "tenants": [{"name": "acme", "fraction": 1.0}],
            "services": [service],
            "familyInfo": {
                "groups": True,
                "messageAimNs": [int(MESSAGE_OBJECTIVE_S * S)],
                "tenantQuotaConnections": [endpoints.count * endpoints.cores / traffic.mean_load],
            },
            "rules": {
                "drainGraceNs": int(DRAIN_GRACE_S * S),
                "coldFrom": endpoints.warm_up_from,
                "warmUpNs": int(endpoints.warm_up_s * S),
                "fallMultiple": endpoints.slow_start_multiple,
                "tipAfterNs": int(endpoints.slow_start_window_s * S),
                "mustAskInNs": POLL_INTERVAL_NS,
            },
        }
    )
