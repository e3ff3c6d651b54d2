"""Faults of a scenario, injected into a deployment at their times."""

from __future__ import annotations

import asyncio
import math
import signal

from rig.fleet.deployment import Deployment
from rig.fleet.faulty_links import LinkProxy
from rig.fleet.listeners import NodeListeners
from rig.fleet.node_process import NodeProcess
from rig.fleet.observations import Interval
from rig.fleet.scenario import Fault

RECOVERY_S = 2.0
"""How long past its fault a node still has an outage: failure detection and the start, in seconds."""


class FaultInjector:
    """Injects faults, and records those that excuse a node or an endpoint."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment

    async def inject(self, fault: Fault) -> None:
        """Wait for the fault's time, inject it, and end it after its duration."""
        clock = self.deployment.clock
        await asyncio.sleep(max(0.0, fault.at_s - clock()))
        self._record(fault)
        match fault.kind:
            case "kill" | "pause" | "restart":
                nodes = [self.deployment.nodes[number] for number in fault.nodes]
                await asyncio.gather(*(self._fail_node(node, fault) for node in nodes))
            case "drain" | "replace":
                await self._drain_endpoints(fault)
            case "crash":
                await self._crash_endpoints(fault)
            case "slow":
                await self._slow_endpoints(fault)
            case _:
                await self._disturb_links(fault)

    def _nodes_of(self, fault: Fault) -> list[NodeProcess]:
        """The nodes that the fault names; all where it names none."""
        nodes = self.deployment.nodes
        return [nodes[number] for number in fault.nodes] or nodes

    def _record(self, fault: Fault) -> None:
        observations = self.deployment.observations
        begin_s = self.deployment.clock()
        end_s = begin_s + fault.duration_s if fault.duration_s else math.inf
        if not fault.endpoints and not fault.discovery:
            for node in self._nodes_of(fault):
                observations.node_outages[node.number].append(Interval(begin_s, end_s + RECOVERY_S))
        if fault.kind in ("cut", "cut-forward"):
            for node in self._nodes_of(fault):
                for uid in self.deployment.endpoint_uids(fault.endpoints):
                    observations.link_cuts[node.number, uid].append(Interval(begin_s, end_s))

    async def _fail_node(self, node: NodeProcess, fault: Fault) -> None:
        process = node.process
        assert process is not None
        if fault.kind == "pause":
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.duration_s)
            process.send_signal(signal.SIGCONT)
            return
        if fault.kind == "kill":
            process.kill()
        else:
            node.is_believed_up = False
            process.terminate()
        await process.wait()
        if fault.duration_s:
            await asyncio.sleep(fault.duration_s)
            await node.start()

    async def _drain_endpoints(self, fault: Fault) -> None:
        """Endpoints drain and, after the duration, stop; where they are replaced, new ones start at once."""
        deployment = self.deployment
        uids = deployment.endpoint_uids(fault.endpoints)
        for uid in uids:
            deployment.endpoints[uid].drain()
        if fault.kind == "replace":
            for uid in uids:
                await deployment.add_endpoint(f"{uid}-next", is_warming_up=True)
        deployment.publish_list()
        if fault.duration_s:
            await asyncio.sleep(fault.duration_s)
            for uid in uids:
                deployment.endpoints[uid].stop()
            deployment.publish_list()

    async def _crash_endpoints(self, fault: Fault) -> None:
        """Endpoints end at once and, after the duration, start again under their names."""
        deployment = self.deployment
        uids = deployment.endpoint_uids(fault.endpoints)
        for uid in uids:
            deployment.endpoints[uid].stop()
            for node in deployment.nodes:
                node.endpoint_links[uid].stop_listening()
        deployment.publish_list()
        if fault.duration_s:
            await asyncio.sleep(fault.duration_s)
            for uid in uids:
                await self._restart_endpoint(uid)
            deployment.publish_list()

    async def _restart_endpoint(self, uid: str) -> None:
        """Start an endpoint that ended, as a new process under its name and at its address."""
        endpoint = self.deployment.endpoints[uid]
        endpoint.listeners = NodeListeners()
        await endpoint.start_again()
        for node in self.deployment.nodes:
            link = node.endpoint_links[uid]
            link.target = ("127.0.0.1", endpoint.listeners.ports[node.number])
            await link.open()

    async def _slow_endpoints(self, fault: Fault) -> None:
        uids = self.deployment.endpoint_uids(fault.endpoints)
        endpoints = [self.deployment.endpoints[uid] for uid in uids]
        for endpoint in endpoints:
            endpoint.extra_accept_s = fault.delay_s
        if fault.duration_s:
            await asyncio.sleep(fault.duration_s)
            for endpoint in endpoints:
                endpoint.extra_accept_s = 0.0

    def _links_of(self, fault: Fault) -> list[LinkProxy]:
        nodes = self._nodes_of(fault)
        uids = self.deployment.endpoint_uids(fault.endpoints)
        links = [node.endpoint_links[uid] for node in nodes for uid in uids]
        if fault.discovery:
            links += [node.discovery_link for node in nodes]
        if not uids and not fault.discovery:
            links += [node.client_link for node in nodes]
        return links

    async def _disturb_links(self, fault: Fault) -> None:
        links = self._links_of(fault)
        for link in links:
            disturb(link, fault)
        if fault.duration_s:
            await asyncio.sleep(fault.duration_s)
            for link in links:
                link.heal()


def disturb(link: LinkProxy, fault: Fault) -> None:
    """Begin a fault on one link, beside those that it has."""
    match fault.kind:
        case "delay":
            link.delay_s = fault.delay_s
        case "cut":
            link.is_cut_forward = True
            link.is_cut_backward = True
        case "cut-forward":
            link.is_cut_forward = True
        case "cut-backward":
            link.is_cut_backward = True
        case "refuse":
            link.refuses_connections = True
        case "unresponsive":
            link.is_unresponsive = True
        case "reset":
            link.reset()
