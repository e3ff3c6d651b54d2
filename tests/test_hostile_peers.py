"""Hostile peers on every wire: the program goes on, answers, and its memory and descriptors return."""

from __future__ import annotations

import json
import random
import select
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import tomli_w
from proxy import RunningProxy, proxy, settings

from linnetshift.config.broker_file import read_broker_file
from linnetshift.config.errors import ConfigError
from linnetshift.config.proxy_file import read_config
from linnetshift.event_loop.loop import ActorCoroutine, Io, Loop, S
from linnetshift.event_loop.outbound_connection import OutboundConnection, Stop
from rig import wires
from rig.attack import Attack, Broken, Endpoints, shrink
from rig.crowd import Input
from rig.grammar import mutate_tree, scar

SEED = 20261201
OWN = '[channels]\nenabled = true\nlisten = "127.0.0.1:PORT"\n'
VRRP = (
    '[vrrp]\nenabled = true\nvrid = 7\npriority = 100\nlisten = "127.0.0.1:PORT"\n'
    'peers = ["127.0.0.1:PEER"]\naddresses = ["127.0.0.1"]\n'
)


@pytest.fixture
def one(tmp_path: Path) -> Iterator[RunningProxy]:
    with proxy(tmp_path, own=OWN, admin_server=True, held=True) as running:
        yield running


@pytest.mark.parametrize("wire", ["platform", "channels", "door"])
def test_clients_and_operators(one: RunningProxy, wire: str) -> None:
    endpoints, attack = Endpoints(one.listeners, SEED), Attack(one, SEED)
    endpoints.start()
    try:
        attack.round(wire, 150)
        attack.settle()
        for _ in range(2):
            attack.round(wire, 150)
    finally:
        endpoints.stop()


def test_the_discovery(one: RunningProxy) -> None:
    attack, rng = Attack(one, SEED), random.Random(SEED)
    attack.settle()
    listing = one.discovery.listing()
    for _ in range(3):
        attack.lists(
            [wires.document(rng, listing) for _ in range(6)], lambda: one.discovery.calls.get(timeout=20)
        )
    one.discovery.rev = 1 << 70  # newer than anything that was said meanwhile
    one.discovery.change()
    one.discovery.calls.get(timeout=20)
    assert one.standing()


def test_another_process(one: RunningProxy) -> None:
    attack, rng = Attack(one, SEED), random.Random(SEED)
    attack.settle()
    path = str(one.config.parent / "linnetshift-n0.sock")
    attack.beside(path, [wires.handover_lines(rng) for _ in range(60)])
    assert one.standing()


def test_vrrp_peers(tmp_path: Path) -> None:
    rng = random.Random(SEED)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind(("127.0.0.1", 0))
        own = VRRP.replace("PEER", str(sender.getsockname()[1]))
        with proxy(tmp_path, own=own, admin_server=True) as running:
            attack = Attack(running, SEED)
            attack.settle()
            for _ in range(4):
                attack.datagrams([wires.advertisement(rng, 7) for _ in range(100)], sender)


def config_of(folder: Path, **changes: Any) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "8c1f",
        "known": {"rev": 1, "all": True, "targets": []},
        "settings": settings(),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "admin_addr": "127.0.0.1:3",
        **changes,
    }


def test_the_platforms_file(tmp_path: Path) -> None:
    # Whatever is in it, it is read or refused in one line; anything else is a crash at start or at reload.
    rng, path = random.Random(SEED), tmp_path / "config.json"
    path.write_text(json.dumps(config_of(tmp_path)))
    former, refused = read_config(str(path)), 0
    for _ in range(1500):
        path.write_bytes(scar(rng, json.dumps(mutate_tree(rng, config_of(tmp_path))).encode()))
        for before in (None, former):
            try:
                read_config(str(path), before)
            except ConfigError as error:
                refused += 1
                assert "\n" not in str(error)
    assert 0 < refused < 3000


def test_the_operators_file(tmp_path: Path) -> None:
    rng, path = random.Random(SEED), tmp_path / "broker.toml"
    (tmp_path / "config.json").write_text(json.dumps(config_of(tmp_path)))
    config = read_config(str(tmp_path / "config.json"))
    tree = {
        "channels": {"enabled": True, "listen": "127.0.0.1:8022"},
        "vrrp": {
            "enabled": True, "vrid": 7, "priority": 100, "interval_cs": 100, "preempt": True,
            "listen": "127.0.0.1:8112", "peers": ["127.0.0.2:8112"], "addresses": ["127.0.0.1"],
        },
        "contract": [
            {"team": "acme", "services": ["feed"], "rate_per_s": 5.0, "rate_burst": 10, "concurrency": 4}
        ],
    }  # fmt: skip
    refused = 0
    for _ in range(1500):
        try:
            text = tomli_w.dumps(mutate_tree(rng, tree)).encode()
        except (TypeError, ValueError, AttributeError, UnicodeEncodeError):
            continue  # TOML cannot say it
        path.write_bytes(scar(rng, text))
        try:
            read_broker_file(str(path), config.names, config.settings)
        except ConfigError as error:
            refused += 1
            assert "\n" not in str(error)
    assert refused


class Dial(OutboundConnection):
    came_up: bool | None = None

    def run(self, address: tuple[str, int]) -> ActorCoroutine:
        self.came_up = yield from self.connect(address, S)


def test_an_attempt_given_up_as_it_comes_up_is_no_fault() -> None:
    # Found by the rig: platform and channels frontends, a client that leaves in the turn of the connect.
    loop = Loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        dial = Dial(loop)
        dial.start(dial.run(listener.getsockname()))
        assert dial.stream is not None
        dial.post(Io(select.EPOLLOUT))
        dial.stream.close()
        dial.post(Stop())
        loop.call_later(0, lambda: None)
        loop.turn()
    assert dial.came_up is False and dial.coroutine is None


def test_the_rig_sees_what_is_wrong(one: RunningProxy) -> None:
    # A checker that cannot fail checks nothing.
    attack = Attack(one, SEED)
    attack.settle()
    attack.descriptors -= 5
    with pytest.raises(Broken, match="descriptors"):
        attack.check([])
    attack.settle()
    attack.level -= 100
    with pytest.raises(Broken, match="MiB"):
        attack.check([])
    one.lines.put("level=error event=fault trace=...")
    with pytest.raises(Broken, match="event=fault"):
        attack.check([])
    with pytest.raises(Broken, match="late"):
        attack.replay([Input(one.listeners[0].port, (b"nobody answers",))])
    one.process.kill()
    one.process.wait()
    with pytest.raises(Broken, match="ended"):
        attack.check([])


def test_a_failing_round_is_shrunk() -> None:
    inputs = [Input(1, (b"x" * n,)) for n in range(20)]
    inputs[13] = Input(1, (b"....bad....",))
    left = shrink(inputs, lambda some: any(b"bad" in b"".join(made.pieces) for made in some))
    assert len(left) == 1 and b"".join(left[0].pieces) == b"....bad"
