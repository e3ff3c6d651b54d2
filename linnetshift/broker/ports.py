"""What the broker asks of the parts around it; frontends and peers implement these."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from linnetshift.broker.active_request import Attempt, TimerHandle


class Timers(Protocol):
    def set_balancer_timer(self, delay_ns: int, token: int) -> None:
        """Have `Broker.timer_fired` called with the token after the delay."""

    def call_later(self, delay_ns: int, fire: Callable[[], None]) -> TimerHandle: ...

    def schedule_processing(self) -> None:
        """Have `Broker.drain` called once the events at hand are all in."""


class Discovery(Protocol):
    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...


class Connector(Protocol):
    def open(self, attempt: Attempt) -> None:
        """Start an attempt and set its link; what becomes of it is told to the broker."""

    def check_health(self, endpoint: bytes) -> None: ...
