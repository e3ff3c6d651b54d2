"""Message latency reports: avoidance, migration, notices to peers, load shedding."""

from __future__ import annotations

import pytest
from conftest import MS, S, raw_settings
from routing_parts import Parts

from linnetshift.routing.actions import ALL_PEERS, HealthCheck, Migrate, SendPeerMessage
from linnetshift.routing.message_latency import MessageLatency, share_to_migrate

OBJECTIVE_NS = 60 * MS  # of raw_settings


def make_message_latency(parts: Parts) -> MessageLatency:
    return MessageLatency(parts.context, parts.admission, parts.health_checks, parts.migration)


@pytest.mark.parametrize(
    ("latency_ms", "share"), [(39, 0.0), (40, 0.05), (59, 0.05), (60, 0.13), (200, 0.2), (5000, 0.4)]
)
def test_share_to_migrate_grows_with_the_queued_work(latency_ms: int, share: float) -> None:
    assert share_to_migrate(latency_ms * MS, OBJECTIVE_NS) == pytest.approx(share)


@pytest.mark.parametrize(
    ("latency_ms", "is_slow", "is_over"), [(19, False, False), (20, True, False), (60, True, True)]
)
def test_endpoint_is_slow_from_a_third_of_the_objective_and_over_it_from_the_objective_on(
    latency_ms: int, is_slow: bool, is_over: bool
) -> None:
    parts = Parts()
    endpoint = parts.endpoint(0)
    make_message_latency(parts).handle_report(endpoint, latency_ms * MS)
    until = parts.context.now + 2500 * MS
    assert endpoint.over_objective_until == (until if is_slow else 0)
    assert endpoint.majority_over_objective_until == (until if is_over else 0)
    assert endpoint.message_latency_ns == latency_ms * MS


def test_fast_messages_clear_a_slow_endpoint_and_migrate_no_connection() -> None:
    parts = Parts()
    endpoint = parts.endpoint(0)
    parts.connection(1, endpoint)
    make_message_latency(parts).handle_report(endpoint, 59 * MS)
    parts.begin_step(2 * S)
    make_message_latency(parts).handle_report(endpoint, 1 * MS)
    assert endpoint.over_objective_until == 0
    assert parts.context.actions == []


def test_health_check_precedes_migration_where_endpoints_report_their_load() -> None:
    parts = Parts(allowed={"probing": True}, report={"columns": ["outstanding", "x0"], "how": "pull"})
    endpoint = parts.endpoint(0)
    for number in range(1, 41):
        parts.connection(number, endpoint)
    parts.health_checks.increase_budget()
    make_message_latency(parts).handle_report(endpoint, 500 * MS)
    assert parts.context.actions == [HealthCheck(endpoint.id)]
    without_load = Parts()
    endpoint = without_load.endpoint(0)
    for number in range(1, 41):
        without_load.connection(number, endpoint)
    make_message_latency(without_load).handle_report(endpoint, 500 * MS)
    assert {type(action) for action in without_load.context.actions} == {Migrate}


def test_peers_are_notified_of_slow_messages_without_their_latency() -> None:
    parts = Parts(balancers=1, allowed={"peerMessages": True})
    endpoint = parts.endpoint(0)
    make_message_latency(parts).handle_report(endpoint, 30 * MS)
    assert parts.context.actions == [SendPeerMessage(ALL_PEERS, b"h" + endpoint.id)]
    make_message_latency(parts).handle_peer_report(parts.endpoint(1))
    assert parts.endpoint(1).over_objective_until == parts.context.now + 2500 * MS
    assert parts.endpoint(1).message_latency_ns == 0


def test_slow_messages_at_most_endpoints_shed_load() -> None:
    parts = Parts()
    message_latency = make_message_latency(parts)
    for second in range(2):
        parts.begin_step((10 + second) * S)
        for endpoint in parts.endpoints.values():
            message_latency.handle_report(endpoint, 90 * MS)
    assert parts.admission.load_shedding.admitted_share == 0.65


def test_majority_is_over_the_objective_when_half_of_the_connections_miss_theirs() -> None:
    base = raw_settings()["services"][0]
    services = [{**base, "name": "strict"}, {**base, "name": "loose"}]
    parts = Parts(services=services, familyInfo={"messageAimNs": [20 * MS, 400 * MS]})
    endpoint = parts.endpoint(0)
    for number in (1, 2):
        parts.connection(number, endpoint).request_class = parts.context.settings.classes[number - 1]
    make_message_latency(parts).handle_report(endpoint, 30 * MS)
    assert endpoint.majority_over_objective_until
    parts.connection(3, endpoint).request_class = parts.context.settings.classes[1]
    make_message_latency(parts).handle_report(endpoint, 30 * MS)
    assert not endpoint.majority_over_objective_until
