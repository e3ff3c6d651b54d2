"""Discovery watches that time out, answer late, are reset or recover, and the list changes that follow."""

from __future__ import annotations

import signal
import time
from pathlib import Path
from typing import Any

import pytest
from conftest import MS, S, raw_settings
from connections import WAIT_S
from emulated_peers import DiscoveryServer, EmulatedEndpoint, HeldCall
from proxy_harness import launch_process, proxy_environment, proxy_in_thread, started_proxy
from running_proxy import RunningProxy, ranked

from linnetshift.discovery.http_call import CONNECT_TIMEOUT_NS, CallEnded
from linnetshift.discovery.watch import (
    MAX_FULL_LIST_TIMEOUT_NS,
    MAX_TIMEOUT_DOUBLINGS,
    WAIT_AFTER_FAILURE_MS,
)
from linnetshift.discovery.watch_timeouts import WatchTimeouts
from linnetshift.endpoint_list.document import MAX_DOCUMENT_BYTES
from linnetshift.routing.actions import SetTimer
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import EndpointList, ListForm
from linnetshift.routing.settings import Settings

LONG_BACKOFF: dict[str, Any] = {"rules": {"mustAskInNs": 3600 * S}}
"""The back-off after a failed call is minutes, so that no call follows one within a test."""

PUSHED_LISTS: dict[str, Any] = {"discovery": "push"}
"""Lists are pushed by an agent on the same machine."""


def watch_timeouts(**changes: object) -> WatchTimeouts:
    """Watch timeouts that follow from the platform settings with these changes."""
    return WatchTimeouts.of(Settings.parse(raw_settings(**changes)))


def test_silent_watch_times_out_before_the_notification_deadline() -> None:
    # With a timeout exactly at that deadline, the back-off and queueing of the next call exceeded it.
    timeouts = watch_timeouts(discovery="ask")
    deadline_ns = max(6 * S, timeouts.wait_ms * MS + 2 * S)
    assert timeouts.wait_ms * MS + timeouts.margin_ns + S <= deadline_ns


@pytest.mark.parametrize("grace_ms", [250, 1000, 2500, 60_000])
def test_watch_of_pushed_lists_times_out_within_the_drain_grace_period(grace_ms: int) -> None:
    timeouts = watch_timeouts(discovery="push", rules={"drainGraceNs": grace_ms * MS})
    assert timeouts.wait_ms * MS + timeouts.margin_ns <= grace_ms * MS * 3 // 4
    assert timeouts.full_list_timeout_ns <= grace_ms * MS
    assert timeouts.wait_ms > 0
    assert timeouts.margin_ns >= 25 * MS


def assert_request_avoids_draining_endpoint(
    running: RunningProxy, best: EmulatedEndpoint, other: EmulatedEndpoint
) -> None:
    """Once the list has `best` draining, a request whose key ranks it first goes to `other`."""
    running.logged("event=endpoint-list-received .*draining=1")
    client = running.open()
    assert running.next_attempted() is other
    other.serve()
    assert client.line() == b"UP r1\r\n"
    assert best.state == "DRAINING"


def test_backoff_and_timeouts_after_failed_call_fit_within_notification_deadline() -> None:
    # The deadline is 6 s after discovery has a change and is reachable. It was exceeded when the next call
    # could wait 10 s for a change, 3 s more for its answer, and 10 s to connect.
    settings = raw_settings(discovery="ask", rules={"mustAskInNs": 3600 * S})
    decisions = Balancer(Settings.parse(settings), 1)
    longest_delay_ns = 0
    for number in range(40):
        for action in decisions.step((number + 1) * S, [EndpointList(ListForm.FAILED, 0, ())]):
            longest_delay_ns = max(longest_delay_ns, action.delay_ns if isinstance(action, SetTimer) else 0)
    timeouts = watch_timeouts(discovery="ask", rules={"mustAskInNs": 3600 * S})
    call_limit_ns = max(
        WAIT_AFTER_FAILURE_MS * MS + (timeouts.margin_ns << MAX_TIMEOUT_DOUBLINGS), MAX_FULL_LIST_TIMEOUT_NS
    )
    # A call that failed to connect, the back-off, and a call that is answered.
    assert longest_delay_ns > 0
    assert CONNECT_TIMEOUT_NS + longest_delay_ns + call_limit_ns <= 6 * S
    # A call that began just before discovery became reachable and timed out, and one answered at once.
    assert call_limit_ns + CONNECT_TIMEOUT_NS <= 6 * S


