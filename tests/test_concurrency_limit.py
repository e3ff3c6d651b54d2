"""Concurrency limit of set-ups: additive increase, multiplicative decrease."""

from __future__ import annotations

import pytest
from conftest import MS, S

from linnetshift.routing.concurrency_limit import INITIAL_LIMIT, MIN_LIMIT, ConcurrencyLimit


def test_fast_set_ups_raise_the_limit_up_to_its_maximum() -> None:
    concurrency_limit = ConcurrencyLimit()
    for _ in range(5):
        concurrency_limit.record_setup(1 * S, 400 * MS, 199 * MS, has_failed=False, max_limit=11.0)
    assert concurrency_limit.limit == 11.0


def test_set_ups_neither_fast_nor_slow_leave_the_limit_unchanged() -> None:
    concurrency_limit = ConcurrencyLimit()
    concurrency_limit.record_setup(1 * S, 400 * MS, 200 * MS, has_failed=False, max_limit=100.0)
    concurrency_limit.record_setup(1 * S, 400 * MS, 400 * MS, has_failed=False, max_limit=100.0)
    assert (concurrency_limit.limit, concurrency_limit.failure_share) == (INITIAL_LIMIT, 0.0)


def test_failures_lower_the_limit_once_per_objective_and_not_below_the_minimum() -> None:
    concurrency_limit = ConcurrencyLimit()
    for _ in range(10):
        concurrency_limit.record_setup(1 * S, 400 * MS, 1, has_failed=True, max_limit=100.0)
    assert concurrency_limit.is_congested
    assert concurrency_limit.limit == pytest.approx(INITIAL_LIMIT * 0.7)
    for second in range(20):
        concurrency_limit.record_setup((2 + second) * S, 400 * MS, 1, True, 100.0)
    assert concurrency_limit.limit == MIN_LIMIT


def test_limit_increases_slowly_while_some_set_ups_fail() -> None:
    concurrency_limit = ConcurrencyLimit()
    concurrency_limit.failure_share = 0.3
    assert concurrency_limit.is_congested
    concurrency_limit.failure_share = 0.2
    assert not concurrency_limit.is_congested
    concurrency_limit.record_setup(1 * S, 400 * MS, 1, has_failed=False, max_limit=100.0)
    assert concurrency_limit.limit == INITIAL_LIMIT + 1.0 / INITIAL_LIMIT
