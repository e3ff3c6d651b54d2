"""Placement under the settings of different deployments; each figure follows from them, none from a site."""

from __future__ import annotations

import math
from typing import Any

import pytest
from conftest import MS, S, balancer, ended, endpoint, entry, listed, only, raw_settings, request

from linnetshift.broker.latency_estimator import LatencyEstimator
from linnetshift.broker.snapshot import export_state, import_state
from linnetshift.routing.actions import HealthCheck, Migrate, Send
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import (
    SLOW_NOTE,
    ConnectionEstablished,
    ConnectionNote,
    HealthCheckResult,
    Outcome,
    TimerFired,
)
from linnetshift.routing.pending_requests import key_hash
from linnetshift.routing.settings import CROSS_ZONE_COST_SCALE, Settings
from linnetshift.routing.tick_timer import TICK_TOKEN


def homes(node: Balancer) -> float:
    """The share of keys whose first endpoint is in another zone."""
    firsts = [next(iter(node.ranking.ranked(key_hash(request(n))))) for n in range(2000)]
    return sum(h.zone != node.settings.zone for h in firsts) / len(firsts)


@pytest.mark.parametrize("zones", [1, 2, 5])
@pytest.mark.parametrize("fee", [0.0, 0.014, 0.13])
def test_far_endpoints_weigh_by_the_price_of_crossing(fee: float, zones: int) -> None:
    # A tenth, right where a crossing costs 0.13, cost a deployment where it costs 0.014 a sixth of its score.
    node = balancer(0, fees={"crossZone": fee})
    node.step(2 * S, [listed(*(entry(n, zone=n % zones) for n in range(30)))])
    odds = (zones - 1) * math.exp(-fee / CROSS_ZONE_COST_SCALE)
    assert homes(node) == pytest.approx(odds / (1 + odds), abs=0.06)


def crowd(node: Balancer, connections: int, groups: int) -> dict[int, set[bytes]]:
    """So many stand, spread over the groups; where each group stands."""
    for n in range(1, connections + 1):
        for send in only(node.step(2 * S + n * MS, [request(n, group=1 + n % groups)]), Send):
            node.step(2 * S + n * MS, [ConnectionEstablished(n, 0, send.endpoint, MS)])
    return {
        g: {h.id for h in node.endpoints.values() if g in h.established_by_group}
        for g in range(1, groups + 1)
    }


@pytest.mark.parametrize("source", ["nominal", "live"])
def test_a_group_stays_where_it_stands_when_weights_move(source: str) -> None:
    # Each fall of a live weight re-ranked the group elsewhere: 5 groups stood in 50 places of 16 endpoints.
    node = balancer(8, weightSource=source)
    before = crowd(node, 40, 4)
    for turn in range(10):
        node.step((4 + turn) * S, [listed(*(entry(n, weight=0.2 + (n + turn) % 8) for n in range(8)))])
        for g in before:
            (send,) = only(node.step(node.now + MS, [request(1000 + 10 * turn + g, group=g)]), Send)
            assert send.endpoint in before[g]


def test_a_full_endpoint_s_group_goes_on_to_the_next_one() -> None:
    node = balancer(8)
    (home,) = crowd(node, 12, 1)[1]
    node.step(4 * S, [ConnectionNote(1, 0, home, SLOW_NOTE, 60.0)])
    (send,) = only(node.step(4 * S + MS, [request(500, group=1)]), Send)
    assert send.endpoint != home


def test_one_of_many_nodes_follows_the_ranking_it_shares_with_the_others() -> None:
    # With 3 of 600 connections each, 200 nodes would have held to 200 places of their own.
    node = balancer(8)
    (home,) = crowd(node, 3, 1)[1]
    node.step(4 * S, [listed(*(entry(n, weight=0.001 if endpoint(n) == home else 1.0) for n in range(8)))])
    (send,) = only(node.step(4 * S + MS, [request(500, group=1)]), Send)
    assert send.endpoint != home


