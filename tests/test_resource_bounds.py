"""Every container that lives as long as the process has a bound on its size, and stays within it."""

from __future__ import annotations

import re
import socket
import time
from pathlib import Path

import pytest
from conftest import MS, S, endpoint, entry, listed, raw_settings
from connections import WAIT_S, ChannelsClient
from fake_ports import FakePorts
from proxy_harness import ROOT, proxy_in_thread, settings, started_proxy

from linnetshift.admin import server
from linnetshift.broker import administrative_drains
from linnetshift.broker.administrative_drains import AdministrativeDrains
from linnetshift.event_loop import connection_limits
from linnetshift.event_loop.loop import Loop
from linnetshift.frontends.channels import frontend
from linnetshift.frontends.channels.messages import MessageNumber, OpenFailureReason
from linnetshift.lifecycle import peer_process
from linnetshift.lifecycle.peer_process import PeerProcess
from linnetshift.lifecycle.takeover_messages import PeerResources
from linnetshift.observability.resource_usage import ResourceUsage, over_bound
from linnetshift.routing.events import EndpointEntry, EndpointState, ListForm
from linnetshift.routing.settings import Settings


def entries(*numbers: int, state: EndpointState = EndpointState.READY) -> list[EndpointEntry]:
    """List entries of the endpoints with these numbers, all in one state."""
    return [entry(number, state=state) for number in numbers]


@pytest.fixture
def small_bounds(monkeypatch: pytest.MonkeyPatch) -> None:
    """Bounds of a few endpoints for the administrative drains."""
    monkeypatch.setattr(administrative_drains, "MAX_LISTED", 8)
    monkeypatch.setattr(administrative_drains, "MAX_KNOWN", 16)
    monkeypatch.setattr(administrative_drains, "MAX_DRAINED", 4)


def test_maps_of_endpoints_stay_bounded_when_endpoints_are_replaced(small_bounds: None) -> None:
    # Machines are replaced under new ids. Otherwise each stays in four maps, and in a fifth if it was slow.
    ports = FakePorts()
    for number in range(100):
        ports.broker.handle_endpoint_list(listed(*entries(number), form=ListForm.DELTA))
        ports.broker.latency_estimator.record_reset(endpoint(number), ports.now)
        ports.broker.latency_estimator.record_response_time(endpoint(number), None, 5, ports.now)
        ports.broker.handle_endpoint_list(
            listed(*entries(number, state=EndpointState.REMOVED), form=ListForm.DELTA)
        )
        ports.broker.process_events()
        assert over_bound(ports.broker.resource_usage(16)) == []
    listed_endpoints = ports.broker.administrative_drains.listed
    assert list(listed_endpoints)[-1] == endpoint(99)
    assert len(listed_endpoints) == 16
    assert set(ports.broker.endpoint_views.zones) <= set(listed_endpoints)
    assert set(ports.broker.latency_estimator.reset_at_ns) <= set(listed_endpoints)
    assert set(ports.broker.endpoint_views.started_ns) <= set(listed_endpoints)
    assert set(ports.broker.latency_estimator.weights) <= set(listed_endpoints)


def test_too_long_list_is_truncated_but_known_endpoints_are_updated(small_bounds: None) -> None:
    drains = AdministrativeDrains(lambda: 1)
    event = drains.limit_entries(listed(*entries(*range(20))))
    assert [listed_entry.endpoint for listed_entry in event.entries] == [
        endpoint(number) for number in range(8)
    ]
    drains.overlay(event)
    # Changes of known endpoints are kept; only new endpoints are dropped.
    change = listed(*entries(3, 4, state=EndpointState.DRAINING), *entries(50), form=ListForm.DELTA)
    assert [listed_entry.endpoint for listed_entry in drains.limit_entries(change).entries] == [
        endpoint(3),
        endpoint(4),
    ]
    drains.overlay(listed(*entries(5, state=EndpointState.REMOVED), form=ListForm.DELTA))
    assert len(drains.limit_entries(listed(*entries(51, 52), form=ListForm.DELTA)).entries) == 1
    # A full list frees the places of endpoints that it does not contain.
    assert len(drains.limit_entries(listed(*entries(*range(60, 68)))).entries) == 8


def test_drains_outlast_removal_from_list_and_are_rejected_over_the_limit(small_bounds: None) -> None:
    ports = FakePorts()
    ports.broker.handle_endpoint_list(listed(*entries(*range(8))))
    for number in range(4):
        assert ports.broker.drain_endpoint(endpoint(number))
    assert not ports.broker.drain_endpoint(endpoint(4))
    assert ports.broker.drain_endpoint(endpoint(0))
    for number in range(100, 200):
        ports.broker.handle_endpoint_list(listed(*entries(number)))
    assert all(
        ports.broker.administrative_drains.is_drained(endpoint(number))
        and ports.broker.administrative_drains.is_known(endpoint(number))
        for number in range(4)
    )
    assert ports.broker.restore_endpoint(endpoint(0))
    assert ports.broker.administrative_drains.restored
    assert over_bound(ports.broker.resource_usage(16)) == []


