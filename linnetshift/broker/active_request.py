"""A request asks for one connection; an attempt tries to have one endpoint serve it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from linnetshift.routing.events import Outcome


class TimerHandle(Protocol):
    """What a timer is held by."""

    def cancel(self) -> None: ...


class Client(Protocol):
    """The side that asked. Messages are slices that hold only until the call returns."""

    @property
    def is_congested(self) -> bool:
        """Whether messages should wait; `UpstreamConnection.resume` is called once they need not."""

    @property
    def is_present(self) -> bool:
        """Whether it has not left, as its connection tells at this very moment."""

    def handle_established(self, receipt: memoryview) -> None: ...

    def deliver(self, message: memoryview) -> None: ...

    def resume(self) -> None: ...

    def reject(self, retry_after_ns: int, breach: str) -> None:
        """Final answer: not done, and coming back is harmless; `breach` names a contract's limit."""

    def fail(self) -> None: ...

    def migrate(self, reason: str) -> None:
        """Send the client away politely, between two messages."""

    def handle_endpoint_ended(self, outcome: int, reset: bool) -> None: ...


class DetachedClient:
    """The client of a request that is over: whoever still holds that says its last word to nobody.

    Without it request and client would hold each other for as long as no collector comes.
    """

    is_congested = False
    is_present = False

    def handle_established(self, receipt: memoryview) -> None: ...

    def deliver(self, message: memoryview) -> None: ...

    def resume(self) -> None: ...

    def reject(self, retry_after_ns: int, breach: str) -> None: ...

    def fail(self) -> None: ...

    def migrate(self, reason: str) -> None: ...

    def handle_endpoint_ended(self, outcome: int, reset: bool) -> None: ...


DETACHED_CLIENT = DetachedClient()


class UpstreamConnection(Protocol):
    """The connection to an endpoint that an attempt uses."""

    @property
    def is_congested(self) -> bool: ...

    def deliver(self, message: memoryview) -> None: ...

    def resume(self) -> None: ...

    def oldest_unanswered_ns(self) -> int:
        """How long the oldest message that wants a reply has waited for it."""

    def idle_ns(self) -> int:
        """How long ago anything last came from the endpoint."""

    def handle_client_ended(self, reset: bool) -> None:
        """End it the way the client ended its own."""

    def abandon(self) -> None:
        """Close it now and report nothing more."""


@dataclass(slots=True, eq=False)
class ActiveRequest:
    client: Client
    klass: int
    tenant: int
    key: int
    group: int
    flags: int
    load_hint: int
    deadline: int  # on the broker's clock
    # What the endpoint is sent first, given the milliseconds that its answer is waited for.
    encode_request_line: Callable[[int], bytes]
    adopted_endpoint: bytes = b""  # the endpoint that held this connection before the start
    id: int = 0
    began: int = 0
    attempts: int = 0
    possibly_executed_at: int = 0  # when the first attempt that may have run was begun; 0 while none may have
    attempt: Attempt | None = None  # the attempt that is under way or stands
    is_answered: bool = False
    overdue_timer: TimerHandle | None = None  # until it is answered: what then answers in the module's place

    def release(self) -> Client:
        """It is over, and holds nobody from now on; the client, to be told so."""
        client, self.client = self.client, DETACHED_CLIENT
        self.settle()
        return client

    def settle(self) -> None:
        """It has its answer."""
        self.is_answered = True
        if self.overdue_timer is not None:
            self.overdue_timer.cancel()
            self.overdue_timer = None

    def part(self) -> UpstreamConnection | None:
        """No attempt is out or stands any more; its link, which the attempt holds no longer."""
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return None
        link, attempt.link = attempt.link, None
        return link


@dataclass(slots=True, eq=False)
class Attempt:
    request: ActiveRequest
    number: int
    endpoint: bytes
    began: int
    deadline: int
    link: UpstreamConnection | None = None
    is_established: bool = False
    is_sent: bool = False  # its line has gone out, or part of it: from now on it may run
    load: float | None = None  # as the endpoint last told
    outcome_on_client_end: int = Outcome.CANCELLED  # how it ends when the client's side ends it
