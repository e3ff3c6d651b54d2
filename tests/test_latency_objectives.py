"""Two classes with aims far apart at one endpoint: each is placed, moved and shed by its own measure."""

from __future__ import annotations

from typing import Any

import pytest
from conftest import MS, S, balancer, endpoint, only, raw_settings, request

from linnetshift.routing.actions import Migrate, Send
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import SLOW_NOTE, ConnectionEstablished, ConnectionNote

STRICT, LOOSE = 0, 1


def two_classes() -> Balancer:
    base = raw_settings()["services"][0]
    services: list[dict[str, Any]] = [{**base, "name": "strict"}, {**base, "name": "loose"}]
    return balancer(8, services=services, familyInfo={"messageAimNs": [20 * MS, 400 * MS]})


def standing(node: Balancer, number: int, klass: int) -> bytes:
    (send,) = only(node.step(2 * S, [request(number, klass=klass, key=5)]), Send)
    node.step(2 * S, [ConnectionEstablished(number, 0, send.endpoint, MS)])
    where: bytes = send.endpoint
    return where


@pytest.mark.parametrize(
    ("ms", "strict_there", "loose_there"), [(5.0, True, True), (30.0, False, True), (300.0, False, False)]
)
def test_an_endpoint_is_passed_over_by_the_aim_of_the_class_that_asks(
    ms: float, strict_there: bool, loose_there: bool
) -> None:
    # A loose class was sent away from endpoints that served it well, by the aim of a strict one.
    node = two_classes()
    home = standing(node, 1, LOOSE)
    node.step(3 * S, [ConnectionNote(1, 0, home, SLOW_NOTE, ms)])
    assert (standing(node, 2, STRICT) == home) is strict_there
    assert (standing(node, 3, LOOSE) == home) is loose_there


def test_only_who_misses_its_own_aim_is_moved_and_shed() -> None:
    node = two_classes()
    home = standing(node, 1, LOOSE)
    for number in range(2, 40):
        standing(node, number, STRICT if number % 10 == 0 else LOOSE)
    moved = set()
    for turn in range(12):  # at 30 ms the strict are late, and the loose far from it
        for move in only(node.step((3 + turn) * S, [ConnectionNote(1, 0, home, SLOW_NOTE, 30.0)]), Migrate):
            moved.add(move.request_id)
    assert moved
    assert all(number % 10 == 0 for number in moved)
    assert node.admission.load_shedding.admitted_share == 1.0
    assert endpoint(0) in node.endpoints


def test_most_endpoints_late_for_most_that_stand_there_shed_keys() -> None:
    node = two_classes()
    numbers = {}
    for key in range(200):
        (send,) = only(node.step(2 * S, [request(key + 1, klass=LOOSE, key=key + 1)]), Send)
        node.step(2 * S, [ConnectionEstablished(key + 1, 0, send.endpoint, MS)])
        numbers[send.endpoint] = key + 1
    for ms, admits in ((300.0, True), (500.0, False)):
        for _ in range(3):
            notes = [ConnectionNote(number, 0, where, SLOW_NOTE, ms) for where, number in numbers.items()]
            node.step(node.now + S, list(notes))
        assert (node.admission.load_shedding.admitted_share == 1.0) is admits
