"""What lives as long as the program has a bound, and keeps to it."""

from __future__ import annotations

import re
import socket
import time
from pathlib import Path

import pytest
from conftest import MS, endpoint, entry, listed, raw_settings
from proxy import ROOT, WAIT, Terminal, inside, proxy
from test_broker import Around

from linnetshift.admin import server
from linnetshift.broker import administrative_drains, broker
from linnetshift.broker.administrative_drains import AdministrativeDrains
from linnetshift.event_loop import connection_limits
from linnetshift.event_loop.loop import Loop
from linnetshift.frontends.channels import session
from linnetshift.lifecycle import peer_process
from linnetshift.lifecycle.peer_process import PeerProcess
from linnetshift.lifecycle.takeover_messages import PeerResources
from linnetshift.observability.resource_usage import ResourceUsage, over
from linnetshift.routing.events import EndpointEntry, EndpointState, ListForm
from linnetshift.routing.settings import Settings


def names(*numbers: int, state: EndpointState = EndpointState.READY) -> list[EndpointEntry]:
    return [entry(number, state=state) for number in numbers]


@pytest.fixture
def few(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(administrative_drains, "MOST_LISTED", 8)
    monkeypatch.setattr(administrative_drains, "MOST_KNOWN", 16)
    monkeypatch.setattr(administrative_drains, "MOST_OUT", 4)
    monkeypatch.setattr(broker, "MOST_KNOWN", 16)
    monkeypatch.setattr(broker, "MOST_OUT", 4)


def test_names_that_come_and_go_are_forgotten_everywhere(few: None) -> None:
    # Machines are replaced under new names: each one stayed in four maps, and one more if it was slow.
    around = Around()
    for number in range(100):
        around.broker.handle_endpoint_list(listed(*names(number), form=ListForm.DELTA))
        around.broker.latency_estimator.dropped(endpoint(number), around.now)
        around.broker.latency_estimator.answered(endpoint(number), None, 5, around.now)
        around.broker.handle_endpoint_list(
            listed(*names(number, state=EndpointState.REMOVED), form=ListForm.DELTA)
        )
        around.broker.process_events()
        assert over(around.broker.resource_usage(16)) == []
    known = around.broker.administrative_drains.listed
    assert list(known)[-1] == endpoint(99) and len(known) == 16
    assert set(around.broker.zones) <= set(known) and set(around.broker.latency_estimator.shed_at) <= set(
        known
    )
    assert set(around.broker.starts) <= set(known) and set(around.broker.latency_estimator.weights) <= set(
        known
    )


def test_a_list_that_is_too_long_is_cut_and_goes_on(few: None) -> None:
    kept = AdministrativeDrains(lambda: 1)
    event = kept.bounded(listed(*names(*range(20))))
    assert [each.endpoint for each in event.entries] == [endpoint(n) for n in range(8)]
    kept.overlay(event)
    # What is known already is heard of all the same; only new names find no room.
    change = listed(*names(3, 4, state=EndpointState.DRAINING), *names(50), form=ListForm.DELTA)
    assert [each.endpoint for each in kept.bounded(change).entries] == [endpoint(3), endpoint(4)]
    kept.overlay(listed(*names(5, state=EndpointState.REMOVED), form=ListForm.DELTA))
    assert len(kept.bounded(listed(*names(51, 52), form=ListForm.DELTA)).entries) == 1
    # A whole list frees the places of those that it does not name.
    assert len(kept.bounded(listed(*names(*range(60, 68)))).entries) == 8


def test_a_ban_is_never_forgotten_and_one_too_many_is_refused(few: None) -> None:
    around = Around()
    around.broker.handle_endpoint_list(listed(*names(*range(8))))
    for number in range(4):
        assert around.broker.drain_endpoint(endpoint(number))
    assert not around.broker.drain_endpoint(endpoint(4)) and around.broker.drain_endpoint(endpoint(0))
    for number in range(100, 200):
        around.broker.handle_endpoint_list(listed(*names(number)))
    assert all(
        around.broker.administrative_drains.holds(endpoint(n))
        and around.broker.administrative_drains.knows(endpoint(n))
        for n in range(4)
    )
    assert around.broker.restore_endpoint(endpoint(0))
    assert around.broker.administrative_drains.back and over(around.broker.resource_usage(16)) == []


def rules(*aims: int) -> Settings:
    one = raw_settings()["services"][0]
    return Settings.parse(
        raw_settings(
            services=[{**one, "name": f"s{n}", "aimNs": aim} for n, aim in enumerate(aims)],
            familyInfo={"messageAimNs": [1_000_000] * len(aims), "mode": "proxy"},
        )
    )


def test_reloads_with_other_rules_use_the_numbers_of_old_ones_again() -> None:
    # Each reload left a class behind for good; one that is in use keeps its number and its rules.
    settings = rules(1000, 2000)
    held = settings.classes[1]
    for aim in range(3000, 3050):
        settings = rules(1000, aim).numbered_after(settings, {1, *settings.offered_numbers})
        assert settings.offered[1].latency_objective_ns == aim and settings.offered_numbers[0] == 0
        assert settings.classes[1] == held
    assert len(settings.classes) <= 4


def test_the_census_is_told_and_kept(tmp_path: Path) -> None:
    with proxy(tmp_path, admin_server=True) as running:
        standing = running.standing()
        told = {name: ResourceUsage(**figures) for name, figures in running.resource_usage().items()}
    assert (
        standing
        and over(told) == []
        and told["platform.consumers"].size == told["broker.invocations"].size == 1
    )
    table = (ROOT / "docs" / "memory.md").read_text()
    assert set(re.findall(r"^\| `([a-z._-]+)` \|", table, re.M)) == set(told)


def test_callers_who_do_not_leave_give_way(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # Answered callers that sent on held a descriptor each for up to 3 s, and their number had no bound.
    monkeypatch.setattr(server, "MOST_CALLERS", 3)
    with inside(tmp_path, admin_server=True) as running:
        kept = []
        for _ in range(9):
            conn = running.client(b"GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n", running.admin_port)
            while conn.line().strip():
                pass
            assert conn.line()
            kept.append(conn)
            assert over(running.program.admin_server.resource_usage()) == []


def test_channels_that_wait_are_bounded_over_all_sessions(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A channel costs its opener nothing, and a waiting one no descriptor here: sessions times 256 would fit.
    monkeypatch.setattr(session, "MOST_OPEN", 2)
    own = '[channels]\nenabled = true\nlisten = "127.0.0.1:PORT"\n'
    with inside(tmp_path, own=own) as running:
        first, second = Terminal(running.extra_port), Terminal(running.extra_port)
        first.open(1, wait_ms=60_000)
        second.open(2, wait_ms=60_000)
        attempts = [running.listeners[0].accept() for _ in range(2)]
        second.open(3)
        assert b"come again after 1000 ms" in second.expect(92, 3, 4)
        first.close()
        assert attempts[0].line() and attempts[1].line()
        while running.program.channels.open > 1:
            time.sleep(0.01)
        second.open(4)
        running.listeners[0].serve()
        second.confirmed(4)


def test_a_process_beside_this_one_that_hangs_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    # What it was told twice a second piled up for as long as it hung.
    monkeypatch.setattr(peer_process, "HEARTBEAT_INTERVAL_NS", MS)
    monkeypatch.setattr(connection_limits, "STALL_NS", 100 * MS)
    beat = 1 << 20

    class Around:
        """The succession and the program of a process that is beside another."""

        loop = Loop()
        parted_from: PeerProcess | None = None

        def peer_resources(self) -> PeerResources:
            return PeerResources(loads={b"x" * beat: []})

        def handle_peer_gone(self, beside: PeerProcess) -> None:
            self.parted_from = beside

    around = Around()
    ours, theirs = socket.socketpair()
    beside = PeerProcess(around.loop, around, around, ours)  # type: ignore[arg-type]
    beside.has_exchanged_state = True
    beside.start(beside.run())
    until, most = time.monotonic() + WAIT, 0
    while around.parted_from is None:
        assert time.monotonic() < until
        around.loop.call_later(MS, lambda: None)  # else the last turn would wait for what never comes
        around.loop.turn()
        most = max(most, len(beside.stream.out))
    assert 0 < most < 2 * beat and beside.stream.closed and not beside.timers
    theirs.close()
