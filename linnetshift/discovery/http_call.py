"""One HTTP call to discovery."""

from __future__ import annotations

import json
import select
from typing import Any, NamedTuple

import h11

from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import Actor, ActorCoroutine, Io, Loop, S, Timeout
from linnetshift.event_loop.outbound_connection import OutboundConnection, Steps
from linnetshift.event_loop.stream import End
from linnetshift.observability import log
from linnetshift.observability.log import MAX_LOGGED_CHARS

# What discovery has counts as told 6 s after it could be reached, whatever a failed or silent call may wait
# for: connection, news and answer of the next call stay well under it together, and so does each back-off.
CONNECT_NS = 1 * S
MOST_BODY = 1 << 20  # thousands of endpoints; read, it takes some ten times as much memory


class Answer(NamedTuple):
    call: Call
    document: Any  # None where the call failed
    silent: bool = False  # for want of an answer


class Call(OutboundConnection):
    """One GET. It fails on any status but 200, on a reset, and on silence past its wait."""

    def __init__(self, loop: Loop, address: Address, path: str, limit_ns: int, discovery: Actor) -> None:
        super().__init__(loop)
        self.address, self.path, self.limit_ns, self.discovery = address, path, limit_ns, discovery

    def run(self) -> ActorCoroutine:
        until = self.loop.now() + self.limit_ns
        document, error = None, "unreachable"
        if (yield from self.connect(self.address, min(CONNECT_NS, self.limit_ns))):
            timer = self.set_timer(until - self.loop.now(), "call")
            try:
                document, error = (yield from self.exchange()), ""
            except (h11.RemoteProtocolError, ValueError, ConnectionError, TimeoutError) as failure:
                error = f"{type(failure).__name__}: {log.error_text(failure)}"
            timer.cancel()
        if self.stream is not None:
            self.stream.close()
        if document is None:
            log.info("discovery-call-failed", path=self.path, error=error[:MAX_LOGGED_CHARS])
        self.discovery.post(Answer(self, document, document is None and self.loop.now() >= until))

    def gave_up(self) -> None:
        self.discovery.post(Answer(self, None))

    def exchange(self) -> Steps:
        stream = self.stream
        assert stream is not None
        http = h11.Connection(h11.CLIENT)
        endpoint = f"{self.address[0]}:{self.address[1]}"
        request = h11.Request(
            method="GET", target=self.path, headers=[("Host", endpoint), ("Connection", "close")]
        )
        stream.send(http.send(request) + (http.send(h11.EndOfMessage()) or b""))
        body = bytearray()
        while True:
            event = http.next_event()
            if isinstance(event, h11.Response) and event.status_code != 200:
                raise ConnectionError(f"status {event.status_code}")
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > MOST_BODY:
                    raise ValueError("the answer is too long")
            elif isinstance(event, h11.EndOfMessage):
                return json.loads(body)
            elif event is h11.NEED_DATA:
                yield from self.feed(http)

    def feed(self, http: h11.Connection) -> Steps:
        stream = self.stream
        assert stream is not None
        match (yield):
            case Io(mask):
                if mask & select.EPOLLOUT:
                    stream.flush()
                end = stream.fill()
                if data := stream.rest():
                    http.receive_data(bytes(data))
                elif end is End.RESET:
                    raise ConnectionError("reset")
                elif end is End.FIN:
                    http.receive_data(b"")
            case Timeout(tag="call"):
                raise TimeoutError("no answer in time")
