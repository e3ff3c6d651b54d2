"""Times at which a graceful shutdown stops accepting, migrates, answers and ends; on a simulated clock."""

from __future__ import annotations

import signal
import time
from dataclasses import dataclass, field
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from conftest import MS, S, effect, raw_settings
from proxy_harness import started_proxy

from linnetshift.event_loop.loop import Loop
from linnetshift.lifecycle.graceful_shutdown import ChannelMigrator, GracefulShutdown
from linnetshift.routing.settings import Settings

SETTINGS = Settings.parse(raw_settings(**effect("repeatable", hardLimitNs=2 * S)))  # killed after 2.7 s


class SimulatedLoop(Loop):
    """A loop whose clock advances only by the waits for the next timer."""

    time = 0

    def __init__(self) -> None:
        super().__init__()
        self.epoll.close()
        self.epoll = SimpleNamespace(poll=self.wait)  # type: ignore[assignment]

    def now(self) -> int:
        return self.time

    def wait(self, seconds: float) -> list[tuple[int, int]]:
        assert seconds >= 0.0, "no timer is set"
        self.time += round(seconds * S)
        return []

    def stop(self) -> None:
        self.stopped = True


@dataclass
class Recorder:
    """The broker and the clients of a shutdown; records the actions on them with their times."""

    loop: SimulatedLoop
    requests: list[Any]  # established
    unanswered_requests: list[Any] = field(default_factory=list)
    settings: Settings = SETTINGS
    unresponsive: int = 0  # connections that stay open although their clients are to migrate
    streams: int = 0
    is_draining: bool = True
    actions: list[tuple[int, str]] = field(default_factory=list)  # each with its time in ms
    shutdown: GracefulShutdown = field(init=False)  # set by `started_shutdown`

    def record(self, action: str) -> None:
        self.actions.append((self.loop.now() // MS, action))

    def times_ms(self, action: str) -> list[int]:
        return [time_ms for time_ms, recorded in self.actions if recorded == action]

    def established(self) -> list[Any]:
        return list(self.requests)

    def unanswered(self) -> list[Any]:
        return list(self.unanswered_requests)

    def channels(self) -> list[Any]:
        return [SimpleNamespace(request=request) for request in self.requests]

    def migrate(self, number: int, reason: str) -> None:
        assert reason == "migrated"
        self.record("migrate")
        self.requests = [request for request in self.requests if request.id != number]

    def answer_without_balancer(self, request: Any) -> None:
        self.record("answer")
        self.unanswered_requests.remove(request)

    def stop_listening(self) -> None:
        self.record("stop")

    def connections_in_use(self) -> int:
        return len(self.requests) + len(self.unanswered_requests) + self.unresponsive

    def open_streams(self) -> list[Any]:
        return [
            SimpleNamespace(discard_input=lambda: self.record("drain"), close=lambda: self.record("close"))
            for _ in range(self.streams)
        ]

    def notify_idle_clients(self) -> None:
        self.record("notify")

    def end_sessions(self) -> None:
        self.record("end sessions")


def numbered_requests(count: int) -> list[Any]:
    return [SimpleNamespace(id=number) for number in range(count)]


def started_shutdown(count: int, is_replaced: bool = False, **others: Any) -> Recorder:
    """A shutdown with `count` established requests, started at time 0."""
    loop = SimulatedLoop()
    recorder = Recorder(loop, numbered_requests(count), **others)
    recorder.shutdown = GracefulShutdown(loop, recorder, recorder, is_replaced)  # type: ignore[arg-type]
    recorder.shutdown.start(recorder.shutdown.run())
    return recorder


def test_clients_migrate_evenly_between_40_and_92_percent_of_the_time() -> None:
    recorder = started_shutdown(100)
    recorder.loop.run()
    migrated = recorder.times_ms("migrate")
    assert recorder.times_ms("stop") == [600]
    assert len(migrated) == 100
    assert (min(migrated), max(migrated)) == (950, 2100)  # of the 2350 ms before lingering
    assert max(migrated.count(time_ms) for time_ms in set(migrated)) <= 5
    assert recorder.times_ms("notify") == [2100]


def test_shutdown_of_an_idle_proxy_ends_after_it_stops_listening() -> None:
    recorder = started_shutdown(0)
    recorder.loop.run()
    assert recorder.actions == [(600, "stop"), (600, "notify")]
    assert recorder.loop.now() == 650 * MS


def test_unanswered_requests_are_answered_at_the_deadline() -> None:
    recorder = started_shutdown(0, unanswered_requests=numbered_requests(2))
    recorder.loop.run()
    assert recorder.times_ms("answer") == [2350, 2350]


def test_streams_that_clients_leave_open_are_closed_before_the_kill() -> None:
    recorder = started_shutdown(0, unresponsive=1, streams=2)
    recorder.loop.run()
    assert recorder.times_ms("notify") == [2350]
    assert recorder.times_ms("end sessions") == [2350]
    assert recorder.times_ms("drain") == recorder.times_ms("close") == [2600, 2600]


def test_sessions_that_stay_open_may_open_channels_until_the_deadline() -> None:
    """Guards against review/10: a session that rested was ended before its last CHANNEL_OPEN was answered."""
    recorder = started_shutdown(0, streams=1)
    recorder.loop.run()
    assert recorder.times_ms("notify") == [600]
    assert recorder.times_ms("end sessions") == [2350]


def test_replaced_process_migrates_from_the_start_until_its_later_deadline() -> None:
    recorder = started_shutdown(100, is_replaced=True, unresponsive=1)
    recorder.loop.run()
    migrated = recorder.times_ms("migrate")
    assert not recorder.times_ms("stop")  # its listener is the successor's
    assert min(migrated) == 100
    assert max(migrated) == 8100
    assert recorder.times_ms("notify") == [8350]


@pytest.mark.parametrize(("signal_ms", "last_ms", "notified_ms"), [(1000, 3100, 3350), (7000, 8100, 8350)])
def test_signal_shortens_the_shutdown_of_a_replaced_process(
    signal_ms: int, last_ms: int, notified_ms: int
) -> None:
    recorder = started_shutdown(100, is_replaced=True, unresponsive=1)
    recorder.loop.call_later(signal_ms * MS, recorder.shutdown.shorten)
    recorder.loop.run()
    assert len(recorder.times_ms("migrate")) == 100
    assert max(recorder.times_ms("migrate")) == last_ms
    assert recorder.times_ms("notify") == [notified_ms]


def test_cancelled_shutdown_migrates_no_more_clients() -> None:
    recorder = started_shutdown(100, is_replaced=True)
    recorder.loop.call_later(500 * MS, recorder.shutdown.end)
    recorder.loop.call_later(20 * S, recorder.loop.stop)
    recorder.loop.run()
    assert recorder.requests
    assert max(recorder.times_ms("migrate")) < 500
    assert not recorder.times_ms("notify")


def test_channels_migrate_within_two_seconds_at_an_even_rate() -> None:
    loop = SimulatedLoop()
    recorder = Recorder(loop, numbered_requests(100))
    migrator = ChannelMigrator(loop, recorder, recorder)  # type: ignore[arg-type]
    migrator.start(migrator.run())
    loop.call_later(20 * S, loop.stop)
    loop.run()
    migrated = recorder.times_ms("migrate")
    assert len(migrated) == 100
    assert max(migrated) < 2000
    assert max(migrated.count(time_ms) for time_ms in set(migrated)) == 3


def test_channels_stop_migrating_when_their_frontend_listens_again() -> None:
    loop = SimulatedLoop()
    recorder = Recorder(loop, numbered_requests(100))
    migrator = ChannelMigrator(loop, recorder, recorder)  # type: ignore[arg-type]
    migrator.start(migrator.run())
    recorder.is_draining = False
    loop.call_later(20 * S, loop.stop)
    loop.run()
    assert len(recorder.requests) == 97


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signals_until_the_process_ends_do_not_change_its_exit_status(
    tmp_path: Path, number: signal.Signals
) -> None:
    # The interpreter restores the default signal actions before it exits: a signal then killed the process.
    with started_proxy(tmp_path) as running:
        running.process.send_signal(signal.SIGTERM)
        while running.process.poll() is None:
            running.process.send_signal(number)
            time.sleep(0.001)
        assert running.process.returncode == 0
