"""The VRRP state machine (RFC 9568, section 6.4), without sockets."""

from __future__ import annotations

import socket
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from linnetshift.event_loop.address import Address
from linnetshift.vrrp.protocol import OWNER, RELEASED, Advertisement


class State(Enum):
    INITIALIZE = "initialize"
    BACKUP = "backup"
    ACTIVE = "active"


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
