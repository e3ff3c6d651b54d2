"""The final answer of a request: each state of it against each event that ends a connection or the process.

The unlucky order is forced: connections that come up late (a full queue at the endpoint), and a program that
is stopped while both ends act, so that it finds what they did in one turn and in that order.
"""

from __future__ import annotations

import re
import select
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import pytest
from conftest import MS, S
from proxy import WAIT, Conn, Listener, RunningProxy, Terminal, free_port, proxy, settings
from test_line_protocol import ranked

CHANNELS = '[channels]\nenabled = true\nlisten = "127.0.0.1:PORT"\n'
ONCE = {"effect": "once"}
LONG = 9000  # ms; shorter than twice the aim, so that all of it is one attempt's
LINE = b"OPEN 77 7f3a9c21e0b4d655 c=feed,t=acme,d=%d\r\n"


@contextmanager
def patient(folder: Path, endpoints: int = 2, own: str = "", **klass: Any) -> Iterator[RunningProxy]:
    """Waits long for a connection to come up; the class has other rules where some are given."""
    base = settings()["services"][0]
    service = {**base, "aimNs": 10 * S, "hardLimitNs": 20 * S, **klass}
    with proxy(
        folder, endpoints, own, services=[service], allowed={"connectTimeoutNs": 10 * S, "maxAttempts": 4}
    ) as running:
        yield running


def connecting(running: RunningProxy, first: Listener, wait_ms: int = LONG) -> Conn:
    first.stall()
    client = running.client(LINE % wait_ms)
    first.dialled()
    return client


def held(running: RunningProxy, first: Listener, wait_ms: int = LONG) -> tuple[Conn, list[tuple[Conn, Conn]]]:
    """As many attempts are out as may be; those, and the one that waits for one of them to end."""
    out = []
    for number in range(9):  # eight, and one more for the swift set-up that came before
        client = running.client(LINE.replace(b"77", b"%d" % number) % LONG)
        out.append((client, first.accept()))
        assert out[-1][1].line().startswith(b"OPEN %d " % number)
    client = running.client(LINE % wait_ms)
    assert running.alive()  # its line was read before that of the one who asks
    return client, out


def in_state(
    running: RunningProxy, first: Listener, state: str
) -> tuple[Conn, Conn | None, list[tuple[Conn, Conn]]]:
    """A request that is held, dialled or sent: the client, the endpoint's end, and what keeps it held."""
    if state == "sent":
        return *sent(running, first), []
    if state == "held":
        client, out = held(running, first)
        return client, None, out
    return connecting(running, first), None, []


def let_go(out: list[tuple[Conn, Conn]]) -> None:
    for _, endpoint in out:
        endpoint.send(b"UP r1\r\n")


def sent(running: RunningProxy, first: Listener, wait_ms: int = LONG) -> tuple[Conn, Conn]:
    client = running.client(LINE % wait_ms)
    endpoint = first.accept()
    assert endpoint.line().startswith(b"OPEN 77 ")
    return client, endpoint


# ---- a connection that comes up late ---------------------------------------------------------


def test_endpoint_drained_while_connecting_is_sent_nothing(tmp_path: Path) -> None:
    # The list was looked at when the module decided, up to a connect's time before the line went out.
    with patient(tmp_path) as running:
        first, second = ranked(running)
        client = connecting(running, first)
        running.discovery.change(**{first.uid: "DRAINING"})
        running.logged("event=endpoint-list-received .*draining=1")
        first.go_on()
        assert first.accept().line() == b""
        second.serve()
        assert client.line() == b"UP r1\r\n"


@pytest.mark.parametrize("frontend", ["platform", "channels"])
@pytest.mark.parametrize("how", ["fin", "reset"])
def test_nothing_is_sent_for_a_client_that_has_left(tmp_path: Path, frontend: str, how: str) -> None:
    # The connection came up before the client's end was read, though after it had come.
    with patient(tmp_path, own=CHANNELS) as running:
        first, _ = ranked(running)
        first.stall()
        if frontend == "channels":
            client: Conn = Terminal(running.extra_port)
            assert isinstance(client, Terminal)
            client.open(5, key=0x7F3A9C21E0B4D655, wait_ms=LONG)
        else:
            client = running.client(LINE % LONG)
        first.dialled()
        with running.stopped():
            first.go_on()
            endpoint = first.accept()
            client.close(how)
        assert endpoint.line() == b""
        running.logged("side=client reason=withdrawn" if frontend == "platform" else "side=channel")
        again = running.client(LINE.replace(b"77", b"78") % LONG)
        assert first.accept().line().startswith(b"OPEN 78 ")
        assert again


