"""A process of the program, with a link that can have faults to each of its peers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from rig.fleet.faulty_links import LinkProxy
from rig.fleet.model_discovery import DiscoveryServer
from rig.fleet.node_settings import node_settings
from rig.fleet.scenario import Scenario
from rig.free_port import free_port

ROOT = Path(__file__).parent.parent.parent
"""Working directory of the started processes: the root of the repository."""

START_TIMEOUT_S = 20.0
"""Time limit for a process to become ready, in seconds; the run fails beyond it."""

READY_POLL_S = 0.02
"""Interval at which readiness is checked, in seconds."""

FAILING_CALLS_SOURCE = ROOT / "rig" / "shims" / "failing_calls.c"
"""Source of a preloaded library that makes some system calls fail."""


def build_failing_calls(folder: Path) -> Path:
    """Compile the library with failing system calls into the folder, unless it exists; returns its path."""
    library = folder / "failing_calls.so"
    if not library.exists():
        command = ["cc", "-O2", "-shared", "-fPIC", "-o", str(library), str(FAILING_CALLS_SOURCE), "-ldl"]
        subprocess.run(command, check=True)
    return library


class NodeProcess:
    """A node: its links, which last for the run, and its process, which may be restarted."""

    def __init__(self, number: int, scenario: Scenario, folder: Path, discovery: DiscoveryServer) -> None:
        self.number = number
        self.scenario = scenario
        self.folder = folder
        self.discovery = discovery
        self.port = free_port()
        self.client_link = LinkProxy(("127.0.0.1", self.port))
        self.discovery_link = LinkProxy(("127.0.0.1", discovery.listeners.ports[number]))
        self.endpoint_links: dict[str, LinkProxy] = {}
        """Links by the endpoint's uid."""

        self.process: asyncio.subprocess.Process | None = None
        self.receives_clients = False
        """Whether clients connect to this node; stays True after a crash until the failure is detected."""

        self.crashes: list[str] = []
        self._watchers: set[asyncio.Task[None]] = set()
        self._is_closing = False

    async def open(self) -> None:
        """Open the links from clients and to discovery."""
        await self.client_link.open()
        await self.discovery_link.open()

    async def add_endpoint(self, uid: str, port: int) -> None:
        """Open a link to an endpoint."""
        link = LinkProxy(("127.0.0.1", port))
        self.endpoint_links[uid] = link
        await link.open()

    def write_config(self) -> Path:
        """Write the proxy file with the node's current list; returns its path."""
        config_path = self.folder / f"n{self.number}.json"
        config_path.write_text(json.dumps(self._config()))
        return config_path

    async def move_discovery(self) -> LinkProxy:
        """Open a link at another address to discovery; returns the former link, which the caller closes."""
        former_link = self.discovery_link
        self.discovery_link = LinkProxy(former_link.target)
        await self.discovery_link.open()
        return former_link

    async def start(self, reuses_config: bool = False) -> None:
        """Start a process and wait until it is ready; raises TimeoutError.

        With `reuses_config`, the proxy file of the previous start is used, with the list in it.
        """
        config_path = self.folder / f"n{self.number}.json"
        if reuses_config:
            self.discovery.record_new_process(self.number)
        else:
            self.write_config()
            self.discovery.record_view(self.number)
        env = {
            **os.environ,
            "GW_CONFIG": str(config_path),
            "LINNETSHIFT_BROKER": os.devnull,
            "TMPDIR": str(self.folder),
        }
        if self.scenario.failing_calls_per_mille:
            env |= {
                "LD_PRELOAD": str(build_failing_calls(self.folder)),
                "FAILING_CALLS_SEED": f"{self.scenario.seed * 1000 + self.number}",
                "FAILING_CALLS_PER_MILLE": str(self.scenario.failing_calls_per_mille),
            }
        with open(self.folder / f"n{self.number}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "linnetshift", cwd=ROOT, env=env, stderr=log
            )
        self._watchers.add(asyncio.ensure_future(self._watch(self.process)))
        await asyncio.wait_for(self._wait_until_ready(), START_TIMEOUT_S)
        self.receives_clients = True

    def _config(self) -> dict[str, object]:
        return {
            "name": f"n{self.number}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.discovery_link.address,
            "seed": f"{self.scenario.seed * 1000 + self.number:x}",
            "known": self.discovery.document(self.number),
            "settings": node_settings(self.scenario, self.number),
        }

    async def _wait_until_ready(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"PING\r\n")
                answer = await reader.readline()
                writer.close()
                if answer == b"PONG\r\n":
                    return
            await asyncio.sleep(READY_POLL_S)

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Record an exit other than by SIGKILL or with status 0; clients notice any exit late."""
        status = await process.wait()
        if self.process is not process or self._is_closing:
            return
        if status not in (-signal.SIGKILL, 0):
            self.crashes.append(f"n{self.number}: status {status}")
        await asyncio.sleep(self.scenario.failure_detection_s)
        if self.process is process:
            self.receives_clients = False

    async def close(self) -> None:
        """Kill the process and close all links."""
        self._is_closing = True
        for watcher in self._watchers:
            watcher.cancel()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for link in (self.client_link, self.discovery_link, *self.endpoint_links.values()):
            await link.close()
