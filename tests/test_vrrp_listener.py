"""An active router that cannot listen for channels, with the real program and an emulated VRRP peer."""

from __future__ import annotations

import socket
from pathlib import Path

from proxy_harness import CHANNELS_ENABLED, started_proxy
from vrrp_peer import is_refused, open_channel, vrrp_peer


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
