"""The running proxy towards its clients, endpoints and discovery, and its errors at start."""

from __future__ import annotations

import json
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest
from connections import WAIT_S, Ending
from proxy_harness import launch_process, started_proxy
from running_proxy import OPEN_LINE, RunningProxy, ranked

from rig.free_port import free_port


@pytest.fixture
def proxy(tmp_path: Path) -> Iterator[RunningProxy]:
    with started_proxy(tmp_path) as running:
        yield running


def test_lines_are_relayed_both_ways(proxy: RunningProxy) -> None:
    client = proxy.open(2000)
    endpoint = proxy.endpoints[0].accept()
    head, _, remaining_ms = endpoint.line().partition(b",d=")
    assert head.split()[2:] == OPEN_LINE.partition(b",d=")[0].split()[2:]
    assert 0 < int(remaining_ms) <= 2000  # the remainder of the client's deadline
    endpoint.send(b"UP a b\r\nLOAD 12.5\r\nfirst\r\n")
    assert [client.line() for _ in range(3)] == [b"UP a b\r\n", b"LOAD 12.5\r\n", b"first\r\n"]
    client.send(b"M 1 x\r\nM 2")
    assert endpoint.line() == b"M 1 x\r\n"
    client.send(b" y\r\n")
    assert endpoint.line() == b"M 2 y\r\n"
    endpoint.send(b"BYE\r\n")
    endpoint.close()
    assert client.line() == b"BYE\r\n"
    assert client.ended() == "fin"
    client.close()
    assert "side=client" in proxy.logged("reason=served id=1 open=[0-9a-f]+ key=[0-9a-f]+ class=feed peer")


@pytest.mark.parametrize("ending", ["fin", "reset"])
@pytest.mark.parametrize("side", ["client", "endpoint"])
def test_end_of_one_side_ends_the_other_the_same_way(proxy: RunningProxy, side: str, ending: Ending) -> None:
    # A reset passed on as a FIN would look like a connection that was served completely.
    client, endpoint = proxy.establish()
    ended_side, other_side = (client, endpoint) if side == "client" else (endpoint, client)
    ended_side.close(ending)
    assert other_side.ended() == ending
    other_side.close()
    reason = f"reason={side}-{'left' if ending == 'fin' else 'reset'}"
    log_lines = [proxy.logged(reason) for _ in ("client", "endpoint")]
    assert {"side=client", "side=endpoint"} == {
        line.split("event=connection-ended ")[1].split()[0] for line in log_lines
    }


@pytest.mark.parametrize(
    ("reply", "ending", "reason"),
    [
        (b"ERR\r\n", "fin", "error"),
        (b"BUSY\r\n", "fin", "endpoint-full"),
        (b"MOVE\r\n", "fin", "endpoint-migrated"),
        (b"", "fin", "endpoint-left"),
        (b"", "reset", "endpoint-reset"),
        (b"", None, "timed-out"),
        (b"nonsense\r\n", "fin", "error"),
        (b"UP\r\n", None, "error"),
        (b"UP \r\n", None, "error"),
        (b"UP r\xff\r\n", None, "error"),
        (b"UP r\x00\r\n", None, "error"),
        (b"", None, "unreachable"),
    ],
)
def test_failed_attempt_is_closed_before_the_next(
    tmp_path: Path, reply: bytes, ending: Ending | None, reason: str
) -> None:
    # A request may have only one attempt at a time, however the previous one failed.
    with started_proxy(tmp_path, endpoints=2) as running:
        first, second = ranked(running)
        if reason == "unreachable":
            first.sock.close()
        client = running.open(2000)
        conn = None if reason == "unreachable" else first.answer_attempt(reply, ending)
        endpoint = second.accept()
        if conn is not None and ending is None:
            assert conn.ended() in ("fin", "reset")  # already closed: no wait is needed
        endpoint.line()
        endpoint.send(b"UP r2\r\n")
        assert client.line() == b"UP r2\r\n"
        running.logged(f"side=endpoint reason={reason} .*attempt=0")


@pytest.mark.parametrize(("query", "answer"), [(b"PING\r\n", b"PONG\r\n"), (b"STATS\r\n", b"NO\r\n")])
def test_readiness_query_is_answered(proxy: RunningProxy, query: bytes, answer: bytes) -> None:
    conn = proxy.client(query)
    assert conn.line() == answer
    conn.send(b"PING\r\n")
    assert conn.line() == b"PONG\r\n"
    conn.close()
    proxy.logged("reason=probed")


