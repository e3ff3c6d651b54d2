"""Health checks: when one is sent, and the effect of its result."""

from __future__ import annotations

from typing import Any

import pytest
from conftest import MS, S
from routing_parts import Parts

from linnetshift.routing.actions import HealthCheck
from linnetshift.routing.endpoints import Endpoint
from linnetshift.routing.events import HealthCheckResult, Outcome

WITH_LOAD: dict[str, Any] = {
    "allowed": {"probing": True},
    "report": {"columns": ["outstanding", "x0"], "how": "pull"},
}


def check_with_result(parts: Parts, endpoint: Endpoint, *report: float, outcome: int = Outcome.OK) -> float:
    parts.health_checks.check(endpoint)
    return parts.health_checks.handle_result(endpoint, HealthCheckResult(endpoint.id, outcome, MS, report))


def test_no_second_check_is_sent_while_one_is_in_flight() -> None:
    parts = Parts(**WITH_LOAD)
    endpoint = parts.endpoint(0)
    parts.health_checks.check(endpoint)
    parts.health_checks.check(endpoint)
    assert parts.context.actions == [HealthCheck(endpoint.id)]
    parts.health_checks.handle_result(endpoint, HealthCheckResult(endpoint.id, Outcome.OK, MS, (1.0, 0.1)))
    parts.health_checks.check(endpoint)
    assert len(parts.context.actions) == 2


def test_placement_waits_for_a_check_until_a_report_is_recent_or_three_were_sent() -> None:
    parts = Parts(**WITH_LOAD)
    pending, endpoint = parts.pending(1), parts.endpoint(0)
    assert parts.health_checks.check_before_placement(endpoint, pending)
    parts.health_checks.handle_result(endpoint, HealthCheckResult(endpoint.id, Outcome.OK, MS, (1.0, 0.1)))
    parts.begin_step(parts.context.now + 499 * MS)
    assert not parts.health_checks.check_before_placement(endpoint, pending)
    parts.begin_step(parts.context.now + MS)
    assert parts.health_checks.check_before_placement(endpoint, pending)
    assert parts.health_checks.check_before_placement(parts.endpoint(1), pending)
    assert not parts.health_checks.check_before_placement(parts.endpoint(2), pending)


def test_placement_does_not_wait_where_checks_are_not_allowed_or_a_connection_is_up() -> None:
    parts = Parts()
    assert not parts.health_checks.check_before_placement(parts.endpoint(0), parts.pending(1))
    parts = Parts(allowed={"probing": True})
    parts.connection(1, parts.endpoint(0))
    assert not parts.health_checks.check_before_placement(parts.endpoint(0), parts.pending(2))
    assert parts.health_checks.check_before_placement(parts.endpoint(1), parts.pending(3))


@pytest.mark.parametrize(
    ("outcome", "is_ejected", "is_overloaded"),
    [(Outcome.FULL, False, False), (Outcome.TIMEOUT, True, True), (Outcome.CONNECT_FAILED, True, False)],
)
def test_failed_check_ejects_the_endpoint_unless_too_many_checks_caused_it(
    outcome: Outcome, is_ejected: bool, is_overloaded: bool
) -> None:
    parts = Parts(**WITH_LOAD)
    endpoint = parts.endpoint(0)
    assert check_with_result(parts, endpoint, outcome=outcome) == 0.0
    assert (endpoint.ejected_until > 0, endpoint.is_overloaded) == (is_ejected, is_overloaded)
    assert not endpoint.health_check_sent_at


def test_endpoint_over_the_maximum_load_is_avoided_and_part_of_the_excess_migrates() -> None:
    parts = Parts(**WITH_LOAD)
    loaded, healthy = parts.endpoint(0), parts.endpoint(1)
    assert check_with_result(parts, loaded, 40.0, 1.5) == pytest.approx(0.3 * 0.75 / 1.5)
    assert check_with_result(parts, healthy, 40.0, 0.84) == 0.0
    assert parts.health_checks.should_avoid(loaded)
    assert not parts.health_checks.should_avoid(healthy)
    parts.begin_step(parts.context.now + 3 * S)
    assert not parts.health_checks.should_avoid(loaded)


def test_sends_since_the_report_add_to_the_reported_load() -> None:
    parts = Parts(**WITH_LOAD)
    endpoint = parts.endpoint(0)
    for _ in range(40):
        check_with_result(parts, endpoint, 10.0, 0.8)
    assert parts.health_checks.load_per_connection == pytest.approx(0.08, rel=0.05)
    assert not parts.health_checks.should_avoid(endpoint)
    endpoint.sends_since_load_change = 1
    assert parts.health_checks.should_avoid(endpoint)


@pytest.mark.parametrize("report", [(), (1.0,), (1.0, -1.0), (1.0, float("nan")), (1.0, 1e9)])
def test_invalid_report_counts_as_a_result_without_a_load(report: tuple[float, ...]) -> None:
    parts = Parts(**WITH_LOAD)
    endpoint = parts.endpoint(0)
    assert check_with_result(parts, endpoint, *report) == 0.0
    assert endpoint.load == 0.0
    assert endpoint.load_reported_at == parts.context.now


def test_load_report_is_ignored_when_the_endpoint_restarted_since_the_check() -> None:
    parts = Parts(**WITH_LOAD)
    endpoint = parts.endpoint(0)
    endpoint.started_at = parts.context.now + 1
    assert check_with_result(parts, endpoint, 40.0, 1.5) == 0.0
    assert endpoint.load == 0.0


def test_endpoint_is_avoided_when_a_check_has_no_result_for_over_two_ticks() -> None:
    parts = Parts(**WITH_LOAD)
    endpoint = parts.endpoint(0)
    parts.health_checks.check(endpoint)
    parts.begin_step(parts.context.now + 100 * MS)
    assert not parts.health_checks.should_avoid(endpoint)
    parts.begin_step(parts.context.now + 1)
    assert parts.health_checks.should_avoid(endpoint)


def test_slow_result_marks_the_endpoint_as_slow() -> None:
    parts = Parts(**WITH_LOAD)
    endpoint = parts.endpoint(0)
    parts.health_checks.check(endpoint)
    parts.health_checks.handle_result(endpoint, HealthCheckResult(endpoint.id, Outcome.OK, 40 * MS, ()))
    assert endpoint.over_objective_until == parts.context.now + 2500 * MS
    assert endpoint.message_latency_ns == 20 * MS


def test_checks_for_migration_use_the_budget_that_requests_add_to() -> None:
    parts = Parts(**WITH_LOAD)
    assert not parts.health_checks.may_check_for_migration()
    parts.health_checks.increase_budget()
    for number in range(3):
        assert parts.health_checks.may_check_for_migration()
        parts.health_checks.check(parts.endpoint(number))
    assert not parts.health_checks.may_check_for_migration()
