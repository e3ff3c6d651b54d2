"""Scenarios in TOML: sizes, traffic and faults of a run. A wrong value is reported with its path."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec
import numpy as np
from msgspec import Meta

Count = Annotated[int, Meta(ge=1, le=1000)]
Seconds = Annotated[float, Meta(ge=0.0, le=600.0)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0)]


class ScenarioError(ValueError):
    """A scenario that cannot be run; the text says where it is wrong and why."""


class Endpoints(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How many model endpoints there are, and how they behave."""

    count: Count = 6
    cores: Positive = 4.0
    """Work that one can do in a second; its capacity hint in the list."""

    warm_up_from: Share = 0.25
    """Part of its capacity that one has at its start."""

    warm_up_s: Seconds = 10.0
    slow_start_multiple: Positive = 3.0
    slow_start_window_s: Seconds = 2.0
    accept_s: Seconds = 0.01
    """How long one takes to accept or reject an attempt."""

    max_connections: Count = 500
    migrates_when_draining: bool = False
    """Whether one that drains asks its clients to migrate."""


class DiscoveryCapacity(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How many calls discovery can serve. It takes them in turn, those that were given up as well."""

    service_s: Seconds = 0.0
    """How long one call keeps it busy; 0 is no time at all."""

    longest_wait_s: Positive = 2.0
    """A call that has waited so long for its turn fails. One that would wait twice as long fails at once."""


class Traffic(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How many clients there are, and how they behave."""

    arrivals_per_s: Positive = 20.0
    """New clients over all nodes."""

    duration_s: Seconds = 2.5
    """How long new clients arrive."""

    mean_lifetime_s: Seconds = 1.0
    """Mean of how long a client stays; none stays longer than three times that."""

    mean_load: Positive = 0.05
    """Mean load of a connection in cores."""

    groups: Count = 8
    group_overhead: Annotated[float, Meta(ge=0.0)] = 3.0
    """Load, in mean loads of a connection, of each group with connections at an endpoint."""

    group_skew: Annotated[float, Meta(ge=0.0)] = 1.0
    """The n-th group's part of the clients is as 1 / n ** group_skew."""

    first_node_share: Share = 0.0
    """Part of the clients that come through the first node whatever the others get."""

    deadline_s: Seconds = 2.0
    leaving_share: Share = 0.0
    """Part of the clients that leave before they have an answer, at a random moment."""

    idle_clients: Annotated[int, Meta(ge=0, le=1000)] = 0
    """Connections without a request that each node holds for the whole run."""

    max_retries: int = 2
    """How often a client retries or returns after a rejection or a broken connection."""


FaultKind = Literal[
    "kill",
    "pause",
    "restart",
    "terminate",
    "reload",
    "move-discovery",
    "drain",
    "replace",
    "crash",
    "delay",
    "cut",
    "cut-forward",
    "cut-backward",
    "reset",
    "refuse",
    "unresponsive",
    "slow",
    "discovery-late",
    "discovery-unavailable",
    "discovery-older",
    "discovery-invalid-entry",
    "discovery-in-pieces",
]


NODE_FAULTS = frozenset({"kill", "pause", "restart", "terminate", "reload", "move-discovery"})
"""Faults of a node's process, which have to name the nodes."""


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One fault; `nodes` and `endpoints` are numbers from 0.

    A link's fault is on each link between the two, without endpoints on the links from clients, with
    `discovery` on those to discovery.
    """

    at_s: Seconds
    kind: FaultKind
    nodes: tuple[int, ...] = ()
    endpoints: tuple[int, ...] = ()
    discovery: bool = False
    duration_s: Seconds = 0.0
    """How long it lasts; 0 is to the end of the run."""

    delay_s: Seconds = 0.0
    """Added delay, for `delay`, `slow` and `discovery-late`."""

    count: Count = 1
    """How often in a row, for `reload`, `move-discovery` and `terminate`."""


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All of one run."""

    name: str
    seed: int = 1
    nodes: Count = 3
    configured_nodes: int = 0
    """What the nodes' settings have as `balancers`; 0 is the number that there are."""

    endpoints: Endpoints = Endpoints()
    discovery: DiscoveryCapacity = DiscoveryCapacity()
    lists: Literal["ask", "push"] = "ask"
    """Whether nodes poll discovery or are pushed the list, as their settings say."""

    traffic: Traffic = Traffic()
    faults: tuple[Fault, ...] = ()
    failing_calls_per_mille: Annotated[int, Meta(ge=0, le=1000)] = 0
    """How many of a thousand system calls on sockets fail in the nodes."""

    failure_detection_s: Seconds = 0.3
    """How long clients are still sent to a node that has ended."""

    list_delay_s: tuple[Seconds, Seconds] = (0.05, 0.3)
    """Shortest and longest time until a change of the list reaches a node."""

    def stream(self, name: str) -> np.random.Generator:
        """A random stream for one use, so that one more draw in one use changes no other."""
        return np.random.default_rng([self.seed, *name.encode()])


def parse(text: str) -> Scenario:
    """Decode a TOML text; raises ScenarioError."""
    try:
        scenario = msgspec.toml.decode(text, type=Scenario)
    except msgspec.MsgspecError as error:
        raise ScenarioError(str(error)) from None
    for position, fault in enumerate(scenario.faults):
        _check_fault(scenario, fault, f"`$.faults[{position}]`")
    return scenario


def load(path: Path) -> Scenario:
    """Decode a TOML file; raises ScenarioError."""
    return parse(path.read_text())


def _check_fault(scenario: Scenario, fault: Fault, path: str) -> None:
    unknown = [number for number in fault.nodes if not 0 <= number < scenario.nodes]
    unknown += [number for number in fault.endpoints if not 0 <= number < scenario.endpoints.count]
    if unknown:
        raise ScenarioError(f"there is no number {unknown[0]} - at {path}")
    if fault.kind in NODE_FAULTS and not fault.nodes:
        raise ScenarioError(f"a {fault.kind} needs nodes - at {path}")
    if fault.kind in ("drain", "replace", "crash", "slow") and not fault.endpoints:
        raise ScenarioError(f"a {fault.kind} needs endpoints - at {path}")