def test_unknown_tenant_and_fields_are_accepted(proxy: RunningProxy) -> None:
    client = proxy.client(b"OPEN 1 2 c=feed,t=nobody,zz=9,h=1.5,d=1000\r\n")
    proxy.endpoints[0].serve()
    assert client.line() == b"UP r1\r\n"


def test_rejected_request_reports_retry_after(proxy: RunningProxy) -> None:
    # Rejected as soon as all attempts have failed, long before the client's deadline of 60 s.
    client = proxy.open(60000)
    for _ in range(4):
        proxy.endpoints[0].answer_attempt(b"BUSY\r\n", "fin")
    assert client.line() == b"BUSY 1000\r\n"
    proxy.logged("side=client reason=rejected")


def test_request_to_an_unresponsive_endpoint_is_answered_by_its_deadline(proxy: RunningProxy) -> None:
    client = proxy.open(300)
    proxy.endpoints[0].accept()
    assert client.line() in (b"ERR\r\n", b"BUSY 1000\r\n", b"BUSY\r\n")


def test_attempt_ends_when_its_client_leaves(proxy: RunningProxy) -> None:
    client = proxy.open()
    endpoint = proxy.endpoints[0].accept()
    endpoint.line()
    client.close()
    assert endpoint.ended() in ("fin", "reset")
    proxy.logged("side=client reason=withdrawn")


def test_adopted_connection_is_placed_on_its_previous_endpoint(tmp_path: Path) -> None:
    with started_proxy(tmp_path, endpoints=2) as running:
        _, second = ranked(running)
        line = b"OPEN 1 7f3a9c21e0b4d655 c=feed,t=acme,d=4294967,at=%s\r\n" % second.uid.encode()
        client = running.client(line)
        endpoint = second.serve()
        assert b",at=" + second.uid.encode() in endpoint.first_line
        assert client.line() == b"UP r1\r\n"


def test_slow_reader_loses_no_lines(proxy: RunningProxy) -> None:
    # Buffering without limit for a slow reader would exhaust memory; dropping would lose lines.
    client, endpoint = proxy.establish()
    lines = 3000
    data = b"".join(b"%08d" % n + b"y" * 1014 + b"\r\n" for n in range(lines))
    writer = threading.Thread(target=endpoint.send, args=(data,), daemon=True)
    writer.start()
    for n in range(lines):
        assert client.line() == b"%08d" % n + b"y" * 1014 + b"\r\n"
    writer.join(WAIT_S)
    assert proxy.alive()


@pytest.mark.parametrize("unfinished", [b"", b"half a li"])
def test_client_of_a_draining_endpoint_is_migrated_between_two_lines(
    tmp_path: Path, unfinished: bytes
) -> None:
    # Without migration, connections to a draining endpoint are cut off when it stops.
    with started_proxy(tmp_path, endpoints=2) as running:
        first, second = ranked(running)
        client = running.open()
        endpoint = first.serve()
        client.line()
        endpoint.send(b"whole\r\n" + unfinished)
        assert client.line() == b"whole\r\n"
        running.discovery.change(**{first.uid: "DRAINING"})
        assert client.line() == b"MOVE\r\n"
        assert client.ended() == "fin"
        assert endpoint.ended() in ("fin", "reset")
        running.logged("side=client reason=migrated")
        next_client = running.open()
        second.serve()
        assert next_client.line() == b"UP r1\r\n"


def test_client_of_an_unresponsive_endpoint_is_migrated(proxy: RunningProxy) -> None:
    # A host that fails sends no reset: the missing reply is the only sign.
    client, _endpoint = proxy.establish()
    client.send(b"M 1 x\r\n")
    assert client.line() == b"MOVE\r\n"
    proxy.logged("side=client reason=unresponsive")


def test_graceful_shutdown_answers_waiting_and_migrates_established_clients(tmp_path: Path) -> None:
    with started_proxy(tmp_path, endpoints=1) as running:
        established = [running.establish() for _ in range(5)]
        waiting = running.open(60000)
        running.endpoints[0].accept().line()
        running.terminate()
        for client, endpoint in established:
            assert client.line() == b"MOVE\r\n"
            client.close()
            assert endpoint.ended() in ("fin", "reset")
        assert waiting.line() in (b"ERR\r\n", b"BUSY\r\n", b"BUSY 1000\r\n")
        waiting.close()
        assert running.process.wait(WAIT_S) == 0


