"""One HTTP call to discovery, on a connection of its own."""

from __future__ import annotations

import select
from http import HTTPStatus
from typing import Any, NamedTuple

import h11

from linnetshift.endpoint_list.document import MAX_DOCUMENT_BYTES, decode_list
from linnetshift.event_loop.actor import Actor, ActorCoroutine, Io
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.connection_limits import ConnectionTimer
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.outbound_connection import OutboundConnection, Steps
from linnetshift.event_loop.stream import End, Stream
from linnetshift.event_loop.timers import MS, S, Timeout
from linnetshift.observability import log
from linnetshift.observability.log import MAX_LOGGED_CHARS

# This process counts as notified of a change 6 s after discovery had it and could be reached, even if a call
# that is going to fail is open until then. Connecting, the wait for a change and the answer of the next call
# together take well under 6 s, and so does each back-off.
CONNECT_TIMEOUT_NS = 1 * S

UNREACHABLE = "unreachable"  # the logged error of a call that could not connect

# What a call that gets no document raises. The log shows the names of these types.
CALL_ERRORS = (h11.RemoteProtocolError, ValueError, ConnectionError, TimeoutError)


class CallEnded(NamedTuple):
    """A call is over; posted to the actor that started it."""

    call: DiscoveryCall
    document: Any  # as decoded, to be parsed as an endpoint list; None where the call failed
    has_timed_out: bool = False  # the call failed because no answer came in time
    elapsed_ns: int = 0
    body_bytes: int = 0  # of a response with status 200: received, or declared if that is more


class DiscoveryCall(OutboundConnection):
    """One GET request. It fails on any status other than 200, on a reset, and at its timeout."""

    def __init__(self, loop: Loop, address: Address, path: str, timeout_ns: int, discovery: Actor) -> None:
        """`timeout_ns` is for the whole call; `CallEnded` is posted to `discovery`."""
        super().__init__(loop)
        self.address = address
        self.path = path
        self.timeout_ns = timeout_ns
        self.discovery = discovery
        self.body_bytes = 0

    def run(self) -> ActorCoroutine:
        """Connect, send the request, receive the response, and report the end of the call."""
        started_at_ns = self.loop.now()
        deadline_ns = started_at_ns + self.timeout_ns
        document = None
        error = UNREACHABLE
        is_connected = yield from self.connect(self.address, min(CONNECT_TIMEOUT_NS, self.timeout_ns))
        if is_connected:
            timer = self.set_timer(deadline_ns - self.loop.now(), ConnectionTimer.ANSWER)
            try:
                document = yield from self._exchange()
                error = ""
            except CALL_ERRORS as failure:
                error = f"{type(failure).__name__}: {log.error_text(failure)}"
            timer.cancel()
        if self.stream is not None:
            self.stream.close()
        ended_at_ns = self.loop.now()
        elapsed_ns = ended_at_ns - started_at_ns
        if document is None:
            log.info(
                "discovery-call-failed",
                path=self.path,
                error=error[:MAX_LOGGED_CHARS],
                ms=elapsed_ns // MS,
            )
        has_timed_out = document is None and ended_at_ns >= deadline_ns
        self.discovery.post(CallEnded(self, document, has_timed_out, elapsed_ns, self.body_bytes))

    def report_failure(self) -> None:
        """Report the call as failed after a fault in it."""
        self.discovery.post(CallEnded(self, None))

    def _exchange(self) -> Steps:
        """The document decoded from the response; raises one of CALL_ERRORS."""
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
                case h11.Response():
                    self.body_bytes = _declared_length(event)
                    _check_length(self.body_bytes)
                case h11.Data():
                    body += event.data
                    self.body_bytes = max(self.body_bytes, len(body))
                    _check_length(len(body))
                case h11.EndOfMessage():
                    return decode_list(body)
                case h11.NEED_DATA:
                    yield from self._receive(http, stream)

    def _encode_request(self, http: h11.Connection) -> bytes:
        """The encoded request, which asks discovery to close the connection after the response."""
        headers = [("Host", f"{self.address[0]}:{self.address[1]}"), ("Connection", "close")]
        request = h11.Request(method="GET", target=self.path, headers=headers)
        return http.send(request) + (http.send(h11.EndOfMessage()) or b"")

    def _receive(self, http: h11.Connection, stream: Stream) -> Steps:
        """Wait for one message and parse the bytes received; raises one of CALL_ERRORS."""
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
                raise TimeoutError(f"no complete response within {self.timeout_ns // MS} ms")


def _declared_length(response: h11.Response) -> int:
    """The length of the body as its header declares it, which h11 has checked; 0 without one."""
    return next((int(value) for name, value in response.headers if name == b"content-length"), 0)


def _check_length(length: int) -> None:
    """Raise ValueError for a body that is too long, before it is received where its length is declared."""
    if length > MAX_DOCUMENT_BYTES:
        raise ValueError(f"response body longer than {MAX_DOCUMENT_BYTES} bytes")
