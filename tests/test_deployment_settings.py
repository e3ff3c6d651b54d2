"""Placement under the settings of different deployments; expected figures follow from the settings alone."""

from __future__ import annotations

import math
from typing import Any

import pytest
from conftest import MS, S, ended, endpoint, entry, listed, only, raw_settings, request
from conftest import balancer as make_balancer

from linnetshift.broker.latency_estimator import LatencyEstimator
from linnetshift.broker.snapshot import export_state, import_state
from linnetshift.routing.actions import HealthCheck, Migrate, Send
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import (
    MESSAGE_TIME_NOTE,
    ConnectionEstablished,
    ConnectionNote,
    HealthCheckResult,
    Outcome,
    TimerFired,
)
from linnetshift.routing.pending_requests import key_hash
from linnetshift.routing.settings import CROSS_ZONE_COST_SCALE, Settings
from linnetshift.routing.tick_timer import TICK_TOKEN


def remote_share(balancer: Balancer) -> float:
    """Return the share of keys whose best-ranked endpoint is in another zone."""
    firsts = [next(iter(balancer.ranking.ranked(key_hash(request(n))))) for n in range(2000)]
    return sum(h.zone != balancer.settings.zone for h in firsts) / len(firsts)


@pytest.mark.parametrize("zones", [1, 2, 5])
@pytest.mark.parametrize("crossing_cost", [0.0, 0.014, 0.13])
def test_remote_zone_share_follows_cross_zone_cost(crossing_cost: float, zones: int) -> None:
    # A fixed share of a tenth, right for a cost of 0.13, reduced the score of a deployment with a cost of
    # 0.014 by a sixth.
    balancer = make_balancer(0, fees={"crossZone": crossing_cost})
    balancer.step(2 * S, [listed(*(entry(n, zone=n % zones) for n in range(30)))])
    odds = (zones - 1) * math.exp(-crossing_cost / CROSS_ZONE_COST_SCALE)
    assert remote_share(balancer) == pytest.approx(odds / (1 + odds), abs=0.06)


def establish(balancer: Balancer, connections: int, groups: int) -> dict[int, set[bytes]]:
    """Establish connections, spread over the groups; return the endpoints of each group."""
    for n in range(1, connections + 1):
        for send in only(balancer.step(2 * S + n * MS, [request(n, group=1 + n % groups)]), Send):
            balancer.step(2 * S + n * MS, [ConnectionEstablished(n, 0, send.endpoint, MS)])
    return {
        g: {h.id for h in balancer.endpoints.values() if g in h.established_by_group}
        for g in range(1, groups + 1)
    }


@pytest.mark.parametrize("source", ["nominal", "live"])
def test_changed_weights_keep_group_at_its_endpoints(source: str) -> None:
    # Each drop of a live weight re-ranked the groups: 5 groups used 50 pairs of group and endpoint, with 16
    # endpoints.
    balancer = make_balancer(8, weightSource=source)
    before = establish(balancer, 40, 4)
    for second in range(10):
        balancer.step(
            (4 + second) * S, [listed(*(entry(n, weight=0.2 + (n + second) % 8) for n in range(8)))]
        )
        for g in before:
            (send,) = only(balancer.step(balancer.now + MS, [request(1000 + 10 * second + g, group=g)]), Send)
            assert send.endpoint in before[g]


def test_group_of_slow_endpoint_uses_next_ranked_one() -> None:
    balancer = make_balancer(8)
    (group_endpoint,) = establish(balancer, 12, 1)[1]
    balancer.step(4 * S, [ConnectionNote(1, 0, group_endpoint, MESSAGE_TIME_NOTE, 60.0)])
    (send,) = only(balancer.step(4 * S + MS, [request(500, group=1)]), Send)
    assert send.endpoint != group_endpoint


def test_balancer_with_few_connections_of_group_follows_shared_ranking() -> None:
    # With 3 of 600 connections each, 200 balancers would have chosen 200 times independently.
    balancer = make_balancer(8)
    (group_endpoint,) = establish(balancer, 3, 1)[1]
    balancer.step(
        4 * S, [listed(*(entry(n, weight=0.001 if endpoint(n) == group_endpoint else 1.0) for n in range(8)))]
    )
    (send,) = only(balancer.step(4 * S + MS, [request(500, group=1)]), Send)
    assert send.endpoint != group_endpoint


