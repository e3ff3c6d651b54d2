"""Load shedding: the admitted share of the keys."""

from __future__ import annotations

import pytest
from conftest import S, request
from routing_parts import Parts

from linnetshift.routing.load_shedding import LoadShedding


@pytest.mark.parametrize(
    ("over_objective", "before", "after", "is_congested"),
    [(5, 1.0, 0.65, True), (4, 0.5, 0.5, False), (1, 0.5, 0.55, False), (10, 0.25, 0.2, True)],
)
def test_review_adapts_the_share_to_the_endpoints_over_their_objectives(
    over_objective: int, before: float, after: float, is_congested: bool
) -> None:
    load_shedding = LoadShedding(before)
    load_shedding.review(9 * S, over_objective, 10)
    assert load_shedding.admitted_share == pytest.approx(after)
    assert (load_shedding.is_congested, load_shedding.reviewed_at) == (is_congested, 9 * S)
    assert load_shedding.is_at_minimum is (after == 0.2)


def test_review_is_due_once_a_second() -> None:
    load_shedding = LoadShedding(reviewed_at=5 * S)
    assert not load_shedding.is_review_due(6 * S - 1)
    assert load_shedding.is_review_due(6 * S)


def test_share_recovers_only_while_few_enough_endpoints_are_over_their_objectives() -> None:
    for over_objective, share in ((3, 0.55), (4, 0.5)):
        load_shedding = LoadShedding(0.5)
        load_shedding.review(9 * S, over_objective, 20)
        assert load_shedding.admitted_share == pytest.approx(share)


def test_a_single_slow_endpoint_does_not_cause_shedding() -> None:
    load_shedding = LoadShedding()
    load_shedding.review(1 * S, 1, 1)
    assert load_shedding.admitted_share == 1.0


def test_admitted_keys_stay_admitted_as_the_share_grows() -> None:
    keys = [n * 0x9E3779B97F4A7C15 % (1 << 64) for n in range(1, 2001)]
    half = {key for key in keys if LoadShedding(0.5).admits_key(key)}
    more = {key for key in keys if LoadShedding(0.7).admits_key(key)}
    assert half < more
    assert 900 < len(half) < 1100
    assert all(LoadShedding().admits_key(key) for key in keys)


def test_requests_of_one_group_are_all_admitted_or_all_shed() -> None:
    parts = Parts()
    parts.admission.load_shedding.admitted_share = 0.5
    for group in range(1, 20):
        assert len({parts.admission.admits(request(n, group=group)) for n in range(10)}) == 1


def test_review_counts_endpoints_in_use_that_are_warm() -> None:
    parts = Parts(endpoints=6)
    for number in range(3):
        parts.endpoint(number).majority_over_objective_until = 99 * S
    for number in range(3, 6):
        parts.endpoint(number).started_at = 9 * S
    parts.begin_step(9 * S)
    parts.admission.review()
    assert parts.admission.load_shedding.is_congested
    parts.begin_step(30 * S)
    for number in range(2):
        parts.endpoint(number).majority_over_objective_until = 30 * S
    parts.admission.review()
    assert not parts.admission.load_shedding.is_congested
