"""What is played: sizes, traffic and faults, as TOML. What is wrong in a file is named with its path."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec
import numpy as np
from msgspec import Meta

Count = Annotated[int, Meta(ge=1, le=1000)]
Seconds = Annotated[float, Meta(ge=0.0, le=600.0)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]


class ScenarioError(ValueError):
    """A scenario that cannot be played; the text says where and why."""


class Servers(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    count: Count = 6
    cores: Annotated[float, Meta(gt=0.0)] = 4.0  # work a second; the list tells it as the weight
    cold_from: Share = 0.25
    warm_s: Seconds = 10.0
    fall_multiple: Annotated[float, Meta(gt=0.0)] = 3.0
    tip_s: Seconds = 2.0
    answer_s: Seconds = 0.01  # until it says whether it serves
    table: Count = 500  # connections that it accepts
    sends_away: bool = False  # while it drains


class Traffic(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    rate: Annotated[float, Meta(gt=0.0)] = 20.0  # first arrivals a second, over all nodes
    length_s: Seconds = 2.5
    life_s: Seconds = 1.0  # mean; none lives longer than three times that
    load: Annotated[float, Meta(gt=0.0)] = 0.05  # cores a connection, mean
    groups: Count = 8
    group_cost: Annotated[float, Meta(ge=0.0)] = 3.0  # in mean loads, wherever any of a group stands
    skew: Annotated[float, Meta(ge=0.0)] = 1.0  # sizes of groups are 1 / n ** skew
    busiest: Share = 0.0  # of all arrivals come through the first node, beside its own part
    deadline_s: Seconds = 2.0
    returns: int = 2  # how often a client comes again after a rejection or a break


FaultKind = Literal[
    "kill",
    "stop",
    "restart",
    "drain",
    "replace",
    "delay",
    "cut",
    "cut-there",
    "cut-back",
    "reset",
    "refuse",
    "silent",
    "slow",
]


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`nodes` and `servers` are numbers from 0; a link's fault lies on each link between the two.

    Without servers it lies on the way from the clients, with `discovery` on the way to the list.
    """

    at_s: Seconds
    kind: FaultKind
    nodes: tuple[int, ...] = ()
    servers: tuple[int, ...] = ()
    discovery: bool = False  # the nodes' links to discovery
    for_s: Seconds = 0.0  # 0: for good
    delay_s: Seconds = 0.0


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    name: str
    seed: int = 1
    nodes: Count = 3
    told_nodes: int = 0  # what the settings call `balancers`; 0: as many as there are
    servers: Servers = Servers()
    traffic: Traffic = Traffic()
    faults: tuple[Fault, ...] = ()
    notice_s: Seconds = 0.3  # how late the frontend hears that a node is dead
    list_s: tuple[Seconds, Seconds] = (0.05, 0.3)  # how late a change reaches a node

    def stream(self, name: str) -> np.random.Generator:
        """Random numbers of their own for each use, so that one more draw in one changes no other."""
        return np.random.default_rng([self.seed, *name.encode()])


def parse(text: str) -> Scenario:
    """The scenario that a TOML text tells; raises ScenarioError."""
    try:
        made = msgspec.toml.decode(text, type=Scenario)
    except msgspec.MsgspecError as error:
        raise ScenarioError(str(error)) from None
    for place, fault in enumerate(made.faults):
        wrong = [n for n in fault.nodes if not 0 <= n < made.nodes]
        wrong += [n for n in fault.servers if not 0 <= n < made.servers.count]
        if wrong:
            raise ScenarioError(f"there is no number {wrong[0]} - at `$.faults[{place}]`")
        if fault.kind in ("kill", "stop", "restart") and not fault.nodes:
            raise ScenarioError(f"a {fault.kind} needs nodes - at `$.faults[{place}]`")
        if fault.kind in ("drain", "replace", "slow") and not fault.servers:
            raise ScenarioError(f"a {fault.kind} needs servers - at `$.faults[{place}]`")
    return made


def load(path: Path) -> Scenario:
    return parse(path.read_text())
