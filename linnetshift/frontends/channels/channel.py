"""One request as a channel of a session: flow control, data in both directions and the channel's end."""

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
# What a client may have under way on a channel, and so the most that is kept for a slow endpoint.
WINDOW_BYTES = 32_768
# Data in one packet; with several channels a packet is also one turn of writing.
MAX_DATA_BYTES = 16_384
MAX_WINDOW_BYTES = 0xFFFFFFFF  # RFC 4254, section 5.2
# An ending channel's last data is given up when the client has granted no window for it for so long.
CLOSE_TIMEOUT_NS = S


class CloseTimeout(NamedTuple):
    """Timer tag: the window for the last data of an ending channel has not been granted in time."""

    channel: Channel


class Channel:
    """One request inside a session; the broker's client port (`broker.active_request.Client`).

    Windows are in bytes: `send_window` is what the client still takes, `receive_window` what it may still
    send, `bytes_to_grant` what it has sent and has not been granted again. `pending` holds data that waits
    for window or for the channel's turn to write; while `is_endpoint_paused`, the endpoint waits until it
    is empty.
    """

    def __init__(
        self,
        session: Session,
        sender_channel: int,
        recipient_channel: int,
        send_window: int,
        max_packet_bytes: int,
    ) -> None:
        """`sender_channel` is this side's number, `recipient_channel` the client's."""
        self.session = session
        self.sender_channel = sender_channel
        self.recipient_channel = recipient_channel
        self.send_window = send_window
        self.max_data_bytes = max(1, min(max_packet_bytes, MAX_DATA_BYTES))
        self.receive_window = WINDOW_BYTES
        self.bytes_to_grant = 0
        self.pending = bytearray()
        self.is_in_write_queue = False
        self.is_endpoint_paused = False
        self.is_confirmed = False
        self.is_close_sent = False
        self.is_closing = False  # this side ends the channel once its pending data is sent
        self.closing_request: bytes | None = None  # sent before CLOSE in place of EOF
        self.end_reason = Reason.CHANNEL_CLOSED
        self.began_at = session.loop.now()
        self.endpoint = b""
        self.request: ActiveRequest

    # ---- the broker's and the endpoint's side -----------------------------------------------

    @property
    def is_congested(self) -> bool:
        """Whether data waits for the client, so that the endpoint should pause."""
        return bool(self.pending)

    @property
    def is_present(self) -> bool:
        """Whether the client has not left.

        A client that leaves unread what it was sent is not read from, so its end may be waiting unseen: it
        counts as gone.
        """
        stream = self.session.stream
        return self.sender_channel in self.session.channels and stream.reading and stream.is_present

    def handle_established(self, receipt: memoryview) -> None:
        """An endpoint serves the request: confirm the channel with its receipt."""
        self.is_confirmed = True
        if self.request.attempt is not None:
            self.endpoint = self.request.attempt.endpoint
        self.session.write(
            encode_open_confirmation(
                self.recipient_channel,
                self.sender_channel,
                WINDOW_BYTES,
                MAX_DATA_BYTES,
                bytes(receipt).rstrip(b"\r\n"),
            )
        )

    def deliver(self, message: memoryview) -> None:
        """Data from the endpoint, sent as far as window and socket allow."""
        self.pending += message
        self.session.enqueue_write(self)
        self.is_endpoint_paused = bool(self.pending)

    def resume(self) -> None:
        """The endpoint takes messages again: the client may send as much as has been passed on."""
        if self.bytes_to_grant and self.is_confirmed and not self.is_close_sent:
            self.receive_window += self.bytes_to_grant
            self.session.write(encode_window_adjust(self.recipient_channel, self.bytes_to_grant))
            self.bytes_to_grant = 0

    def reject(self, retry_after_ns: int, breach: str) -> None:
        """Answer that the request was not done and may be sent again; `breach` names a contract's limit."""
        text = retry_after_text(ceil_ms(retry_after_ns))
        if breach:
            reason = OpenFailureReason.ADMINISTRATIVELY_PROHIBITED
            self._fail_open(reason, f"{breach}: {text}", Reason.REJECTED)
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
        """End the channel with the request to open it anew elsewhere."""
        self.session.broker.handle_client_ended(self.request, False)
        self.close(Reason(reason), MIGRATE_REQUEST)

    def handle_endpoint_ended(self, outcome: int, reset: bool) -> None:
        """End the channel as the endpoint ended its connection."""
        self.close(endpoint_end_reason(outcome, reset), RESET_REQUEST if reset else None)

    # ---- the client's side ----------------------------------------------------------------

    @property
    def upstream_connection(self) -> UpstreamConnection | None:
        """The connection to the endpoint, while there is one."""
        return self.request.attempt.upstream if self.request.attempt is not None else None

    def receive_data(self, data: memoryview) -> None:
        """Pass data on; window is granted again once half of it is used and the endpoint keeps up."""
        self._use_window(len(data))
        upstream = self.upstream_connection
        if upstream is None:
            return
        upstream.deliver(data)
        if not upstream.is_congested and self.bytes_to_grant >= WINDOW_BYTES // 2:
            self.resume()

    def discard_data(self, size: int) -> None:
        """Count data that is not passed on, and grant its window again."""
        self._use_window(size)
        self.resume()

    def _use_window(self, size: int) -> None:
        if size > self.receive_window:
            raise ProtocolError("data beyond the channel's window")
        self.receive_window -= size
        self.bytes_to_grant += size

    def add_window(self, bytes_to_add: int) -> None:
        """The client takes so many bytes more."""
        self.send_window += bytes_to_add
        if self.send_window > MAX_WINDOW_BYTES:
            raise ProtocolError("a window beyond 2^32 - 1")
        if self.pending:
            self.session.enqueue_write(self)

    def handle_close(self) -> None:
        """The client closes the channel, or confirms this side's close."""
        if not self.is_close_sent:
            self.is_close_sent = True
            self.session.write(encode_channel_close(self.recipient_channel))
            self.session.broker.handle_client_ended(self.request, False)
        self.session.remove_channel(self)

    # ---- writing and closing ----------------------------------------------------------------

    def write_packet(self) -> None:
        """Write one packet of pending data, so that each channel with data gets its turn."""
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
        """Close between two messages: pending data goes first, if the client takes it in time.

        The client is sent `channel_request` before CLOSE, or EOF where it is None.
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
        """Send what ends a closing channel; data that is still pending is dropped."""
        if self.is_close_sent:
            return
        if self.closing_request is not None:
            self.session.write(encode_channel_request(self.recipient_channel, self.closing_request))
        else:
            self.session.write(encode_channel_eof(self.recipient_channel))
        self.is_close_sent = True
        self.pending.clear()
        self.session.write(encode_channel_close(self.recipient_channel))

    def report_end(self) -> None:
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
