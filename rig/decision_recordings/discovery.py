"""Simulated discovery: endpoint lists that reach instances late, as deltas or not at all."""

from __future__ import annotations

from functools import partial

from rig.decision_recordings import wire
from rig.decision_recordings.model import MILLISECOND, SECOND, Endpoint, EndpointState, Instance
from rig.decision_recordings.wire import ListForm
from rig.decision_recordings.world import World

WATCH_ANSWER_NS = 20 * MILLISECOND
"""Time until the call that starts a watch is answered."""

FULL_LIST_SHARE = 0.2
"""Share of the lists that are sent in full where a delta would do."""


class Discovery:
    """Sends endpoint lists to the instances that receive them, by a watch or pushed."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.is_up = True
        self.is_watch_needed = world.scenario.settings.get("discovery") == "ask"

    def publish_change(self, *endpoints: Endpoint) -> None:
        """Create a new version of the list, which reaches each instance after a random delay."""
        world = self.world
        world.list_version += 1
        for endpoint in endpoints:
            endpoint.listed_version = world.list_version
        for instance in world.instances:
            delay_ns = world.random.uniform(0.05, 0.6) * SECOND
            world.after(delay_ns, partial(self.send_list, instance.number, instance.start_count))

    def send_list(self, number: int, start_count: int, is_full: bool = False) -> None:
        """Send the changes since the instance's list, or at random the full list.

        `start_count` is the instance's count when this was scheduled: nothing is sent after a restart.
        """
        world = self.world
        instance = world.instances[number]
        if not instance.receives_lists or not self.is_up or instance.start_count != start_count:
            return
        is_full = is_full or not instance.list_version or world.random.random() < FULL_LIST_SHARE
        if is_full:
            listed = [e for e in world.endpoints if e.state != EndpointState.REMOVED]
        else:
            listed = [e for e in world.endpoints if e.listed_version > instance.list_version]
        instance.list_version = world.list_version
        form = ListForm.FULL if is_full else ListForm.DELTA
        entries = [wire.list_entry(endpoint) for endpoint in listed]
        world.send_event(number, wire.endpoint_list(form, world.list_version, entries))

    def watch(self, instance: Instance, _is_on: int) -> None:
        """Start a watch of an instance."""
        answer = partial(self._answer_watch, instance.number, instance.start_count)
        self.world.after(WATCH_ANSWER_NS, answer)

    def _answer_watch(self, number: int, start_count: int) -> None:
        instance = self.world.instances[number]
        if instance.start_count != start_count:
            return
        if not self.is_up or self.world.random.random() < self.world.scenario.failed_watch_share:
            instance.receives_lists = False
            self.world.send_event(number, wire.endpoint_list(ListForm.FAILED, 0))
        else:
            instance.receives_lists = True
            self.send_list(number, start_count)

    # Timeline.

    def set_discovery(self, is_up: bool) -> None:
        """Start an outage of discovery, which breaks watches, or end it."""
        self.is_up = is_up
        for instance in self.world.instances:
            if is_up and not self.is_watch_needed:
                self.send_list(instance.number, instance.start_count)
            elif not is_up:
                instance.receives_lists = instance.receives_lists and not self.is_watch_needed
                failure = wire.endpoint_list(ListForm.FAILED, self.world.list_version)
                self.world.send_event(instance.number, failure)

    def publish(self) -> None:
        """Send the full list to all instances that receive lists."""
        for instance in self.world.instances:
            self.send_list(instance.number, instance.start_count, is_full=True)

    def send_cached(self, *missing: int) -> None:
        """Send all instances a cached list without these endpoints."""
        world = self.world
        omitted = [world.endpoints[number] for number in missing]
        entries = [
            wire.list_entry(endpoint)
            for endpoint in world.endpoints
            if endpoint.state != EndpointState.REMOVED and endpoint not in omitted
        ]
        for instance in world.instances:
            instance.list_version = 0
            record = wire.endpoint_list(ListForm.CACHED, world.list_version, entries)
            world.send_event(instance.number, record)
