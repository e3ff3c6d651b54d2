"""The connection to another process of this proxy: its predecessor or its successor."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from enum import Enum
from functools import partial
from itertools import count
from typing import Any, NamedTuple, Protocol

from linnetshift.broker.administrative_drains import MAX_DRAINED
from linnetshift.event_loop.actor import ActorCoroutine, Io
from linnetshift.event_loop.connection_limits import ConnectionTimer, StallDetector
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.stream import Stream
from linnetshift.event_loop.timers import MS, S, Timeout
from linnetshift.lifecycle.restart_operations import RestartOperations
from linnetshift.lifecycle.takeover_messages import (
    AdministrativeDrain,
    AdministrativeDrainConfirmed,
    Heartbeat,
    MessageError,
    PlainMessage,
    ReceivedMessage,
    SentMessage,
    decode_message,
    encode_message,
)
from linnetshift.lifecycle.takeover_socket import PredecessorState, peer_process_id
from linnetshift.observability import log

# A successor sends its hello as soon as it has connected; a peer that sends none would block the successor.
HELLO_TIMEOUT_NS = 1 * S
# Interval of the reports on the resources held; the limits of the other process lag by at most this.
HEARTBEAT_INTERVAL_NS = 500 * MS
# Bound of the bytes received without a line end; a heartbeat lists every endpoint and stays below this.
MAX_MESSAGE_BYTES = 1 << 20
# Drains not confirmed by the other process: one and its restore for each endpoint that can be drained.
MAX_UNCONFIRMED_DRAINS = 2 * MAX_DRAINED


# How long a process that is asked to exchange messages again may take to answer. It exceeds HELLO_TIMEOUT_NS,
# after which an older version closes a connection without a hello: that shows that it lives.
REJOIN_TIMEOUT_NS = 2 * S


class UnconfirmedDrain(NamedTuple):
    """An administrative drain that the other process has not confirmed."""

    endpoint: bytes
    is_drained: bool
    on_applied: Callable[[], None]


class Purpose(Enum):
    """What a connection between two processes is for."""

    REPLACE = "replace"  # the first connection: one process replaces the other
    REJOIN = "rejoin"  # opened by a replaced process that has lost the first one
    REPLACE_AGAIN = "replace again"  # opened by a process that serves, as its predecessor accepts again


class PeerTimer(Enum):
    """The timers of a peer process besides that of `StallDetector`."""

    HELLO = "hello"
    HEARTBEAT = "heartbeat"


class RestartCoordinator(Protocol):
    """Receives the events of all peer processes; `HotRestart` implements it."""

    def handle_successor_serving(self, peer_process: PeerProcess, /) -> None:
        """Leave new connections to the successor."""

    def handle_predecessor_stopped(self) -> None:
        """Note that the predecessor no longer accepts."""

    def handle_peer_disconnected(self, peer_process: PeerProcess, /) -> None:
        """Continue without the process."""

    def handle_rejoin(self, peer_process: PeerProcess, /) -> bool:
        """Exchange messages with a predecessor again; returns False if it is none."""

    def handle_rejoined(self, peer_process: PeerProcess, /) -> None:
        """Exchange messages with the successor again."""

    def handle_replacing_again(self, peer_process: PeerProcess, /) -> None:
        """Note that the predecessor, which accepted again, was told to stop."""

    def is_known_to_serve(self, peer_process: PeerProcess, /) -> bool:
        """Whether the process has handed its state over, or has replaced this one."""

    def apply_administrative_drain(
        self,
        endpoint: bytes,
        is_drained: bool,
        on_applied: Callable[[], None],
        source: PeerProcess | None = None,
    ) -> None:
        """Apply the drain in every process but `source`; `on_applied` is called once all have applied it."""


class PeerProcess(StallDetector):
    """Actor that exchanges messages with one other process of this proxy until either disconnects."""

    def __init__(
        self,
        loop: Loop,
        operations: RestartOperations,
        coordinator: RestartCoordinator,
        sock: socket.socket,
        predecessor: PredecessorState | None = None,
        purpose: Purpose = Purpose.REPLACE,
    ) -> None:
        """`predecessor` is the state already received over `sock`; None where the peer is a successor.

        With a `purpose` other than REPLACE this process has opened the connection.
        """
        super().__init__(loop)
        self.operations = operations
        self.coordinator = coordinator
        self.is_predecessor = predecessor is not None or purpose is Purpose.REPLACE_AGAIN
        self.purpose = purpose
        self.process_id = peer_process_id(sock)
        self.stream = Stream(loop, sock, self.post_io)
        self.received = bytearray(predecessor.trailing_data if predecessor is not None else b"")
        self.is_skipping_line = False  # discards the rest of a line that is too long
        self.has_exchanged_state = predecessor is not None
        self.has_ended = False  # the peer closed, sent no hello or hangs
        self.has_exited = False  # the peer closed the connection, as its exit does
        self.drain_numbers = count()
        self.unconfirmed_drains: dict[int, UnconfirmedDrain] = {}

    def run(self) -> ActorCoroutine:
        """Process events until the connection ends."""
        self.stream.arm()
        match self.purpose:
            case Purpose.REPLACE:
                self.set_timer(HELLO_TIMEOUT_NS, PeerTimer.HELLO)
            case Purpose.REJOIN:
                self.set_timer(REJOIN_TIMEOUT_NS, PeerTimer.HELLO)
                self.send(PlainMessage.REJOIN)
            case Purpose.REPLACE_AGAIN:
                self.set_timer(REJOIN_TIMEOUT_NS, PeerTimer.HELLO)
                self.send(PlainMessage.HELLO)
        self.set_timer(HEARTBEAT_INTERVAL_NS, PeerTimer.HEARTBEAT)
        while not self.has_ended and not self.stream.broken:
            self._process_lines()
            if self.has_ended:
                break
            event = yield
            self._process_event(event)
        self._disconnect()

    def handle_fault(self, error: Exception) -> None:
        """Log the fault and disconnect; no message of a peer may end this process."""
        log.exception(error)
        self._disconnect()

    def send(self, message: SentMessage) -> None:
        """Send one message; a peer that does not read is disconnected, see `StallDetector`.

        A message that can't be encoded is logged and left out.
        """
        try:
            line = encode_message(message)
        except ValueError as error:
            log.info("peer-message-unsendable", error=log.error_text(error))
            return
        self.stream.send(line)
        self.update_stall_timer()

    def send_heartbeat(self) -> None:
        """Report the resources that this process holds."""
        self.send(Heartbeat(self.operations.peer_resources()))

    def apply_administrative_drain(
        self, endpoint: bytes, is_drained: bool, on_applied: Callable[[], None]
    ) -> None:
        """Have the other process apply the drain; `on_applied` is called once it has, or has exited.

        Beyond the bound it is never called: the operator is told to repeat the call.
        """
        if self.coroutine is None or not self.has_exchanged_state:
            # Nothing to wait for: a state requested later, by it or by the successor of one that hangs,
            # includes the drain.
            on_applied()
            return
        number = next(self.drain_numbers)
        if len(self.unconfirmed_drains) < MAX_UNCONFIRMED_DRAINS:
            self.unconfirmed_drains[number] = UnconfirmedDrain(endpoint, is_drained, on_applied)
        self.send(AdministrativeDrain(endpoint, is_drained, number))

    def take_unconfirmed_drains(self) -> list[UnconfirmedDrain]:
        """Return the drains that the peer has not confirmed, and forget them."""
        unconfirmed = list(self.unconfirmed_drains.values())
        self.unconfirmed_drains = {}
        return unconfirmed

    def begin_exchange(self) -> None:
        """Exchange messages from now on, beginning with this process's resources."""
        self.has_exchanged_state = True
        self.send_heartbeat()

    def _process_event(self, event: Any) -> None:
        match event:
            case Io(mask):
                self._transfer(mask)
            case Timeout(tag=PeerTimer.HEARTBEAT):
                # A congested peer may hang: heartbeats would fill the buffer.
                if self.has_exchanged_state and not self.stream.is_congested:
                    self.send_heartbeat()
                self.set_timer(HEARTBEAT_INTERVAL_NS, PeerTimer.HEARTBEAT)
            case Timeout(tag=PeerTimer.HELLO):
                self.has_ended = not self.has_exchanged_state
            case Timeout(tag=ConnectionTimer.STALL):
                self.has_ended = self.is_stalled()

    def _transfer(self, mask: int) -> None:
        """Flush the output buffer and read once."""
        if mask & select.EPOLLOUT:
            self.stream.flush()
            self.update_stall_timer()
        end = self.stream.fill()
        self.received += self.stream.rest()
        self.has_exited = end is not None
        self.has_ended = end is not None

    def _process_lines(self) -> None:
        """Process each complete line; one that is unreadable, as of another version, costs only itself."""
        while not self.has_ended and (size := self.received.find(b"\n") + 1) > 0:
            line = self.received[:size]
            del self.received[:size]
            if self.is_skipping_line:
                self.is_skipping_line = False
            else:
                self._process_line(line)
        if len(self.received) > MAX_MESSAGE_BYTES:
            if not self.is_skipping_line:
                self._report_unreadable(f"longer than {MAX_MESSAGE_BYTES} bytes")
            self.is_skipping_line = True
            self.received.clear()

    def _process_line(self, line: bytearray) -> None:
        try:
            message = decode_message(line)
        except MessageError as error:
            self._report_unreadable(str(error))
            return
        self._process_message(message)

    def _report_unreadable(self, error: str) -> None:
        """Log it; a peer that is not known to serve may be no process of this proxy, and is disconnected."""
        log.info("peer-message-unreadable", error=error)
        self.has_ended = not self.coordinator.is_known_to_serve(self)

    def _process_message(self, message: ReceivedMessage) -> None:
        if not self.has_exchanged_state:
            self._process_first_message(message)
            return
        match message:
            case PlainMessage.SERVING:
                self.coordinator.handle_successor_serving(self)
                self.send(PlainMessage.STOPPED)
            case PlainMessage.STOPPED if self.is_predecessor:
                self.coordinator.handle_predecessor_stopped()
            case AdministrativeDrain(endpoint, is_drained, number):
                confirm = partial(self.send, AdministrativeDrainConfirmed(number))
                self.coordinator.apply_administrative_drain(endpoint, is_drained, confirm, self)
            case AdministrativeDrainConfirmed(number):
                drain = self.unconfirmed_drains.pop(number, None)
                if drain is not None:
                    drain.on_applied()
            case Heartbeat(peer_resources):
                self.operations.update_peer_resources(peer_resources)

    def _process_first_message(self, message: ReceivedMessage) -> None:
        """Handle a message that precedes the exchange; others are ignored until then."""
        match self.purpose, message:
            case Purpose.REPLACE, PlainMessage.HELLO:
                self._send_state()
            case Purpose.REPLACE, PlainMessage.REJOIN:
                self.has_ended = not self.coordinator.handle_rejoin(self)
            case Purpose.REJOIN, PlainMessage.REJOINED:
                self.coordinator.handle_rejoined(self)
            case Purpose.REPLACE_AGAIN, _:  # its state, which is not used: this process knows more
                self.has_exchanged_state = True
                self.send(PlainMessage.SERVING)
                self.coordinator.handle_replacing_again(self)

    def _send_state(self) -> None:
        state = self.operations.export_state()
        line = encode_message(state)
        descriptors = list(state.descriptors.values())
        if descriptors:  # they need at least one byte of data; JSON allows a blank before the state
            socket.send_fds(self.stream.sock, [b" "], descriptors)
        self.stream.send(line)
        self.has_exchanged_state = True

    def _disconnect(self) -> None:
        self.has_exited = self.has_exited or self.stream.broken
        self.stream.close()
        self.coordinator.handle_peer_disconnected(self)
