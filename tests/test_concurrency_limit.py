"""The limit of set-ups in flight: additive increase, multiplicative decrease."""

from __future__ import annotations

import pytest
from conftest import MS, S

from linnetshift.routing.concurrency_limit import INITIAL_LIMIT, MIN_LIMIT, ConcurrencyLimit


def test_swift_set_ups_raise_the_limit_up_to_its_maximum() -> None:
    made = ConcurrencyLimit()
    for _ in range(5):
        made.record_setup(1 * S, 400 * MS, 199 * MS, False, 11.0)
    assert made.limit == 11.0


def test_set_ups_between_swift_and_slow_leave_the_limit_alone() -> None:
    made = ConcurrencyLimit()
    made.record_setup(1 * S, 400 * MS, 200 * MS, False, 100.0)
    made.record_setup(1 * S, 400 * MS, 400 * MS, False, 100.0)
    assert (made.limit, made.failure_share) == (INITIAL_LIMIT, 0.0)


def test_failures_lower_the_limit_once_an_objective_and_not_below_the_minimum() -> None:
    made = ConcurrencyLimit()
    for _ in range(10):
        made.record_setup(1 * S, 400 * MS, 1, True, 100.0)
    assert made.is_congested
    assert made.limit == pytest.approx(INITIAL_LIMIT * 0.7)
    for turn in range(20):
        made.record_setup((2 + turn) * S, 400 * MS, 1, True, 100.0)
    assert made.limit == MIN_LIMIT


def test_limit_grows_slowly_while_set_ups_still_fail() -> None:
    made = ConcurrencyLimit()
    made.failure_share = 0.3
    assert made.is_congested
    made.failure_share = 0.2
    assert not made.is_congested
    made.record_setup(1 * S, 400 * MS, 1, False, 100.0)
    assert made.limit == INITIAL_LIMIT + 1.0 / INITIAL_LIMIT
