"""A VRRP peer of a proxy, and what the clients of its channels frontend see."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from typing import NamedTuple

from connections import WAIT_S, ChannelsClient, PeerConnection
from running_proxy import RunningProxy

from linnetshift.event_loop.address import Address
from linnetshift.vrrp.protocol import PRIORITY_RELEASED, Advertisement
from rig.free_port import free_port

VRID = 7

INTERVAL_CS = 10
"""Advertisement interval of proxy and peer; a backup becomes active 0.3 to 0.4 s after the last one."""

PROXY_PRIORITY = 100

SERVES_WITHIN_S = 0.1
"""How long after its first advertisement an active router may still refuse a channel."""


REFUSED_WITHIN_S = 1.0
"""How long after it has lost the role a router may still accept a channel."""

ANSWERED_WITHIN_S = 0.5
"""How long a client waits for a greeting before it counts as left in a queue."""


class VrrpPeer:
    """The other router of a proxy's VRRP group."""

    def __init__(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.proxy_address = ("127.0.0.1", free_port())
        self.releases_role = threading.Event()
        self.has_stopped_advertising = threading.Event()

    def vrrp_table(self, priority: int = PROXY_PRIORITY) -> str:
        """The table of a proxy's broker file that makes it a router of this group."""
        return (
            f"[vrrp]\nenabled = true\nvrid = {VRID}\npriority = {priority}\ninterval_cs = {INTERVAL_CS}\n"
            f'listen = "{self.proxy_address[0]}:{self.proxy_address[1]}"\n'
            f'peers = ["127.0.0.1:{self.sock.getsockname()[1]}"]\naddresses = []\n'
        )

    def advertise(self, priority: int, interval_cs: int = INTERVAL_CS) -> None:
        """Send one advertisement."""
        advertisement = Advertisement(VRID, priority, interval_cs, ())
        self.sock.sendto(advertisement.encode(), self.proxy_address)

    def hold_role(self) -> None:
        """Be the active router until `release_role`, also for a process of the proxy that starts later.

        Each advertisement counts for two minutes, however late the next one is.
        """
        self.releases_role.clear()
        self.advertise(200, interval_cs=4095)
        threading.Thread(target=self._advertise_until_release, daemon=True).start()

    def _advertise_until_release(self) -> None:
        with suppress(OSError):  # the test has ended
            while not self.releases_role.wait(INTERVAL_CS / 100 / 2):
                self.advertise(200, interval_cs=4095)
            self.has_stopped_advertising.set()

    def release_role(self) -> None:
        """Release the role: the proxy becomes active after its skew time, a part of the last interval."""
        self.releases_role.set()
        assert self.has_stopped_advertising.wait(WAIT_S)
        self.has_stopped_advertising.clear()
        self.advertise(200)
        self.advertise(PRIORITY_RELEASED)

    def discard_received(self) -> None:
        """Discard the advertisements that have arrived."""
        for _ in self.received_within(0):
            pass

    def received_within(self, timeout_s: float) -> Iterator[int]:
        """The priorities of the advertisements that arrive until the timeout."""
        until = time.monotonic() + timeout_s
        while True:
            self.sock.settimeout(max(1e-6, until - time.monotonic()))
            try:
                yield Advertisement.decode(self.sock.recv(2048)).priority
            except (TimeoutError, BlockingIOError):
                return

    def wait_until_active(self) -> None:
        """Wait until the proxy advertises itself as the active router."""
        assert any(priority != PRIORITY_RELEASED for priority in self.received_within(WAIT_S))


@contextmanager
def vrrp_peer() -> Iterator[VrrpPeer]:
    """A VRRP peer whose socket is closed at the end."""
    peer = VrrpPeer()
    with peer.sock:
        yield peer


def is_refused(port: int) -> bool:
    """Whether a client is refused, or reset at once; False where it is greeted or has to wait."""
    try:
        with socket.create_connection(("127.0.0.1", port), WAIT_S) as sock:
            sock.settimeout(ANSWERED_WITHIN_S)
            return not sock.recv(1)
    except TimeoutError:
        return False
    except ConnectionError:
        return True


def wait_until_refused(port: int) -> None:
    """Wait until clients are refused; they must not be left waiting for long."""
    until = time.monotonic() + REFUSED_WITHIN_S
    while not is_refused(port):
        assert time.monotonic() < until, "clients are accepted, or wait in a queue"
        time.sleep(0.01)


def sender_of_next_advertisement(peer: VrrpPeer) -> Address:
    """Wait for an advertisement; returns the address from which it was sent."""
    peer.sock.settimeout(WAIT_S)
    _, sender = peer.sock.recvfrom(2048)
    return str(sender[0]), int(sender[1])


class OpenChannel(NamedTuple):
    """Both ends of an established channel."""

    client: ChannelsClient
    endpoint: PeerConnection


def open_channel(running: RunningProxy, within_s: float = SERVES_WITHIN_S) -> OpenChannel:
    """Open a channel and have it served; clients are refused for `within_s` at most."""
    until = time.monotonic() + within_s
    while True:
        try:
            client = ChannelsClient(running.channels_port)
            break
        except (ConnectionError, AssertionError):
            assert time.monotonic() < until, "no channel is accepted"
            time.sleep(0.005)
    client.open(1)
    _, endpoint = running.serve_any()
    client.expect_confirmation(1)
    return OpenChannel(client, endpoint)
