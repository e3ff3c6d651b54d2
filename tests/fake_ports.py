"""Fake implementations of the ports that a broker uses, for unit tests of the broker."""

from __future__ import annotations

from collections.abc import Callable
from unittest.mock import Mock

from conftest import S, entry, listed, raw_settings

from linnetshift.broker.active_request import ActiveRequest, Attempt
from linnetshift.broker.broker import Broker
from linnetshift.broker.contracts import Contracts
from linnetshift.broker.ports import TimerHandle
from linnetshift.routing.settings import Settings


class FakePorts:
    """A broker with fake timers, discovery, connector and client, which record the broker's calls."""

    is_congested = False
    is_present = True

    def __init__(self, contracts: Contracts | None = None) -> None:
        self.now = 1 * S
        self.client_calls: list[object] = []
        self.timers: list[tuple[int, Callable[[], None]]] = []
        self.attempts: list[Attempt] = []
        settings = Settings.parse(raw_settings())
        self.broker = Broker(settings, 1, lambda: self.now, self, self, self, contracts or Contracts())
        self.broker.handle_endpoint_list(listed(*(entry(n) for n in range(4))))
        self.broker.process_events()

    def submit(self, wait_ns: int = 1 * S, flags: int = 0) -> ActiveRequest:
        request = self.make_request(wait_ns, flags)
        self.broker.submit(request)
        self.broker.process_events()
        return request

    def submit_adoption(self, adopted_endpoint: bytes) -> ActiveRequest:
        request = self.make_request(1 * S, 0, adopted_endpoint)
        self.broker.submit(request)
        return request

    def make_request(self, wait_ns: int, flags: int, adopted_endpoint: bytes = b"") -> ActiveRequest:
        return ActiveRequest(
            client=self,
            class_number=0,
            tenant=0,
            key=7,
            group=0,
            flags=flags,
            load_hint=0,
            deadline=self.now + wait_ns,
            encode_request_line=lambda ms: b"%d" % ms,
            adopted_endpoint=adopted_endpoint,
        )

    def set_balancer_timer(self, delay_ns: int, token: int) -> None:
        self.call_later(delay_ns, lambda: self.broker.timer_fired(token))

    def call_later(self, delay_ns: int, fire: Callable[[], None]) -> TimerHandle:
        self.timers.append((self.now + delay_ns, fire))
        return Mock()

    def schedule_processing(self) -> None: ...

    def watch(self, is_on: bool) -> None: ...

    def fetch(self) -> None: ...

    def check_health(self, endpoint: bytes) -> None: ...

    def open(self, attempt: Attempt) -> None:
        self.attempts.append(attempt)

    def handle_established(self, receipt: memoryview) -> None:
        self.client_calls.append("up")

    def deliver(self, message: memoryview) -> None: ...

    def resume(self) -> None: ...

    def reject(self, retry_after_ns: int, exceeded_limit: str) -> None:
        self.client_calls.append(("reject", retry_after_ns, exceeded_limit))

    def fail(self) -> None:
        self.client_calls.append("fail")

    def migrate(self, reason: str) -> None:
        self.client_calls.append(("migrate", reason))

    def handle_endpoint_ended(self, outcome: int, reset: bool) -> None:
        self.client_calls.append(("ended", outcome, reset))

    def advance_to(self, now: int) -> None:
        self.now = now
        due = [fire for at, fire in self.timers if at <= now]
        self.timers = [(at, fire) for at, fire in self.timers if at > now]
        for fire in due:
            fire()
        self.broker.process_events()
