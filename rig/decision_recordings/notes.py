"""Notes about connections, and events with unknown ids or invalid values."""

from __future__ import annotations

import math
from functools import partial

from rig.decision_recordings import wire
from rig.decision_recordings.clients import Clients
from rig.decision_recordings.endpoint_model import EndpointModel
from rig.decision_recordings.model import (
    MILLISECOND,
    SECOND,
    Endpoint,
    Impairment,
    Outcome,
    Request,
    RequestFlag,
)
from rig.decision_recordings.wire import NoteKind
from rig.decision_recordings.world import World

UNKNOWN_REQUEST = 4_000_000_000
"""Id that no request has."""

UNKNOWN_ADDRESS = b"\xff" * 6
"""Address that no endpoint has."""

UNKNOWN_NOTE_KIND = 9
"""Code that no kind of note has."""

LOAD_NOTE_SHARE = 0.1
"""Share of the connections whose load is noted each second."""

SLOW_MESSAGE_LOAD = 0.8
"""Load above which message times are noted."""

BUSY_MESSAGE_MS = 50.0
"""Time of a message at an endpoint with the impairment BUSY."""

FULL_LOAD_MESSAGE_MS = 30.0
"""Time of a message at load 1; it grows with the fourth power of the load."""


class Notes:
    """Sends notes once a second, and invalid events at the scenario's rate."""

    def __init__(self, world: World, clients: Clients, endpoint_model: EndpointModel) -> None:
        self.world = world
        self.clients = clients
        self.endpoint_model = endpoint_model

    def send_notes(self) -> None:
        """Send the load of some connections, and to each instance one message time of each slow endpoint."""
        world = self.world
        random = world.random
        world.after(SECOND, self.send_notes)
        noted: set[tuple[int, bytes]] = set()
        for request in list(world.requests.values()):
            endpoint = request.endpoint
            if endpoint is None or not request.is_established:
                continue
            note = partial(wire.connection_note, request.id, request.attempt, endpoint.address)
            if random.random() < LOAD_NOTE_SHARE:
                world.send_event(request.instance, note(NoteKind.LOAD, random.uniform(2e4, 1.5e5)))
            load = self.endpoint_model.load(endpoint)
            is_busy = endpoint.fault is Impairment.BUSY
            instance_and_endpoint = (request.instance, endpoint.address)
            if (load > SLOW_MESSAGE_LOAD or is_busy) and instance_and_endpoint not in noted:
                noted.add(instance_and_endpoint)
                message_ms = BUSY_MESSAGE_MS if is_busy else FULL_LOAD_MESSAGE_MS * load**4
                message_ms *= random.uniform(0.8, 1.2)
                world.send_event(request.instance, note(NoteKind.MESSAGE_TIME, message_ms))

    def send_invalid_event(self) -> None:
        """Send an event with an unknown id or an invalid value, and events that reuse a known id."""
        world = self.world
        world.after(world.interval_ns(world.scenario.invalid_events_per_s), self.send_invalid_event)
        if not world.requests:
            return
        number = world.random_live_instance()
        request = world.random.choice(list(world.requests.values()))
        endpoint = world.random.choice(world.endpoints)
        invalid_events = [
            *self._invalid_results(request, endpoint),
            *self._invalid_peer_messages(number, endpoint),
            *self._invalid_notes(request, endpoint),
            wire.adopted_connection(self.clients.new_request(number), UNKNOWN_ADDRESS),
        ]
        world.send_event(number, world.random.choice(invalid_events))
        is_mid_flow = bool(request.flags & RequestFlag.MID_FLOW)
        if request.is_established and not (request.has_client_left or is_mid_flow):
            world.send_event(request.instance, wire.new_request(request))
            world.send_event(request.instance, wire.adopted_connection(request, endpoint.address))

    def _invalid_results(self, request: Request, endpoint: Endpoint) -> list[bytes]:
        address = endpoint.address
        later_attempt = request.attempt + 1 & 0xFF
        columns = len(self.world.scenario.columns)
        return [
            wire.connection_established(UNKNOWN_REQUEST, MILLISECOND, 0, address),
            wire.connection_established(request.id, MILLISECOND, later_attempt, address),
            wire.connection_established(request.id, MILLISECOND, max(0, request.attempt), UNKNOWN_ADDRESS),
            wire.attempt_ended(UNKNOWN_REQUEST, address, False, 0, MILLISECOND, Outcome.ERROR),
            wire.attempt_ended(request.id, address, False, later_attempt, MILLISECOND, Outcome.RESET),
            wire.request_withdrawn(UNKNOWN_REQUEST),
            wire.timer_fired(self.world.random.randrange(40)),
            wire.health_check_result(Outcome.OK, MILLISECOND, UNKNOWN_ADDRESS, [1.0, 1.0]),
            wire.health_check_result(Outcome.OK, MILLISECOND, address, [1.0]),
            wire.health_check_result(Outcome.OK, MILLISECOND, address, [math.nan] * columns),
            wire.health_check_result(Outcome.OK, MILLISECOND, address, [2e6] * columns),
        ]

    def _invalid_peer_messages(self, number: int, endpoint: Endpoint) -> list[bytes]:
        address = endpoint.address
        balancers = self.world.scenario.balancers
        neighbour = (number + 1) % balancers
        return [
            wire.peer_message(number, b"s" + address),
            wire.peer_message(balancers, b"s" + address),
            wire.peer_message(neighbour, b"s" + UNKNOWN_ADDRESS),
            wire.peer_message(neighbour, b"x" + address),
            wire.peer_message(neighbour, b""),
            wire.peer_message(neighbour, b"h" + address),
        ]

    @staticmethod
    def _invalid_notes(request: Request, endpoint: Endpoint) -> list[bytes]:
        address = endpoint.address
        return [
            wire.connection_note(UNKNOWN_REQUEST, 0, address, NoteKind.LOAD, 5e4),
            wire.connection_note(UNKNOWN_REQUEST, 0, address, NoteKind.MESSAGE_TIME, 90.0),
            wire.connection_note(request.id, 0, UNKNOWN_ADDRESS, NoteKind.MESSAGE_TIME, 90.0),
            wire.connection_note(request.id, 0, address, NoteKind.MESSAGE_TIME, math.nan),
            wire.connection_note(request.id, 0, address, NoteKind.LOAD, -1.0),
            wire.connection_note(request.id, 0, address, UNKNOWN_NOTE_KIND, 90.0),
        ]
