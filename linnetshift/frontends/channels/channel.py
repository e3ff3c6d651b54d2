"""One request as a channel of a session: flow control, data in both directions and closing."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from linnetshift.broker.active_request import ActiveRequest
from linnetshift.broker.ports import UpstreamConnection
from linnetshift.event_loop.timers import MS, S, ceil_ms
from linnetshift.frontends.channels.messages import (
    OpenFailureReason,
    encode_channel_close,
    encode_channel_data,
    encode_channel_eof,
    encode_channel_request,
    encode_open_confirmation,
    encode_open_failure,
    encode_window_adjust,
    retry_after_text,
)
from linnetshift.frontends.channels.packets import ProtocolError
from linnetshift.frontends.listener import endpoint_end_reason
from linnetshift.observability import log
from linnetshift.observability.log import Reason

if TYPE_CHECKING:
    from linnetshift.frontends.channels.session import Session

MIGRATE_REQUEST = b"move@linnetshift"
RESET_REQUEST = b"reset@linnetshift"
# Receive window of a channel, which also bounds the data buffered for a slow endpoint.
RECEIVE_WINDOW_BYTES = 32_768
# Most data in one packet; channels with pending data take turns packet by packet.
MAX_DATA_BYTES = 16_384
MAX_WINDOW_BYTES = 0xFFFFFFFF  # RFC 4254, section 5.2
# Pending data of a closing channel is dropped when the client has not granted window for it within this time.
CLOSE_TIMEOUT_NS = S


class CloseTimeout(NamedTuple):
    """Timer tag: the client has not granted window for a closing channel's pending data in time."""

    channel: Channel


