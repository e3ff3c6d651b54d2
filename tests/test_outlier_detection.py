"""Ejection of failing endpoints and of whole zones."""

from __future__ import annotations

import pytest
from conftest import MS, S
from routing_parts import Parts

from linnetshift.routing.endpoints import NO_REQUEST
from linnetshift.routing.events import Outcome

FIRST_NS = 800 * MS  # four connect timeouts


def test_ejection_time_doubles_with_repeated_failures_and_is_reset_after_a_pause() -> None:
    parts = Parts()
    failing = parts.endpoint(0)
    times = []
    for _ in range(6):
        parts.outlier_detection.record_failure(failing, is_overload=False)
        times.append(failing.ejection_time_ns)
        assert 0.75 <= (failing.ejected_until - parts.context.now) / failing.ejection_time_ns <= 1.25
        parts.begin_step(failing.ejected_until)
    assert times == [FIRST_NS, 2 * FIRST_NS, 4 * FIRST_NS, 8 * FIRST_NS, 10 * S, 10 * S]
    parts.begin_step(failing.ejected_until + 2 * failing.ejection_time_ns)
    parts.outlier_detection.record_failure(failing, is_overload=False)
    assert failing.ejection_time_ns == FIRST_NS


def test_failure_while_ejected_neither_extends_the_ejection_nor_marks_an_overload() -> None:
    parts = Parts()
    failing = parts.endpoint(0)
    parts.outlier_detection.record_failure(failing, is_overload=True)
    until = failing.ejected_until
    parts.outlier_detection.record_failure(failing, is_overload=True)
    assert failing.is_overloaded
    parts.outlier_detection.record_failure(failing, is_overload=False)
    assert not failing.is_overloaded
    assert failing.ejected_until == until


@pytest.mark.parametrize(
    ("outcome", "was_established", "is_ejected", "is_overloaded"),
    [
        (Outcome.FULL, False, True, True),
        (Outcome.RESET, True, True, True),
        (Outcome.RESET, False, True, False),
        (Outcome.CONNECT_FAILED, False, True, False),
        (Outcome.TIMEOUT, False, True, False),
        (Outcome.TIMEOUT, True, False, False),
        (Outcome.CANCELLED, False, False, False),
        (Outcome.OK, True, False, False),
    ],
)
def test_endpoint_is_ejected_by_outcomes_that_show_a_fault_or_overload(
    outcome: Outcome, was_established: bool, is_ejected: bool, is_overloaded: bool
) -> None:
    parts = Parts()
    endpoint = parts.endpoint(0)
    parts.outlier_detection.record_outcome(endpoint, outcome, was_established)
    assert (endpoint.ejected_until > 0, endpoint.is_overloaded) == (is_ejected, is_overloaded)


def test_second_error_in_a_row_ejects_and_errors_of_one_request_count_once() -> None:
    parts = Parts()
    endpoint = parts.endpoint(0)
    parts.outlier_detection.record_error(endpoint, is_first_of_request=True)
    parts.outlier_detection.record_error(endpoint, is_first_of_request=False)
    assert not endpoint.ejected_until
    parts.outlier_detection.record_error(endpoint, is_first_of_request=True)
    assert endpoint.ejected_until


def test_zone_is_ejected_when_three_of_its_endpoints_are_down_and_fewer_work() -> None:
    parts = Parts(endpoints=15)
    parts.begin_step(100 * S)
    zone = [e for e in parts.endpoints.values() if e.zone == 0]
    for failing in zone[:2]:
        parts.outlier_detection.record_failure(failing, is_overload=False)
    assert not any(e.ejected_until for e in zone[2:])
    parts.outlier_detection.record_failure(zone[2], is_overload=False)
    assert all(e.ejected_until == zone[2].ejected_until for e in zone[3:])
    assert not any(e.ejected_until for e in parts.endpoints.values() if e.zone)


def test_zone_is_not_ejected_while_as_many_of_its_endpoints_work_as_are_down() -> None:
    parts = Parts(endpoints=21)
    parts.begin_step(100 * S)
    zone = [e for e in parts.endpoints.values() if e.zone == 0]
    for working in zone[3:6]:
        working.last_established_at = parts.context.now
    for failing in zone[:3]:
        parts.outlier_detection.record_failure(failing, is_overload=False)
    assert not any(e.ejected_until for e in zone[3:])


def test_attempt_after_an_ejection_is_half_open_until_it_is_established() -> None:
    parts = Parts()
    endpoint = parts.endpoint(0)
    parts.outlier_detection.begin_half_open_attempt(endpoint, 7)
    assert endpoint.half_open_request == NO_REQUEST  # it never failed
    parts.outlier_detection.record_failure(endpoint, is_overload=False)
    parts.begin_step(endpoint.ejected_until)
    parts.outlier_detection.begin_half_open_attempt(endpoint, 7)
    assert endpoint.half_open_request == 7
    parts.outlier_detection.record_established(endpoint, 8, elapsed_ns=0)
    assert endpoint.half_open_request == 7
    parts.outlier_detection.record_established(endpoint, 7, elapsed_ns=0)
    assert endpoint.half_open_request == NO_REQUEST
    assert endpoint.last_established_at == parts.context.now
