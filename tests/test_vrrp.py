"""VRRP: encoding of advertisements, the state machine, and the frontend that listens only while active."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest
from connections import WAIT_S, ChannelsClient
from proxy_harness import started_proxy

from linnetshift.event_loop.loop import Loop
from linnetshift.vrrp.instance import Vrrp
from linnetshift.vrrp.protocol import Advertisement, AdvertisementError
from linnetshift.vrrp.router import Router, State, VrrpConfig
from rig.free_port import free_port

# Version 3, type 1, VRID 7, priority 100, one address, 1 s, checksum, 192.0.2.1: encoded by hand.
VALID = bytes.fromhex("310764010064a891c0000201")


def test_encoding_matches_rfc_9568() -> None:
    advertisement = Advertisement(7, 100, 100, ("192.0.2.1",))
    assert advertisement.encode() == VALID
    assert Advertisement.decode(VALID) == advertisement


@pytest.mark.parametrize(
    "data",
    [b"", VALID[:7], VALID[:-1], VALID + bytes(4), b"\x21" + VALID[1:], VALID[:2] + b"\x65" + VALID[3:]],
)
def test_malformed_advertisement_raises_advertisement_error(data: bytes) -> None:
    with pytest.raises(AdvertisementError):
        Advertisement.decode(data)


class RouterHarness:
    """A router that records the priorities sent and the timers set."""

    def __init__(self, priority: int, preempt: bool = True, can_serve: bool = True) -> None:
        self.sent: list[int] = []
        self.timers_cs: list[float] = []
        self.can_serve = can_serve
        config = VrrpConfig(7, priority, 100, preempt, ("10.0.0.2", 1), (), ())
        self.router = Router(config, self.sent.append, self.timers_cs.append, lambda: self.can_serve)
        self.router.start()

    def receive(self, priority: int, interval_cs: int = 100, sender: str = "10.0.0.1") -> None:
        self.router.handle_advertisement(Advertisement(7, priority, interval_cs, ()), sender)


@pytest.mark.parametrize(("priority", "state"), [(255, State.ACTIVE), (254, State.BACKUP), (1, State.BACKUP)])
def test_only_the_owner_starts_active(priority: int, state: State) -> None:
    assert RouterHarness(priority).router.state is state


def test_backup_takes_over_after_three_intervals_and_its_skew_time() -> None:
    harness = RouterHarness(156)
    assert harness.timers_cs == [300 + 100 * 100 / 256]
    harness.receive(200, interval_cs=50)  # the active router's interval counts
    assert harness.timers_cs[-1] == 150 + 100 * 50 / 256
    harness.receive(0)  # the active router stops
    assert harness.timers_cs[-1] == 100 * 50 / 256
    harness.router.handle_timer()
    assert harness.router.state is State.ACTIVE
    assert harness.sent == [156]


@pytest.mark.parametrize(
    ("preempt", "priority", "restarts_timer"),
    [(True, 99, False), (True, 100, True), (False, 1, True), (True, 101, True)],
)
def test_backup_restarts_its_timer_unless_it_preempts(
    preempt: bool, priority: int, restarts_timer: bool
) -> None:
    harness = RouterHarness(100, preempt)
    harness.receive(priority)
    assert len(harness.timers_cs) == (2 if restarts_timer else 1)


@pytest.mark.parametrize(
    ("priority", "sender", "state"),
    [
        (101, "10.0.0.1", State.BACKUP),
        (100, "10.0.0.3", State.BACKUP),
        (100, "10.0.0.1", State.ACTIVE),
        (99, "10.0.0.3", State.ACTIVE),
        (0, "10.0.0.3", State.ACTIVE),
    ],
)
def test_active_router_yields_to_priority_then_address(priority: int, sender: str, state: State) -> None:
    harness = RouterHarness(100)
    harness.router.handle_timer()
    harness.receive(priority, sender=sender)
    assert harness.router.state is state
    assert len(harness.sent) == (1 if state is State.BACKUP else 2)  # while active, it answers at once


@pytest.mark.parametrize("is_active", [True, False])
def test_shutdown_advertises_priority_zero_only_if_active(is_active: bool) -> None:
    harness = RouterHarness(255 if is_active else 100)
    harness.router.stop()
    assert harness.router.state is State.INITIALIZE
    assert harness.sent == ([255, 0] if is_active else [])


def test_router_that_cannot_serve_advertises_nothing_and_retries_with_a_bounded_back_off() -> None:
    harness = RouterHarness(100, can_serve=False)
    for _ in range(8):
        harness.router.handle_timer()
    assert (harness.router.state, harness.sent) == (State.BACKUP, [])
    assert harness.timers_cs[1:] == [2, 4, 8, 16, 25, 25, 25, 25]
    harness.receive(99)  # a peer of lower priority serves meanwhile: still due to become active
    assert harness.router.is_retrying
    harness.can_serve = True
    harness.router.handle_timer()
    assert (harness.router.state, harness.sent) == (State.ACTIVE, [100])


def test_router_that_cannot_serve_is_an_ordinary_backup_once_a_peer_has_precedence() -> None:
    harness = RouterHarness(100, can_serve=False)
    harness.router.handle_timer()
    harness.receive(100)
    assert not harness.router.is_retrying
    assert harness.timers_cs[-1] == harness.timers_cs[0]


def test_router_that_cannot_continue_in_the_active_role_releases_it() -> None:
    harness = RouterHarness(100, can_serve=False)
    harness.router.continue_active()
    assert (harness.router.state, harness.sent) == (State.BACKUP, [0])


class AlwaysServing:
    """An `ActiveRole` that never fails."""

    def start_serving(self) -> bool:
        return True

    def stop_serving(self) -> None:
        pass


def test_paused_router_ignores_a_timeout_that_was_queued_before_the_pause() -> None:
    # It became active beside its successor, and advertised and listened from then on.
    loop = Loop()
    config = VrrpConfig(7, 100, 1, True, ("127.0.0.1", free_port()), (), ())
    vrrp = Vrrp(loop, config, AlwaysServing())
    vrrp.start(vrrp.run())
    assert vrrp.timer is not None
    vrrp.timer.fire()
    vrrp.pause(successor_is_active=False)
    loop.call_later(0, lambda: None)
    loop.run_once()
    assert not vrrp.mailbox
    assert vrrp.router.state is State.BACKUP
    vrrp.resume()
    while vrrp.router.state is State.BACKUP:
        loop.run_once()
    vrrp.stop()


def test_channels_frontend_listens_only_while_active(tmp_path: Path) -> None:
    peer_router = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    peer_router.bind(("127.0.0.1", 0))
    peer_router.settimeout(WAIT_S)
    port = free_port()
    broker_toml = f"""
[channels]
enabled = true
listen = "127.0.0.1:PORT"
[vrrp]
enabled = true
vrid = 7
interval_cs = 20
listen = "127.0.0.1:{port}"
peers = ["127.0.0.1:{peer_router.getsockname()[1]}"]
addresses = ["127.0.0.1"]
"""
    with started_proxy(tmp_path, broker_toml=broker_toml) as running:
        with pytest.raises(ConnectionRefusedError):
            running.client(port=running.channels_port)
        assert Advertisement.decode(peer_router.recv(2048)) == Advertisement(7, 100, 20, ("127.0.0.1",))
        channels_client = ChannelsClient(running.channels_port)
        channels_client.open(1)
        _, endpoint = running.serve_any()
        channel = channels_client.expect_confirmation(1)
        peer_router.sendto(Advertisement(7, 200, 4095, ()).encode(), ("127.0.0.1", port))
        assert b"move@linnetshift" in channels_client.expect(98, 1)
        channels_client.expect(97, 1)
        channels_client.send_message(97, channel)
        channels_client.expect(1, 11)
        assert endpoint.ended() == "fin"
        with pytest.raises(ConnectionRefusedError):
            running.client(port=running.channels_port)
        assert running.alive()  # the line protocol's frontend still answers
