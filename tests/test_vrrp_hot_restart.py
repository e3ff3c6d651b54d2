"""Hot restarts of a proxy in a VRRP group: who accepts channels while two processes live.

The processes are real; clients and the VRRP peer tell what they see.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from connections import WAIT_S
from emulated_predecessor import predecessor_that_keeps_its_listener
from emulated_successor import EmulatedSuccessor
from proxy_harness import CHANNELS_ENABLED, started_proxy, successor_of
from running_proxy import RunningProxy
from vrrp_peer import VrrpPeer, open_channel, sender_of_next_advertisement, vrrp_peer, wait_until_refused

from linnetshift.vrrp.protocol import PRIORITY_RELEASED
from rig.free_port import free_port


def switch_vrrp_on(running: RunningProxy, peer: VrrpPeer) -> None:
    """Add the VRRP table to the broker file, which the next process reads."""
    broker_file = running.config.parent / "broker.toml"
    broker_file.write_text(broker_file.read_text() + peer.vrrp_table())


def replace_in_broker_file(running: RunningProxy, text: str, replacement: str) -> None:
    """Change the broker file, which the next process reads."""
    broker_file = running.config.parent / "broker.toml"
    assert text in broker_file.read_text()
    broker_file.write_text(broker_file.read_text().replace(text, replacement))


def test_role_is_lost_and_won_again_while_the_predecessor_lives(tmp_path: Path) -> None:
    # The predecessor kept the listener open: the new process ended as it became active ('Address in use').
    with (
        vrrp_peer() as peer,
        started_proxy(
            tmp_path,
            broker_toml=CHANNELS_ENABLED + peer.vrrp_table(),
            admin_server=True,
            inherits_listener=True,
        ) as old,
    ):
        peer.wait_until_active()
        # The old process lives on as its clients do not leave.
        open_connections: list[object] = [
            open_channel(old),
            old.establish(),
        ]
        with successor_of(old) as new:
            new.wait_until_ready()
            client, endpoint = new.establish()
            for _ in range(2):
                peer.hold_role()
                wait_until_refused(old.channels_port)
                peer.discard_received()
                peer.release_role()
                peer.wait_until_active()
                open_connections.append(open_channel(new))
            endpoint.send(b"on\r\n")
            assert client.line() == b"on\r\n"
            assert (old.process.poll(), new.process.poll()) == (None, None)


@pytest.mark.parametrize("has_vrrp", [False, True])
def test_predecessor_accepts_channels_again_after_its_successor_died(tmp_path: Path, has_vrrp: bool) -> None:
    # It has closed its listener for the successor, and must bind the address anew.
    with vrrp_peer() as peer:
        broker_toml = CHANNELS_ENABLED + (peer.vrrp_table() if has_vrrp else "")
        with started_proxy(
            tmp_path, broker_toml=broker_toml, admin_server=True, inherits_listener=True
        ) as old:
            if has_vrrp:
                peer.wait_until_active()
            # The old process lives on as its clients do not leave.
            open_connections: list[object] = [old.establish()]
            for _ in range(2):
                with successor_of(old) as new:
                    new.wait_until_ready()
                    open_connections.append(open_channel(new))
                    new.process.kill()
                    old.logged("event=successor-gone")
                    open_connections.append(open_channel(old))
                    old.wait_until_ready()


def test_vrrp_is_switched_on_in_a_hot_restart(tmp_path: Path) -> None:
    # The new process took the listener that it had closed as a backup ('Bad file descriptor') and ended.
    with (
        vrrp_peer() as peer,
        started_proxy(
            tmp_path, broker_toml=CHANNELS_ENABLED, admin_server=True, inherits_listener=True
        ) as old,
    ):
        open_connections: list[object] = [open_channel(old), old.establish()]
        switch_vrrp_on(old, peer)
        peer.hold_role()
        with successor_of(old) as new:
            new.wait_until_ready()
            client, endpoint = new.establish()
            wait_until_refused(old.channels_port)
            for _ in range(2):
                peer.discard_received()
                peer.release_role()
                peer.wait_until_active()
                open_connections.append(open_channel(new))
                peer.hold_role()
                wait_until_refused(old.channels_port)
            endpoint.send(b"on\r\n")
            assert client.line() == b"on\r\n"
            assert (old.process.poll(), new.process.poll()) == (None, None)


def test_backup_successor_dies_after_vrrp_was_switched_on(tmp_path: Path) -> None:
    # The predecessor, which has no VRRP, has to accept channels again.
    with (
        vrrp_peer() as peer,
        started_proxy(
            tmp_path, broker_toml=CHANNELS_ENABLED, admin_server=True, inherits_listener=True
        ) as old,
    ):
        open_connections = [old.establish()]
        switch_vrrp_on(old, peer)
        peer.hold_role()
        with successor_of(old) as new:
            new.wait_until_ready()
            wait_until_refused(old.channels_port)
            new.process.kill()
            old.logged("event=successor-gone")
            open_channel(old)
            assert open_connections


@pytest.mark.parametrize("predecessor_hangs", [False, True])
def test_predecessor_keeps_its_listener_until_it_exits(tmp_path: Path, predecessor_hangs: bool) -> None:
    # As one of an older version does, or one that hangs: clients waited, or the address was in use.
    with (
        vrrp_peer() as peer,
        predecessor_that_keeps_its_listener(
            tmp_path, CHANNELS_ENABLED + peer.vrrp_table(), predecessor_hangs
        ) as predecessor,
    ):
        peer.hold_role()
        with predecessor.successor() as new:
            new.wait_until_ready()
            wait_until_refused(new.channels_port)
            open_connections = []
            for _ in range(2):
                peer.discard_received()
                peer.release_role()
                peer.wait_until_active()
                open_connections.append(open_channel(new))
                peer.hold_role()
                wait_until_refused(new.channels_port)
            predecessor.exit()
            new.logged("event=predecessor-gone")
            wait_until_refused(new.channels_port)
            peer.discard_received()
            peer.release_role()
            peer.wait_until_active()
            open_channel(new)


def test_predecessor_that_keeps_its_listener_accepts_from_it_after_its_successor_died(tmp_path: Path) -> None:
    # A backup must not shut the shared listener down: an older predecessor never binds it anew.
    with (
        vrrp_peer() as peer,
        predecessor_that_keeps_its_listener(tmp_path, CHANNELS_ENABLED + peer.vrrp_table()) as predecessor,
    ):
        peer.hold_role()
        with predecessor.successor() as new:
            new.wait_until_ready()
            wait_until_refused(new.channels_port)
        client = predecessor.client(port=predecessor.channels_port)
        predecessor.listener.settimeout(WAIT_S)
        accepted, _ = predecessor.listener.accept()
        with accepted:
            accepted.sendall(b"SSH-2.0-old\r\n")
            assert client.line() == b"SSH-2.0-old\r\n"


def test_channels_move_to_another_address_in_a_hot_restart(tmp_path: Path) -> None:
    # The inherited listener was taken for one at the new address, which refused all clients.
    with started_proxy(
        tmp_path, broker_toml=CHANNELS_ENABLED, admin_server=True, inherits_listener=True
    ) as old:
        open_connections: list[object] = [old.establish()]
        new_port = free_port()
        replace_in_broker_file(old, f":{old.channels_port}", f":{new_port}")
        with successor_of(old) as new:
            new.wait_until_ready()
            new.channels_port = new_port
            open_connections.append(open_channel(new))
            wait_until_refused(old.channels_port)


def test_channels_are_switched_off_in_a_hot_restart(tmp_path: Path) -> None:
    # Clients waited at the paused listener of the predecessor.
    with started_proxy(
        tmp_path, broker_toml=CHANNELS_ENABLED, admin_server=True, inherits_listener=True
    ) as old:
        open_connections = [old.establish()]
        replace_in_broker_file(old, "enabled = true", "enabled = false")
        with successor_of(old) as new:
            new.wait_until_ready()
            wait_until_refused(old.channels_port)
            assert open_connections


def test_vrrp_is_switched_off_in_a_hot_restart_of_a_backup(tmp_path: Path) -> None:
    # The new process listens although the paused router of its predecessor is a backup.
    with (
        vrrp_peer() as peer,
        started_proxy(
            tmp_path,
            broker_toml=CHANNELS_ENABLED + peer.vrrp_table(),
            admin_server=True,
            inherits_listener=True,
        ) as old,
    ):
        peer.hold_role()
        open_connections: list[object] = [old.establish()]
        replace_in_broker_file(old, peer.vrrp_table(), "")
        with successor_of(old) as new:
            new.wait_until_ready()
            open_connections.append(open_channel(new))


def test_vrrp_moves_to_another_address_in_a_hot_restart(tmp_path: Path) -> None:
    # The inherited socket was used at its old address: peers dropped what it sent, it got nothing.
    with (
        vrrp_peer() as peer,
        started_proxy(
            tmp_path,
            broker_toml=CHANNELS_ENABLED + peer.vrrp_table(),
            admin_server=True,
            inherits_listener=True,
        ) as old,
    ):
        peer.wait_until_active()
        open_connections: list[object] = [open_channel(old), old.establish()]
        old_table = peer.vrrp_table()
        peer.proxy_address = ("127.0.0.1", free_port())
        replace_in_broker_file(old, old_table, peer.vrrp_table())
        with successor_of(old) as new:
            new.wait_until_ready()
            peer.discard_received()
            assert sender_of_next_advertisement(peer) == peer.proxy_address
            open_connections.append(open_channel(new))
            peer.hold_role()
            wait_until_refused(old.channels_port)


def test_role_won_after_the_state_was_handed_over_is_released_to_the_peer(tmp_path: Path) -> None:
    # The successor starts as a backup: without a release no router of the group was active for seconds.
    with (
        vrrp_peer() as peer,
        started_proxy(
            tmp_path,
            broker_toml=CHANNELS_ENABLED + peer.vrrp_table(),
            admin_server=True,
            inherits_listener=True,
        ) as old,
    ):
        open_connections = [old.establish()]
        peer.hold_role()
        old.logged("settings-applied")
        with EmulatedSuccessor(tmp_path) as successor:
            assert successor.state["active"] is False
            peer.discard_received()
            peer.release_role()
            peer.wait_until_active()
            successor.replace()
            assert PRIORITY_RELEASED in peer.received_within(1.0)
            wait_until_refused(old.channels_port)
            assert open_connections


def test_vrrp_is_switched_off_and_on_again_while_the_first_process_lives(tmp_path: Path) -> None:
    # The first process held the socket of VRRP: the third ended at its start ('Address already in use').
    with (
        vrrp_peer() as peer,
        started_proxy(
            tmp_path,
            broker_toml=CHANNELS_ENABLED + peer.vrrp_table(),
            admin_server=True,
            inherits_listener=True,
        ) as first,
    ):
        open_connections: list[object] = [first.establish()]
        replace_in_broker_file(first, peer.vrrp_table(), "")
        with successor_of(first) as second:
            second.wait_until_ready()
            open_connections.append(second.establish())
            switch_vrrp_on(first, peer)
            with successor_of(second) as third:
                third.wait_until_ready()
                peer.discard_received()
                peer.wait_until_active()
                open_connections.append(open_channel(third))
                assert first.process.poll() is None
