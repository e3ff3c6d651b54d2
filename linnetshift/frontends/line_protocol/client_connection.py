"""One client's connection, from accept to close, and its implementation of the broker's `Client`."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from linnetshift.broker.active_request import ActiveRequest
from linnetshift.event_loop.actor import ActorCoroutine, Io
from linnetshift.event_loop.address import Address, format_address
from linnetshift.event_loop.connection_limits import DISCARD_TIMEOUT_NS, StallDetector
from linnetshift.event_loop.outbound_connection import Resume, Steps, Stop, linger
from linnetshift.event_loop.stream import End, Stream
from linnetshift.event_loop.timers import MS, ceil_ms
from linnetshift.frontends.line_protocol import protocol
from linnetshift.frontends.line_protocol.message_relay import MessageRelay
from linnetshift.frontends.line_protocol.messages import (
    Accepted,
    EndpointEnded,
    Failed,
    MigrationRequested,
    Rejected,
)
from linnetshift.frontends.line_protocol.request_line import LINE_TOO_LONG, RequestLine, RequestLineError
from linnetshift.frontends.line_protocol.request_reader import RequestReader
from linnetshift.frontends.listener import ANSWER_MARGIN_NS
from linnetshift.observability import log
from linnetshift.observability.log import MAX_LOGGED_CHARS, Reason

if TYPE_CHECKING:
    from linnetshift.frontends.line_protocol.frontend import LineProtocolFrontend

EARLY_INPUT = "talks on before its answer"  # the logged error of input before the answer


class ClientConnection(StallDetector):
    """One client's connection: an actor with three states, and the broker's `Client`.

    The states are awaiting the request line (`RequestReader`), awaiting the answer, and established
    (`MessageRelay`). Calls from the broker are posted to the mailbox, except that lines from the endpoint are
    written at once.
    """

    stream: Stream

    def __init__(self, frontend: LineProtocolFrontend, sock: socket.socket, peer: Address) -> None:
        """Take ownership of an accepted socket; nothing is read before `run`."""
        super().__init__(frontend.loop)
        self.frontend = frontend
        self.broker = frontend.broker
        self.peer = peer
        self.stream = Stream(self.loop, sock, self.post_io)
        self.began_at = self.loop.now()
        self.request: ActiveRequest | None = None
        self.endpoint = b""  # the one that accepted the request
        self.client_request_id: int | None = None  # from the request line; unique among open connections
        self.error = ""  # how the client's input violated the protocol, for the log
        self.retry_after_ms = 0

    def evict(self) -> None:
        """Close at once to free a descriptor: no request was sent yet, or the sending side has ended.

        In the former case the client is answered first; in the latter, `send` has no effect.
        """
        self.stream.discard_input()  # closing with unread bytes sends a reset, which loses the answer
        self.stream.send(protocol.ERROR_LINE)
        self.stream.close()
        self.post(Stop())

    # ---- the broker's `Client` --------------------------------------------------------------

    @property
    def is_congested(self) -> bool:
        """Whether data waits to be sent, since the client does not read."""
        return self.stream.is_congested

    @property
    def is_present(self) -> bool:
        """Whether the client still waits for its answer; early input counts as leaving."""
        return self.stream.has_nothing_unread

    def handle_established(self, receipt: memoryview) -> None:
        """Send the endpoint's receipt, a complete line."""
        if self.request is not None and self.request.attempt is not None:
            self.endpoint = self.request.attempt.endpoint
        self.stream.send(receipt)
        self.post(Accepted())

    def deliver(self, message: memoryview) -> None:
        """Send a line from the endpoint."""
        self.stream.send(message)
        self.update_stall_timer()

    def resume(self) -> None:
        """Resume relaying, since the endpoint is no longer congested."""
        self.post(Resume())

    def reject(self, retry_after_ns: int, exceeded_limit: str) -> None:
        """Answer that the request was not executed."""
        self.post(Rejected(retry_after_ns, exceeded_limit))

    def fail(self) -> None:
        """Answer that the request failed."""
        self.post(Failed())

    def migrate(self, reason: str) -> None:
        """Ask the client to reconnect, between two lines."""
        self.post(MigrationRequested(reason))

    def handle_endpoint_ended(self, outcome: int, reset: bool) -> None:
        """End this side the way the endpoint ended its own."""
        self.post(EndpointEnded(outcome, reset))

    # ---- the actor --------------------------------------------------------------------------

    def run(self) -> ActorCoroutine:
        """Run the states in order; each returns None, or the reason why the connection ends."""
        self.frontend.clients.add(self)
        self.stream.arm()
        self.frontend.connection_limiter.add(self)
        reason = yield from RequestReader(self).run()
        self.frontend.connection_limiter.remove(self)
        request = self.request
        if reason is None:
            assert request is not None
            reason = yield from self._await_answer(request)
        if reason is None:
            assert request is not None
            reason = yield from MessageRelay(self, request).run()
        yield from self._close(reason)
        self._report_end(reason)

    def handle_fault(self, error: Exception) -> None:
        """Contain an internal error: only this connection ends."""
        log.exception(error)
        if self.request is not None:
            self.broker.handle_client_ended(self.request, True)
        self.stream.close(End.RESET)
        self._report_end(Reason.FAULT)

    def submit(self, request_line: RequestLine, received_at: int) -> None:
        """Submit the request to the broker; raises `RequestLineError` for early input or an id in use.

        `received_at` is when the loop saw the line, in ns of its clock.
        """
        if self.stream.buffered_bytes:
            raise RequestLineError(EARLY_INPUT)
        if request_line.id in self.frontend.open_request_ids:
            # Endpoints treat it as a duplicate of the open request: each attempt would be answered with ERR.
            raise RequestLineError("the id of an open invocation")
        self.client_request_id = request_line.id
        self.frontend.open_request_ids.add(request_line.id)
        wait_ns = request_line.wait_ns or self.broker.settings.classes[request_line.class_number].deadline_ns
        self.request = ActiveRequest(
            client=self,
            class_number=request_line.class_number,
            tenant=request_line.tenant,
            key=request_line.key,
            group=request_line.group,
            flags=request_line.flags,
            load_hint=request_line.load_hint,
            deadline=received_at + wait_ns - ANSWER_MARGIN_NS,
            encode_request_line=request_line.encode,
            adopted_endpoint=request_line.adopted_endpoint,
        )
        self.broker.submit(self.request)

    def answer_bad_line(self, error: str) -> Reason:
        """Answer input that violates the protocol; `error` describes the violation for the log."""
        self.error = error
        self.stream.send(protocol.ERROR_LINE)
        return Reason.BAD_LINE

    def record_line_too_long(self) -> None:
        """Record for the log that a relayed line was too long; an established connection gets no answer."""
        self.error = LINE_TOO_LONG

    def _await_answer(self, request: ActiveRequest) -> Steps:
        """Return None once the endpoint has accepted the request, else the reason why the connection ends."""
        while True:
            match (yield):
                case Accepted():
                    return None
                case Rejected(retry_after_ns):
                    self.retry_after_ms = ceil_ms(retry_after_ns)
                    self.stream.send(protocol.encode_busy(self.retry_after_ms))
                    return Reason.REJECTED
                case Failed():
                    self.stream.send(protocol.ERROR_LINE)
                    return Reason.FAILED
                case Io():
                    reason = self._handle_early_input(request)
                    if reason is not None:
                        return reason

    def _handle_early_input(self, request: ActiveRequest) -> Reason | None:
        """Read while awaiting the answer; a client that ends its side or sends more withdraws its request."""
        end = self.stream.fill()
        if end is not None and not request.is_answered:
            is_retry_safe = self.broker.is_retry_safe(request)
            self.broker.handle_client_ended(request, end is End.RESET)
            # The client may have ended only its sending side and still be reading.
            self.stream.send(protocol.BUSY_LINE if is_retry_safe else protocol.ERROR_LINE)
            return Reason.WITHDRAWN
        if self.stream.buffered_bytes and not request.is_answered:
            # Left unread, the input would hide the end of the client's side; no endpoint could use it.
            self.broker.handle_client_ended(request, False)
            return self.answer_bad_line(EARLY_INPUT)
        # If an answer is already in the mailbox, the input is for the relay, which reads the end again; until
        # then, watching for input would wake the loop on every turn after an end.
        self.stream.set_reading(end is None)
        return None

    def _close(self, reason: Reason) -> Steps:
        """Close the way the other side ended; after an orderly end, wait until the client has read all."""
        end = End.FIN
        if reason in (Reason.ENDPOINT_RESET, Reason.CLIENT_RESET):
            end = End.RESET
        elif reason is not Reason.STALLED and not self.stream.broken and not self.stream.closed:
            self.stream.finish()
            self.frontend.connection_limiter.add(self)
            yield from linger(self, self.stream, self.began_at + DISCARD_TIMEOUT_NS)
        self.stream.close(end)

    def _report_end(self, reason: Reason) -> None:
        """Remove this connection from the frontend's sets and log its end."""
        self.frontend.clients.discard(self)
        self.frontend.connection_limiter.remove(self)
        if self.client_request_id is not None:
            self.frontend.open_request_ids.discard(self.client_request_id)
        fields: dict[str, object] = {}
        if self.error:
            fields["error"] = self.error[:MAX_LOGGED_CHARS]
        fields["id"] = self.request.id if self.request is not None else 0
        if self.client_request_id is not None:
            fields["open"] = f"{self.client_request_id:x}"
        if self.request is not None:
            fields["key"] = f"{self.request.key:x}"
            fields["class"] = self.broker.settings.classes[self.request.class_number].name
        fields["peer"] = format_address(self.peer)
        fields["endpoint"] = self.endpoint.decode("utf-8", "replace")
        fields["attempts"] = self.request.attempts if self.request is not None else 0
        if reason is Reason.REJECTED:
            fields["wait_ms"] = self.retry_after_ms
        fields["ms"] = (self.loop.now() - self.began_at) // MS
        log.connection_ended("client", reason, **fields)
