"""Stored keys of a balancer's state, and values of another version's types."""

from __future__ import annotations

import json

import pytest
from conftest import S, balancer, endpoint

from linnetshift.routing.snapshot import export_balancer_state, import_balancer_state

NAME = endpoint(0).hex()
STATE = {
    "node": {"load_each": 0.25, "each_fill": 11.5},
    "window": {"size": 5.0, "failing": 0.5, "cut_at": 3},
    "shedding": {"admit": 0.75, "at": 4, "jammed": True},
    "slow_start": {"fresh": 2.5, "fresh_at": 5},
    "bucket": {"level": 0.5, "at": 6},
    "hosts": {
        NAME: {
            "hot_until": 10,
            "slow_ns": 11,
            "late_until": 12,
            "avoid_until": 13,
            "spell": 14,
            "overload": True,
            "struck_at": 15,
            "good_at": 16,
            "faults": 1,
        }
    },
}


def test_state_is_imported_and_exported_under_the_stored_keys() -> None:
    restored = balancer(1)
    assert import_balancer_state(restored, STATE) == []
    assert json.loads(json.dumps(export_balancer_state(restored))) == STATE
    target = restored.endpoints[endpoint(0)]
    assert (target.ejected_until, target.ejection_time_ns, target.is_overloaded) == (13, 14, True)
    assert restored.slow_start.first_arrivals_per_s.value == 2.5
    assert restored.lifecycle.concurrency_limit.limit == 5.0


def test_values_of_another_type_are_skipped_and_reported_and_the_rest_is_imported() -> None:
    restored = balancer(1)
    damaged = {
        **STATE,
        "window": {"size": "wide", "failing": 0.5},
        "hosts": {NAME: {"spell": 1.5, "avoid_until": 9 * S}, "00": {"spell": "x"}},
    }
    assert import_balancer_state(restored, damaged) == ["window.size", f"hosts.{NAME}.spell"]
    target = restored.endpoints[endpoint(0)]
    assert (target.ejected_until, target.ejection_time_ns) == (9 * S, 0)
    limit = restored.lifecycle.concurrency_limit
    assert (limit.limit, limit.failure_share, limit.decreased_at) == (1e9, 0.5, 0)


def test_sections_that_an_earlier_version_did_not_write_may_be_missing() -> None:
    restored = balancer(1)
    assert import_balancer_state(restored, {"node": {}, "hosts": {}}) == []
    for missing in ("node", "hosts"):
        with pytest.raises(KeyError):
            import_balancer_state(restored, {key: {} for key in ("node", "hosts") if key != missing})
