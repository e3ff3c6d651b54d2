"""Starts the real program with emulated endpoints and discovery; all waits time out."""

from __future__ import annotations

import json
import os
import resource
import socket
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

from conftest import MS, S, raw_settings
from connections import WAIT_S
from emulated_peers import DiscoveryServer, EmulatedEndpoint
from running_proxy import RunningProxy

from linnetshift.config.broker_file import read_broker_file
from linnetshift.config.proxy_file import read_config
from linnetshift.proxy import Proxy
from rig.free_port import free_port

ROOT = Path(__file__).parent.parent
"""Root of the repository, where the program is started."""

STARTED_PATTERN = "event=(process-)?started"
"""Log line of a start; versions before December 2026, to which bench/ compares, log `started`."""

CHANNELS_ENABLED = '[channels]\nenabled = true\nlisten = "127.0.0.1:PORT"\n'
"""Broker file that enables the channels frontend; PORT is replaced by its port."""


def settings(**changes: Any) -> dict[str, Any]:
    """The settings object of the proxy file, with `changes`; a changed object is merged key by key."""
    base = raw_settings(discovery="ask", tenants=[{"name": "acme"}, {"name": "other"}], zones=["a"])
    base["rules"]["mustAskInNs"] = 1 * S
    base["allowed"]["connectTimeoutNs"] = 500 * MS
    for key, value in changes.items():
        base[key] = {**base.get(key, {}), **value} if isinstance(value, dict) else value
    return base


def command_without_collector() -> Sequence[str]:
    """Command of the program without cyclic garbage collection: only reference counting frees memory."""
    start = "import gc, runpy; gc.disable(); runpy.run_module('linnetshift', run_name='__main__')"
    return sys.executable, "-c", start


def launch_process(
    config: str,
    broker_file: str = "/dev/null",
    before: Callable[[], None] | None = None,
    stderr: int = subprocess.PIPE,
    listener: socket.socket | None = None,
    command: Sequence[str] = (sys.executable, "-m", "linnetshift"),
    program: Path = ROOT,
    **env: str,
) -> subprocess.Popen[str]:
    """Start the program from the checkout `program`.

    It inherits the listening socket `listener`; `before` is called in the child before the program starts.
    """
    if listener is not None:
        env = {"GW_LISTEN_FD": str(listener.fileno()), **env}
    return subprocess.Popen(
        [*command],
        cwd=program,
        env={
            **os.environ,
            "GW_CONFIG": config,
            "LINNETSHIFT_BROKER": broker_file,
            "TMPDIR": str(Path(config).parent),
            **env,
        },
        stderr=stderr,
        text=True,
        preexec_fn=before,
        pass_fds=[listener.fileno()] if listener is not None else [],
    )


