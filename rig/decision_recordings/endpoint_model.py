"""Model of the endpoints: their load, load reports, and outcomes of attempts and health checks."""

from __future__ import annotations

import math
from functools import partial
from typing import NamedTuple

from rig.decision_recordings import wire
from rig.decision_recordings.model import (
    MILLISECOND,
    SECOND,
    Endpoint,
    EndpointState,
    Impairment,
    Instance,
    Outcome,
)
from rig.decision_recordings.scenario import CONNECT_TIMEOUT_NS
from rig.decision_recordings.world import World

MEAN_SETUP_NS = 20 * MILLISECOND
"""Mean time until an endpoint without load accepts."""

REJECTION_DELAY_NS = 2 * MILLISECOND
"""Time until an endpoint rejects."""

SLOW_LOAD = 1.5
"""Load that a slow endpoint has in addition."""

SLOW_SETUP_FACTOR = 5
"""Factor by which a slow endpoint takes longer to accept."""

MAX_WEIGHT = 100.0
"""Weights from here on, and those not above zero, are invalid: the capacity is that of weight 1."""

MAX_HEALTH_CHECK_NS = SECOND
"""Longest time until a health check ends."""


class AttemptOutcome(NamedTuple):
    """How an attempt ends, and after which delay; None: its connection is established."""

    outcome: Outcome | None
    delay_ns: float


class EndpointModel:
    """Outcomes of attempts and health checks, by load and fault of the endpoint."""

    def __init__(self, world: World) -> None:
        self.world = world

    def load(self, endpoint: Endpoint) -> float:
        """Open connections relative to the endpoint's capacity, plus the load of a slow endpoint."""
        weight = endpoint.weight if 0.0 < endpoint.weight < MAX_WEIGHT else 1.0
        slow_load = SLOW_LOAD if endpoint.fault is Impairment.SLOW else 0.0
        return endpoint.open_connections / (self.world.scenario.capacity * weight) + slow_load

    def report(self, endpoint: Endpoint) -> list[float]:
        """The values of a load report in the order of its columns, with some noise."""
        values = {
            "outstanding": float(endpoint.open_connections),
            "x0": self.load(endpoint) * self.world.random.uniform(0.9, 1.1),
            "x1": max(0.0, self.load(endpoint) - 1.0),
            "utilization": min(1.0, self.load(endpoint)),
        }
        return [values[column] for column in self.world.scenario.columns]

    def draw_outcome(self, endpoint: Endpoint) -> AttemptOutcome:
        """Draw the outcome of an attempt that is sent to the endpoint now."""
        random = self.world.random
        setup_ns = MEAN_SETUP_NS * random.uniform(0.5, 1.5) * max(1.0, self.load(endpoint) * 2) ** 3
        fault = endpoint.fault
        if fault is None or isinstance(fault, Impairment):
            if endpoint.state != EndpointState.READY:
                return AttemptOutcome(Outcome.FULL, REJECTION_DELAY_NS)
            return AttemptOutcome(
                None, SLOW_SETUP_FACTOR * setup_ns if fault is Impairment.SLOW else setup_ns
            )
        if fault is Outcome.TIMEOUT:
            return AttemptOutcome(Outcome.TIMEOUT, math.inf)
        if fault is Outcome.CONNECT_FAILED:
            return AttemptOutcome(Outcome.CONNECT_FAILED, CONNECT_TIMEOUT_NS)
        if fault is Outcome.FULL:
            return AttemptOutcome(Outcome.FULL, REJECTION_DELAY_NS)
        return AttemptOutcome(fault, random.uniform(2, 300) * MILLISECOND)

    def check_health(self, instance: Instance, address: bytes) -> None:
        """Start a health check of an endpoint."""
        world = self.world
        endpoint = world.endpoint_at(address)
        outcome, delay_ns = self.draw_outcome(endpoint)
        if endpoint.state == EndpointState.REMOVED:
            outcome = Outcome.CONNECT_FAILED
            delay_ns = CONNECT_TIMEOUT_NS
        delay_ns = min(delay_ns, MAX_HEALTH_CHECK_NS)
        if outcome is None:
            outcome = Outcome.OK
            delay_ns /= 4
        answer = partial(
            self._answer_health_check, instance, instance.start_count, endpoint, outcome, world.now_ns
        )
        world.after(delay_ns, answer)

    def _answer_health_check(
        self, instance: Instance, start_count: int, endpoint: Endpoint, outcome: Outcome, sent_ns: int
    ) -> None:
        if instance.start_count != start_count:
            return
        report = self.report(endpoint) if outcome is Outcome.OK else []
        record = wire.health_check_result(outcome, self.world.now_ns - sent_ns, endpoint.address, report)
        self.world.send_event(instance.number, record)
