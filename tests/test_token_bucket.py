"""Token bucket: burst, refill, and the state taken over by a replacement."""

from __future__ import annotations

import pytest
from conftest import MS, S

from linnetshift.util.token_bucket import TokenBucket


def test_full_bucket_allows_a_burst_and_then_its_rate() -> None:
    bucket = TokenBucket(rate_per_s=4.0, capacity=2.0)
    for _ in range(2):
        assert bucket.wait_ns(1 * S) == 0
        assert bucket.take() == 1.0
    assert bucket.wait_ns(1 * S) == 250 * MS
    assert bucket.wait_ns(1 * S + 250 * MS) == 0


def test_accrued_tokens_do_not_exceed_the_capacity() -> None:
    bucket = TokenBucket(rate_per_s=4.0, capacity=2.0, level=0.0)
    bucket.refill(100 * S)
    assert bucket.level == 2.0


def test_empty_bucket_fills_from_the_time_of_its_creation() -> None:
    bucket = TokenBucket(rate_per_s=4.0, capacity=2.0, level=0.0, refilled_at_ns=5 * S)
    bucket.refill(5 * S + 125 * MS)
    assert bucket.take() == 0.5
    assert bucket.take() == 0.0


@pytest.mark.parametrize("level", [0.25, 1.0, 1.5])
def test_replacement_bucket_continues_from_the_level_of_the_former_one(level: float) -> None:
    former = TokenBucket(rate_per_s=1.0, capacity=2.0, level=level, refilled_at_ns=3 * S)
    later = TokenBucket(rate_per_s=9.0, capacity=9.0)
    later.continue_from(former)
    assert (later.level, later.refilled_at_ns) == (level, 3 * S)
    assert (later.rate_per_s, later.capacity) == (9.0, 9.0)
