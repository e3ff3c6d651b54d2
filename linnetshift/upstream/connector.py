"""Opens attempts and health checks at the addresses that discovery last gave."""

from __future__ import annotations

from linnetshift.broker.active_request import Attempt
from linnetshift.broker.broker import Broker
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import Loop
from linnetshift.observability import log
from linnetshift.observability.resource_usage import ResourceUsage
from linnetshift.routing.events import EndpointList, EndpointState, ListForm, Outcome
from linnetshift.upstream.endpoint_connection import EndpointConnection
from linnetshift.upstream.health_checker import HealthChecker


class EndpointConnector:
    """Opens attempts at the endpoints that discovery last gave."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.addresses: dict[bytes, Address] = {}
        self.broker: Broker | None = None

    def listed(self, event: EndpointList, addresses: dict[bytes, Address]) -> None:
        """Keep the endpoints of what is listed and no others, or the map would grow for ever."""
        if event.form in (ListForm.FULL, ListForm.CACHED):
            self.addresses = {}
        self.addresses.update(addresses)
        for entry in event.entries:
            if entry.state == EndpointState.REMOVED:
                self.addresses.pop(entry.endpoint, None)

    def resource_usage(self, names: int) -> dict[str, ResourceUsage]:
        return {"gate.endpoints": ResourceUsage(len(self.addresses), names)}

    def open(self, attempt: Attempt) -> None:
        assert self.broker is not None
        address = self.addresses.get(attempt.endpoint)
        if address is None:
            self.broker.handle_attempt_ended(attempt, Outcome.CONNECT_FAILED)
            return
        asked = attempt.request
        log.note(
            "attempt-started",
            id=asked.id,
            attempt=attempt.number,
            endpoint=attempt.endpoint.decode("utf-8", "replace"),
            key=f"{asked.key:x}",
            group=f"{asked.group:x}",
            **{"class": self.broker.settings.classes[asked.klass].name},
            flags=asked.flags,
        )
        link = EndpointConnection(self.loop, self.broker, attempt, address)
        link.start(link.run())

    def check_health(self, endpoint: bytes) -> None:
        broker = self.broker
        assert broker is not None
        address = self.addresses.get(endpoint)
        if address is None or broker.administrative_drains.is_drained(endpoint):
            # One that was taken out is asked nothing; FULL is what says nothing of an endpoint.
            broker.handle_health_check_result(
                endpoint, Outcome.CONNECT_FAILED if address is None else Outcome.FULL, 0, ()
            )
            return
        prober = HealthChecker(
            self.loop,
            endpoint,
            broker.settings.report_columns,
            lambda outcome, ns, figures: broker.handle_health_check_result(endpoint, outcome, ns, figures),
        )
        prober.start(prober.run(address))
