"""One administrative connection: one HTTP/1.1 call, its response, and a lingering close."""

from __future__ import annotations

import select
import socket
import time
from enum import Enum
from http import HTTPStatus
from typing import NamedTuple, Protocol

import h11

from linnetshift.admin.operations import Operations
from linnetshift.admin.routes import AdminRequest, DrainChange, Response, dispatch
from linnetshift.event_loop.actor import Actor, ActorCoroutine, Io
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.outbound_connection import Steps, Stop, linger
from linnetshift.event_loop.stream import End, Stream
from linnetshift.event_loop.timers import MS, S, Timeout
from linnetshift.observability import log
from linnetshift.observability.log import MAX_LOGGED_CHARS, Reason

# Some peers connect and send no complete call for 4 s. They are answered before that, and delay no others.
CALL_TIMEOUT_NS = 3 * S
# The operators' scripts wait 1 s for the response to a drain.
DRAIN_TIMEOUT_NS = 800 * MS
# Calls have a short request line, few headers and no body.
MAX_HEAD_BYTES = 4096
MAX_BODY_BYTES = 4096

# IMF-fixdate (RFC 9110, section 5.6.7); days and months are English, as the program sets no locale.
HTTP_DATE_FORMAT = "%a, %d %b %Y %H:%M:%S GMT"


class AdminTimer(Enum):
    """Tags of the timers of an administrative connection."""

    CALL = "call"  # from accept until the call is complete
    DRAIN = "drain"  # until an administrative drain is in effect


class DrainApplied(NamedTuple):
    """Message: the drain or restore that the call asked for is in effect."""

    is_known: bool  # whether discovery ever listed the endpoint


class ConnectionOwner(Protocol):
    """Tracks the administrative connections and limits their number; implemented by `AdminServer`."""

    def handle_opened(self, connection: AdminConnection) -> None:
        """Note that the connection is open and waits for its call."""

    def handle_call_ended(self, connection: AdminConnection) -> None:
        """Note that the call is complete, or never will be: the peer left, or the call was given up."""

    def handle_answered(self, connection: AdminConnection) -> None:
        """Note that the response is sent and the connection waits only for the peer to end its side."""

    def handle_closed(self, connection: AdminConnection) -> None:
        """Note that the connection is closed and its descriptor is free again."""


