"""Bounds on what connections without a request cost, and on peers that do not read.

Such connections have not sent a request yet, or stay after their answer. Both frontends keep to these bounds,
so that no number of silent, endless or hasty connections takes what usual clients and their endpoints need.
"""

from __future__ import annotations

import resource
from enum import Enum
from typing import Protocol

from linnetshift.event_loop.actor import Actor
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.stream import Stream
from linnetshift.event_loop.timers import MS, S, Timer
from linnetshift.observability.resource_usage import ResourceUsage

# A request line comes with its connection; one that takes longer is answered and closed, within 3 s in all.
REQUEST_LINE_TIMEOUT_NS = 2800 * MS
# What is still received after an answer is read and dropped, since a close with bytes unread would reset the
# answer away; 60 MB may be on their way, and the close is promised within 6 s.
DISCARD_TIMEOUT_NS = 5500 * MS
# How long a client may leave everything unread.
STALL_NS = 7 * S
# The longest time for which a request line may wait for its answer; real clients wait for less.
MAX_WAIT_MS = 600_000

# Descriptors that no connection without a request gets: they are for endpoints, discovery, listeners and the
# log. The larger of a number and a share of all.
MIN_SPARE_DESCRIPTORS = 24
SPARE_DESCRIPTORS_DIVISOR = 6
NO_LIMIT = 1 << 30  # stands for the number of descriptors where neither settings nor system limit it


class ConnectionTimer(Enum):
    """Tags of the timers by which any kind of connection bounds how long it waits for its peer."""

    REQUEST_LINE = "request line"  # from accept until the request line is whole
    CONNECT = "connect"
    ANSWER = "answer"  # from what this process requested until the answer is whole
    STALL = "stall"  # since when the peer has left sent bytes unread
    LINGER = "linger"  # from this side's end until the peer's


class StallDetector(Actor):
    """An actor whose peer is to read what it is sent: detects that it has not for STALL_NS.

    Contract: subclasses call `update_stall_timer` after each write and flush of `stream`, and end the
    connection on `Timeout(ConnectionTimer.STALL)` if `is_stalled()` holds then. At most one timer is armed
    for that, however often the peer stops and goes on.
    """

    stream: Stream
    congested_at = 0  # since when bytes have waited for the peer, in ns of the loop's clock; 0: none wait
    stall_timer: Timer | None = None

    def update_stall_timer(self) -> None:
        """Arm the timer when bytes begin to wait, cancel it once none do."""
        if self.stream.is_congested and not self.congested_at:
            self.congested_at = self.loop.now()
            self.stall_timer = self.set_timer(STALL_NS, ConnectionTimer.STALL)
        elif self.congested_at and not self.stream.is_congested:
            self.congested_at = 0
            if self.stall_timer is not None:
                self.stall_timer.cancel()

    def is_stalled(self) -> bool:
        """Whether the peer has read too little for STALL_NS; the timer may have fired just as it read on."""
        return bool(self.congested_at) and self.loop.now() - self.congested_at >= STALL_NS


class EvictableConnection(Protocol):
    """A connection without a request that may be closed when descriptors run short."""

    def evict(self) -> None:
        """Close its socket now."""


class ConnectionLimiter:
    """The connections without a request of both frontends, in the order in which they are evicted.

    First those that were answered and stay, then silent ones, then those whose request line comes in pieces;
    of each the oldest first. Clients on slow lines may take over 2 s for their request line. In a flood they
    are the oldest of all, but unlike the rest they keep sending.
    """

    def __init__(self, loop: Loop, configured_limit: int) -> None:
        """`configured_limit` is in descriptors; 0 leaves it to the system's limit."""
        self.loop = loop
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        # Where there is no limit, `configured_limit` is 0 and `soft_limit` is RLIM_INFINITY, -1.
        limits = [limit for limit in (configured_limit, soft_limit) if limit > 0]
        self.max_descriptors = min(limits) if limits else NO_LIMIT
        # How many connections of all kinds may be open before one without a request is evicted.
        self.max_streams = NO_LIMIT
        if limits:
            spare = max(MIN_SPARE_DESCRIPTORS, self.max_descriptors // SPARE_DESCRIPTORS_DIVISOR)
            self.max_streams = self.max_descriptors - spare
        # Dictionaries for their order, the oldest first.
        self.answered_connections: dict[EvictableConnection, None] = {}
        self.silent_connections: dict[EvictableConnection, None] = {}
        self.sending_connections: dict[EvictableConnection, None] = {}
        self.peer_descriptors = 0  # open in the other process during a hot restart
        loop.make_room = self.make_room

    def add(self, connection: EvictableConnection) -> None:
        """Count a connection without a request, and evict others while too many are open.

        A usual client's request line is there at once, so that it is never the one that is evicted.
        """
        self.silent_connections[connection] = None
        while self.is_over_limit() and self.count() > 1 and self.make_room():
            pass

    def is_over_limit(self) -> bool:
        """Whether more connections of all kinds are open than the descriptors are meant for."""
        return self.loop.stream_count + self.peer_descriptors > self.max_streams

    def count(self) -> int:
        """How many connections have no request."""
        return self.idle_count() + len(self.sending_connections)

    def idle_count(self) -> int:
        """How many of these are not sending a request either, as far as can be seen."""
        return len(self.answered_connections) + len(self.silent_connections)

    def handle_answered(self, connection: EvictableConnection) -> None:
        """Its readiness check is answered; it may be evicted at any time."""
        self.remove(connection)
        self.answered_connections[connection] = None

    def handle_partial_request(self, connection: EvictableConnection) -> None:
        """More of its request came after a pause."""
        if connection in self.silent_connections or connection in self.sending_connections:
            self.remove(connection)
            self.sending_connections[connection] = None

    def remove(self, connection: EvictableConnection) -> None:
        """Count it no longer: it has a request, or is closed."""
        for group in self.eviction_order():
            group.pop(connection, None)

    def resource_usage(self, max_connections: int) -> dict[str, ResourceUsage]:
        """The size of its three groups together, under their name in `/ops/census`."""
        return {"strangers": ResourceUsage(self.count(), max_connections)}

    def make_room(self) -> bool:
        """Evict the connection that matters least; whether there was one."""
        connection = next((candidate for group in self.eviction_order() for candidate in group), None)
        if connection is None:
            return False
        self.remove(connection)
        connection.evict()
        return True

    def eviction_order(self) -> tuple[dict[EvictableConnection, None], ...]:
        """The three groups, the one that is evicted from first at the front."""
        return self.answered_connections, self.silent_connections, self.sending_connections