@pytest.mark.parametrize("unread", [1, 1000, 20_000_000])
def test_nothing_is_sent_for_a_client_whose_end_lies_behind_unread_bytes(tmp_path: Path, unread: int) -> None:
    # A look at the next byte says that there is one; over 64 KiB not even the kernel has heard of the end.
    with patient(tmp_path) as running:
        first, _ = ranked(running)
        client = connecting(running, first)
        with running.stopped():
            first.go_on()
            endpoint = first.accept()
            client.sock.setblocking(False)
            with suppress(BlockingIOError):
                client.send(b"x" * unread)
            client.close()
        assert endpoint.line() == b""
        running.logged("side=client reason=(withdrawn|bad-line)")


def test_nothing_is_sent_for_a_session_whose_end_lies_behind_unread_bytes(tmp_path: Path) -> None:
    with patient(tmp_path, own=CHANNELS) as running:
        first, _ = ranked(running)
        first.stall()
        terminal = Terminal(running.extra_port)
        terminal.open(5, key=0x7F3A9C21E0B4D655, wait_ms=LONG)
        first.dialled()
        with running.stopped():
            first.go_on()
            endpoint = first.accept()
            terminal.packet(2, b"never mind")  # IGNORE, which tells nobody that it left
            terminal.close()
        assert endpoint.line() == b""
        running.logged("side=channel")


def test_burst_of_departed_clients_sends_nothing(tmp_path: Path) -> None:
    # Eight are dialled, the others held; all leave while the program is busy, then the connections come up.
    with patient(tmp_path) as running:
        first, _ = ranked(running)
        first.stall()
        gone = [running.client(LINE.replace(b"77", b"%d" % n) % LONG) for n in range(100, 160)]
        first.dialled()
        assert running.alive()
        with running.stopped():
            for client in gone:
                client.close()
            first.go_on()
        again = running.client(LINE % LONG)
        heard = b""
        while not heard:
            heard = first.accept().line()
        assert heard.startswith(b"OPEN 77 ")
        assert again


def test_client_that_left_before_accept_sends_nothing(tmp_path: Path) -> None:
    with patient(tmp_path) as running:
        first, _ = ranked(running)
        with running.stopped():
            gone = [running.client(LINE.replace(b"77", b"%d" % n) % LONG) for n in range(100, 108)]
            for client in gone:
                client.close()
        again = running.client(LINE % LONG)
        assert first.accept().line().startswith(b"OPEN 77 ")
        assert again


def test_queued_request_of_departed_client_is_not_sent(tmp_path: Path) -> None:
    with patient(tmp_path) as running:
        first, _ = ranked(running)
        client, out = held(running, first)
        with running.stopped():
            let_go(out)
            client.close()
        running.logged("side=client reason=withdrawn .*attempts=0")
        again = running.client(LINE.replace(b"77", b"78") % LONG)
        assert first.accept().line().startswith(b"OPEN 78 ")
        assert again


def test_endpoint_that_closes_on_accept_proves_nothing_was_executed(tmp_path: Path) -> None:
    # The line was written to a connection that was known to be over, and counted as what may have run.
    with patient(tmp_path, **ONCE) as running:
        first, second = ranked(running)
        client = connecting(running, first)
        with running.stopped():
            first.go_on()
            first.accept().close()
        second.serve()
        assert client.line() == b"UP r1\r\n"


def test_retry_is_not_sent_after_its_idempotency_window(tmp_path: Path) -> None:
    # Looked at when the module decided, and not when the connection was up and the line went out.
    window = {"effect": "by_key", "group": "all", "windowNs": 2 * S}
    base = {**settings()["services"][0], "aimNs": 10 * S, "hardLimitNs": 20 * S, **window}
    with proxy(tmp_path, 2, services=[base], allowed={"connectTimeoutNs": 1500 * MS}) as running:
        first, second = ranked(running)
        second.stall()
        client, endpoint = sent(running, first)
        endpoint.send(b"ERR\r\n")
        second.dialled()
        with running.stopped():
            second.go_on()
            repeat = second.accept()
            time.sleep(2.0)
        assert repeat.line() == b""
        assert client.line() == b"ERR\r\n"  # "come again" would say that coming again is harmless


