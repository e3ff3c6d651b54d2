"""Connections migrate off a draining endpoint at a limited rate, lower where the target is warming up."""

from __future__ import annotations

import pytest
from conftest import MS, S, effect, endpoint, entry, listed, only, raw_settings, request
from conftest import balancer as make_balancer
from simulated_balancers import SimulatedBalancers

from linnetshift.broker.administrative_drains import DRAIN_WITHIN_NS
from linnetshift.lifecycle.graceful_shutdown import min_kill_delay_ns
from linnetshift.routing.actions import Migrate, Send
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import ConnectionEstablished, EndpointState, ListForm, TimerFired
from linnetshift.routing.settings import Settings
from linnetshift.routing.tick_timer import TICK_TOKEN

CONNECTION_COUNT = 40
"""Connections established on the first endpoint."""


def balancer_with_loaded_endpoint(**second_entry: int) -> Balancer:
    """Two endpoints with all connections on the first, as the second was listed later."""
    balancer = make_balancer(endpoints=1)
    for number in range(CONNECTION_COUNT):
        (send,) = only(balancer.step(1 * S, [request(number)]), Send)
        balancer.step(1 * S, [ConnectionEstablished(number, 0, send.endpoint, 5 * MS)])
    balancer.step(1 * S, [listed(entry(0), entry(1, **second_entry))])
    return balancer


def migrations_per_tick(balancer: Balancer, ticks: int) -> list[int]:
    """Number of migrations started at each of the ticks, 50 ms apart."""
    return [
        len(only(balancer.step(1 * S + tick * 50 * MS, [TimerFired(TICK_TOKEN)]), Migrate))
        for tick in range(1, ticks + 1)
    ]


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_connections_migrate_at_limited_rate_off_draining_or_removed_endpoint(state: EndpointState) -> None:
    balancer = balancer_with_loaded_endpoint()
    immediate_actions = balancer.step(1 * S, [listed(entry(0, state=state), form=ListForm.DELTA)])
    assert not only(immediate_actions, Migrate)  # not all at once when the list arrives
    per_tick = migrations_per_tick(balancer, 200)
    assert sum(per_tick) == CONNECTION_COUNT
    assert max(per_tick) <= CONNECTION_COUNT // 8


def test_all_connections_migrate_before_drained_endpoint_stops() -> None:
    # When a share of the remaining ones migrated at each tick, the last were cut off two seconds later.
    balancer = balancer_with_loaded_endpoint()
    draining_entry = entry(0, state=EndpointState.DRAINING, drain_within_ns=DRAIN_WITHIN_NS)
    balancer.step(1 * S, [listed(draining_entry, form=ListForm.DELTA)])
    per_tick = migrations_per_tick(balancer, int(DRAIN_WITHIN_NS / (50 * MS)) + 1)
    assert sum(per_tick) == CONNECTION_COUNT
    assert max(per_tick) <= 4


def test_restored_endpoint_gets_exactly_the_next_connection() -> None:
    # With its slow-start share of the keys alone it could stay unused for long.
    balancer = make_balancer(endpoints=8, concurrency_limit=1e9, balancers=2)
    balancer.step(1 * S, [listed(entry(3, state=EndpointState.DRAINING), form=ListForm.DELTA)])
    balancer.step(2 * S, [listed(entry(3, started_ns=2 * S), form=ListForm.DELTA)])
    sends = [only(balancer.step(2 * S, [request(number)]), Send)[0].endpoint for number in range(6)]
    assert sends[0] == endpoint(3)  # one only: the next are placed by key, and it is warming up
    assert endpoint(3) not in sends[1:]


def test_migration_rate_is_lower_with_warming_target() -> None:
    # Many migrated clients at once would overload an endpoint that has just started.
    with_warm_target = balancer_with_loaded_endpoint()
    with_warming_target = balancer_with_loaded_endpoint(started_ns=1 * S)
    for balancer in (with_warm_target, with_warming_target):
        balancer.step(1 * S, [listed(entry(0, state=EndpointState.DRAINING), form=ListForm.DELTA)])
    assert sum(migrations_per_tick(with_warming_target, 20)) < sum(migrations_per_tick(with_warm_target, 20))


def test_no_connection_migrates_without_ready_target() -> None:
    balancer = balancer_with_loaded_endpoint(state=EndpointState.DRAINING)
    balancer.step(1 * S, [listed(entry(0, state=EndpointState.DRAINING), form=ListForm.DELTA)])
    assert sum(migrations_per_tick(balancer, 50)) == 0


def test_connection_established_after_drain_migrates() -> None:
    balancer = make_balancer(endpoints=2)
    (send,) = only(balancer.step(1 * S, [request(1)]), Send)
    number = 0 if send.endpoint == endpoint(0) else 1
    draining = entry(number, state=EndpointState.DRAINING)
    balancer.step(1 * S, [listed(draining, form=ListForm.DELTA)])
    balancer.step(1 * S, [ConnectionEstablished(1, 0, send.endpoint, 5 * MS)])
    assert sum(migrations_per_tick(balancer, 200)) == 1


@pytest.mark.parametrize(("hard_limit_ns", "kill_after_ns"), [(2 * S, 2700 * MS), (10 * S, 3700 * MS)])
def test_expected_kill_time_follows_hard_limit_up_to_a_cap(hard_limit_ns: int, kill_after_ns: int) -> None:
    # With a longer wait, the process was killed while connections were still to be migrated.
    settings = Settings.parse(raw_settings(**effect("repeatable", hardLimitNs=hard_limit_ns)))
    assert min_kill_delay_ns(settings) == kill_after_ns


@pytest.mark.parametrize("nodes", [2, 40, 200])
def test_few_proxies_of_a_fleet_send_to_restored_endpoint_at_once(nodes: int) -> None:
    # Each of 200 proxies sent its next connection there, but a warming endpoint could take two or three.
    sent_to_restored = 0
    for seed in range(0, 10 * nodes, nodes):
        fleet = SimulatedBalancers(nodes, tuple(entry(number) for number in range(8)), seed)
        fleet.send_to_all(listed(entry(3, state=EndpointState.DRAINING), form=ListForm.DELTA))
        fleet.run(2 * S)
        fleet.send_to_all(listed(entry(3, started_ns=2 * S), form=ListForm.DELTA))
        for number in range(nodes):
            fleet.send_request(number)
        sent_to_restored += sum(target == endpoint(3) for _, _, _, target in fleet.sends)
    assert 10 <= sent_to_restored <= 30  # over ten fleets
