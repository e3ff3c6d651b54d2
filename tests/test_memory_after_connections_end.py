"""An ended connection leaves nothing in memory, even without the garbage collector."""

from __future__ import annotations

import gc
import select
import socket
import threading
import time
import weakref
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path

import pytest
from connections import WAIT_S, ChannelsClient
from proxy_harness import ProxyInThread, command_without_collector, proxy_in_thread, started_proxy

from linnetshift.admin.connection import AdminConnection
from linnetshift.broker.active_request import ActiveRequest, Attempt
from linnetshift.discovery.http_call import DiscoveryCall
from linnetshift.event_loop.actor import Actor, ActorCoroutine
from linnetshift.event_loop.connection_limits import ConnectionTimer
from linnetshift.event_loop.loop import MAX_CANCELLED_TIMERS, Loop
from linnetshift.event_loop.stream import INITIAL_BUFFER_BYTES, MAX_LINE_BYTES, End, Stream
from linnetshift.event_loop.timers import MS, ActorTimer, S
from linnetshift.frontends.channels.channel import Channel
from linnetshift.frontends.channels.session import Session
from linnetshift.frontends.line_protocol.client_connection import ClientConnection
from linnetshift.upstream.endpoint_connection import EndpointConnection
from linnetshift.upstream.health_checker import HealthChecker
from rig.connection_load import PeerInput, run_connections

CHANNELS = '[channels]\nenabled = true\nlisten = "127.0.0.1:PORT"\n'
CLASSES_PER_CONNECTION = (
    ClientConnection,
    Session,
    Channel,
    EndpointConnection,
    HealthChecker,
    AdminConnection,
    ActiveRequest,
    Attempt,
)
SHARED_CLASSES = (Stream, ActorTimer, DiscoveryCall)  # of which connections that are open keep some


@pytest.fixture
def without_collector() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.fixture
def proxy(without_collector: None, tmp_path: Path) -> Iterator[ProxyInThread]:
    with proxy_in_thread(
        tmp_path, endpoints=2, broker_toml=CHANNELS, admin_server=True, rules={"warmUpNs": 1}
    ) as running:
        yield running


def count_objects() -> Counter[str]:
    """How many there are of each class; with the collector off, all that any reference or cycle keeps."""
    kinds = {kind: kind.__name__ for kind in (*CLASSES_PER_CONNECTION, *SHARED_CLASSES)}
    return Counter(kinds[type(each)] for each in gc.get_objects() if type(each) in kinds)


def wait_until_released(before: Counter[str]) -> None:
    """Wait until nothing is left that was not there before: shorter than any timer that could free it."""
    until = time.monotonic() + 5.0
    while left := count_objects() - before:
        assert time.monotonic() < until, left
        time.sleep(0.02)


def served(proxy: ProxyInThread) -> None:
    client, endpoint = proxy.establish(proxy.endpoints.index(find_chosen_endpoint(proxy)))
    endpoint.send(b"LOAD 9\r\nBYE\r\n")
    endpoint.close()
    assert client.line() + client.line() == b"LOAD 9\r\nBYE\r\n"
    assert client.ended() == "fin"


def find_chosen_endpoint(proxy: ProxyInThread) -> object:
    """Which endpoint the key's ranking sends a connection to: found by one that is let go."""
    client = proxy.open()
    listener, endpoint = proxy.serve_any()
    client.line()
    client.close()
    endpoint.ended()
    return listener


def establish(proxy: ProxyInThread) -> tuple[object, object]:
    client = proxy.open()
    _, endpoint = proxy.serve_any()
    assert client.line() == b"UP r1\r\n"
    return client, endpoint


def client_leaves(proxy: ProxyInThread, how: str = "fin") -> None:
    client, endpoint = establish(proxy)
    client.close(how)  # type: ignore[attr-defined]
    assert endpoint.ended() == how  # type: ignore[attr-defined]


def client_resets(proxy: ProxyInThread) -> None:
    client_leaves(proxy, "reset")


