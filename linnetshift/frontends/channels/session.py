"""The channels frontend: many requests in one connection, as channels of SSH's connection protocol.

RFC 4254 over RFC 4253's packets, without the cryptography. Each CHANNEL_OPEN is a request that the
broker decides like any other; each served channel has a connection of its own to its endpoint.
"""

from __future__ import annotations

import secrets
import select
import socket
from collections import deque
from itertools import count
from typing import NamedTuple

from linnetshift.broker.active_request import ActiveRequest
from linnetshift.broker.broker import Broker
from linnetshift.broker.ports import UpstreamConnection
from linnetshift.config.names import UNKNOWN, NameRegistry
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.connection_limits import (
    DRAIN_NS,
    MOST_WAIT_MS,
    REQUEST_LINE_TIMEOUT_NS,
    ConnectionLimiter,
    Reading,
)
from linnetshift.event_loop.loop import MS, ActorCoroutine, Io, Loop, S, Timeout, Timer
from linnetshift.event_loop.outbound_connection import Steps, Stop, linger
from linnetshift.event_loop.stream import End, LineTooLong, Stream
from linnetshift.frontends.channels import ssh
from linnetshift.frontends.channels.ssh import (
    Disconnect,
    Fields,
    Malformed,
    Message,
    OpenFailure,
    message,
    string,
)
from linnetshift.frontends.line_protocol.client_connection import ANSWER_NS
from linnetshift.frontends.listener import Frontend
from linnetshift.observability import log
from linnetshift.observability.log import MAX_LOGGED_CHARS, Reason
from linnetshift.observability.resource_usage import ResourceUsage
from linnetshift.routing.events import RETRY, RETURNED, Outcome

CHANNEL_TYPE = "invocation@linnetshift"
MOVE_REQUEST = b"move@linnetshift"
RESET_REQUEST = b"reset@linnetshift"
KEEPALIVE_REQUEST = b"keepalive@linnetshift"
WINDOW = 32_768  # what a client may have under way on a channel, and so what is kept for a slow endpoint
PACKET_DATA = 16_384
MOST_CHANNELS = 256
MOST_OPEN = 8192  # of all sessions together
CROWDED_MS = 1000
MOST_UNSENT = 65_536  # with more than this unread by the client, nothing more is read from it
HELD_NS = S  # what a client grants no window for is given up after this when the channel must end
KEEPALIVE_NS = 15 * S
SILENT_BEATS = 3
RETRY_FLAG = 1
RETURNED_FLAG = 2


class Overdue(NamedTuple):
    """An ending channel's last lines have found no window."""

    channel: Channel


