"""Export of what a balancer has learned, and its import by the successor process.

Stored keys never change, even where attributes are renamed, so that any two versions can hand over to each
other. A value of an unexpected type is taken for another version's: it is skipped and the rest is imported.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from linnetshift.routing.balancer import Balancer
from linnetshift.routing.endpoints import Endpoint

Value = TypeVar("Value", int, float, bool)


class StoredValues:
    """Reads one section of a stored state and collects the keys whose values have an unexpected type."""

    def __init__(self, section: str, values: Mapping[str, Any], rejected: list[str]) -> None:
        """`section` names these `values` in the keys appended to `rejected`, as `section.key`."""
        self._section = section
        self._values = values
        self._rejected = rejected

    def read(self, key: str, current: Value) -> Value:
        """The stored value; the current one where the key is missing or the types differ."""
        value = self._values.get(key)
        if isinstance(value, type(current)):
            return value
        if key in self._values:
            self._rejected.append(f"{self._section}.{key}")
        return current


def export_balancer_state(balancer: Balancer) -> dict[str, Any]:
    """The state under its stored keys, as JSON values, for `import_balancer_state`."""
    limit = balancer.lifecycle.concurrency_limit
    load_shedding = balancer.admission.load_shedding
    slow_start = balancer.slow_start
    return {
        "node": {
            "load_each": balancer.health_checks.load_per_connection,
            "each_fill": balancer.ranking.connections_per_weight,
        },
        "window": {
            "size": limit.limit,
            "failing": limit.failure_share,
            "cut_at": limit.decreased_at,
        },
        "shedding": {
            "admit": load_shedding.admitted_share,
            "at": load_shedding.reviewed_at,
            "jammed": load_shedding.is_congested,
        },
        "slow_start": {
            "fresh": slow_start.first_arrivals_per_s.value,
            "fresh_at": slow_start.first_arrivals_per_s.updated_at,
        },
        "bucket": {
            "level": slow_start.token_bucket.level,
            "at": slow_start.token_bucket.refilled_at_ns,
        },
        "hosts": {endpoint.id.hex(): _export_endpoint(endpoint) for endpoint in balancer.endpoints.values()},
    }


def import_balancer_state(balancer: Balancer, state: Mapping[str, Any]) -> list[str]:
    """Import a predecessor's state, once the list is known; endpoints that are not listed are skipped.

    Returns the keys whose values were skipped for an unexpected type. Raises KeyError where `hosts` or
    `node` is missing and ValueError where the id of an endpoint is not hexadecimal.
    """
    endpoints = {
        name: (balancer.endpoints.get(bytes.fromhex(name)), values) for name, values in state["hosts"].items()
    }
    rejected: list[str] = []
    _import_node(balancer, StoredValues("node", state["node"], rejected))
    # An earlier version stored the following sections elsewhere, so they may be missing.
    _import_concurrency_limit(balancer, StoredValues("window", state.get("window", {}), rejected))
    _import_slow_start(balancer, StoredValues("slow_start", state.get("slow_start", {}), rejected))
    _import_token_bucket(balancer, StoredValues("bucket", state.get("bucket", {}), rejected))
    _import_load_shedding(balancer, StoredValues("shedding", state.get("shedding", {}), rejected))
    for name, (endpoint, values) in endpoints.items():
        if endpoint is not None:
            _import_endpoint(endpoint, StoredValues(f"hosts.{name}", values, rejected))
    return rejected


def _import_node(balancer: Balancer, stored: StoredValues) -> None:
    health_checks = balancer.health_checks
    ranking = balancer.ranking
    health_checks.load_per_connection = stored.read("load_each", health_checks.load_per_connection)
    ranking.connections_per_weight = stored.read("each_fill", ranking.connections_per_weight)


def _import_concurrency_limit(balancer: Balancer, stored: StoredValues) -> None:
    limit = balancer.lifecycle.concurrency_limit
    limit.limit = stored.read("size", limit.limit)
    limit.failure_share = stored.read("failing", limit.failure_share)
    limit.decreased_at = stored.read("cut_at", limit.decreased_at)


def _import_slow_start(balancer: Balancer, stored: StoredValues) -> None:
    counter = balancer.slow_start.first_arrivals_per_s
    counter.value = stored.read("fresh", counter.value)
    counter.updated_at = stored.read("fresh_at", counter.updated_at)


def _import_token_bucket(balancer: Balancer, stored: StoredValues) -> None:
    bucket = balancer.slow_start.token_bucket
    bucket.level = stored.read("level", bucket.level)
    bucket.refilled_at_ns = stored.read("at", bucket.refilled_at_ns)


def _import_load_shedding(balancer: Balancer, stored: StoredValues) -> None:
    load_shedding = balancer.admission.load_shedding
    load_shedding.admitted_share = stored.read("admit", load_shedding.admitted_share)
    load_shedding.reviewed_at = stored.read("at", load_shedding.reviewed_at)
    load_shedding.is_congested = stored.read("jammed", load_shedding.is_congested)


def _export_endpoint(endpoint: Endpoint) -> dict[str, Any]:
    return {
        "hot_until": endpoint.over_objective_until,
        "slow_ns": endpoint.message_latency_ns,
        "late_until": endpoint.majority_over_objective_until,
        "avoid_until": endpoint.ejected_until,
        "spell": endpoint.ejection_time_ns,
        "overload": endpoint.is_overloaded,
        "struck_at": endpoint.ejected_at,
        "good_at": endpoint.last_established_at,
        "faults": endpoint.consecutive_errors,
    }


def _import_endpoint(endpoint: Endpoint, stored: StoredValues) -> None:
    endpoint.over_objective_until = stored.read("hot_until", endpoint.over_objective_until)
    endpoint.message_latency_ns = stored.read("slow_ns", endpoint.message_latency_ns)
    endpoint.majority_over_objective_until = stored.read("late_until", endpoint.majority_over_objective_until)
    endpoint.ejected_until = stored.read("avoid_until", endpoint.ejected_until)
    endpoint.ejection_time_ns = stored.read("spell", endpoint.ejection_time_ns)
    endpoint.is_overloaded = stored.read("overload", endpoint.is_overloaded)
    endpoint.ejected_at = stored.read("struck_at", endpoint.ejected_at)
    endpoint.last_established_at = stored.read("good_at", endpoint.last_established_at)
    endpoint.consecutive_errors = stored.read("faults", endpoint.consecutive_errors)