def test_retry_that_could_miss_its_idempotency_window_is_not_started(tmp_path: Path) -> None:
    with patient(
        tmp_path, effect="by_key", group="all", windowNs=5 * S
    ) as running:  # a connect may take 10 s
        first, _ = ranked(running)
        client, endpoint = sent(running, first)
        endpoint.send(b"ERR\r\n")
        assert client.line() == b"BUSY 1000\r\n"  # by when the client's own is in time
        running.logged("side=client reason=rejected .*attempts=1")


# ---- the table -------------------------------------------------------------------------------


def fin(conn: Conn) -> None:
    conn.close()


def reset(conn: Conn) -> None:
    conn.close("reset")


def cut(conn: Conn) -> None:
    conn.send(b"UP r")
    conn.close()


def garbage(conn: Conn) -> None:
    conn.send(b"\xff\x00\r\n")


def endless(conn: Conn) -> None:
    conn.send(b"x" * 6000)


def twice(conn: Conn) -> None:
    conn.send(b"ERR\r\nUP r1\r\n")
    conn.close()


def of_client(running: RunningProxy) -> list[str]:
    return [
        line
        for line in running.seen + running.unread()
        if re.search("event=connection-ended side=client.* open=77 ", line)
    ]


@pytest.mark.parametrize("state", ["held", "connecting", "sent"])
@pytest.mark.parametrize("leave", [fin, reset])
def test_departed_client_ends_its_request_in_each_state(
    tmp_path: Path, state: str, leave: Callable[[Conn], None]
) -> None:
    with patient(tmp_path) as running:
        first, _ = ranked(running)
        running.seen.clear()
        client, endpoint, out = in_state(running, first, state)
        leave(client)
        running.logged("side=client reason=withdrawn")
        if endpoint is not None:
            assert endpoint.ended() in ("fin", "reset")
        elif state == "connecting":
            first.go_on()
        let_go(out)
        again = running.client(LINE.replace(b"77", b"78") % LONG)
        attempt = running.asked().accept()
        assert attempt.line().startswith(b"OPEN 78 ")
        assert again
        assert len(of_client(running)) == 1


@pytest.mark.parametrize(
    ("state", "rules", "answer"),
    [
        ("held", ONCE, b"BUSY\r\n"),
        ("connecting", ONCE, b"BUSY\r\n"),
        ("sent", ONCE, b"ERR\r\n"),
        ("sent", {"effect": "by_key", "group": "zone", "windowNs": 60 * S}, b"ERR\r\n"),
        ("sent", {"effect": "by_key", "group": "all", "windowNs": 60 * S}, b"BUSY\r\n"),
        ("sent", {"effect": "by_key", "group": "all", "windowNs": 1}, b"ERR\r\n"),
        ("sent", {}, b"BUSY\r\n"),
    ],
)
@pytest.mark.parametrize("end", ["leaves", "stops"])
def test_possibly_executed_request_is_never_rejected_as_retry_safe(
    tmp_path: Path, state: str, rules: dict[str, Any], answer: bytes, end: str
) -> None:
    # At a planned stop, and to a client that had ended its sending, all were told to come again.
    with patient(tmp_path, **rules) as running:
        first, _ = ranked(running)
        client, _endpoint, _out = in_state(running, first, state)
        if end == "leaves":
            client.sock.shutdown(1)
        else:
            running.leave()
        assert client.line() == answer
        assert client.ended() == "fin"
        client.close()
        if end == "stops":
            assert running.process.wait(WAIT) == 0


@pytest.mark.parametrize("act", [fin, reset, cut, garbage, endless, twice])
def test_endpoint_end_fails_possibly_executed_request(tmp_path: Path, act: Callable[[Conn], None]) -> None:
    with patient(tmp_path, **ONCE) as running:
        first, _ = ranked(running)
        running.seen.clear()
        client, endpoint = sent(running, first)
        act(endpoint)
        assert client.line() == b"ERR\r\n"
        assert client.ended() == "fin"
        client.close()
        running.logged("side=client reason=failed .*attempts=1")
        assert len(of_client(running)) == 1


