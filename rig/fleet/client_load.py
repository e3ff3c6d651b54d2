"""Clients of a run: they arrive at random, send messages, and return after a rejection or disconnect."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from enum import Enum, auto

from rig.fleet.deployment import Deployment
from rig.fleet.node_process import NodeProcess
from rig.fleet.node_settings import MESSAGE_OBJECTIVE_S
from rig.fleet.observations import CLOSED_UNANSWERED, Answer, ClientRequest

MESSAGE_INTERVAL_S = 0.25
"""Interval between a client's messages, in seconds."""

RETURN_DELAY_S = (0.05, 0.4)
"""Shortest and longest delay before a client returns, in seconds."""

ANSWER_TIMEOUT_S = 2.0
"""How long past its deadline a client waits for an answer, then for an erroneous second one; in seconds."""

FIRST_REQUEST_ID = 0x1001
"""Id of the first request."""

MAX_KEY = 1 << 62
"""Exclusive upper bound of the keys."""

MEAN_TIME_TO_ABANDON_S = 0.3
"""Mean time after which a client abandons its unanswered request, in seconds."""


class Reply(Enum):
    """Outcome of a message on an established connection."""

    SERVED = auto()
    LATE = auto()
    MIGRATED = auto()
    ENDED = auto()


@dataclass(slots=True)
class Client:
    """A client: its key and group, and how much longer it wants to be served."""

    key: int
    group: int
    uses_first_node: bool
    remaining_s: float
    is_returning: bool = False
    abandons_after_s: float | None = None
    """How long it waits for an answer before it abandons the request; None if it waits past the deadline."""


