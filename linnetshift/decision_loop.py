"""Actor that passes all events of one turn of the event loop to the balancer in one step."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from linnetshift.broker.broker import Broker
from linnetshift.event_loop.actor import Actor, ActorCoroutine
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.timers import MS, Timeout, Timer
from linnetshift.observability import log

# Interval of the check for unresponsive endpoints: well below the 400 ms without an answer after which an
# endpoint counts as unresponsive.
REVIEW_INTERVAL_NS = 125 * MS

# Message latencies are reviewed, and new deployment facts logged, once a second.
REVIEWS_PER_LATENCY_REVIEW = 8


class ProcessEvents(NamedTuple):
    """The broker has queued events for the balancer."""


class ConfirmProcessing(NamedTuple):
    """Call `callback` once the balancer has processed all events that are queued now."""

    callback: Callable[[], None]


class Review(NamedTuple):
    """Tag of the timer of the next review; reviews are numbered from 1."""

    number: int


PROCESS_EVENTS = ProcessEvents()  # posted for every event; shared, as it has no fields


class DecisionLoop(Actor):
    """Runs the balancer on the broker's queued events, and the broker's periodic reviews.

    Implements the broker's `Timers` port. `broker` is set after construction and before `run` starts, as the
    broker's constructor takes this port.
    """

    broker: Broker

    def __init__(self, loop: Loop, waits_for_discovery: bool = False) -> None:
        """`waits_for_discovery`: process no events until the first call to discovery has ended."""
        super().__init__(loop)
        self.waits_for_discovery = waits_for_discovery

    def handle_discovery_ready(self) -> None:
        """Handle the end of a call to discovery, answered or not; processing starts after the first."""
        if self.waits_for_discovery:
            self.waits_for_discovery = False
            self.schedule_processing()

    def schedule_processing(self) -> None:
        """Schedule processing for when the events of this turn are all queued."""
        self.post(PROCESS_EVENTS)

    def call_when_processed(self, callback: Callable[[], None]) -> None:
        """Schedule `callback` to be called once the balancer has processed all events that are queued now."""
        self.post(ConfirmProcessing(callback))

    def set_balancer_timer(self, delay_ns: int, token: int) -> None:
        """Schedule the balancer's timer with this token to fire after the delay."""
        self.call_later(delay_ns, lambda: self.broker.timer_fired(token))

    def call_later(self, delay_ns: int, fire: Callable[[], None]) -> Timer:
        """Schedule `fire` to be called after the delay, not through this actor's mailbox."""
        return self.loop.call_later(delay_ns, fire)

    def run(self) -> ActorCoroutine:
        """Handle messages until the process ends."""
        self.set_timer(REVIEW_INTERVAL_NS, Review(1))
        while True:
            match (yield):
                case Timeout(tag=Review(number)):
                    self.set_timer(REVIEW_INTERVAL_NS, Review(number + 1))
                    self._review(number)
                case ConfirmProcessing(callback):
                    self._process_events()
                    callback()
                case ProcessEvents():
                    self._process_events()

    def _review(self, number: int) -> None:
        self.broker.review_unresponsive_endpoints()
        self.broker.review_unconfirmed_endpoints()
        if number % REVIEWS_PER_LATENCY_REVIEW == 0:
            self.broker.review_latency()
            for fact, value in self.broker.deployment_facts.take_unreported():
                log.info("deployment-fact-observed", what=fact, value=value)

    def _process_events(self) -> None:
        if self.waits_for_discovery:
            return
        try:
            self.broker.process_events()
        except Exception as error:  # noqa: BLE001
            # Faults are contained here: one in the decisions must not end established connections. They
            # continue, and the broker itself answers requests that get no decision.
            log.exception(error)
