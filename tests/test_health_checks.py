"""Health checks: when one is sent, and what its answer changes."""

from __future__ import annotations

import pytest
from conftest import MS, S
from routing_parts import Parts

from linnetshift.routing.actions import HealthCheck
from linnetshift.routing.endpoints import Endpoint
from linnetshift.routing.events import HealthCheckResult, Outcome

WITH_LOAD = {"allowed": {"probing": True}, "report": {"columns": ["outstanding", "x0"], "how": "pull"}}


def answer(parts: Parts, where: Endpoint, *report: float, outcome: int = Outcome.OK) -> float:
    parts.health_checks.check(where)
    return parts.health_checks.handle_result(where, HealthCheckResult(where.id, outcome, MS, report))


def test_no_second_check_is_sent_while_one_is_in_flight() -> None:
    parts = Parts(**WITH_LOAD)
    where = parts.endpoint(0)
    parts.health_checks.check(where)
    parts.health_checks.check(where)
    assert parts.context.actions == [HealthCheck(where.id)]
    parts.health_checks.handle_result(where, HealthCheckResult(where.id, Outcome.OK, MS, (1.0, 0.1)))
    parts.health_checks.check(where)
    assert len(parts.context.actions) == 2


def test_placement_waits_for_a_check_until_a_report_is_fresh_or_three_were_sent() -> None:
    parts = Parts(**WITH_LOAD)
    pending, where = parts.pending(1), parts.endpoint(0)
    assert parts.health_checks.check_before_placement(where, pending)
    parts.health_checks.handle_result(where, HealthCheckResult(where.id, Outcome.OK, MS, (1.0, 0.1)))
    parts.at(parts.context.now + 499 * MS)
    assert not parts.health_checks.check_before_placement(where, pending)
    parts.at(parts.context.now + MS)
    assert parts.health_checks.check_before_placement(where, pending)
    assert parts.health_checks.check_before_placement(parts.endpoint(1), pending)
    assert not parts.health_checks.check_before_placement(parts.endpoint(2), pending)


def test_placement_without_leave_to_check_or_beside_a_connection_does_not_wait() -> None:
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
def test_check_that_fails_ejects_unless_the_endpoint_had_too_many(
    outcome: Outcome, is_ejected: bool, is_overloaded: bool
) -> None:
    parts = Parts(**WITH_LOAD)
    where = parts.endpoint(0)
    assert answer(parts, where, outcome=outcome) == 0.0
    assert (where.ejected_until > 0, where.is_overloaded) == (is_ejected, is_overloaded)
    assert not where.health_check_sent_at


def test_load_over_the_maximum_advises_against_it_and_moves_part_of_the_excess() -> None:
    parts = Parts(**WITH_LOAD)
    loaded, well = parts.endpoint(0), parts.endpoint(1)
    assert answer(parts, loaded, 40.0, 1.5) == pytest.approx(0.3 * 0.75 / 1.5)
    assert answer(parts, well, 40.0, 0.84) == 0.0
    assert parts.health_checks.advises_against(loaded)
    assert not parts.health_checks.advises_against(well)
    parts.at(parts.context.now + 3 * S)
    assert not parts.health_checks.advises_against(loaded)


def test_sends_since_the_report_add_to_the_load() -> None:
    parts = Parts(**WITH_LOAD)
    where = parts.endpoint(0)
    for _ in range(40):
        answer(parts, where, 10.0, 0.8)
    assert parts.health_checks.load_per_connection == pytest.approx(0.08, rel=0.05)
    assert not parts.health_checks.advises_against(where)
    where.sends_since_report = 1
    assert parts.health_checks.advises_against(where)


@pytest.mark.parametrize("report", [(), (1.0,), (1.0, -1.0), (1.0, float("nan")), (1.0, 1e9)])
def test_damaged_report_is_an_answer_without_a_load(report: tuple[float, ...]) -> None:
    parts = Parts(**WITH_LOAD)
    where = parts.endpoint(0)
    assert answer(parts, where, *report) == 0.0
    assert where.load == 0.0
    assert where.load_reported_at == parts.context.now


def test_report_from_before_a_restart_is_not_taken() -> None:
    parts = Parts(**WITH_LOAD)
    where = parts.endpoint(0)
    where.started_at = parts.context.now + 1
    assert answer(parts, where, 40.0, 1.5) == 0.0
    assert where.load == 0.0


def test_check_without_an_answer_for_two_ticks_advises_against_the_endpoint() -> None:
    parts = Parts(**WITH_LOAD)
    where = parts.endpoint(0)
    parts.health_checks.check(where)
    parts.at(parts.context.now + 100 * MS)
    assert not parts.health_checks.advises_against(where)
    parts.at(parts.context.now + 1)
    assert parts.health_checks.advises_against(where)


def test_slow_answer_counts_as_slow_messages() -> None:
    parts = Parts(**WITH_LOAD)
    where = parts.endpoint(0)
    parts.health_checks.check(where)
    parts.health_checks.handle_result(where, HealthCheckResult(where.id, Outcome.OK, 40 * MS, ()))
    assert where.over_objective_until == parts.context.now + 2500 * MS
    assert where.message_latency_ns == 20 * MS


def test_checks_for_migration_need_credit_that_requests_earn() -> None:
    parts = Parts(**WITH_LOAD)
    assert not parts.health_checks.may_check_for_migration()
    parts.health_checks.earn_credit()
    for number in range(3):
        assert parts.health_checks.may_check_for_migration()
        parts.health_checks.check(parts.endpoint(number))
    assert not parts.health_checks.may_check_for_migration()
