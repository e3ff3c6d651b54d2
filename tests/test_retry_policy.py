"""Whether another attempt is allowed, on which endpoints, and its timeout."""

from __future__ import annotations

import pytest
from conftest import MS, S, effect
from routing_parts import Parts

from linnetshift.routing import retry_policy
from linnetshift.routing.events import Outcome

CONNECT_NS = 200 * MS


def test_no_attempt_is_allowed_after_the_maximum_or_the_deadline() -> None:
    parts = Parts()
    pending = parts.pending(1)
    now = parts.context.now
    assert retry_policy.may_attempt(pending, now, CONNECT_NS)
    assert not retry_policy.may_attempt(pending, pending.deadline, CONNECT_NS)
    pending.last_attempt = 2
    assert retry_policy.may_attempt(pending, now, CONNECT_NS)
    pending.last_attempt = 3
    assert not retry_policy.may_attempt(pending, now, CONNECT_NS)


def test_repeat_must_reach_the_endpoint_within_the_idempotency_window() -> None:
    parts = Parts(**effect("by_key", "zone", windowNs=500 * MS))
    pending = parts.pending(1)
    pending.possibly_executed_on, pending.possibly_executed_at = parts.endpoint(0), 1 * S
    assert retry_policy.may_attempt(pending, 1 * S + 299 * MS, CONNECT_NS)
    assert not retry_policy.may_attempt(pending, 1 * S + 300 * MS, CONNECT_NS)


@pytest.mark.parametrize(
    ("effect_name", "group", "expected"),
    [
        ("repeatable", "cell", [0, 1, 2, 3, 4, 5, 6]),
        ("by_key", "all", [0, 1, 2, 3, 4, 5, 6]),
        ("by_key", "zone", [0, 3, 6]),
        ("by_key", "cell", [0, 5]),
    ],
)
def test_repeat_may_go_only_to_endpoints_that_discard_it_together(
    effect_name: str, group: str, expected: list[int]
) -> None:
    parts = Parts(endpoints=7, **effect(effect_name, group))
    pending = parts.pending(1)
    assert all(retry_policy.may_execute_on(pending, endpoint) for endpoint in parts.endpoints.values())
    pending.possibly_executed_on = parts.endpoint(0)
    allowed = [n for n in range(7) if retry_policy.may_execute_on(pending, parts.endpoint(n))]
    assert allowed == expected


@pytest.mark.parametrize(
    ("last_attempt", "remaining_ms", "is_congested", "timeout_ms"),
    [(-1, 800, False, 400), (-1, 799, False, 799), (-1, 800, True, 800), (2, 800, False, 800)],
)
def test_timeout_leaves_time_for_another_attempt_when_that_is_long_enough(
    last_attempt: int, remaining_ms: int, is_congested: bool, timeout_ms: int
) -> None:
    pending = Parts().pending(1)
    pending.last_attempt = last_attempt
    timeout_ns = retry_policy.attempt_timeout_ns(pending, remaining_ms * MS, CONNECT_NS, is_congested)
    assert timeout_ns == timeout_ms * MS


def test_timeout_is_all_that_remains_where_a_repeat_would_come_too_late() -> None:
    pending = Parts(**effect("by_key", "all", windowNs=600 * MS)).pending(1)
    assert retry_policy.attempt_timeout_ns(pending, 2 * S, CONNECT_NS, False) == 2 * S


def test_client_may_retry_until_an_attempt_may_have_had_an_effect() -> None:
    parts = Parts(**effect("once"))
    pending = parts.pending(1)
    retry_policy.record_possible_execution(pending, parts.endpoint(0), Outcome.CONNECT_FAILED, 1 * S)
    assert pending.possibly_executed_on is None
    assert retry_policy.client_may_retry(pending, 9 * S)
    retry_policy.record_possible_execution(pending, parts.endpoint(1), Outcome.TIMEOUT, 2 * S)
    retry_policy.record_possible_execution(pending, parts.endpoint(2), Outcome.TIMEOUT, 3 * S)
    assert pending.possibly_executed_on is parts.endpoint(1)
    assert pending.possibly_executed_at == 2 * S
    assert not retry_policy.client_may_retry(pending, 2 * S)


def test_request_is_at_fault_when_two_endpoints_that_work_return_an_error() -> None:
    parts = Parts()
    pending = parts.pending(1)
    pending.endpoints_with_errors = [parts.endpoint(0), parts.endpoint(1)]
    assert retry_policy.is_request_at_fault(pending)
    parts.endpoint(1).consecutive_errors = 2
    assert not retry_policy.is_request_at_fault(pending)
