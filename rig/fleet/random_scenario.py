"""Scenarios drawn from a seed: sizes, traffic, and several faults in any combination."""

from __future__ import annotations

import numpy as np

from rig.fleet.scenario import (
    DiscoveryCapacity,
    Endpoints,
    Fault,
    FaultKind,
    Scenario,
    Traffic,
)

DURATION_S = 11.0
"""How long new clients arrive, in seconds."""

FAULTS_BEGIN_S = (0.5, 8.0)
"""Earliest and latest start of a fault, in seconds."""

LONGEST_ANSWER_DELAY_S = 1.8
"""Longest delay of discovery's answers, in seconds."""

LONGEST_PAUSE_S = 0.15
"""Longest pause of a process, in seconds."""

ANSWER_FAULTS: tuple[FaultKind, ...] = (
    "discovery-late",
    "discovery-unavailable",
    "discovery-older",
    "discovery-invalid-entry",
    "discovery-in-pieces",
)
PROCESS_FAULTS: tuple[FaultKind, ...] = ("kill", "pause", "terminate", "reload", "move-discovery")
ENDPOINT_FAULTS: tuple[FaultKind, ...] = ("drain", "replace", "crash", "slow")


def draw_scenario(seed: int) -> Scenario:
    """The scenario of a seed; deterministic."""
    stream = np.random.default_rng([seed, *b"scenario"])
    nodes = int(stream.integers(1, 7))
    endpoints = int(stream.integers(4, 8))
    is_pushed = stream.random() < 0.3
    return Scenario(
        name=f"seed {seed}",
        seed=seed,
        nodes=nodes,
        lists="push" if is_pushed else "ask",
        endpoints=Endpoints(
            count=endpoints,
            migrates_when_draining=bool(stream.random() < 0.3),
        ),
        discovery=DiscoveryCapacity(service_s=0.0 if is_pushed else float(stream.uniform(0.0, 0.8 / nodes))),
        traffic=Traffic(
            arrivals_per_s=float(stream.uniform(15.0, 50.0)),
            duration_s=DURATION_S,
            mean_lifetime_s=float(stream.uniform(0.3, 4.0)),
            mean_load=0.02,
            groups=int(stream.choice([8, 300])),
            deadline_s=float(stream.choice([0.5, 1.0, 2.0, 3.0])),
            leaving_share=float(stream.choice([0.0, 0.2])),
            idle_clients=int(stream.choice([0, 0, 0, 150])),
        ),
        faults=tuple(_draw_faults(stream, nodes, endpoints)),
        list_delay_s=(0.05, float(stream.uniform(0.1, 1.5))),
    )


def _draw_faults(stream: np.random.Generator, nodes: int, endpoints: int) -> list[Fault]:
    """Faults of endpoints, processes and answers; at most one per endpoint and process; sorted by time."""
    faulty_endpoints = list(stream.permutation(endpoints)[: endpoints - 2])
    shuffled_nodes = list(stream.permutation(nodes))
    faults = [_draw_endpoint_fault(stream, int(number)) for number in faulty_endpoints]
    count = int(stream.integers(1, len(shuffled_nodes) + 1))
    faults += [_draw_process_fault(stream, int(number)) for number in shuffled_nodes[:count]]
    faults += [_draw_answer_fault(stream, nodes) for _ in range(int(stream.integers(1, 5)))]
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_endpoint_fault(stream: np.random.Generator, number: int) -> Fault:
    kind = ENDPOINT_FAULTS[int(stream.integers(len(ENDPOINT_FAULTS)))]
    return Fault(
        at_s=float(stream.uniform(*FAULTS_BEGIN_S)),
        kind=kind,
        endpoints=(number,),
        duration_s=float(stream.uniform(0.5, 6.0)),
        delay_s=float(stream.uniform(0.1, 0.8)) if kind == "slow" else 0.0,
    )


def _draw_process_fault(stream: np.random.Generator, number: int) -> Fault:
    kind = PROCESS_FAULTS[int(stream.integers(len(PROCESS_FAULTS)))]
    longest_s = LONGEST_PAUSE_S if kind == "pause" else 1.5
    return Fault(
        at_s=float(stream.uniform(*FAULTS_BEGIN_S)),
        kind=kind,
        nodes=(number,),
        duration_s=float(stream.uniform(0.05, longest_s)),
        count=int(stream.integers(1, 6)),
    )


def _draw_answer_fault(stream: np.random.Generator, nodes: int) -> Fault:
    kind = ANSWER_FAULTS[int(stream.integers(len(ANSWER_FAULTS)))]
    affected = stream.permutation(nodes)[: int(stream.integers(1, nodes + 1))]
    return Fault(
        at_s=float(stream.uniform(*FAULTS_BEGIN_S)),
        kind=kind,
        nodes=tuple(int(number) for number in affected),
        duration_s=float(stream.uniform(0.3, 2.5)),
        delay_s=float(stream.uniform(0.2, LONGEST_ANSWER_DELAY_S)) if kind == "discovery-late" else 0.0,
    )
