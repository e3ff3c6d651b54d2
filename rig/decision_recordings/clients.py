"""Simulated clients: new requests, retries, bursts and withdrawals."""

from __future__ import annotations

from functools import partial

from rig.decision_recordings import wire
from rig.decision_recordings.model import MILLISECOND, Request, RequestFlag
from rig.decision_recordings.world import World

LOAD_HINT_SHARE = 0.7
"""Share of the requests that have a load hint."""

WITHDRAWAL_RATE_PER_S = 5.0
"""Rate at which clients that withdraw their request do so; the mean delay is its inverse."""


class Clients:
    """Sends requests to the instances."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.arrivals_per_s = world.scenario.arrivals_per_s

    def new_request(self, instance: int, flags: int = 0) -> Request:
        """A request with random properties, not sent yet."""
        world = self.world
        services = world.scenario.services
        random = world.random
        service = random.randrange(len(services))
        budget = int(services[service]["hardLimitNs"] * random.choice((1.0, 1.0, 0.6, 0.2)))
        has_load_hint = random.random() < LOAD_HINT_SHARE
        return Request(
            id=next(world.request_ids),
            instance=instance,
            service=service,
            group=random.choice(world.groups) if world.groups else 0,
            key=random.choice((0, random.choice(world.keys))),
            load_hint=random.randint(20, 90) * MILLISECOND if has_load_hint else 0,
            flags=flags | (RequestFlag.HAS_LOAD_HINT if has_load_hint else 0),
            budget_ns=random.choice((budget, budget, 0)),
        )

    def next_request_of(self, former: Request, instance: int, flags: int) -> Request:
        """A new request of a former request's client: same class, group and key; not sent yet."""
        request = self.new_request(instance, flags)
        request.service = former.service
        request.group = former.group
        request.key = former.key
        return request

    def send_next_request(self, former: Request, flags: int) -> None:
        """Send a new request of a former request's client, as a retry or reconnect, to any live instance."""
        self.send(self.next_request_of(former, self.world.random_live_instance(), flags))

    def send(self, request: Request) -> None:
        """Send a request; some of the clients withdraw it after a random delay."""
        world = self.world
        hard_limit_ns = world.scenario.services[request.service]["hardLimitNs"]
        request.deadline_ns = world.now_ns + (request.budget_ns or hard_limit_ns)
        world.requests[request.id] = request
        world.send_event(request.instance, wire.new_request(request))
        if world.random.random() < world.scenario.withdrawn_share:
            world.after(world.interval_ns(WITHDRAWAL_RATE_PER_S), partial(self.withdraw, request))

    def withdraw(self, request: Request) -> None:
        """Withdraw a request; the result of an attempt in flight is still sent."""
        if request.id in self.world.requests and not request.has_client_left:
            request.has_client_left = True
            self.world.send_event(request.instance, wire.request_withdrawn(request.id))

    def arrive(self) -> None:
        """Send the request of a new client, and schedule the next one."""
        self.world.after(self.world.interval_ns(self.arrivals_per_s), self.arrive)
        self.send(self.new_request(self.world.random_live_instance()))

    def set_arrivals(self, per_s: float) -> None:
        """Change the arrival rate of new clients."""
        self.arrivals_per_s = per_s

    def burst(self, requests: int) -> None:
        """Send this many requests at once, about half of them of clients that reconnect."""
        for _ in range(requests):
            instance = self.world.random_live_instance()
            self.send(self.new_request(instance, RequestFlag.RETURNED * self.world.random.randrange(2)))
