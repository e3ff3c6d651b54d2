"""Emulated endpoint: accepts connections, and serves them unless their load exceeds its capacity."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass
from typing import NamedTuple

from rig.fleet.faulty_links import reset_connection
from rig.fleet.listeners import NodeListeners
from rig.fleet.observations import Attempt, EndpointStart, Observations, RunClock
from rig.fleet.scenario import Scenario

DROP_INTERVAL_S = 0.1
"""Interval at which an overloaded endpoint drops its heaviest connection, in seconds."""

WARMED_UP_START_S = -1e9
"""Start time of an endpoint that has finished its warm-up before the run, in seconds of the run."""

MICROCORES = 1e6
"""Microcores in a core; a LOAD line is in microcores."""


class RequestLine(NamedTuple):
    """Id and named values of an OPEN line."""

    id: int
    values: dict[str, str]


def parse_request_line(line: bytes) -> RequestLine:
    """Parse an OPEN line from a node, which is assumed to be valid."""
    _, request_id, _, values = line.decode().split(" ", 3)
    return RequestLine(int(request_id, 16), dict(pair.split("=", 1) for pair in values.strip().split(",")))


@dataclass(slots=True, eq=False)
class ModelConnection:
    """An established connection, with its load in cores."""

    writer: asyncio.StreamWriter
    request_id: int
    group: str
    load: float


class ModelEndpoint:
    """Has a capacity of `cores` after the warm-up; each connection adds its load, each group its overhead."""

    def __init__(
        self,
        uid: str,
        scenario: Scenario,
        observations: Observations,
        clock: RunClock,
        is_warming_up: bool,
    ) -> None:
        self.uid = uid
        self.scenario = scenario
        self.observations = observations
        self.clock = clock
        self.state = "SERVING"
        self.min_accept_s = 0.0
        """Lower bound of the time until it accepts, in seconds; set by the `slow` fault."""

        self.listeners = NodeListeners()
        self.boot_ms = 0
        self._started_s = WARMED_UP_START_S
        self._load_stream = scenario.stream("load-" + uid)
        self._connections: set[ModelConnection] = set()
        if is_warming_up:
            self._begin_warm_up()

    def _begin_warm_up(self) -> None:
        settings = self.scenario.endpoints
        self._started_s = self.clock()
        self.boot_ms = int(time.time() * 1000)
        start = EndpointStart(
            self.uid, self._started_s, settings.warm_up_s, settings.slow_start_window_s, self.allowed
        )
        self.observations.starts.append(start)

    def warm_up_factor(self, age_s: float) -> float:
        """Share of its capacity that it has `age_s` seconds after its start."""
        settings = self.scenario.endpoints
        progress = max(0.0, age_s) / settings.warm_up_s
        return min(1.0, settings.warm_up_from + (1.0 - settings.warm_up_from) * progress)

    def allowed(self, age_s: float) -> float:
        """Connections allowed in a slow-start window: a multiple of the even rate that fills the endpoint."""
        settings = self.scenario.endpoints
        even_rate_per_s = settings.cores / self.scenario.traffic.mean_load / settings.warm_up_s
        return (
            settings.slow_start_multiple
            * even_rate_per_s
            * self.warm_up_factor(age_s)
            * settings.slow_start_window_s
        )

    def load(self) -> float:
        """Load of all connections and groups, in cores."""
        traffic = self.scenario.traffic
        groups = len({connection.group for connection in self._connections})
        connections_load = sum(connection.load for connection in self._connections)
        return connections_load + groups * traffic.group_overhead * traffic.mean_load

    @property
    def is_overloaded(self) -> bool:
        """Whether its load exceeds its current capacity."""
        capacity = self.scenario.endpoints.cores * self.warm_up_factor(self.clock() - self._started_s)
        return self.load() > capacity

    async def open(self) -> None:
        """Listen for each node."""
        await self.listeners.open(self.scenario.nodes, self._serve)

    def drop_overload(self) -> None:
        """Reset the heaviest connection if the endpoint is overloaded."""
        if self.is_overloaded and self._connections:
            heaviest = max(self._connections, key=lambda connection: connection.load)
            self._connections.discard(heaviest)
            self._record_end(heaviest)
            reset_connection(heaviest.writer)

    def _record_end(self, connection: ModelConnection) -> None:
        """Record that the endpoint ends the connection."""
        self.observations.ended_by_endpoint.add(connection.request_id)

    def drain(self) -> None:
        """Accept no more connections; with `migrates_when_draining`, ask all clients to migrate."""
        self.state = "DRAINING"
        if not self.scenario.endpoints.migrates_when_draining:
            return
        for connection in list(self._connections):
            self._record_end(connection)
            with contextlib.suppress(OSError):
                connection.writer.write(b"MOVE\r\n")
                connection.writer.close()

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.state = "DELETED"
        self.listeners.close()
        for connection in list(self._connections):
            self._record_end(connection)
            reset_connection(connection.writer)
        self._connections.clear()

    async def restart(self) -> None:
        """Listen again after `stop`, as a new process under the same uid that warms up."""
        self.state = "SERVING"
        self._begin_warm_up()
        await self.open()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: int) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            line = await reader.readline()
            while line.startswith((b"PING", b"STATS")):
                writer.write(b"PONG\r\n")
                line = await reader.readline()
            if line.startswith(b"OPEN "):
                await self._serve_attempt(line, reader, writer, node)
        writer.close()

    async def _serve_attempt(
        self, line: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: int
    ) -> None:
        settings = self.scenario.endpoints
        request = parse_request_line(line)
        attempt = Attempt(request.id, node, self.uid, self.clock())
        self.observations.attempts.append(attempt)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(self.min_accept_s, settings.accept_s)):
                await reader.read(1)  # before the answer, only the end of the connection may arrive
                attempt.ended_s = self.clock()
                return
        attempt.ended_s = self.clock()
        if self.state != "SERVING" or len(self._connections) >= settings.max_connections:
            writer.write(b"BUSY\r\n")
            return
        load = float(self._load_stream.exponential(self.scenario.traffic.mean_load))
        connection = ModelConnection(writer, request.id, request.values.get("g", ""), load)
        writer.write(b"UP %s\r\nLOAD %.1f\r\n" % (self.uid.encode(), load * MICROCORES))
        await self._serve_connection(connection, reader)

    async def _serve_connection(self, connection: ModelConnection, reader: asyncio.StreamReader) -> None:
        """Echo messages; those that arrive while the endpoint is overloaded get no answer."""
        self._connections.add(connection)
        try:
            while line := await reader.readline():
                if not self.is_overloaded:
                    connection.writer.write(line)
        finally:
            self._connections.discard(connection)
