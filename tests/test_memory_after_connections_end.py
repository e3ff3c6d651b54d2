"""An ended connection leaves no objects in memory, even without the garbage collector."""

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
from connections import WAIT_S, ChannelsClient, Ending, PeerConnection
from emulated_peers import EmulatedEndpoint
from proxy_harness import (
    CHANNELS_ENABLED,
    ProxyInThread,
    command_without_collector,
    proxy_in_thread,
    started_proxy,
)

from linnetshift.admin.connection import AdminConnection
from linnetshift.broker.active_request import ActiveRequest, Attempt
from linnetshift.discovery.http_call import DiscoveryCall
from linnetshift.event_loop.actor import Actor, ActorCoroutine
from linnetshift.event_loop.connection_limits import ConnectionTimer
from linnetshift.event_loop.loop import MAX_CANCELLED_TIMERS, Loop
from linnetshift.event_loop.stream import INITIAL_BUFFER_BYTES, MAX_LINE_BYTES, End, Stream
from linnetshift.event_loop.timers import MS, ActorTimer, S
from linnetshift.frontends.channels.channel import Channel
from linnetshift.frontends.channels.messages import MessageNumber
from linnetshift.frontends.channels.session import Session
from linnetshift.frontends.line_protocol.client_connection import ClientConnection
from linnetshift.upstream.endpoint_connection import EndpointConnection
from linnetshift.upstream.health_checker import HealthChecker
from rig.connection_load import PeerInput, run_connections

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
SHARED_CLASSES = (Stream, ActorTimer, DiscoveryCall)  # of which open connections and a watch hold some

RELEASE_WAIT_S = 5.0
POLL_INTERVAL_S = 0.02


@pytest.fixture
def without_collector() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.fixture
def proxy(without_collector: None, tmp_path: Path) -> Iterator[ProxyInThread]:
    with proxy_in_thread(
        tmp_path, endpoints=2, broker_toml=CHANNELS_ENABLED, admin_server=True, rules={"warmUpNs": 1}
    ) as running:
        yield running


def count_objects() -> Counter[str]:
    """Number of objects of each class, by its name; without the collector, those in cycles count too."""
    names = {counted: counted.__name__ for counted in (*CLASSES_PER_CONNECTION, *SHARED_CLASSES)}
    return Counter(names[type(tracked)] for tracked in gc.get_objects() if type(tracked) in names)


def wait_until_released(before: Counter[str]) -> None:
    """Wait until no class has more objects than before; fail before any timer could release some."""
    give_up_at_s = time.monotonic() + RELEASE_WAIT_S
    while unreleased := count_objects() - before:
        assert time.monotonic() < give_up_at_s, unreleased
        time.sleep(POLL_INTERVAL_S)


def endpoint_closes(proxy: ProxyInThread) -> None:
    client, endpoint = proxy.establish(proxy.endpoints.index(find_chosen_endpoint(proxy)))
    endpoint.send(b"LOAD 9\r\nBYE\r\n")
    endpoint.close()
    assert client.line() + client.line() == b"LOAD 9\r\nBYE\r\n"
    assert client.ended() == "fin"


def find_chosen_endpoint(proxy: ProxyInThread) -> EmulatedEndpoint:
    """The endpoint that requests with the tests' key go to, found with a connection that is closed again."""
    client = proxy.open()
    listener, endpoint = proxy.serve_any()
    client.line()
    client.close()
    endpoint.ended()
    return listener


def establish(proxy: ProxyInThread) -> tuple[PeerConnection, PeerConnection]:
    """An established connection with whichever endpoint: the client's end and the endpoint's."""
    client = proxy.open()
    _, endpoint = proxy.serve_any()
    assert client.line() == b"UP r1\r\n"
    return client, endpoint


def client_closes(proxy: ProxyInThread, end: Ending = "fin") -> None:
    client, endpoint = establish(proxy)
    client.close(end)
    assert endpoint.ended() == end


def client_resets(proxy: ProxyInThread) -> None:
    client_closes(proxy, "reset")