def endpoint_resets(proxy: ProxyInThread) -> None:
    client, endpoint = establish(proxy)
    endpoint.close("reset")  # type: ignore[attr-defined]
    assert client.ended() == "reset"  # type: ignore[attr-defined]


def rejected(proxy: ProxyInThread) -> None:
    client = proxy.open(wait_ms=1000)
    while not select.select([client.sock], [], [], 0)[0]:
        ready, _, _ = select.select([client.sock, *(each.sock for each in proxy.endpoints)], [], [], WAIT_S)
        for listener in proxy.endpoints:
            if listener.sock in ready:
                attempt = listener.accept()
                attempt.line()
                attempt.send(b"BUSY\r\n")
                attempt.close()
    assert client.line().startswith(b"BUSY")


def times_out(proxy: ProxyInThread) -> None:
    client = proxy.open(wait_ms=200)
    attempt = proxy.next_attempted().accept()
    # With retry-after where the deadline, which the balancer counts from when it learned of the request, is a
    # little ahead: the class is idempotent.
    assert client.line() in (b"ERR\r\n", b"BUSY 1000\r\n")
    attempt.line()


def client_leaves_before_answer(proxy: ProxyInThread) -> None:
    client = proxy.open(wait_ms=600_000)
    attempt = proxy.next_attempted().accept()
    attempt.line()
    client.close()
    assert attempt.ended() in ("fin", "reset")


def migrated(proxy: ProxyInThread) -> None:
    client = proxy.open()
    listener, _endpoint = proxy.serve_any()
    assert client.line() == b"UP r1\r\n"
    proxy.discovery.change(**{listener.uid: "DRAINING"})
    assert client.line() == b"MOVE\r\n"


def sends_malformed_line(proxy: ProxyInThread) -> None:
    assert proxy.client(b"HELLO\r\n").line() == b"ERR\r\n"


def health_checks(proxy: ProxyInThread) -> None:
    assert proxy.alive()


def sends_nothing(proxy: ProxyInThread) -> None:
    assert proxy.client().line() == b"ERR\r\n"


def channel(proxy: ProxyInThread) -> tuple[ChannelsClient, int, object]:
    terminal = ChannelsClient(proxy.channels_port)
    terminal.open(5)
    _, endpoint = proxy.serve_any()
    return terminal, terminal.expect_confirmation(5), endpoint


def session_ends(proxy: ProxyInThread) -> None:
    terminal, _, endpoint = channel(proxy)
    terminal.close()
    endpoint.ended()  # type: ignore[attr-defined]


def channel_closes(proxy: ProxyInThread) -> None:
    terminal, number, endpoint = channel(proxy)
    terminal.send_message(97, number)
    terminal.expect(97, 5)
    endpoint.ended()  # type: ignore[attr-defined]
    terminal.close()


def channel_without_window(proxy: ProxyInThread) -> None:
    # Its last lines wait for a window that never comes, and its turn stays due.
    terminal = ChannelsClient(proxy.channels_port)
    terminal.open(5, window=0)
    _, endpoint = proxy.serve_any()
    terminal.expect_confirmation(5)
    endpoint.send(b"M 1\r\nBYE\r\n")
    endpoint.close()
    terminal.send_message(93, 0, 3)
    assert terminal.expect(94, 5) == b"\0\0\0\3M 1"
    terminal.close("reset")


def session_reads_nothing(proxy: ProxyInThread) -> None:
    # A channel whose turn is due holds its session, which holds the turns.
    terminal, _, endpoint = channel(proxy)
    endpoint.sock.settimeout(0.5)  # type: ignore[attr-defined]
    with suppress(TimeoutError):
        endpoint.send(b"M 1\r\n" * (1 << 22))  # type: ignore[attr-defined]
    terminal.close("reset")


def session_breaks_the_protocol(proxy: ProxyInThread) -> None:
    terminal, _, endpoint = channel(proxy)
    terminal.send(b"\xff" * 64)
    assert terminal.read()[0] == 1
    endpoint.ended()  # type: ignore[attr-defined]


