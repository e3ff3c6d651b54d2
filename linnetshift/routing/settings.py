"""Settings of a routing instance: request classes, tenants, rules and limits of the deployment.

They are sent as one JSON object when an instance starts, and again when they change. Keys, units and meanings
are those of "Read your settings" in the simulator's wire protocol; times are whole nanoseconds.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Any, NamedTuple

from linnetshift.routing.settings_reader import SettingsError, SettingsReader

CROSS_ZONE_COST_SCALE = 0.056
"""Cross-zone cost, in requests, at which an endpoint in another zone has 1/e of its weight.

At a cost of 0.13 requests, a tenth of the weight served best; this scale gives that.
"""

DEFAULT_MUST_POLL_WITHIN_NS = 10_000_000_000
"""Default of `mustAskInNs`: the value of most deployments."""

WEIGHT_SOURCES_WITHOUT_SIZE = ("silent", "live")
"""Values of `weightSource` with which a listed weight is not the endpoint's size in standard cores."""


class Effect(IntEnum):
    """What a second execution of a request would do."""

    IDEMPOTENT = 0
    """No further effect, whenever and wherever it runs."""
    IDEMPOTENT_BY_KEY = 1
    """No further effect within the idempotency window, on endpoints of the same `Scope`."""
    NOT_IDEMPOTENT = 2
    """A second effect: a request may be sent again only after proof that it was not executed."""


EFFECTS: Mapping[str, Effect] = {
    "repeatable": Effect.IDEMPOTENT,
    "by_key": Effect.IDEMPOTENT_BY_KEY,
    "once": Effect.NOT_IDEMPOTENT,
}
"""Effects by their value of `services[].effect`."""


class Scope(IntEnum):
    """Endpoints that share idempotency keys, so that any of them discards repeats.

    The names, in lower case, are the values of `services[].group`.
    """

    ALL = 0
    ZONE = 1
    CELL = 2


