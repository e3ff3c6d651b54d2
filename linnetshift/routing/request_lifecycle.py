"""The life cycle of a request, from arrival to final answer: attempts, waiting, retries, rejection."""

from __future__ import annotations

from linnetshift.routing import retry_policy
from linnetshift.routing.actions import Cancel, Fail, Reject, Send
from linnetshift.routing.concurrency_limit import ConcurrencyLimit
from linnetshift.routing.context import RoutingContext
from linnetshift.routing.endpoint_selection import EndpointSelection
from linnetshift.routing.endpoints import Endpoint
from linnetshift.routing.events import AttemptEnded, Outcome
from linnetshift.routing.outlier_detection import OutlierDetection
from linnetshift.routing.pending_requests import PendingRequest, PendingRequests
from linnetshift.routing.tick_timer import TickTimer

SETUP_FAILURES = frozenset({Outcome.ERROR, Outcome.TIMEOUT, Outcome.FULL, Outcome.RESET})
EXTRA_SETUPS = 1000  # the concurrency limit is at most the number of balancers plus this
MIN_WAIT_TICKS = 2  # a request with no more time left than this is rejected instead of queued


class RequestLifecycle:
    """Sends attempts and gives the one final answer. State: the concurrency limit of set-ups."""

    def __init__(
        self,
        context: RoutingContext,
        requests: PendingRequests,
        selection: EndpointSelection,
        outlier_detection: OutlierDetection,
        tick_timer: TickTimer,
    ) -> None:
        """`requests` holds the requests that this component places and answers."""
        self._context = context
        self._requests = requests
        self._selection = selection
        self._outlier_detection = outlier_detection
        self._tick_timer = tick_timer
        self.concurrency_limit = ConcurrencyLimit()

    def place(self, pending: PendingRequest) -> None:
        """Send the next attempt, queue the request, or give the final answer."""
        context = self._context
        if not retry_policy.may_attempt(pending, context.now, context.settings.connect_timeout_ns):
            self.reject(pending)
            return
        is_mid_flow = pending.is_first_mid_flow_attempt
        endpoint = None
        if is_mid_flow or self._requests.setups_in_flight < self.concurrency_limit.limit:
            endpoint = self._selection.choose(pending, is_mid_flow)
        if endpoint is None:
            self._queue(pending)
        else:
            self._send(pending, endpoint)

    def retry_waiting(self) -> None:
        """Place the queued requests, oldest first; those that must wait longer keep their order."""
        for request_id in self._requests.take_waiting():
            pending = self._requests.get(request_id)
            if pending is not None and pending.endpoint is None:
                self.place(pending)

    def reject(self, pending: PendingRequest) -> None:
        """Give the final answer: rejected if a retry by the client is harmless and in time, else failed."""
        now = self._context.now
        retry_after_ns = self._context.settings.max_retry_after_ns
        is_harmless = retry_policy.client_may_retry(pending, now + retry_after_ns)
        self._requests.remove(pending)
        request_id = pending.request.request_id
        if is_harmless and pending.deadline > now:
            self._context.emit(Reject(request_id, retry_after_ns))
        else:
            self._context.emit(Fail(request_id))

    def record_setup(self, pending: PendingRequest, elapsed_ns: int, has_failed: bool) -> None:
        """Adapt the concurrency limit to the result of a set-up."""
        self.concurrency_limit.record_setup(
            self._context.now,
            pending.request_class.latency_objective_ns,
            elapsed_ns,
            has_failed,
            max_limit=float(self._context.settings.balancers + EXTRA_SETUPS),
        )

    def handle_attempt_ended(self, pending: PendingRequest, endpoint: Endpoint, event: AttemptEnded) -> None:
        """Retry or answer a request whose attempt or connection on `endpoint` ended, unless it is over."""
        if event.outcome in SETUP_FAILURES and not pending.is_established:
            self.record_setup(pending, event.elapsed_ns, has_failed=True)
        if event.closed or pending.is_established:
            self._requests.remove(pending)
            return
        if event.outcome == Outcome.ERROR:
            is_first = not pending.endpoints_with_errors
            pending.endpoints_with_errors.append(endpoint)
            self._outlier_detection.record_error(endpoint, is_first)
        if retry_policy.is_request_at_fault(pending):
            self._requests.remove(pending)
            self._context.emit(Fail(event.request_id))
            return
        sent_at = self._context.now - event.elapsed_ns
        retry_policy.record_possible_execution(pending, endpoint, event.outcome, sent_at)
        self.place(pending)

    def _may_overrun(self, pending: PendingRequest) -> bool:
        """Whether the attempt may go on past its latency objective, as there is no alternative to it."""
        if not self._context.settings.may_cancel:
            return False
        return not self._selection.has_alternative(pending, pending.attempt_sent_at)

    def review_overrunning(self) -> None:
        """Cancel attempts past their latency objective that have an alternative by now.

        Called at each tick. The request is placed again when the end of its cancelled attempt is reported.
        """
        overdue = [pending for pending in self._requests.overrunning() if self._is_overdue(pending)]
        for pending in overdue:
            self._outlier_detection.handle_attempt_overdue(pending)
        self._cancel_replaceable(overdue)
        if self._requests.overrunning():
            self._tick_timer.start()

    def _is_overdue(self, pending: PendingRequest) -> bool:
        elapsed_ns = self._context.now - pending.attempt_sent_at
        return elapsed_ns >= pending.request_class.latency_objective_ns

    def _cancel_replaceable(self, overdue: list[PendingRequest]) -> None:
        """Cancel the overdue attempts that another attempt could replace in time."""
        earliest_sent_at = min((pending.attempt_sent_at for pending in overdue), default=0)
        connect_timeout_ns = self._context.settings.connect_timeout_ns
        alternatives: dict[int, list[Endpoint]] = {}  # by the number of the class
        for pending in overdue:
            if not retry_policy.may_replace_attempt(pending, self._context.now, connect_timeout_ns):
                continue
            class_number = pending.request.class_number
            if class_number not in alternatives:
                alternatives[class_number] = self._selection.possible_alternatives(
                    pending.request_class, earliest_sent_at
                )
            if self._selection.has_alternative(pending, pending.attempt_sent_at, alternatives[class_number]):
                self._cancel(pending)

    def _cancel(self, pending: PendingRequest) -> None:
        """Cancel an overdue attempt and record it like a timeout."""
        assert pending.endpoint is not None
        elapsed_ns = self._context.now - pending.attempt_sent_at
        self._requests.revoke_overrun(pending)
        self._outlier_detection.record_failure(pending.endpoint, is_overload=False)
        self.record_setup(pending, elapsed_ns, has_failed=True)
        self._context.emit(Cancel(pending.request.request_id, pending.last_attempt))

    def _send(self, pending: PendingRequest, endpoint: Endpoint) -> None:
        context = self._context
        remaining_ns = pending.deadline - context.now
        timeout_ns = retry_policy.attempt_timeout_ns(
            pending,
            remaining_ns=remaining_ns,
            connect_timeout_ns=context.settings.connect_timeout_ns,
            is_congested=self.concurrency_limit.is_congested,
        )
        request_id = pending.request.request_id
        self._requests.begin_attempt(pending, endpoint)
        pending.attempt_sent_at = context.now
        self._outlier_detection.begin_half_open_attempt(endpoint, request_id)
        may_overrun = timeout_ns < remaining_ns and self._may_overrun(pending)
        context.emit(Send(request_id, endpoint.id, remaining_ns if may_overrun else timeout_ns))
        if may_overrun:
            self._requests.allow_overrun(pending)
            self._tick_timer.start()

    def _queue(self, pending: PendingRequest) -> None:
        """Queue the request, or reject it at once if no endpoint could serve it before its deadline."""
        min_wait_ns = max(MIN_WAIT_TICKS * self._context.tick_ns, self._selection.wait_ns())
        if pending.deadline - self._context.now <= min_wait_ns:
            self.reject(pending)
            return
        self._requests.waiting.append(pending.request.request_id)
        self._tick_timer.start()
