"""Plays a scenario: N real programs, the stand-ins round them, clients, and the faults at their times."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rig.base_settings import S, changed_settings
from rig.fleet.ledger import Asked, Broken, Ledger, Referee
from rig.fleet.links import Link
from rig.fleet.scenario import Fault, Scenario
from rig.fleet.stands import SHED_EVERY_S, DiscoveryServer, Server

ROOT = Path(__file__).parent.parent.parent
START_S = 20.0  # a program that is not ready by then fails the play
GRACE_S = 0.5
BEAT_S, AIM_S = 0.25, 0.2  # a client sends a line so often, and wants it back within that
GAP_S = (0.05, 0.4)  # after a break or a rejection a client comes again


def settings(scenario: Scenario, node: int) -> dict[str, Any]:
    """The settings that the proxy file of one node holds."""
    how, traffic = scenario.servers, scenario.traffic
    service = {
        "name": "feed",
        "aimNs": int(traffic.deadline_s / 4 * S),
        "hardLimitNs": int(traffic.deadline_s * S),
        "effect": "repeatable",
        "group": "all",
    }
    changes: dict[str, Any] = {
        "myNumber": node,
        "balancers": scenario.told_nodes or scenario.nodes,
        "discovery": "ask",
        "zones": ["a"],
        "tenants": [{"name": "acme", "fraction": 1.0}],
        "services": [service],
        "familyInfo": {
            "groups": True,
            "messageAimNs": [int(AIM_S * S)],
            "tenantQuotaConnections": [how.count * how.cores / traffic.load],
        },
        "rules": {
            "drainGraceNs": int(GRACE_S * S),
            "coldFrom": how.cold_from,
            "warmUpNs": int(how.warm_s * S),
            "fallMultiple": how.fall_multiple,
            "tipAfterNs": int(how.tip_s * S),
            "mustAskInNs": 2 * S,
        },
    }
    return changed_settings(changes)


@dataclass
class Report:
    """What became of a play."""

    broken: list[Broken]
    ledger: Ledger
    crashed: list[str]  # nodes that ended by themselves, with their last words

    @property
    def share_served(self) -> float:
        """Seconds in which messages came back in time, of all that clients wanted."""
        return self.ledger.served_s / max(self.ledger.wanted_s, 1e-9)


class Node:
    """One process of the program, with a link to each neighbour."""

    def __init__(self, number: int, folder: Path) -> None:
        self.number, self.folder = number, folder
        self.port = 0
        self.front: Link | None = None  # clients' way in
        self.list: Link | None = None
        self.links: dict[str, Link] = {}  # by server
        self.process: asyncio.subprocess.Process | None = None
        self.up = False  # as the frontend believes

    def all_links(self) -> list[Link]:
        return [link for link in (self.front, self.list, *self.links.values()) if link is not None]


class Play:
    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario, self.folder = scenario, folder
        self.ledger = Ledger()
        self.began = time.monotonic()
        self.servers: dict[str, Server] = {}
        self.nodes = [Node(n, folder) for n in range(scenario.nodes)]
        self.discovery = DiscoveryServer(scenario, self.ledger, self.clock)
        self.tasks: set[asyncio.Task[Any]] = set()  # the play lasts until these are done
        self.watches: set[asyncio.Task[Any]] = set()
        self.crashed: list[str] = []
        self.over = False
        self.keys = scenario.stream("keys")
        self.ids = 0x1000

    def clock(self) -> float:
        return time.monotonic() - self.began

    def later(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # ---- the world -----------------------------------------------------------------------------

    async def add_server(self, uid: str, cold: bool) -> None:
        server = self.servers[uid] = Server(uid, self.scenario, self.ledger, self.clock, cold)
        await server.open()
        for node in self.nodes:
            link = node.links[uid] = Link(("127.0.0.1", server.ports[node.number]))
            await link.open()

    def entries(self, node: int) -> dict[str, dict[str, object]]:
        """The list as that node is to see it."""
        return {
            uid: {
                "uid": uid,
                "endpoint": self.nodes[node].links[uid].address,
                "az": "a",
                "model": "m",
                "pod_group": number,
                "state": server.state,
                "capacity_hint": self.scenario.servers.cores,
                "boot_ms": server.boot_ms,
            }
            for number, (uid, server) in enumerate(self.servers.items())
            if server.state != "DELETED"
        }

    def relist(self) -> None:
        for task in self.discovery.change(self.entries):
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def start(self, node: Node) -> None:
        config = self.folder / f"n{node.number}.json"
        assert node.list is not None
        known = self.discovery.listing(node.number)
        config.write_text(
            json.dumps(
                {
                    "name": f"n{node.number}",
                    "listen": f"127.0.0.1:{node.port}",
                    "discovery": node.list.address,
                    "seed": f"{self.scenario.seed * 1000 + node.number:x}",
                    "known": known,
                    "settings": settings(self.scenario, node.number),
                }
            )
        )
        for uid, entry in self.discovery.views[node.number].items():
            self.ledger.tell(node.number, uid, str(entry["state"]), self.clock())
        log = open(self.folder / f"n{node.number}.log", "ab")  # noqa: SIM115  # the process keeps it
        env = {**os.environ, "GW_CONFIG": str(config), "LINNETSHIFT_BROKER": os.devnull}
        env["TMPDIR"] = str(self.folder)
        node.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "linnetshift", cwd=ROOT, env=env, stderr=log
        )
        log.close()
        self.watches.add(asyncio.ensure_future(self.watch(node, node.process)))
        await asyncio.wait_for(self.ready(node), START_S)
        node.up = True

    async def ready(self, node: Node) -> None:
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
                writer.write(b"PING\r\n")
                answer = await reader.readline()
                writer.close()
                if answer == b"PONG\r\n":
                    return
            await asyncio.sleep(0.02)

    async def watch(self, node: Node, process: asyncio.subprocess.Process) -> None:
        """A node that ends without being told to is a crash; the frontend hears of any end late."""
        status = await process.wait()
        if node.process is process and not self.over:
            if status not in (-signal.SIGKILL, 0):
                self.crashed.append(f"n{node.number}: status {status}")
            await asyncio.sleep(self.scenario.notice_s)
            if node.process is process:
                node.up = False

    # ---- clients -------------------------------------------------------------------------------

    async def arrivals(self) -> None:
        traffic = self.scenario.traffic
        times, who = self.scenario.stream("arrivals"), self.scenario.stream("who")
        sizes = [1.0 / n**traffic.skew for n in range(1, traffic.groups + 1)]
        until = self.clock() + traffic.length_s
        at = self.clock()
        while (at := at + float(times.exponential(1.0 / traffic.rate))) < until:
            await asyncio.sleep(max(0.0, at - self.clock()))
            group = int(who.choice(len(sizes), p=[size / sum(sizes) for size in sizes])) + 1
            busiest = float(who.random()) < traffic.busiest
            life = min(float(who.exponential(traffic.life_s)), 3 * traffic.life_s)
            key = int(self.keys.integers(1, 1 << 62))
            self.later(self.client(key, group, life, 0 if busiest else -1))

    def through(self, chosen: int) -> Node | None:
        """Whom the frontend leads to: one of those that it believes to be up."""
        up = [node for node in self.nodes if node.up]
        if not up:
            return None
        if chosen >= 0 and self.nodes[chosen].up:
            return self.nodes[chosen]
        return up[int(self.keys.integers(len(up)))]

    async def client(self, key: int, group: int, life: float, chosen: int) -> None:
        """One client: as long as it wants to be served, through as many connections as it may open."""
        want = life
        for turn in range(1 + self.scenario.traffic.returns):
            begun = self.clock()
            node = self.through(chosen)
            if node is not None:
                await self.connection(node, key, group, want, turn > 0)
            want -= self.clock() - begun
            if want <= 0.0:
                break
            await asyncio.sleep(float(self.keys.uniform(*GAP_S)))
        self.ledger.wanted_s += life

    async def connection(self, node: Node, key: int, group: int, want: float, again: bool) -> None:
        deadline = self.scenario.traffic.deadline_s
        self.ids += 1
        asked = Asked(self.ids, node.number, self.clock(), deadline, group)
        assert node.front is not None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.front.port)
        except OSError:
            return
        self.ledger.asked[asked.id] = asked
        more = ",again=1" if again else ""
        writer.write(
            b"OPEN %016x %016x c=feed,t=acme,d=%d,g=%x%s\r\n"
            % (asked.id, key, deadline * 1000, group, more.encode())
        )
        try:
            line = await asyncio.wait_for(reader.readline(), deadline + 2.0)
            word = line.decode().split(" ")[0].strip() or "ended"
            asked.answers.append((self.clock(), word))
            if word == "UP":
                await self.stand(reader, writer, want)
            elif rest := await asyncio.wait_for(reader.readline(), 2.0):
                asked.answers.append((self.clock(), rest.decode().strip()))
        except (TimeoutError, OSError):
            self.ledger.resets += 1
        finally:
            writer.close()

    async def stand(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, want: float) -> None:
        """Send a line now and then; each that comes back in time serves until the next."""
        until, beat = self.clock() + want, 0
        while (left := until - self.clock()) > 0.0:
            beat += 1
            sent, served = self.clock(), False
            writer.write(b"m %d\r\n" % beat)
            with contextlib.suppress(asyncio.TimeoutError):
                while line := await asyncio.wait_for(reader.readline(), AIM_S):
                    if line.startswith(b"MOVE"):
                        self.ledger.moves += 1
                        return
                    if line == b"m %d\r\n" % beat:
                        served = True
                        break
                else:
                    return  # ended
            await asyncio.sleep(max(0.0, min(BEAT_S, left) - (self.clock() - sent)))
            if served:
                self.ledger.served_s += min(BEAT_S, left)

    # ---- faults --------------------------------------------------------------------------------

    async def fault(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at_s - self.clock()))
        until = self.clock() + fault.for_s if fault.for_s else float("inf")
        at_clients = not fault.servers and not fault.discovery
        for number in fault.nodes or range(self.scenario.nodes) if at_clients else ():
            # The way back takes a while too: the frontend's notice, and the start.
            self.ledger.away[number].append((self.clock(), until + 2.0))
        if fault.kind in ("cut", "cut-there"):
            for number in fault.nodes or range(self.scenario.nodes):
                for server in fault.servers:
                    self.ledger.cut[number, list(self.servers)[server]].append((self.clock(), until))
        match fault.kind:
            case "kill" | "stop" | "restart":
                await asyncio.gather(*(self.strike(self.nodes[n], fault) for n in fault.nodes))
            case "drain" | "replace":
                await self.leave([list(self.servers)[n] for n in fault.servers], fault)
            case "slow":
                await self.slow([self.servers[list(self.servers)[n]] for n in fault.servers], fault)
            case _:
                await self.disturb(fault)

    async def strike(self, node: Node, fault: Fault) -> None:
        process = node.process
        assert process is not None
        if fault.kind == "stop":
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            process.send_signal(signal.SIGCONT)
            return
        if fault.kind == "kill":
            process.kill()
        else:
            node.up = False
            process.terminate()
        await process.wait()
        if fault.for_s:
            await asyncio.sleep(fault.for_s)
            await self.start(node)

    async def leave(self, uids: list[str], fault: Fault) -> None:
        """Servers drain and, after a while, stop; where they are replaced cold ones come beside."""
        for uid in uids:
            self.servers[uid].drain()
        if fault.kind == "replace":
            for uid in uids:
                await self.add_server(f"{uid}-next", cold=True)
        self.relist()
        if fault.for_s:
            await asyncio.sleep(fault.for_s)
            for uid in uids:
                self.servers[uid].stop()
            self.relist()

    async def slow(self, servers: list[Server], fault: Fault) -> None:
        for server in servers:
            server.answer_s = fault.delay_s
        if fault.for_s:
            await asyncio.sleep(fault.for_s)
            for server in servers:
                server.answer_s = 0.0

    def links_of(self, fault: Fault) -> list[Link]:
        nodes = [self.nodes[n] for n in fault.nodes] or self.nodes
        uids = [list(self.servers)[n] for n in fault.servers]
        found = [node.links[uid] for node in nodes for uid in uids]
        found += [node.list for node in nodes if fault.discovery and node.list is not None]
        if not uids and not fault.discovery:
            found += [node.front for node in nodes if node.front is not None]
        return found

    async def disturb(self, fault: Fault) -> None:
        links = self.links_of(fault)
        for link in links:
            link.delay_s = fault.delay_s if fault.kind == "delay" else link.delay_s
            link.cut_there |= fault.kind in ("cut", "cut-there")
            link.cut_back |= fault.kind in ("cut", "cut-back")
            link.refuses |= fault.kind == "refuse"
            link.silent |= fault.kind == "silent"
            if fault.kind == "reset":
                link.reset()
        if fault.for_s:
            await asyncio.sleep(fault.for_s)
            for link in links:
                link.heal()

    # ---- the play ------------------------------------------------------------------------------

    async def shed(self) -> None:
        while True:
            await asyncio.sleep(SHED_EVERY_S)
            for server in self.servers.values():
                server.shed()

    async def run(self) -> Report:
        scenario = self.scenario
        await self.discovery.open()
        for number in range(scenario.servers.count):
            await self.add_server(f"s-{number}", cold=False)
        for node in self.nodes:
            node.port = free_port()
            node.front = Link(("127.0.0.1", node.port))
            node.list = Link(("127.0.0.1", self.discovery.ports[node.number]))
            await node.front.open()
            await node.list.open()
            self.discovery.views[node.number] = self.entries(node.number)
        try:
            await asyncio.gather(*(self.start(node) for node in self.nodes))
            self.began = time.monotonic()
            shedding = asyncio.ensure_future(self.shed())
            faults = [asyncio.ensure_future(self.fault(fault)) for fault in scenario.faults]
            await self.arrivals()
            await asyncio.gather(*faults)
            while self.tasks:
                await asyncio.wait(self.tasks)
            shedding.cancel()
        finally:
            self.over = True
            for task in self.watches:
                task.cancel()
            for node in self.nodes:
                if node.process is not None and node.process.returncode is None:
                    node.process.kill()
                    await node.process.wait()
            for link in [link for node in self.nodes for link in node.all_links()]:
                await link.close()
            for server in self.servers.values():
                server.stop()
            self.discovery.close()
        return Report(Referee(self.ledger, GRACE_S).broken(), self.ledger, self.crashed)


def free_port() -> int:
    """Below the ports that the kernel gives to outgoing connections, one of which might take it meanwhile."""
    while True:
        port = random.SystemRandom().randrange(12_000, 32_000)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port


def play(scenario: Scenario, folder: Path) -> Report:
    """Play it in real time; the nodes' logs and files go to the folder."""
    return asyncio.run(Play(scenario, folder).run())
