"""Attempts at endpoints and the connections that come of them, from an instance's action to their end."""

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
"""Share of the rejected clients that come again."""

RETURN_AFTER_RESET_PER_S = 4.0
"""Rate at which clients whose connection broke come again."""

RETURN_AFTER_MIGRATION_PER_S = 10.0
"""Rate at which clients that were asked to migrate come again."""


class Attempts:
    """Carries out what instances decide about requests, and sends them the results."""

    def __init__(self, world: World, endpoint_model: EndpointModel, clients: Clients) -> None:
        self.world = world
        self.endpoint_model = endpoint_model
        self.clients = clients

    # Actions of the instances.

    def submit(self, instance: Instance, request_id: int, timeout_ns: int, address: bytes) -> None:
        """Send an attempt to an endpoint; raises RuntimeError where the instance may not."""
        world = self.world
        request = world.requests[request_id]
        endpoint = world.endpoint_at(address)
        if request.instance != instance.number or request.endpoint is not None:
            raise RuntimeError(f"request {request_id} has an attempt out, or is another instance's")
        request.attempt += 1
        request.endpoint = endpoint
        request.sent_ns = world.now_ns
        endpoint.open_connections += 1
        outcome, delay_ns = self.endpoint_model.fate(endpoint)
        remaining_ns = max(1, request.deadline_ns - world.now_ns)
        limit_ns = min(timeout_ns, remaining_ns) if timeout_ns > 0 else remaining_ns
        if delay_ns >= limit_ns:
            outcome = Outcome.TIMEOUT
            delay_ns = limit_ns
        if outcome is None:
            world.after(delay_ns, partial(self._accept, request, request.attempt))
        else:
            world.after(delay_ns, partial(self.finish, request, request.attempt, outcome))

    def deny(self, _instance: Instance, request_id: int, retry_after_ns: int) -> None:
        """Reject a request; some of the clients come again after the delay that they are asked for."""
        request = self._end_unsent(request_id)
        random = self.world.random
        if not request.is_abandoned and random.random() < RETRY_SHARE:
            delay_ns = retry_after_ns * random.uniform(1.0, 1.3) + 50 * MILLISECOND
            self.world.after(delay_ns, partial(self.clients.retry, request, RequestFlag.RETRY))

    def give_up(self, _instance: Instance, request_id: int) -> None:
        """End a request without another attempt."""
        self._end_unsent(request_id)

    def reassign(self, _instance: Instance, request_id: int) -> None:
        """Ask the client of a connection to migrate; where the connection has just ended, do nothing."""
        request = self.world.requests.get(request_id)
        if request is None or not request.is_established:
            return
        self.finish(request, request.attempt, Outcome.OK)
        delay_ns = self.world.interval_ns(RETURN_AFTER_MIGRATION_PER_S)
        self.world.after(delay_ns, partial(self.clients.retry, request, RequestFlag.RETURNED))

    def cancel(self, _instance: Instance, request_id: int, attempt: int) -> None:
        """End an attempt as cancelled, unless it is over or has become a connection."""
        request = self.world.requests.get(request_id)
        if request is not None and not request.is_established:
            self.finish(request, attempt, Outcome.CANCELLED)

    # The course of an attempt.

    def establish(self, request: Request, endpoint: Endpoint) -> None:
        """Make the request a connection to the endpoint, which ends after a random lifetime."""
        self.world.requests[request.id] = request
        request.endpoint = endpoint
        request.is_established = True
        request.sent_ns = self.world.now_ns
        endpoint.open_connections += 1
        lifetime_ns = self.world.interval_ns(1.0 / self.world.scenario.lifetime_s)
        self.world.after(lifetime_ns, partial(self.finish, request, request.attempt, Outcome.OK))

    def adopt(self, instance: int, request: Request, endpoint: Endpoint) -> None:
        """Make the request a connection that was open when the instance started."""
        request.instance = instance
        request.attempt = 0
        request.flags |= RequestFlag.MID_FLOW
        self.world.send_event(instance, wire.adopted_connection(request, endpoint.address))
        self.establish(request, endpoint)

    def finish(self, request: Request, attempt: int, outcome: Outcome) -> None:
        """End an attempt or its connection, unless it has ended; after a reset the client comes again."""
        world = self.world
        endpoint = request.endpoint
        if endpoint is None or request.attempt != attempt or request.id not in world.requests:
            return
        is_closed = request.is_established or request.is_abandoned
        has_report = outcome in (Outcome.OK, Outcome.ERROR)
        report = self.endpoint_model.report(endpoint) if has_report else []
        elapsed_ns = world.now_ns - request.sent_ns
        record = wire.attempt_result(
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
            world.after(delay_ns, partial(self.clients.retry, request, RequestFlag.RETURNED))

    def end(self, request: Request) -> None:
        """Forget a request without an event to its instance."""
        self.world.requests.pop(request.id, None)
        if request.endpoint is not None:
            request.endpoint.open_connections -= 1
            request.endpoint = None

    def _accept(self, request: Request, attempt: int) -> None:
        endpoint = request.endpoint
        if endpoint is None or request.attempt != attempt:
            return
        if request.is_abandoned:  # the client has left: nobody takes the connection
            self.finish(request, attempt, Outcome.CANCELLED)
            return
        elapsed_ns = self.world.now_ns - request.sent_ns
        record = wire.established(request.id, elapsed_ns, attempt, endpoint.address)
        self.world.send_event(request.instance, record)
        endpoint.open_connections -= 1
        self.establish(request, endpoint)

    def _end_unsent(self, request_id: int) -> Request:
        request = self.world.requests[request_id]
        if request.endpoint is not None:
            raise RuntimeError(f"request {request_id} is answered while an attempt is out")
        self.end(request)
        return request

    # Timeline.

    def reset_connections(self, endpoint: Endpoint) -> None:
        """Break all connections to an endpoint."""
        requests = self.world.requests.values()
        for request in [r for r in requests if r.endpoint is endpoint and r.is_established]:
            self.finish(request, request.attempt, Outcome.RESET)

    def end_attempts(self, outcome: Outcome, share: float) -> None:
        """End a share of the attempts that have not become connections with this outcome."""
        for request in list(self.world.requests.values()):
            is_out = request.endpoint is not None and not request.is_established
            if is_out and self.world.random.random() < share:
                self.finish(request, request.attempt, outcome)