def settings_with_objectives(*objectives_ns: int) -> Settings:
    """Settings with one class of requests for each latency objective, in nanoseconds."""
    service = raw_settings()["services"][0]
    return Settings.parse(
        raw_settings(
            services=[
                {**service, "name": f"s{number}", "aimNs": objective_ns}
                for number, objective_ns in enumerate(objectives_ns)
            ],
            familyInfo={"messageAimNs": [1_000_000] * len(objectives_ns), "mode": "proxy"},
        )
    )


def test_reload_reuses_class_numbers_without_references() -> None:
    # Otherwise each reload adds a class for good. A class in use must keep its number and its settings.
    settings = settings_with_objectives(1000, 2000)
    class_in_use = settings.classes[1]
    for objective_ns in range(3000, 3050):
        settings = settings_with_objectives(1000, objective_ns).numbered_after(
            settings, {1, *settings.offered_numbers}
        )
        assert settings.offered[1].latency_objective_ns == objective_ns
        assert settings.offered_numbers[0] == 0
        assert settings.classes[1] == class_in_use
    assert len(settings.classes) <= 4


def test_resource_usage_is_reported_and_within_its_bounds(tmp_path: Path) -> None:
    with started_proxy(tmp_path, admin_server=True) as running:
        established = running.establish()
        usage = {name: ResourceUsage(**figures) for name, figures in running.resource_usage().items()}
    assert established
    assert over_bound(usage) == []
    assert usage["platform.consumers"].size == usage["broker.invocations"].size == 1
    table = (ROOT / "docs" / "memory.md").read_text()
    assert set(re.findall(r"^\| `([a-z._-]+)` \|", table, re.M)) == set(usage)


def test_admin_connections_that_linger_are_closed_for_new_ones(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # An answered connection that keeps sending uses a descriptor for up to 3 s, so these need a limit.
    monkeypatch.setattr(server, "MAX_CONNECTIONS", 3)
    with proxy_in_thread(tmp_path, admin_server=True) as running:
        connections = []
        for _ in range(9):
            connection = running.client(b"GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n", running.admin_port)
            while connection.line().strip():
                pass
            assert connection.line()
            connections.append(connection)
            assert over_bound(running.program.admin_server.resource_usage()) == []


def test_waiting_channels_are_bounded_across_all_sessions(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A channel is cheap to open and needs no descriptor while it waits; each session alone could have 256.
    monkeypatch.setattr(frontend, "MAX_OPEN_CHANNELS", 2)
    channels_enabled = '[channels]\nenabled = true\nlisten = "127.0.0.1:PORT"\n'
    # One attempt for each channel: an endpoint that does not answer in time would get a second one.
    services = [{**settings()["services"][0], "aimNs": 60 * S, "hardLimitNs": 120 * S}]
    with proxy_in_thread(tmp_path, broker_toml=channels_enabled, services=services) as running:
        first, second = ChannelsClient(running.channels_port), ChannelsClient(running.channels_port)
        first.open(1, wait_ms=60_000)
        second.open(2, wait_ms=60_000)
        attempts = [running.endpoints[0].accept() for _ in range(2)]
        # Read before the first client closes: an attempt whose line is not sent by then ends without it.
        assert attempts[0].line()
        assert attempts[1].line()
        second.open(3)
        assert b"come again after 1000 ms" in second.expect(
            MessageNumber.CHANNEL_OPEN_FAILURE, 3, OpenFailureReason.RESOURCE_SHORTAGE
        )
        first.close()
        while running.program.channels.open_channels > 1:
            time.sleep(0.01)
        second.open(4)
        running.endpoints[0].serve()
        second.expect_confirmation(4)


def test_hanging_peer_process_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    # Otherwise the heartbeats, sent twice a second, accumulate for as long as the peer does not read.
    monkeypatch.setattr(peer_process, "HEARTBEAT_INTERVAL_NS", MS)
    monkeypatch.setattr(connection_limits, "STALL_NS", 100 * MS)
    heartbeat_bytes = 1 << 20

    class FakeHotRestart:
        """Hot restart and proxy of a process that has a peer."""

        loop = Loop()
        gone_peer: PeerProcess | None = None

        def peer_resources(self) -> PeerResources:
            """Loads large enough to fill the stream of a peer that does not read."""
            return PeerResources(loads={b"x" * heartbeat_bytes: []})

        def handle_peer_disconnected(self, peer: PeerProcess) -> None:
            """Record the peer that was disconnected."""
            self.gone_peer = peer

    hot_restart = FakeHotRestart()
    own_end, peer_end = socket.socketpair()
    peer = PeerProcess(hot_restart.loop, hot_restart, hot_restart, own_end)  # type: ignore[arg-type]
    peer.has_exchanged_state = True
    peer.start(peer.run())
    give_up_at_s = time.monotonic() + WAIT_S
    max_unsent_bytes = 0
    while hot_restart.gone_peer is None:
        assert time.monotonic() < give_up_at_s
        # Without a timer the last turn would wait for an event that never comes.
        hot_restart.loop.call_later(MS, lambda: None)
        hot_restart.loop.run_once()
        max_unsent_bytes = max(max_unsent_bytes, len(peer.stream.unsent))
    assert 0 < max_unsent_bytes < 2 * heartbeat_bytes
    assert peer.stream.closed
    assert not peer.timers
    peer_end.close()
