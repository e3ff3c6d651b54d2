"""The actor that lets the balancer decide on all events of one turn of the event loop together."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from linnetshift.broker.broker import Broker
from linnetshift.event_loop.actor import Actor, ActorCoroutine
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.timers import MS, Timeout, Timer
from linnetshift.observability import log

# How often the broker looks for unresponsive endpoints: well under the 400 ms without an answer after which
# it counts one as unresponsive.
REVIEW_INTERVAL_NS = 125 * MS

# Message latencies are reviewed, and new deployment facts logged, once a second.
REVIEWS_PER_LATENCY_REVIEW = 8


class ProcessEvents(NamedTuple):
    """The broker has queued events for the balancer."""


class ConfirmProcessing(NamedTuple):
    """Call `done` once the balancer has decided on everything that is queued by now."""

    done: Callable[[], None]


class Review(NamedTuple):
    """Tag of the timer of the next review; reviews are numbered from 1."""

    number: int


PROCESS_EVENTS = ProcessEvents()  # posted for every event: one object serves all


class DecisionLoop(Actor):
    """Runs the broker's queued events through the balancer, and the broker's periodic reviews.

    It implements the broker's `Timers` port. `broker` is set before `run` starts, as the broker is
    constructed with this port.
    """

    broker: Broker

    def __init__(self, loop: Loop, waits_for_discovery: bool = False) -> None:
        """`waits_for_discovery`: decide nothing before discovery's first call has ended."""
        super().__init__(loop)
        self.waits_for_discovery = waits_for_discovery

    def handle_discovery_ready(self) -> None:
        """A call to discovery has ended, with an answer or without; decisions begin with the first."""
        if self.waits_for_discovery:
            self.waits_for_discovery = False
            self.schedule_processing()

    def schedule_processing(self) -> None:
        """Have the balancer decide once the events at hand are all queued."""
        self.post(PROCESS_EVENTS)

    def when_processed(self, done: Callable[[], None]) -> None:
        """Have `done` called once the balancer has decided on everything that is queued by now."""
        self.post(ConfirmProcessing(done))

    def set_balancer_timer(self, delay_ns: int, token: int) -> None:
        """Have the balancer's timer with this token fire after the delay."""
        self.call_later(delay_ns, lambda: self.broker.timer_fired(token))

    def call_later(self, delay_ns: int, fire: Callable[[], None]) -> Timer:
        """Have `fire` called after the delay, outside this actor's mailbox."""
        return self.loop.call_later(delay_ns, fire)

    def run(self) -> ActorCoroutine:
        """Handle messages for as long as the process lives."""
        self.set_timer(REVIEW_INTERVAL_NS, Review(1))
        while True:
            match (yield):
                case Timeout(tag=Review(number)):
                    self.set_timer(REVIEW_INTERVAL_NS, Review(number + 1))
                    self._review(number)
                case ConfirmProcessing(done):
                    self._process_events()
                    done()
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
            # Faults are contained here: one in the decisions must not end the established connections. They
            # go on, and the broker itself answers requests that get no decision.
            log.exception(error)
