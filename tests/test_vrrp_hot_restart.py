"""Hot restarts of a proxy in a VRRP group: who accepts channels while two processes live.

The processes are real; clients and the VRRP peer tell what they see.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from proxy_harness import CHANNELS_ENABLED, started_proxy, successor_of
from vrrp_peer import open_channel, vrrp_peer, wait_until_refused


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
