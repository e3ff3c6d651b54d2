"""Shared state of the simulated fleet: clock, random source, endpoints, requests and the next batch."""

from __future__ import annotations

import heapq
import random
import struct
from collections.abc import Callable
from itertools import count

from rig.decision_recordings.model import SECOND, Endpoint, Instance, Request
from rig.decision_recordings.scenario import Scenario

START_NS = 1_000 * SECOND
"""Simulated time of the first batch."""

KEY_COUNT = 60
"""Number of distinct keys of requests."""

ENDPOINT_PORT = 7000
"""Port before that of the first endpoint; each further one has the next."""

ENDPOINT_WEIGHTS = (1.0, 2.0)
"""Weight of an endpoint, by its kind."""

Callback = Callable[[], None]


class Schedule:
    """Callbacks ordered by due time; of those due at the same time the earlier scheduled runs first."""

    def __init__(self, now_ns: int) -> None:
        self.now_ns = now_ns
        self._sequence = count()
        self._queue: list[tuple[int, int, Callback]] = []

    def after(self, delay_ns: float, callback: Callback) -> None:
        """Schedule the callback in `delay_ns`, at least one nanosecond from now."""
        due_ns = self.now_ns + max(1, int(delay_ns))
        heapq.heappush(self._queue, (due_ns, next(self._sequence), callback))

    def next_due_ns(self) -> int | None:
        """Due time of the next callback; None if there is none."""
        return self._queue[0][0] if self._queue else None

    def run_due(self) -> None:
        """Run the callbacks that are due."""
        while self._queue and self._queue[0][0] <= self.now_ns:
            heapq.heappop(self._queue)[2]()


class World:
    """State of the fleet; random values all come from `random`, so recordings depend on call order."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = random.Random(scenario.seed)
        self.schedule = Schedule(START_NS)
        self.request_ids = count(1)
        self._address_numbers = count(1)
        self._batch: dict[int, list[bytes]] = {}
        self.list_version = 1
        self.endpoints = [self.new_endpoint() for _ in range(scenario.endpoints)]
        for endpoint in self.endpoints[: scenario.warming_up_endpoints]:
            endpoint.started_ns = START_NS - SECOND
        self.instances = [Instance(number) for number in range(scenario.instances)]
        self.requests: dict[int, Request] = {}
        self.keys = [self.random.getrandbits(64) for _ in range(KEY_COUNT)]
        self.groups = [self.random.getrandbits(64) for _ in range(scenario.groups)]

    @property
    def now_ns(self) -> int:
        """Simulated time of the next batch."""
        return self.schedule.now_ns

    def after(self, delay_ns: float, callback: Callback) -> None:
        """Schedule the callback in `delay_ns`."""
        self.schedule.after(delay_ns, callback)

    def interval_ns(self, rate_per_s: float) -> float:
        """A random time between two events of a Poisson process with this rate."""
        return self.random.expovariate(rate_per_s) * SECOND

    def send_event(self, instance: int, record: bytes) -> None:
        """Add an event to the next batch, unless the instance is not live."""
        if self.instances[instance].is_live:
            self.send_event_unchecked(instance, record)

    def send_event_unchecked(self, instance: int, record: bytes) -> None:
        """Add an event to the next batch, even if the instance is not live."""
        self._batch.setdefault(instance, []).append(record)

    def take_batch(self) -> dict[int, list[bytes]]:
        """Take the events since the last call, by instance."""
        batch = self._batch
        self._batch = {}
        return batch

    def random_live_instance(self) -> int:
        """Number of a random live instance."""
        return self.random.choice([instance.number for instance in self.instances if instance.is_live])

    def new_endpoint(self) -> Endpoint:
        """A new endpoint with the next address; zones, cells and kinds alternate."""
        number = next(self._address_numbers)
        zone = (number - 1) % self.scenario.zones
        cell = (number - 1) // (self.scenario.zones * self.scenario.cell_size) * self.scenario.zones + zone
        address = struct.pack(">BBHH", 10, zone, number * 257 & 0xFFFF, ENDPOINT_PORT + number)
        kind = number % len(ENDPOINT_WEIGHTS)
        return Endpoint(address, zone, kind, cell, ENDPOINT_WEIGHTS[kind])

    def endpoint_at(self, address: bytes) -> Endpoint:
        """The endpoint with this address."""
        return next(endpoint for endpoint in self.endpoints if endpoint.address == address)