@pytest.mark.parametrize("end", ["ended", "moved", "gone"])
def test_groups_are_counted_down_as_connections_end(end: str) -> None:
    node = balancer(1)
    crowd(node, 6, 2)
    (held,) = node.endpoints.values()
    assert held.established_by_group == {1: 3, 2: 3}
    if end == "ended":
        for n in range(1, 7):
            node.step(4 * S, [ended(Send(n, held.id, 0), 0, Outcome.OK, closed=True)])
    elif end == "moved":
        for item in list(held.established.values()):
            node.migration.migrate(item, held)
    else:
        node.step(4 * S, [listed()])
        for n in range(1, 7):
            node.step(5 * S, [ended(Send(n, held.id, 0), 0, Outcome.RESET, closed=True)])
    assert not held.established_by_group
    assert not held.established


def test_an_endpoint_that_errs_on_all_is_passed_over_though_nobody_else_can_serve_yet() -> None:
    # Errors counted only once another endpoint had served the request: while others were cold it came first.
    node = balancer(2)
    bad = next(iter(node.ranking.ranked(key_hash(request(1, key=5))))).id
    node.step(2 * S, [listed(entry(0, started_ns=2 * S), entry(1, started_ns=2 * S))])
    node.endpoints[bad].started_at = 0
    tried = 0
    for number in range(1, 12):
        actions = node.step(node.now + MS, [request(number, key=5)])
        while sends := only(actions, Send):
            tried += sends[0].endpoint == bad
            actions = node.step(node.now, [ended(sends[0], 0, Outcome.ERROR)])
    assert tried == 2


def test_a_request_does_not_go_back_to_the_endpoint_that_erred_though_that_serves_others() -> None:
    # Success there clears the endpoint; the request that it answered with an error would get the same again.
    node = balancer(1)
    (send,) = only(node.step(2 * S, [request(1)]), Send)
    node.step(2 * S, [ended(send, 0, Outcome.ERROR)])
    (other,) = only(node.step(2 * S + MS, [request(2)]), Send)
    node.step(2 * S + 2 * MS, [ConnectionEstablished(2, 0, other.endpoint, MS)])
    assert not only(node.step(2 * S + 60 * MS, [TimerFired(TICK_TOKEN)]), Send)


def test_an_endpoint_s_errors_are_forgotten_when_it_serves_or_restarts() -> None:
    node = balancer(1)
    for number, then in ((1, "serves"), (2, "restarts")):
        (send,) = only(node.step(node.now + S, [request(number)]), Send)
        node.step(node.now, [ended(send, 0, Outcome.ERROR)])
        assert node.endpoints[endpoint(0)].consecutive_errors == 1
        if then == "serves":
            (again,) = only(node.step(node.now + S, [request(9)]), Send)
            node.step(node.now, [ConnectionEstablished(9, 0, again.endpoint, MS)])
        else:
            node.step(node.now, [listed(entry(0, started_ns=node.now))])
        assert node.endpoints[endpoint(0)].consecutive_errors == 0


@pytest.mark.parametrize("nodes", [1, 2, 5, 40])
def test_a_node_that_knows_no_load_yet_uses_cold_endpoints_in_its_turn(nodes: int) -> None:
    # A process that took over while all endpoints were cold earned no token: it held each request to its end.
    node = balancer(0, balancers=nodes, rules={"warmUpNs": 10_000 * S})
    node.step(2 * S, [listed(entry(1, started_ns=2 * S))])
    cold, tip, served = node.endpoints[endpoint(1)], node.settings.overload_window_ns, 0
    for turn in range(1, 80 * nodes + 1):
        actions = node.step(2 * S + turn * tip + turn, [request(turn, budget_ns=S)])
        served += len(only(actions, Send))
        for send in only(actions, Send):
            node.step(node.now, [ended(send, 0, Outcome.FULL, closed=True)])
            cold.ejected_until = 0
    # All nodes together one in the time in which it may fall over, less what is kept back: 40 are meant.
    assert 25 <= served <= 55


