"""An active router that cannot listen for channels, with the real program and an emulated VRRP peer."""

from __future__ import annotations

import socket
from pathlib import Path

from proxy_harness import CHANNELS_ENABLED, started_proxy
from vrrp_peer import is_refused, open_channel, vrrp_peer, wait_until_refused

from rig.free_port import free_port


def channels_at(port: int) -> str:
    """The broker file's table that enables channels at a port."""
    return CHANNELS_ENABLED.replace("PORT", str(port))


def test_router_that_cannot_listen_lives_on_without_the_role_until_it_can(tmp_path: Path) -> None:
    # The error ended the process; merely contained, it left an active router that refused all channels.
    with vrrp_peer() as peer, socket.create_server(("127.0.0.1", 0)) as other_program:
        channels_port = other_program.getsockname()[1]
        broker_toml = channels_at(channels_port) + peer.vrrp_table()
        with started_proxy(tmp_path, broker_toml=broker_toml, admin_server=True) as running:
            running.channels_port = channels_port
            address = f"127.0.0.1:{channels_port}"
            running.logged(f'channels-listener-unavailable address={address} error="Address already in use"')
            assert not list(peer.received_within(1.0))
            assert running.call("GET /ops/readiness") == 503
            assert running.alive()
            assert not any("channels-listener-unavailable" in line for line in running.unread_lines())
            other_program.close()
            peer.wait_until_active()
            open_channel(running)
            running.wait_until_ready()
            peer.hold_role()
            running.logged("vrrp-state-changed state=backup")
            assert is_refused(channels_port)


def test_active_router_whose_new_address_is_in_use_leaves_the_role_until_it_is_free(tmp_path: Path) -> None:
    """Guards against an active router that a reload leaves without a listener at its address."""
    with vrrp_peer() as peer, socket.create_server(("127.0.0.1", 0)) as other_program:
        used_port = other_program.getsockname()[1]
        broker_toml = CHANNELS_ENABLED + peer.vrrp_table()
        with started_proxy(tmp_path, broker_toml=broker_toml, admin_server=True) as running:
            peer.wait_until_active()
            running.logged("vrrp-state-changed state=active")
            (tmp_path / "broker.toml").write_text(channels_at(used_port) + peer.vrrp_table())
            running.reload("vrrp-state-changed state=backup")
            assert running.call("GET /ops/readiness") == 200
            assert running.alive()
            other_program.close()
            running.logged("vrrp-state-changed state=active")
            running.channels_port = used_port
            open_channel(running)


def test_channels_that_a_reload_enables_are_accepted_by_the_active_router(tmp_path: Path) -> None:
    # The reload did not listen, and the router stayed active without a listener.
    with vrrp_peer() as peer, started_proxy(tmp_path, broker_toml=peer.vrrp_table()) as running:
        peer.wait_until_active()
        (tmp_path / "broker.toml").write_text(channels_at(running.channels_port) + peer.vrrp_table())
        running.reload("event=configuration-reloaded")
        open_channel(running)
        peer.hold_role()
        wait_until_refused(running.channels_port)


def test_backup_listens_at_the_address_of_the_last_reload_once_it_is_active(tmp_path: Path) -> None:
    with vrrp_peer() as peer:
        broker_toml = CHANNELS_ENABLED + peer.vrrp_table()
        with started_proxy(tmp_path, broker_toml=broker_toml) as running:
            peer.hold_role()
            wait_until_refused(running.channels_port)
            former_port = running.channels_port
            running.channels_port = free_port()
            (tmp_path / "broker.toml").write_text(channels_at(running.channels_port) + peer.vrrp_table())
            running.reload("event=configuration-reloaded")
            assert is_refused(running.channels_port)
            peer.discard_received()
            peer.release_role()
            peer.wait_until_active()
            open_channel(running)
            assert is_refused(former_port)
