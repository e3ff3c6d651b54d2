"""Placement, migration and load shedding of two classes, each by its own latency objective."""

from __future__ import annotations

from typing import Any

import pytest
from conftest import MS, S, endpoint, only, raw_settings, request
from conftest import balancer as make_balancer

from linnetshift.routing.actions import Migrate, Send
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import MESSAGE_TIME_NOTE, ConnectionEstablished, ConnectionNote

STRICT, LOOSE = 0, 1


def balancer_with_two_classes() -> Balancer:
    base = raw_settings()["services"][0]
    services: list[dict[str, Any]] = [{**base, "name": "strict"}, {**base, "name": "loose"}]
    return make_balancer(8, services=services, familyInfo={"messageAimNs": [20 * MS, 400 * MS]})


def establish(balancer: Balancer, number: int, class_number: int) -> bytes:
    (send,) = only(balancer.step(2 * S, [request(number, class_number=class_number, key=5)]), Send)
    balancer.step(2 * S, [ConnectionEstablished(number, 0, send.endpoint, MS)])
    endpoint_id: bytes = send.endpoint
    return endpoint_id


@pytest.mark.parametrize(
    ("message_time_ms", "strict_placed", "loose_placed"),
    [(5.0, True, True), (30.0, False, True), (300.0, False, False)],
)
def test_slow_endpoint_is_avoided_only_by_classes_whose_objective_it_misses(
    message_time_ms: float, strict_placed: bool, loose_placed: bool
) -> None:
    # Fault: a loose class avoided endpoints within its objective, due to the objective of a strict one.
    balancer = balancer_with_two_classes()
    home = establish(balancer, 1, LOOSE)
    balancer.step(3 * S, [ConnectionNote(1, 0, home, MESSAGE_TIME_NOTE, message_time_ms)])
    assert (establish(balancer, 2, STRICT) == home) is strict_placed
    assert (establish(balancer, 3, LOOSE) == home) is loose_placed


def test_only_class_over_its_objective_is_migrated() -> None:
    balancer = balancer_with_two_classes()
    home = establish(balancer, 1, LOOSE)
    for number in range(2, 40):
        establish(balancer, number, STRICT if number % 10 == 0 else LOOSE)
    migrated: set[int] = set()
    for second in range(3, 15):
        # Over the strict objective (20 ms), far below the loose one (400 ms).
        actions = balancer.step(second * S, [ConnectionNote(1, 0, home, MESSAGE_TIME_NOTE, 30.0)])
        migrated.update(migration.request_id for migration in only(actions, Migrate))
    assert migrated
    assert all(number % 10 == 0 for number in migrated)
    assert balancer.admission.load_shedding.admitted_share == 1.0
    assert endpoint(0) in balancer.endpoints


def test_load_is_shed_once_most_endpoints_are_over_the_objective() -> None:
    balancer = balancer_with_two_classes()
    request_ids = {}
    for key in range(200):
        (send,) = only(balancer.step(2 * S, [request(key + 1, class_number=LOOSE, key=key + 1)]), Send)
        balancer.step(2 * S, [ConnectionEstablished(key + 1, 0, send.endpoint, MS)])
        request_ids[send.endpoint] = key + 1
    for message_time_ms, admits_all in ((300.0, True), (500.0, False)):
        for _ in range(3):
            notes = [
                ConnectionNote(request_id, 0, endpoint_id, MESSAGE_TIME_NOTE, message_time_ms)
                for endpoint_id, request_id in request_ids.items()
            ]
            balancer.step(balancer.now + S, list(notes))
        assert (balancer.admission.load_shedding.admitted_share == 1.0) is admits_all
