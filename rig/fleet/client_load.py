"""Clients of a run: they arrive at random, send messages, and return after a rejection or a break."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

from rig.fleet.deployment import Deployment
from rig.fleet.node_process import NodeProcess
from rig.fleet.node_settings import MESSAGE_OBJECTIVE_S
from rig.fleet.observations import Answer, ClientRequest

MESSAGE_INTERVAL_S = 0.25
"""Time between two messages of a client, in seconds."""

RETRY_DELAY_S = (0.05, 0.4)
"""Shortest and longest time until a client returns, in seconds."""

ANSWER_TIMEOUT_S = 2.0
"""How long past its deadline a client waits for an answer, and for what may follow one, in seconds."""

FIRST_REQUEST_ID = 0x1001
"""Id of the first request."""

MAX_KEY = 1 << 62
"""Keys are below that."""


@dataclass(slots=True)
class Client:
    """One client: what it asks for, and for how much longer."""

    key: int
    group: int
    is_at_first_node: bool
    remaining_s: float
    is_return: bool = False


class ClientLoad:
    """Runs the clients of a scenario against a deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.traffic = deployment.scenario.traffic
        self.observations = deployment.observations
        self.clock = deployment.clock
        self._next_request_id = FIRST_REQUEST_ID
        self._keys = deployment.scenario.stream("keys")

    async def run(self) -> None:
        """Let clients arrive for the scenario's time; they go on as background tasks."""
        traffic = self.traffic
        arrivals = self.deployment.scenario.stream("arrivals")
        choices = self.deployment.scenario.stream("who")
        sizes = [1.0 / number**traffic.group_skew for number in range(1, traffic.groups + 1)]
        shares = [size / sum(sizes) for size in sizes]
        arrival_s = self.clock()
        until_s = arrival_s + traffic.duration_s
        while (arrival_s := arrival_s + float(arrivals.exponential(1.0 / traffic.arrivals_per_s))) < until_s:
            await asyncio.sleep(max(0.0, arrival_s - self.clock()))
            group = int(choices.choice(len(sizes), p=shares)) + 1
            is_at_first_node = float(choices.random()) < traffic.first_node_share
            lifetime_s = float(choices.exponential(traffic.mean_lifetime_s))
            key = int(self._keys.integers(1, MAX_KEY))
            client = Client(key, group, is_at_first_node, min(lifetime_s, 3 * traffic.mean_lifetime_s))
            self.deployment.background.start(self._run_client(client))

    async def _run_client(self, client: Client) -> None:
        """One client, through as many connections as it may open."""
        wanted_s = client.remaining_s
        for number in range(1 + self.traffic.max_retries):
            client.is_return = number > 0
            began_s = self.clock()
            node = self._choose_node(client)
            if node is not None:
                await self._connect(client, node)
            client.remaining_s -= self.clock() - began_s
            if client.remaining_s <= 0.0:
                break
            await asyncio.sleep(float(self._keys.uniform(*RETRY_DELAY_S)))
        self.observations.wanted_s += wanted_s

    def _choose_node(self, client: Client) -> NodeProcess | None:
        """One of the nodes that are believed to be up."""
        nodes = self.deployment.nodes
        up = [node for node in nodes if node.is_believed_up]
        if not up:
            return None
        if client.is_at_first_node and nodes[0].is_believed_up:
            return nodes[0]
        return up[int(self._keys.integers(len(up)))]

    async def _connect(self, client: Client, node: NodeProcess) -> None:
        """Send a request to the node and, where it is accepted, messages."""
        deadline_s = self.traffic.deadline_s
        request = ClientRequest(self._next_request_id, node.number, self.clock(), deadline_s, client.group)
        self._next_request_id += 1
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.client_link.port)
        except OSError:
            return
        self.observations.requests[request.id] = request
        writer.write(request_line(request, client))
        try:
            line = await asyncio.wait_for(reader.readline(), deadline_s + ANSWER_TIMEOUT_S)
            keyword = line.decode().split(" ")[0].strip() or "ended"
            request.answers.append(Answer(self.clock(), keyword))
            if keyword == "UP":
                await self._send_messages(reader, writer, client.remaining_s)
            elif second_line := await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S):
                request.answers.append(Answer(self.clock(), second_line.decode().strip()))
        except (TimeoutError, OSError):
            self.observations.resets += 1
        finally:
            writer.close()

    async def _send_messages(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, duration_s: float
    ) -> None:
        """Send a message at each interval; one that comes back in time counts as served until the next."""
        until_s = self.clock() + duration_s
        number = 0
        while (remaining_s := until_s - self.clock()) > 0.0:
            number += 1
            sent_s = self.clock()
            message = b"m %d\r\n" % number
            writer.write(message)
            is_served = False
            with contextlib.suppress(TimeoutError):
                is_served = await self._receive(reader, message)
                if not is_served:
                    return
            interval_s = min(MESSAGE_INTERVAL_S, remaining_s)
            await asyncio.sleep(max(0.0, interval_s - (self.clock() - sent_s)))
            if is_served:
                self.observations.served_s += interval_s

    async def _receive(self, reader: asyncio.StreamReader, message: bytes) -> bool:
        """Wait for a message to come back; False where the connection ends or is to migrate.

        Raises TimeoutError once a line takes longer than the latency objective.
        """
        while line := await asyncio.wait_for(reader.readline(), MESSAGE_OBJECTIVE_S):
            if line.startswith(b"MOVE"):
                self.observations.migrations += 1
                return False
            if line == message:
                return True
        return False


def request_line(request: ClientRequest, client: Client) -> bytes:
    """The OPEN line of a request (the platform's protocol, "Clients to proxies")."""
    return_mark = b",again=1" if client.is_return else b""
    return b"OPEN %016x %016x c=feed,t=acme,d=%d,g=%x%s\r\n" % (
        request.id,
        client.key,
        request.deadline_s * 1000,
        client.group,
        return_mark,
    )
