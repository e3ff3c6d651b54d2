"""When a graceful shutdown stops accepting, migrates, answers and ends; on a simulated clock."""

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
    """A loop whose clock stands still but for the waits for the next timer."""

    time = 0

    def __init__(self) -> None:
        super().__init__()
        self.epoll.close()
        self.epoll = SimpleNamespace(poll=self.wait)  # type: ignore[assignment]

    def now(self) -> int:
        return self.time

    def wait(self, seconds: float) -> list[tuple[int, int]]:
        assert seconds >= 0.0, "nothing is left to wait for"
        self.time += round(seconds * S)
        return []

    def stop(self) -> None:
        self.stopped = True


@dataclass
class Recorder:
    """The broker and the clients of a shutdown; notes what is done to them and when."""

    loop: SimulatedLoop
    requests: list[Any]
    waiting: list[Any] = field(default_factory=list)
    settings: Settings = SETTINGS
    unresponsive: int = 0  # connections that stay open although their clients are to migrate
    streams: int = 0
    is_draining: bool = True
    actions: list[tuple[int, str]] = field(default_factory=list)
    shutdown: GracefulShutdown = field(init=False)  # set by `shut_down`

    def note(self, action: str) -> None:
        self.actions.append((self.loop.now() // MS, action))

    def times(self, action: str) -> list[int]:
        return [time for time, noted in self.actions if noted == action]

    def established(self) -> list[Any]:
        return list(self.requests)

    def unanswered(self) -> list[Any]:
        return list(self.waiting)

    def channels(self) -> list[Any]:
        return [SimpleNamespace(request=request) for request in self.requests]

    def migrate(self, number: int, reason: str) -> None:
        assert reason == "migrated"
        self.note("migrate")
        self.requests = [request for request in self.requests if request.id != number]

    def answer_unserved(self, request: Any) -> None:
        self.note("answer")
        self.waiting.remove(request)

    def stop_listening(self) -> None:
        self.note("stop")

    def connections_in_use(self) -> int:
        return len(self.requests) + len(self.waiting) + self.unresponsive

    def open_streams(self) -> list[Any]:
        return [
            SimpleNamespace(discard_input=lambda: self.note("drain"), close=lambda: self.note("close"))
            for _ in range(self.streams)
        ]

    def notify_idle_clients(self) -> None:
        self.note("notify")


def established(count: int) -> list[Any]:
    return [SimpleNamespace(id=number) for number in range(count)]


def shut_down(count: int, is_replaced: bool = False, **others: Any) -> Recorder:
    """A shutdown that has begun at time 0."""
    loop = SimulatedLoop()
    recorder = Recorder(loop, established(count), **others)
    recorder.shutdown = GracefulShutdown(loop, recorder, recorder, is_replaced)  # type: ignore[arg-type]
    recorder.shutdown.start(recorder.shutdown.run())
    return recorder


def test_clients_migrate_evenly_between_two_parts_of_the_time() -> None:
    recorder = shut_down(100)
    recorder.loop.run()
    migrated = recorder.times("migrate")
    assert recorder.times("stop") == [600]
    assert len(migrated) == 100
    assert (min(migrated), max(migrated)) == (950, 2100)  # of the 2350 ms before the lingering
    assert max(migrated.count(time) for time in set(migrated)) <= 5
    assert recorder.times("notify") == [2100]


def test_shutdown_of_an_idle_proxy_ends_once_it_stopped_listening() -> None:
    recorder = shut_down(0)
    recorder.loop.run()
    assert recorder.actions == [(600, "stop"), (600, "notify")]
    assert recorder.loop.now() == 650 * MS


def test_requests_without_an_answer_are_answered_when_the_time_is_over() -> None:
    recorder = shut_down(0, waiting=established(2))
    recorder.loop.run()
    assert recorder.times("answer") == [2350, 2350]


def test_streams_that_clients_leave_open_are_closed_before_the_kill() -> None:
    recorder = shut_down(0, unresponsive=1, streams=2)
    recorder.loop.run()
    assert recorder.times("notify") == [2350]
    assert recorder.times("drain") == recorder.times("close") == [2600, 2600]


def test_replaced_process_migrates_at_once_and_waits_for_its_signal() -> None:
    recorder = shut_down(100, is_replaced=True, unresponsive=1)
    recorder.loop.run()
    migrated = recorder.times("migrate")
    assert not recorder.times("stop")  # its listener is the successor's
    assert min(migrated) == 100
    assert max(migrated) == 8100
    assert recorder.times("notify") == [8350]


@pytest.mark.parametrize(("signal_ms", "last_ms", "notified_ms"), [(1000, 3100, 3350), (7000, 8100, 8350)])
def test_signal_shortens_the_shutdown_of_a_replaced_process(
    signal_ms: int, last_ms: int, notified_ms: int
) -> None:
    recorder = shut_down(100, is_replaced=True, unresponsive=1)
    recorder.loop.call_later(signal_ms * MS, recorder.shutdown.shorten)
    recorder.loop.run()
    assert len(recorder.times("migrate")) == 100
    assert max(recorder.times("migrate")) == last_ms
    assert recorder.times("notify") == [notified_ms]


def test_cancelled_shutdown_migrates_nobody_else() -> None:
    recorder = shut_down(100, is_replaced=True)
    recorder.loop.call_later(500 * MS, recorder.shutdown.end)
    recorder.loop.call_later(20 * S, recorder.loop.stop)
    recorder.loop.run()
    assert recorder.requests
    assert max(recorder.times("migrate")) < 500
    assert not recorder.times("notify")


def test_channels_migrate_within_two_seconds_at_an_even_pace() -> None:
    loop = SimulatedLoop()
    recorder = Recorder(loop, established(100))
    migrator = ChannelMigrator(loop, recorder, recorder)  # type: ignore[arg-type]
    migrator.start(migrator.run())
    loop.call_later(20 * S, loop.stop)
    loop.run()
    migrated = recorder.times("migrate")
    assert len(migrated) == 100
    assert max(migrated) < 2000
    assert max(migrated.count(time) for time in set(migrated)) == 3


def test_channels_stay_once_their_frontend_listens_again() -> None:
    loop = SimulatedLoop()
    recorder = Recorder(loop, established(100))
    migrator = ChannelMigrator(loop, recorder, recorder)  # type: ignore[arg-type]
    migrator.start(migrator.run())
    recorder.is_draining = False
    loop.call_later(20 * S, loop.stop)
    loop.run()
    assert len(recorder.requests) == 97


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signals_up_to_the_end_of_the_process_leave_its_exit_status(
    tmp_path: Path, number: signal.Signals
) -> None:
    # The interpreter restores the default actions before it ends, and the next signal ended the process.
    with started_proxy(tmp_path) as running:
        running.process.send_signal(signal.SIGTERM)
        while running.process.poll() is None:
            running.process.send_signal(number)
            time.sleep(0.001)
        assert running.process.returncode == 0