@pytest.mark.parametrize("end", ["ended", "migrated", "removed"])
def test_ended_connections_are_removed_from_group_counts(end: str) -> None:
    balancer = make_balancer(1)
    establish(balancer, 6, 2)
    (only_endpoint,) = balancer.endpoints.values()
    assert only_endpoint.established_by_group == {1: 3, 2: 3}
    if end == "ended":
        for n in range(1, 7):
            balancer.step(4 * S, [ended(Send(n, only_endpoint.id, 0), 0, Outcome.OK, closed=True)])
    elif end == "migrated":
        for connection in list(only_endpoint.established.values()):
            balancer.migration.migrate(connection, only_endpoint)
    else:
        balancer.step(4 * S, [listed()])
        for n in range(1, 7):
            balancer.step(5 * S, [ended(Send(n, only_endpoint.id, 0), 0, Outcome.RESET, closed=True)])
    assert not only_endpoint.established_by_group
    assert not only_endpoint.established


def test_failing_endpoint_is_avoided_while_others_are_in_slow_start() -> None:
    # An error was counted only after another endpoint had served the request. While the others were in slow
    # start, none did, and the failing endpoint stayed first.
    balancer = make_balancer(2)
    failing = next(iter(balancer.ranking.ranked(key_hash(request(1, key=5))))).id
    balancer.step(2 * S, [listed(entry(0, started_ns=2 * S), entry(1, started_ns=2 * S))])
    balancer.endpoints[failing].started_at = 0
    attempts_at_failing = 0
    for number in range(1, 12):
        actions = balancer.step(balancer.now + MS, [request(number, key=5)])
        while sends := only(actions, Send):
            attempts_at_failing += sends[0].endpoint == failing
            actions = balancer.step(balancer.now, [ended(sends[0], 0, Outcome.ERROR)])
    assert attempts_at_failing == 2


def test_request_is_not_retried_at_endpoint_that_failed_it_though_it_serves_others() -> None:
    # A success clears the endpoint's errors, but the request that it failed would fail there again.
    balancer = make_balancer(1)
    (send,) = only(balancer.step(2 * S, [request(1)]), Send)
    balancer.step(2 * S, [ended(send, 0, Outcome.ERROR)])
    (other,) = only(balancer.step(2 * S + MS, [request(2)]), Send)
    balancer.step(2 * S + 2 * MS, [ConnectionEstablished(2, 0, other.endpoint, MS)])
    assert not only(balancer.step(2 * S + 60 * MS, [TimerFired(TICK_TOKEN)]), Send)


def test_success_or_restart_resets_consecutive_errors() -> None:
    balancer = make_balancer(1)
    for number, event in ((1, "serves"), (2, "restarts")):
        (send,) = only(balancer.step(balancer.now + S, [request(number)]), Send)
        balancer.step(balancer.now, [ended(send, 0, Outcome.ERROR)])
        assert balancer.endpoints[endpoint(0)].consecutive_errors == 1
        if event == "serves":
            (next_send,) = only(balancer.step(balancer.now + S, [request(9)]), Send)
            balancer.step(balancer.now, [ConnectionEstablished(9, 0, next_send.endpoint, MS)])
        else:
            balancer.step(balancer.now, [listed(entry(0, started_ns=balancer.now))])
        assert balancer.endpoints[endpoint(0)].consecutive_errors == 0


@pytest.mark.parametrize("balancer_count", [1, 2, 5, 40])
def test_balancer_without_known_load_sends_its_share_to_endpoints_in_slow_start(balancer_count: int) -> None:
    # A process that took over while all endpoints were in slow start got no tokens, and each request waited
    # until its deadline.
    balancer = make_balancer(0, balancers=balancer_count, rules={"warmUpNs": 10_000 * S})
    balancer.step(2 * S, [listed(entry(1, started_ns=2 * S))])
    starting, overload_window_ns, served = (
        balancer.endpoints[endpoint(1)],
        balancer.settings.overload_window_ns,
        0,
    )
    for number in range(1, 80 * balancer_count + 1):
        actions = balancer.step(2 * S + number * overload_window_ns + number, [request(number, budget_ns=S)])
        served += len(only(actions, Send))
        for send in only(actions, Send):
            balancer.step(balancer.now, [ended(send, 0, Outcome.FULL, closed=True)])
            starting.ejected_until = 0
    # All balancers together send one per overload window, less the safety margin: 40 are expected.
    assert 25 <= served <= 55