def session_stops_in_a_packet(proxy: ProxyInThread) -> None:
    terminal = ChannelsClient(proxy.channels_port)
    terminal.send(b"\0\0\0\x0c\x04")
    assert terminal.read()[0] == 1


def admin_request(proxy: ProxyInThread) -> None:
    assert proxy.call("GET /ops/readiness") == 200


def malformed_admin_request(proxy: ProxyInThread) -> None:
    assert b"400" in proxy.client(b"\0\0\r\n\r\n", proxy.admin_port).line()


@pytest.mark.parametrize(
    "scenario",
    [
        served,
        client_leaves,
        client_resets,
        endpoint_resets,
        rejected,
        times_out,
        client_leaves_before_answer,
        migrated,
        sends_malformed_line,
        health_checks,
        sends_nothing,
        session_ends,
        channel_closes,
        channel_without_window,
        session_reads_nothing,
        session_breaks_the_protocol,
        session_stops_in_a_packet,
        admin_request,
        malformed_admin_request,
    ],
)
def test_ended_connection_leaves_no_objects(
    proxy: ProxyInThread, scenario: Callable[[ProxyInThread], None]
) -> None:
    # Cycles waited for a full collection with all their buffers, and armed timers held whole sessions.
    assert proxy.alive()
    until = time.monotonic() + WAIT_S
    while count_objects()[ClientConnection.__name__]:
        assert time.monotonic() < until
    before = count_objects()
    before[DiscoveryCall.__name__] += 1  # a watch that ends is followed by the next at once
    before[Stream.__name__] += 1
    before[ActorTimer.__name__] += 2
    scenario(proxy)
    wait_until_released(before)


@pytest.mark.parametrize("frontend", ["platform", "channels"])
def test_memory_does_not_grow_without_the_collector(tmp_path: Path, frontend: str) -> None:
    # 10 KB stayed of each on one frontend and 37 KB on the other: 6 and 22 MiB for these 600.
    with started_proxy(tmp_path, broker_toml=CHANNELS, command=command_without_collector()) as running:
        port = running.channels_port if frontend == "channels" else running.port
        line = b"SSH-2.0-x\r\n" + b"\xff" * 40 if frontend == "channels" else b"HELLO\r\n"
        levels = []
        for _ in range(2):
            ended = Counter(r.ended for r in run_connections([PeerInput(port, (line,), "half")] * 600))
            assert set(ended) <= {"fin", "reset"}
            levels.append(running.resident_mib())
        assert levels[1] - levels[0] < 2.0
        assert running.alive()


class IdleActor(Actor):
    def run(self) -> ActorCoroutine:
        while True:
            yield

    def faulted(self, error: Exception) -> None:
        self.error = str(error)


def pair(loop: Loop) -> tuple[IdleActor, socket.socket]:
    """An actor with a stream, and the other end of that."""
    ours, theirs = socket.socketpair()
    actor = IdleActor(loop)
    actor.stream = Stream(loop, ours, actor.post)
    return actor, theirs


def test_actor_ended_from_outside_releases_everything(without_collector: None) -> None:
    loop = Loop()
    actor, theirs = pair(loop)
    actor.start(actor.run())
    actor.stream.arm()  # type: ignore[union-attr]
    actor.set_timer(600 * S, "one")
    actor.set_timer(600 * S, "two")
    actor.post("unread")
    actor.end()
    loop.call_later(0, lambda: None)
    loop.run_once()
    assert not actor.timers
    assert not actor.mailbox
    assert theirs.recv(1) == b""
    seen = weakref.ref(actor)
    del actor
    assert seen() is None
    assert not loop.handlers


