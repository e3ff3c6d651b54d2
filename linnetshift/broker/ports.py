"""What the broker needs of the parts around it, which implement these protocols."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from linnetshift.broker.active_request import Attempt


class TimerHandle(Protocol):
    """A timer that is armed."""

    def cancel(self) -> None:
        """Disarm the timer; without effect once it has fired."""


class Timers(Protocol):
    """Timers, and processing at the end of a turn of the event loop."""

    def set_balancer_timer(self, delay_ns: int, token: int) -> None:
        """Have `Broker.timer_fired` called with the token after the delay."""

    def call_later(self, delay_ns: int, callback: Callable[[], None], /) -> TimerHandle:
        """Have `callback` called once after the delay."""

    def schedule_processing(self) -> None:
        """Have `Broker.process_events` called once the events at hand are all in."""


class Discovery(Protocol):
    """The source of the endpoint list; results arrive through `Broker.handle_endpoint_list`."""

    def watch(self, is_on: bool) -> None:
        """Start to watch the list for changes, or stop."""

    def fetch(self) -> None:
        """Fetch the whole list once."""


class Connector(Protocol):
    """Opens connections to endpoints."""

    def open(self, attempt: Attempt) -> None:
        """Start the attempt and set its `upstream`; its outcome is reported to the broker.

        An endpoint whose address is unknown may be reported before this returns.
        """

    def check_health(self, endpoint: bytes) -> None:
        """Start a health check, which is answered with `Broker.handle_health_check_result`."""


class Client(Protocol):
    """The side that sent a request, on a line protocol connection or an SSH channel.

    Exactly one of `handle_established`, `reject` and `fail` is called as the final answer, unless the client
    leaves first. Messages are slices of a read buffer, valid only until the call returns.
    """

    @property
    def is_congested(self) -> bool:
        """Whether messages should wait; `UpstreamConnection.resume` is called once they need not."""

    @property
    def is_present(self) -> bool:
        """Whether it is still there, by a look at its socket at this very moment."""

    def handle_established(self, receipt: memoryview) -> None:
        """Final answer: the endpoint serves it; `receipt` is the endpoint's line that says so."""

    def deliver(self, message: memoryview) -> None:
        """Pass on one message of the endpoint."""

    def resume(self) -> None:
        """The endpoint's side is no longer congested: go on reading."""

    def reject(self, retry_after_ns: int, breach: str) -> None:
        """Final answer: not done, a retry does no harm; `breach` names a contract's limit or is empty."""

    def fail(self) -> None:
        """Final answer: not served, and the request may have had effects."""

    def migrate(self, reason: str) -> None:
        """Ask the client to come back on a new connection, between two messages; `reason` is for the log."""

    def handle_endpoint_ended(self, outcome: int, reset: bool) -> None:
        """The endpoint's side of the established connection is over, with a reset or in order."""


class UpstreamConnection(Protocol):
    """The connection to an endpoint that an attempt uses."""

    @property
    def is_congested(self) -> bool:
        """Whether messages should wait; `Client.resume` is called once they need not."""

    def deliver(self, message: memoryview) -> None:
        """Pass on one message of the client, valid only until the call returns."""

    def resume(self) -> None:
        """The client's side is no longer congested: go on reading."""

    def oldest_unanswered_ns(self) -> int:
        """How long the oldest message that wants a reply has waited for it; 0 when none waits."""

    def idle_ns(self) -> int:
        """How long ago anything last came from the endpoint."""

    def handle_client_ended(self, reset: bool) -> None:
        """End it the way the client ended its own."""

    def abandon(self) -> None:
        """Close it now and report nothing more."""
