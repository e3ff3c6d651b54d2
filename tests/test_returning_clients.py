"""How likely a returning client was dropped."""

from __future__ import annotations

import pytest
from conftest import S

from linnetshift.routing.returning_clients import ReturningClients


def test_probability_is_the_share_of_drops_among_returns() -> None:
    made = ReturningClients()
    assert made.record_return(1 * S) == 0.0
    made.record_drop(1 * S)
    assert made.record_return(1 * S) == pytest.approx(0.3 / 2)
    for _ in range(9):
        made.record_drop(1 * S)
    assert made.record_return(1 * S) == pytest.approx(0.3)  # not more, however many drops


def test_both_counts_fall_at_the_same_times() -> None:
    made = ReturningClients()
    made.record_drop(1 * S)
    made.record_return(6 * S)
    assert (made.drops.value, made.returns.value) == (0.5, 1.0)
    made.record_drop(11 * S)
    assert (made.drops.value, made.returns.value) == (1.25, 0.5)
    assert made.record_return(21 * S) == 0.0
