"""Endpoints: one connection for each attempt, and health checks."""

from __future__ import annotations

import errno
import math
import os
import select
import socket
from collections.abc import Callable, Generator
from typing import Any

from linnetshift import interface as api
from linnetshift.core.broker import Broker
from linnetshift.core.census import ResourceUsage
from linnetshift.core.invocation import Attempt
from linnetshift.interface import EndpointState, ListForm, Outcome
from linnetshift.net import log
from linnetshift.net.limits import STALL_NS
from linnetshift.net.log import Reason
from linnetshift.net.loop import MS, Actor, ActorCoroutine, Io, Loop, S, Timeout
from linnetshift.net.stream import End, LineTooLong, Stream

LINGER_NS = S // 2  # how long an ended connection waits for the peer's own end
HEALTH_CHECK_NS = 200 * MS

Address = tuple[str, int]
Steps = Generator[None, Any, Any]


class Resume:
    """The other side takes messages again."""


class Hangup:
    """The client's side has ended."""

    def __init__(self, reset: bool) -> None:
        self.reset = reset


class Stop:
    """The stream is closed already; only the script is still to end."""


class OutboundConnection(Actor):
    """What connections to endpoints share: coming up within a limit, writing, and the first line."""

    stream: Stream | None = None

    def ready(self, mask: int) -> None:
        self.post(Io(mask))

    def faulted(self, error: Exception) -> None:
        log.fault(error)
        if self.stream is not None:
            self.stream.close(End.RESET)
        self.gave_up()

    def gave_up(self) -> None:
        """Report the failure to whoever waits for this peer."""

    def connect(self, address: Address, limit_ns: int) -> Steps:
        """Whether the connection came up in time."""
        sock = None
        while sock is None:
            try:
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            except OSError as error:  # out of descriptors: the attempt never reached anyone
                if not self.loop.make_room():
                    log.note("socket-unavailable", endpoint=address, error=error.strerror)
                    return False
        self.stream = stream = Stream(self.loop, sock, self.ready)
        try:
            code = sock.connect_ex(address)
        except OSError as error:
            code = error.errno or errno.EINVAL
        if code not in (0, errno.EINPROGRESS):
            return False
        stream.connecting = code != 0
        stream.arm()
        timer = self.set_timer(limit_ns, "connect")
        while stream.connecting:
            match (yield):
                case Io():
                    # Given up in the very turn in which it came up, it is closed before this is read.
                    if stream.closed or sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                        return False
                    stream.connecting = False
                    stream.arm()
                case Timeout(tag="connect") | Stop():
                    return False
        timer.cancel()
        return True


