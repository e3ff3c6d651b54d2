"""Whether a request may be attempted again, where, and how long one attempt may take.

An attempt whose end does not prove that it had no effect counts as possibly executed. From then on a request
that is not idempotent gets no further attempt, and one with an idempotency key only where and while the
endpoints discard its repeats.
"""

from __future__ import annotations

from linnetshift.routing.endpoints import MAX_ERRORS, Endpoint
from linnetshift.routing.events import NEVER_RAN
from linnetshift.routing.pending_requests import PendingRequest
from linnetshift.routing.settings import Effect, Scope


def may_attempt(pending: PendingRequest, now: int, connect_timeout_ns: int) -> bool:
    """Whether one more attempt may be sent now, as far as time and numbers go.

    A repeat counts once its last byte has come, which is after the connection is up.
    """
    request_class = pending.request_class
    if pending.deadline <= now or pending.last_attempt + 1 >= request_class.max_attempts:
        return False
    if pending.possibly_executed_on is None:
        return True
    return request_class.may_retry(pending.possibly_executed_at, now + connect_timeout_ns)


def may_execute_on(pending: PendingRequest, endpoint: Endpoint) -> bool:
    """Whether one more attempt, on that endpoint, can take effect at most once."""
    request_class = pending.request_class
    first = pending.possibly_executed_on
    if first is None or request_class.effect == Effect.IDEMPOTENT or request_class.scope == Scope.ALL:
        return True
    if request_class.scope == Scope.ZONE:
        return endpoint.zone == first.zone
    return endpoint.cell == first.cell


def attempt_timeout_ns(
    pending: PendingRequest, remaining_ns: int, connect_timeout_ns: int, is_congested: bool
) -> int:
    """How long the next attempt may take.

    It leaves room for another one, unless what would be left is too short for that or set-ups are slow
    everywhere. Where one more would come too late to be harmless, all the time that is left serves this one.
    """
    request_class = pending.request_class
    objective_ns = request_class.latency_objective_ns
    if pending.last_attempt + 2 >= request_class.max_attempts or is_congested:
        return remaining_ns
    if not request_class.may_retry(0, objective_ns + connect_timeout_ns):
        return remaining_ns
    return objective_ns if remaining_ns >= 2 * objective_ns else remaining_ns


def client_may_retry(pending: PendingRequest, until: int) -> bool:
    """Whether it is harmless that the client sends the request again, at any balancer, up to that time."""
    if pending.possibly_executed_on is None:
        return True
    return pending.request_class.client_may_retry(pending.possibly_executed_at, until)


def record_attempt_end(pending: PendingRequest, endpoint: Endpoint, outcome: int, sent_at: int) -> None:
    """Remember the first attempt that may have had an effect."""
    if outcome not in NEVER_RAN and pending.possibly_executed_on is None:
        pending.possibly_executed_on = endpoint
        pending.possibly_executed_at = sent_at


def is_error_of_request(pending: PendingRequest) -> bool:
    """Whether so many endpoints that work otherwise answered with an error that another would do the same."""
    working = sum(not endpoint.returns_errors() for endpoint in pending.endpoints_that_erred)
    return working >= MAX_ERRORS
