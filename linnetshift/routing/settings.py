"""Settings of a routing instance: request classes, tenants, rules and what is allowed."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Any

type_name = {int: "a whole number", float: "a number", bool: "true or false", str: "a text", list: "a list"}


class Effect(IntEnum):
    """What a second run of a request of a class would do."""

    IDEMPOTENT = 0
    IDEMPOTENT_BY_KEY = 1
    NOT_IDEMPOTENT = 2


class Scope(IntEnum):
    """Which endpoints discard a keyed request's repeats together."""

    ALL = 0
    ZONE = 1
    CELL = 2


# ---- settings ----------------------------------------------------------------------------------


class SettingsError(ValueError):
    """A required setting is missing or has the wrong type; the text names its key."""


CROSS_ZONE_COST_SCALE = 0.056
"""The price of crossing data centres at which an endpoint of another one has 1/e of its weight.

Measured once, where a crossing costs 0.13 of a request: a tenth of the weight served best there.
"""


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    latency_objective_ns: int
    deadline_ns: int
    message_latency_objective_ns: int
    effect: Effect
    scope: Scope
    idempotency_window_ns: int
    priority_weight: float
    max_attempts: int

    def may_retry(self, first_ns: int, at_ns: int) -> bool:
        """Whether one more run then has no further effect; `first_ns`: when what may have run was sent."""
        if self.effect == Effect.IDEMPOTENT_BY_KEY:
            return at_ns < first_ns + self.idempotency_window_ns
        return self.effect == Effect.IDEMPOTENT

    def client_may_retry(self, first_ns: int, at_ns: int) -> bool:
        """Whether it is harmless to come again until then, wherever the client comes."""
        everywhere = self.effect == Effect.IDEMPOTENT or self.scope == Scope.ALL
        return everywhere and self.may_retry(first_ns, at_ns)


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    fraction: float
    quota_connections: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a node is told at its start, and again when the settings change.

    A class's number is its place in `classes` and stands for its rules for good: those that are no longer
    offered keep theirs, for the requests that began with them.
    """

    node: int
    balancers: int
    zone: int
    classes: tuple[RequestClass, ...]
    offered_numbers: tuple[int, ...]  # of the classes that are offered
    tenants: tuple[Tenant, ...]
    must_poll: bool
    must_poll_within_ns: int
    answer_slack_ns: int
    drain_grace_ns: int
    initial_capacity_share: float
    warm_up_ns: int
    overload_multiple: float
    overload_window_ns: int
    connect_timeout_ns: int
    parallel_attempts: bool
    may_health_check: bool
    may_message_peers: bool
    may_cancel: bool
    max_retry_after_ns: int
    weights_are_sizes: bool  # in standard cores; live ones fall with what an endpoint holds
    pass_through: bool
    over_share_weight: float
    report_columns: tuple[str, ...]
    reports_message_time: bool
    step_ns: int
    cross_zone_cost: float  # what crossing data centres costs; 0 where it costs nothing

    @classmethod
    def parse(cls, raw: Mapping[str, Any]) -> Settings:
        """Read the settings object; unknown keys are skipped."""
        rules, allowed = _get(raw, "rules", dict), _get(raw, "allowed", dict)
        family = raw.get("familyInfo") or {}
        aims = family.get("messageAimNs") or []
        shortest = int(min((_optional(aim, 0) for aim in aims), default=0))
        quotas = family.get("tenantQuotaConnections") or []
        max_attempts = _positive(allowed, "maxAttempts", "allowed.")
        classes = tuple(
            RequestClass(
                name=str(c.get("name", i)),
                latency_objective_ns=_positive(c, "aimNs", f"services[{i}]."),
                deadline_ns=_positive(c, "hardLimitNs", f"services[{i}]."),
                # One added without an aim of its own shares the shortest; where none is told, that of the
                # set-up serves: at 0 every endpoint is slow.
                message_latency_objective_ns=(int(_optional(aims[i], 0)) if i < len(aims) else shortest)
                or int(c["aimNs"]),
                effect=_word(
                    c,
                    "effect",
                    {
                        "repeatable": Effect.IDEMPOTENT,
                        "by_key": Effect.IDEMPOTENT_BY_KEY,
                        "once": Effect.NOT_IDEMPOTENT,
                    },
                    f"services[{i}].",
                ),
                scope=Scope[str(c.get("group", "all")).upper()]
                if str(c.get("group", "all")).upper() in Scope.__members__
                else _bad(f"services[{i}].group"),
                idempotency_window_ns=int(_optional(c.get("windowNs"), 0)),
                priority_weight=_optional(c.get("worth"), 1.0),
                max_attempts=max_attempts,
            )
            for i, c in enumerate(_get(raw, "services", list))
        )
        if len({c.name for c in classes}) < len(classes):
            raise SettingsError("settings key 'services' names a class twice")
        if not classes:
            raise SettingsError("settings key 'services' must name at least one class")
        tenants = tuple(
            Tenant(
                name=str(t.get("name", i)),
                fraction=_optional(t.get("fraction"), 0.0),
                quota_connections=_optional(quotas[i], 0.0) if i < len(quotas) else 0.0,
            )
            for i, t in enumerate(raw.get("tenants") or [])
        )
        report = raw.get("report") or {}
        return cls(
            node=_get(raw, "myNumber", int),
            balancers=max(1, _get(raw, "balancers", int)),
            zone=_get(raw, "zone", int),
            classes=classes,
            offered_numbers=tuple(range(len(classes))),
            tenants=tenants,
            must_poll=_word(raw, "discovery", {"push": False, "ask": True}),
            must_poll_within_ns=int(_optional(rules.get("mustAskInNs"), 10_000_000_000)),
            answer_slack_ns=_get(rules, "answerSlackNs", int, "rules."),
            drain_grace_ns=_get(rules, "drainGraceNs", int, "rules."),
            initial_capacity_share=_get(rules, "coldFrom", float, "rules."),
            warm_up_ns=_get(rules, "warmUpNs", int, "rules."),
            overload_multiple=_get(rules, "fallMultiple", float, "rules."),
            overload_window_ns=_get(rules, "tipAfterNs", int, "rules."),
            connect_timeout_ns=_positive(allowed, "connectTimeoutNs", "allowed."),
            parallel_attempts=_get(allowed, "parallelTries", bool, "allowed."),
            may_health_check=_get(allowed, "probing", bool, "allowed."),
            may_message_peers=_get(allowed, "peerMessages", bool, "allowed."),
            may_cancel=_get(allowed, "mayCancel", bool, "allowed."),
            max_retry_after_ns=int(_optional(allowed.get("maxRetryAfterNs"), 0))
            if allowed.get("retryAfter")
            else 0,
            weights_are_sizes=raw.get("weightSource") not in ("silent", "live"),
            pass_through=family.get("mode") == "pass",
            over_share_weight=_optional(raw.get("overShareWorth"), 1.0),
            report_columns=tuple(str(c) for c in report.get("columns") or []),
            reports_message_time=bool(family.get("tellsDelay", False)),
            step_ns=int(_optional(raw.get("stepNs"), 0)),
            cross_zone_cost=_optional((raw.get("fees") or {}).get("crossZone"), 0.0),
        )

    @property
    def cross_zone_weight(self) -> float:
        """Share of its weight that an endpoint of another data centre has; 1.0 where crossing is free."""
        return math.exp(-self.cross_zone_cost / CROSS_ZONE_COST_SCALE)

    @property
    def offered(self) -> list[RequestClass]:
        return [self.classes[number] for number in self.offered_numbers]

    def numbered_after(self, former: Settings, in_use: Collection[int] | None = None) -> Settings:
        """With the numbers that classes had before; one whose rules are new gets a number of its own.

        A number that is neither offered any more nor `in_use` (None: all are) is given anew, or each reload
        with other rules would leave a class behind for good.
        """
        classes = list(former.classes)
        kept = {classes.index(klass) for klass in self.classes if klass in classes}
        used = range(len(classes)) if in_use is None else in_use
        free = [n for n in range(len(classes)) if n not in kept and n not in used]
        for klass in self.classes:
            if klass in (classes[n] for n in kept):
                continue
            if free:
                number = free.pop(0)
                classes[number] = klass
            else:
                number = len(classes)
                classes.append(klass)
            kept.add(number)
        numbers = tuple(classes.index(klass) for klass in self.classes)
        return replace(self, classes=tuple(classes), offered_numbers=numbers)


def _bad(key: str) -> Any:
    raise SettingsError(f"settings key '{key}' has a value this version does not know")


def _get(raw: Mapping[str, Any], key: str, kind: type, path: str = "") -> Any:
    if key not in raw:
        raise SettingsError(f"settings key '{path}{key}' is missing")
    value = raw[key]
    if kind is float and type(value) is int:
        value = float(value)
    if type(value) is not kind:
        raise SettingsError(f"settings key '{path}{key}' must be {type_name.get(kind, 'an object')}")
    return value


def _positive(raw: Mapping[str, Any], key: str, path: str) -> int:
    value: int = _get(raw, key, int, path)
    if value <= 0:
        raise SettingsError(f"settings key '{path}{key}' must be above 0")
    return value


def _optional(value: Any, default: float) -> float:
    """A number that some sites leave out, or send as null."""
    return float(value) if isinstance(value, int | float) else default


def _word(raw: Mapping[str, Any], key: str, words: Mapping[str, Any], path: str = "") -> Any:
    value = _get(raw, key, str, path)
    return words[value] if value in words else _bad(path + key)
