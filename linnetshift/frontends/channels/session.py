"""One client connection of the channels frontend: identification, packets, keep-alives and channels.

A session ends when the client leaves, violates the protocol, or stops reading or answering, or when the
proxy drains. RFC 4253, section 11.1, allows no packet after DISCONNECT, so each CHANNEL_OPEN that was written
before has to be answered first. While the proxy drains, the session stays and refuses channels. It ends

- together with the refusal, where the client opens one channel at a time: it waits for this answer, so no
  other CHANNEL_OPEN can be on its way;
- otherwise DRAINED_SESSION_TIMEOUT_NS after the drain began, or as the process exits. Only then can a
  CHANNEL_OPEN cross DISCONNECT: one that was written while DISCONNECT was on its way to the client.
"""

from __future__ import annotations

import select
import socket
from collections import deque
from enum import Enum
from itertools import count
from typing import TYPE_CHECKING, NamedTuple

from linnetshift.event_loop.actor import ActorCoroutine, Io
from linnetshift.event_loop.address import Address, format_address
from linnetshift.event_loop.connection_limits import (
    DISCARD_TIMEOUT_NS,
    REQUEST_LINE_TIMEOUT_NS,
    ConnectionTimer,
    StallDetector,
)
from linnetshift.event_loop.outbound_connection import Steps, Stop, linger
from linnetshift.event_loop.stream import End, Stream
from linnetshift.event_loop.timers import S, Timeout, Timer
from linnetshift.frontends.channels.channel import Channel, CloseTimeout
from linnetshift.frontends.channels.message_handlers import handle_message
from linnetshift.frontends.channels.messages import (
    DisconnectReason,
    encode_disconnect,
    encode_global_request,
)
from linnetshift.frontends.channels.packets import (
    BLOCK_BYTES,
    IDENTIFICATION,
    MAX_PACKET_BYTES,
    PayloadReader,
    ProtocolError,
    encode_packet,
    read_identification,
    read_packet,
)
from linnetshift.observability import log
from linnetshift.observability.log import Reason

if TYPE_CHECKING:
    from linnetshift.frontends.channels.frontend import ChannelsFrontend

KEEPALIVE_REQUEST = b"keepalive@linnetshift"
KEEPALIVE_INTERVAL_NS = 15 * S
# A session ends if nothing has been received since this many keep-alives.
MAX_UNANSWERED_KEEPALIVES = 3
# How long a session without channels refuses channels after this proxy has begun to drain.
DRAINED_SESSION_TIMEOUT_NS = 5 * S
# Packets that a session handles before others have their turn; opening a channel costs as much as several.
MAX_PACKETS_PER_TURN = 16
PACKETS_PER_OPEN = 8
# How often a session that ends reads what has arrived; a client that sends at full speed must not delay it.
MAX_FINAL_READS = 16
MAX_PACKETS_PER_FINAL_READ = MAX_PACKET_BYTES
# Reading from a client pauses while at least this much waits to be sent to it.
MAX_UNSENT_BYTES = 65_536
SHUT_DOWN_MESSAGE = encode_disconnect(DisconnectReason.BY_APPLICATION, "this proxy is leaving")


class SessionTimer(Enum):
    """Tags of a session's own timers."""

    IDENTIFICATION = "identification"
    PACKET = "packet"
    KEEPALIVE = "keepalive"
    DRAIN = "drain"
    TURN = "turn"


class DrainStarted(NamedTuple):
    """Message from the frontend: no more channels are opened."""


class DrainOver(NamedTuple):
    """Message from the frontend: the session ends as soon as it has no channels."""


