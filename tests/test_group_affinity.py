"""How large groups are, by the clients that came to one of many nodes, and how many places that is worth."""

from __future__ import annotations

import random

import pytest
from conftest import MS, S, entry, listed
from hypothesis import given
from hypothesis import strategies as st
from simulated_balancers import SimulatedBalancers

from linnetshift.routing.group_affinity import PRIOR_EQUAL_PAIRS, PRIOR_PAIRS, SAMPLE_SIZE, GroupSizeEstimator


@given(st.lists(st.integers(0, 5), max_size=3 * SAMPLE_SIZE))
def test_the_likeness_is_that_of_the_clients_that_came_last(groups: list[int]) -> None:
    sizes = GroupSizeEstimator()
    for group in groups:
        sizes.record_client(group)
    last = [group for group in groups if group][-SAMPLE_SIZE:]
    alike = sum(a == b for n, a in enumerate(last) for b in last[:n])
    pairs = len(last) * (len(last) - 1) / 2
    assert sizes.same_group_probability() == pytest.approx(
        (alike + PRIOR_EQUAL_PAIRS) / (pairs + PRIOR_PAIRS)
    )
    assert sum(sizes.counts.values()) == len(last)


def places(groups: int, nodes: int) -> float:
    """How many endpoints hold some of a group, on the mean: nodes in three zones, where crossing is dear."""
    endpoints = tuple(entry(n) for n in range(24))
    fleet, draws = (
        SimulatedBalancers(nodes, endpoints, fees={"crossZone": 0.1}, perZone=True),
        random.Random(groups),
    )
    for node in fleet.balancers:  # what it met before
        for _ in range(30):
            node.group_sizes.record_client(draws.randrange(groups) + 1)
        node.step(fleet.now, [listed(*endpoints)])
    stands: dict[int, set[bytes]] = {}
    for n in range(600):
        group = draws.randrange(groups) + 1
        fleet.send_request(n % nodes, key=n + 1, group=group)
        fleet.run(fleet.now + 2 * MS)
        stands.setdefault(group, set()).add(fleet.sends[-1][3])
    assert fleet.now < 10 * S
    return sum(map(len, stands.values())) / len(stands)


def test_a_group_has_a_place_in_each_zone_only_where_there_are_endpoints_for_all() -> None:
    # 56 groups at some 150 places weighed more on 54 servers than all connections together.
    few, many = places(4, 60), places(60, 60)
    assert few >= 2.5  # three zones: large groups are spread over them
    assert many <= 2.2
