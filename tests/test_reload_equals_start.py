"""A reload, a start and a hot restart lead to the same configuration, for sequences of files drawn by seed.

Guards against what a process remembers of former files: a reload that passes where a start of the same files
fails, or that leads to another configuration.
"""

from __future__ import annotations

import json
import random
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from conftest import raw_settings

from linnetshift.broker.contracts import Contract
from linnetshift.config.loader import load_broker_file, load_proxy_file
from linnetshift.endpoint_list.names import UNKNOWN_NUMBER
from linnetshift.lifecycle import reload
from linnetshift.lifecycle.broker_file_state import import_broker_file
from linnetshift.lifecycle.takeover_messages import encode_message
from linnetshift.lifecycle.takeover_socket import PredecessorState
from linnetshift.proxy import Proxy
from linnetshift.util.token_bucket import TokenBucket
from rig.free_port import free_port

SEEDS = range(12)
RELOADS = 8
CLASSES = ["feed", "late", "new", "rare"]
TEAMS = ["acme", "other", "third"]
ZONES = ["a", "b", "c"]
KINDS = ["large", "small"]
BROKEN_SHARE = 0.2  # of the drawn broker files
TURNS_FOR_DUE_TIMERS = 10


class DrawnFiles:
    """Writes a proxy file and a broker file with drawn contents."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.random = random.Random(seed)
        self.config_path = folder / "config.json"
        self.broker_path = folder / "broker.toml"
        self.addresses = [f"127.0.0.1:{free_port()}" for _ in range(2)]
        self.version = 0
        self.is_broken = False

    def names(self, universe: list[str], at_least: int = 0) -> list[str]:
        """Some of the names, in any order."""
        return self.random.sample(universe, self.random.randint(at_least, len(universe)))

    def write(self, may_be_broken: bool) -> None:
        """Write both files anew."""
        self.version += 1
        self.config_path.write_text(json.dumps(self.proxy_document()))
        self.is_broken = may_be_broken and self.random.random() < BROKEN_SHARE
        self.broker_path.write_text(self.broker_text())

    def proxy_document(self) -> dict[str, Any]:
        zones = self.names(ZONES, 1)
        service = raw_settings()["services"][0]
        services = [
            {**service, "name": name, "effect": self.random.choice(["once", "repeatable"])}
            for name in self.names(CLASSES, 1)
        ]
        settings = raw_settings(
            discovery=self.random.choice(["ask", "push"]),
            services=services,
            tenants=[{"name": name} for name in self.names(TEAMS)],
            zones=zones,
            zone=self.random.randrange(len(zones)),
            models=self.names(KINDS),
        )
        settings["allowed"]["maxAttempts"] = self.random.randint(1, 4)
        targets = [
            {
                "uid": f"s-{number}",
                "endpoint": f"127.0.0.1:{number + 1}",
                "az": self.random.choice(ZONES),
                "model": self.random.choice(KINDS),
                "state": "SERVING",
            }
            for number in range(3)
        ]
        return {
            "listen": "127.0.0.1:1",
            "discovery": self.random.choice(self.addresses),
            "known": {"rev": self.version, "all": True, "targets": targets},
            "settings": settings,
        }

    def broker_text(self) -> str:
        parts = []
        if self.random.random() < 0.5:
            parts.append(f'[channels]\nenabled = true\nlisten = "{self.random.choice(self.addresses)}"')
        for team in self.names([*TEAMS, "nobody"]):
            parts.append(f'[[contract]]\nteam = "{team}"\nconcurrency = {self.random.randint(1, 3)}')
            if self.random.random() < 0.7:
                parts.append(f"services = {json.dumps(self.names([*CLASSES, 'nothing']))}")
            if self.random.random() < 0.5:
                parts.append(f"rate_per_s = {self.random.randint(1, 3)}")
            if self.is_broken and self.random.random() < 0.5:
                parts.append("retries_per_s = -1")
        if self.is_broken and self.random.random() < 0.5:
            parts.append("[[[")
        return "\n".join(parts) + "\n"


def contract_terms(proxy: Proxy, contract: Contract) -> tuple[object, ...]:
    """What a contract allows: names of services that can be requested, and its limits."""

    def limit(bucket: TokenBucket | None) -> tuple[float, float] | None:
        return None if bucket is None else (bucket.rate_per_s, bucket.capacity)

    allowed = [
        name
        for name, number in sorted(proxy.names.classes.items())
        if contract.services is None or number in contract.services
    ]
    return (allowed, limit(contract.rate), limit(contract.retries), contract.concurrency)


def admission(proxy: Proxy, team: str) -> object:
    """The terms on which the team's requests are admitted; None if they are rejected, True without limits."""
    contracts = proxy.broker.contracts
    contract = contracts.teams.get(proxy.names.tenants.get(team, UNKNOWN_NUMBER))
    if contract is not None:
        return contract_terms(proxy, contract)
    return contracts.admits_other_teams or not (contracts.teams or contracts.unlisted_teams) or None


