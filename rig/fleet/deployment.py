"""Processes and emulated peers of a run."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable
from pathlib import Path
from typing import Any

from rig.fleet.model_discovery import DiscoveryServer, ListEntries
from rig.fleet.model_endpoint import DROP_INTERVAL_S, ModelEndpoint
from rig.fleet.node_process import NodeProcess
from rig.fleet.observations import Observations, RunClock
from rig.fleet.scenario import Scenario


class BackgroundTasks:
    """Background tasks, which the run awaits at its end."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task."""
        self.add([asyncio.ensure_future(work)])

    def add(self, tasks: Iterable[asyncio.Task[None]]) -> None:
        """Add tasks that are already running."""
        for task in tasks:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def wait(self) -> None:
        """Wait until all tasks are done, including those that they start."""
        while self._tasks:
            await asyncio.wait(self._tasks)


class Deployment:
    """The nodes, endpoints and discovery of a scenario, and their observations."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario = scenario
        self.folder = folder
        self.clock = RunClock()
        self.observations = Observations()
        self.discovery = DiscoveryServer(scenario, self.observations, self.clock)
        self.endpoints: dict[str, ModelEndpoint] = {}
        """Endpoints by uid, in the order of their numbers in a scenario."""

        self.nodes: list[NodeProcess] = []
        self.background = BackgroundTasks()

    async def open(self) -> None:
        """Open all listeners and links, and set each node's initial list."""
        await self.discovery.open()
        for number in range(self.scenario.nodes):
            node = NodeProcess(number, self.scenario, self.folder, self.discovery)
            self.nodes.append(node)
            await node.open()
        for number in range(self.scenario.endpoints.count):
            await self.add_endpoint(f"s-{number}", is_warming_up=False)
        for node in self.nodes:
            self.discovery.views[node.number] = self.list_entries(node.number)

    async def start(self) -> None:
        """Start all nodes concurrently, and restart the clock once all are ready."""
        await asyncio.gather(*(node.start() for node in self.nodes))
        self.clock.restart()

    async def close(self) -> None:
        """Stop all processes, links and listeners."""
        for node in self.nodes:
            await node.close()
        for endpoint in self.endpoints.values():
            endpoint.stop()
        self.discovery.close()

    async def add_endpoint(self, uid: str, is_warming_up: bool) -> None:
        """Start an endpoint; it is listed from the next `publish_list` on."""
        endpoint = ModelEndpoint(uid, self.scenario, self.observations, self.clock, is_warming_up)
        await endpoint.open()
        for node in self.nodes:
            await node.add_endpoint(uid, endpoint.listeners.ports[node.number])
        self.endpoints[uid] = endpoint  # last: a list that is published meanwhile needs all links

    def endpoint_uids(self, numbers: Iterable[int]) -> list[str]:
        """The uids of the endpoints with these numbers."""
        uids = list(self.endpoints)
        return [uids[number] for number in numbers]

    def list_entries(self, node: int) -> ListEntries:
        """The list for the node, with the addresses of its own links to the endpoints."""
        links = self.nodes[node].endpoint_links
        return {
            uid: {
                "uid": uid,
                "endpoint": links[uid].address,
                "az": "a",
                "model": "m",
                "pod_group": number,
                "state": endpoint.state,
                "capacity_hint": self.scenario.endpoints.cores,
                "boot_ms": endpoint.boot_ms,
            }
            for number, (uid, endpoint) in enumerate(self.endpoints.items())
            if endpoint.state != "DELETED"
        }

    def publish_list(self) -> None:
        """Have discovery publish the current list."""
        self.background.add(self.discovery.publish(self.list_entries))

    async def drop_overload(self) -> None:
        """Have overloaded endpoints drop connections periodically, until cancelled."""
        while True:
            await asyncio.sleep(DROP_INTERVAL_S)
            for endpoint in self.endpoints.values():
                endpoint.drop_overload()
