"""Hot restart with real processes: one replaces another while clients are connected and new ones connect."""

from __future__ import annotations

import json
import signal
from contextlib import ExitStack
from pathlib import Path

import pytest
from conftest import MS, S, balancer, ended, only, request
from connections import WAIT_S
from emulated_successor import EmulatedSuccessor
from proxy_harness import CHANNELS_ENABLED, launch_process, started_proxy, successor_of
from running_proxy import DRAIN_CALL, RESTORE_CALL, establish_on, ranked

from linnetshift.broker.latency_estimator import ConnectionLoad, LatencyEstimator
from linnetshift.broker.snapshot import export_state, import_state
from linnetshift.routing.actions import Send
from linnetshift.routing.events import Outcome


def test_new_process_accepts_and_the_old_one_migrates_its_clients(tmp_path: Path) -> None:
    with started_proxy(tmp_path, admin_server=True, inherits_listener=True) as old:
        established, endpoint = old.establish()
        idle_client = old.client()  # accepted by the old process, without a request
        assert old.alive()
        with successor_of(old) as new:
            new.wait_until_ready()
            assert old.call("GET /ops/readiness") == 503
            idle_client.send(b"OPEN 5 6 c=feed,t=acme,d=2000\r\n")
            idle_clients_endpoint = old.endpoints[0].serve()
            assert idle_client.line() == b"UP r1\r\n"
            new_client, new_endpoint = new.establish()
            old.terminate()
            assert {established.line(), idle_client.line()} == {b"MOVE\r\n"}
            for conn in (established, idle_client, endpoint, idle_clients_endpoint):
                conn.close()
            assert old.process.wait(WAIT_S) == 0
            new_endpoint.send(b"on\r\n")
            assert new_client.line() == b"on\r\n"
            assert new.alive()


def test_administrative_drains_apply_in_both_processes(tmp_path: Path) -> None:
    with started_proxy(
        tmp_path, endpoints=2, admin_server=True, inherits_listener=True, rules={"warmUpNs": 1}
    ) as old:
        first, second = ranked(old)
        assert old.call(DRAIN_CALL % first.uid) == 200
        with successor_of(old) as new:
            new.wait_until_ready()
            open_connections = [establish_on(new, second.uid)]
            assert new.call(RESTORE_CALL % first.uid) == 200
            old.logged(f"administrative-drain-changed endpoint={first.uid} out=False")
            open_connections.append(establish_on(new, first.uid))
            assert old.call(DRAIN_CALL % first.uid) == 200  # either process takes the call
            open_connections.append(establish_on(new, second.uid))
            assert new.call(DRAIN_CALL % "s-unknown") == 404


def test_old_process_accepts_again_after_its_successor_died(tmp_path: Path) -> None:
    with (
        started_proxy(tmp_path, admin_server=True, inherits_listener=True) as old,
        successor_of(old) as successor,
    ):
        successor.wait_until_ready()
        successor.process.kill()
        old.logged("event=successor-gone")
        assert old.call("GET /ops/readiness") == 200
        old.establish()
        with successor_of(old) as second_successor:
            second_successor.wait_until_ready()


def test_new_process_continues_after_its_predecessor_died(tmp_path: Path) -> None:
    with (
        started_proxy(tmp_path, admin_server=True, inherits_listener=True) as old,
        successor_of(old) as successor,
    ):
        successor.wait_until_ready()
        old.process.kill()
        successor.logged("event=predecessor-gone")
        successor.wait_until_ready()
        successor.establish()


def test_third_process_replaces_the_second(tmp_path: Path) -> None:
    with (
        started_proxy(tmp_path, admin_server=True, inherits_listener=True) as old,
        successor_of(old) as successor,
    ):
        successor.wait_until_ready()
        with successor_of(successor) as third:
            third.wait_until_ready()
            assert successor.call("GET /ops/readiness") == 503
            third.establish()


def test_process_accepts_again_after_a_successor_that_never_listened_for_its_own(tmp_path: Path) -> None:
    # It took its own takeover socket for that of a third process, and stayed replaced until it exited.
    with started_proxy(tmp_path, admin_server=True, inherits_listener=True) as running:
        connection = running.establish()
        with EmulatedSuccessor(tmp_path) as successor:
            successor.replace()
            running.logged("event=process-replaced")
        running.logged("event=successor-gone")
        running.wait_until_ready()
        running.establish()
        assert connection


@pytest.mark.parametrize("is_terminating", [False, True])
def test_process_stays_replaced_when_a_successor_that_was_replaced_in_turn_ends(
    tmp_path: Path, is_terminating: bool
) -> None:
    # It accepted beside the third process and took over its takeover socket: a fourth replaced the wrong one.
    with (
        started_proxy(tmp_path, admin_server=True, inherits_listener=True) as first,
        ExitStack() as stack,
    ):
        connection = first.establish()
        second = stack.enter_context(successor_of(first))
        second.wait_until_ready()
        third = stack.enter_context(successor_of(second))
        third.wait_until_ready()
        if is_terminating:
            first.terminate()
        second.process.kill()
        first.logged("event=successor-gone")
        assert first.call("GET /ops/readiness") == 503
        assert first.process.poll() is None
        fourth = stack.enter_context(successor_of(third))
        fourth.wait_until_ready()
        assert third.call("GET /ops/readiness") == 503
        if is_terminating and first.process.poll() is not None:
            # After SIGTERM it shuts down within 2 s, which a start may take on a slow machine.
            assert first.process.returncode == 0
            assert connection[0].line() == b"MOVE\r\n"
            first.logged("event=shutdown-finished held=0")
        else:
            assert first.process.poll() is None
        assert connection


