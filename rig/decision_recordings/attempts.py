"""Simulated attempts and the connections they establish, from an instance's action to their end."""

from __future__ import annotations

from functools import partial

from rig.decision_recordings import wire
from rig.decision_recordings.clients import Clients
from rig.decision_recordings.endpoint_model import EndpointModel
from rig.decision_recordings.model import (
    MILLISECOND,
    Endpoint,
    Instance,
    Outcome,
    Request,
    RequestFlag,
)
from rig.decision_recordings.world import World

RETRY_SHARE = 0.6
"""Share of the rejected clients that retry."""

RETURN_AFTER_RESET_PER_S = 4.0
"""Rate at which clients reconnect after a reset; the mean delay is its inverse."""

RETURN_AFTER_MIGRATION_PER_S = 10.0
"""Rate at which clients reconnect after a migration; the mean delay is its inverse."""


class Attempts:
    """Performs the instances' actions on requests and sends them the results."""

    def __init__(self, world: World, endpoint_model: EndpointModel, clients: Clients) -> None:
        self.world = world
        self.endpoint_model = endpoint_model
        self.clients = clients

    # Actions of the instances.

    def send(self, instance: Instance, request_id: int, timeout_ns: int, address: bytes) -> None:
        """Send an attempt; raises RuntimeError if one is in flight or the request is another instance's."""
        world = self.world
        request = world.requests[request_id]
        endpoint = world.endpoint_at(address)
        if request.instance != instance.number or request.endpoint is not None:
            raise RuntimeError(f"request {request_id} has an attempt in flight, or is another instance's")
        request.attempt += 1
        request.endpoint = endpoint
        request.sent_ns = world.now_ns
        endpoint.open_connections += 1
        outcome, delay_ns = self.endpoint_model.draw_outcome(endpoint)
        remaining_ns = max(1, request.deadline_ns - world.now_ns)
        limit_ns = min(timeout_ns, remaining_ns) if timeout_ns > 0 else remaining_ns
        if delay_ns >= limit_ns:
            outcome = Outcome.TIMEOUT
            delay_ns = limit_ns
        if outcome is None:
            world.after(delay_ns, partial(self._accept, request, request.attempt))
        else:
            world.after(delay_ns, partial(self.finish, request, request.attempt, outcome))

    def reject(self, _instance: Instance, request_id: int, retry_after_ns: int) -> None:
        """Reject a request; some of the clients retry after the requested delay."""
        request = self._end_unsent(request_id)
        random = self.world.random
        if not request.has_client_left and random.random() < RETRY_SHARE:
            delay_ns = retry_after_ns * random.uniform(1.0, 1.3) + 50 * MILLISECOND
            self.world.after(delay_ns, partial(self.clients.send_next_request, request, RequestFlag.RETRY))

    def fail(self, _instance: Instance, request_id: int) -> None:
        """Fail a request."""
        self._end_unsent(request_id)

    def migrate(self, _instance: Instance, request_id: int) -> None:
        """Migrate a connection; no effect if it has just ended."""
        request = self.world.requests.get(request_id)
        if request is None or not request.is_established:
            return
        self.finish(request, request.attempt, Outcome.OK)
        delay_ns = self.world.interval_ns(RETURN_AFTER_MIGRATION_PER_S)
        self.world.after(delay_ns, partial(self.clients.send_next_request, request, RequestFlag.RETURNED))

    def cancel(self, _instance: Instance, request_id: int, attempt: int) -> None:
        """Cancel an attempt, unless it has ended or its connection is established."""
        request = self.world.requests.get(request_id)
        if request is not None and not request.is_established:
            self.finish(request, attempt, Outcome.CANCELLED)

    # Lifecycle of an attempt.

    def establish(self, request: Request, endpoint: Endpoint) -> None:
        """Establish the request's connection to the endpoint; it ends after a random lifetime."""
        self.world.requests[request.id] = request
        request.endpoint = endpoint
        request.is_established = True
        request.sent_ns = self.world.now_ns
        endpoint.open_connections += 1
        lifetime_ns = self.world.interval_ns(1.0 / self.world.scenario.lifetime_s)
        self.world.after(lifetime_ns, partial(self.finish, request, request.attempt, Outcome.OK))

    def adopt(self, instance: int, request: Request, endpoint: Endpoint) -> None:
        """Add a connection that was already open when the instance started."""
        request.instance = instance
        request.attempt = 0
        request.flags |= RequestFlag.MID_FLOW
        self.world.send_event(instance, wire.adopted_connection(request, endpoint.address))
        self.establish(request, endpoint)

    def finish(self, request: Request, attempt: int, outcome: Outcome) -> None:
        """End an attempt or its connection, unless it has ended; after a reset the client reconnects."""
        world = self.world
        endpoint = request.endpoint
        if endpoint is None or request.attempt != attempt or request.id not in world.requests:
            return
        is_closed = request.is_established or request.has_client_left
        has_report = outcome in (Outcome.OK, Outcome.ERROR)
        report = self.endpoint_model.report(endpoint) if has_report else []
        elapsed_ns = world.now_ns - request.sent_ns
        record = wire.attempt_ended(
            request.id, endpoint.address, is_closed, attempt, elapsed_ns, outcome, report
        )
        world.send_event(request.instance, record)
        if is_closed:
            self.end(request)
        else:
            request.endpoint = None
            endpoint.open_connections -= 1
        if request.is_established and outcome is Outcome.RESET:
            delay_ns = world.interval_ns(RETURN_AFTER_RESET_PER_S)
            world.after(delay_ns, partial(self.clients.send_next_request, request, RequestFlag.RETURNED))

    def end(self, request: Request) -> None:
        """Remove a request without an event to its instance."""
        self.world.requests.pop(request.id, None)
        if request.endpoint is not None:
            request.endpoint.open_connections -= 1
            request.endpoint = None

    def _accept(self, request: Request, attempt: int) -> None:
        endpoint = request.endpoint
        if endpoint is None or request.attempt != attempt:
            return
        if request.has_client_left:  # nobody takes the connection
            self.finish(request, attempt, Outcome.CANCELLED)
            return
        elapsed_ns = self.world.now_ns - request.sent_ns
        record = wire.connection_established(request.id, elapsed_ns, attempt, endpoint.address)
        self.world.send_event(request.instance, record)
        endpoint.open_connections -= 1
        self.establish(request, endpoint)

    def _end_unsent(self, request_id: int) -> Request:
        request = self.world.requests[request_id]
        if request.endpoint is not None:
            raise RuntimeError(f"request {request_id} is answered while an attempt is in flight")
        self.end(request)
        return request

    # Timeline.

    def reset_connections(self, endpoint: Endpoint) -> None:
        """Reset all connections to an endpoint."""
        requests = self.world.requests.values()
        for request in [r for r in requests if r.endpoint is endpoint and r.is_established]:
            self.finish(request, request.attempt, Outcome.RESET)

    def end_attempts(self, outcome: Outcome, share: float) -> None:
        """End a share of the attempts in flight with this outcome."""
        for request in list(self.world.requests.values()):
            is_in_flight = request.endpoint is not None and not request.is_established
            if is_in_flight and self.world.random.random() < share:
                self.finish(request, request.attempt, outcome)
