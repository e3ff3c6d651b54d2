"""Changes of endpoints by the timeline: faults, drains, restarts and changes of their list entries."""

from __future__ import annotations

from functools import partial

from rig.decision_recordings.attempts import Attempts
from rig.decision_recordings.discovery import Discovery
from rig.decision_recordings.model import SECOND, EndpointState, Impairment, Outcome
from rig.decision_recordings.world import World


class EndpointChanges:
    """Changes endpoints, identified by number, and publishes the changes through discovery."""

    def __init__(self, world: World, discovery: Discovery, attempts: Attempts) -> None:
        self.world = world
        self.discovery = discovery
        self.attempts = attempts

    def set_fault(self, fault: Outcome | Impairment | None, *numbers: int) -> None:
        """Set a fault of these endpoints, or end it (None)."""
        for number in numbers:
            self.world.endpoints[number].fault = fault

    def reset_connections(self, *numbers: int) -> None:
        """Reset all connections to these endpoints."""
        for number in numbers:
            self.attempts.reset_connections(self.world.endpoints[number])

    def drain(self, number: int, seconds: float) -> None:
        """Drain an endpoint; its remaining connections are reset after `seconds`."""
        self._set_state(number, EndpointState.DRAINING)
        self.world.after(seconds * SECOND, partial(self.reset_connections, number))

    def undrain(self, number: int) -> None:
        """Make a draining or removed endpoint ready again, as the same process."""
        self._set_state(number, EndpointState.READY)

    def toggle_drain(self, *numbers: int) -> None:
        """Make the draining ones of these endpoints ready, and drain the others."""
        for number in numbers:
            is_draining = self.world.endpoints[number].state == EndpointState.DRAINING
            self._set_state(number, EndpointState.READY if is_draining else EndpointState.DRAINING)

    def remove(self, number: int) -> None:
        """Remove an endpoint without a drain; its connections are reset a second later."""
        self.unlist(number)
        self.world.after(SECOND, partial(self.reset_connections, number))

    def unlist(self, number: int) -> None:
        """Remove an endpoint from the list; it keeps its connections."""
        self._set_state(number, EndpointState.REMOVED)

    def restart(self, number: int) -> None:
        """Restart an endpoint: its connections are reset, and it is ready as a new process."""
        endpoint = self.world.endpoints[number]
        self.reset_connections(number)
        endpoint.fault = None
        endpoint.started_ns = self.world.now_ns
        self._set_state(number, EndpointState.READY)

    def add(self) -> None:
        """Start a new endpoint."""
        endpoint = self.world.new_endpoint()
        endpoint.started_ns = self.world.now_ns
        self.world.endpoints.append(endpoint)
        self.discovery.publish_change(endpoint)

    def set_weight(self, number: int, weight: float) -> None:
        """Publish another weight of an endpoint; invalid weights are allowed."""
        self.world.endpoints[number].weight = weight
        self.discovery.publish_change(self.world.endpoints[number])

    def _set_state(self, number: int, state: EndpointState) -> None:
        self.world.endpoints[number].state = state
        self.discovery.publish_change(self.world.endpoints[number])
