"""A VRRP router on its UDP socket: of several proxies, only the active one listens for channels.

Unlike RFC 9568, it has no virtual MAC address and checks no TTL: advertisements are sent to the configured
peers only, and those of other senders are dropped.
"""

from __future__ import annotations

import select
import socket
from typing import Protocol

from linnetshift.event_loop.actor import Actor, ActorCoroutine, Io
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.timers import MS, Timeout, Timer
from linnetshift.observability import log
from linnetshift.vrrp.protocol import Advertisement, AdvertisementError
from linnetshift.vrrp.router import Router, State, VrrpConfig

CENTISECOND_NS = 10 * MS
# More than the longest advertisement, 8 bytes and 4 for each of 255 addresses.
MAX_DATAGRAM_BYTES = 2048
# Limit per turn of the loop, so that a flood of datagrams does not block other actors.
MAX_DATAGRAMS_PER_READ = 32


class ActiveRole(Protocol):
    """What the active router does for clients; `ChannelsActivation` implements it."""

    def start_serving(self) -> bool:
        """Serve clients; returns False where that fails, and this router must not become active."""

    def stop_serving(self) -> None:
        """Stop serving clients, as this router is no longer active."""


class Vrrp(Actor):
    """A router with its socket and timer."""

    def __init__(
        self,
        loop: Loop,
        config: VrrpConfig,
        role: ActiveRole,
        inherited_socket: socket.socket | None = None,
        starts_active: bool = False,
    ) -> None:
        """Bind a socket to the configured address; raises OSError.

        After a hot restart `inherited_socket` is the predecessor's, already bound, and `starts_active` tells
        whether the predecessor was the active router.
        """
        super().__init__(loop)
        self.config = config
        self.role = role
        self.starts_active = starts_active
        self.is_paused = False
        self.router = Router(config, self._send, self._set_router_timer, role.start_serving)
        self.reported_state = self.router.state
        self.timer: Timer | None = None
        self.timer_tag: object = None  # of `timer`; a timeout with another tag is from a replaced timer
        self.sock = inherited_socket if inherited_socket is not None else _open_socket(config.listen)
        self.sock.setblocking(False)
        self._watch_socket()

    def _watch_socket(self) -> None:
        self.loop.watch(self.sock.fileno(), select.EPOLLIN, self.post_io)

    def run(self) -> ActorCoroutine:
        """Pass timers and advertisements to the router until the actor is ended."""
        if self.starts_active:
            self.router.continue_active()
        else:
            self.router.start()
        while True:
            self._report_state()
            message = yield
            if not self.is_paused:  # else queued before the pause: the successor acts on the role now
                self._handle_message(message)

    def _handle_message(self, message: object) -> None:
        match message:
            case Io():
                self._receive()
            case Timeout(tag=tag) if tag is self.timer_tag:
                self.router.handle_timer()

    def pause(self, successor_is_active: bool) -> None:
        """Leave this router's state to the process that takes over; the peers see no change.

        The socket is closed: kept open, it would hold the address against a later process of this proxy.
        Where the successor starts as a backup, an active router releases its role first: silent, it would
        leave the group without an active router until the peers' timers expire.
        """
        if self.router.state is State.ACTIVE and not successor_is_active:
            self.router.release_active()
            self._report_state()
        self.is_paused = True
        self._close_socket()
        if self.timer is not None:
            self.timer.cancel()

    def resume(self) -> None:
        """Continue in the state before the pause; raises OSError, and stays paused, if it cannot bind."""
        self.sock = _open_socket(self.config.listen)
        self.sock.setblocking(False)
        self.is_paused = False
        self._watch_socket()
        if self.router.state is State.ACTIVE:
            self.router.continue_active()
        else:
            self.router.become_backup(self.config.interval_cs)
        self._report_state()

    def serve_again(self) -> None:
        """Have the active router serve at its new address; it releases its role where that fails."""
        self.router.continue_active()
        self._report_state()

    def stop(self) -> None:
        """Shut down; an active router first advertises that it stops."""
        if not self.is_paused:
            self.router.stop()
        self._close_socket()
        self.end()

    def _close_socket(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()

    def _report_state(self) -> None:
        """Log a change of state, and stop serving when the router is no longer active."""
        previous = self.reported_state
        state = self.router.state
        if state is previous:
            return
        self.reported_state = state
        log.info("vrrp-state-changed", state=state, vrid=self.config.vrid)
        if previous is State.ACTIVE:
            self.role.stop_serving()

    def _send(self, priority: int) -> None:
        config = self.config
        datagram = Advertisement(config.vrid, priority, config.interval_cs, config.addresses).encode()
        for peer in config.peers:
            try:
                self.sock.sendto(datagram, peer)
            except OSError as error:  # an unreachable peer: the others still get theirs
                log.info("vrrp-send-failed", peer=f"{peer[0]}:{peer[1]}", error=error.strerror)

    def _set_router_timer(self, centiseconds: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer_tag = object()
        self.timer = self.set_timer(int(centiseconds * CENTISECOND_NS), self.timer_tag)

    def _receive(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:  # ICMP error: an earlier datagram did not reach its peer
                continue
            self._handle_datagram(data, sender)

    def _handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            advertisement = Advertisement.decode(data)
        except AdvertisementError as error:
            log.info("vrrp-advertisement-dropped", peer=sender[0], error=str(error))
            return
        if advertisement.vrid == self.config.vrid and sender in self.config.peers:
            self.router.handle_advertisement(advertisement, sender[0])


def _open_socket(address: Address) -> socket.socket:
    """Return a UDP socket bound to the address; raises OSError and leaves no descriptor open."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock
