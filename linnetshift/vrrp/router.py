"""The VRRP state machine (RFC 9568, section 6.4), without sockets."""

from __future__ import annotations

import socket
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from linnetshift.event_loop.address import Address
from linnetshift.util.backoff import Backoff
from linnetshift.vrrp.protocol import PRIORITY_OWNER, PRIORITY_RELEASED, Advertisement

# Bounds of the back-off between two attempts to start serving, in centiseconds: the first is short, as an
# exiting process frees its address at once, and the longest too, as clients are refused meanwhile.
MIN_RETRY_CS = 2
MAX_RETRY_CS = 25


class State(Enum):
    """The states of section 6.4; the values appear in the log."""

    INITIALIZE = "initialize"
    BACKUP = "backup"
    ACTIVE = "active"


class VrrpConfig(NamedTuple):
    """The parameters of one virtual router (section 6.1), from the broker's own file."""

    vrid: int  # virtual router ID, 1 to 255
    priority: int  # 1 to 255; 255 is the address owner's
    interval_cs: int  # advertisement interval, 1 to 4095 centiseconds
    preempt: bool  # whether a backup takes over from an active router of lower priority
    listen: Address  # receives advertisements; of equal priorities, the higher host address wins
    peers: tuple[Address, ...]  # the other routers; advertisements of other senders are dropped
    addresses: tuple[str, ...]  # the virtual router's IPv4 addresses, which are only advertised


class Router:
    """One virtual router: is notified of timers and advertisements, and acts through three callbacks.

    `send` takes the priority to advertise. `set_timer` takes the centiseconds until `handle_timer` and
    replaces an earlier timer: each state has one timer, the Adver_Timer or the Active_Down_Timer.
    `start_serving` is called before the router becomes active. Where it returns False the router remains a
    backup that advertises nothing, so that a peer becomes active, and retries.
    """

    def __init__(
        self,
        config: VrrpConfig,
        send: Callable[[int], None],
        set_timer: Callable[[float], None],
        start_serving: Callable[[], bool] = lambda: True,
    ) -> None:
        """A router in the initialize state."""
        self.config = config
        self.send = send
        self.set_timer = set_timer
        self.start_serving = start_serving
        self.is_retrying = False  # due to become active, but `start_serving` failed
        self.retry_backoff = Backoff(MIN_RETRY_CS, MAX_RETRY_CS)
        self.state = State.INITIALIZE
        # The active router's interval in centiseconds, as it was last advertised (Active_Adver_Interval).
        self.active_interval_cs = config.interval_cs

    @property
    def skew_time_cs(self) -> float:
        """Skew_Time in centiseconds: the lower its priority, the later a backup takes over."""
        return (256 - self.config.priority) * self.active_interval_cs / 256

    @property
    def active_down_interval_cs(self) -> float:
        """Active_Down_Interval: centiseconds without an advertisement after which a backup takes over."""
        return 3 * self.active_interval_cs + self.skew_time_cs

    def start(self) -> None:
        """Startup (section 6.4.1): the address owner becomes active at once, another router a backup."""
        if self.config.priority == PRIORITY_OWNER:
            self.become_active()
        else:
            self.become_backup(self.config.interval_cs)

    def stop(self) -> None:
        """Shutdown: an active router advertises priority 0, and a backup takes over after its skew time."""
        if self.state is State.ACTIVE:
            self.send(PRIORITY_RELEASED)
        self.state = State.INITIALIZE

    def handle_timer(self) -> None:
        """Handle the timer: a backup becomes active, an active router advertises."""
        if self.state is State.BACKUP:
            self.become_active()
        elif self.state is State.ACTIVE:
            self.advertise()

    def handle_advertisement(self, advertisement: Advertisement, sender: str) -> None:
        """Handle an advertisement of another router, whose IPv4 address is `sender`."""
        if self.state is State.BACKUP:
            self._handle_as_backup(advertisement)
        elif self.state is State.ACTIVE:
            self._handle_as_active(advertisement, sender)

    def _handle_as_backup(self, advertisement: Advertisement) -> None:
        """Section 6.4.2: remain a backup unless the sender is to be preempted or has stopped."""
        if advertisement.priority == PRIORITY_RELEASED:
            self.set_timer(self.skew_time_cs)
        elif not self.config.preempt or advertisement.priority >= self.config.priority:
            self.become_backup(advertisement.interval_cs)

    def _handle_as_active(self, advertisement: Advertisement, sender: str) -> None:
        """Section 6.4.3: yield to a higher priority, or of equal priorities to the higher address."""
        own_priority = self.config.priority
        priority = advertisement.priority
        has_higher_address = socket.inet_aton(sender) > socket.inet_aton(self.config.listen[0])
        has_precedence = priority > own_priority or (priority == own_priority and has_higher_address)
        if priority != PRIORITY_RELEASED and has_precedence:
            self.become_backup(advertisement.interval_cs)
        else:
            self.advertise()  # at once, so that the other router yields

    def become_backup(self, active_interval_cs: int) -> None:
        """Become a backup, and wait for advertisements of an active router with this interval."""
        self.state = State.BACKUP
        self._reset_retry()
        self.active_interval_cs = active_interval_cs
        self.set_timer(self.active_down_interval_cs)

    def become_active(self) -> None:
        """Become the active router and advertise it, or retry later where it cannot serve."""
        if self.start_serving():
            self.state = State.ACTIVE
            self._reset_retry()
            self.advertise()
        else:
            self._retry_later()

    def continue_active(self) -> None:
        """Become active in a role that peers count as taken; release it where this router cannot serve."""
        self.become_active()
        if self.is_retrying:
            self.send(PRIORITY_RELEASED)

    def release_active(self) -> None:
        """Release the active role, and be a backup without a timer until `become_backup`."""
        self.send(PRIORITY_RELEASED)
        self.state = State.BACKUP

    def _retry_later(self) -> None:
        self.state = State.BACKUP
        self.is_retrying = True
        self.set_timer(self.retry_backoff.next_delay())

    def _reset_retry(self) -> None:
        self.is_retrying = False
        self.retry_backoff.reset()

    def advertise(self) -> None:
        """Send an advertisement, and set the timer for the next."""
        self.send(self.config.priority)
        self.set_timer(self.config.interval_cs)
