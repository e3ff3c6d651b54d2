"""Protocols of the parts that the broker depends on, which implement them."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from linnetshift.broker.active_request import Attempt


class TimerHandle(Protocol):
    """An armed timer."""

    def cancel(self) -> None:
        """Disarm the timer; no effect once it has fired."""


class Timers(Protocol):
    """Sets timers, and schedules processing at the end of a turn of the event loop."""

    def set_balancer_timer(self, delay_ns: int, token: int) -> None:
        """Call `Broker.timer_fired` with the token after the delay."""

    def call_later(self, delay_ns: int, callback: Callable[[], None], /) -> TimerHandle:
        """Call `callback` once after the delay."""

    def schedule_processing(self) -> None:
        """Call `Broker.process_events` once all events of this turn of the event loop are posted."""


class Discovery(Protocol):
    """The source of the endpoint list; results arrive through `Broker.handle_endpoint_list`."""

    def watch(self, is_on: bool) -> None:
        """Start or stop watching the list for changes."""

    def fetch(self) -> None:
        """Fetch the whole list once."""


class Connector(Protocol):
    """Opens connections to endpoints."""

    def open(self, attempt: Attempt) -> None:
        """Start the attempt and set its `upstream`; its outcome is reported to the broker.

        The failure of an attempt at an endpoint with an unknown address may be reported before this returns.
        """

    def check_health(self, endpoint: bytes) -> None:
        """Start a health check; its result goes to `Broker.handle_health_check_result`."""


class Client(Protocol):
    """The sender of a request, on a line protocol connection or an SSH channel.

    Exactly one of `handle_established`, `reject` and `fail` is called as the final answer, unless the client
    leaves first. Messages are slices of a read buffer, valid only until the call returns.
    """

    @property
    def is_congested(self) -> bool:
        """Whether messages should be held back, until `UpstreamConnection.resume` is called."""

    @property
    def is_present(self) -> bool:
        """Whether the client is still connected, by the current state of its socket."""

    def handle_established(self, receipt: memoryview) -> None:
        """Give the final answer: established; `receipt` is the endpoint's line that confirms it."""

    def deliver(self, message: memoryview) -> None:
        """Pass on one message from the endpoint."""

    def resume(self) -> None:
        """Continue reading, as the endpoint's side is no longer congested."""

    def reject(self, retry_after_ns: int, exceeded_limit: str) -> None:
        """Give the final answer: not done, a retry is harmless.

        `exceeded_limit` is a contract's limit or empty.
        """

    def fail(self) -> None:
        """Give the final answer: not served, and the request may have had effects."""

    def migrate(self, reason: str) -> None:
        """Ask the client, between two messages, to migrate to a new connection; `reason` is for the log."""

    def handle_endpoint_ended(self, outcome: int, reset: bool) -> None:
        """Handle the end of the endpoint's side of the established connection, by a reset or in order."""


class UpstreamConnection(Protocol):
    """The connection to an endpoint that an attempt uses."""

    @property
    def is_congested(self) -> bool:
        """Whether messages should be held back, until `Client.resume` is called."""

    def deliver(self, message: memoryview) -> None:
        """Pass on one message from the client, valid only until the call returns."""

    def resume(self) -> None:
        """Continue reading, as the client's side is no longer congested."""

    def oldest_unanswered_ns(self) -> int:
        """Age of the oldest message that still awaits a reply; 0 if there is none."""

    def idle_ns(self) -> int:
        """Time since data last arrived from the endpoint."""

    def handle_client_ended(self, reset: bool) -> None:
        """End the connection, by a reset if the client's side was reset."""

    def abandon(self) -> None:
        """Close the connection at once, without further reports to the broker."""
