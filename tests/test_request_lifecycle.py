"""The life cycle of a request, from arrival to its one final answer."""

from __future__ import annotations

from conftest import MS, S, effect
from routing_parts import Parts

from linnetshift.routing.actions import Fail, Reject, Send, SetTimer
from linnetshift.routing.events import AttemptEnded, Outcome
from linnetshift.routing.pending_requests import PendingRequest


def end_attempt(parts: Parts, pending: PendingRequest, outcome: int, closed: bool = False) -> None:
    endpoint = pending.endpoint
    assert endpoint is not None
    parts.begin_step(parts.context.now + MS)
    event = AttemptEnded(
        pending.request.request_id, pending.last_attempt, endpoint.id, closed, MS, outcome, ()
    )
    parts.requests.end_attempt(pending)
    parts.lifecycle.handle_attempt_ended(pending, endpoint, event)


def test_attempts_go_to_other_endpoints_until_the_maximum_is_reached() -> None:
    parts = Parts(endpoints=8)
    pending = parts.pending(1)
    parts.lifecycle.place(pending)
    used = []
    while parts.context.actions and isinstance(parts.context.actions[0], Send):
        used.append(parts.context.actions[0].endpoint)
        end_attempt(parts, pending, Outcome.CONNECT_FAILED)
    assert len(set(used)) == 4
    assert parts.context.actions == [Reject(1, 1 * S)]
    assert 1 not in parts.requests


def test_request_over_the_concurrency_limit_waits_until_a_set_up_ends() -> None:
    parts = Parts()
    parts.lifecycle.concurrency_limit.limit = 1.0
    first, second = parts.pending(1), parts.pending(2)
    parts.lifecycle.place(first)
    parts.lifecycle.place(second)
    assert [type(action) for action in parts.context.actions] == [Send, SetTimer]
    assert list(parts.requests.waiting) == [2]
    parts.lifecycle.retry_waiting()
    assert list(parts.requests.waiting) == [2]
    parts.requests.remove(first)
    parts.begin_step(parts.context.now + MS)
    parts.lifecycle.retry_waiting()
    assert [type(action) for action in parts.context.actions] == [Send]
    assert not parts.requests.waiting


def test_request_that_no_endpoint_may_serve_is_rejected_at_once() -> None:
    parts = Parts(endpoints=0)
    parts.lifecycle.place(parts.pending(1))
    assert parts.context.actions == [Reject(1, 1 * S)]


def test_rejected_request_reports_retry_after_only_where_a_retry_is_harmless_and_in_time() -> None:
    parts = Parts(**effect("once"))
    harmless, executed, overdue = parts.pending(1), parts.pending(2), parts.pending(3)
    executed.possibly_executed_on = parts.endpoint(0)
    overdue.deadline = parts.context.now
    for pending in (harmless, executed, overdue):
        parts.lifecycle.reject(pending)
    assert parts.context.actions == [Reject(1, 1 * S), Fail(2), Fail(3)]


def test_possibly_executed_attempt_is_not_repeated_unless_it_is_idempotent() -> None:
    for effect_name, action_type in (("once", Fail), ("repeatable", Send)):
        parts = Parts(**effect(effect_name))
        pending = parts.pending(1)
        parts.lifecycle.place(pending)
        end_attempt(parts, pending, Outcome.TIMEOUT)
        assert [type(action) for action in parts.context.actions] == [action_type]


def test_request_fails_after_errors_from_two_endpoints_that_work() -> None:
    parts = Parts()
    pending = parts.pending(1)
    parts.lifecycle.place(pending)
    end_attempt(parts, pending, Outcome.ERROR)
    assert [type(action) for action in parts.context.actions] == [Send]
    end_attempt(parts, pending, Outcome.ERROR)
    assert parts.context.actions == [Fail(1)]


def test_closed_request_and_ended_connection_need_no_answer() -> None:
    parts = Parts()
    closed = parts.pending(1)
    parts.lifecycle.place(closed)
    end_attempt(parts, closed, Outcome.ERROR, closed=True)
    connection = parts.connection(2, parts.endpoint(0))
    end_attempt(parts, connection, Outcome.RESET)
    assert parts.context.actions == []
    assert len(parts.requests) == 0


def test_failed_set_ups_lower_the_concurrency_limit_and_ended_connections_do_not() -> None:
    parts = Parts()
    for number in range(20):
        end_attempt(parts, parts.connection(number, parts.endpoint(0)), Outcome.RESET)
    assert parts.lifecycle.concurrency_limit.failure_share == 0.0
    for number in range(20, 40):
        pending = parts.pending(number)
        parts.requests.begin_attempt(pending, parts.endpoint(0))
        end_attempt(parts, pending, Outcome.ERROR, closed=True)
    assert parts.lifecycle.concurrency_limit.is_congested
    assert parts.lifecycle.concurrency_limit.limit < 8.0
