"""The requests that are under way, and their final answers."""

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

# The balancer answers by the deadline; this long after it, the broker answers in its place.
OVERDUE_NS = 8_000_000


class RequestTable:
    """Requests from their submission to their end; each gets exactly one final answer.

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
        """Apply settings and contracts while running; what is under way or used up goes on counting."""
        self.settings = settings
        contracts.replace(self.contracts, Counter(request.tenant for request in self.requests.values()))
        self.contracts = contracts

    def add(self, request: ActiveRequest) -> bool:
        """Number the request and take it on, or reject it by its team's contract.

        Returns whether it was taken on.
        """
        request.id = next(self._ids)
        request.began = self.clock()
        breach = self.contracts.admit(request.tenant, request.klass, request.flags, request.began)
        if breach is not None:
            request.detach_client().reject(breach.wait_ns, breach.limit)
            return False
        self.requests[request.id] = request
        return True

    def remove(self, request: ActiveRequest) -> Client:
        """End the request; returns its client, which the request gives up, for a last notification."""
        if self.requests.pop(request.id, None) is not None:
            self.contracts.release(request.tenant)
        return request.detach_client()

    def ask_balancer(self, request: ActiveRequest) -> None:
        """Have the balancer place the request within the time left, and answer for it where it does not."""
        budget_ns = max(1, request.deadline - request.began)
        # By id: the timer would keep the request itself in memory until then, answered or not.
        answer_overdue = partial(self._answer_overdue, request.id)
        request.overdue_timer = self.timers.call_later(budget_ns + OVERDUE_NS, answer_overdue)
        self.inbox.post(request.to_request_event(budget_ns))

    def _answer_overdue(self, request_id: int) -> None:
        """Answer in place of a balancer that has not, before the client gives up."""
        client = self._finish_unserved(request_id)
        if client is not None:
            self.inbox.post(RequestWithdrawn(request_id))
            client.fail()

    # ---- final answers ----------------------------------------------------------------------

    def reject(self, request_id: int, retry_after_ns: int = 0) -> None:
        """Answer that nothing was done and a retry does no harm; no effect on an answered request.

        `retry_after_ns` is how long the client should wait, 0 to leave that to it.
        """
        client = self._finish_unserved(request_id)
        if client is not None:
            client.reject(retry_after_ns, "")

    def fail(self, request_id: int) -> None:
        """Answer that it is not served and may have had effects; no effect on an answered request."""
        client = self._finish_unserved(request_id)
        if client is not None:
            client.fail()

    def answer_unserved(self, request: ActiveRequest) -> None:
        """Answer now, without the balancer: reject where a retry is harmless, else fail."""
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
        return self.settings.classes[request.klass].client_may_retry(first_executed_ns, retry_by_ns)

    def _finish_unserved(self, request_id: int) -> Client | None:
        """End the request and its attempt; returns the client to answer, None where it has its answer."""
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
