"""Hot restart: a new process of the proxy replaces the running one without refusing or cutting connections.

The new process connects to the takeover socket, sends a hello and receives the state and the listening
sockets. Once it accepts connections it reports that; the old one stops accepting and confirms. From then on
each forwards administrative drains to the other and reports the resources that it holds. A closed or refused
socket means that the other process has exited or does not exist; the remaining one continues alone.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Callable

from linnetshift.event_loop.loop import Loop
from linnetshift.lifecycle.peer_process import HELLO_TIMEOUT_NS, MAX_UNCONFIRMED_DRAINS, PeerProcess
from linnetshift.lifecycle.restart_operations import RestartOperations
from linnetshift.lifecycle.takeover_messages import PeerResources, PlainMessage
from linnetshift.lifecycle.takeover_socket import PredecessorState, TakeoverListener, TakeoverSocketPath
from linnetshift.observability import log
from linnetshift.observability.resource_usage import ResourceUsage

# One predecessor and one successor; a third process has to wait until one of them has exited.
MAX_PEER_PROCESSES = 2


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
        """Continue without the peer; if it was the successor, accept connections again.

        A successor that has been replaced in turn leaves a process that accepts, and that listens at the
        takeover socket: this one stays replaced then.
        """
        if peer_process in self.peer_processes:
            self.peer_processes.remove(peer_process)
        self.operations.update_peer_resources(PeerResources())
        if peer_process.is_predecessor:
            log.info("predecessor-gone")
            self.is_taking_over = False
            if peer_process.has_exited:
                self.operations.handle_predecessor_exited()
            else:
                self.operations.handle_predecessor_stopped(False)
        if peer_process is self.successor:
            log.info("successor-gone")
            if not self._is_replaced_by_another(peer_process):
                self.successor = None
                self.listen_for_successor()
                self.operations.resume_accepting()

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

    def _is_replaced_by_another(self, successor: PeerProcess) -> bool:
        """Whether a process that replaced the successor listens at the takeover socket."""
        if self.socket_path is None:
            return False
        # A successor that ends before it listens leaves this process's own socket in place.
        return self.socket_path.listening_process() not in (0, os.getpid(), successor.process_id)

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
        counter = CompletionCounter(1 + len(peers), on_applied)
        self.operations.apply_administrative_drain(endpoint, is_drained, counter.complete_one)
        for peer_process in peers:
            peer_process.apply_administrative_drain(endpoint, is_drained, counter.complete_one)

    def end(self) -> None:
        """Report the last migrations to the peers and close the takeover socket."""
        for peer_process in self.peer_processes:
            peer_process.send_heartbeat()
        if self.takeover_listener is not None:
            self.takeover_listener.close()
