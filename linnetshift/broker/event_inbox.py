"""Events that wait for the balancer's next step."""

from __future__ import annotations

from linnetshift.broker.ports import Timers
from linnetshift.routing.events import EndpointList, EndpointSuspension, Event

ENDPOINT_CHANGES = (EndpointList, EndpointSuspension)


class EventInbox:
    """Collects what comes in during one turn of the event loop, to be decided on together."""

    def __init__(self, timers: Timers) -> None:
        """Start empty; `timers` is asked to schedule processing whenever the first event comes in."""
        self.timers = timers
        self.events: list[Event] = []

    def post(self, event: Event) -> None:
        """Add an event for the next step."""
        if not self.events:
            self.timers.schedule_processing()
        self.events.append(event)

    def take(self) -> list[Event]:
        """Empty the inbox; returns the events that waited, in the order for the balancer to see them.

        Changes of endpoints go first: what came in the same turn must not be placed by an older list.
        """
        events = self.events
        self.events = []
        events.sort(key=lambda event: not isinstance(event, ENDPOINT_CHANGES))
        return events