class Session(StallDetector):
    """One client's connection and its channels."""

    def __init__(self, frontend: ChannelsFrontend, sock: socket.socket, peer: Address) -> None:
        """Take ownership of an accepted socket; `run` starts the session."""
        super().__init__(frontend.loop)
        self.frontend = frontend
        self.broker = frontend.broker
        self.peer = peer
        self.stream = Stream(self.loop, sock, self.post_io, max_buffer_bytes=MAX_PACKET_BYTES + BLOCK_BYTES)
        self.channels: dict[int, Channel] = {}
        self.channel_numbers = count()
        self.channels_opened = 0
        self.has_concurrent_channels = False  # now or earlier: their opens don't wait for each other
        self.is_evicted = False
        self.is_processing = False  # reads or handles input now
        self.received_at = self.loop.now()  # when the loop saw the input that was read last
        self.packets_left_in_turn = MAX_PACKETS_PER_TURN
        self.turn_timer: Timer | None = None  # armed while packets wait for this session's next turn
        self.drain_timer: Timer | None = None
        self.is_drain_over = False  # ends as soon as it has no channels
        self.write_queue: deque[Channel] = deque()
        self.packets_received = 0  # the last one's sequence number plus 1
        self.unanswered_keepalives = 0  # sent since anything was received
        self.packet_timer: Timer | None = None  # armed while a packet is incomplete
        self.packet_timer_armed_at = 0
        self.end_reason: Reason | None = None
        self.began_at = self.loop.now()

    def evict(self) -> None:
        """Close the socket immediately to free its descriptor, after answering what has arrived."""
        self.is_evicted = True
        if self.end_reason is None and not self.is_processing:
            self._answer_arrived()
            self.stream.discard_input()  # closing with unread bytes sends a reset, which loses the answer
        self.stream.close()
        self.end_reason = self.end_reason or Reason.EVICTED
        self.post(Stop())

    @property
    def is_refusing(self) -> bool:
        """Whether no more channels are opened."""
        return self.frontend.is_draining or self.is_evicted

    # ---- the coroutine ----------------------------------------------------------------------

    def run(self) -> ActorCoroutine:
        """Run the session from its first byte until the socket is closed."""
        self.frontend.sessions.add(self)
        self.stream.arm()
        self.frontend.connection_limiter.add(self)
        try:
            yield from self._identify()
            yield from self._serve()
        except ProtocolError as error:
            self.end_reason = Reason.PROTOCOL_ERROR
            log.info("packet-malformed", peer=self.peer[0], error=log.error_text(error))
            self._disconnect(error.reason, str(error))
        self._end_channels(is_reset=self.end_reason is Reason.CLIENT_RESET)
        if not self.stream.broken and not self.stream.closed and self.end_reason is not Reason.STALLED:
            self.stream.finish()
            self.frontend.connection_limiter.add(self)
            yield from linger(self, self.stream, self.began_at + DISCARD_TIMEOUT_NS)
        self.stream.close()
        self._report_end()

    def handle_fault(self, error: Exception) -> None:
        """Contain an internal error: only this session ends."""
        log.exception(error)
        self.end_reason = Reason.FAULT
        self._end_channels(is_reset=True)
        self.stream.close(End.RESET)
        self._report_end()

    def _end_channels(self, is_reset: bool) -> None:
        for channel in list(self.channels.values()):
            if not channel.is_closing and not channel.is_close_sent:
                channel.end_reason = self.end_reason or Reason.CLIENT_LEFT
            self.broker.handle_client_ended(channel.request, is_reset)
            self.remove_channel(channel)
        self.write_queue.clear()

    def _report_end(self) -> None:
        self.frontend.sessions.discard(self)
        self.frontend.connection_limiter.remove(self)
        log.connection_ended(
            "session",
            self.end_reason or Reason.CLIENT_LEFT,
            peer=format_address(self.peer),
            channels=self.channels_opened,
        )

    def _identify(self) -> Steps:
        """Send this side's identification and wait for the client's."""
        self.stream.send(IDENTIFICATION)
        timer = self.set_timer(REQUEST_LINE_TIMEOUT_NS, SessionTimer.IDENTIFICATION)
        while self.end_reason is None:
            match (yield):
                case Io(mask):
                    self._handle_io(mask)
                    if read_identification(self.stream):
                        timer.cancel()
                        return
                case Timeout(tag=SessionTimer.IDENTIFICATION):
                    self.end_reason = Reason.REQUEST_TIMEOUT
                case DrainOver() if self.frontend.is_draining:
                    self._shut_down()

    def _serve(self) -> Steps:
        """Exchange packets until the session ends."""
        self.set_timer(KEEPALIVE_INTERVAL_NS, SessionTimer.KEEPALIVE)
        if self.frontend.is_draining:
            self._start_drain()
        self._take_turn()
        while self.end_reason is None:
            match (yield):
                case Io(mask):
                    self._handle_io(mask)
                    self._take_turn()
                case Timeout(tag=SessionTimer.TURN):
                    self.turn_timer = None
                    self._take_turn()
                case DrainStarted():
                    self._start_drain()
                case DrainOver() | Timeout(tag=SessionTimer.DRAIN):
                    self.is_drain_over = self.frontend.is_draining
                case Timeout(tag=tag):
                    self._handle_timeout(tag)
            if self.is_drain_over and self.frontend.is_draining and not self.channels:
                self._answer_arrived()
                self._shut_down()

    def _handle_timeout(self, tag: object) -> None:
        match tag:
            case CloseTimeout(channel):
                channel.finish_close()
            case SessionTimer.KEEPALIVE:
                self._send_keepalive()
            case SessionTimer.PACKET:
                self._handle_packet_timeout()
            case ConnectionTimer.STALL if self.is_stalled():
                self.end_reason = Reason.STALLED

    def _handle_io(self, mask: int) -> None:
        """Write what the socket accepts, in turns of the channels; then read once."""
        if mask & select.EPOLLOUT:
            self.stream.flush()
            self.write_queued()
        if mask & ~select.EPOLLOUT:
            buffered_bytes = self.stream.stop - self.stream.start
            end = self.stream.fill()
            self.received_at = self.loop.ready_since
            if self.stream.stop > buffered_bytes:
                self.frontend.connection_limiter.handle_partial_request(self)
            self.unanswered_keepalives = 0
            if end is not None:
                self.end_reason = Reason.CLIENT_RESET if end is End.RESET else Reason.CLIENT_LEFT
        if self.stream.broken:
            self.end_reason = Reason.CLIENT_RESET
        self._update_reading()

    def _send_keepalive(self) -> None:
        """Send a request that any peer answers, if only with a failure; a half-open connection does not."""
        self.unanswered_keepalives += 1
        if self.unanswered_keepalives > MAX_UNANSWERED_KEEPALIVES:
            self.end_reason = Reason.UNRESPONSIVE
            return
        self.write(encode_global_request(KEEPALIVE_REQUEST))
        self.set_timer(KEEPALIVE_INTERVAL_NS, SessionTimer.KEEPALIVE)

    def _start_drain(self) -> None:
        """Refuse channels from now on; a drain that was interrupted starts anew."""
        if self.drain_timer is not None:
            self.drain_timer.cancel()
        self.is_drain_over = False
        self.drain_timer = self.set_timer(DRAINED_SESSION_TIMEOUT_NS, SessionTimer.DRAIN)

    def refuse_open(self, failure: bytes) -> None:
        """Answer a CHANNEL_OPEN with the payload `failure`; DISCONNECT follows where the drain allows it.

        Both are one write: a client that opens a channel as soon as the last one was refused can't do so
        between them.
        """
        packets = encode_packet(failure)
        if self._is_drained():
            packets += encode_packet(SHUT_DOWN_MESSAGE)
            self.end_reason = Reason.SHUT_DOWN
        self.stream.send(packets)
        self.update_stall_timer()

    def _is_drained(self) -> bool:
        """Whether the proxy drains and the client, once refused, has no CHANNEL_OPEN on its way."""
        is_idle = not self.channels and not self.has_concurrent_channels
        return (
            self.frontend.is_draining
            and is_idle
            and not self.stream.buffered_bytes
            and self.stream.has_nothing_unread
        )

    def _answer_arrived(self) -> None:
        """Read and answer what has arrived, as the session ends."""
        try:
            for _ in range(MAX_FINAL_READS):
                self.packets_left_in_turn = MAX_PACKETS_PER_FINAL_READ
                self._read_packets()
                if self.stream.has_nothing_unread or self.stream.fill() is not None:
                    break
            self._read_packets()
        except ProtocolError as error:
            log.info("packet-malformed", peer=self.peer[0], error=log.error_text(error))

    def _shut_down(self) -> None:
        if self.end_reason is None:
            self.end_reason = Reason.SHUT_DOWN
            self.write(SHUT_DOWN_MESSAGE)

    def _disconnect(self, reason: DisconnectReason, text: str) -> None:
        self.write(encode_disconnect(reason, text))

    # ---- channels ---------------------------------------------------------------------------

    def add_channel(self, channel: Channel) -> None:
        """Add a new channel; a session with channels is not evicted."""
        self.has_concurrent_channels = self.has_concurrent_channels or bool(self.channels)
        self.channels[channel.sender_channel] = channel
        self.frontend.open_channels += 1
        self.frontend.connection_limiter.remove(self)
        self.channels_opened += 1

    def remove_channel(self, channel: Channel) -> None:
        """Remove a channel and log its end; a session without channels may be evicted again."""
        if self.channels.pop(channel.sender_channel, None) is None:
            return
        self.frontend.open_channels -= 1
        channel.pending.clear()
        if not self.channels and not self.stream.closed:
            self.frontend.connection_limiter.add(self)
        channel.log_end()

    # ---- writing ----------------------------------------------------------------------------

    def write(self, payload: bytes) -> None:
        """Send one payload as a packet."""
        self.stream.send(encode_packet(payload))
        self.update_stall_timer()

    def enqueue_write(self, channel: Channel) -> None:
        """Queue a channel with pending data, and write what the socket accepts now."""
        if not channel.is_in_write_queue:
            channel.is_in_write_queue = True
            self.write_queue.append(channel)
        self.write_queued()

    def write_queued(self) -> None:
        """Write queued channels round robin, a packet each; one without window leaves until it has some."""
        self.update_stall_timer()
        while self.write_queue and not self.stream.is_congested:
            channel = self.write_queue.popleft()
            channel.is_in_write_queue = False
            channel.write_packet()
            if channel.pending and channel.send_window and not channel.is_in_write_queue:
                channel.is_in_write_queue = True
                self.write_queue.append(channel)

    # ---- reading ----------------------------------------------------------------------------

    def _take_turn(self) -> None:
        """Handle some of the packets that have been read; others and further input wait for the next turn.

        Otherwise clients that send small packets at full speed would hold up all others for a buffer each.
        """
        if self.turn_timer is not None:
            return
        self.packets_left_in_turn = MAX_PACKETS_PER_TURN
        self._read_packets()
        if self.packets_left_in_turn <= 0 and self.end_reason is None:
            self.turn_timer = self.set_timer(0, SessionTimer.TURN)
        self._update_reading()

    def _update_reading(self) -> None:
        """Read while the client reads its answers and no packet waits for this session's turn."""
        self.stream.set_reading(self.is_client_reading and self.turn_timer is None)

    @property
    def is_client_reading(self) -> bool:
        """Whether little waits to be sent to the client."""
        return len(self.stream.unsent) < MAX_UNSENT_BYTES

    def charge_open(self) -> None:
        """Count a CHANNEL_OPEN as several packets of this turn."""
        self.packets_left_in_turn -= PACKETS_PER_OPEN - 1

    def _read_packets(self) -> None:
        self.is_processing = True
        try:
            self._handle_packets()
        finally:
            self.is_processing = False

    def _handle_packets(self) -> None:
        while (
            self.end_reason is None
            and self.packets_left_in_turn > 0
            and (payload := read_packet(self.stream)) is not None
        ):
            self.packets_received += 1
            self.packets_left_in_turn -= 1
            if self.packet_timer is not None:
                self.packet_timer.cancel()
                self.packet_timer = None
            handle_message(self, PayloadReader(payload))
        if self.packet_timer is None and self.stream.stop > self.stream.start and self.end_reason is None:
            self._arm_packet_timer()

    def _arm_packet_timer(self) -> None:
        self.packet_timer = self.set_timer(REQUEST_LINE_TIMEOUT_NS, SessionTimer.PACKET)
        self.packet_timer_armed_at = self.loop.now()

    def _handle_packet_timeout(self) -> None:
        """End a session whose packet stays incomplete; otherwise it would never count as idle."""
        elapsed_ns = self.loop.now() - self.packet_timer_armed_at
        if self.packet_timer is None or elapsed_ns < REQUEST_LINE_TIMEOUT_NS:
            return  # stale: that packet has been completed
        if self.stream.reading:
            raise ProtocolError("a packet that does not end")
        self._arm_packet_timer()  # reading is paused: the rest of the packet may be waiting
