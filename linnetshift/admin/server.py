"""The operators' door: HTTP/1.1 at an address of its own, one call for each connection.

Callers are people and scripts that may be slow, broken or many; none of them holds up another, and all
together cost a few descriptors and buffers.
"""

from __future__ import annotations

import json
import os
import select
import socket
from collections.abc import Callable
from email.utils import formatdate
from typing import NamedTuple, Protocol
from urllib.parse import parse_qs, urlsplit

import h11

from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import MS, Actor, ActorCoroutine, Io, Loop, S, Timeout
from linnetshift.event_loop.outbound_connection import Steps, Stop, linger
from linnetshift.event_loop.stream import End, Stream
from linnetshift.frontends.listener import Acceptor
from linnetshift.observability import log
from linnetshift.observability.log import MAX_LOGGED_CHARS, Reason
from linnetshift.observability.resource_usage import ResourceUsage

# Some callers connect and finish no call for 4 s: they get their no, and never cost anyone else theirs.
CALL_NS = 3 * S
ACT_NS = 800 * MS  # a caller waits 1 s for what it asked
MOST_CALLERS = 24  # at once; one more ends the one that has been unfinished longest
RESERVED = 4  # descriptors that clients cannot take
MOST_HEAD = 4096
MOST_BODY = 4096
READINESS = "/ops/readiness"
DOWN = "/ops/servers/down"
UP = "/ops/servers/up"
RESOURCE_USAGE = "/ops/census"
METHODS = {READINESS: ("GET", "HEAD"), RESOURCE_USAGE: ("GET", "HEAD"), DOWN: ("PUT",), UP: ("PUT",)}


class Operations(Protocol):
    """What operators may ask of the program."""

    def readiness(self) -> str:
        """Why no client is taken at the moment; empty when they are."""

    def resource_usage(self) -> dict[str, ResourceUsage]:
        """How much the program holds of everything, and how much it may."""

    def is_drain_limit_reached(self, endpoint: bytes) -> bool:
        """Whether so many are out that this one cannot be taken out too."""

    def set_administrative_drain(self, endpoint: bytes, out: bool, done: Callable[[bool], None]) -> None:
        """Take an endpoint out or call it back; `done` hears, once that is acted on, whether it is known."""


class Answer(NamedTuple):
    status: int
    text: str
    headers: tuple[tuple[str, str], ...] = ()


class Done(NamedTuple):
    known: bool


