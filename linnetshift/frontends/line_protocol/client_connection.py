"""The platform's frontend: clients that open with one line, and frontends that ask whether we are ready."""

from __future__ import annotations

import select
import socket
from typing import NamedTuple

from linnetshift.broker.active_request import ActiveRequest
from linnetshift.broker.broker import Broker
from linnetshift.config.names import NameRegistry
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.connection_limits import (
    DRAIN_NS,
    REQUEST_LINE_TIMEOUT_NS,
    ConnectionLimiter,
    Reading,
)
from linnetshift.event_loop.loop import MS, ActorCoroutine, Io, Loop, Timeout
from linnetshift.event_loop.outbound_connection import Resume, Steps, Stop, linger
from linnetshift.event_loop.stream import End, LineTooLongError, Stream
from linnetshift.frontends.line_protocol.request_line import BadLine, RequestLine, parse_request_line
from linnetshift.frontends.listener import Frontend
from linnetshift.observability import log
from linnetshift.observability.log import MOST_TOLD, Reason
from linnetshift.observability.resource_usage import ResourceUsage
from linnetshift.routing.events import Outcome

ANSWER_NS = 4 * MS  # answers leave this much before the client gives up


class Rejected(NamedTuple):
    retry_after_ns: int
    breach: str


class Failed(NamedTuple):
    pass


class Moving(NamedTuple):
    reason: str


class EndpointEnded(NamedTuple):
    outcome: int
    reset: bool


class Leaving(NamedTuple):
    """This proxy takes no more requests."""


