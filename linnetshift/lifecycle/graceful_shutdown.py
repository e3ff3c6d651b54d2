"""Graceful shutdown: migrate every client to another proxy before the platform kills this process.

The platform sends a signal and later kills the process. In between, the process keeps accepting for a short
while, migrates its clients at an even rate, answers the remaining requests and lingers until clients have
read their last bytes. Times are nanoseconds of the loop's clock.
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
ACCEPT_AFTER_SIGNAL_NS = 600 * MS
# From the signal to the kill, the platform grants the longest deadline of the offered classes, capped at
# MAX_DEADLINE_NS, plus KILL_GRACE_NS.
MAX_DEADLINE_NS = 3 * S
KILL_GRACE_NS = 700 * MS
# Reserved before the kill for the last answers and migrations to be written and read.
LINGER_NS = 350 * MS
# The part of LINGER_NS that is reserved for the exit itself.
EXIT_RESERVE_NS = 100 * MS
# Bounds of the period in which clients migrate, in percent of the time from the signal to the start of
# lingering. Proxies are restarted one after the other: until the previous one is back, migrated clients might
# find no proxy.
MIGRATION_START_PERCENT = 40
MIGRATION_END_PERCENT = 92
# Interval of the steps: short compared with the time available, long compared with a turn of the loop.
STEP_INTERVAL_NS = 50 * MS
STEP_TIMER = "step"  # tag of the timers here; an actor has one at a time
# The platform signals a process at most this long after its successor reported that it serves.
MAX_SIGNAL_DELAY_NS = 6 * S
# Channels migrate over this period once another proxy is the active VRRP router.
CHANNEL_MIGRATION_NS = 2 * S
# The reason given to clients and in the log.
MIGRATION_REASON = "migrated"


class ShutdownClients(Protocol):
    """The client connections of all frontends."""

    def stop_listening(self) -> None:
        """Close the listening sockets."""

    def connections_in_use(self) -> int:
        """Return the number of connections that are not idle; idle ones must not delay the shutdown."""

    def open_streams(self) -> list[Stream]:
        """Return the streams of all connections, idle ones included."""

    def notify_idle_clients(self) -> None:
        """Have the clients without a request migrate too."""

    def end_sessions(self) -> None:
        """End the sessions of the channels frontend that have no channels."""


class ChannelMigrator(Actor):
    """Migrates a frontend's channels at an even rate once it no longer listens."""

    def __init__(self, loop: Loop, broker: Broker, frontend: ChannelsFrontend) -> None:
        """Nothing migrates before `run` is started."""
        super().__init__(loop)
        self.broker = broker
        self.frontend = frontend

    def run(self) -> ActorCoroutine:
        """Migrate until no channel is left, or the frontend listens again."""
        steps_left = CHANNEL_MIGRATION_NS // STEP_INTERVAL_NS
        while self.frontend.is_draining and (channels := self.frontend.channels()):
            due = -(-len(channels) // max(1, steps_left))  # rounded up: the last step must leave none
            for channel in channels[:due]:
                self.broker.migrate(channel.request.id, MIGRATION_REASON)
            steps_left -= 1
            self.set_timer(STEP_INTERVAL_NS, STEP_TIMER)
            yield


def min_kill_delay_ns(settings: Settings) -> int:
    """Return the shortest time from a process's signal to its kill, in ns."""
    return min(MAX_DEADLINE_NS, max(offered.deadline_ns for offered in settings.offered)) + KILL_GRACE_NS


class GracefulShutdown(Actor):
    """Answers every request, migrates every client at an even rate and stops the loop.

    A process that a successor has replaced no longer accepts. It migrates its clients before its signal too;
    from the signal on it has as much time as any other process.
    """

    def __init__(self, loop: Loop, broker: Broker, clients: ShutdownClients, is_replaced: bool) -> None:
        """Compute the deadlines; `is_replaced` tells whether a successor accepts in place of this process."""
        super().__init__(loop)
        self.broker = broker
        self.clients = clients
        self.is_replaced = is_replaced
        now = loop.now()
        available_ns = self._available_ns()
        if is_replaced:
            self.deadline = now + MAX_SIGNAL_DELAY_NS + available_ns
            self.accept_until = now
            self.migrate_from = now
        else:
            self.deadline = now + available_ns
            self.accept_until = now + ACCEPT_AFTER_SIGNAL_NS
            self.migrate_from = now + available_ns * MIGRATION_START_PERCENT // 100
        self.migrate_until = self.deadline - available_ns * (100 - MIGRATION_END_PERCENT) // 100
        self.migrations_due = 0.0  # between steps: the fraction of a migration that is carried over

    def shorten(self) -> None:
        """Shorten the deadlines of a replaced process: its signal has arrived, so the kill time is known."""
        now = self.loop.now()
        available_ns = self._available_ns()
        self.deadline = min(self.deadline, now + available_ns)
        self.migrate_until = min(self.migrate_until, now + available_ns * MIGRATION_END_PERCENT // 100)

    def run(self) -> ActorCoroutine:
        """Shut down step by step, and stop the loop at the end."""
        log.info("shutdown-started", standing=len(self.broker.established()), replaced=self.is_replaced)
        yield from self._accept_and_migrate()
        self._answer_remaining()
        yield from self._linger()
        self._close_streams()
        self.loop.stopped = True

    def _available_ns(self) -> int:
        """Return the time from a signal to the start of lingering."""
        return min_kill_delay_ns(self.broker.settings) - LINGER_NS

    def _accept_and_migrate(self) -> ActorCoroutine:
        """Accept for a while, then migrate until the deadline or until all connections are idle."""
        is_accepting = not self.is_replaced
        while self.loop.now() < self.deadline:
            self.set_timer(STEP_INTERVAL_NS, STEP_TIMER)
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
        """Migrate the established connections that are due, spread evenly over the remaining steps."""
        established = self.broker.established() if now >= self.migrate_from else []
        remaining_steps = max(1, (self.migrate_until - now) // STEP_INTERVAL_NS)
        self.migrations_due += len(established) / remaining_steps
        due = int(self.migrations_due)
        for request in established[:due]:
            self.broker.migrate(request.id, MIGRATION_REASON)
        self.migrations_due -= due

    def _answer_remaining(self) -> None:
        """Send every client its last message: an answer, or that it is to migrate."""
        for request in self.broker.unanswered():
            self.broker.answer_without_balancer(request)
        for request in self.broker.established():
            self.broker.migrate(request.id, MIGRATION_REASON)
        self.clients.notify_idle_clients()

    def _linger(self) -> ActorCoroutine:
        """Read until every client has closed its side, or the time is up.

        Sessions of the channels frontend refuse channels until the deadline, see `channels.session`. Closing
        a socket with unread bytes, by exiting too, resets the connection and drops the last message.
        """
        end_sessions_at = max(self.deadline, self.loop.now())
        close_at = end_sessions_at + LINGER_NS - EXIT_RESERVE_NS
        has_ended_sessions = False
        while True:
            if not has_ended_sessions and self.loop.now() >= end_sessions_at:
                has_ended_sessions = True
                self.clients.end_sessions()
            self.set_timer(STEP_INTERVAL_NS, STEP_TIMER)
            yield
            if not self.clients.open_streams() or self.loop.now() >= close_at:
                return

    def _close_streams(self) -> None:
        """Discard unread input and close the streams that are still open."""
        log.info("shutdown-finished", held=self.clients.connections_in_use())
        for stream in self.clients.open_streams():
            stream.discard_input()
            stream.close()
