"""A client's request for one connection, and an attempt to have one endpoint serve it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from linnetshift.broker.ports import Client, TimerHandle, UpstreamConnection
from linnetshift.routing.events import AdoptedConnection, AttemptEnded, Outcome, Request


class DetachedClient:
    """The client of a request that is over: it ignores whatever it is still called with.

    A request that kept its real client would form a reference cycle with it, which only the garbage collector
    could free.
    """

    is_congested = False
    is_present = False

    def handle_established(self, receipt: memoryview) -> None:
        """Ignore the final answer."""

    def deliver(self, message: memoryview) -> None:
        """Drop the message."""

    def resume(self) -> None:
        """Do nothing: there is nothing left to read."""

    def reject(self, retry_after_ns: int, breach: str) -> None:
        """Ignore the final answer."""

    def fail(self) -> None:
        """Ignore the final answer."""

    def migrate(self, reason: str) -> None:
        """Do nothing: there is nobody left to migrate."""

    def handle_endpoint_ended(self, outcome: int, reset: bool) -> None:
        """Do nothing: there is nobody left to notify."""


DETACHED_CLIENT = DetachedClient()


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A client's request from its submission until it is rejected, fails or its connection ends.

    Frontends fill in the first fields. The broker owns those from `id` on.
    """

    client: Client
    klass: int  # number of its request class in `Settings.classes`
    tenant: int  # number of its tenant in the settings
    key: int  # by which endpoints are ranked
    group: int  # clients of one group share state at an endpoint; 0: none given
    flags: int  # RETRY, MID_FLOW and RETURNED of `routing.events`
    load_hint: int  # as given in the request line; 0: none given
    deadline: int  # for the final answer, in ns of the broker's clock
    # The request line for an endpoint, given for how many milliseconds its answer is awaited.
    encode_request_line: Callable[[int], bytes]
    adopted_endpoint: bytes = b""  # the endpoint that held this connection before the proxy started
    id: int = 0  # unique in this process; 0 before the submission
    began: int = 0  # when it was submitted, in ns of the broker's clock
    attempts: int = 0  # how many have been started; the next one's number
    possibly_executed_at: int = 0  # when the first attempt that may have been executed began; 0: none
    attempt: Attempt | None = None  # the attempt that is under way or established
    is_answered: bool = False  # its client has its final answer, or is owed none
    # Answers in the balancer's place where it does not in time; for an adoption, starts its next attempt.
    overdue_timer: TimerHandle | None = None

    def detach_client(self) -> Client:
        """Mark the request as over, and give up its client, which is returned for a last notification."""
        client = self.client
        self.client = DETACHED_CLIENT
        self.mark_answered()
        return client

    def mark_answered(self) -> None:
        """Record that the final answer is given: nothing answers in the balancer's place any more."""
        self.is_answered = True
        if self.overdue_timer is not None:
            self.overdue_timer.cancel()
            self.overdue_timer = None

    def detach_connection(self) -> UpstreamConnection | None:
        """End the current attempt, if any, and give up its connection, which is returned to be closed."""
        attempt = self.attempt
        self.attempt = None
        if attempt is None:
            return None
        upstream = attempt.upstream
        attempt.upstream = None
        return upstream

    def to_request_event(self, budget_ns: int) -> Request:
        """The event that asks the balancer to place it within `budget_ns`."""
        return Request(
            request_id=self.id,
            klass=self.klass,
            group=self.group,
            key=self.key,
            load_hint=self.load_hint,
            flags=self.flags,
            tenant=self.tenant,
            budget_ns=budget_ns,
        )

    def to_adopted_event(self, endpoint: bytes) -> AdoptedConnection:
        """The event that tells the balancer of a connection which `endpoint` already served."""
        return AdoptedConnection(
            request_id=self.id,
            klass=self.klass,
            group=self.group,
            key=self.key,
            load_hint=self.load_hint,
            flags=self.flags,
            tenant=self.tenant,
            endpoint=endpoint,
        )


@dataclass(slots=True, eq=False)
class Attempt:
    """The attempt to have one endpoint serve a request, and the connection that results from it."""

    request: ActiveRequest
    number: int  # counted from 0 within the request
    endpoint: bytes
    began: int  # in ns of the broker's clock, as is the deadline
    deadline: int
    upstream: UpstreamConnection | None = None  # set by the connector; None again once the attempt is over
    is_established: bool = False
    is_sent: bool = False  # its request line has gone out, or part of it: from now on it may be executed
    load: float | None = None  # us of work a second, as the endpoint last reported for this connection
    outcome_on_client_end: int = Outcome.CANCELLED  # how it ends when the client's side ends it

    def to_ended_event(self, now_ns: int, outcome: int) -> AttemptEnded:
        """The event that reports to the balancer how the attempt or its connection ended."""
        request = self.request
        return AttemptEnded(
            request_id=request.id,
            attempt=self.number,
            endpoint=self.endpoint,
            closed=request.is_answered,
            elapsed_ns=now_ns - self.began,
            outcome=outcome,
            report=(),
        )