class ClientConnection(Reading):
    """One client's connection, from its first line to its end."""

    def __init__(self, frontend: LineProtocolFrontend, sock: socket.socket, peer: Address) -> None:
        super().__init__(frontend.loop)
        self.frontend, self.broker, self.peer = frontend, frontend.broker, peer
        self.stream = Stream(self.loop, sock, self.ready)
        self.began = self.loop.now()
        self.request: ActiveRequest | None = None
        self.endpoint = b""
        self.id: int | None = None  # held in the frontend's set while this is open
        self.error, self.wait_ms = "", 0

    def evict(self) -> None:
        self.stream.drain()  # a close over bytes unread would reset the answer away
        self.stream.send(b"" if self.stream.ending else FAILED)
        self.stream.close()
        self.post(Stop())

    def ready(self, mask: int) -> None:
        self.post(Io(mask))

    # ---- the broker's and the endpoint's side -----------------------------------------------

    @property
    def is_congested(self) -> bool:
        return self.stream.is_congested

    @property
    def is_present(self) -> bool:
        """Asked before it has its answer: until then who talks is turned away, and so has left."""
        return self.stream.has_nothing_unread

    def handle_established(self, receipt: memoryview) -> None:
        if self.request is not None and self.request.attempt is not None:
            self.endpoint = self.request.attempt.endpoint
        self.stream.send(receipt)
        self.post(Resume())

    def deliver(self, message: memoryview) -> None:
        self.stream.send(message)
        self.look_for_stall()

    def resume(self) -> None:
        self.post(Resume())

    def reject(self, retry_after_ns: int, breach: str) -> None:
        self.post(Rejected(retry_after_ns, breach))

    def fail(self) -> None:
        self.post(Failed())

    def migrate(self, reason: str) -> None:
        self.post(Moving(reason))

    def handle_endpoint_ended(self, outcome: int, reset: bool) -> None:
        self.post(EndpointEnded(outcome, reset))

    # ---- the script -------------------------------------------------------------------------

    def run(self) -> ActorCoroutine:
        self.frontend.clients.add(self)
        self.stream.arm()
        self.frontend.connection_limiter.add(self)
        reason = yield from self.open()
        self.frontend.connection_limiter.remove(self)
        if reason is None:
            reason = yield from self.wait()
        if reason is None:
            reason = yield from self.stand()
        how = End.FIN
        if reason in (Reason.ENDPOINT_RESET, Reason.CLIENT_RESET):
            how = End.RESET
        elif reason is not Reason.STALLED and not self.stream.broken and not self.stream.closed:
            self.stream.finish()
            self.frontend.connection_limiter.add(self)
            yield from linger(self, self.stream, self.began + DRAIN_NS)
        self.stream.close(how)
        self.report(reason)

    def faulted(self, error: Exception) -> None:
        """Other clients must not pay for a fault met on this one."""
        log.fault(error)
        if self.request is not None:
            self.broker.handle_client_ended(self.request, True)
        self.stream.close(End.RESET)
        self.report(Reason.FAULT)

    def report(self, reason: Reason) -> None:
        self.frontend.clients.discard(self)
        self.frontend.connection_limiter.remove(self)
        if self.id is not None:
            self.frontend.ids.discard(self.id)
        log.connection_ended(
            "client",
            reason,
            **({"error": self.error[:MOST_TOLD]} if self.error else {}),
            id=self.request.id if self.request is not None else 0,
            **({"open": f"{self.id:x}"} if self.id is not None else {}),
            **(self.asked() if self.request is not None else {}),
            peer=f"{self.peer[0]}:{self.peer[1]}",
            endpoint=self.endpoint.decode("utf-8", "replace"),
            attempts=self.request.attempts if self.request is not None else 0,
            **({"wait_ms": self.wait_ms} if reason is Reason.REJECTED else {}),
            ms=(self.loop.now() - self.began) // MS,
        )

    def asked(self) -> dict[str, object]:
        """What it asked for, in the words of the log."""
        request = self.request
        assert request is not None
        klass = self.broker.settings.classes[request.klass].name
        return {"key": f"{request.key:x}", "class": klass}

    def open(self) -> Steps:
        """Read the first line and hand it in; the reason if nothing comes of it."""
        timer = self.set_timer(REQUEST_LINE_TIMEOUT_NS, "opener")
        arrived, asked = self.loop.since, False
        end = self.stream.fill()  # the line mostly comes with the connection
        while True:
            try:
                while not self.stream.is_congested and (line := self.stream.line()) is not None:
                    if bytes(line[:6]).rstrip() not in (b"PING", b"STATS"):
                        self.hand_in(parse_request_line(bytes(line), self.frontend.names), arrived)
                        timer.cancel()
                        return None
                    self.stream.send(self.frontend.readiness(bytes(line[:6])))
                    self.frontend.connection_limiter.answered(self)
                    asked = True
            except (BadLine, LineTooLongError) as error:
                return self.bad_line(str(error))
            # Without this, what is owed to someone who asks on and reads nothing would fill memory.
            self.stream.want(not self.stream.is_congested)
            if end is not None:
                return Reason.PROBED if asked else Reason.EMPTY
            match (yield):
                case Io(mask):
                    if mask & select.EPOLLOUT:
                        self.stream.flush()
                    arrived, held = self.loop.since, self.stream.stop - self.stream.start
                    end = self.stream.fill()
                    if self.stream.stop > held:
                        self.frontend.connection_limiter.talks(self)
                case Stop():
                    return Reason.EVICTED
                case Leaving():
                    # A request that crosses this on its way finds its answer; nothing read later is sent on.
                    self.stream.fill()
                    self.stream.send(b"BUSY\r\n")
                    return Reason.SHUT_DOWN
                case Timeout(tag="opener"):
                    self.stream.send(FAILED)
                    return Reason.REQUEST_TIMEOUT

    def hand_in(self, request_line: RequestLine, arrived: int) -> None:
        """`d` counts from the sending, which was before the loop saw it: the budget leaves room for that."""
        if self.stream.stop > self.stream.start:
            raise BadLine(TALKS)
        if request_line.id in self.frontend.ids:
            # Endpoints take it for a second copy of the other's request, and say ERR one after the other.
            raise BadLine("the id of an open invocation")
        self.id = request_line.id
        self.frontend.ids.add(request_line.id)
        wait = request_line.wait_ns or self.broker.settings.classes[request_line.klass].deadline_ns
        self.request = ActiveRequest(
            self,
            request_line.klass,
            request_line.tenant,
            request_line.key,
            request_line.group,
            request_line.flags,
            request_line.hint,
            arrived + wait - ANSWER_NS,
            request_line.forward,
            request_line.adopt,
        )
        self.broker.submit(self.request)

    def bad_line(self, error: str) -> Reason:
        self.error = error or "too long"
        self.stream.send(FAILED)
        return Reason.BAD_LINE

    def wait(self) -> Steps:
        """Until the one answer; None when it is that the connection stands."""
        request = self.request
        assert request is not None
        while True:
            match (yield):
                case Resume():
                    return None
                case Rejected(retry_after_ns):
                    ms = self.wait_ms = -(-retry_after_ns // MS)
                    self.stream.send(b"BUSY %d\r\n" % ms if ms else b"BUSY\r\n")
                    return Reason.REJECTED
                case Failed():
                    self.stream.send(FAILED)
                    return Reason.FAILED
                case Io():
                    end = self.stream.fill()
                    if end is not None and not request.is_answered:
                        is_retry_safe = self.broker.is_retry_safe(request)
                        self.broker.handle_client_ended(request, end is End.RESET)
                        # Perhaps it ended only its sending, and still reads.
                        self.stream.send(b"BUSY\r\n" if is_retry_safe else FAILED)
                        return Reason.WITHDRAWN
                    if self.stream.stop > self.stream.start and not request.is_answered:
                        # Unread, it would hide that the client ended; an endpoint could not use it.
                        self.broker.handle_client_ended(request, False)
                        return self.bad_line(TALKS)
                    self.stream.want(end is None)

    def stand(self) -> Steps:
        """Messages both ways until one side ends."""
        request, stream = self.request, self.stream
        assert request is not None
        end: End | None = None
        self.pass_on(request)
        while end is None:
            match (yield):
                case Io(mask):
                    if mask & select.EPOLLOUT:
                        stream.flush()
                        self.look_for_stall()
                        if not stream.is_congested and (out := request.attempt) and out.link is not None:
                            out.link.resume()
                    if mask & ~select.EPOLLOUT:
                        end = stream.fill()
                        if not self.pass_on(request):
                            return Reason.BAD_LINE
                    if stream.broken and end is None:
                        end = End.RESET
                case Resume():
                    if not self.pass_on(request):
                        return Reason.BAD_LINE
                case EndpointEnded(outcome, reset):
                    if reset:
                        return Reason.ENDPOINT_RESET
                    if outcome == Outcome.OK:
                        return Reason.SERVED
                    return Reason.ENDPOINT_MIGRATED if outcome == Outcome.CANCELLED else Reason.ENDPOINT_LEFT
                case Moving(reason):
                    stream.send(b"MOVE\r\n")  # what was sent before it were whole lines
                    self.broker.handle_client_ended(request, False)
                    return Reason(reason)
                case Timeout(tag="stalled") if self.stalled():
                    self.broker.handle_client_ended(request, False)
                    return Reason.STALLED
        link = request.attempt.link if request.attempt is not None else None
        if end is End.FIN and link is not None and (rest := stream.rest()):
            link.deliver(rest)
        self.broker.handle_client_ended(request, end is End.RESET)
        return Reason.CLIENT_RESET if end is End.RESET else Reason.CLIENT_LEFT

    def pass_on(self, request: ActiveRequest) -> bool:
        """Hand whole lines to the endpoint while it takes them; stop reading when it does not.

        False once a line is too long to be one: both sides end.
        """
        link = request.attempt.link if request.attempt is not None else None
        if link is None:
            return True
        try:
            while not link.is_congested and (line := self.stream.line()) is not None:
                link.deliver(line)
        except LineTooLongError:
            self.error = "too long"
            self.broker.handle_client_ended(request, False)
            return False
        self.stream.want(not link.is_congested)
        return True


FAILED = b"ERR\r\n"
TALKS = "talks on before its answer"


class LineProtocolFrontend(Frontend):
    """Accepts clients on the address that the platform gave."""

    def __init__(
        self, loop: Loop, broker: Broker, names: NameRegistry, connection_limiter: ConnectionLimiter
    ) -> None:
        super().__init__(loop, broker, names, connection_limiter)
        self.clients: set[ClientConnection] = set()
        self.ids: set[int] = set()  # as clients gave them

    def take(self, sock: socket.socket, peer: Address) -> None:
        client = ClientConnection(self, sock, peer)
        client.start(client.run())

    def notify_idle_clients(self) -> None:
        """Tell those who rest here that this proxy leaves."""
        for client in self.clients:
            client.post(Leaving())

    def resource_usage(self, connections: int) -> dict[str, ResourceUsage]:
        return {
            "platform.consumers": ResourceUsage(len(self.clients), connections),
            "platform.ids": ResourceUsage(len(self.ids), connections),
        }

    def readiness(self, asked: bytes) -> bytes:
        if not asked.startswith(b"PING"):
            return b"NO\r\n"
        return b"ERR\r\n" if self.is_draining else b"PONG\r\n"
