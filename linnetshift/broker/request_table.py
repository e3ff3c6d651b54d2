"""Requests in progress, and their final answers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from itertools import count

from linnetshift.broker.active_request import ActiveRequest
from linnetshift.broker.contracts import Contracts
from linnetshift.broker.event_inbox import EventInbox
from linnetshift.broker.ports import Client, Timers
from linnetshift.routing.events import Outcome, RequestWithdrawn
from linnetshift.routing.settings import Settings

# Time after a request's deadline at which the broker fails it, if the balancer has not answered it by then.
OVERDUE_NS = 8_000_000


class RequestTable:
    """Holds requests from their submission to their end, and gives each exactly one final answer.

    Attributes:
        requests: by id, in the order of their submission, until they are rejected, fail or their connection
            ends.
    """

    def __init__(
        self,
        settings: Settings,
        contracts: Contracts,
        clock: Callable[[], int],
        timers: Timers,
        inbox: EventInbox,
    ) -> None:
        """Start with no requests."""
        self.clock = clock
        self.timers = timers
        self.inbox = inbox
        self.requests: dict[int, ActiveRequest] = {}
        self._ids = count(1)
        self.settings = settings
        self.contracts = contracts

    def configure(self, settings: Settings, contracts: Contracts) -> None:
        """Apply reloaded settings and contracts; requests in progress and used tokens keep counting."""
        self.settings = settings
        contracts.carry_over(self.contracts, Counter(request.tenant for request in self.requests.values()))
        self.contracts = contracts

    def add(self, request: ActiveRequest) -> bool:
        """Add the request under a new id, or reject it if its team's contract does not admit it.

        Returns whether the request was added.
        """
        request.id = next(self._ids)
        request.submitted_ns = self.clock()
        exceeded_limit = self.contracts.admit(
            request.tenant, request.class_number, request.flags, request.submitted_ns
        )
        if exceeded_limit is not None:
            request.detach_client().reject(exceeded_limit.retry_after_ns, exceeded_limit.limit)
            return False
        self.requests[request.id] = request
        return True

    def remove(self, request: ActiveRequest) -> Client:
        """Remove the request; returns its former client, for a last notification."""
        if self.requests.pop(request.id, None) is not None:
            self.contracts.release(request.tenant)
        return request.detach_client()

    def ask_balancer(self, request: ActiveRequest) -> None:
        """Ask the balancer to place the request by its deadline; a timer fails it if no answer comes."""
        budget_ns = max(1, request.deadline - request.submitted_ns)
        # By id: a reference would keep an answered request in memory until the timer fires.
        answer_overdue = partial(self._answer_overdue, request.id)
        request.overdue_timer = self.timers.call_later(budget_ns + OVERDUE_NS, answer_overdue)
        self.inbox.post(request.to_request_event(budget_ns))

    def _answer_overdue(self, request_id: int) -> None:
        """Fail a request that the balancer has not answered, before the client times out."""
        client = self._finish_unserved(request_id)
        if client is not None:
            self.inbox.post(RequestWithdrawn(request_id))
            client.fail()

    # ---- final answers ----------------------------------------------------------------------

    def reject(self, request_id: int, retry_after_ns: int = 0) -> None:
        """Answer that nothing was done and a retry is harmless; no effect on an answered request.

        `retry_after_ns` is how long the client should wait; 0 leaves the delay to the client.
        """
        client = self._finish_unserved(request_id)
        if client is not None:
            client.reject(retry_after_ns, "")

    def fail(self, request_id: int) -> None:
        """Answer that the request failed and may have had effects; no effect on an answered request."""
        client = self._finish_unserved(request_id)
        if client is not None:
            client.fail()

    def answer_without_balancer(self, request: ActiveRequest) -> None:
        """Answer without waiting for the balancer: reject if a retry is harmless, else fail."""
        if self.is_retry_safe(request):
            self.reject(request.id)
        else:
            self.fail(request.id)

    def is_retry_safe(self, request: ActiveRequest) -> bool:
        """Whether the client may be told that a retry is harmless."""
        first_executed_ns = request.possibly_executed_at
        attempt = request.attempt
        if not first_executed_ns and attempt is not None and attempt.is_sent:
            first_executed_ns = attempt.began
        if not first_executed_ns:
            return True
        retry_by_ns = self.clock() + self.settings.max_retry_after_ns
        return self.settings.classes[request.class_number].client_may_retry(first_executed_ns, retry_by_ns)

    def _finish_unserved(self, request_id: int) -> Client | None:
        """Remove the request and abandon its attempt; returns the client, or None if it has been answered."""
        request = self.requests.get(request_id)
        if request is None or request.is_answered:
            return None
        attempt = request.attempt
        upstream = request.detach_connection()
        client = self.remove(request)
        if upstream is not None:
            upstream.abandon()
        if attempt is not None:
            self.inbox.post(attempt.to_ended_event(self.clock(), Outcome.CANCELLED))
        return client

    # ---- queries ----------------------------------------------------------------------------

    def established(self) -> list[ActiveRequest]:
        """Requests whose connection is established."""
        return [
            request
            for request in self.requests.values()
            if request.attempt is not None and request.attempt.is_established
        ]

    def unanswered(self) -> list[ActiveRequest]:
        """Requests that still wait for their final answer."""
        return [request for request in self.requests.values() if not request.is_answered]
