"""Starts the real program among emulated clients, endpoints and discovery; all waits are bounded."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

from conftest import MS, S, raw_settings
from connections import RESET as RESET
from connections import WAIT as WAIT
from connections import Conn as Conn
from connections import Terminal as Terminal
from emulated_peers import DiscoveryServer as DiscoveryServer
from emulated_peers import Kept as Kept
from emulated_peers import Listener as Listener
from running_proxy import OPEN as OPEN
from running_proxy import RunningProxy as RunningProxy

from linnetshift.config.broker_file import read_broker_file
from linnetshift.config.proxy_file import read_config
from linnetshift.proxy import Proxy
from rig.free_port import free_port as free_port

ROOT = Path(__file__).parent.parent
"""Root of the repository, where the program is started."""

STARTED = "event=(process-)?started"
"""Log line of a start; versions before December 2026, which bench/ compares with, log `started`."""


def settings(**changes: Any) -> dict[str, Any]:
    """The settings object of the proxy file; a changed object is merged key by key."""
    base = raw_settings(discovery="ask", tenants=[{"name": "acme"}, {"name": "other"}], zones=["a"])
    base["rules"]["mustAskInNs"] = 1 * S
    base["allowed"]["connectTimeoutNs"] = 500 * MS
    for key, value in changes.items():
        base[key] = {**base.get(key, {}), **value} if isinstance(value, dict) else value
    return base


def uncollected() -> Sequence[str]:
    """Command of the program with its garbage collector off, so that only reference counting frees."""
    start = "import gc, runpy; gc.disable(); runpy.run_module('linnetshift', run_name='__main__')"
    return sys.executable, "-c", start


def launch(
    config: str,
    own: str = "/dev/null",
    before: Callable[[], None] | None = None,
    stderr: int = subprocess.PIPE,
    held: socket.socket | None = None,
    command: Sequence[str] = (sys.executable, "-m", "linnetshift"),
    program: Path = ROOT,
    **env: str,
) -> subprocess.Popen[str]:
    """Start the program of the checkout `program`; `own` is the broker file.

    `held` is a listening socket that it inherits, `before` runs in the child before the program.
    """
    if held is not None:
        env = {"GW_LISTEN_FD": str(held.fileno()), **env}
    return subprocess.Popen(
        [*command],
        cwd=program,
        env={
            **os.environ,
            "GW_CONFIG": config,
            "LINNETSHIFT_BROKER": own,
            "TMPDIR": str(Path(config).parent),
            **env,
        },
        stderr=stderr,
        text=True,
        preexec_fn=before,
        pass_fds=[held.fileno()] if held is not None else [],
    )


@contextmanager
def successor_of(old: RunningProxy) -> Iterator[RunningProxy]:
    """The program started again beside the old one, with an admin address of its own."""
    admin = free_port()
    process = launch(
        str(old.config),
        str(old.config.parent / "broker.toml"),
        held=old.held,
        GW_ADMIN_ADDR=f"127.0.0.1:{admin}",
    )
    new = RunningProxy(process, old.port, old.extra_port)
    new.listeners = old.listeners
    new.discovery = old.discovery
    new.config = old.config
    new.held = old.held
    new.admin_port = admin
    try:
        new.logged(STARTED)
        yield new
    finally:
        process.kill()
        process.wait(WAIT)


class Inside(RunningProxy):
    """The program in a thread of this process, where its objects can be inspected."""

    def __init__(self, program: Proxy, port: int, extra_port: int) -> None:
        self.program = program
        self.port = port
        self.extra_port = extra_port
        self.thread = threading.Thread(target=program.loop.run, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """End the loop, which sees it at its next review, and close the listening sockets."""
        self.program.loop.stopped = True
        self.thread.join(WAIT)
        assert not self.thread.is_alive()
        for sock in (self.program.frontend, self.program.channels, self.program.admin_server.acceptor):
            if sock is not None:
                sock.close()


@contextmanager
def inside(folder: Path, own: str = "", **how: Any) -> Iterator[Inside]:
    """Like `proxy`, in a thread of this process; signals do not reach it."""
    with world(folder, own=own, **how) as made:
        config = read_config(str(made.config))
        broker_file = read_broker_file(str(made.own), config.names, config.settings)
        running = Inside(Proxy.start(config, broker_file), made.port, made.extra)
        made.attach(running)
        try:
            yield running
        finally:
            running.stop()


class World(NamedTuple):
    """The emulated peers of a proxy, its ports and its files."""

    listeners: list[Listener]
    discovery: DiscoveryServer
    port: int
    extra: int
    admin: int
    config: Path
    own: Path

    def attach(self, running: RunningProxy) -> None:
        """Make these the peers of a running proxy."""
        running.listeners = self.listeners
        running.discovery = self.discovery
        running.config = self.config
        running.admin_port = self.admin


@contextmanager
def world(
    folder: Path, endpoints: int = 1, own: str = "", admin_server: bool = False, **changes: Any
) -> Iterator[World]:
    """Emulated peers and files of a proxy that is not started yet.

    `own` is the text of the broker file, PORT in it the proxy's `extra_port`; `admin_server` opens the
    operators' address; `changes` are those to the settings.
    """
    listeners = [Listener(f"s-{n}") for n in range(endpoints)]
    discovery = DiscoveryServer(listeners)
    port = free_port()
    extra = free_port()
    admin = free_port()
    config = folder / "config.json"
    own_file = folder / "broker.toml"
    config.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": discovery.address,
                "seed": "8c1f30d27a5be964",
                "known": discovery.listing(),
                "settings": settings(**changes),
                **({"admin_addr": f"127.0.0.1:{admin}"} if admin_server else {}),
            }
        )
    )
    own_file.write_text(own.replace("PORT", str(extra)))
    try:
        yield World(listeners, discovery, port, extra, admin, config, own_file)
    finally:
        discovery.server.shutdown()
        for listener in listeners:
            listener.sock.close()


@contextmanager
def proxy(
    folder: Path,
    endpoints: int = 1,
    own: str = "",
    before: Callable[[], None] | None = None,
    admin_server: bool = False,
    held: bool = False,
    command: Sequence[str] = (sys.executable, "-m", "linnetshift"),
    program: Path = ROOT,
    **changes: Any,
) -> Iterator[RunningProxy]:
    """The program, running among the emulated peers of `world`.

    With `held` it inherits the listening socket of the line protocol; `command` starts the program of the
    checkout `program`.
    """
    with world(folder, endpoints, own, admin_server, **changes) as made:
        listener = socket.create_server(("127.0.0.1", made.port), backlog=1024) if held else None
        process = launch(
            str(made.config), str(made.own), before, held=listener, command=command, program=program
        )
        running = RunningProxy(process, made.port, made.extra)
        running.held = listener
        made.attach(running)
        try:
            running.logged(STARTED)
            yield running
        finally:
            running.process.kill()
            running.process.wait(WAIT)