@pytest.mark.parametrize("failure", ["failed", "reset", "silent"])
def test_call_after_failed_watch_requests_short_long_poll(tmp_path: Path, failure: str) -> None:
    with proxy_in_thread(tmp_path, rules={"mustAskInNs": S // 2}) as running:
        discovery = running.discovery
        discovery.change()
        while not (path := discovery.calls.get(timeout=WAIT_S)).startswith("/catalog/members?since=2"):
            pass
        assert int(path.rpartition("=")[2]) >= 7000
        if failure == "failed":
            discovery.fail(True)
            while not running.program.discovery.last_watch_failed:
                time.sleep(0.002)
            discovery.fail(False)
        elif failure == "reset":
            discovery.reset_watches()
        else:
            call = running.program.discovery.watch_call
            assert call is not None
            running.program.discovery.post(CallEnded(call, None, has_timed_out=True))
        while not (path := discovery.calls.get(timeout=WAIT_S)).startswith("/catalog/members?since="):
            pass
        assert int(path.rpartition("=")[2]) <= 1000


def test_unreachable_discovery_address_times_out_and_is_retried(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Connecting must not have the timeout of the watch, which is a minute here.
    monkeypatch.setattr("linnetshift.discovery.http_call.CONNECT_TIMEOUT_NS", 50 * MS)
    monkeypatch.setattr("linnetshift.discovery.watch.MAX_FULL_LIST_TIMEOUT_NS", 60 * S)
    monkeypatch.setattr(WatchTimeouts, "of", classmethod(lambda cls, _: cls(False, 60_000, S, 60 * S)))
    with proxy_in_thread(tmp_path, rules={"mustAskInNs": S // 2}) as running:
        unreachable = EmulatedEndpoint("discovery")
        unreachable.fill_accept_queue()
        running.program.discovery.reconfigure(
            ("127.0.0.1", unreachable.port), WatchTimeouts.of(running.program.config.settings)
        )
        calls: list[object] = []  # kept alive, so that no two calls share an identity
        while len(calls) < 4:  # each new call means that the previous one timed out
            call = running.program.discovery.watch_call
            if call is not None and call.address[1] == unreachable.port and call not in calls:
                calls.append(call)
            time.sleep(0.002)


def unanswered_call(running: RunningProxy) -> HeldCall:
    """Wait for the next call that the discovery server leaves unanswered."""
    return running.discovery.held_calls.get(timeout=WAIT_S)


def test_silent_watch_is_reopened_without_backoff(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # With a back-off, the next call came 12 s after a watch without an answer, and too late.
    short_timeouts = classmethod(lambda cls, _: cls(False, 200, 100 * MS, 300 * MS))
    monkeypatch.setattr(WatchTimeouts, "of", short_timeouts)
    with proxy_in_thread(tmp_path, **LONG_BACKOFF) as running:
        running.discovery.hold_calls_after_open_watch()
        running.discovery.change()  # completes the open watch; the next one is never answered
        assert "since=" in unanswered_call(running).path
        assert "since=" in unanswered_call(running).path


@pytest.mark.parametrize(("pushed", "doublings"), [(False, 2), (True, 0)])
def test_timeout_doubles_while_shared_discovery_stays_silent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, pushed: bool, doublings: int
) -> None:
    # With a constant timeout, an overloaded discovery might never answer a call in time.
    monkeypatch.setattr(WatchTimeouts, "of", classmethod(lambda cls, _: cls(pushed, 40, 10 * MS, 20 * MS)))
    with proxy_in_thread(tmp_path, **LONG_BACKOFF) as running:
        running.discovery.hold_calls_after_open_watch()
        running.discovery.change()
        for _ in range(6):
            last_call = unanswered_call(running)
        while (call := running.program.discovery.watch_call) is None:
            pass  # between two calls
        assert "since=" in last_call.path
        assert call.timeout_ns - int(call.path.rpartition("=")[2]) * MS == 10 * MS << doublings


def test_refused_call_does_not_reset_the_doubled_timeout(tmp_path: Path) -> None:
    # When a 503 after each timeout reset the doubling, every call was given up while it was queued.
    with proxy_in_thread(tmp_path, rules={"mustAskInNs": S // 2}) as running:
        discovery = running.program.discovery
        running.discovery.hold_calls_after_open_watch()
        running.discovery.change()
        unanswered_call(running)
        for has_timed_out in (True, False, True, False):
            call = discovery.watch_call
            assert call is not None
            discovery.post(CallEnded(call, None, has_timed_out))
            while "since=" not in (next_call := unanswered_call(running)).path:
                pass
        while (call := discovery.watch_call) is None:
            pass  # between two calls
        assert call.path == next_call.path
        margin_ns = discovery.timeouts.margin_ns << MAX_TIMEOUT_DOUBLINGS
        assert call.timeout_ns == int(call.path.rpartition("=")[2]) * MS + margin_ns


def test_pushed_list_watch_recovers_after_timeouts_and_error_responses(tmp_path: Path) -> None:
    with started_proxy(tmp_path, endpoints=2, **PUSHED_LISTS, **LONG_BACKOFF) as running:
        best, other = ranked(running)
        running.discovery.hold_calls_after_open_watch()
        running.discovery.change()
        for _ in range(3):  # repeated while there is no answer
            unanswered_call(running)
        running.discovery.fail(True)
        running.discovery.holds_calls = False
        running.logged("event=discovery-call-failed .*503")
        running.logged("event=discovery-call-failed .*503")
        running.discovery.fail(False)
        running.discovery.change(**{best.uid: "DRAINING"})
        assert_request_avoids_draining_endpoint(running, best, other)


def test_reset_watch_of_pushed_lists_is_reopened_at_once(tmp_path: Path) -> None:
    with started_proxy(tmp_path, endpoints=2, **PUSHED_LISTS, **LONG_BACKOFF) as running:
        best, other = ranked(running)
        running.discovery.reset_watches()
        running.logged("event=discovery-call-failed .*[Rr]eset")
        running.discovery.change(**{best.uid: "DRAINING"})
        assert_request_avoids_draining_endpoint(running, best, other)


def test_new_process_sends_no_request_before_first_pushed_list(tmp_path: Path) -> None:
    # The list in the proxy file is outdated; the process counts as notified of the agent's list at its start.
    with proxy_environment(tmp_path, endpoints=2, **PUSHED_LISTS) as environment:
        best, other = environment.endpoints
        best.state = "DRAINING"
        environment.discovery.rev += 1
        environment.discovery.holds_calls = True
        process = launch_process(str(environment.config), str(environment.broker_file))
        running = RunningProxy(process, environment.port, environment.channels_port)
        running.endpoints = environment.endpoints
        running.discovery = environment.discovery
        running.config = environment.config
        try:
            running.logged("event=process-started")
            first_call = environment.discovery.held_calls.get(timeout=WAIT_S)
            # Some of these keys rank the draining endpoint first.
            clients = [running.client(request_line(key)) for key in range(1, 9)]
            assert running.alive()
            environment.discovery.holds_calls = False
            first_call.release.set()
            endpoints = []
            for _ in clients:
                assert running.next_attempted() is other
                endpoints.append(other.serve())
            assert {client.line() for client in clients} == {b"UP r1\r\n"}
        finally:
            process.kill()
            process.wait(WAIT_S)


def request_line(key: int) -> bytes:
    """Request line with this key, which is its id too."""
    return b"OPEN %016x %016x c=feed,t=acme,d=2000\r\n" % (key, key)


@pytest.mark.parametrize("discovery", ["push", "ask"])
def test_new_process_serves_when_discovery_never_answers(tmp_path: Path, discovery: str) -> None:
    with proxy_environment(tmp_path, discovery=discovery) as environment:
        environment.discovery.holds_calls = True
        process = launch_process(str(environment.config), str(environment.broker_file))
        running = RunningProxy(process, environment.port, environment.channels_port)
        running.endpoints = environment.endpoints
        running.discovery = environment.discovery
        try:
            running.logged("event=process-started")
            assert running.alive()
            client = running.open()
            environment.endpoints[0].serve()
            assert client.line() == b"UP r1\r\n"
        finally:
            process.kill()
            process.wait(WAIT_S)


@pytest.mark.parametrize("discovery", ["push", "ask"])
def test_reload_with_unchanged_address_reopens_silent_watch_at_once(tmp_path: Path, discovery: str) -> None:
    # A reload that did not change the address left a silent watch open.
    with started_proxy(tmp_path, endpoints=2, discovery=discovery, rules=LONG_BACKOFF["rules"]) as running:
        best, other = ranked(running)
        running.discovery.hold_calls_after_open_watch()
        running.discovery.change()
        unanswered_call(running)
        best.state = "DRAINING"
        running.discovery.rev += 1
        running.discovery.holds_calls = False
        running.process.send_signal(signal.SIGHUP)
        running.logged("event=configuration-reloaded")
        assert_request_avoids_draining_endpoint(running, best, other)


def test_late_answer_from_former_address_is_ignored(tmp_path: Path) -> None:
    with started_proxy(tmp_path, endpoints=2, rules=LONG_BACKOFF["rules"]) as running:
        best, other = ranked(running)
        running.discovery.hold_calls_after_open_watch()
        running.discovery.change()
        former_call = unanswered_call(running)  # its list has both endpoints serving, under the next revision
        new_server = DiscoveryServer(running.endpoints)
        new_server.rev = running.discovery.rev
        best.state = "DRAINING"
        running.reload("event=configuration-reloaded", discovery=new_server.address)
        running.logged("event=endpoint-list-received .*draining=1")
        former_call.release.set()
        client = running.open()
        assert running.next_attempted() is other
        other.serve()
        assert client.line() == b"UP r1\r\n"
        running.discovery.holds_calls = False
        assert not [line for line in running.unread_lines() if "event=endpoint-list-received" in line]


def answer_with_drain(call: HeldCall, running: RunningProxy, best: EmulatedEndpoint) -> None:
    """Answer a call with a new version of the list, in which the endpoint drains."""
    best.state = "DRAINING"
    running.discovery.rev += 1
    call.answer_with(running.discovery.listing())


def test_answer_to_a_watch_replaced_by_a_reload_is_used(tmp_path: Path) -> None:
    # Closing the former call lost what discovery had written to it.
    with started_proxy(tmp_path, endpoints=2, rules=LONG_BACKOFF["rules"]) as running:
        best, other = ranked(running)
        running.discovery.hold_calls_after_open_watch()
        running.discovery.change()
        former_call = unanswered_call(running)
        running.process.send_signal(signal.SIGHUP)
        unanswered_call(running)
        answer_with_drain(former_call, running, best)
        assert_request_avoids_draining_endpoint(running, best, other)


def test_newer_answer_from_the_address_before_the_former_one_is_used(tmp_path: Path) -> None:
    # Calls at addresses before the former one were dropped.
    with started_proxy(tmp_path, endpoints=2, rules=LONG_BACKOFF["rules"]) as running:
        best, other = ranked(running)
        running.discovery.hold_calls_after_open_watch()
        running.discovery.change()
        former_call = unanswered_call(running)
        silent_servers = [DiscoveryServer(running.endpoints) for _ in range(2)]
        for server in silent_servers:
            server.holds_calls = True
            running.reload("event=configuration-reloaded", discovery=server.address)
            assert server.held_calls.get(timeout=WAIT_S)
        answer_with_drain(former_call, running, best)
        assert_request_avoids_draining_endpoint(running, best, other)


def test_newer_answer_from_former_address_is_used_after_an_answer_from_the_new_one(tmp_path: Path) -> None:
    # The call at the former address was dropped at the first answer from the new one.
    with started_proxy(tmp_path, endpoints=2, rules=LONG_BACKOFF["rules"]) as running:
        best, other = ranked(running)
        running.discovery.hold_calls_after_open_watch()
        running.discovery.change()
        former_call = unanswered_call(running)
        new_server = DiscoveryServer(running.endpoints)
        new_server.rev = running.discovery.rev
        running.reload("event=configuration-reloaded", discovery=new_server.address)
        running.logged("event=endpoint-list-received form=full")
        answer_with_drain(former_call, running, best)
        assert_request_avoids_draining_endpoint(running, best, other)


def test_silent_new_address_is_called_again(tmp_path: Path) -> None:
    with started_proxy(tmp_path, endpoints=2, rules=LONG_BACKOFF["rules"]) as running:
        best, other = ranked(running)
        new_server = DiscoveryServer(running.endpoints)
        new_server.holds_calls = True
        running.reload("event=configuration-reloaded", discovery=new_server.address)
        assert new_server.held_calls.get(timeout=WAIT_S).path == "/catalog/members"
        new_server.holds_calls = False
        best.state = "DRAINING"
        new_server.rev += 1
        assert_request_avoids_draining_endpoint(running, best, other)


@pytest.mark.parametrize(
    "invalid_fields",
    [
        {"capacity_hint": "large"},
        {"pod_group": "x"},
        {"boot_ms": "x"},
        {"endpoint": "here"},
        {"state": "LEAVING"},
    ],
)
def test_drain_is_seen_in_an_entry_with_an_invalid_field(
    tmp_path: Path, invalid_fields: dict[str, Any]
) -> None:
    # When such an entry was left out as a whole, its state was lost.
    with started_proxy(tmp_path, endpoints=2, **LONG_BACKOFF) as running:
        best, other = ranked(running)
        best.state = "DRAINING"
        listing = running.discovery.listing()
        listing["rev"] += 1
        listing["targets"] = [
            target | invalid_fields if target["uid"] == best.uid else target for target in listing["targets"]
        ]
        running.discovery.answer_open_watch(listing)
        assert_request_avoids_draining_endpoint(running, best, other)


def test_removal_is_seen_in_a_full_list_with_an_invalid_entry(tmp_path: Path) -> None:
    # Such a list counted as a delta, and an endpoint that it did not name stayed in use.
    with started_proxy(tmp_path, endpoints=3, **LONG_BACKOFF) as running:
        best = ranked(running)[0]
        listing = running.discovery.listing()
        listing["rev"] += 1
        listing["targets"] = [target for target in listing["targets"] if target["uid"] != best.uid]
        listing["targets"][0]["capacity_hint"] = "large"
        running.discovery.answer_open_watch(listing)
        running.logged("event=endpoint-list-received .*removed=1")
        client = running.open()
        attempted = running.next_attempted()
        assert attempted is not best
        attempted.serve()
        assert client.line() == b"UP r1\r\n"


def test_drain_is_seen_in_a_list_held_back_as_older(tmp_path: Path) -> None:
    # Nothing of a list that was held back was used for 30 s.
    with started_proxy(tmp_path, endpoints=2, **LONG_BACKOFF) as running:
        best, other = ranked(running)
        best.state = "DRAINING"
        older = running.discovery.listing() | {"rev": 0}
        best.state = "SERVING"
        running.discovery.answer_once(older)
        running.logged("event=discovery-response-ignored .*version 0")
        running.logged("event=endpoint-list-received .*draining=1")
        # The list is fetched again, and the current one has the endpoint ready.
        running.logged("event=endpoint-list-received form=full .*draining=0")
        client = running.open()
        assert running.next_attempted() is best
        best.serve()
        assert client.line() == b"UP r1\r\n"
        assert other


@pytest.mark.parametrize("indent", [None, 2])
def test_indented_list_in_several_segments_is_parsed(tmp_path: Path, indent: int | None) -> None:
    with started_proxy(tmp_path, endpoints=2) as running:
        best, other = ranked(running)
        new_server = DiscoveryServer(running.endpoints, indent=indent)
        best.state = "DRAINING"
        new_server.rev += 1
        running.reload("event=configuration-reloaded", discovery=new_server.address)
        assert_request_avoids_draining_endpoint(running, best, other)


def test_oversized_list_fails_the_call_and_the_watch_recovers(tmp_path: Path) -> None:
    with started_proxy(tmp_path, endpoints=2, **PUSHED_LISTS) as running:
        best, other = ranked(running)
        running.discovery.answer_once(b'{"rev":9,"all":true,"targets":[' + b" " * MAX_DOCUMENT_BYTES)
        running.logged(f"event=discovery-call-failed .*response body longer than {MAX_DOCUMENT_BYTES} bytes")
        running.discovery.change(**{best.uid: "DRAINING"})
        assert_request_avoids_draining_endpoint(running, best, other)
