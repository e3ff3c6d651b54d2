"""Opens attempts and health checks at the addresses in the latest endpoint list."""

from __future__ import annotations

from functools import partial

from linnetshift.broker.active_request import Attempt
from linnetshift.broker.administrative_drains import is_full_list
from linnetshift.broker.broker import Broker
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import Loop
from linnetshift.observability import log
from linnetshift.observability.resource_usage import ResourceUsage
from linnetshift.routing.events import EndpointList, EndpointState, Outcome
from linnetshift.upstream.endpoint_connection import EndpointConnection
from linnetshift.upstream.health_checker import HealthChecker


class EndpointConnector:
    """Opens attempts and health checks; implements the broker's `Connector`.

    Owns the addresses of the endpoints in the list that is in use. Its creator sets `broker` before the first
    list or attempt, as each refers to the other.
    """

    def __init__(self, loop: Loop) -> None:
        """A connector without addresses until the first list."""
        self.loop = loop
        self.addresses: dict[bytes, Address] = {}
        self.broker: Broker | None = None

    def handle_endpoint_list(self, event: EndpointList, addresses: dict[bytes, Address]) -> None:
        """Keep the addresses of listed endpoints only, so that their number stays bounded."""
        if is_full_list(event):
            self.addresses = {}
        self.addresses.update(addresses)
        for entry in event.entries:
            if entry.state == EndpointState.REMOVED:
                self.addresses.pop(entry.endpoint, None)

    def resource_usage(self, max_endpoints: int) -> dict[str, ResourceUsage]:
        """Size and bound of the table of addresses, under its name in `/ops/census`."""
        return {"gate.endpoints": ResourceUsage(len(self.addresses), max_endpoints)}

    def open(self, attempt: Attempt) -> None:
        """Start the attempt; the broker is notified of its outcome."""
        assert self.broker is not None
        address = self.addresses.get(attempt.endpoint)
        if address is None:
            self.broker.handle_attempt_ended(attempt, Outcome.CONNECT_FAILED)
            return
        request = attempt.request
        log.info(
            "attempt-started",
            id=request.id,
            attempt=attempt.number,
            endpoint=attempt.endpoint.decode("utf-8", "replace"),
            key=f"{request.key:x}",
            group=f"{request.group:x}",
            **{"class": self.broker.settings.classes[request.class_number].name},
            flags=request.flags,
        )
        connection = EndpointConnection(self.loop, self.broker, attempt, address)
        connection.start(connection.run())

    def check_health(self, endpoint: bytes) -> None:
        """Start a health check; the broker is notified of its result."""
        broker = self.broker
        assert broker is not None
        address = self.addresses.get(endpoint)
        if address is None:
            broker.handle_health_check_result(endpoint, Outcome.CONNECT_FAILED, 0, ())
            return
        if broker.administrative_drains.is_drained(endpoint):
            # A drained endpoint is not contacted; the outcome FULL says nothing about its health.
            broker.handle_health_check_result(endpoint, Outcome.FULL, 0, ())
            return
        checker = HealthChecker(
            self.loop,
            endpoint,
            broker.settings.report_columns,
            partial(broker.handle_health_check_result, endpoint),
            partial(broker.record_unavailable, endpoint),
        )
        checker.start(checker.run(address))