@pytest.mark.parametrize("later", [b"ERR\r\n", b"BUSY\r\n", b"UP r2\r\n"])
def test_second_answer_is_not_relayed(tmp_path: Path, later: bytes) -> None:
    with patient(tmp_path) as running:
        first, second = ranked(running)
        client, endpoint = sent(running, first)
        with running.stopped():
            endpoint.send(b"BUSY\r\n")
            endpoint.send(later)
        served = second.serve()
        assert client.line() == b"UP r1\r\n"
        served.send(b"x\r\n")
        assert client.line() == b"x\r\n"


def test_partial_line_and_end_are_relayed(tmp_path: Path) -> None:
    with proxy(tmp_path) as running:
        client, endpoint = running.standing()
        with running.stopped():
            endpoint.send(b"whole\r\nhal")
            endpoint.close()
        assert client.line() == b"whole\r\n"
        assert client.line() == b"hal"
        client.close()
        running.logged("side=client reason=endpoint-left")


def test_slow_reader_receives_everything_before_its_migration(tmp_path: Path) -> None:
    # Half a second after that word it was closed, whatever it had not taken yet, that word too.
    with proxy(tmp_path, 2) as running:
        first, _ = ranked(running)
        client = running.open()
        endpoint = first.serve()
        assert client.line() == b"UP r1\r\n"
        endpoint.sock.settimeout(0.5)
        with suppress(TimeoutError):
            while True:  # until all on the way is full
                endpoint.send(b"y" * 3998 + b"\r\n")
        endpoint.sock.settimeout(WAIT)
        running.discovery.change(**{first.uid: "DRAINING"})
        with suppress(ConnectionError):
            assert endpoint.sock.recv(1) == b""  # the client was told to move
        time.sleep(1.2)
        lines = list(iter(client.line, b""))
        assert lines.pop() == b"MOVE\r\n"
        assert set(lines) == {b"y" * 3998 + b"\r\n"}


# ---- SIGTERM ---------------------------------------------------------------------------------


def test_graceful_shutdown_answers_the_accept_queue(tmp_path: Path) -> None:
    # 64 are accepted in a turn; those behind them were reset when the listener closed.
    with proxy(tmp_path) as running:
        running.leave()
        running.logged("event=shutdown-started")
        with running.stopped():
            crowd = [running.open(1000) for _ in range(200)]
            time.sleep(0.7)  # past the time in which new ones still come
        for client in crowd:
            assert client.line()[:4] in (b"BUSY", b"ERR\r")
            client.close()
        assert running.process.wait(WAIT) == 0


def test_reload_serves_the_accept_queue_of_the_former_address(tmp_path: Path) -> None:
    with patient(tmp_path, endpoints=1) as running:
        port = free_port()
        text = running.config.read_text().replace(f"127.0.0.1:{running.port}", f"127.0.0.1:{port}")
        running.config.write_text(text)
        with running.stopped():
            running.process.send_signal(1)
            crowd = [running.client(LINE.replace(b"77", b"%x" % n) % LONG) for n in range(100, 300)]
        endpoint = running.listeners[0]
        kept = [endpoint.serve() for _ in crowd]
        for client in crowd:
            assert client.line() == b"UP r1\r\n"
        assert len(kept) == len(crowd)


@pytest.mark.parametrize("said", [b"", b"OPEN 1 2 c=fe", b"PING\r\n"])
def test_idle_client_is_notified_and_crossing_request_is_not_sent(tmp_path: Path, said: bytes) -> None:
    # It was reset by the exit, and a line that came in that moment was lost.
    with proxy(tmp_path) as running:
        resting = running.client(said)
        if said.endswith(b"\n"):
            assert resting.line() == b"PONG\r\n"
        else:
            assert running.alive()
        running.leave()
        assert resting.line() == b"BUSY\r\n"
        assert resting.ended() == "fin"
        resting.send(LINE % 2000)  # it had not seen the end when it asked
        resting.close()
        assert running.process.wait(WAIT) == 0
        running.logged("event=shutdown-finished")
        assert not [line for line in running.seen if "event=attempt-started" in line]