def endpoint_resets(proxy: ProxyInThread) -> None:
    client, endpoint = establish(proxy)
    endpoint.close("reset")
    assert client.ended() == "reset"


def request_is_rejected(proxy: ProxyInThread) -> None:
    client = proxy.open(wait_ms=1000)
    while not select.select([client.sock], [], [], 0)[0]:
        ready, _, _ = select.select(
            [client.sock, *(endpoint.sock for endpoint in proxy.endpoints)], [], [], WAIT_S
        )
        for listener in proxy.endpoints:
            if listener.sock in ready:
                attempt = listener.accept()
                attempt.line()
                attempt.send(b"BUSY\r\n")
                attempt.close()
    assert client.line().startswith(b"BUSY")


def request_times_out(proxy: ProxyInThread) -> None:
    client = proxy.open(wait_ms=200)
    attempt = proxy.next_attempted().accept()
    # The class is idempotent: BUSY where the attempt ends shortly before the deadline, which the balancer
    # counts from the time at which it learned of the request.
    assert client.line() in (b"ERR\r\n", b"BUSY 1000\r\n")
    attempt.line()


def client_closes_before_answer(proxy: ProxyInThread) -> None:
    client = proxy.open(wait_ms=600_000)
    attempt = proxy.next_attempted().accept()
    attempt.line()
    client.close()
    assert attempt.ended() in ("fin", "reset")


def client_is_migrated(proxy: ProxyInThread) -> None:
    client = proxy.open()
    listener, _endpoint = proxy.serve_any()
    assert client.line() == b"UP r1\r\n"
    proxy.discovery.change(**{listener.uid: "DRAINING"})
    assert client.line() == b"MOVE\r\n"


def client_sends_malformed_line(proxy: ProxyInThread) -> None:
    assert proxy.client(b"HELLO\r\n").line() == b"ERR\r\n"


def client_checks_readiness(proxy: ProxyInThread) -> None:
    assert proxy.alive()


def client_sends_nothing(proxy: ProxyInThread) -> None:
    assert proxy.client().line() == b"ERR\r\n"


def open_channel(proxy: ProxyInThread) -> tuple[ChannelsClient, int, PeerConnection]:
    """Channel 5 of a new session: its client, the proxy's number for it and the endpoint's connection."""
    client = ChannelsClient(proxy.channels_port)
    client.open(5)
    _, endpoint = proxy.serve_any()
    return client, client.expect_confirmation(5), endpoint


def session_closes(proxy: ProxyInThread) -> None:
    client, _, endpoint = open_channel(proxy)
    client.close()
    endpoint.ended()


def channel_closes(proxy: ProxyInThread) -> None:
    client, number, endpoint = open_channel(proxy)
    client.send_message(MessageNumber.CHANNEL_CLOSE, number)
    client.expect(MessageNumber.CHANNEL_CLOSE, 5)
    endpoint.ended()
    client.close()


def channel_gets_no_window(proxy: ProxyInThread) -> None:
    # Its last lines wait for a window that is never granted, and the channel stays in the write queue.
    client = ChannelsClient(proxy.channels_port)
    client.open(5, window=0)
    _, endpoint = proxy.serve_any()
    client.expect_confirmation(5)
    endpoint.send(b"M 1\r\nBYE\r\n")
    endpoint.close()
    client.send_message(MessageNumber.CHANNEL_WINDOW_ADJUST, 0, 3)
    assert client.expect(MessageNumber.CHANNEL_DATA, 5) == b"\0\0\0\3M 1"
    client.close("reset")


def session_reads_nothing(proxy: ProxyInThread) -> None:
    # A channel in the write queue references its session, which references the queue.
    client, _, endpoint = open_channel(proxy)
    endpoint.sock.settimeout(0.5)
    with suppress(TimeoutError):
        endpoint.send(b"M 1\r\n" * (1 << 22))
    client.close("reset")


def session_violates_protocol(proxy: ProxyInThread) -> None:
    client, _, endpoint = open_channel(proxy)
    client.send(b"\xff" * 64)
    assert client.read()[0] == MessageNumber.DISCONNECT
    endpoint.ended()