class ClientLoad:
    """Runs the clients of a scenario against a deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.traffic = deployment.scenario.traffic
        self.observations = deployment.observations
        self.clock = deployment.clock
        self._next_request_id = FIRST_REQUEST_ID
        self._keys = deployment.scenario.stream("keys")
        self._idle_writers: list[asyncio.StreamWriter] = []

    async def run(self) -> None:
        """Start clients for the scenario's `duration_s`; they continue as background tasks."""
        traffic = self.traffic
        arrivals = self.deployment.scenario.stream("arrivals")
        choices = self.deployment.scenario.stream("who")
        abandonments = self.deployment.scenario.stream("leaves")
        for node in self.deployment.nodes:
            await self._open_idle_connections(node)
        sizes = [1.0 / number**traffic.group_skew for number in range(1, traffic.groups + 1)]
        shares = [size / sum(sizes) for size in sizes]
        arrival_s = self.clock()
        until_s = arrival_s + traffic.duration_s
        while (arrival_s := arrival_s + float(arrivals.exponential(1.0 / traffic.arrivals_per_s))) < until_s:
            await asyncio.sleep(max(0.0, arrival_s - self.clock()))
            group = int(choices.choice(len(sizes), p=shares)) + 1
            uses_first_node = float(choices.random()) < traffic.first_node_share
            lifetime_s = float(choices.exponential(traffic.mean_lifetime_s))
            key = int(self._keys.integers(1, MAX_KEY))
            client = Client(key, group, uses_first_node, min(lifetime_s, 3 * traffic.mean_lifetime_s))
            if float(abandonments.random()) < traffic.leaving_share:
                client.abandons_after_s = float(abandonments.exponential(MEAN_TIME_TO_ABANDON_S))
            self.deployment.background.start(self._run_client(client))

    async def _open_idle_connections(self, node: NodeProcess) -> None:
        """Open connections that send no request; the node may close them."""
        for _ in range(self.traffic.idle_clients):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", node.client_link.port)
                self._idle_writers.append(writer)

    async def _run_client(self, client: Client) -> None:
        """Run a client: its first connection, and later ones until it is served in full or may not return."""
        wanted_s = client.remaining_s
        for number in range(1 + self.traffic.max_retries):
            client.is_returning = number > 0
            began_s = self.clock()
            node = self._choose_node(client)
            if node is not None:
                await self._connect(client, node)
            client.remaining_s -= self.clock() - began_s
            if client.remaining_s <= 0.0:
                break
            await asyncio.sleep(float(self._keys.uniform(*RETURN_DELAY_S)))
        self.observations.wanted_s += wanted_s

    def _choose_node(self, client: Client) -> NodeProcess | None:
        """A node that receives clients; None if there is none."""
        nodes = self.deployment.nodes
        up = [node for node in nodes if node.receives_clients]
        if not up:
            return None
        if client.uses_first_node and nodes[0].receives_clients:
            return nodes[0]
        return up[int(self._keys.integers(len(up)))]

    async def _connect(self, client: Client, node: NodeProcess) -> None:
        """Send a request to the node and, once it is established, messages."""
        deadline_s = self.traffic.deadline_s
        request = ClientRequest(
            self._next_request_id, node.number, self.clock(), deadline_s, client.group, key=client.key
        )
        self._next_request_id += 1
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.client_link.port)
        except OSError:
            return
        self.observations.requests[request.id] = request
        writer.write(request_line(request, client))
        try:
            line = await self._receive_answer(reader, request, client)
            if request.abandoned_s is not None:
                return
            keyword = line.decode().split(" ")[0].strip() or CLOSED_UNANSWERED
            request.answers.append(Answer(self.clock(), keyword))
            if keyword == "UP":
                if await self._send_messages(reader, writer, client.remaining_s):
                    request.cut_off_s = self.clock()
            elif second_line := await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S):
                request.answers.append(Answer(self.clock(), second_line.decode().strip()))
        except (TimeoutError, OSError):
            self.observations.resets += 1
        finally:
            writer.close()

    async def _receive_answer(
        self, reader: asyncio.StreamReader, request: ClientRequest, client: Client
    ) -> bytes:
        """The first line of the answer; empty if the connection ends or the client abandons the request.

        Raises TimeoutError if nothing arrives by ANSWER_TIMEOUT_S after the deadline, OSError for a reset.
        """
        if client.abandons_after_s is None:
            return await asyncio.wait_for(reader.readline(), request.deadline_s + ANSWER_TIMEOUT_S)
        try:
            return await asyncio.wait_for(reader.readline(), client.abandons_after_s)
        except TimeoutError:
            request.abandoned_s = self.clock()
            return b""

    async def _send_messages(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, duration_s: float
    ) -> bool:
        """Send a message per interval; an interval counts as served if its message is echoed in time.

        Returns whether the connection ended early without a MOVE.
        """
        until_s = self.clock() + duration_s
        number = 0
        while (remaining_s := until_s - self.clock()) > 0.0:
            number += 1
            sent_s = self.clock()
            message = b"m %d\r\n" % number
            writer.write(message)
            reply = await self._receive(reader, message)
            if reply in (Reply.MIGRATED, Reply.ENDED):
                return reply is Reply.ENDED
            interval_s = min(MESSAGE_INTERVAL_S, remaining_s)
            await asyncio.sleep(max(0.0, interval_s - (self.clock() - sent_s)))
            if reply is Reply.SERVED:
                self.observations.served_s += interval_s
        return False

    async def _receive(self, reader: asyncio.StreamReader, message: bytes) -> Reply:
        """Wait for the echo of a message; each line has to arrive within the latency objective."""
        try:
            while line := await asyncio.wait_for(reader.readline(), MESSAGE_OBJECTIVE_S):
                if line.startswith(b"MOVE"):
                    self.observations.migrations += 1
                    return Reply.MIGRATED
                if line == message:
                    return Reply.SERVED
        except TimeoutError:
            return Reply.LATE
        except OSError:
            return Reply.ENDED
        return Reply.ENDED


def request_line(request: ClientRequest, client: Client) -> bytes:
    """The OPEN line of a request (the platform's protocol, "Clients to proxies")."""
    returning_field = b",again=1" if client.is_returning else b""
    return b"OPEN %016x %016x c=feed,t=acme,d=%d,g=%x%s\r\n" % (
        request.id,
        client.key,
        request.deadline_s * 1000,
        client.group,
        returning_field,
    )