@pytest.mark.parametrize(("source", "size"), [("nominal", 0.3), ("live", 4.0)])
def test_a_cold_endpoint_s_part_is_reckoned_from_sizes(source: str, size: float) -> None:
    node = balancer(0, weightSource=source)
    node.step(2 * S, [listed(entry(1, weight=4.0), entry(2, weight=4.0))])
    node.step(3 * S, [listed(entry(1, weight=0.3), entry(2, weight=0.3))])
    assert node.endpoints.capacity(node.endpoints[endpoint(1)]) == size
    assert node.ranking.candidates().total_capacity == 2 * size


def test_what_fills_an_endpoint_is_passed_on_to_the_next_process() -> None:
    old, new = balancer(2), balancer(2)
    old.ranking.connections_per_weight = 11.5
    import_state(new, LatencyEstimator(), export_state(old, LatencyEstimator()))
    assert new.ranking.connections_per_weight == 11.5


def test_cold_endpoints_that_are_late_do_not_shed_what_warm_ones_bear() -> None:
    # In a deploy most endpoints are cold and late for some seconds: keys were refused for ten seconds after.
    node = balancer(8)
    crowd(node, 40, 4)
    node.step(4 * S, [listed(*(entry(n, started_ns=4 * S if n < 5 else 0) for n in range(8)))])
    late = [ConnectionNote(1, 0, endpoint(n), SLOW_NOTE, 90.0) for n in range(5)]
    node.step(5 * S, late)
    node.step(6 * S + MS, late)
    assert node.admission.load_shedding.admitted_share == 1.0
    warm = [ConnectionNote(1, 0, endpoint(n), SLOW_NOTE, 90.0) for n in range(5, 8)]
    node.step(7 * S + 2 * MS, late + warm)
    node.step(8 * S + 3 * MS, late + warm)
    assert node.admission.load_shedding.admitted_share < 1.0


OPTIONAL = (
    "familyInfo",
    "familyInfo.messageAimNs",
    "fees",
    "report",
    "tenants",
    "zones",
    "weightSource",
    "stepNs",
    "allowed.retryAfter",
    "allowed.maxRetryAfterNs",
    "rules.mustAskInNs",
)


def without(*paths: str) -> dict[str, Any]:
    """Settings of a deployment that tells all there is, less what stands at these paths."""
    raw = raw_settings(
        allowed={"probing": True},
        report={"columns": ["outstanding", "x0"], "how": "pull"},
        familyInfo={"tellsDelay": True, "groups": True},
        fees={"crossZone": 0.1},
        tenants=[{"name": "acme"}],
        zones=["a"],
    )
    for path in paths:
        *above, last = path.split(".")
        (raw.get(above[0], {}) if above else raw).pop(last, None)
    return raw


@pytest.mark.parametrize("paths", [(), *((path,) for path in OPTIONAL), OPTIONAL])
@pytest.mark.parametrize("discovery", ["push", "ask"])
def test_whatever_a_deployment_does_not_tell_it_is_served(paths: tuple[str, ...], discovery: str) -> None:
    node = Balancer(Settings.parse({**without(*paths), "discovery": discovery}), 1)
    node.step(1 * S, [listed(*(entry(n) for n in range(8)))])
    served = 0
    for number in range(1, 41):
        actions = node.step(2 * S + number * MS, [request(number, group=1 + number % 3)])
        for check_health in only(actions, HealthCheck):
            actions += node.step(node.now, [HealthCheckResult(check_health.endpoint, Outcome.OK, MS, ())])
        for send in only(actions, Send):
            node.step(node.now, [ConnectionEstablished(number, 0, send.endpoint, MS)])
            served += 1
            # A message that takes 5 ms is slow nowhere, whether or not an aim for it is told.
            assert not only(
                node.step(node.now, [ConnectionNote(number, 0, send.endpoint, SLOW_NOTE, 5.0)]), Migrate
            )
    assert served == 40
