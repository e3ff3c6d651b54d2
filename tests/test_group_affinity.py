"""Estimate of group sizes from recent clients, and the number of endpoints that a group uses."""

from __future__ import annotations

import random

import pytest
from conftest import MS, S, entry, listed
from hypothesis import given
from hypothesis import strategies as st
from simulated_balancers import SimulatedBalancers

from linnetshift.routing.group_affinity import PRIOR_EQUAL_PAIRS, PRIOR_PAIRS, SAMPLE_SIZE, GroupSizeEstimator


@given(st.lists(st.integers(0, 5), max_size=3 * SAMPLE_SIZE))
def test_same_group_probability_counts_most_recent_clients(groups: list[int]) -> None:
    estimator = GroupSizeEstimator()
    for group in groups:
        estimator.record_client(group)
    recent = [group for group in groups if group][-SAMPLE_SIZE:]
    equal_pairs = sum(a == b for n, a in enumerate(recent) for b in recent[:n])
    pairs = len(recent) * (len(recent) - 1) / 2
    assert estimator.same_group_probability() == pytest.approx(
        (equal_pairs + PRIOR_EQUAL_PAIRS) / (pairs + PRIOR_PAIRS)
    )
    assert sum(estimator.counts.values()) == len(recent)


def mean_endpoints_per_group(groups: int, balancer_count: int) -> float:
    """Return the mean number of endpoints per group, with balancers in three zones and costly crossing."""
    endpoints = tuple(entry(n) for n in range(24))
    fleet = SimulatedBalancers(balancer_count, endpoints, fees={"crossZone": 0.1}, perZone=True)
    draws = random.Random(groups)
    for balancer in fleet.balancers:  # earlier clients
        for _ in range(30):
            balancer.group_sizes.record_client(draws.randrange(groups) + 1)
        balancer.step(fleet.now, [listed(*endpoints)])
    endpoints_by_group: dict[int, set[bytes]] = {}
    for n in range(600):
        group = draws.randrange(groups) + 1
        fleet.send_request(n % balancer_count, key=n + 1, group=group)
        fleet.run(fleet.now + 2 * MS)
        endpoints_by_group.setdefault(group, set()).add(fleet.sends[-1].endpoint)
    assert fleet.now < 10 * S
    return sum(map(len, endpoints_by_group.values())) / len(endpoints_by_group)


def test_group_uses_every_zone_only_when_groups_are_few() -> None:
    # Guards against group overhead: 56 groups, together on some 150 endpoints counted per group, loaded 54
    # servers more than all connections did.
    few, many = mean_endpoints_per_group(4, 60), mean_endpoints_per_group(60, 60)
    assert few >= 2.5  # large groups spread over the three zones
    assert many <= 2.2