def name_of(numbers: dict[str, int], number: int) -> str | None:
    """The listed name that has the number."""
    return next((name for name, known in numbers.items() if known == number), None)


def configuration(proxy: Proxy) -> dict[str, object]:
    """The configuration that is in force, by names: numbers differ between processes."""
    settings, names = proxy.config.settings, proxy.names
    entries = proxy.broker.administrative_drains.listed.values()
    return {
        "settings": replace(settings, classes=(), offered_numbers=(), zone=0),
        "offered": settings.offered,
        "classes": {name: settings.classes[number] for name, number in names.classes.items()},
        "teams": {team: (team in names.tenants, admission(proxy, team)) for team in [*TEAMS, "nobody"]},
        "own zone": name_of(names.zones, settings.zone),
        "endpoints": {
            entry.endpoint: (name_of(names.zones, entry.zone), name_of(names.kinds, entry.kind))
            for entry in entries
        },
        "names": (set(names.zones), set(names.kinds)),
        "discovery": proxy.config.discovery,
        "channels": proxy.activation.address,
    }


@contextmanager
def started(predecessor: Proxy | None = None) -> Iterator[Proxy]:
    """A proxy that has read the files, and taken over from a predecessor if there is one."""
    own_end, peer_end = socket.socketpair()
    listener = socket.create_server(("127.0.0.1", 0))
    state = None
    if predecessor is not None:
        exported = predecessor.local_process.export_state()
        line = encode_message(exported._replace(descriptors={}))
        state = PredecessorState(own_end, json.loads(line), b"", [])
    broker_file = load_broker_file(import_broker_file(state))
    proxy = Proxy.start(load_proxy_file(), broker_file, listener, None, state)
    try:
        yield proxy
    finally:
        proxy.activation.bind_retry.cancel()
        proxy.frontend.close()
        proxy.channels.close()
        proxy.loop.epoll.close()
        own_end.close()
        peer_end.close()


@pytest.mark.parametrize("seed", SEEDS)
def test_reloaded_started_and_replacing_process_have_one_configuration(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against names, classes or contracts that only a reloaded process has."""
    files = DrawnFiles(tmp_path, seed)
    files.write(may_be_broken=False)
    monkeypatch.setenv("GW_CONFIG", str(files.config_path))
    monkeypatch.setenv("LINNETSHIFT_BROKER", str(files.broker_path))
    monkeypatch.setattr(reload, "DISCONTINUED_NAME_GRACE_NS", 0)
    with started() as reloaded:
        for number in range(RELOADS):
            files.write(may_be_broken=True)
            config_before = reloaded.config
            reloaded.reloader.reload()
            assert reloaded.config is not config_before, f"reload {number} was rejected"
            for _ in range(TURNS_FOR_DUE_TIMERS):
                reloaded.loop._fire_due_timers()
            with started(reloaded) as successor:
                assert configuration(successor) == configuration(reloaded), f"after reload {number}"
            if files.is_broken:
                continue  # a start has no last good version of the broken parts
            with started() as fresh:
                assert configuration(fresh) == configuration(reloaded), f"after reload {number}"
