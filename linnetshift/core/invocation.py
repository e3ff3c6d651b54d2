"""An invocation asks for one connection; an attempt tries to have one provider serve it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from linnetshift.interface import Outcome


class Alarm(Protocol):
    """What a timer is held by."""

    def cancel(self) -> None: ...


class Consumer(Protocol):
    """The side that asked. Messages are slices that hold only until the call returns."""

    @property
    def congested(self) -> bool:
        """Whether messages should wait; `Link.resume` is called once they need not."""

    @property
    def present(self) -> bool:
        """Whether it has not left, as its connection tells at this very moment."""

    def up(self, receipt: memoryview) -> None: ...

    def deliver(self, message: memoryview) -> None: ...

    def resume(self) -> None: ...

    def reject(self, retry_after_ns: int, breach: str) -> None:
        """Final answer: not done, and coming back is harmless; `breach` names a contract's limit."""

    def fail(self) -> None: ...

    def move(self, reason: str) -> None:
        """Send the consumer away politely, between two messages."""

    def provider_ended(self, outcome: int, reset: bool) -> None: ...


class Nobody:
    """The consumer of an invocation that is over: whoever still holds that says its last word to nobody.

    Without it invocation and consumer would hold each other for as long as no collector comes.
    """

    congested = False
    present = False

    def up(self, receipt: memoryview) -> None: ...

    def deliver(self, message: memoryview) -> None: ...

    def resume(self) -> None: ...

    def reject(self, retry_after_ns: int, breach: str) -> None: ...

    def fail(self) -> None: ...

    def move(self, reason: str) -> None: ...

    def provider_ended(self, outcome: int, reset: bool) -> None: ...


NOBODY = Nobody()


class Link(Protocol):
    """The connection to a provider that an attempt uses."""

    @property
    def congested(self) -> bool: ...

    def deliver(self, message: memoryview) -> None: ...

    def resume(self) -> None: ...

    def waiting_ns(self) -> int:
        """How long the oldest message that wants a reply has waited for it."""

    def quiet_ns(self) -> int:
        """How long ago anything last came from the provider."""

    def consumer_ended(self, reset: bool) -> None:
        """End it the way the consumer ended its own."""

    def abandon(self) -> None:
        """Close it now and report nothing more."""


@dataclass(slots=True, eq=False)
class Invocation:
    consumer: Consumer
    klass: int
    tenant: int
    key: int
    group: int
    flags: int
    hint: int
    deadline: int  # on the broker's clock
    opening: Callable[[int], bytes]  # what the provider is told first, given the ms it will be waited for
    adopt: bytes = b""  # the provider that held this connection before the start
    id: int = 0
    began: int = 0
    attempts: int = 0
    ran_at: int = 0  # when the first attempt that may have run was begun; 0 while none may have
    out: Attempt | None = None  # the attempt that is under way or stands
    answered: bool = False
    overdue: Alarm | None = None  # until it is answered: what then answers in the module's place

    def release(self) -> Consumer:
        """It is over, and holds nobody from now on; the consumer, to be told so."""
        consumer, self.consumer = self.consumer, NOBODY
        self.settle()
        return consumer

    def settle(self) -> None:
        """It has its answer."""
        self.answered = True
        if self.overdue is not None:
            self.overdue.cancel()
            self.overdue = None

    def part(self) -> Link | None:
        """No attempt is out or stands any more; its link, which the attempt holds no longer."""
        attempt, self.out = self.out, None
        if attempt is None:
            return None
        link, attempt.link = attempt.link, None
        return link


@dataclass(slots=True, eq=False)
class Attempt:
    invocation: Invocation
    number: int
    provider: bytes
    began: int
    deadline: int
    link: Link | None = None
    standing: bool = False
    sent: bool = False  # its line has gone out, or part of it: from now on it may run
    load: float | None = None  # as the provider last told
    verdict: int = Outcome.CANCELLED  # how it ends when the consumer's side ends it
