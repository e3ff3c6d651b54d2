"""The connection to another process of this proxy: its predecessor or its successor."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from enum import Enum
from functools import partial
from itertools import count
from typing import Any, Protocol

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
# Drains not confirmed by the other process; a process that hangs is soon disconnected, see `StallDetector`.
MAX_UNCONFIRMED_DRAINS = 256


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
    ) -> None:
        """`predecessor` is the state already received over `sock`; None where the peer is a successor."""
        super().__init__(loop)
        self.operations = operations
        self.coordinator = coordinator
        self.is_predecessor = predecessor is not None
        self.process_id = peer_process_id(sock)
        self.stream = Stream(loop, sock, self.post_io)
        self.received = bytearray(predecessor.trailing_data if predecessor is not None else b"")
        self.is_skipping_line = False  # discards the rest of a line that is too long
        self.has_exchanged_state = self.is_predecessor
        self.has_ended = False  # the peer closed, sent no hello or hangs
        self.has_exited = False  # the peer closed the connection, as its exit does
        self.drain_numbers = count()
        self.unconfirmed_drains: dict[int, Callable[[], None]] = {}

    def run(self) -> ActorCoroutine:
        """Process events until the connection ends."""
        self.stream.arm()
        self.set_timer(HELLO_TIMEOUT_NS, PeerTimer.HELLO)
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
        """Have the other process apply the drain; `on_applied` is called once it has, or has disconnected."""
        is_connected = self.coroutine is not None and self.has_exchanged_state
        if not is_connected or len(self.unconfirmed_drains) >= MAX_UNCONFIRMED_DRAINS:
            # Nothing to wait for: a state requested later, by it or by the successor of one that hangs,
            # includes the drain.
            on_applied()
            return
        number = next(self.drain_numbers)
        self.unconfirmed_drains[number] = on_applied
        self.send(AdministrativeDrain(endpoint, is_drained, number))

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
        match message:
            case PlainMessage.HELLO if not self.has_exchanged_state:
                self._send_state()
            case PlainMessage.SERVING if self.has_exchanged_state:
                self.coordinator.handle_successor_serving(self)
                self.send(PlainMessage.STOPPED)
            case PlainMessage.STOPPED if self.is_predecessor:
                self.coordinator.handle_predecessor_stopped()
            case AdministrativeDrain(endpoint, is_drained, number):
                confirm = partial(self.send, AdministrativeDrainConfirmed(number))
                self.coordinator.apply_administrative_drain(endpoint, is_drained, confirm, self)
            case AdministrativeDrainConfirmed(number):
                on_applied = self.unconfirmed_drains.pop(number, None)
                if on_applied is not None:
                    on_applied()
            case Heartbeat(peer_resources):
                self.operations.update_peer_resources(peer_resources)

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
        unconfirmed = list(self.unconfirmed_drains.values())
        self.unconfirmed_drains = {}
        for on_applied in unconfirmed:  # a process that has exited sends no more requests to endpoints
            on_applied()
        self.coordinator.handle_peer_disconnected(self)
