"""Scenarios in TOML: sizes, traffic and faults of a run. An invalid value is reported with its path."""

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
    """An invalid scenario; the text has the path and the reason."""


class Endpoints(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Number and behaviour of the model endpoints."""

    count: Count = 6
    cores: Positive = 4.0
    """Capacity of an endpoint, and its capacity hint in the list."""

    warm_up_from: Share = 0.25
    """Share of its capacity that an endpoint has at its start."""

    warm_up_s: Seconds = 10.0
    slow_start_multiple: Positive = 3.0
    slow_start_window_s: Seconds = 2.0
    accept_s: Seconds = 0.01
    """Time until an endpoint accepts or rejects an attempt."""

    max_connections: Count = 500
    migrates_when_draining: bool = False
    """Whether an endpoint that drains asks its clients to migrate."""


class DiscoveryCapacity(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Capacity of discovery. It serves calls in order, abandoned ones included."""

    service_s: Seconds = 0.0
    """Service time of a call; 0 does not limit the capacity."""

    longest_wait_s: Positive = 2.0
    """Wait in the queue after which a call fails; one that would wait over twice as long fails at once."""


class Traffic(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Number and behaviour of the clients."""

    arrivals_per_s: Positive = 20.0
    """Rate of new clients over all nodes."""

    duration_s: Seconds = 2.5
    """How long new clients arrive."""

    mean_lifetime_s: Seconds = 1.0
    """Mean time for which a client wants to be served; cut off at three times the mean."""

    mean_load: Positive = 0.05
    """Mean load of a connection in cores."""

    groups: Count = 8
    group_overhead: Annotated[float, Meta(ge=0.0)] = 3.0
    """Additional load of each group with connections at an endpoint, in mean loads of a connection."""

    group_skew: Annotated[float, Meta(ge=0.0)] = 1.0
    """The n-th group's share of the clients is proportional to 1 / n ** group_skew."""

    first_node_share: Share = 0.0
    """Share of the clients that always connect to the first node while it is up."""

    deadline_s: Seconds = 2.0
    leaving_share: Share = 0.0
    """Share of the clients that abandon an unanswered request after a random time."""

    idle_clients: Annotated[int, Meta(ge=0, le=1000)] = 0
    """Connections without a request that are opened to each node at the start."""

    max_retries: int = 2
    """How often a client returns after a rejection or a broken connection."""


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
"""Faults of a node's process; they have to name their nodes."""


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A fault; `nodes` and `endpoints` are numbers from 0.

    A link fault applies to each link from these nodes to these endpoints, with `discovery` to the links to
    discovery, and with neither to the links from clients.
    """

    at_s: Seconds
    kind: FaultKind
    nodes: tuple[int, ...] = ()
    endpoints: tuple[int, ...] = ()
    discovery: bool = False
    duration_s: Seconds = 0.0
    """Duration; 0 is until the end of the run."""

    delay_s: Seconds = 0.0
    """Added delay, for `delay`, `slow` and `discovery-late`."""

    count: Count = 1
    """Number of repetitions, for `reload`, `move-discovery` and `terminate`."""


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Description of a run."""

    name: str
    seed: int = 1
    nodes: Count = 3
    configured_nodes: int = 0
    """Value of `balancers` in the nodes' settings; 0 is the number of nodes."""

    endpoints: Endpoints = Endpoints()
    discovery: DiscoveryCapacity = DiscoveryCapacity()
    lists: Literal["ask", "push"] = "ask"
    """Whether nodes poll discovery or are pushed the list: `discovery` in their settings."""

    traffic: Traffic = Traffic()
    faults: tuple[Fault, ...] = ()
    failing_calls_per_mille: Annotated[int, Meta(ge=0, le=1000)] = 0
    """Number of socket system calls per thousand that fail in the nodes."""

    failure_detection_s: Seconds = 0.3
    """How long clients still connect to a node after its process has ended."""

    list_delay_s: tuple[Seconds, Seconds] = (0.05, 0.3)
    """Shortest and longest delay until a change of the list reaches discovery's view of a node."""

    def stream(self, name: str) -> np.random.Generator:
        """A random generator per use, so that additional draws for one use do not change the others."""
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
