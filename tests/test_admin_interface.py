"""The administrative interface, and endpoints that operators drain and restore."""

from __future__ import annotations

from datetime import UTC, datetime
from email.utils import format_datetime, parsedate_to_datetime
from pathlib import Path

import pytest
from conftest import S, endpoint, entry, listed
from proxy_harness import limit_descriptors, settings, started_proxy
from running_proxy import DRAIN_CALL, RESTORE_CALL, establish_on, ranked

from linnetshift.broker.administrative_drains import AdministrativeDrains
from linnetshift.routing.events import EndpointState, ListForm


@pytest.mark.parametrize(
    ("call", "status"),
    [
        ("GET /ops/readiness", 200),
        ("HEAD /ops/readiness", 200),
        ("PUT /ops/readiness", 405),
        ("GET /ops/servers/down?id=s-0", 405),
        ("PUT /ops/servers/down", 400),
        ("PUT /ops/servers/down?id=s-0&id=s-1", 400),
        (DRAIN_CALL % "s-unknown", 404),
        (RESTORE_CALL % "s-unknown", 404),
        (RESTORE_CALL % "s-0", 200),
        ("GET /", 404),
        ("nonsense", 400),
        ("GET /" + 20_000 * "x", 431),
    ],
)
def test_admin_call_returns_http_status(tmp_path: Path, call: str, status: int) -> None:
    with started_proxy(tmp_path, admin_server=True) as running:
        assert running.call(call) == status
        running.logged("side=admin reason=answered")
        assert running.alive()


def test_unfinished_admin_calls_do_not_block_others(tmp_path: Path) -> None:
    with started_proxy(tmp_path, admin_server=True) as running:
        unfinished_calls = [running.client(b"GET /ops/rea", running.admin_port) for _ in range(60)]
        assert running.call("GET /ops/readiness") == 200
        # Above the limit of connections, the call that has been unfinished longest is rejected.
        assert unfinished_calls[0].line().startswith(b"HTTP/1.1 503 ")
        assert unfinished_calls[-1].line().startswith(b"HTTP/1.1 408 ")  # every call has a timeout
        running.logged("side=admin reason=request-timeout")


def test_admin_calls_succeed_when_clients_exhaust_descriptors(tmp_path: Path) -> None:
    # Connections that wait for an answer are not evicted, so clients could use every descriptor.
    with started_proxy(tmp_path, admin_server=True, before=limit_descriptors) as running:
        waiting_clients = [running.open(60_000) for _ in range(60)]
        running.logged("event=accept-paused")
        for _ in range(3):
            assert running.call("GET /ops/readiness") == 200
        assert waiting_clients


def test_readiness_fails_without_endpoints_and_during_shutdown(tmp_path: Path) -> None:
    with started_proxy(tmp_path, endpoints=0, admin_server=True) as running:
        assert running.call("GET /ops/readiness") == 503
    with started_proxy(tmp_path, admin_server=True) as running:
        running.establish()
        running.terminate()
        running.logged("event=shutdown-started")
        assert running.call("GET /ops/readiness") == 503


def test_response_has_a_valid_http_date(tmp_path: Path) -> None:
    before = datetime.now(UTC).replace(microsecond=0)
    with started_proxy(tmp_path, admin_server=True) as running:
        connection = running.client(b"GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n", running.admin_port)
        while not (header := connection.line()).lower().startswith(b"date: "):
            assert header
        text = header.split(b" ", 1)[1].decode().strip()
        dated = parsedate_to_datetime(text)
        assert text == format_datetime(dated, usegmt=True)
        assert before <= dated <= datetime.now(UTC)


def test_drained_endpoint_gets_no_request_until_restored(tmp_path: Path) -> None:
    with started_proxy(tmp_path, endpoints=2, admin_server=True, rules={"warmUpNs": 1}) as running:
        best, other = ranked(running)
        client, endpoint = establish_on(running, best.uid)
        for _ in range(2):  # the drain call is idempotent
            assert running.call(DRAIN_CALL % best.uid) == 200
        assert client.line() == b"MOVE\r\n"  # before the endpoint is restarted
        connections = [endpoint, establish_on(running, other.uid)]
        running.discovery.change(**{other.uid: "SERVING"})  # a full list in which both endpoints serve
        running.discovery.calls.get(timeout=20)
        running.reload("event=configuration-reloaded")
        connections.append(establish_on(running, other.uid))
        adopted = running.client(b"OPEN 1 2 c=feed,t=acme,d=2000,at=%s\r\n" % best.uid.encode())
        assert adopted.line() == b"ERR\r\n"
        assert running.call(RESTORE_CALL % best.uid) == 200  # one call restores it after several drains
        assert running.call(DRAIN_CALL % other.uid) == 200
        connections.append(establish_on(running, best.uid))


def test_connecting_request_is_rerouted_when_its_endpoint_is_drained(tmp_path: Path) -> None:
    services = [{**settings()["services"][0], "aimNs": 10 * S, "hardLimitNs": 20 * S}]
    with started_proxy(
        tmp_path, endpoints=2, admin_server=True, services=services, allowed={"connectTimeoutNs": 10 * S}
    ) as running:
        best, other = ranked(running)
        best.sock.listen(0)  # the accept queue holds one connection, so the proxy's stays pending
        queue_filler = running.client(port=best.port)
        client = running.open(wait_ms=20_000)
        best.wait_until_connecting()  # not shown by a PONG: under load it may precede the attempt
        assert running.alive()
        assert running.call(DRAIN_CALL % best.uid) == 200
        best.accept()
        queue_filler.close()
        # The connection is established now, and nothing is sent on it.
        assert best.accept().line() == b""
        other.serve()
        assert client.line() == b"UP r1\r\n"


@pytest.mark.parametrize(
    ("listed_starts_ns", "reported_start_ns"),
    [
        ([0], 9 * S),  # no later start listed: the time of the restore call counts
        ([6 * S], 6 * S),  # the list reports the restart
        ([0, 6 * S, 7 * S], 7 * S),
    ],
)
def test_restored_endpoint_starts_cold(listed_starts_ns: list[int], reported_start_ns: int) -> None:
    now_ns = 5 * S
    administrative_drains = AdministrativeDrains(lambda: now_ns)
    administrative_drains.overlay(listed(entry(1), entry(2)))
    administrative_drains.drain_endpoint(endpoint(1))
    for form in (ListForm.FULL, ListForm.CACHED, ListForm.DELTA):
        entries = administrative_drains.overlay(listed(entry(1), entry(2), form=form)).entries
        assert [listed_entry.state for listed_entry in entries] == [
            EndpointState.DRAINING,
            EndpointState.READY,
        ]
    now_ns = 9 * S
    administrative_drains.restore_endpoint(endpoint(1))
    for started_ns in listed_starts_ns:
        entries = administrative_drains.overlay(listed(entry(1, started_ns=started_ns))).entries
    assert entries == (entry(1, started_ns=reported_start_ns),)
    assert administrative_drains.is_known(endpoint(2))  # although it is no longer listed