DISCOVERY_MUST_POLL: Mapping[str, bool] = {"push": False, "ask": True}
"""Whether an instance must poll for the list, by the value of `discovery`."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The rules of one class of requests (`services[]`).

    Attributes:
        name: Its name in configuration files and log lines.
        latency_objective_ns: An answer within this time earns the full priority weight.
        deadline_ns: How long a client waits in total, over all attempts.
        message_latency_objective_ns: How long a message may take on an established connection.
        effect: What a second execution would do.
        scope: Endpoints that discard repeats; used with `Effect.IDEMPOTENT_BY_KEY` only.
        idempotency_window_ns: How long they do so, from the send of the first possibly executed attempt.
        priority_weight: Value of a request relative to other classes.
        max_attempts: Maximum number of attempts per request.
    """

    name: str
    latency_objective_ns: int
    deadline_ns: int
    message_latency_objective_ns: int
    effect: Effect
    scope: Scope
    idempotency_window_ns: int
    priority_weight: float
    max_attempts: int

    def may_retry(self, first_sent_ns: int, at_ns: int) -> bool:
        """Whether another execution at `at_ns` has no further effect.

        `first_sent_ns` is when the first possibly executed attempt was sent, on the same clock. The caller
        checks whether the endpoint lies in the `scope`.
        """
        if self.effect == Effect.IDEMPOTENT_BY_KEY:
            return at_ns < first_sent_ns + self.idempotency_window_ns
        return self.effect == Effect.IDEMPOTENT

    def client_may_retry(self, first_sent_ns: int, at_ns: int) -> bool:
        """Whether a client may retry until `at_ns` without further effect, whichever proxy it reaches."""
        is_safe_on_every_endpoint = self.effect == Effect.IDEMPOTENT or self.scope == Scope.ALL
        return is_safe_on_every_endpoint and self.may_retry(first_sent_ns, at_ns)


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant (`tenants[]`).

    Attributes:
        name: Its name in configuration files and log lines.
        fraction: Its share of the service, 0 to 1.
        quota_connections: Maximum number of open connections over all proxies; 0.0 for no quota.
    """

    name: str
    fraction: float
    quota_connections: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one instance.

    A class's number is its index in `classes` and stands for the same rules as long as requests use it:
    classes that are no longer offered keep theirs, for the requests that began with them.

    Attributes:
        node: Number of this instance, from 0.
        balancers: Number of instances, at least 1.
        zone: Zone of this instance.
        classes: All classes that a request in progress may have.
        offered_numbers: Numbers of the classes that new requests may have, in the order of the settings.
        tenants: Tenants by number; may be empty.
        must_poll: Whether list changes are sent only to instances that poll for them.
        must_poll_within_ns: After this long without a poll, what is listed by then counts as known.
        answer_slack_ns: How long after the client's deadline a final answer is still in time.
        drain_grace_ns: How long an endpoint may get attempts after notice that it drains or is gone.
        initial_capacity_share: Share of its capacity that an endpoint has at its start, 0 to 1.
        warm_up_ns: Age at which an endpoint has its full capacity.
        overload_multiple: A warming endpoint fails when sent more than this multiple of its capacity.
        overload_window_ns: The time over which that is counted; 0 where there is no such rule.
        connect_timeout_ns: Time after which a connection attempt has failed.
        parallel_attempts: Whether a request may have two attempts in flight.
        may_health_check: Whether `HealthCheck` may be used.
        may_message_peers: Whether `SendPeerMessage` may be used.
        may_cancel: Whether `Cancel` may be used.
        max_retry_after_ns: Longest retry-after that clients obey; 0 where they get none.
        weights_are_sizes: Whether weights are sizes in standard cores; others may fall under load.
        over_share_weight: Value of a request beyond its tenant's share, as a fraction of its priority weight.
        report_columns: Names of the values of a load report, in order.
        reports_message_time: Whether message times are reported in `ConnectionNote` events.
        step_ns: Shortest time between two batches of events.
        cross_zone_cost: Cost of a cross-zone attempt, in requests; 0.0 where it is free.
    """

    node: int
    balancers: int
    zone: int
    classes: tuple[RequestClass, ...]
    offered_numbers: tuple[int, ...]
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
    weights_are_sizes: bool
    over_share_weight: float
    report_columns: tuple[str, ...]
    reports_message_time: bool
    step_ns: int
    cross_zone_cost: float

    @classmethod
    def parse(cls, raw: Mapping[str, Any]) -> Settings:
        """Parse the settings object, ignoring unknown keys; `SettingsError` names the path of a bad value."""
        reader = SettingsReader(raw)
        rules = reader.required_object("rules")
        allowed = reader.required_object("allowed")
        family = reader.optional_object("familyInfo")
        classes = _read_classes(reader, allowed, family)
        tenants = _read_tenants(reader, family)
        report = reader.optional_object("report")
        return cls(
            node=reader.required_int("myNumber"),
            balancers=max(1, reader.required_int("balancers")),
            zone=reader.required_int("zone"),
            classes=classes,
            offered_numbers=tuple(range(len(classes))),
            tenants=tenants,
            must_poll=reader.required_choice("discovery", DISCOVERY_MUST_POLL),
            must_poll_within_ns=int(rules.optional_number("mustAskInNs", DEFAULT_MUST_POLL_WITHIN_NS)),
            answer_slack_ns=rules.required_int("answerSlackNs"),
            drain_grace_ns=rules.required_int("drainGraceNs"),
            initial_capacity_share=rules.required_float("coldFrom"),
            warm_up_ns=rules.required_int("warmUpNs"),
            overload_multiple=rules.required_float("fallMultiple"),
            overload_window_ns=rules.required_int("tipAfterNs"),
            connect_timeout_ns=allowed.positive_int("connectTimeoutNs"),
            parallel_attempts=allowed.required_bool("parallelTries"),
            may_health_check=allowed.required_bool("probing"),
            may_message_peers=allowed.required_bool("peerMessages"),
            may_cancel=allowed.required_bool("mayCancel"),
            max_retry_after_ns=_read_max_retry_after_ns(allowed),
            weights_are_sizes=raw.get("weightSource") not in WEIGHT_SOURCES_WITHOUT_SIZE,
            over_share_weight=reader.optional_number("overShareWorth", 1.0),
            report_columns=tuple(str(name) for name in report.optional_list("columns")),
            reports_message_time=bool(family.values.get("tellsDelay", False)),
            step_ns=int(reader.optional_number("stepNs", 0)),
            cross_zone_cost=reader.optional_object("fees").optional_number("crossZone", 0.0),
        )

    @property
    def cross_zone_weight(self) -> float:
        """Factor of the weight of an endpoint in another zone; 1.0 where crossing zones is free."""
        return math.exp(-self.cross_zone_cost / CROSS_ZONE_COST_SCALE)

    @property
    def offered(self) -> list[RequestClass]:
        """The classes that new requests may have, in the order of the settings."""
        return [self.classes[number] for number in self.offered_numbers]

    def numbered_after(self, former: Settings, in_use: Collection[int] | None = None) -> Settings:
        """Return these settings with classes numbered as in `former`, the settings that they replace.

        A class with new rules gets a number of its own. Numbers that are neither offered any more nor
        `in_use` (None: all are) are reused; otherwise `classes` would grow with each reload that changes
        rules.
        """
        classes = list(former.classes)
        offered_numbers = {classes.index(offered) for offered in self.classes if offered in classes}
        used_numbers = range(len(classes)) if in_use is None else in_use
        free_numbers = [n for n in range(len(classes)) if n not in offered_numbers and n not in used_numbers]
        for offered in self.classes:
            if offered in (classes[number] for number in offered_numbers):
                continue
            if free_numbers:
                number = free_numbers.pop(0)
                classes[number] = offered
            else:
                number = len(classes)
                classes.append(offered)
            offered_numbers.add(number)
        numbers = tuple(classes.index(offered) for offered in self.classes)
        return replace(self, classes=tuple(classes), offered_numbers=numbers)


