"""Simulated discovery: lists of endpoints that reach each instance late, in part or not at all."""

from __future__ import annotations

from functools import partial

from rig.decision_recordings import wire
from rig.decision_recordings.model import MILLISECOND, SECOND, Endpoint, EndpointState, Instance
from rig.decision_recordings.wire import ListForm
from rig.decision_recordings.world import World

SUBSCRIPTION_NS = 20 * MILLISECOND
"""Time until a subscription is answered, in nanoseconds."""

FULL_LIST_SHARE = 0.2
"""Share of the changes that are sent as a full list."""


class Discovery:
    """Publishes the endpoints to the instances that are subscribed."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.is_up = True
        self.is_subscription_needed = world.scenario.settings.get("discovery") == "ask"

    def publish_change(self, *endpoints: Endpoint) -> None:
        """Make a new version of the list, which reaches each subscriber after a while."""
        world = self.world
        world.list_version += 1
        for endpoint in endpoints:
            endpoint.listed_version = world.list_version
        for instance in world.instances:
            delay_ns = world.random.uniform(0.05, 0.6) * SECOND
            world.after(delay_ns, partial(self.send_list, instance.number, instance.starts))

    def send_list(self, number: int, starts: int, is_full: bool = False) -> None:
        """Send what changed since the list that the instance has, now and then the full list.

        `starts` is the instance's count of starts when this was scheduled: a later start gets no such list.
        """
        world = self.world
        instance = world.instances[number]
        if not instance.is_subscribed or not self.is_up or instance.starts != starts:
            return
        is_full = is_full or not instance.list_version or world.random.random() < FULL_LIST_SHARE
        if is_full:
            listed = [e for e in world.endpoints if e.state != EndpointState.GONE]
        else:
            listed = [e for e in world.endpoints if e.listed_version > instance.list_version]
        instance.list_version = world.list_version
        form = ListForm.FULL if is_full else ListForm.DELTA
        entries = [wire.list_entry(endpoint) for endpoint in listed]
        world.send_event(number, wire.endpoint_list(form, world.list_version, entries))

    def listen(self, instance: Instance, _subscribe: int) -> None:
        """An instance subscribes."""
        answer = partial(self._answer_subscription, instance.number, instance.starts)
        self.world.after(SUBSCRIPTION_NS, answer)

    def _answer_subscription(self, number: int, starts: int) -> None:
        instance = self.world.instances[number]
        if instance.starts != starts:
            return
        if not self.is_up or self.world.random.random() < self.world.scenario.listen_failures:
            instance.is_subscribed = False
            self.world.send_event(number, wire.endpoint_list(ListForm.FAILED, 0))
        else:
            instance.is_subscribed = True
            self.send_list(number, starts)

    # Timeline.

    def set_discovery(self, is_up: bool) -> None:
        """An outage of discovery begins, which breaks subscriptions, or ends."""
        self.is_up = is_up
        for instance in self.world.instances:
            if is_up and not self.is_subscription_needed:
                self.send_list(instance.number, instance.starts)
            elif not is_up:
                instance.is_subscribed = instance.is_subscribed and not self.is_subscription_needed
                failure = wire.endpoint_list(ListForm.FAILED, self.world.list_version)
                self.world.send_event(instance.number, failure)

    def publish(self) -> None:
        """Send the full list to everyone."""
        for instance in self.world.instances:
            self.send_list(instance.number, instance.starts, is_full=True)

    def send_cached(self, *missing: int) -> None:
        """Everyone falls back to a cached list, in which some endpoints are missing."""
        world = self.world
        omitted = [world.endpoints[number] for number in missing]
        entries = [
            wire.list_entry(endpoint)
            for endpoint in world.endpoints
            if endpoint.state != EndpointState.GONE and endpoint not in omitted
        ]
        for instance in world.instances:
            instance.list_version = 0
            record = wire.endpoint_list(ListForm.CACHED, world.list_version, entries)
            world.send_event(instance.number, record)