def test_watch_resumes_after_failed_discovery_calls(tmp_path: Path) -> None:
    with started_proxy(tmp_path) as running:
        discovery = running.discovery
        assert discovery.calls.get(timeout=WAIT_S).startswith("/catalog/members?since=1&timeout_ms=")
        discovery.fail(True)
        running.logged("event=discovery-call-failed")
        running.establish()  # the old list stays in use
        discovery.fail(False)
        discovery.change()
        while "since=2" not in discovery.calls.get(timeout=WAIT_S):
            pass  # failed calls; the watch resumes from the version of the next answer


@pytest.mark.parametrize(
    ("answer", "report"),
    [
        ({"rev": 2, "all": True, "targets": []}, "response-ignored .*an empty list"),
        ({"rev": 0, "all": True, "targets": [{}]}, "response-ignored .*version 0 after 1"),
        (
            {"rev": 2, "all": True, "targets": [{"uid": 7, "state": "?"}, None]},
            "endpoint-entries-invalid count=2",
        ),
        ({"rev": "x", "all": True, "targets": []}, "response-ignored .*no version"),
        ([], "response-ignored .*no list"),
    ],
)
def test_invalid_discovery_response_keeps_the_endpoint_list(
    proxy: RunningProxy, answer: object, report: str
) -> None:
    # If applied, it would migrate every connection and reject every new request.
    client, endpoint = proxy.establish()
    proxy.discovery.answer_once(answer)
    proxy.logged(report)
    endpoint.send(b"still here\r\n")
    assert client.line() == b"still here\r\n"
    proxy.establish()


@pytest.mark.parametrize(
    ("text", "report"),
    [
        (None, "cannot read"),
        ("{", "is not JSON"),
        ("[]", "holds no settings"),
        (json.dumps({"settings": {}}), "'listen' is missing"),
        (json.dumps({"listen": "here", "discovery": "127.0.0.1:1", "settings": {}}), "ADDRESS:PORT"),
        (json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": {}}), "settings key"),
    ],
)
def test_invalid_configuration_is_reported_in_one_line(tmp_path: Path, text: str | None, report: str) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    process = launch_process(str(path))
    _, error = process.communicate(timeout=WAIT_S)
    assert process.returncode == 2
    assert report in error
    assert error.count("\n") == 1


@pytest.mark.parametrize(
    ("broker_toml", "logged"),
    [
        ("[channels", "part-unusable .*is not TOML.* in_force=none"),
        ("[channels]\nenabled = true\n", "part-unusable .*'listen' is missing.* in_force=none"),
        ('[vrrp]\nenabled = true\nvrid = 0\nlisten = "127.0.0.1:1"\npeers = []\n', "part-unusable .*vrid"),
        ('[[contract]]\nteam = "strangers"\n', 'contract-names-unmatched names="team strangers"'),
        ('[[contract]]\nteam = "acme"\nrate_per_s = 0\n', "part-unusable .*rate_per_s must be above 0"),
    ],
)
@pytest.mark.usefixtures("proxy")
def test_unusable_part_of_the_broker_file_is_reported_in_one_line_and_the_proxy_serves(
    tmp_path: Path, broker_toml: str, logged: str
) -> None:
    # It ended the start with status 2: no client was served for a mistake of the operator's.
    config = json.loads((tmp_path / "config.json").read_text())
    port = free_port()
    (tmp_path / "other.json").write_text(json.dumps({**config, "listen": f"127.0.0.1:{port}"}))
    path = tmp_path / "bad.toml"
    path.write_text(broker_toml)
    running = RunningProxy(launch_process(str(tmp_path / "other.json"), str(path)), port, 0)
    try:
        running.logged(f"event=(broker-file-)?{logged}")
        assert running.alive()
        events = [line for line in running.log_lines if "part-unusable" in line or "unmatched" in line]
        assert len(events) == 1
    finally:
        running.process.kill()
        running.process.wait(WAIT_S)


@pytest.mark.usefixtures("proxy")
def test_address_in_use_is_reported_in_one_line(tmp_path: Path) -> None:
    process = launch_process(str(tmp_path / "config.json"))
    _, error = process.communicate(timeout=WAIT_S)
    assert process.returncode == 2
    assert error.count("\n") == 1
