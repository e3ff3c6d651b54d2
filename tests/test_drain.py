"""Connections leave an endpoint that drains, at a pace, and no faster than a cold endpoint can take them."""

from __future__ import annotations

import pytest
from conftest import MS, S, balancer, effect, endpoint, entry, listed, only, raw_settings, request
from simulated_balancers import SimulatedBalancers

from linnetshift.broker.administrative_drains import LEAVE_NS
from linnetshift.lifecycle.graceful_shutdown import kill_after
from linnetshift.routing.actions import Migrate, Send
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import ConnectionEstablished, EndpointState, ListForm, TimerFired
from linnetshift.routing.settings import Settings
from linnetshift.routing.tick_timer import TICK_TOKEN

STANDING = 40


def full_endpoint(**others: int) -> Balancer:
    """Two endpoints; everything stands on the first, as the second was not there."""
    node = balancer(endpoints=1)
    for number in range(STANDING):
        (sent,) = only(node.step(1 * S, [request(number)]), Send)
        node.step(1 * S, [ConnectionEstablished(number, 0, sent.endpoint, 5 * MS)])
    node.step(1 * S, [listed(entry(0), entry(1, **others))])
    return node


def moves(node: Balancer, ticks: int) -> list[int]:
    """How many are told to move at each of the ticks."""
    return [
        len(only(node.step(1 * S + tick * 50 * MS, [TimerFired(TICK_TOKEN)]), Migrate))
        for tick in range(1, ticks + 1)
    ]


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_all_move_a_few_at_a_time(state: EndpointState) -> None:
    node = full_endpoint()
    first = node.step(1 * S, [listed(entry(0, state=state), form=ListForm.DELTA)])
    assert not only(first, Migrate)  # not all at the moment of the news
    paced = moves(node, 200)
    assert sum(paced) == STANDING
    assert max(paced) <= STANDING // 8


def test_all_are_gone_before_one_that_was_taken_out_stops() -> None:
    # A share of what was left, at each tick, left the last ones to be cut off two seconds later.
    node = full_endpoint()
    out = entry(0, state=EndpointState.DRAINING, drain_within_ns=LEAVE_NS)
    node.step(1 * S, [listed(out, form=ListForm.DELTA)])
    paced = moves(node, int(LEAVE_NS / (50 * MS)) + 1)
    assert sum(paced) == STANDING
    assert max(paced) <= 4


def test_the_next_connection_goes_to_an_endpoint_that_is_back() -> None:
    # By its cold share of the keys alone it could stay unused for long.
    node = balancer(endpoints=8, window=1e9, balancers=2)
    node.step(1 * S, [listed(entry(3, state=EndpointState.DRAINING), form=ListForm.DELTA)])
    node.step(2 * S, [listed(entry(3, started_ns=2 * S), form=ListForm.DELTA)])
    sends = [only(node.step(2 * S, [request(n)]), Send)[0].endpoint for n in range(6)]
    assert sends[0] == endpoint(3)  # one only: the next ones go by their keys, and it is cold
    assert endpoint(3) not in sends[1:]


def test_a_cold_target_sets_the_pace() -> None:
    # A wave of moved clients at an endpoint that has just started would push it over.
    warm, cold = full_endpoint(), full_endpoint(started_ns=1 * S)
    for node in (warm, cold):
        node.step(1 * S, [listed(entry(0, state=EndpointState.DRAINING), form=ListForm.DELTA)])
    assert sum(moves(cold, 20)) < sum(moves(warm, 20))


def test_nobody_moves_where_there_is_nowhere_else() -> None:
    node = full_endpoint(state=EndpointState.DRAINING)
    node.step(1 * S, [listed(entry(0, state=EndpointState.DRAINING), form=ListForm.DELTA)])
    assert sum(moves(node, 50)) == 0


def test_what_comes_to_stand_late_moves_too() -> None:
    node = balancer(endpoints=2)
    (sent,) = only(node.step(1 * S, [request(1)]), Send)
    number = 0 if sent.endpoint == endpoint(0) else 1
    draining = entry(number, state=EndpointState.DRAINING)
    node.step(1 * S, [listed(draining, form=ListForm.DELTA)])
    node.step(1 * S, [ConnectionEstablished(1, 0, sent.endpoint, 5 * MS)])
    assert sum(moves(node, 200)) == 1


@pytest.mark.parametrize(("limit", "killed"), [(2 * S, 2700 * MS), (10 * S, 3700 * MS)])
def test_the_kill_is_expected_after_three_seconds_and_a_little(limit: int, killed: int) -> None:
    # Waiting for a longer deadline, the program was killed with connections still to move.
    assert kill_after(Settings.parse(raw_settings(**effect("repeatable", hardLimitNs=limit)))) == killed


@pytest.mark.parametrize("nodes", [2, 40, 200])
def test_a_few_of_all_nodes_use_an_endpoint_that_is_back_at_once(nodes: int) -> None:
    # Each of 200 sent its next connection there: a cold endpoint bore two or three.
    met = 0
    for seed in range(0, 10 * nodes, nodes):
        fleet = SimulatedBalancers(nodes, tuple(entry(n) for n in range(8)), seed)
        fleet.send_to_all(listed(entry(3, state=EndpointState.DRAINING), form=ListForm.DELTA))
        fleet.run(2 * S)
        fleet.send_to_all(listed(entry(3, started_ns=2 * S), form=ListForm.DELTA))
        for n in range(nodes):
            fleet.send_request(n)
        met += sum(where == endpoint(3) for _, _, _, where in fleet.sends)
    assert 10 <= met <= 30  # over ten fleets
