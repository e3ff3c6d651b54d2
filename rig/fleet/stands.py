"""Stand-ins for what surrounds the proxies: servers that model work, and discovery.

Each has an address of its own for each node, so that what came through which node is known and each link can
fail by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from rig.fleet.ledger import Attempt, Ledger, Start
from rig.fleet.links import reset
from rig.fleet.scenario import Scenario

SHED_EVERY_S = 0.1  # a server over what it bears drops its heaviest connection so often


def fields(line: bytes) -> tuple[int, dict[str, str]]:
    """The id and the named values of an OPEN line."""
    _, number, _, named = line.decode().split(" ", 3)
    return int(number, 16), dict(pair.split("=", 1) for pair in named.strip().split(","))


@dataclass(slots=True, eq=False)
class Held:
    writer: asyncio.StreamWriter
    group: str
    load: float


class Server:
    """Bears `cores` of work once warm; each connection asks its load, each group here its cost."""

    def __init__(
        self, uid: str, scenario: Scenario, ledger: Ledger, clock: Callable[[], float], cold: bool
    ) -> None:
        self.uid, self.scenario, self.ledger, self.clock = uid, scenario, ledger, clock
        self.state, self.answer_s = "SERVING", 0.0
        self.loads = scenario.stream("load-" + uid)
        self.held: set[Held] = set()
        self.ports: list[int] = []
        self.servers: list[asyncio.Server] = []
        self.born, self.boot_ms = (clock(), int(time.time() * 1000)) if cold else (-1e9, 0)
        how = scenario.servers
        if cold:
            ledger.starts.append(Start(uid, self.born, how.warm_s, how.tip_s, self.allowed))

    def warmth(self, age: float) -> float:
        how = self.scenario.servers
        return min(1.0, how.cold_from + (1.0 - how.cold_from) * max(0.0, age) / how.warm_s)

    def allowed(self, age: float) -> float:
        """Connections that it may be sent in `tip_s`: the multiple of what fills it over its warm-up."""
        how, traffic = self.scenario.servers, self.scenario.traffic
        fills = how.cores / traffic.load / how.warm_s
        return how.fall_multiple * fills * self.warmth(age) * how.tip_s

    def asked(self) -> float:
        """Cores that all that stands here takes."""
        traffic = self.scenario.traffic
        groups = len({held.group for held in self.held})
        return sum(held.load for held in self.held) + groups * traffic.group_cost * traffic.load

    @property
    def full(self) -> bool:
        return self.asked() > self.scenario.servers.cores * self.warmth(self.clock() - self.born)

    async def open(self) -> None:
        for node in range(self.scenario.nodes):

            async def accept(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: int = node
            ) -> None:
                await self.serve(reader, writer, node)

            server = await asyncio.start_server(accept, "127.0.0.1", 0, backlog=512)
            self.servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: int) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                line = await reader.readline()
                if line.startswith((b"PING", b"STATS")):
                    writer.write(b"PONG\r\n")
                    continue
                break
            if line.startswith(b"OPEN "):
                await self.attempt(line, reader, writer, node)
        writer.close()

    async def attempt(
        self, line: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: int
    ) -> None:
        number, named = fields(line)
        attempt = Attempt(number, node, self.uid, self.clock())
        self.ledger.attempts.append(attempt)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(self.answer_s, self.scenario.servers.answer_s)):
                await reader.read(1)  # nothing may come before the answer but the end
                attempt.over = self.clock()
                return
        attempt.over = self.clock()
        if self.state != "SERVING" or len(self.held) >= self.scenario.servers.table:
            writer.write(b"BUSY\r\n")
            return
        load = float(self.loads.exponential(self.scenario.traffic.load))
        held = Held(writer, named.get("g", ""), load)
        self.held.add(held)
        writer.write(b"UP %s\r\nLOAD %.1f\r\n" % (self.uid.encode(), load * 1e6))
        try:
            while line := await reader.readline():
                if not self.full:  # past what it bears it answers nobody in time
                    writer.write(line)
        finally:
            self.held.discard(held)

    def shed(self) -> None:
        """Some times a second: drop the heaviest while more is asked than it bears."""
        if self.full and self.held:
            heaviest = max(self.held, key=lambda held: held.load)
            self.held.discard(heaviest)
            reset(heaviest.writer)

    def drain(self) -> None:
        self.state = "DRAINING"
        if self.scenario.servers.sends_away:
            for held in list(self.held):
                with contextlib.suppress(OSError):
                    held.writer.write(b"MOVE\r\n")
                    held.writer.close()

    def stop(self) -> None:
        self.state = "DELETED"
        for server in self.servers:
            server.close()
        for held in list(self.held):
            reset(held.writer)
        self.held.clear()


class DiscoveryServer:
    """One list for all, which each node hears of late by a time of its own."""

    def __init__(self, scenario: Scenario, ledger: Ledger, clock: Callable[[], float]) -> None:
        self.scenario, self.ledger, self.clock = scenario, ledger, clock
        self.late = scenario.stream("lists")
        self.rev = 1
        self.views: list[dict[str, dict[str, object]]] = [{} for _ in range(scenario.nodes)]
        self.seen = [1] * scenario.nodes
        self.news = [asyncio.Condition() for _ in range(scenario.nodes)]
        self.ports: list[int] = []
        self.servers: list[asyncio.Server] = []

    async def open(self) -> None:
        for node in range(self.scenario.nodes):

            async def accept(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: int = node
            ) -> None:
                await self.serve(reader, writer, node)

            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            self.servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])

    def listing(self, node: int) -> dict[str, object]:
        return {"rev": self.seen[node], "all": True, "targets": list(self.views[node].values())}

    def change(self, entries: Callable[[int], dict[str, dict[str, object]]]) -> list[asyncio.Task[None]]:
        """A new list; `entries` tells it as a node sees it, each a little later."""
        self.rev += 1
        low, high = self.scenario.list_s
        return [
            asyncio.ensure_future(
                self.reach(node, self.rev, entries(node), float(self.late.uniform(low, high)))
            )
            for node in range(self.scenario.nodes)
        ]

    async def reach(self, node: int, rev: int, entries: dict[str, dict[str, object]], late: float) -> None:
        await asyncio.sleep(late)
        async with self.news[node]:
            if rev > self.seen[node]:  # an older one that was overtaken is no news
                self.views[node], self.seen[node] = entries, rev
                self.news[node].notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: int) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, IndexError, asyncio.CancelledError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.ledger.calls.append((self.clock(), node))
                asked = parse_qs(urlsplit(head.split()[1].decode()).query)
                if "since" in asked:
                    since, wait = int(asked["since"][0]), int(asked["timeout_ms"][0]) / 1000
                    await self.wait(node, since, wait)
                body = json.dumps(self.listing(node)).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                    % (len(body), body)
                )
                await writer.drain()
                for uid, entry in self.views[node].items():
                    self.ledger.tell(node, uid, str(entry["state"]), self.clock())
        writer.close()

    async def wait(self, node: int, since: int, at_most_s: float) -> None:
        """Until that node's list is newer."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(at_most_s), self.news[node]:
                await self.news[node].wait_for(lambda: self.seen[node] > since)

    def close(self) -> None:
        for server in self.servers:
            server.close()
