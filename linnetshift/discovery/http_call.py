"""One HTTP call to discovery, on a connection of its own."""

from __future__ import annotations

import json
import select
from http import HTTPStatus
from typing import Any, NamedTuple

import h11

from linnetshift.event_loop.actor import Actor, ActorCoroutine, Io
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.connection_limits import ConnectionTimer
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.outbound_connection import OutboundConnection, Steps
from linnetshift.event_loop.stream import End, Stream
from linnetshift.event_loop.timers import MS, S, Timeout
from linnetshift.observability import log
from linnetshift.observability.log import MAX_LOGGED_CHARS

# A change must be known here 6 s after discovery had it and could be reached, whatever a failed or silent
# call may still be waiting for. Connecting, waiting for a change and the answer of the next call together
# take well under that, and so does each back-off.
CONNECT_TIMEOUT_NS = 1 * S
# Room for thousands of endpoints; once parsed, a list takes some ten times as much memory.
MAX_BODY_BYTES = 1 << 20

UNREACHABLE = "unreachable"  # the logged error of a call whose connection did not come up

# What ends a call without an answer. The log shows the names of these types.
CALL_ERRORS = (h11.RemoteProtocolError, ValueError, ConnectionError, TimeoutError)


class CallEnded(NamedTuple):
    """A call is over; posted to the actor that started it."""

    call: DiscoveryCall
    document: Any  # as decoded from JSON; None where the call failed
    has_timed_out: bool = False  # it failed, as no answer came in time
    elapsed_ns: int = 0  # how long it took


class DiscoveryCall(OutboundConnection):
    """One GET. It fails on any status but 200, on a reset, and on silence past its time limit."""

    def __init__(self, loop: Loop, address: Address, path: str, limit_ns: int, discovery: Actor) -> None:
        """`limit_ns` is for the whole call; `discovery` gets the `CallEnded`."""
        super().__init__(loop)
        self.address = address
        self.path = path
        self.limit_ns = limit_ns
        self.discovery = discovery

    def run(self) -> ActorCoroutine:
        """Connect, exchange request and response, and report the end."""
        began_ns = self.loop.now()
        deadline = began_ns + self.limit_ns
        document = None
        error = UNREACHABLE
        is_connected = yield from self.connect(self.address, min(CONNECT_TIMEOUT_NS, self.limit_ns))
        if is_connected:
            timer = self.set_timer(deadline - self.loop.now(), ConnectionTimer.ANSWER)
            try:
                document = yield from self._exchange()
                error = ""
            except CALL_ERRORS as failure:
                error = f"{type(failure).__name__}: {log.error_text(failure)}"
            timer.cancel()
        if self.stream is not None:
            self.stream.close()
        ended_ns = self.loop.now()
        elapsed_ns = ended_ns - began_ns
        if document is None:
            log.info(
                "discovery-call-failed",
                path=self.path,
                error=error[:MAX_LOGGED_CHARS],
                ms=elapsed_ns // MS,
            )
        has_timed_out = document is None and ended_ns >= deadline
        self.discovery.post(CallEnded(self, document, has_timed_out, elapsed_ns))

    def report_failure(self) -> None:
        """Report a failed call after a fault in this one."""
        self.discovery.post(CallEnded(self, None))

    def _exchange(self) -> Steps:
        """The document that the response holds; raises one of CALL_ERRORS."""
        stream = self.stream
        assert stream is not None
        http = h11.Connection(h11.CLIENT)
        stream.send(self._encode_request(http))
        body = bytearray()
        while True:
            event = http.next_event()
            match event:
                case h11.Response() if event.status_code != HTTPStatus.OK:
                    raise ConnectionError(f"status {event.status_code}")
                case h11.Data():
                    body += event.data
                    if len(body) > MAX_BODY_BYTES:
                        raise ValueError("the answer is too long")
                case h11.EndOfMessage():
                    return json.loads(body)
                case h11.NEED_DATA:
                    yield from self._receive(http, stream)

    def _encode_request(self, http: h11.Connection) -> bytes:
        """The whole request as sent; the connection ends with the response."""
        headers = [("Host", f"{self.address[0]}:{self.address[1]}"), ("Connection", "close")]
        request = h11.Request(method="GET", target=self.path, headers=headers)
        return http.send(request) + (http.send(h11.EndOfMessage()) or b"")

    def _receive(self, http: h11.Connection, stream: Stream) -> Steps:
        """Wait for one message of the loop and pass on what was received."""
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
            case Timeout(tag=ConnectionTimer.ANSWER):
                raise TimeoutError("no answer in time")
