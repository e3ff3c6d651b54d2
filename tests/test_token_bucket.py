"""The token bucket on the caller's clock."""

from __future__ import annotations

from conftest import S

from linnetshift.util.token_bucket import TokenBucket


def test_refill_adds_the_rate_and_stops_at_the_depth() -> None:
    bucket = TokenBucket()
    bucket.refill(2.0, 5.0, 1 * S)
    assert bucket.level == 2.0
    bucket.refill(2.0, 5.0, 9 * S)
    assert (bucket.level, bucket.refilled_at) == (5.0, 9 * S)


def test_part_of_a_token_is_spent_whether_or_not_the_draw_succeeds() -> None:
    for draw, has_token in ((0.2, True), (0.3, False)):
        bucket = TokenBucket(0.25)
        assert bucket.take(draw) is has_token
        assert bucket.level == 0.0
