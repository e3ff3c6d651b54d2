"""The recorded scenarios; each covers one part of the decisions."""

from __future__ import annotations

import math
from typing import Any

from rig.decision_recordings.model import MILLISECOND, SECOND, Impairment, Outcome
from rig.decision_recordings.scenario import Scenario, TimelineEvent, service


def at(second: float, action: str, *arguments: Any) -> TimelineEvent:
    """One entry of a timeline."""
    return TimelineEvent(second, action, arguments)


def every(first: float, last: float, step: float, action: str, *arguments: Any) -> tuple[TimelineEvent, ...]:
    """Entries with this action every `step` seconds, from `first` to `last` at most."""
    times = int((last - first) / step) + 1
    return tuple(at(round(first + step * number, 3), action, *arguments) for number in range(times))


EFFECTS = (
    service("open"),
    service("keyed-all", "by_key"),
    service("keyed-zone", "by_key", "zone", windowNs=3 * SECOND),
    service("keyed-zone-shortly", "by_key", "zone", windowNs=400 * MILLISECOND),
    service("keyed-cell", "by_key", "cell", windowNs=650 * MILLISECOND),
    service("once", "once", aimNs=800 * MILLISECOND, hardLimitNs=4 * SECOND),
)

SCENARIOS = (
    Scenario(
        "peer-messages",
        seed=101,
        invalid_events_per_s=4.0,
        timeline=(
            at(4, "set_fault", Outcome.CONNECT_FAILED, 1, 6),
            at(9, "set_fault", None, 1, 6),
            at(12, "set_fault", Impairment.SLOW, 2, 3),
            at(16, "set_fault", None, 2, 3),
            at(16.5, "send_false_reports", 5),
            at(17, "send_false_reports", 7),
            at(18, "set_fault", Outcome.CONNECT_FAILED, 0, 2, 4, 6, 8, 10),  # all of zone 0
            at(22, "set_fault", None, 0, 2, 4, 6, 8, 10),
            at(24, "set_arrivals", 0.2),
            at(25.5, "set_fault", Impairment.SLOW, *range(12)),
        ),
    ),
    Scenario(
        "many-instances",  # few requests for each
        seed=102,
        instances=5,
        balancers=20,
        endpoints=8,
        arrivals_per_s=14.0,
        lifetime_s=5.0,
        capacity=7.0,
        groups=12,
        timeline=(
            *every(3, 28, 0.9, "reset_connections", 4),
            *every(3.4, 28, 1.3, "reset_connections", 7),
            *every(9, 12, 0.4, "toggle_drain", 0, 6),
            at(5, "set_fault", Outcome.CONNECT_FAILED, 1),
            at(8, "reset_connections", 2, 3),
            at(11, "set_fault", None, 1),
            at(13, "reset_connections", 0, 4, 5),
            at(14, "restart", 6),
            at(16, "burst", 30),
            at(20, "reset_connections", 1, 2),
            at(22, "set_fault", Impairment.SLOW, *range(8)),
            at(26, "set_fault", None, *range(8)),
        ),
    ),
    Scenario(
        "adopted-connections",
        seed=103,
        duration_s=33.0,
        instances=4,
        adopted_connections=8,
        withdrawn_share=0.15,
        invalid_events_per_s=3.0,
        family={"mode": "pass"},
        timeline=(
            *(at(0.05, "unlist", number) for number in (9, 10, 11)),
            *(at(0.9, "undrain", number) for number in (9, 10, 11)),
            at(2, "unlist", 7),
            at(3, "unlist", 8),
            at(3.2, "undrain", 7),
            at(5, "undrain", 8),
            at(5, "drain", 0, 4.0),
            at(6, "stop", 1, 0.0),
            at(6.5, "drain", 3, 3.0),
            at(6.8, "stop", 2, 2.0),
            at(10, "remove", 5),
            at(12, "stop", 0, 0.0),
            at(13, "undrain", 0),
            at(16, "stop", 3, 3.0),
            at(17, "reset_connections", 1, 2),
            at(20, "stop", 1, 0.0),
            at(22, "set_fault", Impairment.BUSY, *(number for number in range(12) if number not in (3, 5))),
            at(23.5, "drain", 4, 7.0),
            at(23.5, "drain", 6, 7.0),
        ),
    ),
    Scenario(
        "discovery-failures",
        seed=104,
        instances=3,
        balancers=3,
        arrivals_per_s=15.0,
        failed_watch_share=0.3,
        settings={"discovery": "ask", "weightSource": "live"},
        timeline=(
            at(3, "drain", 2, 5.0),
            at(6, "set_discovery", False),
            at(7, "restart", 2),
            at(8, "remove", 4),
            at(9, "add"),
            at(12, "set_discovery", True),
            at(14, "set_weight", 1, 0.4),
            at(15, "set_weight", 3, math.nan),
            at(15.5, "set_weight", 5, 0.0),
            at(16, "drain", 6, 4.0),
            at(17, "stop", 1, 1.0),
            at(18, "undrain", 6),
            at(19, "set_discovery", False),
            at(20, "set_discovery", True),
            at(21, "publish"),
            at(22, "restart", 4),
            at(23, "send_cached", 0, 7),
            at(25, "publish"),
            *every(26, 29, 0.25, "toggle_drain", 8, 9, 10),
        ),
    ),
    Scenario(
        "probe-answers",
        seed=105,
        capacity=9.0,
        arrivals_per_s=30.0,
        lifetime_s=6.0,
        invalid_events_per_s=2.0,
        columns=("x1", "outstanding", "x0"),
        timeline=(
            at(3, "set_fault", Outcome.FULL, 0, 1),
            at(5, "set_fault", Outcome.TIMEOUT, 2, 3),
            at(7, "set_fault", None, 0, 1),
            at(8, "set_fault", Outcome.ERROR, 4),
            at(9, "set_fault", Outcome.RESET, 5),
            at(11, "set_fault", Outcome.NOT_SENT, 6),
            at(12, "set_fault", None, 2, 3, 4, 5, 6),
            at(14, "set_fault", Impairment.SLOW, 7, 8, 9),
            at(17, "restart", 1),
            at(18, "set_fault", None, 7, 8, 9),
            at(20, "burst", 120),
            at(24, "remove", 3),
        ),
    ),
    Scenario(
        "effects",
        seed=106,
        endpoints=14,
        services=EFFECTS,
        withdrawn_share=0.05,
        timeline=(
            at(3, "set_fault", Outcome.ERROR, 0, 1),
            at(5, "set_fault", Outcome.RESET, 2, 3),
            at(7, "set_fault", Outcome.TIMEOUT, 4, 5),
            at(9, "set_fault", None, 0, 1),
            at(10, "set_fault", Outcome.ERROR, 6, 7, 8, 9, 10),
            at(13, "set_fault", None, 2, 3, 4, 5, 6, 7, 8, 9, 10),
            at(15, "set_fault", Outcome.RESET, 0, 2, 4, 6, 8, 10, 12),
            at(17, "set_fault", Outcome.TIMEOUT, 1, 3, 5, 7, 9),
            at(20, "set_fault", None, *range(14)),
            at(21, "set_fault", Outcome.ERROR, *range(14)),
            at(23, "set_fault", None, *range(14)),
            at(23.5, "set_fault", Outcome.ERROR, 2, 3, 4),
            *(at(25.5, "toggle_drain", number) for number in (2, 3, 4)),
            *(at(26.5, "restart", number) for number in (2, 3, 4)),
            at(26.6, "set_fault", Outcome.ERROR, 2, 3, 4),
        ),
    ),
    Scenario(
        "outcomes",
        seed=107,
        columns=(),
        groups=0,
        withdrawn_share=0.1,
        invalid_events_per_s=3.0,
        services=(EFFECTS[0], EFFECTS[1], EFFECTS[-1]),
        allowed={"probing": False, "peerMessages": False, "retryAfter": False},
        timeline=(
            *every(2, 8, 0.31, "end_attempts", Outcome.CANCELLED, 0.6),
            *every(8, 14, 0.31, "end_attempts", Outcome.NOT_SENT, 0.6),
            *every(14, 18, 0.31, "end_attempts", Outcome.FULL, 0.6),
            at(9, "set_fault", Outcome.FULL, 0, 1, 2),
            at(19, "set_fault", Outcome.CANCELLED, 3, 4),
            at(20, "set_fault", Outcome.FULL, *range(12)),
            at(23, "set_fault", None, *range(12)),
            at(24, "burst", 80),
        ),
    ),
    Scenario(
        "overload",
        seed=108,
        endpoints=6,
        warming_up_endpoints=2,
        capacity=6.0,
        arrivals_per_s=22.0,
        columns=("utilization",),
        services=(service("fast"), service("slow", aimNs=900 * MILLISECOND)),
        family={"messageAimNs": [60 * MILLISECOND, 400 * MILLISECOND], "mode": "pass"},
        timeline=(
            at(6, "set_fault", Impairment.SLOW, 0, 1, 2, 3),
            at(10, "drain", 3, 7.0),
            at(11, "set_fault", Impairment.SLOW, *range(6)),
            at(12.5, "stop", 1, 1.0),
            at(13, "restart", 0),
            at(14, "stop", 2, 0.0),
            at(16, "set_fault", None, *range(6)),
            at(18, "add"),
            at(19, "drain", 1, 4.0),
            at(22, "restart", 1),
            at(25, "burst", 60),
        ),
    ),
)
