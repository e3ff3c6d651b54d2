"""The decision module's actor, and the one that empties this proxy before a planned stop."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from linnetshift.core.broker import Broker
from linnetshift.interface import Settings
from linnetshift.net import log
from linnetshift.net.channels import ChannelsFront
from linnetshift.net.loop import MS, Actor, Loop, S, Script, Timeout

REVIEW_NS = 250 * MS  # how often silence is looked for
REVIEWS = 4  # and message times at one in so many


class Settled(NamedTuple):
    done: Callable[[], None]


class Module(Actor):
    """Lets the broker decide on all that has come in at one turn of the loop together."""

    broker: Broker

    def soon(self) -> None:
        self.post(None)

    def settled(self, done: Callable[[], None]) -> None:
        """Have `done` called once the module has decided on all that is in by now."""
        self.post(Settled(done))

    def wake(self, delay_ns: int, token: int) -> None:
        self.later(delay_ns, lambda: self.broker.timer_fired(token))

    def later(self, delay_ns: int, fire: Callable[[], None]) -> None:
        self.loop.call_later(delay_ns, fire)

    def live(self) -> Script:
        self.alarm(REVIEW_NS, 1)
        while True:
            match (yield):
                case Timeout(tag=int(review)):
                    self.alarm(REVIEW_NS, review + 1)
                    self.broker.review_silence()
                    if review % REVIEWS == 0:
                        self.broker.review_messages()
                case Settled(done):
                    self.decide()
                    done()
                case _:
                    self.decide()

    def decide(self) -> None:
        try:
            self.broker.drain()
        except Exception as error:
            # What stands goes on, and the broker answers what the module no longer does.
            log.fault(error)


# On a planned stop new connections keep arriving for up to 0.4 s; the kill comes no earlier than the
# longest deadline (3 s where it is longer) and 0.7 s after the signal.
ACCEPT_NS = 600 * MS
MOST_DEADLINE_NS, KILL_NS = 3 * S, 700 * MS
SPARE_NS = 350 * MS  # kept free before the kill, for the last answers and moves to be written
# Proxies are restarted one after the other: the one before may not be back yet, and consumers moved at
# once would find nobody. They are moved between these parts of the time, in hundredths.
MOVE_FROM, MOVE_UNTIL = 40, 92
STEP_NS = 50 * MS
LOST_PART_NS = 2 * S  # over how long channels move once another proxy is the active one


class Mover(Actor):
    """Moves a front's channels at an even pace once it no longer listens."""

    def __init__(self, loop: Loop, broker: Broker, front: ChannelsFront) -> None:
        super().__init__(loop)
        self.broker, self.front = broker, front

    def live(self) -> Script:
        steps = LOST_PART_NS // STEP_NS
        while self.front.leaving and (channels := self.front.channels()):
            for channel in channels[: -(-len(channels) // max(1, steps))]:
                self.broker.move(channel.invocation.id, "moved")
            steps -= 1
            self.alarm(STEP_NS, "step")
            yield


def kill_after(settings: Settings) -> int:
    return min(MOST_DEADLINE_NS, max(c.deadline_ns for c in settings.classes)) + KILL_NS


class Departure(Actor):
    """Answers everything, moves every consumer away at an even pace, and stops the loop."""

    def __init__(
        self, loop: Loop, broker: Broker, close: Callable[[], None], held: Callable[[], int]
    ) -> None:
        super().__init__(loop)
        self.broker, self.close, self.held = broker, close, held

    def live(self) -> Script:
        began = self.loop.now()
        end = began + kill_after(self.broker.settings) - SPARE_NS
        paced_from, paced_until = (began + (end - began) * part // 100 for part in (MOVE_FROM, MOVE_UNTIL))
        log.note("leaving", standing=len(self.broker.standing()))
        accepting = True
        while self.loop.now() < end:
            self.alarm(STEP_NS, "step")
            yield
            now = self.loop.now()
            if now >= began + ACCEPT_NS:
                if accepting:
                    accepting = False
                    self.close()
                standing = self.broker.standing() if now >= paced_from else []
                steps = max(1, (paced_until - now) // STEP_NS)
                for invocation in standing[: -(-len(standing) // steps)]:
                    self.broker.move(invocation.id, "moved")
                if not self.held():
                    break
        for invocation in self.broker.unanswered():
            self.broker.reject(invocation.id)
        for invocation in self.broker.standing():
            self.broker.move(invocation.id, "moved")
        self.alarm(2 * STEP_NS, "flush")
        yield
        log.note("left", held=self.held())
        self.loop.stopped = True
