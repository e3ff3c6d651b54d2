"""A discovery that falls silent, answers late, is reset or comes back: what it had to tell counts as told."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import pytest
from conftest import MS, S, raw_settings
from proxy import WAIT, DiscoveryServer, Kept, Listener, RunningProxy, inside, launch, proxy, world
from test_line_protocol import ranked

from linnetshift.discovery.http_call import CONNECT_TIMEOUT_NS, CallEnded
from linnetshift.discovery.watch import (
    MAX_FULL_LIST_CALL_NS,
    MAX_TIMEOUT_DOUBLINGS,
    WAIT_AFTER_FAILURE_MS,
    WatchTimeouts,
)
from linnetshift.routing.actions import SetTimer
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import EndpointList, ListForm
from linnetshift.routing.settings import Settings

NEVER = {"rules": {"mustAskInNs": 3600 * S}}  # a back-off of minutes: who waits for it asks no more in a test
PUSHED = {"discovery": "push"}


def pace(**changes: object) -> WatchTimeouts:
    return WatchTimeouts.of(Settings.parse(raw_settings(**changes)))


def test_a_silent_watch_is_given_up_before_its_news_counts_as_told() -> None:
    # It was waited for until that very moment, and the next call backed off and queued after it.
    asked = pace(discovery="ask")
    counts = max(6 * S, asked.wait_ms * MS + 2 * S)
    assert asked.wait_ms * MS + asked.margin_ns + S <= counts


@pytest.mark.parametrize("grace_ms", [250, 1000, 2500, 60_000])
def test_the_agent_is_asked_again_while_the_grace_lasts(grace_ms: int) -> None:
    told = pace(discovery="push", rules={"drainGraceNs": grace_ms * MS})
    assert told.wait_ms * MS + told.margin_ns <= grace_ms * MS * 3 // 4
    assert told.full_list_ns <= grace_ms * MS
    assert told.wait_ms > 0
    assert told.margin_ns >= 25 * MS


def drained(running: RunningProxy, first: Listener, second: Listener) -> None:
    """`first` is known to leave: the key that it is best for goes to the other one."""
    running.logged("event=endpoint-list-received .*draining=1")
    client = running.open()
    assert running.asked() is second
    second.serve()
    assert client.line() == b"UP r1\r\n"
    assert first.state == "DRAINING"


def test_after_a_failed_call_all_that_is_waited_for_is_less_than_counts_as_told() -> None:
    # A change counts as told 6 s after discovery had it and could be reached, whatever was allowed after
    # a failed call. The next waited up to 10 s for news, 3 s more for its answer, 10 s to be connected.
    settings = raw_settings(discovery="ask", rules={"mustAskInNs": 3600 * S})
    node = Balancer(Settings.parse(settings), 1)
    longest = 0
    for n in range(40):
        for action in node.step((n + 1) * S, [EndpointList(ListForm.FAILED, 0, ())]):
            longest = max(longest, action.delay_ns if isinstance(action, SetTimer) else 0)
    asked = pace(discovery="ask", rules={"mustAskInNs": 3600 * S})
    call = max(WAIT_AFTER_FAILURE_MS * MS + (asked.margin_ns << MAX_TIMEOUT_DOUBLINGS), MAX_FULL_LIST_CALL_NS)
    # One call that failed to come up just before, the back-off, and one that has to be answered.
    assert longest > 0
    assert CONNECT_TIMEOUT_NS + longest + call <= 6 * S
    # And one that fell silent just before discovery could be reached, with the next, answered at once.
    assert call + CONNECT_TIMEOUT_NS <= 6 * S


@pytest.mark.parametrize("how", ["failed", "reset", "silent"])
def test_a_call_after_a_failed_one_waits_only_a_moment_for_news(tmp_path: Path, how: str) -> None:
    with inside(tmp_path, rules={"mustAskInNs": S // 2}) as running:
        discovery = running.discovery
        discovery.change()
        while not (path := discovery.calls.get(timeout=WAIT)).startswith("/catalog/members?since=2"):
            pass
        assert int(path.rpartition("=")[2]) >= 7000
        if how == "failed":
            discovery.fail(True)
            while not running.program.discovery.last_watch_failed:
                time.sleep(0.002)
            discovery.fail(False)
        elif how == "reset":
            discovery.reset_watches()
        else:
            call = running.program.discovery.watch_call
            assert call is not None
            running.program.discovery.post(CallEnded(call, None, timed_out=True))
        while not (path := discovery.calls.get(timeout=WAIT)).startswith("/catalog/members?since="):
            pass
        assert int(path.rpartition("=")[2]) <= 1000


def test_a_discovery_that_cannot_be_connected_to_is_not_waited_for(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A connection that does not come up had as long as a watch, a minute here.
    monkeypatch.setattr("linnetshift.discovery.http_call.CONNECT_TIMEOUT_NS", 50 * MS)
    monkeypatch.setattr("linnetshift.discovery.watch.MAX_FULL_LIST_CALL_NS", 60 * S)
    monkeypatch.setattr(WatchTimeouts, "of", classmethod(lambda cls, _: cls(False, 60_000, S, 60 * S)))
    with inside(tmp_path, rules={"mustAskInNs": S // 2}) as running:
        gone = Listener("discovery")
        gone.stall()
        running.program.discovery.relocate(
            ("127.0.0.1", gone.port), WatchTimeouts.of(running.program.config.settings)
        )
        calls: list[object] = []  # kept, so that no other has the same place
        while len(calls) < 4:  # each new one means that the one before was given up
            call = running.program.discovery.watch_call
            if call is not None and call.address[1] == gone.port and call not in calls:
                calls.append(call)
            time.sleep(0.002)


def silent_call(running: RunningProxy) -> Kept:
    return running.discovery.kept.get(timeout=WAIT)


def test_a_watch_that_fell_silent_is_opened_anew_without_a_back_off(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Silent from its start: the next one was asked for 12 s later and after a back-off, too late.
    short = classmethod(lambda cls, _: cls(False, 200, 100 * MS, 300 * MS))
    monkeypatch.setattr(WatchTimeouts, "of", short)
    with inside(tmp_path, **NEVER) as running:
        running.discovery.silent = True
        running.discovery.change()  # ends the watch that was open; the next is never answered
        assert "since=" in silent_call(running).path
        assert "since=" in silent_call(running).path


@pytest.mark.parametrize(("pushed", "doubled"), [(False, 2), (True, 0)])
def test_a_shared_discovery_that_stays_silent_is_waited_for_longer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, pushed: bool, doubled: int
) -> None:
    # Cut short at the same time again and again, no call to a crowded discovery might ever be answered.
    monkeypatch.setattr(WatchTimeouts, "of", classmethod(lambda cls, _: cls(pushed, 40, 10 * MS, 20 * MS)))
    with inside(tmp_path, **NEVER) as running:
        running.discovery.silent = True
        running.discovery.change()
        for _ in range(6):
            last = silent_call(running)
        while (call := running.program.discovery.watch_call) is None:
            pass  # between one and the next
        assert "since=" in last.path
        assert call.limit_ns - int(call.path.rpartition("=")[2]) * MS == 10 * MS << doubled


def test_an_agent_is_asked_again_after_each_way_in_which_it_fails(tmp_path: Path) -> None:
    with proxy(tmp_path, endpoints=2, **PUSHED, **{"rules": NEVER["rules"]}) as running:
        first, second = ranked(running)
        running.discovery.silent = True
        running.discovery.change()
        for _ in range(3):  # as long as it stays silent
            silent_call(running)
        running.discovery.fail(True)
        running.discovery.silent = False
        running.logged("event=discovery-call-failed .*503")
        running.logged("event=discovery-call-failed .*503")
        running.discovery.fail(False)
        running.discovery.change(**{first.uid: "DRAINING"})
        drained(running, first, second)


def test_a_watch_of_pushed_lists_that_is_reset_is_opened_at_once(tmp_path: Path) -> None:
    with proxy(tmp_path, endpoints=2, **PUSHED, **{"rules": NEVER["rules"]}) as running:
        first, second = ranked(running)
        running.discovery.reset_watches()
        running.logged("event=discovery-call-failed .*[Rr]eset")
        running.discovery.change(**{first.uid: "DRAINING"})
        drained(running, first, second)


def test_a_new_process_sends_nothing_before_the_agent_s_first_word(tmp_path: Path) -> None:
    # The list in its file is old; what the agent has counts as told from the first moment.
    with world(tmp_path, endpoints=2, **PUSHED) as made:
        first, second = made.listeners
        first.state = "DRAINING"
        made.discovery.rev += 1
        made.discovery.silent = True
        process = launch(str(made.config), str(made.own))
        running = RunningProxy(process, made.port, made.extra)
        running.listeners, running.discovery, running.config = made.listeners, made.discovery, made.config
        try:
            running.logged("event=process-started")
            kept = made.discovery.kept.get(timeout=WAIT)
            clients = [running.client(line(key)) for key in range(1, 9)]  # some are better at the first
            assert running.alive()
            made.discovery.silent = False
            kept.let_go.set()
            endpoints = []
            for _ in clients:
                assert running.asked() is second
                endpoints.append(second.serve())
            assert {each.line() for each in clients} == {b"UP r1\r\n"}
        finally:
            process.kill()
            process.wait(WAIT)


def line(key: int) -> bytes:
    return b"OPEN %016x %016x c=feed,t=acme,d=2000\r\n" % (key, key)


@pytest.mark.parametrize("discovery", ["push", "ask"])
def test_a_new_process_serves_though_the_discovery_never_says_a_word(tmp_path: Path, discovery: str) -> None:
    with world(tmp_path, discovery=discovery) as made:
        made.discovery.silent = True
        process = launch(str(made.config), str(made.own))
        running = RunningProxy(process, made.port, made.extra)
        running.listeners, running.discovery = made.listeners, made.discovery
        try:
            running.logged("event=process-started")
            assert running.alive()
            client = running.open()
            made.listeners[0].serve()
            assert client.line() == b"UP r1\r\n"
        finally:
            process.kill()
            process.wait(WAIT)


@pytest.mark.parametrize("discovery", ["push", "ask"])
def test_a_reload_asks_at_once_though_nothing_moved(tmp_path: Path, discovery: str) -> None:
    # The watch had fallen silent, and a reload that names the same address left it so.
    with proxy(tmp_path, endpoints=2, discovery=discovery, rules=NEVER["rules"]) as running:
        first, second = ranked(running)
        running.discovery.silent = True
        running.discovery.change()
        silent_call(running)
        first.state = "DRAINING"
        running.discovery.rev += 1
        running.discovery.silent = False
        running.process.send_signal(signal.SIGHUP)
        running.logged("event=configuration-reloaded")
        drained(running, first, second)


def test_a_late_answer_of_the_old_address_undoes_nothing(tmp_path: Path) -> None:
    with proxy(tmp_path, endpoints=2, rules=NEVER["rules"]) as running:
        first, second = ranked(running)
        running.discovery.silent = True
        running.discovery.change()
        old = silent_call(running)  # it has both as serving, under the version that follows
        later = DiscoveryServer(running.listeners)
        later.rev = running.discovery.rev
        first.state = "DRAINING"
        running.reload("event=configuration-reloaded", discovery=later.address)
        running.logged("event=endpoint-list-received .*draining=1")
        old.let_go.set()
        client = running.open()
        assert running.asked() is second
        second.serve()
        assert client.line() == b"UP r1\r\n"
        running.discovery.silent = False
        assert not [line for line in running.unread() if "event=endpoint-list-received" in line]


def test_a_new_address_that_is_silent_is_asked_again(tmp_path: Path) -> None:
    with proxy(tmp_path, endpoints=2, rules=NEVER["rules"]) as running:
        first, second = ranked(running)
        later = DiscoveryServer(running.listeners)
        later.silent = True
        running.reload("event=configuration-reloaded", discovery=later.address)
        assert later.kept.get(timeout=WAIT).path == "/catalog/members"
        later.silent = False
        first.state = "DRAINING"
        later.rev += 1
        drained(running, first, second)


@pytest.mark.parametrize("indent", [None, 2])
def test_lists_may_come_indented_and_in_pieces(tmp_path: Path, indent: int | None) -> None:
    with proxy(tmp_path, endpoints=2) as running:
        first, second = ranked(running)
        later = DiscoveryServer(running.listeners, indent=indent)
        first.state = "DRAINING"
        later.rev += 1
        running.reload("event=configuration-reloaded", discovery=later.address)
        drained(running, first, second)


def test_a_list_that_never_ends_is_given_up(tmp_path: Path) -> None:
    with proxy(tmp_path, endpoints=2, **PUSHED) as running:
        first, second = ranked(running)
        running.discovery.says(b'{"rev":9,"all":true,"targets":[' + b" " * (1 << 21))
        running.logged("event=discovery-call-failed .*too long")
        running.discovery.change(**{first.uid: "DRAINING"})
        drained(running, first, second)