class Channel:
    """One request inside a session; a client to the broker."""

    def __init__(self, session: Session, number: int, remote: int, window: int, most: int) -> None:
        self.session, self.number, self.remote = session, number, remote
        self.window, self.most = window, max(1, min(most, PACKET_DATA))
        self.granted = WINDOW  # what the client may still send
        self.owed = 0  # what it sent and has not been granted again
        self.pending = bytearray()  # whole lines that wait for window or for their turn
        self.queued = False
        self.held = False  # the endpoint waits until nothing is pending
        self.open = False  # confirmed
        self.closing: bytes | None = None  # the request that goes before CLOSE; b"" for none
        self.close_sent = False
        self.reason = Reason.CHANNEL_CLOSED
        self.began = session.loop.now()
        self.endpoint = b""
        self.request: ActiveRequest

    # ---- the broker's and the endpoint's side -----------------------------------------------

    @property
    def is_congested(self) -> bool:
        return bool(self.pending)

    @property
    def is_present(self) -> bool:
        """Whoever leaves unread what it was sent is not read from: its end may be waiting there."""
        stream = self.session.stream
        return self.number in self.session.channels and stream.reading and stream.is_present

    def handle_established(self, receipt: memoryview) -> None:
        self.open = True
        if self.request.attempt is not None:
            self.endpoint = self.request.attempt.endpoint
        opened = message(
            Message.CHANNEL_OPEN_CONFIRMATION, "IIII", self.remote, self.number, WINDOW, PACKET_DATA
        )
        self.session.write(opened + string(bytes(receipt).rstrip(b"\r\n")))

    def deliver(self, message: memoryview) -> None:
        self.pending += message
        self.session.take_turn(self)
        self.held = bool(self.pending)

    def resume(self) -> None:
        """The endpoint takes messages again: the client may send as much as has gone."""
        if self.owed and self.open and not self.close_sent:
            self.granted += self.owed
            self.session.write(message(Message.CHANNEL_WINDOW_ADJUST, "II", self.remote, self.owed))
            self.owed = 0

    def reject(self, retry_after_ns: int, breach: str) -> None:
        ms = -(-retry_after_ns // MS)
        text = f"come again after {ms} ms"
        if breach:
            self.refuse(OpenFailure.ADMINISTRATIVELY_PROHIBITED, f"{breach}: {text}", Reason.REJECTED)
        else:
            self.refuse(OpenFailure.RESOURCE_SHORTAGE, text, Reason.REJECTED)

    def fail(self) -> None:
        self.refuse(OpenFailure.CONNECT_FAILED, "the invocation failed", Reason.FAILED)

    def refuse(self, code: OpenFailure, text: str, reason: Reason) -> None:
        self.session.refuse(self.remote, code, text)
        self.reason = reason
        self.session.drop(self)

    def migrate(self, reason: str) -> None:
        self.session.broker.handle_client_ended(self.request, False)
        self.end(Reason(reason), MOVE_REQUEST)

    def handle_endpoint_ended(self, outcome: int, reset: bool) -> None:
        if reset:
            self.end(Reason.ENDPOINT_RESET, RESET_REQUEST)
        elif outcome == Outcome.OK:
            self.end(Reason.SERVED, b"")
        else:
            self.end(Reason.ENDPOINT_MIGRATED if outcome == Outcome.CANCELLED else Reason.ENDPOINT_LEFT, b"")

    # ---- the client's side ----------------------------------------------------------------

    @property
    def link(self) -> UpstreamConnection | None:
        return self.request.attempt.link if self.request.attempt is not None else None

    def received(self, data: memoryview) -> None:
        if len(data) > self.granted:
            raise Malformed("data beyond the channel's window")
        self.granted -= len(data)
        self.owed += len(data)
        link = self.link
        if link is None:
            return
        link.deliver(data)
        if not link.is_congested and self.owed >= WINDOW // 2:
            self.resume()

    def write_some(self) -> None:
        """One packet's worth, so that every channel with something to say gets its turn."""
        size = min(len(self.pending), self.window, self.most)
        if size:
            with memoryview(self.pending) as view:
                head = message(Message.CHANNEL_DATA, "I", self.remote)
                self.session.write(head + string(view[:size]))
            del self.pending[:size]
            self.window -= size
        if self.pending:
            return
        if self.closing is not None:
            self.finish()
        elif self.held and self.link is not None:
            self.held = False
            self.link.resume()

    def end(self, reason: Reason, channel_request: bytes) -> None:
        """Close between two lines: what is pending goes first, if the client takes it in time."""
        if self.closing is not None or self.close_sent:
            return
        self.reason, self.closing = reason, channel_request
        if self.pending:
            self.session.set_timer(HELD_NS, Overdue(self))
        else:
            self.finish()

    def finish(self) -> None:
        if self.close_sent:
            return
        if self.closing:
            channel_request = (
                message(Message.CHANNEL_REQUEST, "I", self.remote) + string(self.closing) + b"\0"
            )
            self.session.write(channel_request)
        elif self.closing is not None:
            self.session.write(message(Message.CHANNEL_EOF, "I", self.remote))
        self.close_sent = True
        self.pending.clear()
        self.session.write(message(Message.CHANNEL_CLOSE, "I", self.remote))


class Session(Reading):
    """One terminal's connection and its channels."""

    def __init__(self, frontend: ChannelsFrontend, sock: socket.socket, peer: Address) -> None:
        super().__init__(frontend.loop)
        self.frontend, self.broker, self.peer = frontend, frontend.broker, peer
        self.stream = Stream(self.loop, sock, self.ready, size=ssh.MOST_PACKET + ssh.BLOCK)
        self.channels: dict[int, Channel] = {}
        self.numbers = count()
        self.turns: deque[Channel] = deque()
        self.opened = 0
        self.received = 0  # packets, the last one's sequence number being one less
        self.beats = 0  # keepalives since anything was heard
        self.part: Timer | None = None  # armed while only part of a packet is there
        self.part_at = 0  # since when
        self.reason: Reason | None = None
        self.began = self.loop.now()

    def evict(self) -> None:
        self.stream.close()
        self.reason = self.reason or Reason.EVICTED
        self.post(Stop())

    def ready(self, mask: int) -> None:
        self.post(Io(mask))

    # ---- the script -------------------------------------------------------------------------

    def run(self) -> ActorCoroutine:
        self.frontend.sessions.add(self)
        self.stream.arm()
        self.frontend.connection_limiter.add(self)
        try:
            yield from self.identify()
            yield from self.serve()
        except Malformed as error:
            self.reason = Reason.PROTOCOL_ERROR
            log.info("packet-malformed", peer=self.peer[0], error=log.error_text(error))
            self.disconnect(error.code, str(error))
        self.end_channels(self.reason is Reason.CLIENT_RESET)
        if not self.stream.broken and not self.stream.closed and self.reason is not Reason.STALLED:
            self.stream.finish()
            self.frontend.connection_limiter.add(self)
            yield from linger(self, self.stream, self.began + DRAIN_NS)
        self.stream.close()
        self.report()

    def faulted(self, error: Exception) -> None:
        """Other sessions must not pay for a fault met in this one."""
        log.exception(error)
        self.reason = Reason.FAULT
        self.end_channels(True)
        self.stream.close(End.RESET)
        self.report()

    def end_channels(self, reset: bool) -> None:
        for channel in list(self.channels.values()):
            if channel.closing is None and not channel.close_sent:
                channel.reason = self.reason or Reason.CLIENT_LEFT
            self.broker.handle_client_ended(channel.request, reset)
            self.drop(channel)
        self.turns.clear()

    def report(self) -> None:
        self.frontend.sessions.discard(self)
        self.frontend.connection_limiter.remove(self)
        log.connection_ended(
            "session",
            self.reason or Reason.CLIENT_LEFT,
            peer=f"{self.peer[0]}:{self.peer[1]}",
            channels=self.opened,
        )

    def identify(self) -> Steps:
        """Each side opens with its identification; lines before the other's are passed over."""
        self.stream.send(ssh.IDENTIFICATION)
        timer = self.set_timer(REQUEST_LINE_TIMEOUT_NS, "opener")
        while self.reason is None:
            match (yield):
                case Io(mask):
                    self.turn(mask)
                    if self.identified():
                        timer.cancel()
                        return
                case Timeout(tag="opener"):
                    self.reason = Reason.REQUEST_TIMEOUT
                case Timeout(tag="leave") if self.frontend.is_draining:
                    self.leave()

    def identified(self) -> bool:
        try:
            for line in self.stream.lines():
                if bytes(line[:4]) != b"SSH-":
                    continue
                if len(line) > ssh.MOST_IDENTIFICATION or bytes(line[:8]) not in (b"SSH-2.0-", b"SSH-1.99"):
                    raise Malformed("not SSH 2.0", Disconnect.PROTOCOL_VERSION_NOT_SUPPORTED)
                return True
        except LineTooLong:
            raise Malformed("no identification") from None
        return False

    def serve(self) -> Steps:
        self.set_timer(KEEPALIVE_NS, "keepalive")
        self.read_packets()
        while self.reason is None:
            match (yield):
                case Io(mask):
                    self.turn(mask)
                    self.read_packets()
                case Timeout(tag=Overdue(channel)):
                    channel.finish()
                case Timeout(tag="keepalive"):
                    self.keep_alive()
                case Timeout(tag="part"):
                    self.part_overdue()
                case Timeout(tag="stalled") if self.stalled():
                    self.reason = Reason.STALLED
            if self.frontend.is_draining and not self.channels and self.reason is None:
                self.leave()

    def turn(self, mask: int) -> None:
        """Write what the socket takes, channel by channel; then read once."""
        if mask & select.EPOLLOUT:
            self.stream.flush()
            self.give_turns()
        if mask & ~select.EPOLLOUT:
            held = self.stream.stop - self.stream.start
            end = self.stream.fill()
            if self.stream.stop > held:
                self.frontend.connection_limiter.talks(self)
            self.beats = 0
            if end is not None:
                self.reason = Reason.CLIENT_RESET if end is End.RESET else Reason.CLIENT_LEFT
        if self.stream.broken:
            self.reason = Reason.CLIENT_RESET
        self.stream.want(len(self.stream.out) < MOST_UNSENT)

    def keep_alive(self) -> None:
        """A half-open peer is quiet for ever; one that lives answers, if only that it will not."""
        self.beats += 1
        if self.beats > SILENT_BEATS:
            self.reason = Reason.UNRESPONSIVE
            return
        self.write(message(Message.GLOBAL_REQUEST) + string(KEEPALIVE_REQUEST) + b"\1")
        self.set_timer(KEEPALIVE_NS, "keepalive")

    # ---- writing ----------------------------------------------------------------------------

    def write(self, payload: bytes) -> None:
        self.stream.send(ssh.packet(payload))
        self.look_for_stall()

    def refuse(self, remote: int, code: OpenFailure, text: str) -> None:
        head = message(Message.CHANNEL_OPEN_FAILURE, "II", remote, code)
        self.write(head + string(text.encode()) + string(b"en"))

    def disconnect(self, code: Disconnect, text: str) -> None:
        self.write(message(Message.DISCONNECT, "I", code) + string(text.encode()) + string(b"en"))

    def take_turn(self, channel: Channel) -> None:
        if not channel.queued:
            channel.queued = True
            self.turns.append(channel)
        self.give_turns()

    def give_turns(self) -> None:
        """Round and round, a packet each; a channel without window leaves the round until it has some."""
        self.look_for_stall()
        while self.turns and not self.stream.is_congested:
            channel = self.turns.popleft()
            channel.queued = False
            channel.write_some()
            if channel.pending and channel.window and not channel.queued:
                channel.queued = True
                self.turns.append(channel)

    # ---- reading ----------------------------------------------------------------------------

    def read_packets(self) -> None:
        while self.reason is None and (payload := ssh.next_packet(self.stream)) is not None:
            self.received += 1
            if self.part is not None:
                self.part.cancel()
                self.part = None
            self.heed(Fields(payload))
        if self.part is None and self.stream.stop > self.stream.start and self.reason is None:
            self.part, self.part_at = self.set_timer(REQUEST_LINE_TIMEOUT_NS, "part"), self.loop.now()

    def part_overdue(self) -> None:
        """Half a packet hides all that comes after it, and its session would never be known to be idle."""
        if self.part is None or self.loop.now() - self.part_at < REQUEST_LINE_TIMEOUT_NS:
            return  # from a packet that has ended since
        if self.stream.reading:
            raise Malformed("a packet that does not end")
        self.part, self.part_at = (
            self.set_timer(REQUEST_LINE_TIMEOUT_NS, "part"),
            self.loop.now(),
        )  # it waits for us

    def heed(self, fields: Fields) -> None:
        kind = fields.byte()
        match kind:
            case Message.CHANNEL_DATA:
                self.channel(fields).received(fields.string())
            case Message.CHANNEL_WINDOW_ADJUST:
                self.adjust(self.channel(fields), fields.uint32())
            case Message.CHANNEL_OPEN:
                self.open(fields)
            case Message.CHANNEL_CLOSE:
                self.closed(self.channel(fields))
            case Message.CHANNEL_EOF:
                # Not passed on: to an endpoint the end of our sending abandons the connection.
                self.channel(fields)
            case Message.CHANNEL_EXTENDED_DATA:
                self.extended(fields)
            case Message.CHANNEL_REQUEST:
                channel = self.channel(fields)
                fields.string()
                if fields.boolean() and not channel.close_sent:
                    self.write(message(Message.CHANNEL_FAILURE, "I", channel.remote))
            case Message.GLOBAL_REQUEST:
                fields.string()
                if fields.boolean():
                    self.write(message(Message.REQUEST_FAILURE))
            case Message.DISCONNECT:
                self.reason = Reason.CLIENT_LEFT
            case (
                Message.IGNORE
                | Message.DEBUG
                | Message.UNIMPLEMENTED
                | Message.REQUEST_SUCCESS
                | Message.REQUEST_FAILURE
                | Message.CHANNEL_SUCCESS
                | Message.CHANNEL_FAILURE
            ):
                pass
            case Message.CHANNEL_OPEN_CONFIRMATION | Message.CHANNEL_OPEN_FAILURE:
                raise Malformed("an answer to a channel that was never asked for")
            case _:
                self.write(message(Message.UNIMPLEMENTED, "I", (self.received - 1) & 0xFFFFFFFF))

    def channel(self, fields: Fields) -> Channel:
        channel = self.channels.get(fields.uint32())
        if channel is None or not (channel.open or channel.close_sent):
            raise Malformed("no such channel")
        return channel

    def extended(self, fields: Fields) -> None:
        """There is no second stream to an endpoint: the data is counted and let go."""
        channel = self.channel(fields)
        fields.uint32()
        size = len(fields.string())
        if size > channel.granted:
            raise Malformed("data beyond the channel's window")
        channel.granted -= size
        channel.owed += size
        channel.resume()

    def adjust(self, channel: Channel, more: int) -> None:
        channel.window += more
        if channel.window > 0xFFFFFFFF:
            raise Malformed("a window beyond 2^32 - 1")
        if channel.pending:
            self.take_turn(channel)

    def open(self, fields: Fields) -> None:
        kind, remote, window, most = fields.text(), fields.uint32(), fields.uint32(), fields.uint32()
        if kind != CHANNEL_TYPE:
            self.refuse(remote, OpenFailure.UNKNOWN_CHANNEL_TYPE, f"only {CHANNEL_TYPE} is known")
            return
        klass, tenant = fields.text(), fields.text()
        key, group, wait_ms = fields.uint64(), fields.uint64(), fields.uint32()
        flags = fields.uint32() if fields.rest else 0
        place = self.frontend.names.classes.get(klass)
        odd = len(tenant) > MAX_LOGGED_CHARS or any(c <= " " or c in ",=\x7f" for c in tenant)
        if place is None or odd or wait_ms > MOST_WAIT_MS:
            self.refuse(remote, OpenFailure.CONNECT_FAILED, "unknown class, impossible tenant or deadline")
            return
        if self.frontend.is_draining or len(self.channels) >= MOST_CHANNELS:
            self.refuse(remote, OpenFailure.RESOURCE_SHORTAGE, "come again after 0 ms")
            return
        if self.frontend.open >= MOST_OPEN:
            # A channel costs its opener nothing: without a bound, those that wait would fill memory.
            self.refuse(remote, OpenFailure.RESOURCE_SHORTAGE, f"come again after {CROWDED_MS} ms")
            return
        channel = Channel(self, next(self.numbers), remote, window, most)
        wait = wait_ms * MS or self.broker.settings.classes[place].deadline_ns
        head = f"OPEN {secrets.randbits(64):016x} {key:016x} c={klass},t={tenant},d="
        marks = f",g={group:016x}" if group else ""
        marks += ",r=1" if flags & RETRY_FLAG else ""
        marks += ",again=1" if flags & RETURNED_FLAG else ""
        names = self.frontend.names.tenants
        channel.request = ActiveRequest(
            channel,
            place,
            names.get(tenant, UNKNOWN),
            key,
            group,
            (RETRY if flags & RETRY_FLAG else 0) | (RETURNED if flags & RETURNED_FLAG else 0),
            0,
            self.loop.since + wait - ANSWER_NS,
            lambda left_ms: f"{head}{left_ms}{marks}\r\n".encode(),
        )
        self.channels[channel.number] = channel
        self.frontend.open += 1
        self.frontend.connection_limiter.remove(self)
        self.opened += 1
        self.broker.submit(channel.request)

    def closed(self, channel: Channel) -> None:
        """The client closes, or confirms our own close."""
        if not channel.close_sent:
            channel.close_sent = True
            self.write(message(Message.CHANNEL_CLOSE, "I", channel.remote))
            self.broker.handle_client_ended(channel.request, False)
        self.drop(channel)

    def drop(self, channel: Channel) -> None:
        if self.channels.pop(channel.number, None) is None:
            return
        self.frontend.open -= 1
        channel.pending.clear()
        if not self.channels and not self.stream.closed:
            self.frontend.connection_limiter.add(self)  # until it asks for another
        log.connection_ended(
            "channel",
            channel.reason,
            id=channel.request.id,
            channel=channel.number,
            endpoint=channel.endpoint.decode("utf-8", "replace"),
            attempts=channel.request.attempts,
            ms=(self.loop.now() - channel.began) // MS,
        )

    def leave(self) -> None:
        self.reason = Reason.SHUT_DOWN
        self.disconnect(Disconnect.BY_APPLICATION, "this proxy is leaving")


class ChannelsFrontend(Frontend):
    """Accepts sessions where the broker's own file says, while it is told to."""

    def __init__(
        self, loop: Loop, broker: Broker, names: NameRegistry, connection_limiter: ConnectionLimiter
    ) -> None:
        super().__init__(loop, broker, names, connection_limiter)
        self.sessions: set[Session] = set()
        self.open = 0  # channels of all sessions

    def handle_connection(self, sock: socket.socket, peer: Address) -> None:
        session = Session(self, sock, peer)
        session.start(session.run())

    def leave(self) -> None:
        """Take no new session; those there are end once their channels have."""
        self.is_draining = True
        self.close()
        self.wind_up()

    def set_paused(self, paused: bool) -> None:
        super().set_paused(paused)
        if paused:
            self.wind_up()

    def wind_up(self) -> None:
        for session in self.sessions:
            session.post(Timeout("leave"))

    def resource_usage(self, connections: int) -> dict[str, ResourceUsage]:
        return {
            "channels.sessions": ResourceUsage(len(self.sessions), connections),
            "channels.open": ResourceUsage(self.open, MOST_OPEN),
        }

    def channels(self) -> list[Channel]:
        return [channel for session in self.sessions for channel in session.channels.values()]