@pytest.mark.parametrize("frontend", ["platform", "channels"])
def test_late_request_on_idle_connection_is_answered_until_exit(tmp_path: Path, frontend: str) -> None:
    with proxy(tmp_path, own=CHANNELS) as running:
        standing = running.standing()  # keeps the program until its turn to be moved
        resting: Conn = Terminal(running.extra_port) if frontend == "channels" else running.client()
        assert running.alive()
        running.leave()
        running.logged("event=shutdown-started")
        if isinstance(resting, Terminal):
            resting.open(5)  # served, or refused once no more is taken: either is its answer
            ends = [running.listeners[0].sock, resting.sock]
            if running.listeners[0].sock in select.select(ends, [], [], WAIT)[0]:
                kept = running.listeners[0].serve()
                assert resting.confirmed(5) >= 0
                assert kept
                assert b"move@linnetshift" in resting.expect(98, 5)
                resting.expect(97, 5)
            else:
                assert resting.read()[0] in (92, 1)
        else:
            resting.send(LINE % 2000)
            kept = running.listeners[0].serve()
            assert resting.line() == b"UP r1\r\n"
            assert kept
            assert resting.line() == b"MOVE\r\n"
        assert standing[0].line() == b"MOVE\r\n"
        for client in (standing[0], resting):
            client.close()
        assert running.process.wait(WAIT) == 0


def test_last_answer_survives_unread_input(tmp_path: Path) -> None:
    with proxy(tmp_path) as running:
        client, endpoint = running.standing()
        running.leave()
        running.logged("event=shutdown-started")
        with running.stopped():
            client.send(b"half a line")
            endpoint.send(b"so is this")
            time.sleep(3.5)  # at once the time to be moved and that to be gone are over
        assert client.line() == b"MOVE\r\n"
        assert client.ended() == "fin"
        client.close()
        assert running.process.wait(WAIT) == 0


def test_answer_under_way_at_shutdown_is_relayed(tmp_path: Path) -> None:
    # Both are there in one turn: the client is served, and then moved like any other.
    with patient(tmp_path) as running:
        first, _ = ranked(running)
        client, endpoint = sent(running, first)
        with running.stopped():
            endpoint.send(b"UP r1\r\n")
            running.leave()
        assert [client.line(), client.line()] == [b"UP r1\r\n", b"MOVE\r\n"]
        assert client.ended() == "fin"
        assert endpoint.line() == b""
        client.close()
        assert running.process.wait(WAIT) == 0


def test_flood_during_shutdown_costs_no_client_its_answer(tmp_path: Path) -> None:
    with patient(tmp_path) as running:
        first, _ = ranked(running)
        client = running.client(LINE.replace(b"77", b"76") % LONG)
        kept = first.serve()
        assert client.line() == b"UP r1\r\n"
        waiting, endpoint = sent(running, first)
        running.leave()
        running.logged("event=shutdown-started")
        crowd = [running.client() for _ in range(60)]
        leavers = [running.client(LINE.replace(b"77", b"%d" % n) % LONG) for n in range(100, 140)]
        for leaver in leavers:
            leaver.close("reset")
        endpoint.send(b"ERR\r\n")
        # Tried again, or told so: one answer, and no reset.
        with suppress(BlockingIOError):
            first.sock.setblocking(False)
            first.accept().send(b"UP r1\r\n")
        assert waiting.line() in (b"UP r1\r\n", b"BUSY 1000\r\n", b"BUSY\r\n", b"ERR\r\n")
        assert client.line() == b"MOVE\r\n"
        assert len(crowd) == 60
        assert kept
        for one in (client, waiting, *crowd):
            one.close()
        assert running.process.wait(WAIT) == 0


def test_late_reset_counts_as_possibly_executed(tmp_path: Path) -> None:
    with patient(tmp_path, **ONCE) as running:
        first, second = ranked(running)
        client, endpoint = sent(running, first)
        others = []
        for n in range(100, 107):  # so long that others are served meanwhile
            other = running.client(LINE.replace(b"77", b"%d" % n) % LONG)
            others.append((other, first.serve()))
            assert other.line() == b"UP r1\r\n"
        endpoint.close("reset")
        assert client.line() == b"ERR\r\n"
        second.sock.setblocking(False)
        with pytest.raises(BlockingIOError):
            second.accept()
