"""Starts and stops of the instances, their timers and the messages between them."""

from __future__ import annotations

from functools import partial

from rig.decision_recordings import wire
from rig.decision_recordings.attempts import Attempts
from rig.decision_recordings.clients import Clients
from rig.decision_recordings.discovery import Discovery
from rig.decision_recordings.model import MILLISECOND, SECOND, EndpointState, Instance, Request, RequestFlag
from rig.decision_recordings.wire import ListForm
from rig.decision_recordings.world import World

ALL_PEERS = 0xFFFF
"""Number that addresses all other instances."""

RETURN_AFTER_STOP_PER_S = 2.0
"""Rate at which clients reconnect after their instance stopped; the mean delay is its inverse."""

ADOPTED_SHARE = 0.5
"""Share of the passed-through connections that the restarted instance itself adopts."""


class Instances:
    """Lifecycle of the instances."""

    def __init__(self, world: World, clients: Clients, attempts: Attempts, discovery: Discovery) -> None:
        self.world = world
        self.clients = clients
        self.attempts = attempts
        self.discovery = discovery

    def start(self, number: int) -> None:
        """Start an instance with a cached list, which after a restart lacks an endpoint."""
        world = self.world
        instance = world.instances[number]
        instance.is_live = True
        instance.receives_lists = not self.discovery.is_watch_needed
        instance.start_count += 1
        instance.list_version = world.list_version
        settings = world.scenario.settings_of(number)
        world.send_event(number, wire.create(world.random.getrandbits(64), settings))
        known = [endpoint for endpoint in world.endpoints if endpoint.state != EndpointState.REMOVED]
        if instance.start_count > 1:
            known.pop(world.random.randrange(len(known)))
            instance.list_version = 0
        entries = [wire.list_entry(endpoint) for endpoint in known]
        world.send_event(number, wire.endpoint_list(ListForm.CACHED, world.list_version, entries))
        for _ in range(world.scenario.adopted_connections):
            request = self.clients.new_request(number)
            self.attempts.adopt(number, request, world.random.choice(world.endpoints))
        world.after(SECOND, partial(self.discovery.send_list, number, instance.start_count))

    def stop(self, number: int, restart_after_s: float = -1.0) -> None:
        """Kill an instance; it restarts at once (0.0), after a delay, or never (below zero).

        Its connections break; in pass-through mode they reach a live instance instead.
        """
        world = self.world
        instance = world.instances[number]
        world.send_event(number, wire.stop())
        if restart_after_s == 0.0:
            self.start(number)
        else:
            instance.is_live = False
            world.after(SECOND // 2, partial(self._send_to_killed, number, instance.start_count))
        if restart_after_s > 0.0:
            world.after(restart_after_s * SECOND, partial(self.start, number))
        for request in [r for r in world.requests.values() if r.instance == number]:
            self._end_with_instance(request, is_restarted=restart_after_s == 0.0)

    def _end_with_instance(self, request: Request, is_restarted: bool) -> None:
        """End a request of an instance that stopped; its client reconnects, or its connection moves."""
        world = self.world
        endpoint = request.endpoint
        self.attempts.end(request)
        if request.has_client_left:
            return
        is_passing = world.scenario.family.get("mode") == "pass"
        if not is_passing or endpoint is None or not request.is_established:
            delay_ns = world.interval_ns(RETURN_AFTER_STOP_PER_S)
            world.after(delay_ns, partial(self.clients.send_next_request, request, RequestFlag.RETURNED))
        elif is_restarted and world.random.random() < ADOPTED_SHARE:
            former_instance = request.instance
            next_request = self.clients.next_request_of(request, former_instance, request.flags)
            self.attempts.adopt(former_instance, next_request, endpoint)
        else:
            flags = RequestFlag.MID_FLOW | RequestFlag.RETURNED * world.random.randrange(2)
            self.clients.send_next_request(request, flags)

    def _send_to_killed(self, number: int, start_count: int) -> None:
        """Send an event to an instance that was killed and not restarted."""
        instance = self.world.instances[number]
        if not instance.is_live and instance.start_count == start_count:
            record = wire.new_request(self.clients.new_request(number))
            self.world.send_event_unchecked(number, record)

    # Actions of the instances.

    def send_peer_message(self, instance: Instance, peer: int, data: bytes) -> None:
        """Deliver a message to one other instance or to all; some are lost."""
        world = self.world
        for other in world.instances:
            is_addressed = other is not instance and peer in (other.number, ALL_PEERS)
            if is_addressed and world.random.random() >= world.scenario.peer_loss:
                message = wire.peer_message(instance.number, data)
                delay_ns = world.random.uniform(1, 30) * MILLISECOND
                world.after(delay_ns, partial(world.send_event, other.number, message))

    def set_timer(self, instance: Instance, delay_ns: int, token: int) -> None:
        """Set a timer."""
        fire = partial(self._fire_timer, instance.number, instance.start_count, token)
        self.world.after(delay_ns, fire)

    def _fire_timer(self, number: int, start_count: int, token: int) -> None:
        if self.world.instances[number].start_count == start_count:
            self.world.send_event(number, wire.timer_fired(token))

    # Timeline.

    def send_false_reports(self, number: int) -> None:
        """Send reports that an endpoint is silent, from senders that are not peers."""
        balancers = self.world.scenario.balancers
        data = b"s" + self.world.endpoints[number].address
        for instance in self.world.instances:
            for sender in (balancers, balancers + 1, instance.number):
                self.world.send_event(instance.number, wire.peer_message(sender, data))