class Channel:
    """One request inside a session; implements the broker's `Client` (`broker.ports.Client`).

    Windows are in bytes: `send_window` is how much the client still accepts, `receive_window` how much it may
    still send, `bytes_to_grant` how much it has sent since its window was last extended. `pending` holds data
    that waits for window or for the channel's turn to write. While `is_endpoint_paused`, the endpoint's
    connection is resumed once `pending` is empty.
    """

    def __init__(
        self,
        session: Session,
        sender_channel: int,
        recipient_channel: int,
        send_window: int,
        max_packet_bytes: int,
    ) -> None:
        """`sender_channel` is the proxy's number for the channel, `recipient_channel` the client's."""
        self.session = session
        self.sender_channel = sender_channel
        self.recipient_channel = recipient_channel
        self.send_window = send_window
        self.max_data_bytes = max(1, min(max_packet_bytes, MAX_DATA_BYTES))
        self.receive_window = RECEIVE_WINDOW_BYTES
        self.bytes_to_grant = 0
        self.pending = bytearray()
        self.is_in_write_queue = False
        self.is_endpoint_paused = False
        self.is_confirmed = False
        self.is_close_sent = False
        self.is_closing = False  # CLOSE is sent after the pending data
        self.closing_request: bytes | None = None  # request type sent before CLOSE in place of EOF
        self.end_reason = Reason.CHANNEL_CLOSED
        self.began_at = session.loop.now()
        self.endpoint = b""
        self.request: ActiveRequest

    # ---- the broker's and the endpoint's side -----------------------------------------------

    @property
    def is_congested(self) -> bool:
        """Whether data is waiting for the client, so that the endpoint should pause."""
        return bool(self.pending)

    @property
    def is_present(self) -> bool:
        """Whether the client is still connected.

        A client that does not read what it was sent is not read from, so its end could go undetected: it
        counts as gone.
        """
        session = self.session
        is_open = self.sender_channel in session.channels
        return is_open and session.is_client_reading and session.stream.is_present

    def handle_established(self, receipt: memoryview) -> None:
        """Confirm the channel, with the receipt of the endpoint that serves the request."""
        self.is_confirmed = True
        if self.request.attempt is not None:
            self.endpoint = self.request.attempt.endpoint
        self.session.write(
            encode_open_confirmation(
                self.recipient_channel,
                self.sender_channel,
                RECEIVE_WINDOW_BYTES,
                MAX_DATA_BYTES,
                bytes(receipt).rstrip(b"\r\n"),
            )
        )

    def deliver(self, message: memoryview) -> None:
        """Send data from the endpoint as far as window and socket allow, and keep the rest as pending."""
        self.pending += message
        self.session.enqueue_write(self)
        self.is_endpoint_paused = bool(self.pending)

    def resume(self) -> None:
        """Extend the client's window by what it has sent, since the endpoint is no longer congested."""
        if self.bytes_to_grant and self.is_confirmed and not self.is_close_sent:
            self.receive_window += self.bytes_to_grant
            self.session.write(encode_window_adjust(self.recipient_channel, self.bytes_to_grant))
            self.bytes_to_grant = 0

    def reject(self, retry_after_ns: int, exceeded_limit: str) -> None:
        """Answer that a retry is safe, as it was not executed.

        `exceeded_limit` names a contract limit or is empty.
        """
        text = retry_after_text(ceil_ms(retry_after_ns))
        if exceeded_limit:
            reason = OpenFailureReason.ADMINISTRATIVELY_PROHIBITED
            self._fail_open(reason, f"{exceeded_limit}: {text}", Reason.REJECTED)
        else:
            self._fail_open(OpenFailureReason.RESOURCE_SHORTAGE, text, Reason.REJECTED)

    def fail(self) -> None:
        """Answer that the request failed."""
        self._fail_open(OpenFailureReason.CONNECT_FAILED, "the invocation failed", Reason.FAILED)

    def _fail_open(self, reason: OpenFailureReason, text: str, end_reason: Reason) -> None:
        self.session.write(encode_open_failure(self.recipient_channel, reason, text))
        self.end_reason = end_reason
        self.session.remove_channel(self)

    def migrate(self, reason: str) -> None:
        """Close the channel and ask the client to open a new one."""
        self.session.broker.handle_client_ended(self.request, False)
        self.close(Reason(reason), MIGRATE_REQUEST)

    def handle_endpoint_ended(self, outcome: int, reset: bool) -> None:
        """Close the channel the way the endpoint ended its connection."""
        self.close(endpoint_end_reason(outcome, reset), RESET_REQUEST if reset else None)

    # ---- the client's side ----------------------------------------------------------------

    @property
    def upstream_connection(self) -> UpstreamConnection | None:
        """The connection to the endpoint; None while there is none."""
        return self.request.attempt.upstream if self.request.attempt is not None else None

    def receive_data(self, data: memoryview) -> None:
        """Pass data on; extends the window once half is used, unless the endpoint is congested."""
        self._consume_window(len(data))
        upstream = self.upstream_connection
        if upstream is None:
            return
        upstream.deliver(data)
        if not upstream.is_congested and self.bytes_to_grant >= RECEIVE_WINDOW_BYTES // 2:
            self.resume()

    def discard_data(self, size: int) -> None:
        """Count data that is not passed on, and extend the window by it at once."""
        self._consume_window(size)
        self.resume()

    def _consume_window(self, size: int) -> None:
        if size > self.receive_window:
            raise ProtocolError("data beyond the channel's window")
        self.receive_window -= size
        self.bytes_to_grant += size

    def add_window(self, bytes_to_add: int) -> None:
        """Extend the send window; raises ProtocolError beyond MAX_WINDOW_BYTES."""
        self.send_window += bytes_to_add
        if self.send_window > MAX_WINDOW_BYTES:
            raise ProtocolError("a window beyond 2^32 - 1")
        if self.pending:
            self.session.enqueue_write(self)

    def handle_close(self) -> None:
        """Handle CLOSE: the client closes the channel, or confirms that this side has."""
        if not self.is_close_sent:
            self.is_close_sent = True
            self.session.write(encode_channel_close(self.recipient_channel))
            self.session.broker.handle_client_ended(self.request, False)
        self.session.remove_channel(self)

    # ---- writing and closing ----------------------------------------------------------------

    def write_packet(self) -> None:
        """Write one packet of pending data; once none is left, close or resume the endpoint as due."""
        size = min(len(self.pending), self.send_window, self.max_data_bytes)
        if size:
            with memoryview(self.pending) as view, view[:size] as data:
                self.session.write(encode_channel_data(self.recipient_channel, data))
            del self.pending[:size]
            self.send_window -= size
        if self.pending:
            return
        if self.is_closing:
            self.finish_close()
        elif self.is_endpoint_paused:
            upstream = self.upstream_connection
            if upstream is not None:
                self.is_endpoint_paused = False
                upstream.resume()

    def close(self, reason: Reason, channel_request: bytes | None) -> None:
        """Close between two messages, after pending data if the client grants window for it in time.

        CLOSE is preceded by `channel_request`, or by EOF if that is None.
        """
        if self.is_closing or self.is_close_sent:
            return
        self.end_reason = reason
        self.is_closing = True
        self.closing_request = channel_request
        if self.pending:
            self.session.set_timer(CLOSE_TIMEOUT_NS, CloseTimeout(self))
        else:
            self.finish_close()

    def finish_close(self) -> None:
        """Send the final messages of a closing channel, and drop data that is still pending."""
        if self.is_close_sent:
            return
        if self.closing_request is not None:
            self.session.write(encode_channel_request(self.recipient_channel, self.closing_request))
        else:
            self.session.write(encode_channel_eof(self.recipient_channel))
        self.is_close_sent = True
        self.pending.clear()
        self.session.write(encode_channel_close(self.recipient_channel))

    def log_end(self) -> None:
        """Log the channel's end."""
        log.connection_ended(
            "channel",
            self.end_reason,
            id=self.request.id,
            channel=self.sender_channel,
            endpoint=self.endpoint.decode("utf-8", "replace"),
            attempts=self.request.attempts,
            ms=(self.session.loop.now() - self.began_at) // MS,
        )
