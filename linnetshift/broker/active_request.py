"""A client's request for one connection, and an attempt to have one endpoint serve it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from linnetshift.broker.ports import Client, TimerHandle, UpstreamConnection
from linnetshift.routing.events import AdoptedConnection, AttemptEnded, Outcome, Request


class DetachedClient:
    """Replaces the client of a request that is over, and ignores every call.

    Keeping the real client would leave a reference cycle that only the garbage collector frees.
    """

    is_congested = False
    is_present = False

    def handle_established(self, receipt: memoryview) -> None:
        """Ignore the final answer."""

    def deliver(self, message: memoryview) -> None:
        """Drop the message."""

    def resume(self) -> None:
        """Ignore the call."""

    def reject(self, retry_after_ns: int, exceeded_limit: str) -> None:
        """Ignore the final answer."""

    def fail(self) -> None:
        """Ignore the final answer."""

    def migrate(self, reason: str) -> None:
        """Ignore the request to migrate."""

    def handle_endpoint_ended(self, outcome: int, reset: bool) -> None:
        """Ignore the end of the connection."""


DETACHED_CLIENT = DetachedClient()


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A client's request from its submission until it is rejected, fails or its connection ends.

    Frontends set the fields before `id`; the broker owns `id` and those after it.
    """

    client: Client
    class_number: int  # index of the request class in `Settings.classes`
    tenant: int  # number of the tenant in the settings
    key: int  # ranks the endpoints by weighted rendezvous hashing
    group: int  # clients of one group share state at an endpoint; 0: none given
    flags: int  # RETRY, MID_FLOW and RETURNED of `routing.events`
    load_hint: int  # as given in the request line; 0: none given
    deadline: int  # for the final answer, in ns of the broker's clock
    # Encodes the request line for an endpoint, given its timeout in ms.
    encode_request_line: Callable[[int], bytes]
    adopted_endpoint: bytes = b""  # served this connection before the proxy started; empty: no adoption
    id: int = 0  # unique in this process; 0 before the submission
    submitted_ns: int = 0  # in ns of the broker's clock
    attempts: int = 0  # number of attempts started, and the number of the next one
    possibly_executed_at: int = 0  # start of the first attempt that may have been executed, in ns; 0: none
    attempt: Attempt | None = None  # in progress or established
    is_answered: bool = False  # the final answer has been given, or none is owed
    # Fails the request when the balancer does not answer in time; for an adoption, starts the next attempt.
    overdue_timer: TimerHandle | None = None

    def detach_client(self) -> Client:
        """Mark the request as over; returns its former client, for a last notification."""
        client = self.client
        self.client = DETACHED_CLIENT
        self.mark_answered()
        return client

    def mark_answered(self) -> None:
        """Record that the final answer has been given, and cancel the timer."""
        self.is_answered = True
        if self.overdue_timer is not None:
            self.overdue_timer.cancel()
            self.overdue_timer = None

    def detach_connection(self) -> UpstreamConnection | None:
        """End the current attempt, if any; returns its connection, which the caller must close."""
        attempt = self.attempt
        self.attempt = None
        if attempt is None:
            return None
        upstream = attempt.upstream
        attempt.upstream = None
        return upstream

    def to_request_event(self, budget_ns: int) -> Request:
        """The event that asks the balancer to place the request within `budget_ns`."""
        return Request(
            request_id=self.id,
            class_number=self.class_number,
            group=self.group,
            key=self.key,
            load_hint=self.load_hint,
            flags=self.flags,
            tenant=self.tenant,
            budget_ns=budget_ns,
        )

    def to_adopted_event(self, endpoint: bytes) -> AdoptedConnection:
        """The event that reports to the balancer a connection that `endpoint` served before."""
        return AdoptedConnection(
            request_id=self.id,
            class_number=self.class_number,
            group=self.group,
            key=self.key,
            load_hint=self.load_hint,
            flags=self.flags,
            tenant=self.tenant,
            endpoint=endpoint,
        )


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt to have one endpoint serve a request, and the connection that results from it."""

    request: ActiveRequest
    number: int  # counted from 0 within the request
    endpoint: bytes
    began: int  # in ns of the broker's clock
    deadline: int  # in ns of the broker's clock
    upstream: UpstreamConnection | None = None  # set by the connector; None after the attempt ended
    is_established: bool = False
    is_sent: bool = False  # the request line is sent, at least in part, so the request may be executed
    load_us_per_s: float | None = None  # work per second, as the endpoint last reported for this connection
    outcome_on_client_end: int = Outcome.CANCELLED  # outcome reported when the client ends the connection

    def to_ended_event(self, now_ns: int, outcome: int) -> AttemptEnded:
        """The event that reports the end of the attempt or its connection to the balancer."""
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
