"""Attempts: their start and outcomes, and the adoption of connections opened before the proxy started."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from linnetshift.broker.active_request import ActiveRequest, Attempt
from linnetshift.broker.endpoint_views import EndpointViews
from linnetshift.broker.event_inbox import EventInbox
from linnetshift.broker.ports import Connector, Timers
from linnetshift.broker.request_table import RequestTable
from linnetshift.routing.events import (
    NEVER_RAN,
    RETURNED,
    AttemptEnded,
    ConnectionEstablished,
    Outcome,
    RequestWithdrawn,
)

# For how long after the proxy's start connections may be adopted: those that were open before it come back
# within 40 s.
ADOPTION_PERIOD_NS = 60_000_000_000
# Pause before an adoption is attempted again whose endpoint could not be reached.
ADOPTION_RETRY_NS = 200_000_000


class AttemptTracker:
    """Starts attempts as the balancer decides, and reports to it and to the client what becomes of them."""

    def __init__(
        self,
        table: RequestTable,
        endpoints: EndpointViews,
        connector: Connector,
        clock: Callable[[], int],
        timers: Timers,
        inbox: EventInbox,
    ) -> None:
        """The time of the call counts as the proxy's start."""
        self.table = table
        self.endpoints = endpoints
        self.connector = connector
        self.clock = clock
        self.timers = timers
        self.inbox = inbox
        self._started_ns = clock()

    # ---- starts -----------------------------------------------------------------------------

    def send(self, request_id: int, endpoint: bytes, timeout_ns: int) -> None:
        """Start an attempt as the balancer decided; `timeout_ns` 0: until the request's deadline.

        The decision is reported as moot where the request was answered or withdrawn meanwhile, has an attempt
        under way (there must never be two at a time), or has a client whose end is about to be read.
        """
        request = self.table.requests.get(request_id)
        if request is None:
            self._report_moot(request_id, 0, endpoint)
            return
        if request.is_answered or request.attempt is not None or not request.client.is_present:
            self._report_moot(request_id, request.attempts, endpoint)
            return
        remaining_ns = request.deadline - self.clock()
        allowed_ns = min(timeout_ns, remaining_ns) if timeout_ns > 0 else remaining_ns
        self._open(request, endpoint, self.clock() + allowed_ns)

    def _report_moot(self, request_id: int, number: int, endpoint: bytes) -> None:
        """Report an attempt that was decided on and not started, as nothing was to be gained by it."""
        self.inbox.post(
            AttemptEnded(
                request_id=request_id,
                attempt=number,
                endpoint=endpoint,
                closed=True,
                elapsed_ns=0,
                outcome=Outcome.MOOT,
                report=(),
            )
        )

    def _open(self, request: ActiveRequest, endpoint: bytes, deadline: int) -> None:
        attempt = Attempt(request, request.attempts, endpoint, self.clock(), deadline)
        request.attempts += 1
        request.attempt = attempt
        self.connector.open(attempt)

    def may_send(self, attempt: Attempt) -> bool:
        """Whether the attempt's request line may go out now; asked at that very moment by whoever sends it.

        While the connection came up, much may have changed since the balancer decided: the list may report
        the endpoint as draining, operators may have drained it, the client may have left, and the deadline or
        the idempotency window may have passed.
        """
        request = attempt.request
        if request.attempt is not attempt or request.is_answered or not request.client.is_present:
            return False
        drains = self.endpoints.administrative_drains
        if drains.is_drained(attempt.endpoint):
            return False
        if not request.adopted_endpoint and not self._is_usable(attempt.endpoint):
            return False
        now_ns = self.clock()
        if now_ns >= attempt.deadline:
            return False
        if not request.possibly_executed_at:
            return True
        request_class = self.table.settings.classes[request.klass]
        return request_class.may_retry(request.possibly_executed_at, now_ns)

    def _is_usable(self, endpoint: bytes) -> bool:
        """Whether it is listed as ready, and was not seen to end since discovery confirmed that."""
        is_listed_ready = self.endpoints.administrative_drains.is_listed_ready(endpoint)
        return is_listed_ready and not self.endpoints.unconfirmed.is_suspended(endpoint)

    # ---- adoption ---------------------------------------------------------------------------

    def begin_adoption(self, request: ActiveRequest) -> None:
        """Reconnect the request with the endpoint that served it before the proxy's start.

        After the adoption period it fails: adoptions bypass the balancer, and a client could choose any
        endpoint by them, even a draining one.
        """
        if request.began - self._started_ns > ADOPTION_PERIOD_NS:
            self.table.fail(request.id)
        else:
            self._adopt(request)

    def _adopt(self, request: ActiveRequest) -> None:
        # This bypasses the balancer, which sends nothing to an endpoint that operators have drained.
        if self.endpoints.administrative_drains.is_drained(request.adopted_endpoint):
            self.table.fail(request.id)
        elif not request.is_answered:
            self._open(request, request.adopted_endpoint, request.deadline)

    def _retry_adoption(self, request: ActiveRequest, outcome: Outcome) -> None:
        """Try the same endpoint again until the deadline while it cannot be reached: no other one will do."""
        if outcome not in NEVER_RAN or self.clock() + ADOPTION_RETRY_NS >= request.deadline:
            self.table.fail(request.id)
            return
        request.overdue_timer = self.timers.call_later(ADOPTION_RETRY_NS, partial(self._adopt, request))

    # ---- outcomes ---------------------------------------------------------------------------

    def handle_established(self, attempt: Attempt, receipt: memoryview) -> None:
        """Give the final answer: the endpoint serves, and the connection is established from now on."""
        request = attempt.request
        now_ns = self.clock()
        attempt.is_established = True
        request.mark_answered()
        if request.flags & RETURNED:
            self.endpoints.latency_estimator.migrations.record_migrated_in(now_ns)
        if request.adopted_endpoint:
            self.inbox.post(request.to_adopted_event(attempt.endpoint))
        else:
            self.inbox.post(
                ConnectionEstablished(request.id, attempt.number, attempt.endpoint, now_ns - attempt.began)
            )
        request.client.handle_established(receipt)

    def handle_ended(self, attempt: Attempt, outcome: Outcome, reset: bool) -> None:
        """The attempt's connection is closed: an established request ends, another one may be retried.

        `reset`: the connection was reset, or broke off, rather than ended in order.
        """
        request = attempt.request
        if request.attempt is not attempt:
            return
        if outcome == Outcome.CANCELLED:
            self.endpoints.record_unavailable(attempt.endpoint)
        self._end(attempt, outcome, reset)

    def _end(self, attempt: Attempt, outcome: Outcome, reset: bool) -> None:
        """End the request of an established attempt; report another one, so that it may be retried."""
        request = attempt.request
        request.detach_connection()
        if outcome not in NEVER_RAN and not request.possibly_executed_at:
            request.possibly_executed_at = attempt.began
        if attempt.is_established:
            client = self.table.remove(request)
            self.endpoints.record_connection_ended(attempt.endpoint, outcome)
            client.handle_endpoint_ended(outcome, reset)
        elif request.is_answered:
            self.table.remove(request)
        elif request.adopted_endpoint:
            self._retry_adoption(request, outcome)
            return
        self._report_ended(attempt, outcome)

    def handle_client_ended(self, request: ActiveRequest, reset: bool) -> None:
        """The client left, or has been migrated; no effect on a request that is over.

        `reset`: the endpoint's side is to end by a reset, as the client's did.
        """
        if request.id not in self.table.requests:
            return
        attempt = request.attempt
        was_waiting = not request.is_answered
        upstream = request.detach_connection()
        self.table.remove(request)
        if was_waiting and not request.adopted_endpoint:
            self.inbox.post(RequestWithdrawn(request.id))
        if attempt is None:
            return
        if upstream is not None:
            if attempt.is_established:
                upstream.handle_client_ended(reset)
            else:
                upstream.abandon()
        if attempt.is_established or not request.adopted_endpoint:
            self._report_ended(attempt, attempt.outcome_on_client_end)

    def cancel(self, request_id: int, number: int) -> None:
        """End the attempt of that number, unless it is over or established."""
        request = self.table.requests.get(request_id)
        attempt = request.attempt if request is not None else None
        if attempt is None or attempt.number != number or attempt.is_established:
            return
        if attempt.upstream is not None:
            attempt.upstream.abandon()
        self._end(attempt, Outcome.CANCELLED, reset=False)

    def _report_ended(self, attempt: Attempt, outcome: int) -> None:
        self.inbox.post(attempt.to_ended_event(self.clock(), outcome))