class _MessageObjectives(NamedTuple):
    """Message latency objectives of the classes, as given in the settings."""

    values: list[float | None]  # in nanoseconds, by class; some deployments send fewer, or nulls
    shortest_ns: int

    def of_class(self, index: int) -> int:
        """Return a class's objective in nanoseconds, 0 for none; classes beyond the list get the shortest."""
        if index < len(self.values):
            return int(self.values[index] or 0)
        return self.shortest_ns


def _read_message_objectives(family: SettingsReader) -> _MessageObjectives:
    """Read `messageAimNs`; empty where it is missing."""
    values = family.optional_numbers("messageAimNs")
    shortest_ns = int(min((value or 0 for value in values), default=0))
    return _MessageObjectives(values, shortest_ns)


def _read_classes(
    reader: SettingsReader, allowed: SettingsReader, family: SettingsReader
) -> tuple[RequestClass, ...]:
    """Read `services`: at least one class, each with a name of its own."""
    objectives = _read_message_objectives(family)
    max_attempts = allowed.positive_int("maxAttempts")
    classes: list[RequestClass] = []
    for index, values in enumerate(reader.required_list("services")):
        service = SettingsReader(values, f"services[{index}].")
        classes.append(_read_class(service, index, objectives, max_attempts))
    if len({request_class.name for request_class in classes}) < len(classes):
        raise SettingsError("settings key 'services' names a class twice")
    if not classes:
        raise SettingsError("settings key 'services' must name at least one class")
    return tuple(classes)


def _read_class(
    service: SettingsReader, index: int, objectives: _MessageObjectives, max_attempts: int
) -> RequestClass:
    """Read one of `services`; a message objective of 0 stands for none."""
    name = service.optional_name("name", index)
    latency_objective_ns = service.positive_int("aimNs")
    return RequestClass(
        name=name,
        latency_objective_ns=latency_objective_ns,
        deadline_ns=service.positive_int("hardLimitNs"),
        # Defaults to the objective of the set-up: with 0, every endpoint would count as slow.
        message_latency_objective_ns=objectives.of_class(index) or latency_objective_ns,
        effect=service.required_choice("effect", EFFECTS),
        scope=_read_scope(service),
        idempotency_window_ns=int(service.optional_number("windowNs", 0)),
        priority_weight=service.optional_number("worth", 1.0),
        max_attempts=max_attempts,
    )


def _read_scope(service: SettingsReader) -> Scope:
    """Read `group` of one of `services`; all endpoints where it is missing."""
    name = service.optional_name("group", "all").upper()
    if name not in Scope.__members__:
        raise service.unknown_value_error("group")
    return Scope[name]


def _read_tenants(reader: SettingsReader, family: SettingsReader) -> tuple[Tenant, ...]:
    """Read `tenants`, with their connection quotas, if there are any."""
    quotas = family.optional_numbers("tenantQuotaConnections")
    tenants: list[Tenant] = []
    for index, values in enumerate(reader.optional_list("tenants")):
        tenant = SettingsReader(values, f"tenants[{index}].")
        name = tenant.optional_name("name", index)
        fraction = tenant.optional_number("fraction", 0.0)
        quota = (quotas[index] or 0.0) if index < len(quotas) else 0.0
        tenants.append(Tenant(name, fraction, quota))
    return tuple(tenants)


def _read_max_retry_after_ns(allowed: SettingsReader) -> int:
    """Read the longest retry-after; 0 where clients are given none."""
    if not allowed.values.get("retryAfter"):
        return 0
    return int(allowed.optional_number("maxRetryAfterNs", 0))
