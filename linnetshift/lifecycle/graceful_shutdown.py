"""The decision module's actor, and the one that empties this proxy before a planned stop."""

from __future__ import annotations

from collections.abc import Callable

from linnetshift.broker.broker import Broker
from linnetshift.event_loop.loop import MS, Actor, ActorCoroutine, Loop, S
from linnetshift.event_loop.stream import Stream
from linnetshift.frontends.channels.frontend import ChannelsFrontend
from linnetshift.observability import log
from linnetshift.routing.settings import Settings

# On a planned stop new connections keep arriving for up to 0.4 s; the kill comes no earlier than the
# longest deadline (3 s where it is longer) and 0.7 s after the signal.
ACCEPT_NS = 600 * MS
MOST_DEADLINE_NS = 3 * S
KILL_NS = 700 * MS
SPARE_NS = 350 * MS  # kept free before the kill, for the last answers and moves to be written and read
LAST_NS = 100 * MS  # of that, for the exit itself
# Proxies are restarted one after the other: the one before may not be back yet, and clients moved at
# once would find nobody. They are moved between these parts of the time, in hundredths.
MOVE_FROM = 40
MOVE_UNTIL = 92
STEP_NS = 50 * MS
SIGNAL_NS = 6 * S  # within this of the new process's yes, the signal comes to the one it replaces
LOST_PART_NS = 2 * S  # over how long channels move once another proxy is the active one


class ChannelMigrator(Actor):
    """Moves a frontend's channels at an even pace once it no longer listens."""

    def __init__(self, loop: Loop, broker: Broker, frontend: ChannelsFrontend) -> None:
        super().__init__(loop)
        self.broker, self.frontend = broker, frontend

    def run(self) -> ActorCoroutine:
        steps = LOST_PART_NS // STEP_NS
        while self.frontend.is_draining and (channels := self.frontend.channels()):
            for channel in channels[: -(-len(channels) // max(1, steps))]:
                self.broker.migrate(channel.request.id, "migrated")
            steps -= 1
            self.set_timer(STEP_NS, "step")
            yield


def kill_after(settings: Settings) -> int:
    return min(MOST_DEADLINE_NS, max(c.deadline_ns for c in settings.offered)) + KILL_NS


class GracefulShutdown(Actor):
    """Answers everything, moves every client away at an even pace, and stops the loop.

    One that is replaced has stopped accepting, and has until the signal comes and then as long as any.
    """

    def __init__(
        self,
        loop: Loop,
        broker: Broker,
        close: Callable[[], None],
        held: Callable[[], int],
        open_streams: Callable[[], list[Stream]],
        notify_idle_clients: Callable[[], None],
        replaced: bool,
    ) -> None:
        super().__init__(loop)
        self.broker, self.close, self.held, self.replaced = broker, close, held, replaced
        self.open_streams, self.notify_idle_clients = open_streams, notify_idle_clients
        now, time = loop.now(), kill_after(broker.settings) - SPARE_NS
        self.until = now + time + (SIGNAL_NS if replaced else 0)
        self.paced_from = now if replaced else now + time * MOVE_FROM // 100
        self.paced_until = self.until - time * (100 - MOVE_UNTIL) // 100
        self.accept_until = now + (0 if replaced else ACCEPT_NS)

    def shorten(self) -> None:
        """The signal has come to one that is replaced: from now on the time is known."""
        now, time = self.loop.now(), kill_after(self.broker.settings) - SPARE_NS
        self.until = min(self.until, now + time)
        self.paced_until = min(self.paced_until, now + time * MOVE_UNTIL // 100)

    def run(self) -> ActorCoroutine:
        log.note("shutdown-started", standing=len(self.broker.established()), replaced=self.replaced)
        accepting, due = not self.replaced, 0.0
        while self.loop.now() < self.until:
            self.set_timer(STEP_NS, "step")
            yield
            now = self.loop.now()
            if now < self.accept_until:
                continue
            if accepting:
                accepting = False
                self.close()
            standing = self.broker.established() if now >= self.paced_from else []
            due += len(standing) / max(1, (self.paced_until - now) // STEP_NS)
            for request in standing[: int(due)]:
                self.broker.migrate(request.id, "migrated")
            due -= int(due)
            if not self.held():
                break
        for request in self.broker.unanswered():
            self.broker.answer_unserved(request)
        for request in self.broker.established():
            self.broker.migrate(request.id, "migrated")
        self.notify_idle_clients()
        # Whoever has its last word is read from until it has ended too: a close over bytes unread, the exit's
        # as well, would reset that word away.
        until = max(self.until, self.loop.now()) + SPARE_NS - LAST_NS
        while True:
            self.set_timer(STEP_NS, "step")
            yield
            if not self.open_streams() or self.loop.now() >= until:
                break
        log.note("shutdown-finished", held=self.held())
        for stream in self.open_streams():
            stream.drain()
            stream.close()
        self.loop.stopped = True
