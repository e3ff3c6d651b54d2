"""How simulated endpoints behave: their load, their reports, and what becomes of attempts and probes."""

from __future__ import annotations

import math
from functools import partial
from typing import NamedTuple

from rig.decision_recordings import wire
from rig.decision_recordings.model import (
    MILLISECOND,
    SECOND,
    Condition,
    Endpoint,
    EndpointState,
    Instance,
    Outcome,
)
from rig.decision_recordings.scenario import CONNECT_TIMEOUT_NS
from rig.decision_recordings.world import World

SETUP_NS = 20 * MILLISECOND
"""Mean time until an endpoint that is not loaded accepts, in nanoseconds."""

REJECTION_NS = 2 * MILLISECOND
"""Time until an endpoint rejects, in nanoseconds."""

SLOW_LOAD = 1.5
"""Load that being slow adds."""

SLOW_SETUP_FACTOR = 5
"""How much longer a slow endpoint takes to accept."""

MAX_WEIGHT = 100.0
"""Weights from here on, and those not above zero, are wrong entries: the capacity is that of weight 1."""

MAX_PROBE_NS = SECOND
"""Longest time until a probe is answered, in nanoseconds."""


class Fate(NamedTuple):
    """What becomes of an attempt, and after how long; without an outcome it becomes a connection."""

    outcome: Outcome | None
    delay_ns: float


class EndpointModel:
    """Behaviour of the endpoints towards attempts and probes."""

    def __init__(self, world: World) -> None:
        self.world = world

    def load(self, endpoint: Endpoint) -> float:
        """Open connections as a part of what the endpoint has capacity for."""
        weight = endpoint.weight if 0.0 < endpoint.weight < MAX_WEIGHT else 1.0
        own_load = SLOW_LOAD if endpoint.fault is Condition.SLOW else 0.0
        return endpoint.open_connections / (self.world.scenario.capacity * weight) + own_load

    def report(self, endpoint: Endpoint) -> list[float]:
        """The values of the report's columns, with some noise."""
        values = {
            "outstanding": float(endpoint.open_connections),
            "x0": self.load(endpoint) * self.world.random.uniform(0.9, 1.1),
            "x1": max(0.0, self.load(endpoint) - 1.0),
            "utilization": min(1.0, self.load(endpoint)),
        }
        return [values[column] for column in self.world.scenario.columns]

    def fate(self, endpoint: Endpoint) -> Fate:
        """What becomes of an attempt that is sent to the endpoint now."""
        random = self.world.random
        setup_ns = SETUP_NS * random.uniform(0.5, 1.5) * max(1.0, self.load(endpoint) * 2) ** 3
        fault = endpoint.fault
        if fault is None or isinstance(fault, Condition):
            if endpoint.state != EndpointState.READY:
                return Fate(Outcome.FULL, REJECTION_NS)
            return Fate(None, SLOW_SETUP_FACTOR * setup_ns if fault is Condition.SLOW else setup_ns)
        if fault is Outcome.TIMEOUT:
            return Fate(Outcome.TIMEOUT, math.inf)
        if fault is Outcome.CONNECT_FAILED:
            return Fate(Outcome.CONNECT_FAILED, CONNECT_TIMEOUT_NS)
        if fault is Outcome.FULL:
            return Fate(Outcome.FULL, REJECTION_NS)
        return Fate(fault, random.uniform(2, 300) * MILLISECOND)

    def probe(self, instance: Instance, address: bytes) -> None:
        """An instance probes an endpoint."""
        world = self.world
        endpoint = world.endpoint_at(address)
        outcome, delay_ns = self.fate(endpoint)
        if endpoint.state == EndpointState.GONE:
            outcome = Outcome.CONNECT_FAILED
            delay_ns = CONNECT_TIMEOUT_NS
        delay_ns = min(delay_ns, MAX_PROBE_NS)
        if outcome is None:
            outcome = Outcome.OK
            delay_ns /= 4
        answer = partial(self._answer_probe, instance, instance.starts, endpoint, outcome, world.now_ns)
        world.after(delay_ns, answer)

    def _answer_probe(
        self, instance: Instance, starts: int, endpoint: Endpoint, outcome: Outcome, sent_ns: int
    ) -> None:
        if instance.starts != starts:
            return
        report = self.report(endpoint) if outcome is Outcome.OK else []
        record = wire.probe_result(outcome, self.world.now_ns - sent_ns, endpoint.address, report)
        self.world.send_event(instance.number, record)
