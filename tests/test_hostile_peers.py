"""Hostile peers on every interface: the program survives, answers, and releases memory and descriptors."""

from __future__ import annotations

import json
import random
import select
import socket
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
import tomli_w
from proxy_harness import settings, started_proxy
from running_proxy import RunningProxy

from linnetshift.config.broker_file import read_broker_file
from linnetshift.config.errors import ConfigurationError
from linnetshift.config.proxy_file import read_config
from linnetshift.event_loop.actor import ActorCoroutine, Io
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.outbound_connection import OutboundConnection, Stop
from linnetshift.event_loop.timers import S
from rig import fuzz_inputs
from rig.connection_load import PeerInput
from rig.hostile_run import HostileEndpoints, HostileRun, InvariantViolationError, shrink_inputs
from rig.mutation import corrupt_bytes, mutate_tree

SEED = 20261201
"""Seed of all mutations, so that runs are reproducible."""

MUTATED_FILES = 1500
"""Number of mutations per file."""

CHANNELS = '[channels]\nenabled = true\nlisten = "127.0.0.1:PORT"\n'
VRRP = (
    '[vrrp]\nenabled = true\nvrid = 7\npriority = 100\nlisten = "127.0.0.1:PORT"\n'
    'peers = ["127.0.0.1:PEER"]\naddresses = ["127.0.0.1"]\n'
)


@pytest.fixture
def running(tmp_path: Path) -> Iterator[RunningProxy]:
    with started_proxy(tmp_path, broker_toml=CHANNELS, admin_server=True, inherits_listener=True) as started:
        yield started


@pytest.mark.parametrize("frontend", ["line-protocol", "channels", "admin"])
def test_program_survives_hostile_clients_and_operators(running: RunningProxy, frontend: str) -> None:
    endpoints = HostileEndpoints(running.endpoints, SEED)
    run = HostileRun(running, SEED)
    endpoints.start()
    try:
        run.send_round(frontend, 150)
        run.take_baseline()
        for _ in range(2):
            run.send_round(frontend, 150)
    finally:
        endpoints.stop()


def test_program_survives_hostile_discovery(running: RunningProxy) -> None:
    run = HostileRun(running, SEED)
    rng = random.Random(SEED)
    run.take_baseline()
    listing = running.discovery.listing()
    for _ in range(3):
        answers = [fuzz_inputs.discovery_answer(rng, listing) for _ in range(6)]
        run.send_lists(answers, lambda: running.discovery.calls.get(timeout=20))
    running.discovery.rev = 1 << 70  # newer than the version of any mutated list
    running.discovery.change()
    # Mutated lists may have the endpoint draining and be fetched again, so wait until this list is received.
    running.logged(f"event=endpoint-list-received form=full rev={running.discovery.rev} entries=1 draining=0")
    assert running.establish()


def test_program_survives_hostile_peer_process(running: RunningProxy) -> None:
    run = HostileRun(running, SEED)
    rng = random.Random(SEED)
    run.take_baseline()
    path = str(running.config.parent / "linnetshift-n0.sock")
    run.send_takeovers(path, [fuzz_inputs.takeover_lines(rng) for _ in range(60)])
    assert running.establish()


def test_program_survives_hostile_vrrp_peers(tmp_path: Path) -> None:
    rng = random.Random(SEED)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind(("127.0.0.1", 0))
        broker_toml = VRRP.replace("PEER", str(sender.getsockname()[1]))
        with started_proxy(tmp_path, broker_toml=broker_toml, admin_server=True) as running:
            run = HostileRun(running, SEED)
            run.take_baseline()
            for _ in range(4):
                run.send_datagrams([fuzz_inputs.vrrp_advertisement(rng, 7) for _ in range(100)], sender)


def proxy_file() -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "8c1f",
        "known": {"rev": 1, "all": True, "targets": []},
        "settings": settings(),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "admin_addr": "127.0.0.1:3",
    }


def rejection_texts(read: Callable[..., object], *arguments: object) -> list[str]:
    """The text of the ConfigurationError that rejects a file; empty if the file is read."""
    try:
        read(*arguments)
    except ConfigurationError as error:
        return [str(error)]
    return []


def test_mutated_proxy_file_is_read_or_rejected_in_one_line(tmp_path: Path) -> None:
    # Any other outcome would be a crash at start or at reload.
    rng = random.Random(SEED)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(proxy_file()))
    last_good = read_config(str(path))
    rejections = []
    for _ in range(MUTATED_FILES):
        path.write_bytes(corrupt_bytes(rng, json.dumps(mutate_tree(rng, proxy_file())).encode()))
        rejections += rejection_texts(read_config, str(path), None)
        rejections += rejection_texts(read_config, str(path), last_good)
    assert 0 < len(rejections) < 2 * MUTATED_FILES
    assert [text for text in rejections if "\n" in text] == []


def test_mutated_broker_file_is_read_or_rejected_in_one_line(tmp_path: Path) -> None:
    rng = random.Random(SEED)
    path = tmp_path / "broker.toml"
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
    rejections = []
    for _ in range(MUTATED_FILES):
        try:
            text = tomli_w.dumps(mutate_tree(rng, tree)).encode()
        except (TypeError, ValueError, AttributeError, UnicodeEncodeError):
            continue  # not representable in TOML
        path.write_bytes(corrupt_bytes(rng, text))
        rejections += [part.reason for part in read_broker_file(str(path)).unusable]
    assert rejections
    assert [text for text in rejections if "\n" in text] == []


class ConnectionAttempt(OutboundConnection):
    is_connected: bool | None = None

    def run(self, address: tuple[str, int]) -> ActorCoroutine:
        self.is_connected = yield from self.connect(address, S)


def test_attempt_cancelled_in_the_turn_in_which_it_connects_is_no_fault() -> None:
    # Occurs on both frontends when the client disconnects in the turn in which the attempt connects.
    loop = Loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        attempt = ConnectionAttempt(loop)
        attempt.start(attempt.run(listener.getsockname()))
        assert attempt.stream is not None
        attempt.post(Io(select.EPOLLOUT))
        attempt.stream.close()
        attempt.post(Stop())
        loop.call_later(0, lambda: None)
        loop.run_once()
    assert attempt.is_connected is False
    assert attempt.coroutine is None


def test_each_check_reports_its_violation(running: RunningProxy) -> None:
    # Makes each check fail once, so that none passes vacuously.
    run = HostileRun(running, SEED)
    run.take_baseline()
    run.baseline_descriptors -= 5
    with pytest.raises(InvariantViolationError, match="descriptors"):
        run.check([])
    run.take_baseline()
    run.baseline_mib -= 100
    with pytest.raises(InvariantViolationError, match="MiB"):
        run.check([])
    running.lines.put("level=error event=fault trace=...")
    with pytest.raises(InvariantViolationError, match="event=fault"):
        run.check([])
    with pytest.raises(InvariantViolationError, match="timed-out"):
        run.send_inputs([PeerInput(running.endpoints[0].port, (b"nobody answers",))])
    running.process.kill()
    running.process.wait()
    with pytest.raises(InvariantViolationError, match="ended"):
        run.check([])


def test_inputs_of_a_failing_round_are_shrunk() -> None:
    inputs = [PeerInput(1, (b"x" * n,)) for n in range(20)]
    inputs[13] = PeerInput(1, (b"....bad....",))
    shrunk = shrink_inputs(inputs, lambda inputs: any(b"bad" in b"".join(each.pieces) for each in inputs))
    assert len(shrunk) == 1
    assert b"".join(shrunk[0].pieces) == b"....bad"
