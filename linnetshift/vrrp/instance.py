"""VRRP version 3 (RFC 9568): its state machine and advertisements, carried over UDP.

Which of several proxies listens for channels is settled here. There is no virtual MAC to answer for and
no TTL to check: the datagrams go to named peers only, and what comes from anyone else is dropped.
"""

from __future__ import annotations

import select
import socket
from collections.abc import Callable

from linnetshift.event_loop.loop import MS, Actor, ActorCoroutine, Io, Loop, Timeout, Timer
from linnetshift.observability import log
from linnetshift.vrrp.protocol import RELEASED, Advertisement, BadAdvertisement, decode
from linnetshift.vrrp.router import Router, State, VrrpConfig

CENTISECOND = 10 * MS
MOST_DATAGRAM = 2048
DATAGRAMS = 32  # at one turn of the loop


class Vrrp(Actor):
    """The router on its socket; `changed` hears whether this proxy is the active one."""

    def __init__(
        self,
        loop: Loop,
        config: VrrpConfig,
        changed: Callable[[bool], None],
        given: socket.socket | None = None,
        active: bool = False,
    ) -> None:
        """With the socket of the process before, and as the active one if that was."""
        super().__init__(loop)
        self.began_active, self.paused = active, False
        self.config, self.changed = config, changed
        self.router = Router(config, self.send, self.arm)
        self.before = self.router.state
        self.timer: Timer | None = None
        self.due: object = None  # the tag of the one that is armed
        self.sock = given or socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        if given is None:
            self.sock.bind(config.listen)
        loop.watch(self.sock.fileno(), select.EPOLLIN, self.ready)

    def ready(self, mask: int) -> None:
        self.post(Io(mask))

    def run(self) -> ActorCoroutine:
        if self.began_active:
            self.router.become_active()
        else:
            self.router.start()
        while True:
            self.settle()
            match (yield):
                case Io():
                    self.receive()
                case Timeout(tag=tag) if tag is self.due:
                    self.router.timer_fired()

    def settle(self) -> None:
        """Say that the state is another, and do so before the peers hear of it."""
        before, self.before = self.before, self.router.state
        if self.before is not before:
            log.info("vrrp-state-changed", state=self.before, vrid=self.config.vrid)
            if State.ACTIVE in (before, self.before):
                self.changed(self.before is State.ACTIVE)

    def pause(self, paused: bool) -> None:
        """Leave its part to the process that has taken it over, or take it up again; no peer hears of it."""
        self.paused = paused
        if not paused:
            self.loop.watch(self.sock.fileno(), select.EPOLLIN, self.ready)
            if self.router.state is State.ACTIVE:
                self.router.advertise()
            else:
                self.router.become_backup(self.config.interval)
            return
        self.loop.unwatch(self.sock.fileno())
        if self.timer is not None:
            self.timer.cancel()

    def stop(self) -> None:
        """Shut down: an active router releases its part before it goes."""
        if not self.paused:
            self.router.stop()
            self.loop.unwatch(self.sock.fileno())
        self.sock.close()
        self.end()

    def send(self, priority: int) -> None:
        if priority != RELEASED:
            self.settle()  # whoever hears that this one is active may connect at once
        config = self.config
        datagram = Advertisement(config.vrid, priority, config.interval, config.addresses).encode()
        for peer in config.peers:
            try:
                self.sock.sendto(datagram, peer)
            except OSError as error:  # a peer that is down must not stop the others' word
                log.info("vrrp-send-failed", peer=f"{peer[0]}:{peer[1]}", error=error.strerror)

    def arm(self, centiseconds: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.due = object()
        self.timer = self.set_timer(int(centiseconds * CENTISECOND), self.due)

    def receive(self) -> None:
        for _ in range(DATAGRAMS):  # a flood must not keep the loop from everyone else
            try:
                data, sender = self.sock.recvfrom(MOST_DATAGRAM)
            except BlockingIOError:
                return
            except OSError:  # an earlier datagram's peer was not there
                continue
            try:
                advertisement = decode(data)
            except BadAdvertisement as error:
                log.info("vrrp-advertisement-dropped", peer=sender[0], error=str(error))
                continue
            if advertisement.vrid == self.config.vrid and sender in self.config.peers:
                self.router.heard(advertisement, sender[0])