def test_actor_is_released_after_its_fault_was_reported(without_collector: None) -> None:
    class Faulty(IdleActor):
        def run(self) -> ActorCoroutine:
            self.set_timer(600 * S, "late")
            yield
            raise ValueError("broken")

    loop = Loop()
    actor = Faulty(loop)
    actor.start(actor.run())
    actor.post("go on")
    loop.call_later(0, lambda: None)
    loop.run_once()
    assert actor.error == "broken"
    assert not actor.timers
    assert actor.coroutine is None


def test_closed_stream_keeps_no_buffer_and_no_callback(without_collector: None) -> None:
    loop = Loop()
    actor, theirs = pair(loop)
    stream = actor.stream
    assert isinstance(stream, Stream)
    theirs.send(b"one\r\ntwo")
    assert stream.fill() is None
    line = stream.line()
    stream.unsent += b"x" * 9000
    buffer = weakref.ref(stream)  # the stream itself stays: it must cost little
    stream.close()
    assert buffer() is stream
    assert line == b"one\r\n"
    assert len(stream.view) == len(stream.buffer) == len(stream.unsent) == 0
    assert stream.line() is None
    assert stream.fill() is End.RESET
    assert bytes(stream.rest()) == b""
    seen = weakref.ref(actor)
    del actor
    assert seen() is None
    theirs.close()


def test_read_buffer_grows_when_filled_and_keeps_its_content() -> None:
    loop = Loop()
    actor, theirs = pair(loop)
    stream = actor.stream
    assert isinstance(stream, Stream)
    long = bytes(range(32, 127)) * 40 + b"\r\n"
    theirs.send(b"short\r\n" + long)
    assert len(stream.view) == INITIAL_BUFFER_BYTES
    lines = []
    while len(lines) < 2:
        assert stream.fill() is None
        lines += [bytes(line) for line in stream.lines()]
    assert lines == [b"short\r\n", long]
    assert len(stream.view) == 2 * MAX_LINE_BYTES
    stream.close()
    theirs.close()


def test_cancelled_timers_do_not_pile_up() -> None:
    # Each answered request left one in the heap until its deadline, up to ten minutes away.
    loop, fired = Loop(), list[int]()
    loop.call_later(0, lambda: fired.append(1))
    for _ in range(10_000):
        loop.call_later(600 * S, lambda: fired.append(2)).cancel()
    assert len(loop.timers) <= 2 * MAX_CANCELLED_TIMERS + 2
    twice = loop.call_later(600 * S, lambda: None)
    twice.cancel()
    twice.cancel()
    loop.call_later(MS, lambda: fired.append(3))
    while len(fired) < 2:
        loop.run_once()
    assert fired == [1, 3]
    assert loop.cancelled_timers == sum(timer.callback is None for _, _, timer in loop.timers)


def test_answer_cancels_the_deadline_timer(proxy: ProxyInThread) -> None:
    for _ in range(3):
        client_leaves_before_answer(proxy)
    loop = proxy.program.loop
    until = time.monotonic() + WAIT_S
    while any(at > loop.now() + 60 * S and timer.callback for at, _, timer in tuple(loop.timers)):
        assert time.monotonic() < until
        time.sleep(0.02)


def test_reader_that_pauses_repeatedly_has_one_stall_timer(proxy: ProxyInThread) -> None:
    client, endpoint = establish(proxy)
    much = (b"x" * 3998 + b"\r\n") * 4000  # more than the kernel holds: the proxy must stop and go on
    for _ in range(5):
        sender = threading.Thread(target=endpoint.send, args=(much,))  # type: ignore[attr-defined]
        sender.start()
        (reading,) = proxy.program.frontend.clients
        until = time.monotonic() + WAIT_S
        while not reading.is_congested:
            assert time.monotonic() < until
            time.sleep(0.001)
        left = len(much)
        while left > 0:
            got = len(client.sock.recv(1 << 20))  # type: ignore[attr-defined]
            assert got
            left -= got
        sender.join(WAIT_S)
    timers = [each for each in gc.get_objects() if type(each) is ActorTimer]
    assert sum(timer.tag is ConnectionTimer.STALL for timer in timers) <= 1
