"""Closed loop around one `sim` command: its actions determine the events that it gets next."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from rig.decision_recordings import wire
from rig.decision_recordings.attempts import Attempts
from rig.decision_recordings.clients import Clients
from rig.decision_recordings.discovery import Discovery
from rig.decision_recordings.endpoint_changes import EndpointChanges
from rig.decision_recordings.endpoint_model import EndpointModel
from rig.decision_recordings.instances import Instances
from rig.decision_recordings.model import SECOND
from rig.decision_recordings.notes import Notes
from rig.decision_recordings.scenario import STEP_NS, Scenario
from rig.decision_recordings.world import World


class Fleet:
    """Runs a scenario; `exchange` sends one frame to the command and returns its reply."""

    def __init__(self, scenario: Scenario, exchange: Callable[[bytes], bytes]) -> None:
        self.scenario = scenario
        self.exchange = exchange
        self.world = World(scenario)
        self.clients = Clients(self.world)
        self.endpoint_model = EndpointModel(self.world)
        self.attempts = Attempts(self.world, self.endpoint_model, self.clients)
        self.discovery = Discovery(self.world)
        self.endpoint_changes = EndpointChanges(self.world, self.discovery, self.attempts)
        self.instances = Instances(self.world, self.clients, self.attempts, self.discovery)
        self.notes = Notes(self.world, self.clients, self.endpoint_model)
        self.timeline_actions = self._timeline_actions()
        self.instance_actions = self._instance_actions()

    def _timeline_actions(self) -> dict[str, Callable[..., None]]:
        changes = self.endpoint_changes
        return {
            "add": changes.add,
            "burst": self.clients.burst,
            "drain": changes.drain,
            "end_attempts": self.attempts.end_attempts,
            "publish": self.discovery.publish,
            "remove": changes.remove,
            "reset_connections": changes.reset_connections,
            "restart": changes.restart,
            "send_cached": self.discovery.send_cached,
            "send_false_reports": self.instances.send_false_reports,
            "set_arrivals": self.clients.set_arrivals,
            "set_discovery": self.discovery.set_discovery,
            "set_fault": changes.set_fault,
            "set_weight": changes.set_weight,
            "stop": self.instances.stop,
            "toggle_drain": changes.toggle_drain,
            "undrain": changes.undrain,
            "unlist": changes.unlist,
        }

    def _instance_actions(self) -> dict[str, Callable[..., Any]]:
        return {
            "reject": self.attempts.reject,
            "fail": self.attempts.fail,
            "watch": self.discovery.watch,
            "send_peer_message": self.instances.send_peer_message,
            "set_timer": self.instances.set_timer,
            "check_health": self.endpoint_model.check_health,
            "migrate": self.attempts.migrate,
            "cancel": self.attempts.cancel,
            "send": self.attempts.send,
        }

    def run(self) -> None:
        """Run the scenario to its end."""
        world = self.world
        schedule = world.schedule
        self._schedule_all()
        self.exchange(wire.frame(world.now_ns, []))
        end_ns = world.now_ns + int(self.scenario.duration_s * SECOND)
        while (due_ns := schedule.next_due_ns()) is not None and due_ns < end_ns:
            next_step_ns = -(-due_ns // STEP_NS) * STEP_NS
            schedule.now_ns = max(schedule.now_ns, next_step_ns)
            schedule.run_due()
            self._send_batch()

    def _schedule_all(self) -> None:
        world = self.world
        for instance in world.instances:
            world.after(0, partial(self.instances.start, instance.number))
        for event in self.scenario.timeline:
            callback = partial(self.timeline_actions[event.action], *event.arguments)
            world.after(event.at_s * SECOND, callback)
        world.after(world.interval_ns(self.clients.arrivals_per_s), self.clients.arrive)
        world.after(SECOND, self.notes.send_notes)
        if self.scenario.invalid_events_per_s:
            world.after(world.interval_ns(self.scenario.invalid_events_per_s), self.notes.send_invalid_event)

    def _send_batch(self) -> None:
        batch = self.world.take_batch()
        if not batch:
            return
        records = []
        for number, events in sorted(batch.items()):
            records.append(wire.select_instance(number))
            records.extend(events)
        for action in wire.actions(self.exchange(wire.frame(self.world.now_ns, records))):
            perform = self.instance_actions[action.name]
            perform(self.world.instances[action.instance], *action.fields)
