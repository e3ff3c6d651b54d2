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


class Module(Actor):
    """Lets the broker decide on all that has come in at one turn of the loop together."""

    broker: Broker

    def __init__(self, loop: Loop, waiting: bool = False) -> None:
        """`waiting`: nothing is decided before discovery's first word, or its failure to say any."""
        super().__init__(loop)
        self.waiting = waiting

    def informed(self) -> None:
        if self.waiting:
            self.waiting = False
            self.soon()

    def soon(self) -> None:
        self.post(None)

    def settled(self, done: Callable[[], None]) -> None:
        """Have `done` called once the module has decided on all that is in by now."""
        self.post(Settled(done))

    def wake(self, delay_ns: int, token: int) -> None:
        self.later(delay_ns, lambda: self.broker.timer_fired(token))

    def later(self, delay_ns: int, fire: Callable[[], None]) -> Timer:
        return self.loop.call_later(delay_ns, fire)

    def run(self) -> ActorCoroutine:
        self.set_timer(REVIEW_NS, 1)
        while True:
            match (yield):
                case Timeout(tag=int(review)):
                    self.set_timer(REVIEW_NS, review + 1)
                    self.broker.review_silence()
                    if review % REVIEWS == 0:
                        self.broker.review_messages()
                        for what, value in self.broker.deployment_facts.fresh():
                            log.note("deployment-fact-observed", what=what, value=value)
                case Settled(done):
                    self.decide()
                    done()
                case _:
                    self.decide()

    def decide(self) -> None:
        if self.waiting:
            return
        try:
            self.broker.drain()
        except Exception as error:
            # What stands goes on, and the broker answers what the module no longer does.
            log.fault(error)
