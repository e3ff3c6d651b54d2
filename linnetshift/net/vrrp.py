"""VRRP version 3 (RFC 9568): its state machine and advertisements, carried over UDP.

Which of several proxies listens for channels is settled here. There is no virtual MAC to answer for and
no TTL to check: the datagrams go to named peers only, and what comes from anyone else is dropped.
"""

from __future__ import annotations

import select
import socket
import struct
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from linnetshift.net import log
from linnetshift.net.loop import MS, Actor, ActorCoroutine, Io, Loop, Timeout, Timer
from linnetshift.net.provider import Address

VERSION, ADVERTISEMENT = 3, 1
HEADER = struct.Struct(">BBBBHH")
OWNER, RELEASED = 255, 0  # priorities with a meaning of their own
CENTISECOND = 10 * MS
MOST_DATAGRAM = 2048
DATAGRAMS = 32  # at one turn of the loop


class State(Enum):
    INITIALIZE = "initialize"
    BACKUP = "backup"
    ACTIVE = "active"


class BadAdvertisement(ValueError):
    """A datagram that is no advertisement of this version."""


class Advertisement(NamedTuple):
    vrid: int
    priority: int
    interval: int  # in centiseconds, as on the wire
    addresses: tuple[str, ...]

    def encode(self) -> bytes:
        count, interval = len(self.addresses), self.interval & 0x0FFF
        kind = VERSION << 4 | ADVERTISEMENT
        body = b"".join(socket.inet_aton(address) for address in self.addresses)
        blank = HEADER.pack(kind, self.vrid, self.priority, count, interval, 0) + body
        return HEADER.pack(kind, self.vrid, self.priority, count, interval, checksum(blank)) + body


def checksum(data: bytes) -> int:
    """The Internet's checksum; over IPv4 it covers the message alone (section 5.2.8)."""
    total: int = sum(struct.unpack(f">{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF


def decode(data: bytes) -> Advertisement:
    if len(data) < HEADER.size:
        raise BadAdvertisement("too short")
    kind, vrid, priority, count, interval, _ = HEADER.unpack_from(data)
    if kind != VERSION << 4 | ADVERTISEMENT:
        raise BadAdvertisement("not an advertisement of version 3")
    if len(data) != HEADER.size + 4 * count:
        raise BadAdvertisement("its length does not fit its addresses")
    if checksum(data):
        raise BadAdvertisement("wrong checksum")
    places = range(HEADER.size, len(data), 4)
    return Advertisement(
        vrid, priority, interval & 0x0FFF, tuple(socket.inet_ntoa(data[at : at + 4]) for at in places)
    )


class VrrpConfig(NamedTuple):
    vrid: int
    priority: int
    interval: int  # centiseconds
    preempt: bool
    listen: Address
    peers: tuple[Address, ...]
    addresses: tuple[str, ...]


class Router:
    """Section 6.4, without sockets: told of timers and advertisements, it says what to do through two calls.

    `send` takes the priority to advertise; `arm` the centiseconds until `timer_fired`, for the one timer
    that each state has.
    """

    def __init__(self, config: VrrpConfig, send: Callable[[int], None], arm: Callable[[float], None]) -> None:
        self.config, self.send, self.arm = config, send, arm
        self.state = State.INITIALIZE
        self.active_interval = config.interval

    @property
    def skew(self) -> float:
        return (256 - self.config.priority) * self.active_interval / 256

    @property
    def down_interval(self) -> float:
        return 3 * self.active_interval + self.skew

    def start(self) -> None:
        if self.config.priority == OWNER:
            self.become_active()
        else:
            self.become_backup(self.config.interval)

    def stop(self) -> None:
        if self.state is State.ACTIVE:
            self.send(RELEASED)
        self.state = State.INITIALIZE

    def timer_fired(self) -> None:
        if self.state is State.BACKUP:
            self.become_active()
        elif self.state is State.ACTIVE:
            self.advertise()

    def heard(self, advertisement: Advertisement, sender: str) -> None:
        mine, theirs = self.config.priority, advertisement.priority
        if self.state is State.BACKUP:
            if theirs == RELEASED:
                self.arm(self.skew)
            elif not self.config.preempt or theirs >= mine:
                self.become_backup(advertisement.interval)
        elif self.state is State.ACTIVE:
            higher = socket.inet_aton(sender) > socket.inet_aton(self.config.listen[0])
            if theirs != RELEASED and (theirs > mine or (theirs == mine and higher)):
                self.become_backup(advertisement.interval)
            else:
                self.advertise()  # asserts that this one is active

    def become_backup(self, interval: int) -> None:
        self.state, self.active_interval = State.BACKUP, interval
        self.arm(self.down_interval)

    def become_active(self) -> None:
        self.state = State.ACTIVE
        self.advertise()

    def advertise(self) -> None:
        self.send(self.config.priority)
        self.arm(self.config.interval)


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
            log.note("vrrp-state-changed", state=self.before, vrid=self.config.vrid)
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
                log.note("vrrp-send-failed", peer=f"{peer[0]}:{peer[1]}", error=error.strerror)

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
                log.note("vrrp-advertisement-dropped", peer=sender[0], error=str(error))
                continue
            if advertisement.vrid == self.config.vrid and sender in self.config.peers:
                self.router.heard(advertisement, sender[0])