def session_sends_partial_packet(proxy: ProxyInThread) -> None:
    client = ChannelsClient(proxy.channels_port)
    client.send(b"\0\0\0\x0c\x04")
    assert client.read()[0] == MessageNumber.DISCONNECT


def admin_request_is_answered(proxy: ProxyInThread) -> None:
    assert proxy.call("GET /ops/readiness") == 200


def malformed_admin_request_is_answered(proxy: ProxyInThread) -> None:
    assert b"400" in proxy.client(b"\0\0\r\n\r\n", proxy.admin_port).line()


@pytest.mark.parametrize(
    "scenario",
    [
        endpoint_closes,
        client_closes,
        client_resets,
        endpoint_resets,
        request_is_rejected,
        request_times_out,
        client_closes_before_answer,
        client_is_migrated,
        client_sends_malformed_line,
        client_checks_readiness,
        client_sends_nothing,
        session_closes,
        channel_closes,
        channel_gets_no_window,
        session_reads_nothing,
        session_violates_protocol,
        session_sends_partial_packet,
        admin_request_is_answered,
        malformed_admin_request_is_answered,
    ],
)
def test_ended_connection_leaves_no_objects(
    proxy: ProxyInThread, scenario: Callable[[ProxyInThread], None]
) -> None:
    # Reference cycles would keep buffers until a full collection, and armed timers whole sessions.
    assert proxy.alive()
    give_up_at_s = time.monotonic() + WAIT_S
    while count_objects()[ClientConnection.__name__]:
        assert time.monotonic() < give_up_at_s
    before = count_objects()
    # A watch that ends is followed by the next one at once: one more call, with its stream and timers.
    before[DiscoveryCall.__name__] += 1
    before[Stream.__name__] += 1
    before[ActorTimer.__name__] += 2
    scenario(proxy)
    wait_until_released(before)


@pytest.mark.parametrize("frontend", ["platform", "channels"])
def test_memory_does_not_grow_without_the_collector(tmp_path: Path, frontend: str) -> None:
    # A leak of 10 KB per connection on one frontend and 37 KB on the other: 6 and 22 MiB for these 600.
    with started_proxy(
        tmp_path, broker_toml=CHANNELS_ENABLED, command=command_without_collector()
    ) as running:
        port = running.channels_port if frontend == "channels" else running.port
        line = b"SSH-2.0-x\r\n" + b"\xff" * 40 if frontend == "channels" else b"HELLO\r\n"
        resident_mib = []
        for _ in range(2):
            ended = Counter(
                result.ended for result in run_connections([PeerInput(port, (line,), "half")] * 600)
            )
            assert set(ended) <= {"fin", "reset"}
            resident_mib.append(running.resident_mib())
        assert resident_mib[1] - resident_mib[0] < 2.0
        assert running.alive()


class IdleActor(Actor):
    """An actor that takes messages and does nothing with them."""

    stream: Stream

    def run(self) -> ActorCoroutine:
        while True:
            yield

    def handle_fault(self, error: Exception) -> None:
        self.error = str(error)


def actor_and_peer(loop: Loop) -> tuple[IdleActor, socket.socket]:
    """An actor with a stream that posts to it, and the socket at the other end."""
    own_end, peer_end = socket.socketpair()
    actor = IdleActor(loop)
    actor.stream = Stream(loop, own_end, actor.post)
    return actor, peer_end


def test_actor_ended_from_outside_releases_everything(without_collector: None) -> None:
    loop = Loop()
    actor, peer_end = actor_and_peer(loop)
    actor.start(actor.run())
    actor.stream.arm()
    actor.set_timer(600 * S, "one")
    actor.set_timer(600 * S, "two")
    actor.post("unread")
    actor.end()
    loop.call_later(0, lambda: None)
    loop.run_once()
    assert not actor.timers
    assert not actor.mailbox
    assert peer_end.recv(1) == b""
    actor_reference = weakref.ref(actor)
    del actor
    assert actor_reference() is None
    assert not loop.handlers


