"""Graceful shutdown: migrate every client to another proxy before the platform kills this process.

Times are nanoseconds of the loop's clock. The platform's signal is followed by a kill; between the two the
process accepts for a short while, migrates its clients at an even pace, answers what is left and lingers
until its last bytes are read.
"""

from __future__ import annotations

from typing import Protocol

from linnetshift.broker.broker import Broker
from linnetshift.event_loop.actor import Actor, ActorCoroutine
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.stream import Stream
from linnetshift.event_loop.timers import MS, S
from linnetshift.frontends.channels.frontend import ChannelsFrontend
from linnetshift.observability import log
from linnetshift.routing.settings import Settings

# New connections keep arriving for up to 0.4 s after the signal of a planned stop.
ACCEPT_NS = 600 * MS
# The platform grants a process the longest deadline of the offered classes, but no more than
# MAX_DEADLINE_NS, and KILL_GRACE_NS on top; only then does it kill the process.
MAX_DEADLINE_NS = 3 * S
KILL_GRACE_NS = 700 * MS
# Kept free before the kill, for the last answers and migrations to be written and read.
LINGER_NS = 350 * MS
# Of LINGER_NS, kept for the exit itself.
EXIT_NS = 100 * MS
# Proxies are restarted one after the other: the previous one may not be back yet, and clients migrated at
# once would find no proxy. They are migrated between these two moments, in percent of the time from the
# signal until the lingering.
MIGRATION_START_PERCENT = 40
MIGRATION_END_PERCENT = 92
# Clients migrate in steps of this length: short against the time there is, long against a turn of the loop.
STEP_NS = 50 * MS
STEP_TIMER = "step"  # the tag of the timers here, of which an actor has one at a time
# The platform signals a process within this after its successor reported that it serves.
SIGNAL_AFTER_REPLACEMENT_NS = 6 * S
# Over how long channels migrate once another proxy is the active VRRP router.
CHANNEL_MIGRATION_NS = 2 * S
# The reason that clients and the log are given.
MIGRATION_REASON = "migrated"


class ShutdownClients(Protocol):
    """The client connections of all frontends."""

    def stop_listening(self) -> None:
        """Close the listening sockets."""

    def connections_in_use(self) -> int:
        """Return how many connections await something; a silent one must not delay the shutdown."""

    def open_streams(self) -> list[Stream]:
        """Return the streams of all connections, the silent ones too."""

    def notify_idle_clients(self) -> None:
        """Have the connections without a request migrate as well."""


class ChannelMigrator(Actor):
    """Migrates a frontend's channels at an even pace once it no longer listens."""

    def __init__(self, loop: Loop, broker: Broker, frontend: ChannelsFrontend) -> None:
        """Nothing migrates before `run` is started."""
        super().__init__(loop)
        self.broker = broker
        self.frontend = frontend

    def run(self) -> ActorCoroutine:
        """Migrate until no channel is left, or the frontend listens again."""
        steps = CHANNEL_MIGRATION_NS // STEP_NS
        while self.frontend.is_draining and (channels := self.frontend.channels()):
            due = -(-len(channels) // max(1, steps))  # rounded up: the last step must leave none
            for channel in channels[:due]:
                self.broker.migrate(channel.request.id, MIGRATION_REASON)
            steps -= 1
            self.set_timer(STEP_NS, STEP_TIMER)
            yield


def kill_after(settings: Settings) -> int:
    """Return how long after its signal the platform kills a process at the earliest, in ns."""
    return min(MAX_DEADLINE_NS, max(offered.deadline_ns for offered in settings.offered)) + KILL_GRACE_NS


class GracefulShutdown(Actor):
    """Answers every request, migrates every client at an even pace and stops the loop.

    A process that is replaced by a successor has stopped accepting already. It has until its signal comes,
    and from then on as long as any other.
    """

    def __init__(self, loop: Loop, broker: Broker, clients: ShutdownClients, is_replaced: bool) -> None:
        """Set the deadlines as of now; `is_replaced` tells whether a successor accepts in its place."""
        super().__init__(loop)
        self.broker = broker
        self.clients = clients
        self.is_replaced = is_replaced
        now = loop.now()
        available = self._available_ns()
        if is_replaced:
            self.deadline = now + SIGNAL_AFTER_REPLACEMENT_NS + available
            self.accept_until = now
            self.migrate_from = now
        else:
            self.deadline = now + available
            self.accept_until = now + ACCEPT_NS
            self.migrate_from = now + available * MIGRATION_START_PERCENT // 100
        self.migrate_until = self.deadline - available * (100 - MIGRATION_END_PERCENT) // 100
        # Migrations that the even pace asks for and that were not made yet: a fraction waits for later steps.
        self.migrations_due = 0.0

    def shorten(self) -> None:
        """Shorten the deadlines of a replaced process: its signal has come, so the kill's time is known."""
        now = self.loop.now()
        available = self._available_ns()
        self.deadline = min(self.deadline, now + available)
        self.migrate_until = min(self.migrate_until, now + available * MIGRATION_END_PERCENT // 100)

    def run(self) -> ActorCoroutine:
        """Shut down step by step, and stop the loop at the end."""
        log.info("shutdown-started", standing=len(self.broker.established()), replaced=self.is_replaced)
        yield from self._accept_and_migrate()
        self._answer_remaining()
        yield from self._linger()
        self._close_streams()
        self.loop.stopped = True

    def _available_ns(self) -> int:
        """Return the time from a signal until the lingering begins."""
        return kill_after(self.broker.settings) - LINGER_NS

    def _accept_and_migrate(self) -> ActorCoroutine:
        """Accept for a while, then migrate until the time is over or no connection awaits anything."""
        is_accepting = not self.is_replaced
        while self.loop.now() < self.deadline:
            self.set_timer(STEP_NS, STEP_TIMER)
            yield
            now = self.loop.now()
            if now < self.accept_until:
                continue
            if is_accepting:
                is_accepting = False
                self.clients.stop_listening()
            self._migrate_due(now)
            if not self.clients.connections_in_use():
                break

    def _migrate_due(self, now: int) -> None:
        """Migrate as many of the established connections as spreads them evenly over the steps left."""
        established = self.broker.established() if now >= self.migrate_from else []
        remaining_steps = max(1, (self.migrate_until - now) // STEP_NS)
        self.migrations_due += len(established) / remaining_steps
        due = int(self.migrations_due)
        for request in established[:due]:
            self.broker.migrate(request.id, MIGRATION_REASON)
        self.migrations_due -= due

    def _answer_remaining(self) -> None:
        """Give every client its last message."""
        for request in self.broker.unanswered():
            self.broker.answer_unserved(request)
        for request in self.broker.established():
            self.broker.migrate(request.id, MIGRATION_REASON)
        self.clients.notify_idle_clients()

    def _linger(self) -> ActorCoroutine:
        """Read until each client has ended its side, or the time is over.

        A close with bytes unread, by the exit too, would reset the connection and discard the last message.
        """
        close_at = max(self.deadline, self.loop.now()) + LINGER_NS - EXIT_NS
        while True:
            self.set_timer(STEP_NS, STEP_TIMER)
            yield
            if not self.clients.open_streams() or self.loop.now() >= close_at:
                return

    def _close_streams(self) -> None:
        """Discard what is unread and close what is still open."""
        log.info("shutdown-finished", held=self.clients.connections_in_use())
        for stream in self.clients.open_streams():
            stream.discard_input()
            stream.close()
