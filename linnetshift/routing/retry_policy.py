"""Whether a request may be attempted again, where, and how long one attempt may take.

An attempt whose outcome does not prove that it had no effect counts as possibly executed. From then on a
request that is not idempotent gets no further attempt, and one with an idempotency key only where, and as
long as, endpoints discard its repeats.
"""

from __future__ import annotations

from linnetshift.routing.endpoints import ERROR_THRESHOLD, Endpoint
from linnetshift.routing.events import NOT_EXECUTED_OUTCOMES
from linnetshift.routing.pending_requests import PendingRequest
from linnetshift.routing.settings import Effect, RequestClass, Scope


def may_attempt(pending: PendingRequest, now: int, connect_timeout_ns: int) -> bool:
    """Whether another attempt may be sent now: before the deadline and within the maximum number of attempts.

    If an earlier one may have executed, the idempotency window must still be open after the connect timeout,
    by which the request has reached the endpoint.
    `now` is in nanoseconds of the caller's clock, as deadlines are.
    """
    request_class = pending.request_class
    if pending.deadline <= now or pending.last_attempt + 1 >= request_class.max_attempts:
        return False
    if pending.possibly_executed_on is None:
        return True
    return request_class.may_retry(pending.possibly_executed_at, now + connect_timeout_ns)


def may_execute_on(pending: PendingRequest, endpoint: Endpoint) -> bool:
    """Whether the request takes effect at most once if another attempt goes to `endpoint`."""
    return may_repeat_on(pending.request_class, pending.possibly_executed_on, endpoint)


def may_repeat_on(request_class: RequestClass, first_endpoint: Endpoint | None, endpoint: Endpoint) -> bool:
    """Whether what may have executed on `first_endpoint` (None: on none) may be repeated on `endpoint`."""
    if (
        first_endpoint is None
        or request_class.effect == Effect.IDEMPOTENT
        or request_class.scope == Scope.ALL
    ):
        return True
    if request_class.scope == Scope.ZONE:
        return endpoint.zone == first_endpoint.zone
    return endpoint.cell == first_endpoint.cell


def attempt_timeout_ns(
    pending: PendingRequest, remaining_ns: int, connect_timeout_ns: int, is_congested: bool
) -> int:
    """Timeout of the next attempt, in nanoseconds: the latency objective, so that time for another is left.

    All of `remaining_ns` where the other attempt would have too little time, would miss the idempotency
    window or exceed the maximum number, or where set-ups are slow everywhere (`is_congested`).
    """
    request_class = pending.request_class
    objective_ns = request_class.latency_objective_ns
    if pending.last_attempt + 2 >= request_class.max_attempts or is_congested:
        return remaining_ns
    if not request_class.may_retry(0, objective_ns + connect_timeout_ns):
        return remaining_ns
    return objective_ns if remaining_ns >= 2 * objective_ns else remaining_ns


def may_replace_attempt(pending: PendingRequest, now: int, connect_timeout_ns: int) -> bool:
    """Whether there is time for another attempt in place of the one in flight, which may have executed.

    `now` is in nanoseconds of the caller's clock.
    """
    request_class = pending.request_class
    if pending.deadline - now < request_class.latency_objective_ns:
        return False
    first_sent_at = pending.possibly_executed_at or pending.attempt_sent_at
    return request_class.may_retry(first_sent_at, now + connect_timeout_ns)


def client_may_retry(pending: PendingRequest, until: int) -> bool:
    """Whether the client may harmlessly send the request again, to any balancer, until that time.

    `until` is in nanoseconds of the caller's clock.
    """
    if pending.possibly_executed_on is None:
        return True
    return pending.request_class.client_may_retry(pending.possibly_executed_at, until)


def record_possible_execution(
    pending: PendingRequest, endpoint: Endpoint, outcome: int, sent_at: int
) -> None:
    """Record an attempt that ended with this `Outcome`, if it is the first that may have had an effect.

    `sent_at` is when it was sent, in nanoseconds of the caller's clock.
    """
    if outcome not in NOT_EXECUTED_OUTCOMES and pending.possibly_executed_on is None:
        pending.possibly_executed_on = endpoint
        pending.possibly_executed_at = sent_at


def is_request_at_fault(pending: PendingRequest) -> bool:
    """Whether enough endpoints that otherwise work returned an error for the request to be the cause."""
    working = sum(not endpoint.returns_errors() for endpoint in pending.endpoints_with_errors)
    return working >= ERROR_THRESHOLD
