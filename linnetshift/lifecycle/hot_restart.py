"""Hot restart: a new process of the proxy replaces the running one without refusing or cutting connections.

The new process connects to the takeover socket, sends a hello and receives the state and the listening
sockets. Once it accepts connections it reports that; the old one stops accepting and confirms. From then on
each forwards administrative drains to the other and reports the resources that it holds.

A connection that ends does not prove that the other process has exited. A replaced process accepts again only
if its successor has exited, no longer listens at the takeover socket, or does not answer there. Otherwise
both connect again and catch up on the drains that either missed.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.timers import MS
from linnetshift.lifecycle.lost_peer import LostPeer
from linnetshift.lifecycle.peer_process import (
    HELLO_TIMEOUT_NS,
    MAX_UNCONFIRMED_DRAINS,
    PeerProcess,
    Purpose,
    UnconfirmedDrain,
)
from linnetshift.lifecycle.restart_operations import RestartOperations
from linnetshift.lifecycle.takeover_messages import PeerResources, PlainMessage
from linnetshift.lifecycle.takeover_socket import (
    PredecessorState,
    TakeoverListener,
    TakeoverSocketPath,
    peer_process_id,
)
from linnetshift.observability import log
from linnetshift.observability.resource_usage import ResourceUsage

# One predecessor and one successor; a third process has to wait until one of them has exited.
MAX_PEER_PROCESSES = 2
# Pause before the next attempt to connect to another process again.
RECONNECT_DELAY_NS = 100 * MS


class CompletionCounter:
    """Calls `on_applied` once a known number of steps is complete."""

    __slots__ = ("on_applied", "remaining")

    def __init__(self, steps: int, on_applied: Callable[[], None]) -> None:
        """`steps` is at least one."""
        self.remaining = steps
        self.on_applied = on_applied

    def complete_one(self) -> None:
        """Count one step as complete."""
        self.remaining -= 1
        if not self.remaining:
            self.on_applied()


class HotRestart:
    """Tracks the other processes of this proxy and decides which process accepts connections."""

    def __init__(
        self,
        loop: Loop,
        operations: RestartOperations,
        socket_path: TakeoverSocketPath | None,
    ) -> None:
        """Nothing is sent or opened before `start`; without a `socket_path` no process can take over."""
        self.loop = loop
        self.operations = operations
        self.socket_path = socket_path
        self.peer_processes: list[PeerProcess] = []
        # Accepts connections in place of this process, unless it has been replaced in turn.
        self.successor: PeerProcess | None = None
        # Live, or not known to have exited, but without a connection.
        self.lost_predecessor: LostPeer | None = None
        self.lost_successor: LostPeer | None = None
        self.is_taking_over = False  # the predecessor may still accept
        self.takeover_listener: TakeoverListener | None = None

    def start(self, predecessor: PredecessorState | None) -> None:
        """Replace the predecessor, if there is one, and listen for a successor.

        Call this once this process accepts connections: it has the predecessor stop accepting.
        """
        if predecessor is not None:
            self._replace(predecessor)
        self.listen_for_successor()

    def _replace(self, predecessor: PredecessorState) -> None:
        """Have the predecessor stop accepting.

        It counts as stopped after HELLO_TIMEOUT_NS without an answer: if it hangs, it accepts nothing.
        """
        self.is_taking_over = True
        peer_process = PeerProcess(self.loop, self.operations, self, predecessor.sock, predecessor)
        self.peer_processes.append(peer_process)
        peer_process.start(peer_process.run())
        peer_process.send(PlainMessage.SERVING)
        self.loop.call_later(HELLO_TIMEOUT_NS, self._handle_predecessor_silent)

    def listen_for_successor(self) -> None:
        """Listen at the takeover socket, replacing one that another process may have bound there since.

        If that fails, the proxy still serves, but its successor starts without state.
        """
        if self.socket_path is None:
            return
        if self.takeover_listener is not None:
            self.takeover_listener.close()
        try:
            self.takeover_listener = TakeoverListener(self.loop, self.socket_path, self.accept_successor)
        except OSError as error:
            log.info("takeover-socket-unavailable", error=error.strerror)

    def accept_successor(self, sock: socket.socket) -> None:
        """Start exchanging messages with a successor; close the connection if there is one already.

        A second successor retries and reaches the first one, which listens at the takeover socket by then.
        """
        # A predecessor that connects again is no successor, although it connects as one.
        has_successor = any(not peer_process.is_predecessor for peer_process in self.peer_processes)
        if self.successor is not None or has_successor:
            sock.close()
            return
        peer_process = PeerProcess(self.loop, self.operations, self, sock)
        self.peer_processes.append(peer_process)
        peer_process.start(peer_process.run())

    def resource_usage(self) -> dict[str, ResourceUsage]:
        """Return the sizes and bounds of this object's containers."""
        unconfirmed = sum(len(peer_process.unconfirmed_drains) for peer_process in self.peer_processes)
        return {
            "besides": ResourceUsage(len(self.peer_processes), MAX_PEER_PROCESSES),
            "besides.unanswered": ResourceUsage(unconfirmed, MAX_PEER_PROCESSES * MAX_UNCONFIRMED_DRAINS),
        }

    def handle_predecessor_stopped(self) -> None:
        """Note that this process alone accepts connections now."""
        self.is_taking_over = False
        self.operations.handle_predecessor_stopped(True)

    def _handle_predecessor_silent(self) -> None:
        """Continue without the predecessor's confirmation, unless it has come."""
        if self.is_taking_over:
            self.is_taking_over = False
            self.operations.handle_predecessor_stopped(False)

    def handle_successor_serving(self, peer_process: PeerProcess) -> None:
        """Leave new connections to the successor."""
        if self.successor is None:
            self.successor = peer_process
            log.info("process-replaced")
            self.operations.yield_to_successor()

    def handle_peer_disconnected(self, peer_process: PeerProcess) -> None:
        """Connect again to a process that lives; continue without one that has exited."""
        if peer_process in self.peer_processes:
            self.peer_processes.remove(peer_process)
        if not peer_process.has_exchanged_state and peer_process.purpose is not Purpose.REPLACE:
            self._handle_reconnect_failed(peer_process)
        elif peer_process.is_predecessor:
            self._handle_predecessor_disconnected(peer_process)
        elif peer_process is self.successor:
            self.lost_successor = LostPeer(self.loop, peer_process, self._review_successor)
            self._review_successor()
        else:
            self.operations.update_peer_resources(PeerResources())
            for drain in peer_process.take_unconfirmed_drains():
                drain.on_applied()

    def _handle_reconnect_failed(self, peer_process: PeerProcess) -> None:
        """Try again; a successor that took the connection and does not answer hangs, and serves nobody."""
        if peer_process.is_predecessor:
            return  # reviewed periodically until it has exited
        if peer_process.has_exited:
            self.loop.call_later(RECONNECT_DELAY_NS, self._review_successor)
        elif self.lost_successor is not None:
            self._accept_again(self.lost_successor)

    # ---- a lost successor -------------------------------------------------------------------

    def _review_successor(self) -> None:
        """Connect again to a lost successor that lives and listens, or accept unless another process does."""
        lost = self.lost_successor
        if lost is None:
            return
        sock = self._connect_to_replacement()
        if sock is None:
            self._accept_again(lost)
        elif peer_process_id(sock) != lost.process_id:
            sock.close()
            log.info("successor-gone")
            self._forget_successor(lost)
        elif lost.has_exited:  # its listener is about to be closed
            sock.close()
            self._accept_again(lost)
        else:
            self._connect(sock, Purpose.REJOIN)

    def _connect_to_replacement(self) -> socket.socket | None:
        """Return a connection to another process that has bound the takeover socket; None if none listens."""
        if self.socket_path is None or not self._is_takeover_socket_replaced():
            return None
        return self.socket_path.connect()

    def _accept_again(self, lost: LostPeer) -> None:
        log.info("successor-gone")
        self._forget_successor(lost)
        self.successor = None
        self.listen_for_successor()
        self.operations.resume_accepting()

    def _forget_successor(self, lost: LostPeer) -> None:
        self.lost_successor = None
        self.operations.update_peer_resources(PeerResources())
        lost.release()

    def handle_rejoined(self, peer_process: PeerProcess) -> None:
        """Exchange messages with the successor again."""
        lost = self.lost_successor
        self.lost_successor = None
        self.successor = peer_process
        log.info("peer-process-rejoined", process=peer_process.process_id)
        peer_process.begin_exchange()
        if lost is not None:
            lost.hand_over(peer_process)

    # ---- a lost predecessor -----------------------------------------------------------------

    def _handle_predecessor_disconnected(self, peer_process: PeerProcess) -> None:
        log.info("predecessor-gone")
        self.is_taking_over = False
        if peer_process.has_exited:
            self.operations.handle_predecessor_exited()
        else:
            self.operations.handle_predecessor_stopped(False)
        self.lost_predecessor = LostPeer(self.loop, peer_process, self._forget_predecessor)
        if self.lost_predecessor.has_exited:
            self._forget_predecessor()
        else:
            self.loop.call_later(RECONNECT_DELAY_NS, self._review_predecessor)

    def _forget_predecessor(self) -> None:
        lost = self.lost_predecessor
        self.lost_predecessor = None
        self.operations.update_peer_resources(PeerResources())
        if lost is not None:
            lost.release()

    def _review_predecessor(self) -> None:
        """Replace a lost predecessor again if it has taken the takeover socket back, and so accepts."""
        lost = self.lost_predecessor
        if lost is None:
            return
        self.loop.call_later(RECONNECT_DELAY_NS, self._review_predecessor)
        if self.successor is not None or any(peer.is_predecessor for peer in self.peer_processes):
            return  # another process accepts, or an attempt is under way
        sock = self._connect_to_replacement()
        if sock is None:
            return
        if peer_process_id(sock) == lost.process_id:
            self._connect(sock, Purpose.REPLACE_AGAIN)
        else:
            sock.close()

    def handle_replacing_again(self, peer_process: PeerProcess) -> None:
        """Take the takeover socket back from the predecessor, which was told to stop accepting."""
        log.info("peer-process-rejoined", process=peer_process.process_id)
        self.is_taking_over = True
        self.listen_for_successor()
        self._end_loss_of_predecessor(peer_process)

    def handle_rejoin(self, peer_process: PeerProcess) -> bool:
        """Exchange messages with a predecessor again; returns False if it is none.

        The former connection may not have been seen to end yet.
        """
        for former in [*self.peer_processes]:
            if former.is_predecessor and former.process_id == peer_process.process_id:
                self.peer_processes.remove(former)
                self.lost_predecessor = LostPeer(self.loop, former, self._forget_predecessor)
                former.end()
        lost = self.lost_predecessor
        if lost is None or lost.process_id != peer_process.process_id:
            return False
        log.info("peer-process-rejoined", process=peer_process.process_id)
        peer_process.is_predecessor = True
        peer_process.send(PlainMessage.REJOINED)
        self._end_loss_of_predecessor(peer_process)
        return True

    def _end_loss_of_predecessor(self, peer_process: PeerProcess) -> None:
        lost = self.lost_predecessor
        self.lost_predecessor = None
        peer_process.begin_exchange()
        if lost is not None:
            lost.hand_over(peer_process)

    def _connect(self, sock: socket.socket, purpose: Purpose) -> None:
        peer_process = PeerProcess(self.loop, self.operations, self, sock, purpose=purpose)
        self.peer_processes.append(peer_process)
        peer_process.start(peer_process.run())

    def is_known_to_serve(self, peer_process: PeerProcess) -> bool:
        """Whether the process has handed its state over, or has replaced this one.

        A successor that serves listens at the takeover socket; one that only says so proves nothing.
        """
        if peer_process.is_predecessor:
            return True
        return peer_process is self.successor and self._is_takeover_socket_replaced()

    def _is_takeover_socket_replaced(self) -> bool:
        """Whether another process has bound the takeover socket since this one did."""
        if self.socket_path is None or self.takeover_listener is None:
            return False
        return self.socket_path.inode() not in (0, self.takeover_listener.inode)

    def apply_administrative_drain(
        self,
        endpoint: bytes,
        is_drained: bool,
        on_applied: Callable[[], None],
        source: PeerProcess | None = None,
    ) -> None:
        """Drain the endpoint, or restore it, in every process but `source`, which sent the drain.

        `on_applied` is called once all live processes have applied it.
        """
        peers = [peer_process for peer_process in self.peer_processes if peer_process is not source]
        lost_peers = [lost for lost in (self.lost_predecessor, self.lost_successor) if lost is not None]
        counter = CompletionCounter(1 + len(peers) + len(lost_peers), on_applied)
        self.operations.apply_administrative_drain(endpoint, is_drained, counter.complete_one)
        for peer_process in peers:
            peer_process.apply_administrative_drain(endpoint, is_drained, counter.complete_one)
        for lost in lost_peers:
            lost.add_drain(UnconfirmedDrain(endpoint, is_drained, counter.complete_one))

    def end(self) -> None:
        """Report the last migrations to the peers and close the takeover socket."""
        for peer_process in self.peer_processes:
            peer_process.send_heartbeat()
        if self.takeover_listener is not None:
            self.takeover_listener.close()