def limit_descriptors(limit: int = 40) -> None:
    """Limit the open descriptors of this process; called in the child before the program starts."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))


@contextmanager
def successor_of(old: RunningProxy) -> Iterator[RunningProxy]:
    """Start a successor while the predecessor runs, with an admin address of its own."""
    admin_port = free_port()
    process = launch_process(
        str(old.config),
        str(old.config.parent / "broker.toml"),
        listener=old.inherited_listener,
        GW_ADMIN_ADDR=f"127.0.0.1:{admin_port}",
    )
    new = RunningProxy(process, old.port, old.channels_port)
    new.endpoints = old.endpoints
    new.discovery = old.discovery
    new.config = old.config
    new.inherited_listener = old.inherited_listener
    new.admin_port = admin_port
    try:
        new.logged(STARTED_PATTERN)
        yield new
    finally:
        process.kill()
        process.wait(WAIT_S)


class ProxyInThread(RunningProxy):
    """The program in a thread of this process, so that its objects can be inspected."""

    def __init__(self, program: Proxy, port: int, channels_port: int) -> None:
        self.program = program
        self.port = port
        self.channels_port = channels_port
        self.thread = threading.Thread(target=program.loop.run, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """Stop the loop, which reads the flag once per turn, and close the listening sockets."""
        self.program.loop.stopped = True
        self.thread.join(WAIT_S)
        assert not self.thread.is_alive()
        for sock in (self.program.frontend, self.program.channels, self.program.admin_server.acceptor):
            if sock is not None:
                sock.close()


@contextmanager
def proxy_in_thread(folder: Path, broker_toml: str = "", **changes: Any) -> Iterator[ProxyInThread]:
    """Like `started_proxy`, in a thread of this process; signals do not reach it."""
    with proxy_environment(folder, broker_toml=broker_toml, **changes) as environment:
        config = read_config(str(environment.config))
        broker_file = read_broker_file(str(environment.broker_file))
        running = ProxyInThread(Proxy.start(config, broker_file), environment.port, environment.channels_port)
        environment.attach_to(running)
        try:
            yield running
        finally:
            running.stop()


class ProxyEnvironment(NamedTuple):
    """The emulated peers of a proxy, its ports and its files."""

    endpoints: list[EmulatedEndpoint]
    discovery: DiscoveryServer
    port: int
    channels_port: int
    admin_port: int
    config: Path
    broker_file: Path

    def attach_to(self, running: RunningProxy) -> None:
        """Set the peers, proxy file and admin port of a running proxy."""
        running.endpoints = self.endpoints
        running.discovery = self.discovery
        running.config = self.config
        running.admin_port = self.admin_port


@contextmanager
def proxy_environment(
    folder: Path, endpoints: int = 1, broker_toml: str = "", admin_server: bool = False, **changes: Any
) -> Iterator[ProxyEnvironment]:
    """Create the emulated peers and the files of a proxy that is not started yet.

    `broker_toml` is the text of the broker file, in which PORT stands for the port for channels;
    `admin_server` enables the admin address; `changes` are those to the settings.
    """
    emulated_endpoints = [EmulatedEndpoint(f"s-{n}") for n in range(endpoints)]
    discovery = DiscoveryServer(emulated_endpoints)
    port = free_port()
    channels_port = free_port()
    admin_port = free_port()
    config = folder / "config.json"
    broker_file = folder / "broker.toml"
    config.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": discovery.address,
                "seed": "8c1f30d27a5be964",
                "known": discovery.listing(),
                "settings": settings(**changes),
                **({"admin_addr": f"127.0.0.1:{admin_port}"} if admin_server else {}),
            }
        )
    )
    broker_file.write_text(broker_toml.replace("PORT", str(channels_port)))
    try:
        yield ProxyEnvironment(
            emulated_endpoints, discovery, port, channels_port, admin_port, config, broker_file
        )
    finally:
        discovery.server.shutdown()
        for endpoint in emulated_endpoints:
            endpoint.sock.close()


@contextmanager
def started_proxy(
    folder: Path,
    endpoints: int = 1,
    broker_toml: str = "",
    before: Callable[[], None] | None = None,
    admin_server: bool = False,
    inherits_listener: bool = False,
    command: Sequence[str] = (sys.executable, "-m", "linnetshift"),
    program: Path = ROOT,
    **changes: Any,
) -> Iterator[RunningProxy]:
    """Run the program with the emulated peers of `proxy_environment`.

    With `inherits_listener` it inherits the listening socket of the line protocol; `command` is run in the
    checkout `program`.
    """
    with proxy_environment(folder, endpoints, broker_toml, admin_server, **changes) as environment:
        listener = (
            socket.create_server(("127.0.0.1", environment.port), backlog=1024) if inherits_listener else None
        )
        process = launch_process(
            str(environment.config),
            str(environment.broker_file),
            before,
            listener=listener,
            command=command,
            program=program,
        )
        running = RunningProxy(process, environment.port, environment.channels_port)
        running.inherited_listener = listener
        environment.attach_to(running)
        try:
            running.logged(STARTED_PATTERN)
            yield running
        finally:
            running.process.kill()
            running.process.wait(WAIT_S)
