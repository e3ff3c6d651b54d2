"""Every container that lives as long as the program has a bound, and keeps to it."""

from __future__ import annotations

import re
import socket
import time
from pathlib import Path

import pytest
from conftest import MS, endpoint, entry, listed, raw_settings
from proxy import ROOT, WAIT, Terminal, inside, proxy
from test_broker import FakeSurroundings

from linnetshift.admin import server
from linnetshift.broker import administrative_drains
from linnetshift.broker.administrative_drains import AdministrativeDrains
from linnetshift.event_loop import connection_limits
from linnetshift.event_loop.loop import Loop
from linnetshift.frontends.channels import frontend
from linnetshift.lifecycle import peer_process
from linnetshift.lifecycle.peer_process import PeerProcess
from linnetshift.lifecycle.takeover_messages import PeerResources
from linnetshift.observability.resource_usage import ResourceUsage, over_bound
from linnetshift.routing.events import EndpointEntry, EndpointState, ListForm
from linnetshift.routing.settings import Settings


def names(*numbers: int, state: EndpointState = EndpointState.READY) -> list[EndpointEntry]:
    return [entry(number, state=state) for number in numbers]


@pytest.fixture
def small_bounds(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(administrative_drains, "MAX_LISTED", 8)
    monkeypatch.setattr(administrative_drains, "MAX_KNOWN", 16)
    monkeypatch.setattr(administrative_drains, "MAX_DRAINED", 4)


def test_removed_endpoints_are_forgotten_everywhere(small_bounds: None) -> None:
    # Machines are replaced under new names: each name stayed in four maps, and in a fifth if it was slow.
    around = FakeSurroundings()
    for number in range(100):
        around.broker.handle_endpoint_list(listed(*names(number), form=ListForm.DELTA))
        around.broker.latency_estimator.record_reset(endpoint(number), around.now)
        around.broker.latency_estimator.record_response_time(endpoint(number), None, 5, around.now)
        around.broker.handle_endpoint_list(
            listed(*names(number, state=EndpointState.REMOVED), form=ListForm.DELTA)
        )
        around.broker.process_events()
        assert over_bound(around.broker.resource_usage(16)) == []
    known = around.broker.administrative_drains.listed
    assert list(known)[-1] == endpoint(99)
    assert len(known) == 16
    assert set(around.broker.endpoint_views.zones) <= set(known)
    assert set(around.broker.latency_estimator.reset_at_ns) <= set(known)
    assert set(around.broker.endpoint_views.started_ns) <= set(known)
    assert set(around.broker.latency_estimator.weights) <= set(known)


def test_too_long_list_is_cut_while_known_endpoints_are_still_updated(small_bounds: None) -> None:
    kept = AdministrativeDrains(lambda: 1)
    event = kept.limit_entries(listed(*names(*range(20))))
    assert [each.endpoint for each in event.entries] == [endpoint(n) for n in range(8)]
    kept.overlay(event)
    # Known endpoints are still updated; only new names find no room.
    change = listed(*names(3, 4, state=EndpointState.DRAINING), *names(50), form=ListForm.DELTA)
    assert [each.endpoint for each in kept.limit_entries(change).entries] == [endpoint(3), endpoint(4)]
    kept.overlay(listed(*names(5, state=EndpointState.REMOVED), form=ListForm.DELTA))
    assert len(kept.limit_entries(listed(*names(51, 52), form=ListForm.DELTA)).entries) == 1
    # A full list makes room of the endpoints that it does not name.
    assert len(kept.limit_entries(listed(*names(*range(60, 68)))).entries) == 8


def test_drains_outlive_the_list_and_one_too_many_is_refused(small_bounds: None) -> None:
    around = FakeSurroundings()
    around.broker.handle_endpoint_list(listed(*names(*range(8))))
    for number in range(4):
        assert around.broker.drain_endpoint(endpoint(number))
    assert not around.broker.drain_endpoint(endpoint(4))
    assert around.broker.drain_endpoint(endpoint(0))
    for number in range(100, 200):
        around.broker.handle_endpoint_list(listed(*names(number)))
    assert all(
        around.broker.administrative_drains.is_drained(endpoint(n))
        and around.broker.administrative_drains.is_known(endpoint(n))
        for n in range(4)
    )
    assert around.broker.restore_endpoint(endpoint(0))
    assert around.broker.administrative_drains.restored
    assert over_bound(around.broker.resource_usage(16)) == []


def rules(*aims: int) -> Settings:
    one = raw_settings()["services"][0]
    return Settings.parse(
        raw_settings(
            services=[{**one, "name": f"s{n}", "aimNs": aim} for n, aim in enumerate(aims)],
            familyInfo={"messageAimNs": [1_000_000] * len(aims), "mode": "proxy"},
        )
    )


def test_reload_reuses_class_numbers_that_nobody_refers_to() -> None:
    # Each reload left a class behind forever; one in use must keep its number and its rules.
    settings = rules(1000, 2000)
    held = settings.classes[1]
    for aim in range(3000, 3050):
        settings = rules(1000, aim).numbered_after(settings, {1, *settings.offered_numbers})
        assert settings.offered[1].latency_objective_ns == aim
        assert settings.offered_numbers[0] == 0
        assert settings.classes[1] == held
    assert len(settings.classes) <= 4


def test_resource_usage_is_reported_and_within_its_bounds(tmp_path: Path) -> None:
    with proxy(tmp_path, admin_server=True) as running:
        standing = running.standing()
        told = {name: ResourceUsage(**figures) for name, figures in running.resource_usage().items()}
    assert standing
    assert over_bound(told) == []
    assert told["platform.consumers"].size == told["broker.invocations"].size == 1
    table = (ROOT / "docs" / "memory.md").read_text()
    assert set(re.findall(r"^\| `([a-z._-]+)` \|", table, re.M)) == set(told)


def test_admin_connections_that_linger_are_closed_for_new_ones(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Answered callers that kept sending held a descriptor each for up to 3 s, however many they were.
    monkeypatch.setattr(server, "MAX_CONNECTIONS", 3)
    with inside(tmp_path, admin_server=True) as running:
        kept = []
        for _ in range(9):
            conn = running.client(b"GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n", running.admin_port)
            while conn.line().strip():
                pass
            assert conn.line()
            kept.append(conn)
            assert over_bound(running.program.admin_server.resource_usage()) == []


def test_waiting_channels_of_all_sessions_together_are_bounded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A channel costs its opener nothing, and a waiting one no descriptor: 256 in each session would fit.
    monkeypatch.setattr(frontend, "MAX_OPEN_CHANNELS", 2)
    own = '[channels]\nenabled = true\nlisten = "127.0.0.1:PORT"\n'
    with inside(tmp_path, own=own) as running:
        first, second = Terminal(running.extra_port), Terminal(running.extra_port)
        first.open(1, wait_ms=60_000)
        second.open(2, wait_ms=60_000)
        attempts = [running.listeners[0].accept() for _ in range(2)]
        second.open(3)
        assert b"come again after 1000 ms" in second.expect(92, 3, 4)
        first.close()
        assert attempts[0].line()
        assert attempts[1].line()
        while running.program.channels.open_channels > 1:
            time.sleep(0.01)
        second.open(4)
        running.listeners[0].serve()
        second.confirmed(4)


def test_peer_process_that_hangs_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    # The messages sent to it twice a second piled up for as long as it hung.
    monkeypatch.setattr(peer_process, "HEARTBEAT_INTERVAL_NS", MS)
    monkeypatch.setattr(connection_limits, "STALL_NS", 100 * MS)
    beat = 1 << 20

    class FakeHotRestart:
        """Hot restart and proxy of a process that has a peer."""

        loop = Loop()
        gone_peer: PeerProcess | None = None

        def peer_resources(self) -> PeerResources:
            return PeerResources(loads={b"x" * beat: []})

        def handle_peer_gone(self, peer: PeerProcess) -> None:
            self.gone_peer = peer

    around = FakeHotRestart()
    ours, theirs = socket.socketpair()
    peer = PeerProcess(around.loop, around, around, ours)  # type: ignore[arg-type]
    peer.has_exchanged_state = True
    peer.start(peer.run())
    until, most = time.monotonic() + WAIT, 0
    while around.gone_peer is None:
        assert time.monotonic() < until
        # Else the last turn would wait for an event that never comes.
        around.loop.call_later(MS, lambda: None)
        around.loop.run_once()
        most = max(most, len(peer.stream.unsent))
    assert 0 < most < 2 * beat
    assert peer.stream.closed
    assert not peer.timers
    theirs.close()
