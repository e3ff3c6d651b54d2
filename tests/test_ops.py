"""The operators' door, and endpoints that are taken out and called back."""

from __future__ import annotations

from pathlib import Path

import pytest
from conftest import S, endpoint, entry, listed
from proxy import Conn, RunningProxy, proxy, settings
from test_connections_without_a_request import few
from test_line_protocol import ranked

from linnetshift.broker.administrative_drains import AdministrativeDrains
from linnetshift.routing.events import EndpointState, ListForm

DOWN, UP = "PUT /ops/servers/down?id=%s", "PUT /ops/servers/up?id=%s"


@pytest.mark.parametrize(
    ("call", "status"),
    [
        ("GET /ops/readiness", 200),
        ("HEAD /ops/readiness", 200),
        ("PUT /ops/readiness", 405),
        ("GET /ops/servers/down?id=s-0", 405),
        ("PUT /ops/servers/down", 400),
        ("PUT /ops/servers/down?id=s-0&id=s-1", 400),
        (DOWN % "s-unknown", 404),
        (UP % "s-unknown", 404),
        (UP % "s-0", 200),
        ("GET /", 404),
        ("nonsense", 400),
        ("GET /" + 20_000 * "x", 431),
    ],
)
def test_calls_are_answered_with_http_s_own_codes(tmp_path: Path, call: str, status: int) -> None:
    with proxy(tmp_path, admin_server=True) as running:
        assert running.call(call) == status
        running.logged("side=admin reason=answered")
        assert running.alive()


def test_callers_that_finish_nothing_hold_up_no_other(tmp_path: Path) -> None:
    with proxy(tmp_path, admin_server=True) as running:
        idle = [running.client(b"GET /ops/rea", running.admin_port) for _ in range(60)]
        assert running.call("GET /ops/readiness") == 200
        assert idle[0].line().startswith(b"HTTP/1.1 503 ")  # one too many: the longest unfinished goes
        assert idle[-1].line().startswith(b"HTTP/1.1 408 ")  # and nobody stays for ever
        running.logged("side=admin reason=request-timeout")


def test_callers_have_descriptors_of_their_own(tmp_path: Path) -> None:
    # Clients that wait for their answer are no strangers to shed, and could take every descriptor.
    with proxy(tmp_path, admin_server=True, before=few) as running:
        crowd = [running.open(60_000) for _ in range(60)]
        running.logged("event=accept-paused")
        for _ in range(3):
            assert running.call("GET /ops/readiness") == 200
        assert crowd


def test_not_ready_without_a_list_and_while_leaving(tmp_path: Path) -> None:
    with proxy(tmp_path, endpoints=0, admin_server=True) as running:
        assert running.call("GET /ops/readiness") == 503
    with proxy(tmp_path, admin_server=True) as running:
        running.standing()
        running.leave()
        running.logged("event=shutdown-started")
        assert running.call("GET /ops/readiness") == 503


def lands_on(running: RunningProxy, uid: str) -> tuple[Conn, Conn]:
    """A client of the key that all tests use, and its endpoint's end."""
    client = running.open()
    listener, endpoint = running.serve_any()
    assert (listener.uid, client.line()) == (uid, b"UP r1\r\n")
    return client, endpoint


def test_an_endpoint_taken_out_gets_nothing_until_it_is_called_back(tmp_path: Path) -> None:
    with proxy(tmp_path, endpoints=2, admin_server=True, rules={"warmUpNs": 1}) as running:
        first, second = ranked(running)
        client, endpoint = lands_on(running, first.uid)
        for _ in range(2):  # a call out may be repeated
            assert running.call(DOWN % first.uid) == 200
        assert client.line() == b"MOVE\r\n"  # before it is restarted
        kept = [endpoint, lands_on(running, second.uid)]
        running.discovery.change(**{second.uid: "SERVING"})  # a whole list that names it as serving
        running.discovery.calls.get(timeout=20)
        running.reload("event=configuration-reloaded")
        kept.append(lands_on(running, second.uid))
        adopted = running.client(b"OPEN 1 2 c=feed,t=acme,d=2000,at=%s\r\n" % first.uid.encode())
        assert adopted.line() == b"ERR\r\n"
        assert running.call(UP % first.uid) == 200  # one is enough
        assert running.call(DOWN % second.uid) == 200
        kept.append(lands_on(running, first.uid))


def test_what_is_dialled_when_its_endpoint_is_taken_out_goes_elsewhere(tmp_path: Path) -> None:
    patient = [{**settings()["services"][0], "aimNs": 10 * S, "hardLimitNs": 20 * S}]
    with proxy(
        tmp_path, endpoints=2, admin_server=True, services=patient, allowed={"connectTimeoutNs": 10 * S}
    ) as running:
        first, second = ranked(running)
        first.sock.listen(0)  # its queue holds one: the proxy's connection does not come up for now
        plug = running.client(port=first.port)
        client = running.open(wait_ms=20_000)
        assert running.alive()  # so the line before it has been acted on
        assert running.call(DOWN % first.uid) == 200
        first.accept()
        plug.close()
        assert first.accept().line() == b""  # it comes up after all, and is told nothing
        second.serve()
        assert client.line() == b"UP r1\r\n"


@pytest.mark.parametrize(
    ("starts", "seen"),
    [
        ([0], 9 * S),  # the list knows nothing newer: it is taken to have started when it was called back
        ([6 * S], 6 * S),  # it has heard of the restart
        ([0, 6 * S, 7 * S], 7 * S),
    ],
)
def test_what_is_called_back_counts_as_cold(starts: list[int], seen: int) -> None:
    now = 5 * S
    administrative_drains = AdministrativeDrains(lambda: now)
    administrative_drains.overlay(listed(entry(1), entry(2)))
    administrative_drains.drain_endpoint(endpoint(1))
    for form in (ListForm.FULL, ListForm.CACHED, ListForm.DELTA):
        shown = administrative_drains.overlay(listed(entry(1), entry(2), form=form)).entries
        assert [e.state for e in shown] == [EndpointState.DRAINING, EndpointState.READY]
    now = 9 * S
    administrative_drains.restore_endpoint(endpoint(1))
    for started in starts:
        shown = administrative_drains.overlay(listed(entry(1, started_ns=started))).entries
    assert shown == (entry(1, started_ns=seen),)
    assert administrative_drains.is_known(endpoint(2))  # gone from the list by now