class AdminConnection(Actor):
    """Serves one call on one connection, then closes it."""

    stream: Stream

    def __init__(
        self, loop: Loop, operations: Operations, owner: ConnectionOwner, sock: socket.socket, peer: Address
    ) -> None:
        """Take ownership of an accepted socket; `start(run())` starts serving it."""
        super().__init__(loop)
        self.operations = operations
        self.owner = owner
        self.peer = peer
        self.stream = Stream(self.loop, sock, self.post_io, max_buffer_bytes=MAX_HEAD_BYTES)
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.request: AdminRequest | None = None
        self.body_bytes = 0
        self.is_reset = False
        self.opened_at = self.loop.now()

    def run(self) -> ActorCoroutine:
        """Receive the call, answer it, and wait for the peer to end its side."""
        self.owner.handle_opened(self)
        self.stream.arm()
        timer = self.set_timer(CALL_TIMEOUT_NS, AdminTimer.CALL)
        response = yield from self.serve_call()
        timer.cancel()
        self.owner.handle_call_ended(self)
        if response is None:
            self.stream.close()
            self.report_closed(Reason.EMPTY, 0)
            return
        has_timed_out = response.status == HTTPStatus.REQUEST_TIMEOUT
        self.send_response(response)
        self.stream.finish()
        self.owner.handle_answered(self)
        yield from linger(self, self.stream, self.opened_at + CALL_TIMEOUT_NS)
        self.stream.close()
        self.report_closed(Reason.REQUEST_TIMEOUT if has_timed_out else Reason.ANSWERED, response.status)

    def handle_fault(self, error: Exception) -> None:
        """Contain a fault of one call: it must not end the process."""
        log.exception(error)
        self.owner.handle_call_ended(self)
        self.stream.close(End.RESET)
        self.report_closed(Reason.FAULT, HTTPStatus.INTERNAL_SERVER_ERROR)

    def report_closed(self, reason: Reason, status: int) -> None:
        """Notify the owner that this connection is closed, and log the reason."""
        self.owner.handle_closed(self)
        log.connection_ended(
            "admin",
            reason,
            peer=f"{self.peer[0]}:{self.peer[1]}",
            call=str(self.request or "")[:MAX_LOGGED_CHARS],
            status=int(status),
            ms=(self.loop.now() - self.opened_at) // MS,
        )

    def evict(self) -> None:
        """Answer 503: too many calls are unfinished, and this one has been for the longest time."""
        self.owner.handle_call_ended(self)
        self.post(Stop())

    def close_lingering(self) -> None:
        """Close an answered connection whose peer keeps its side open, to make room for another."""
        self.stream.close()
        self.post(Stop())

    # ---- receiving the call -----------------------------------------------------------------

    def serve_call(self) -> Steps:
        """Receive the call and return its response; None if the peer ended without a complete call."""
        self.is_reset = self.read()
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                return Response(error.error_status_hint, log.error_text(error))
            match event:
                case h11.Request():
                    self.receive_head(event)
                case h11.Data():
                    self.body_bytes += len(event.data)
                    if self.body_bytes > MAX_BODY_BYTES:
                        return Response(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "these calls need no body")
                case h11.EndOfMessage() if self.request is not None:
                    return (yield from self.respond(self.request))
                case h11.NEED_DATA if not self.is_reset:
                    failure = yield from self.wait_for_data()
                    if failure is not None:
                        return failure
                case _:
                    return None  # the peer ended its side or reset the connection

    def receive_head(self, event: h11.Request) -> None:
        """Store the request line; send 100 Continue if the client waits for it before its body."""
        self.request = AdminRequest(event.method.decode("ascii"), event.target.decode("ascii", "replace"))
        if self.http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=HTTPStatus.CONTINUE, headers=[])
            self.stream.send(self.http.send(interim))

    def wait_for_data(self) -> Steps:
        """Wait for one message and handle it; return a response if the call is given up, else None."""
        match (yield):
            case Io(mask):
                if mask & select.EPOLLOUT:
                    self.stream.flush()
                self.is_reset = self.read()
            case Timeout(tag=AdminTimer.CALL):
                return Response(HTTPStatus.REQUEST_TIMEOUT, "no whole call came in time")
            case Stop():
                retry_after = (("Retry-After", "1"),)
                return Response(HTTPStatus.SERVICE_UNAVAILABLE, "too many callers at once", retry_after)
        return None

    def read(self) -> bool:
        """Pass received bytes to the HTTP parser; return whether the peer reset the connection."""
        end = self.stream.fill()
        if data := self.stream.rest():
            self.http.receive_data(bytes(data))
        if end is End.FIN:
            self.http.receive_data(b"")
        return end is End.RESET

    # ---- answering it -----------------------------------------------------------------------

    def respond(self, request: AdminRequest) -> Steps:
        """Carry out a complete call and return its response."""
        result = dispatch(self.operations, request)
        if isinstance(result, DrainChange):
            return (yield from self.apply_drain(result))
        return result

    def apply_drain(self, change: DrainChange) -> Steps:
        """Apply the change; return its response once it is in effect, or 504 after DRAIN_TIMEOUT_NS."""
        self.set_timer(DRAIN_TIMEOUT_NS, AdminTimer.DRAIN)
        self.operations.set_administrative_drain(
            change.endpoint_id.encode(),
            change.is_drained,
            lambda is_known: self.post(DrainApplied(is_known)),
        )
        while True:
            match (yield):
                case DrainApplied(is_known):
                    return change.response(is_known)
                case Io():
                    self.stream.set_reading(False)  # input after the call is not used
                case Timeout(tag=AdminTimer.DRAIN):
                    text = "acted on here, but no word from the process beside this one"
                    return Response(HTTPStatus.GATEWAY_TIMEOUT, text)
                case Stop():
                    pass  # evicted, but its response follows anyway

    def send_response(self, response: Response) -> None:
        """Send the response, unless the call is so malformed that h11 allows none."""
        body = response.text.encode("utf-8", "replace") + b"\n"
        headers = [
            ("Date", time.strftime(HTTP_DATE_FORMAT, time.gmtime())),
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Content-Length", str(len(body))),
            ("Cache-Control", "no-store"),
            ("Connection", "close"),
            *response.headers,
        ]
        try:
            data = self.http.send(h11.Response(status_code=int(response.status), headers=headers)) or b""
            if self.request is None or self.request.method != "HEAD":
                data += self.http.send(h11.Data(data=body)) or b""
        except h11.LocalProtocolError:
            return
        self.stream.send(data)
