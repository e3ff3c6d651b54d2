"""Faults of a scenario, injected into a deployment at their times."""

from __future__ import annotations

import asyncio
import contextlib
import math
import signal

from rig.fleet.deployment import Deployment
from rig.fleet.faulty_links import LinkProxy
from rig.fleet.listeners import NodeListeners
from rig.fleet.model_discovery import DiscoveryServer
from rig.fleet.node_process import NodeProcess
from rig.fleet.observations import Interval
from rig.fleet.scenario import Fault

RECOVERY_S = 2.0
"""How long past its fault a node still has an outage: failure detection and the start, in seconds."""


KILL_DELAY_S = 0.7
"""SIGKILL comes no sooner than the longest deadline and this after SIGTERM, in seconds."""

MAX_DEADLINE_S = 3.0
"""A longer deadline counts as this, in seconds."""

SIGNAL_INTERVAL_S = 0.15
"""Time between signals in a row, in seconds."""

FORMER_ADDRESS_S = 1.5
"""How long connections at an address that discovery has left stay open, in seconds."""

LINK_FAULTS = frozenset(
    {"delay", "cut", "cut-forward", "cut-backward", "reset", "refuse", "unresponsive", "slow"}
)
"""Faults that may end connections to endpoints."""

RECORDED_BY_THEMSELVES = frozenset({"terminate", "reload", "move-discovery"})
"""Faults in which a node has no outage, or only a part of the time."""


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
            case "terminate":
                await asyncio.gather(*(self._terminate_node(node, fault) for node in self._nodes_of(fault)))
            case "reload" | "move-discovery":
                await asyncio.gather(*(self._reload_node(node, fault) for node in self._nodes_of(fault)))
            case (
                "discovery-late"
                | "discovery-unavailable"
                | "discovery-older"
                | "discovery-invalid-entry"
                | "discovery-in-pieces"
            ):
                await self._disturb_answers(fault)
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
        if fault.kind in LINK_FAULTS:
            observations.faulty_endpoint_links |= {
                (node.number, uid)
                for node in self._nodes_of(fault)
                for uid in self.deployment.endpoint_uids(fault.endpoints)
            }
        if fault.kind in RECORDED_BY_THEMSELVES:
            return
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
        ended_s = self.deployment.clock()
        if fault.duration_s:
            await asyncio.sleep(fault.duration_s)
            await node.start()
            self._record_outage_until_now(node, ended_s)

    def _record_outage_until_now(self, node: NodeProcess, since_s: float) -> None:
        """A node that starts again has an outage until it is ready, however long its start takes."""
        outages = self.deployment.observations.node_outages[node.number]
        outages.append(Interval(since_s, self.deployment.clock()))

    async def _terminate_node(self, node: NodeProcess, fault: Fault) -> None:
        """SIGTERM, some more of them, and SIGKILL at the earliest; then a start with the file of before.

        Clients that are connected stay, and the node owes them an answer or a MOVE until SIGKILL.
        """
        process = node.process
        assert process is not None
        process.terminate()
        deadline_s = min(self.deployment.scenario.traffic.deadline_s, MAX_DEADLINE_S)
        killed_at_s = self.deployment.clock() + deadline_s + KILL_DELAY_S
        await asyncio.sleep(self.deployment.scenario.failure_detection_s)
        node.is_believed_up = False
        for _ in range(fault.count - 1):
            send_signal(process, signal.SIGTERM)
            await asyncio.sleep(SIGNAL_INTERVAL_S)
            send_signal(process, signal.SIGHUP)
        await asyncio.sleep(max(0.0, killed_at_s - self.deployment.clock()))
        begin_s = self.deployment.clock()
        self.deployment.observations.node_outages[node.number].append(
            Interval(begin_s, begin_s + fault.duration_s + RECOVERY_S)
        )
        send_signal(process, signal.SIGKILL)
        await process.wait()
        await asyncio.sleep(fault.duration_s)
        await node.start(has_old_file=True)
        self._record_outage_until_now(node, begin_s)

    async def _reload_node(self, node: NodeProcess, fault: Fault) -> None:
        """SIGHUP in a row, each with a new address of discovery where it moves."""
        former_links = []
        for _ in range(fault.count):
            process = node.process
            assert process is not None
            if fault.kind == "move-discovery":
                former_links.append(await node.move_discovery())
                former_links[-1].stop_listening()
            node.write_config()
            self.deployment.discovery.record_reload(node.number)
            send_signal(process, signal.SIGHUP)
            await asyncio.sleep(SIGNAL_INTERVAL_S)
        await asyncio.sleep(FORMER_ADDRESS_S)
        for link in former_links:
            await link.close()

    async def _disturb_answers(self, fault: Fault) -> None:
        """Discovery's answers to the nodes have a fault."""
        nodes = [node.number for node in self._nodes_of(fault)]
        for node in nodes:
            await disturb_answers(self.deployment.discovery, node, fault, is_on=True)
        if not fault.duration_s:
            return
        await asyncio.sleep(fault.duration_s)
        for node in nodes:
            await disturb_answers(self.deployment.discovery, node, fault, is_on=False)

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


def send_signal(process: asyncio.subprocess.Process, signal_number: signal.Signals) -> None:
    """Send a signal to a process that may have ended."""
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(signal_number)


async def disturb_answers(discovery: DiscoveryServer, node: int, fault: Fault, is_on: bool) -> None:
    """Begin or end a fault of discovery's answers to a node."""
    faults = discovery.faults[node]
    match fault.kind:
        case "discovery-late":
            faults.delay_s = fault.delay_s if is_on else 0.0
        case "discovery-unavailable":
            await discovery.set_unavailable(node, is_on)
        case "discovery-older":
            faults.is_older = is_on
        case "discovery-invalid-entry":
            faults.has_invalid_entry = is_on
        case "discovery-in-pieces":
            faults.is_in_pieces = is_on


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
