"""What the timeline does to endpoints: faults, drains, restarts and changes of their entries in the list."""

from __future__ import annotations

from functools import partial

from rig.decision_recordings.attempts import Attempts
from rig.decision_recordings.discovery import Discovery
from rig.decision_recordings.model import SECOND, Condition, EndpointState, Outcome
from rig.decision_recordings.world import World


class EndpointChanges:
    """Changes endpoints, named by their number, and has discovery publish that."""

    def __init__(self, world: World, discovery: Discovery, attempts: Attempts) -> None:
        self.world = world
        self.discovery = discovery
        self.attempts = attempts

    def set_fault(self, fault: Outcome | Condition | None, *numbers: int) -> None:
        """Endpoints begin to fail in one way, or serve again (None)."""
        for number in numbers:
            self.world.endpoints[number].fault = fault

    def reset_connections(self, *numbers: int) -> None:
        """Endpoints reset all of their connections."""
        for number in numbers:
            self.attempts.reset_connections(self.world.endpoints[number])

    def drain(self, number: int, seconds: float) -> None:
        """An endpoint leaves: it accepts nothing new, and stops after a while."""
        self._set_state(number, EndpointState.DRAINING)
        self.world.after(seconds * SECOND, partial(self.reset_connections, number))

    def undrain(self, number: int) -> None:
        """An endpoint that drained or was not listed is ready again, as the same process."""
        self._set_state(number, EndpointState.READY)

    def toggle_drain(self, *numbers: int) -> None:
        """Endpoints that drain are ready again, all others drain."""
        for number in numbers:
            is_draining = self.world.endpoints[number].state == EndpointState.DRAINING
            self._set_state(number, EndpointState.READY if is_draining else EndpointState.DRAINING)

    def remove(self, number: int) -> None:
        """An endpoint leaves without a drain, and stops a second later."""
        self.unlist(number)
        self.world.after(SECOND, partial(self.reset_connections, number))

    def unlist(self, number: int) -> None:
        """Discovery forgets an endpoint that serves on."""
        self._set_state(number, EndpointState.GONE)

    def restart(self, number: int) -> None:
        """An endpoint comes back as a new process."""
        endpoint = self.world.endpoints[number]
        self.reset_connections(number)
        endpoint.fault = None
        endpoint.started_ns = self.world.now_ns
        self._set_state(number, EndpointState.READY)

    def add(self) -> None:
        """A new endpoint starts."""
        endpoint = self.world.new_endpoint()
        endpoint.started_ns = self.world.now_ns
        self.world.endpoints.append(endpoint)
        self.discovery.publish_change(endpoint)

    def set_weight(self, number: int, weight: float) -> None:
        """Publish another weight of an endpoint, which may be no sensible one."""
        self.world.endpoints[number].weight = weight
        self.discovery.publish_change(self.world.endpoints[number])

    def _set_state(self, number: int, state: EndpointState) -> None:
        self.world.endpoints[number].state = state
        self.discovery.publish_change(self.world.endpoints[number])
