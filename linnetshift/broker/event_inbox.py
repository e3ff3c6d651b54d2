"""The queue of events for the balancer's next step."""

from __future__ import annotations

from linnetshift.broker.ports import Timers
from linnetshift.routing.events import EndpointList, EndpointSuspension, Event

ENDPOINT_CHANGES = (EndpointList, EndpointSuspension)


class EventInbox:
    """Collects the events of one turn of the event loop, which the balancer decides on in one step."""

    def __init__(self, timers: Timers) -> None:
        """Start empty; `timers` schedules processing when the first event is posted."""
        self.timers = timers
        self.events: list[Event] = []

    def post(self, event: Event) -> None:
        """Add an event for the next step."""
        if not self.events:
            self.timers.schedule_processing()
        self.events.append(event)

    def take(self) -> list[Event]:
        """Empty the inbox; returns its events in the order in which the balancer is to process them.

        Changes of endpoints come first, so that requests of the same turn are placed by the latest list.
        """
        events = self.events
        self.events = []
        events.sort(key=lambda event: not isinstance(event, ENDPOINT_CHANGES))
        return events
