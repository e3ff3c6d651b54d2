"""Estimated probability that a returning client was dropped."""

from __future__ import annotations

import pytest
from conftest import S

from linnetshift.routing.returning_clients import ReturningClients


def test_probability_follows_the_ratio_of_drops_to_returns_up_to_its_maximum() -> None:
    returning_clients = ReturningClients()
    assert returning_clients.record_return(1 * S) == 0.0
    returning_clients.record_drop(1 * S)
    assert returning_clients.record_return(1 * S) == pytest.approx(0.3 / 2)
    for _ in range(9):
        returning_clients.record_drop(1 * S)
    assert returning_clients.record_return(1 * S) == pytest.approx(0.3)  # not more, however many drops


def test_both_counters_decay_when_either_changes() -> None:
    returning_clients = ReturningClients()
    returning_clients.record_drop(1 * S)
    returning_clients.record_return(6 * S)
    assert (returning_clients.drops.value, returning_clients.returns.value) == (0.5, 1.0)
    returning_clients.record_drop(11 * S)
    assert (returning_clients.drops.value, returning_clients.returns.value) == (1.25, 0.5)
    assert returning_clients.record_return(21 * S) == 0.0
