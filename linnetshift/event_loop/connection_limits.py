"""What strangers may cost: those who have asked for nothing yet, and those who stay after their answer.

Both frontends keep to it, so that no number of silent, endless or hasty connections takes what usual clients
and their endpoints need.
"""

from __future__ import annotations

import resource
from typing import Protocol

from linnetshift.event_loop.loop import MS, Actor, Loop, S, Timer
from linnetshift.event_loop.stream import Stream
from linnetshift.observability.resource_usage import ResourceUsage

# A first line comes with its connection; who owes it for longer is answered and closed, within 3 s in all.
REQUEST_LINE_TIMEOUT_NS = 2800 * MS
# What is still sent after an answer is read and let go, since a close with bytes unread resets the answer
# away; 60 MB may be on their way, and the close is promised within 6 s.
DRAIN_NS = 5500 * MS
STALL_NS = 7 * S  # how long a client may leave everything unread
MOST_WAIT_MS = 600_000  # no client waits so long for its answer
# Descriptors that no stranger gets: for endpoints, discovery, listeners and the log.
LEAST_SPARE = 24
SPARE_PART = 6


class Reading(Actor):
    """An actor whose peer is to read what it is sent, and is given up when it has not for STALL_NS.

    One alarm at most is armed for that, however often the peer stops and goes on.
    """

    stream: Stream
    congested_at = 0
    stall: Timer | None = None

    def look_for_stall(self) -> None:
        """After each write and flush."""
        if self.stream.is_congested and not self.congested_at:
            self.congested_at = self.loop.now()
            self.stall = self.set_timer(STALL_NS, "stalled")
        elif self.congested_at and not self.stream.is_congested:
            self.congested_at = 0
            if self.stall is not None:
                self.stall.cancel()

    def stalled(self) -> bool:
        """Whether it has left everything unread for that long; an alarm may be from before it went on."""
        return bool(self.congested_at) and self.loop.now() - self.congested_at >= STALL_NS


class EvictableConnection(Protocol):
    def evict(self) -> None:
        """Close its socket now."""


class ConnectionLimiter:
    """Those of both frontends, in the order in which they go when descriptors run short.

    Clients on slow lines may take over 2 s for their first line. In a flood they are the oldest of all, but
    unlike the rest they go on talking.
    """

    def __init__(self, loop: Loop, sockets: int) -> None:
        self.loop = loop
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        known = [limit for limit in (sockets, soft) if limit > 0]  # no limit is told as 0 or -1
        self.most = min(known) - max(LEAST_SPARE, min(known) // SPARE_PART) if known else 1 << 30
        self.descriptors = min(known) if known else 1 << 30
        self.told: dict[EvictableConnection, None] = {}  # they asked, were answered, and stay
        self.quiet: dict[EvictableConnection, None] = {}  # the longest quiet first
        self.talking: dict[EvictableConnection, None] = {}  # their line comes in pieces
        self.peer_descriptors = 0  # descriptors that another process of this proxy holds meanwhile
        loop.make_room = self.make_room

    def add(self, connection: EvictableConnection) -> None:
        """A usual client's line is there at once, so that under pressure it is never the one to go."""
        self.quiet[connection] = None
        while self.loop.streams + self.peer_descriptors > self.most and self.count() > 1 and self.make_room():
            pass

    def count(self) -> int:
        return self.idle() + len(self.talking)

    def idle(self) -> int:
        """How many of them want nothing, as far as can be seen."""
        return len(self.told) + len(self.quiet)

    def answered(self, connection: EvictableConnection) -> None:
        """What it asked it has been told; it may go at any time."""
        self.remove(connection)
        self.told[connection] = None

    def talks(self, connection: EvictableConnection) -> None:
        """More of its line came after a pause."""
        if connection in self.quiet or connection in self.talking:
            self.remove(connection)
            self.talking[connection] = None

    def remove(self, connection: EvictableConnection) -> None:
        for group in (self.told, self.quiet, self.talking):
            group.pop(connection, None)

    def resource_usage(self, connections: int) -> dict[str, ResourceUsage]:
        return {"strangers": ResourceUsage(self.count(), connections)}

    def make_room(self) -> bool:
        """End the one that can best be missed; whether there was one."""
        connection = next((one for group in (self.told, self.quiet, self.talking) for one in group), None)
        if connection is None:
            return False
        self.remove(connection)
        connection.evict()
        return True