def test_actor_is_released_after_its_fault_was_reported(without_collector: None) -> None:
    class Faulty(IdleActor):
        def run(self) -> ActorCoroutine:
            self.set_timer(600 * S, "far off")
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
    actor, peer_end = actor_and_peer(loop)
    stream = actor.stream
    assert isinstance(stream, Stream)
    peer_end.send(b"one\r\ntwo")
    assert stream.fill() is None
    line = stream.line()
    stream.unsent += b"x" * 9000
    stream_reference = weakref.ref(stream)  # the stream stays referenced: closed, it must be small
    stream.close()
    assert stream_reference() is stream
    assert bytes(line or b"") == b"one\r\n"
    assert len(stream.view) == len(stream.buffer) == len(stream.unsent) == 0
    assert stream.line() is None
    assert stream.fill() is End.RESET
    assert bytes(stream.rest()) == b""
    actor_reference = weakref.ref(actor)
    del actor
    assert actor_reference() is None
    peer_end.close()


def test_read_buffer_grows_when_filled_and_keeps_its_content() -> None:
    loop = Loop()
    actor, peer_end = actor_and_peer(loop)
    stream = actor.stream
    assert isinstance(stream, Stream)
    long_line = bytes(range(32, 127)) * 40 + b"\r\n"
    peer_end.send(b"short\r\n" + long_line)
    assert len(stream.view) == INITIAL_BUFFER_BYTES
    lines: list[bytes] = []
    while len(lines) < 2:
        assert stream.fill() is None
        lines += [bytes(line) for line in stream.lines()]
    assert lines == [b"short\r\n", long_line]
    assert len(stream.view) == 2 * MAX_LINE_BYTES
    stream.close()
    peer_end.close()


def test_cancelled_timers_do_not_accumulate() -> None:
    # Otherwise each answered request leaves one in the heap until its deadline, up to ten minutes away.
    loop, fired = Loop(), list[int]()
    loop.call_later(0, lambda: fired.append(1))
    for _ in range(10_000):
        loop.call_later(600 * S, lambda: fired.append(2)).cancel()
    assert len(loop.timers) <= 2 * MAX_CANCELLED_TIMERS + 2
    timer = loop.call_later(600 * S, lambda: None)
    timer.cancel()
    timer.cancel()  # counts once
    loop.call_later(MS, lambda: fired.append(3))
    while len(fired) < 2:
        loop.run_once()
    assert fired == [1, 3]
    assert loop.cancelled_timers == sum(timer.callback is None for _, _, timer in loop.timers)


def test_answer_cancels_the_deadline_timer(proxy: ProxyInThread) -> None:
    for _ in range(3):
        client_closes_before_answer(proxy)
    loop = proxy.program.loop
    give_up_at_s = time.monotonic() + WAIT_S
    while any(due_at > loop.now() + 60 * S and timer.callback for due_at, _, timer in tuple(loop.timers)):
        assert time.monotonic() < give_up_at_s
        time.sleep(POLL_INTERVAL_S)


def test_reader_that_pauses_repeatedly_has_one_stall_timer(proxy: ProxyInThread) -> None:
    client, endpoint = establish(proxy)
    lines = (b"x" * 3998 + b"\r\n") * 4000  # more than the kernel buffers: the proxy must pause and resume
    for _ in range(5):
        sender = threading.Thread(target=endpoint.send, args=(lines,))
        sender.start()
        (connection,) = proxy.program.frontend.clients
        give_up_at_s = time.monotonic() + WAIT_S
        while not connection.is_congested:
            assert time.monotonic() < give_up_at_s
            time.sleep(0.001)
        remaining_bytes = len(lines)
        while remaining_bytes > 0:
            received_bytes = len(client.sock.recv(1 << 20))
            assert received_bytes
            remaining_bytes -= received_bytes
        sender.join(WAIT_S)
    timers = [tracked for tracked in gc.get_objects() if type(tracked) is ActorTimer]
    assert sum(timer.tag is ConnectionTimer.STALL for timer in timers) <= 1