class EndpointConnection(OutboundConnection):
    """One attempt's connection: the opening line, the answer to it, then messages both ways."""

    def __init__(self, loop: Loop, broker: Broker, attempt: Attempt, address: Address) -> None:
        super().__init__(loop)
        self.broker, self.attempt, self.address = broker, attempt, address
        self.asked_at = 0  # when a message went out that has no reply yet
        self.heard_at = loop.now()
        self.last = Outcome.RESET  # what the end of the connection means, by the last line
        self.hung_up = False
        self.reason = Reason.ABANDONED

    # ---- the broker's and the client's side -----------------------------------------------

    @property
    def congested(self) -> bool:
        return self.stream is not None and self.stream.congested

    def deliver(self, message: memoryview) -> None:
        if self.stream is not None and not self.hung_up:
            self.stream.send(message)
            if not self.asked_at:
                self.asked_at = self.loop.now()

    def resume(self) -> None:
        self.post(Resume())

    def waiting_ns(self) -> int:
        return self.loop.now() - self.asked_at if self.asked_at else 0

    def quiet_ns(self) -> int:
        if self.stream is None or not self.stream.reading:
            return 0  # its client does not take what it may have said
        return self.loop.now() - self.heard_at

    def client_ended(self, reset: bool) -> None:
        self.hung_up = True
        self.post(Hangup(reset))

    def abandon(self) -> None:
        """Closed here and now: the next attempt's first byte must not meet this one still out."""
        self.hung_up = True
        if self.stream is not None:
            self.stream.close()
        self.post(Stop())

    # ---- the script -------------------------------------------------------------------------

    def run(self) -> ActorCoroutine:
        self.attempt.link = self
        outcome = yield from self.open()
        reset = False
        if outcome is None:
            reset = yield from self.relay()
            outcome = self.last
        if self.stream is not None:
            if self.stream.closed:
                self.reason = Reason.ABANDONED
            self.stream.close(End.RESET if reset and self.hung_up else End.FIN)
        self.report(outcome, reset)

    def gave_up(self) -> None:
        self.reason = Reason.FAULT
        self.report(Outcome.RESET, True)

    def report(self, outcome: Outcome, reset: bool) -> None:
        log.ended(
            "endpoint",
            self.reason,
            id=self.attempt.request.id,
            attempt=self.attempt.number,
            endpoint=self.attempt.endpoint.decode("utf-8", "replace"),
            ms=(self.loop.now() - self.attempt.began) // MS,
        )
        if not self.hung_up:
            self.hung_up = True
            self.broker.ended(self.attempt, outcome, reset)

    def open(self) -> Steps:
        """The outcome, or None once the connection stands."""
        limit = min(self.broker.settings.connect_timeout_ns, self.attempt.deadline - self.loop.now())
        up = yield from self.connect(self.address, limit)
        if not up:
            self.reason = Reason.ABANDONED if self.hung_up else Reason.UNREACHABLE
            return Outcome.CONNECT_FAILED
        stream = self.stream
        assert stream is not None
        if not self.broker.may_send(self.attempt):
            self.reason = Reason.ABANDONED  # not a byte may reach it; the module places it anew, if it may
            return Outcome.MOOT
        if not stream.present:
            self.reason = Reason.ENDPOINT_LEFT  # closed as soon as it was accepted: nothing can run there
            return Outcome.CONNECT_FAILED
        self.attempt.sent = True
        left = self.attempt.deadline - self.loop.now()
        stream.send(self.attempt.request.request_line(max(1, left // MS)))
        timer = self.set_timer(left, "answer")
        outcome = yield from self.first_answer(stream)
        timer.cancel()
        return outcome

    def first_answer(self, stream: Stream) -> Steps:
        while True:
            match (yield):
                case Io(mask):
                    if mask & select.EPOLLOUT:
                        stream.flush()
                    unsent = stream.congested or stream.broken
                    if mask & ~select.EPOLLOUT:
                        end = stream.fill()
                        outcome = self.judge(stream)
                        if outcome is not NOT_YET:
                            return outcome
                        if end is not None:
                            self.reason = Reason.ENDPOINT_RESET if end is End.RESET else Reason.ENDPOINT_LEFT
                            return Outcome.CONNECT_FAILED if unsent else Outcome.RESET
                case Timeout(tag="answer"):
                    self.reason = Reason.TIMED_OUT
                    return Outcome.TIMEOUT
                case Stop():
                    return Outcome.CANCELLED

    def judge(self, stream: Stream) -> Outcome | None:
        """What the first line means; None where it stands, NOT_YET before it is whole."""
        try:
            line = stream.line()
        except LineTooLong:
            self.reason = Reason.BAD_LINE
            return Outcome.ERROR
        if line is None:
            return NOT_YET
        word, _, receipt = bytes(line).rstrip(b"\r\n").partition(b" ")
        if word == b"UP" and receipt and receipt.isascii() and receipt.decode().isprintable():
            self.broker.up(self.attempt, line)
            return None
        self.reason, outcome = ANSWERS.get(word, (Reason.ERROR, Outcome.ERROR))
        return outcome

    def relay(self) -> Steps:
        """Messages both ways until one side ends; whether it ended with a reset."""
        stream = self.stream
        assert stream is not None
        client = self.attempt.request.client
        end = self.pass_on(stream)
        while end is None:
            match (yield):
                case Io(mask):
                    if mask & select.EPOLLOUT:
                        stream.flush()
                        if not stream.congested:
                            client.resume()
                    if mask & ~select.EPOLLOUT:
                        end = stream.fill()
                        end = self.pass_on(stream) or end
                    if stream.broken and end is None:
                        end = End.RESET
                case Resume():
                    end = self.pass_on(stream)
                case Hangup(reset=True):
                    self.reason = Reason.CLIENT_RESET
                    return True
                case Hangup():
                    self.reason = Reason.CLIENT_LEFT
                    stream.finish()
                    yield from linger(self, stream)
                    return False
                case Stop():
                    return False
        if end is End.FIN and (rest := stream.rest()):
            client.deliver(rest)
        if self.last is Outcome.OK:
            self.reason = Reason.SERVED
        elif self.last is Outcome.CANCELLED:
            self.reason = Reason.ENDPOINT_MIGRATED
        else:
            self.reason = Reason.ENDPOINT_RESET if end is End.RESET else Reason.ENDPOINT_LEFT
        return end is End.RESET

    def pass_on(self, stream: Stream) -> End | None:
        """Hand whole lines to the client while it takes them; stop reading when it does not."""
        client = self.attempt.request.client
        if self.hung_up:
            stream.rest()
            return None
        try:
            while not client.congested and (line := stream.line()) is not None:
                self.heed(line)
                client.deliver(line)
        except LineTooLong:
            return End.RESET
        stream.want(not client.congested)
        return None

    def heed(self, line: memoryview) -> None:
        """What a line tells the proxy; it is passed on all the same."""
        self.heard_at = self.loop.now()
        text = bytes(line[:64]).strip()
        if text.startswith(b"LOAD "):
            try:
                self.broker.load_told(self.attempt, float(text[5:]))
            except ValueError:
                log.note("load-report-invalid", endpoint=self.attempt.endpoint.decode("utf-8", "replace"))
            return
        self.last = {b"BYE": Outcome.OK, b"MOVE": Outcome.CANCELLED}.get(text, Outcome.RESET)
        if self.asked_at:
            self.broker.answered_in(self.attempt, self.loop.now() - self.asked_at)
            self.asked_at = 0


NOT_YET = Outcome.MOOT
PROBED = {
    Outcome.OK: Reason.ANSWERED,
    Outcome.ERROR: Reason.ERROR,
    Outcome.RESET: Reason.ENDPOINT_RESET,
    Outcome.TIMEOUT: Reason.TIMED_OUT,
    Outcome.CONNECT_FAILED: Reason.UNREACHABLE,
}
ANSWERS = {
    b"ERR": (Reason.ERROR, Outcome.ERROR),
    b"BUSY": (Reason.ENDPOINT_FULL, Outcome.FULL),
    b"MOVE": (Reason.ENDPOINT_MIGRATED, Outcome.CANCELLED),
}


def linger(actor: Actor, stream: Stream, until: int = 0) -> Steps:
    """Read on until the peer ends too: closing with bytes unread would reset what is still on its way.

    A peer that is quiet is waited for LINGER_NS, from when it has taken all that was sent; one that sends on,
    until the time given; one that takes nothing, as long as any that has stopped reading.
    """
    timer, heard = actor.set_timer(LINGER_NS, "linger"), False
    taken_by = actor.loop.now() + STALL_NS
    stream.want(True)
    while not stream.broken:
        match (yield):
            case Io(mask):
                if mask & select.EPOLLOUT:
                    stream.flush()
                if mask & ~select.EPOLLOUT:
                    got = stream.drain()
                    heard = heard or got > 0
                    if got < 0:
                        break
            case Timeout(tag="linger") if stream.congested and actor.loop.now() < taken_by:
                timer = actor.set_timer(LINGER_NS, "linger")  # a close now would drop it
            case Timeout(tag="linger"):
                if not heard or actor.loop.now() >= until:
                    break
                timer, heard = actor.set_timer(min(LINGER_NS, until - actor.loop.now()), "linger"), False
            case Stop():
                break
    timer.cancel()


class HealthChecker(OutboundConnection):
    """One health check of an endpoint; where `columns` are named, it asks for the report of them too."""

    def __init__(
        self,
        loop: Loop,
        endpoint: bytes,
        columns: tuple[str, ...],
        told: Callable[[Outcome, int, tuple[float, ...]], None],
    ) -> None:
        super().__init__(loop)
        self.endpoint, self.columns, self.told, self.began = endpoint, columns, told, loop.now()
        self.figures: tuple[float, ...] = ()

    def run(self, address: Address) -> ActorCoroutine:
        outcome = Outcome.CONNECT_FAILED
        up = yield from self.connect(address, HEALTH_CHECK_NS)
        stream = self.stream
        if up and stream is not None:
            self.began = self.loop.now()  # the time to connect, twice the way there and back, is the way's
            stream.send(b"STATS\r\n" if self.columns else b"PING\r\n")
            outcome = yield from self.answer(stream)
        if stream is not None:
            stream.close()
        self.report(outcome)

    def gave_up(self) -> None:
        self.report(Outcome.ERROR)

    def report(self, outcome: Outcome) -> None:
        took = self.loop.now() - self.began
        told: dict[str, object] = {"provider": self.endpoint.decode("utf-8", "replace"), "ms": took // MS}
        figures = dict(zip(self.columns, self.figures, strict=False))
        log.ended("health-check", PROBED[outcome], **(told | figures | told))
        self.told(outcome, took, self.figures)

    def answer(self, stream: Stream) -> Steps:
        timer = self.set_timer(HEALTH_CHECK_NS, "probe")
        outcome: Outcome | None = None
        while outcome is None:
            match (yield):
                case Io(mask):
                    if mask & select.EPOLLOUT:
                        stream.flush()
                    end = stream.fill()
                    try:
                        line = stream.line()
                    except LineTooLong:
                        outcome = Outcome.ERROR
                        break
                    if line is not None:
                        word, _, rest = bytes(line).strip().partition(b" ")
                        outcome = Outcome.OK if word == b"PONG" else Outcome.ERROR
                        self.figures = parse_report(rest, self.columns)
                    elif end is not None:
                        outcome = Outcome.RESET
                case Timeout(tag="probe"):
                    outcome = Outcome.TIMEOUT
        timer.cancel()
        return outcome


class EndpointConnector:
    """Opens attempts at the endpoints that discovery last gave."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.addresses: dict[bytes, Address] = {}
        self.broker: Broker | None = None

    def listed(self, event: api.EndpointList, addresses: dict[bytes, Address]) -> None:
        """Keep the endpoints of what is listed and no others, or the map would grow for ever."""
        if event.form in (ListForm.FULL, ListForm.CACHED):
            self.addresses = {}
        self.addresses.update(addresses)
        for entry in event.entries:
            if entry.state == EndpointState.REMOVED:
                self.addresses.pop(entry.endpoint, None)

    def resource_usage(self, names: int) -> dict[str, ResourceUsage]:
        return {"gate.endpoints": ResourceUsage(len(self.addresses), names)}

    def open(self, attempt: Attempt) -> None:
        assert self.broker is not None
        address = self.addresses.get(attempt.endpoint)
        if address is None:
            self.broker.ended(attempt, Outcome.CONNECT_FAILED)
            return
        asked = attempt.request
        log.note(
            "attempt-started",
            id=asked.id,
            attempt=attempt.number,
            endpoint=attempt.endpoint.decode("utf-8", "replace"),
            key=f"{asked.key:x}",
            group=f"{asked.group:x}",
            **{"class": self.broker.settings.classes[asked.klass].name},
            flags=asked.flags,
        )
        link = EndpointConnection(self.loop, self.broker, attempt, address)
        link.start(link.run())

    def check_health(self, endpoint: bytes) -> None:
        broker = self.broker
        assert broker is not None
        address = self.addresses.get(endpoint)
        if address is None or broker.administrative_drains.holds(endpoint):
            # One that was taken out is asked nothing; FULL is what says nothing of an endpoint.
            broker.health_checked(
                endpoint, Outcome.CONNECT_FAILED if address is None else Outcome.FULL, 0, ()
            )
            return
        prober = HealthChecker(
            self.loop,
            endpoint,
            broker.settings.report_columns,
            lambda outcome, ns, figures: broker.health_checked(endpoint, outcome, ns, figures),
        )
        prober.start(prober.run(address))


def parse_report(text: bytes, columns: tuple[str, ...]) -> tuple[float, ...]:
    """A load report, `NAME=FIGURE,NAME=FIGURE...`, as figures in the order of `columns`.

    Nothing at all where a column is missing or no finite number: half a report would be read as a whole one.
    """
    told = dict(pair.partition("=")[::2] for pair in text.decode("ascii", "replace").split(","))
    try:
        figures = tuple(float(told[column]) for column in columns)
    except (KeyError, ValueError):
        return ()
    return figures if all(map(math.isfinite, figures)) else ()


def parse_address(text: str) -> Address:
    address, _, port = text.rpartition(":")
    if not address or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{os.fsdecode(text)!r} is not ADDRESS:PORT")
    return address, int(port)
