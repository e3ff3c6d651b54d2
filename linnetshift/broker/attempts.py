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
    NOT_EXECUTED_OUTCOMES,
    RETURNED,
    AttemptEnded,
    ConnectionEstablished,
    Outcome,
    RequestWithdrawn,
)

# Connections may be adopted for this long after the proxy's start; those that were open before it come back
# within 40 s.
ADOPTION_PERIOD_NS = 60_000_000_000
# Delay before an adoption is retried whose endpoint could not be reached.
ADOPTION_RETRY_NS = 200_000_000


class AttemptTracker:
    """Starts the attempts that the balancer decides on; reports their outcomes to it and to the client."""

    def __init__(
        self,
        table: RequestTable,
        endpoints: EndpointViews,
        connector: Connector,
        clock: Callable[[], int],
        timers: Timers,
        inbox: EventInbox,
    ) -> None:
        """Take the current time as the proxy's start."""
        self.table = table
        self.endpoints = endpoints
        self.connector = connector
        self.clock = clock
        self.timers = timers
        self.inbox = inbox
        self._started_ns = clock()

    # ---- starts -----------------------------------------------------------------------------

    def send(self, request_id: int, endpoint: bytes, timeout_ns: int) -> None:
        """Start an attempt that the balancer decided on; `timeout_ns` 0 means until the request's deadline.

        Reports the attempt as moot, and starts none, if the request has been answered or withdrawn, already
        has an attempt (there must never be two at a time), or its client has closed the connection.
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
        """Report an attempt that the balancer decided on and that was not started."""
        self.inbox.post(
            AttemptEnded(
                request_id=request_id,
                attempt=number,
                endpoint=endpoint,
                closed=True,
                elapsed_ns=0,
                outcome=Outcome.NOT_SENT,
                report=(),
            )
        )

    def _open(self, request: ActiveRequest, endpoint: bytes, deadline: int) -> None:
        attempt = Attempt(request, request.attempts, endpoint, self.clock(), deadline)
        request.attempts += 1
        request.attempt = attempt
        self.connector.open(attempt)

    def may_send(self, attempt: Attempt) -> bool:
        """Whether the attempt's request line may be sent now; must be called immediately before sending.

        Since the balancer's decision, while the connection was being set up, the endpoint may have begun to
        drain by the list or by an administrative drain, the client may have left, and the deadline or the
        idempotency window may have passed.
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
        request_class = self.table.settings.classes[request.class_number]
        return request_class.may_retry(request.possibly_executed_at, now_ns)

    def _is_usable(self, endpoint: bytes) -> bool:
        """Whether the endpoint is listed as ready and not suspended."""
        is_listed_ready = self.endpoints.administrative_drains.is_listed_ready(endpoint)
        return is_listed_ready and not self.endpoints.unconfirmed.is_suspended(endpoint)

    # ---- adoption ---------------------------------------------------------------------------

    def begin_adoption(self, request: ActiveRequest) -> None:
        """Reconnect the request to the endpoint that served it before the proxy's start.

        Fails the request after the adoption period: adoptions bypass the balancer, so a client could use them
        to choose any endpoint, even a draining one.
        """
        if request.submitted_ns - self._started_ns > ADOPTION_PERIOD_NS:
            self.table.fail(request.id)
        else:
            self._adopt(request)

    def _adopt(self, request: ActiveRequest) -> None:
        # Adoptions bypass the balancer, so administrative drains must be checked here.
        if self.endpoints.administrative_drains.is_drained(request.adopted_endpoint):
            self.table.fail(request.id)
        elif not request.is_answered:
            self._open(request, request.adopted_endpoint, request.deadline)

    def _retry_adoption(self, request: ActiveRequest, outcome: Outcome) -> None:
        """Retry the endpoint until the deadline while it is unreachable: no other holds the connection."""
        if outcome not in NOT_EXECUTED_OUTCOMES or self.clock() + ADOPTION_RETRY_NS >= request.deadline:
            self.table.fail(request.id)
            return
        request.overdue_timer = self.timers.call_later(ADOPTION_RETRY_NS, partial(self._adopt, request))

    # ---- outcomes ---------------------------------------------------------------------------

    def handle_established(self, attempt: Attempt, receipt: memoryview) -> None:
        """Mark the connection as established, and pass the endpoint's receipt on as the final answer."""
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
        """Handle the close of the attempt's connection: ends an established request, may retry another one.

        `reset` is True if the connection was reset or broke off, rather than being closed in order.
        """
        request = attempt.request
        if request.attempt is not attempt:
            return
        if outcome == Outcome.CANCELLED:
            self.endpoints.record_unavailable(attempt.endpoint)
        self._end(attempt, outcome, reset)

    def _end(self, attempt: Attempt, outcome: Outcome, reset: bool) -> None:
        """End the request if the attempt was established; else report the attempt, which may be retried."""
        request = attempt.request
        request.detach_connection()
        if outcome not in NOT_EXECUTED_OUTCOMES and not request.possibly_executed_at:
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
        """Handle a client that left or has migrated; no effect on a request that is over.

        `reset` is True if the client's side was reset; the endpoint's side is then reset, too.
        """
        if request.id not in self.table.requests:
            return
        attempt = request.attempt
        was_unanswered = not request.is_answered
        upstream = request.detach_connection()
        self.table.remove(request)
        if was_unanswered and not request.adopted_endpoint:
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
        """Cancel the request's attempt with that number, unless it is over or established."""
        request = self.table.requests.get(request_id)
        attempt = request.attempt if request is not None else None
        if attempt is None or attempt.number != number or attempt.is_established:
            return
        if attempt.upstream is not None:
            attempt.upstream.abandon()
        self._end(attempt, Outcome.CANCELLED, reset=False)

    def _report_ended(self, attempt: Attempt, outcome: int) -> None:
        self.inbox.post(attempt.to_ended_event(self.clock(), outcome))