def test_new_process_serves_despite_a_stale_takeover_socket(tmp_path: Path) -> None:
    with started_proxy(tmp_path, admin_server=True, inherits_listener=True) as old:
        old.process.kill()
        old.process.wait(WAIT_S)
        with successor_of(old) as successor:
            successor.wait_until_ready()
            successor.establish()


def test_channels_listener_and_vrrp_socket_are_handed_over(tmp_path: Path) -> None:
    broker_toml = (
        '[channels]\nenabled = true\nlisten = "127.0.0.1:PORT"\n'
        '[vrrp]\nenabled = true\nvrid = 1\npriority = 255\nlisten = "127.0.0.1:PORT"\npeers = []\n'
    )
    with started_proxy(tmp_path, broker_toml=broker_toml, admin_server=True, inherits_listener=True) as old:
        assert old.client(b"SSH-2.0-t\r\n", old.channels_port).line().startswith(b"SSH-2.0-")
        with successor_of(old) as new:
            new.wait_until_ready()
            old.process.send_signal(signal.SIGKILL)
            old.process.wait(WAIT_S)
            assert new.client(b"SSH-2.0-t\r\n", old.channels_port).line().startswith(b"SSH-2.0-")


@pytest.mark.parametrize(
    ("vrrp_table", "unavailable"),
    [
        ("", "channels-listener"),
        (
            '[vrrp]\nenabled = true\nvrid = 1\npriority = 255\nlisten = "127.0.0.1:PORT"\npeers = []\n',
            "vrrp-socket",
        ),
    ],
)
def test_channels_are_accepted_once_a_predecessor_that_hangs_has_ended(
    tmp_path: Path, vrrp_table: str, unavailable: str
) -> None:
    # The new process ended as the addresses of its channels frontend and of VRRP were in use.
    with (
        started_proxy(
            tmp_path, broker_toml=CHANNELS_ENABLED + vrrp_table, admin_server=True, inherits_listener=True
        ) as old,
        old.stopped(),
        successor_of(old) as new,
    ):
        assert any(f"event={unavailable}-unavailable" in line for line in new.passed_lines)
        assert new.call("GET /ops/readiness") == 503
        assert new.alive()
        old.process.kill()
        old.process.wait(WAIT_S)
        new.wait_until_ready()
        assert new.client(b"SSH-2.0-t\r\n", new.channels_port).line().startswith(b"SSH-2.0-")


@pytest.mark.parametrize("descriptor", ["2", "99", "three"])
def test_descriptor_without_a_listening_socket_is_rejected_at_start(tmp_path: Path, descriptor: str) -> None:
    with started_proxy(tmp_path) as running:
        process = launch_process(str(running.config), GW_LISTEN_FD=descriptor)
        assert process.stderr is not None
        assert "GW_LISTEN_FD names no listening socket" in process.stderr.read()
        assert process.wait(WAIT_S) == 2


def test_listener_of_the_platform_is_never_bound_or_closed(tmp_path: Path) -> None:
    with started_proxy(tmp_path, admin_server=True, inherits_listener=True) as running:
        running.reload("event=configuration-reloaded", listen="127.0.0.1:1")
        assert running.alive()
        running.terminate()
        assert running.process.wait(WAIT_S) == 0
        queued_client = running.client(b"PING\r\n")  # queued for the next process, not refused
        with successor_of(running) as successor:
            assert queued_client.line() == b"PONG\r\n"
            successor.wait_until_ready()


def test_snapshot_keeps_the_observations_of_endpoints() -> None:
    # Without them, the new process sent clients back to endpoints that the old one had migrated them off.
    old, new, latency_estimator = balancer(endpoints=3), balancer(endpoints=3, seed=2), LatencyEstimator()
    (sent,) = only(old.step(2 * S, [request(1)]), Send)
    old.step(2 * S, [ended(sent, 0, Outcome.FULL, closed=True)])
    old.admission.load_shedding.admitted_share = 0.5
    latency_estimator.reset_at_ns[sent.endpoint] = 2 * S
    exported = json.loads(json.dumps(export_state(old, latency_estimator)))
    exported["hosts"]["00"] = {}
    exported["node"]["window"] = "wide"  # of another version
    new_latency_estimator = LatencyEstimator()

    import_state(new, new_latency_estimator, exported)
    assert (
        new.admission.load_shedding.admitted_share,
        new.lifecycle.concurrency_limit.limit,
        new_latency_estimator.reset_at_ns,
    ) == (
        0.5,
        1e9,
        latency_estimator.reset_at_ns,
    )
    new.admission.load_shedding.admitted_share = 1.0
    (sent_by_new,) = only(new.step(2 * S + 1, [request(1)]), Send)
    assert sent_by_new.endpoint != sent.endpoint


def test_connections_of_the_peer_process_count_as_load() -> None:
    # When they did not, half of the connections were still in the old process and overload went undetected.
    latency_estimator = LatencyEstimator()
    latency_estimator.configure(50 * MS, 1)
    latency_estimator.weights[b"s-1"] = 2.0
    few = {b"s-1": [ConnectionLoad(80_000.0, 1, 0)] * 5}
    assert not latency_estimator.review(few, 1 * S)
    latency_estimator.peer_connections = {b"s-1": [ConnectionLoad(80_000.0, 2, 0)] * 15}
    assert latency_estimator.review(few, 2 * S)
