"""Injects the faults of a scenario into a deployment at their times."""

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
"""How long after its fault a node still has an outage, in seconds: failure detection and the start."""

KILL_DELAY_S = 0.7
"""Delay of SIGKILL after SIGTERM, beyond the deadline of the requests, in seconds."""

MAX_DEADLINE_S = 3.0
"""Upper bound of the deadline that SIGKILL waits for, in seconds."""

SIGNAL_INTERVAL_S = 0.15
"""Interval between successive signals, in seconds."""

FORMER_ADDRESS_CLOSE_DELAY_S = 1.5
"""How long connections to a former address of discovery stay open, in seconds."""

LINK_FAULTS = frozenset(
    {"delay", "cut", "cut-forward", "cut-backward", "reset", "refuse", "unresponsive", "slow"}
)
"""Faults that may end connections to endpoints."""

SELF_RECORDED_FAULTS = frozenset({"terminate", "reload", "move-discovery"})
"""Faults of nodes that cause no outage, or whose handler records it."""


class FaultInjector:
    """Injects faults, and records the outages and cuts that excuse violations."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment

    async def inject(self, fault: Fault) -> None:
        """Wait until the fault is due, inject it, and end it after its duration."""
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
                await self._apply_answer_fault(fault)
            case "drain" | "replace":
                await self._drain_endpoints(fault)
            case "crash":
                await self._crash_endpoints(fault)
            case "slow":
                await self._slow_endpoints(fault)
            case _:
                await self._apply_link_fault(fault)

    def _nodes_of(self, fault: Fault) -> list[NodeProcess]:
        """The nodes that the fault names; all if it names none."""
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
        if fault.kind in SELF_RECORDED_FAULTS:
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
            node.receives_clients = False
            process.terminate()
        await process.wait()
        ended_s = self.deployment.clock()
        if fault.duration_s:
            await asyncio.sleep(fault.duration_s)
            await node.start()
            self._record_outage_until_now(node, ended_s)

    def _record_outage_until_now(self, node: NodeProcess, since_s: float) -> None:
        """Record an outage that ends when the restarted node is ready, however long its start took."""
        outages = self.deployment.observations.node_outages[node.number]
        outages.append(Interval(since_s, self.deployment.clock()))

    async def _terminate_node(self, node: NodeProcess, fault: Fault) -> None:
        """Send SIGTERM, further signals, and SIGKILL after the deadline; restart with the old proxy file.

        Connected clients stay: the node has to send each an answer or a MOVE before SIGKILL.
        """
        process = node.process
        assert process is not None
        process.terminate()
        deadline_s = min(self.deployment.scenario.traffic.deadline_s, MAX_DEADLINE_S)
        killed_at_s = self.deployment.clock() + deadline_s + KILL_DELAY_S
        await asyncio.sleep(self.deployment.scenario.failure_detection_s)
        node.receives_clients = False
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
        await node.start(reuses_config=True)
        self._record_outage_until_now(node, begin_s)

    async def _reload_node(self, node: NodeProcess, fault: Fault) -> None:
        """Send SIGHUP `count` times; for `move-discovery`, each with a new address of discovery."""
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
        await asyncio.sleep(FORMER_ADDRESS_CLOSE_DELAY_S)
        for link in former_links:
            await link.close()

    async def _apply_answer_fault(self, fault: Fault) -> None:
        """Apply a fault to discovery's answers to the nodes, and end it after its duration."""
        nodes = [node.number for node in self._nodes_of(fault)]
        for node in nodes:
            await set_answer_fault(self.deployment.discovery, node, fault, is_on=True)
        if not fault.duration_s:
            return
        await asyncio.sleep(fault.duration_s)
        for node in nodes:
            await set_answer_fault(self.deployment.discovery, node, fault, is_on=False)

    async def _drain_endpoints(self, fault: Fault) -> None:
        """Drain endpoints and stop them after the duration; a `replace` starts new ones at once."""
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
        """Stop endpoints and, after the duration, restart them under the same uids."""
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
        """Restart an endpoint that was stopped, under its uid and at its address."""
        endpoint = self.deployment.endpoints[uid]
        endpoint.listeners = NodeListeners()
        await endpoint.restart()
        for node in self.deployment.nodes:
            link = node.endpoint_links[uid]
            link.target = ("127.0.0.1", endpoint.listeners.ports[node.number])
            await link.open()

    async def _slow_endpoints(self, fault: Fault) -> None:
        uids = self.deployment.endpoint_uids(fault.endpoints)
        endpoints = [self.deployment.endpoints[uid] for uid in uids]
        for endpoint in endpoints:
            endpoint.min_accept_s = fault.delay_s
        if fault.duration_s:
            await asyncio.sleep(fault.duration_s)
            for endpoint in endpoints:
                endpoint.min_accept_s = 0.0

    def _links_of(self, fault: Fault) -> list[LinkProxy]:
        nodes = self._nodes_of(fault)
        uids = self.deployment.endpoint_uids(fault.endpoints)
        links = [node.endpoint_links[uid] for node in nodes for uid in uids]
        if fault.discovery:
            links += [node.discovery_link for node in nodes]
        if not uids and not fault.discovery:
            links += [node.client_link for node in nodes]
        return links

    async def _apply_link_fault(self, fault: Fault) -> None:
        links = self._links_of(fault)
        for link in links:
            apply_link_fault(link, fault)
        if fault.duration_s:
            await asyncio.sleep(fault.duration_s)
            for link in links:
                link.clear_faults()


def send_signal(process: asyncio.subprocess.Process, signal_number: signal.Signals) -> None:
    """Send a signal to a process that may have ended."""
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(signal_number)


async def set_answer_fault(discovery: DiscoveryServer, node: int, fault: Fault, is_on: bool) -> None:
    """Apply or end a fault of discovery's answers to a node."""
    faults = discovery.faults[node]
    match fault.kind:
        case "discovery-late":
            faults.delay_s = fault.delay_s if is_on else 0.0
        case "discovery-unavailable":
            await discovery.set_unavailable(node, is_on)
        case "discovery-older":
            faults.has_initial_list = is_on
        case "discovery-invalid-entry":
            faults.has_invalid_entry = is_on
        case "discovery-in-pieces":
            faults.is_in_pieces = is_on


def apply_link_fault(link: LinkProxy, fault: Fault) -> None:
    """Apply a fault to a link; other faults of the link stay."""
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