class AdminConnection(Actor):
    """One connection: one call, its answer, and the end."""

    stream: Stream

    def __init__(self, admin_server: AdminServer, sock: socket.socket, peer: Address) -> None:
        super().__init__(admin_server.loop)
        self.admin_server, self.peer = admin_server, peer
        self.stream = Stream(self.loop, sock, lambda mask: self.post(Io(mask)), size=MOST_HEAD)
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self.asked = ""
        self.began = self.loop.now()

    def run(self) -> ActorCoroutine:
        self.admin_server.connections[self] = None
        self.stream.arm()
        timer = self.set_timer(CALL_NS, "call")
        answer = yield from self.call()
        timer.cancel()
        self.admin_server.connections.pop(self, None)
        reason = Reason.EMPTY
        if answer is not None:
            reason = Reason.REQUEST_TIMEOUT if answer.status == 408 else Reason.ANSWERED
            self.reply(answer)
            self.stream.finish()
            self.admin_server.answered(self)
            yield from linger(self, self.stream, self.began + CALL_NS)
        self.stream.close()
        self.report(reason, answer.status if answer is not None else 0)

    def faulted(self, error: Exception) -> None:
        """A fault met on one call must not end the program."""
        log.exception(error)
        self.admin_server.connections.pop(self, None)
        self.stream.close(End.RESET)
        self.report(Reason.FAULT, 500)

    def report(self, reason: Reason, status: int) -> None:
        self.admin_server.lingering.pop(self, None)
        self.admin_server.refill()
        log.connection_ended(
            "admin",
            reason,
            peer=f"{self.peer[0]}:{self.peer[1]}",
            call=self.asked[:MAX_LOGGED_CHARS],
            status=status,
            ms=(self.loop.now() - self.began) // MS,
        )

    def evict(self) -> None:
        """One caller too many: the one that has been unfinished longest is told to come again."""
        self.admin_server.connections.pop(self, None)
        self.post(Stop())

    def leave(self) -> None:
        """It has its answer and keeps its side open, while others want the place."""
        self.stream.close()
        self.post(Stop())

    def call(self) -> Steps:
        """The answer to the one call; None where the peer ended without asking anything."""
        target, size, ended = None, 0, self.read()
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                return Answer(error.error_status_hint, log.error_text(error))
            match event:
                case h11.Request():
                    method, target = event.method.decode("ascii"), event.target.decode("ascii", "replace")
                    self.asked = f"{method} {target}"
                    if self.http.they_are_waiting_for_100_continue:
                        go_on = h11.InformationalResponse(status_code=100, headers=[])
                        self.stream.send(self.http.send(go_on))
                case h11.Data():
                    size += len(event.data)
                    if size > MOST_BODY:
                        return Answer(413, "these calls need no body")
                case h11.EndOfMessage() if target is not None:
                    return (yield from self.answer(method, target))
                case h11.NEED_DATA if not ended:
                    match (yield):
                        case Io(mask):
                            if mask & select.EPOLLOUT:
                                self.stream.flush()
                            ended = self.read()
                        case Timeout(tag="call"):
                            return Answer(408, "no whole call came in time")
                        case Stop():
                            return Answer(503, "too many callers at once", (("Retry-After", "1"),))
                case _:
                    return None  # ended, or reset

    def read(self) -> bool:
        """Hand on what came; whether the peer ended."""
        end = self.stream.fill()
        if data := self.stream.rest():
            self.http.receive_data(bytes(data))
        if end is End.FIN:
            self.http.receive_data(b"")
        return end is End.RESET

    def answer(self, method: str, target: str) -> Steps:
        split = urlsplit(target)
        methods = METHODS.get(split.path)
        if methods is None:
            return Answer(404, "no such call")
        if method not in methods:
            return Answer(405, f"use {methods[0]}", (("Allow", ", ".join(methods)),))
        if split.path == READINESS:
            why_not = self.admin_server.operations.readiness()
            return Answer(503 if why_not else 200, why_not or "taking consumers")
        if split.path == RESOURCE_USAGE:
            told = {
                name: held._asdict() for name, held in self.admin_server.operations.resource_usage().items()
            }
            return Answer(200, json.dumps(told, indent=1))
        ids = parse_qs(split.query).get("id", [])
        if len(ids) != 1:
            return Answer(400, "give one id, as in ?id=ID")
        out = split.path == DOWN
        if out and self.admin_server.operations.is_drain_limit_reached(ids[0].encode()):
            return Answer(507, "too many are out already; call some back first")
        self.set_timer(ACT_NS, "act")
        self.admin_server.operations.set_administrative_drain(
            ids[0].encode(), out, lambda known: self.post(Done(known))
        )
        while True:
            match (yield):
                case Done(known):
                    if not known:
                        return Answer(404, f"{ids[0]} was never listed")
                    return Answer(200, f"{ids[0]} is {'taken out' if out else 'in use'}")
                case Io():
                    self.stream.want(False)  # whatever else it sends is not asked for
                case Timeout(tag="act"):
                    return Answer(504, "acted on here, but no word from the process beside this one")
                case Stop():
                    pass  # its answer is on the way

    def reply(self, answer: Answer) -> None:
        body = answer.text.encode("utf-8", "replace") + b"\n"
        headers = [
            ("Date", formatdate(usegmt=True)),
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Content-Length", str(len(body))),
            ("Cache-Control", "no-store"),
            ("Connection", "close"),
            *answer.headers,
        ]
        try:
            sent = self.http.send(h11.Response(status_code=answer.status, headers=headers)) or b""
            if not self.asked.startswith("HEAD "):
                sent += self.http.send(h11.Data(data=body)) or b""
        except h11.LocalProtocolError:  # a call so broken that nothing can be answered to it
            return
        self.stream.send(sent)


class AdminServer:
    """Listens for operators while it is told where."""

    def __init__(self, loop: Loop, operations: Operations) -> None:
        self.loop, self.operations = loop, operations
        self.connections: dict[
            AdminConnection, None
        ] = {}  # those whose call is not finished, the oldest first
        self.lingering: dict[AdminConnection, None] = {}  # answered, and not gone yet
        self.acceptor: Acceptor | None = None
        self.reserve: list[int] = []  # descriptors held for callers, whatever clients take

    def open(self, address: Address) -> Acceptor:
        return Acceptor(self.loop, address, self.take, make_room=self.make_room)

    def make_room(self) -> bool:
        """Strangers go first; where there are none, a caller gets a descriptor that was held for it."""
        if self.loop.make_room():
            return True
        if not self.reserve:
            return False
        os.close(self.reserve.pop())
        return True

    def refill(self) -> None:
        try:
            while len(self.reserve) < RESERVED:
                self.reserve.append(os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC))
        except OSError:
            pass  # the next caller's end fills it up

    @property
    def address(self) -> Address | None:
        return self.acceptor.address if self.acceptor is not None else None

    def follow(self, acceptor: Acceptor | None) -> None:
        """Listen there from now on, or nowhere; calls that are under way are answered."""
        if self.acceptor is not None:
            self.acceptor.close()
        self.acceptor = acceptor
        if acceptor is not None:
            self.refill()

    def answered(self, connection: AdminConnection) -> None:
        if len(self.lingering) >= MOST_CALLERS:
            oldest = next(iter(self.lingering))
            del self.lingering[oldest]
            oldest.leave()
        self.lingering[connection] = None

    def resource_usage(self) -> dict[str, ResourceUsage]:
        return {
            "door.callers": ResourceUsage(len(self.connections), MOST_CALLERS + 1),
            "door.lingering": ResourceUsage(len(self.lingering), MOST_CALLERS),
            "door.reserve": ResourceUsage(len(self.reserve), RESERVED),
        }

    def take(self, sock: socket.socket, peer: Address) -> None:
        if len(self.connections) >= MOST_CALLERS:
            next(iter(self.connections)).evict()
        connection = AdminConnection(self, sock, peer)
        connection.start(connection.run())