@pytest.mark.parametrize(("source", "size"), [("nominal", 0.3), ("live", 4.0)])
def test_slow_start_capacity_follows_weight_source(source: str, size: float) -> None:
    balancer = make_balancer(0, weightSource=source)
    balancer.step(2 * S, [listed(entry(1, weight=4.0), entry(2, weight=4.0))])
    balancer.step(3 * S, [listed(entry(1, weight=0.3), entry(2, weight=0.3))])
    assert balancer.endpoints.capacity(balancer.endpoints[endpoint(1)]) == size
    assert balancer.ranking.candidates().total_capacity == 2 * size


def test_hot_restart_hands_over_connections_per_weight() -> None:
    old, new = make_balancer(2), make_balancer(2)
    old.ranking.connections_per_weight = 11.5
    import_state(new, LatencyEstimator(), export_state(old, LatencyEstimator()))
    assert new.ranking.connections_per_weight == 11.5


def test_slow_endpoints_in_slow_start_do_not_cause_load_shedding() -> None:
    # In a deploy most endpoints are in slow start and slow for some seconds: keys were rejected for ten
    # seconds after it.
    balancer = make_balancer(8)
    establish(balancer, 40, 4)
    balancer.step(4 * S, [listed(*(entry(n, started_ns=4 * S if n < 5 else 0) for n in range(8)))])
    slow_notes = [ConnectionNote(1, 0, endpoint(n), MESSAGE_TIME_NOTE, 90.0) for n in range(5)]
    balancer.step(5 * S, slow_notes)
    balancer.step(6 * S + MS, slow_notes)
    assert balancer.admission.load_shedding.admitted_share == 1.0
    warm_notes = [ConnectionNote(1, 0, endpoint(n), MESSAGE_TIME_NOTE, 90.0) for n in range(5, 8)]
    balancer.step(7 * S + 2 * MS, slow_notes + warm_notes)
    balancer.step(8 * S + 3 * MS, slow_notes + warm_notes)
    assert balancer.admission.load_shedding.admitted_share < 1.0


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
    """Return settings with every optional key except those at these paths."""
    raw = raw_settings(
        allowed={"probing": True},
        report={"columns": ["outstanding", "x0"], "how": "pull"},
        familyInfo={"tellsDelay": True, "groups": True},
        fees={"crossZone": 0.1},
        tenants=[{"name": "acme"}],
        zones=["a"],
    )
    for path in paths:
        *parents, last = path.split(".")
        (raw.get(parents[0], {}) if parents else raw).pop(last, None)
    return raw


@pytest.mark.parametrize("paths", [(), *((path,) for path in OPTIONAL), OPTIONAL])
@pytest.mark.parametrize("discovery", ["push", "ask"])
def test_requests_are_served_without_optional_settings(paths: tuple[str, ...], discovery: str) -> None:
    balancer = Balancer(Settings.parse({**without(*paths), "discovery": discovery}), 1)
    balancer.step(1 * S, [listed(*(entry(n) for n in range(8)))])
    served = 0
    for number in range(1, 41):
        actions = balancer.step(2 * S + number * MS, [request(number, group=1 + number % 3)])
        for check in only(actions, HealthCheck):
            actions += balancer.step(balancer.now, [HealthCheckResult(check.endpoint, Outcome.OK, MS, ())])
        for send in only(actions, Send):
            balancer.step(balancer.now, [ConnectionEstablished(number, 0, send.endpoint, MS)])
            served += 1
            # A message of 5 ms is slow in no deployment, whether or not an objective is configured.
            assert not only(
                balancer.step(
                    balancer.now, [ConnectionNote(number, 0, send.endpoint, MESSAGE_TIME_NOTE, 5.0)]
                ),
                Migrate,
            )
    assert served == 40
