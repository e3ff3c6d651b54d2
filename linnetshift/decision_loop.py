"""The actor that lets the balancer decide on all that came in at one turn of the event loop."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from linnetshift.broker.broker import Broker
from linnetshift.event_loop.loop import MS, Actor, ActorCoroutine, Loop, Timeout, Timer
from linnetshift.observability import log

REVIEW_NS = 125 * MS  # how often silence is looked for
REVIEWS = 8  # and message times at one in so many


class Settled(NamedTuple):
    done: Callable[[], None]


class DecisionLoop(Actor):
    """Lets the broker decide on all that has come in at one turn of the loop together."""

    broker: Broker

    def __init__(self, loop: Loop, waiting: bool = False) -> None:
        """`waiting`: nothing is decided before discovery's first word, or its failure to say any."""
        super().__init__(loop)
        self.waiting = waiting

    def handle_discovery_ready(self) -> None:
        if self.waiting:
            self.waiting = False
            self.schedule_processing()

    def schedule_processing(self) -> None:
        self.post(None)

    def when_processed(self, done: Callable[[], None]) -> None:
        """Have `done` called once the module has decided on all that is in by now."""
        self.post(Settled(done))

    def set_balancer_timer(self, delay_ns: int, token: int) -> None:
        self.call_later(delay_ns, lambda: self.broker.timer_fired(token))

    def call_later(self, delay_ns: int, fire: Callable[[], None]) -> Timer:
        return self.loop.call_later(delay_ns, fire)

    def run(self) -> ActorCoroutine:
        self.set_timer(REVIEW_NS, 1)
        while True:
            match (yield):
                case Timeout(tag=int(review)):
                    self.set_timer(REVIEW_NS, review + 1)
                    self.broker.review_unresponsive_endpoints()
                    if review % REVIEWS == 0:
                        self.broker.review_latency()
                        for what, value in self.broker.deployment_facts.take_unreported():
                            log.info("deployment-fact-observed", what=what, value=value)
                case Settled(done):
                    self.decide()
                    done()
                case _:
                    self.decide()

    def decide(self) -> None:
        if self.waiting:
            return
        try:
            self.broker.process_events()
        except Exception as error:
            # What stands goes on, and the broker answers what the module no longer does.
            log.exception(error)
