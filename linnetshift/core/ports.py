"""What the broker asks of the parts around it; fronts and peers implement these."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from linnetshift.core.invocation import Alarm, Attempt


class Timers(Protocol):
    def wake(self, delay_ns: int, token: int) -> None:
        """Have `Broker.timer_fired` called with the token after the delay."""

    def later(self, delay_ns: int, fire: Callable[[], None]) -> Alarm: ...

    def soon(self) -> None:
        """Have `Broker.drain` called once the events at hand are all in."""


class Directory(Protocol):
    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...


class Providers(Protocol):
    def open(self, attempt: Attempt) -> None:
        """Start an attempt and set its link; what becomes of it is told to the broker."""

    def probe(self, provider: bytes) -> None: ...
