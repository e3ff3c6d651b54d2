"""Settings of a small fictitious deployment, for the tests and the fleet rig."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

MS = 1_000_000
"""Nanoseconds in a millisecond."""

S = 1_000_000_000
"""Nanoseconds in a second."""


def base_settings() -> dict[str, Any]:
    """The settings object of the proxy file: one class, four proxies, pushed lists."""
    return {
        "myNumber": 0,
        "balancers": 4,
        "zone": 0,
        "discovery": "push",
        "weightSource": "nominal",
        "services": [
            {
                "name": "feed",
                "aimNs": 400 * MS,
                "hardLimitNs": 2 * S,
                "effect": "repeatable",
                "group": "all",
                "windowNs": 3 * S,
                "worth": 2.0,
            }
        ],
        "familyInfo": {"messageAimNs": [60 * MS], "mode": "proxy"},
        "rules": {
            "answerSlackNs": 16 * MS,
            "drainGraceNs": 500 * MS,
            "coldFrom": 0.25,
            "warmUpNs": 10 * S,
            "fallMultiple": 3.0,
            "tipAfterNs": 2 * S,
            "mustAskInNs": 8 * S,
        },
        "allowed": {
            "connectTimeoutNs": 200 * MS,
            "maxAttempts": 4,
            "parallelTries": False,
            "probing": False,
            "peerMessages": False,
            "mayCancel": True,
            "retryAfter": True,
            "maxRetryAfterNs": 1 * S,
        },
        "stepNs": 4 * MS,
    }


def changed_settings(changes: Mapping[str, Any]) -> dict[str, Any]:
    """The base settings with changes: objects are merged key by key, other values are replaced."""
    raw = base_settings()
    for key, value in changes.items():
        is_merged = isinstance(value, dict) and key in raw
        raw[key] = {**raw[key], **value} if is_merged else value
    return raw
