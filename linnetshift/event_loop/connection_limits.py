"""Limits on connections without a request, and on peers that do not read.

A connection has no request before its request line is complete and after its answer. Both frontends apply
these limits, so that such connections, however many, never use up the descriptors that clients with a request
and their endpoints need.
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

# Clients send the request line right after connecting. A connection whose line is incomplete after this time
# is answered and closed, at the latest 3 s after accept.
REQUEST_LINE_TIMEOUT_NS = 2800 * MS
# Input after an answer is read and discarded: closing a socket with unread bytes sends RST, and the peer may
# lose the answer. Up to 60 MB may be in flight, and the connection must be closed within 6 s.
DISCARD_TIMEOUT_NS = 5500 * MS
# How long sent data may wait for a peer that does not read.
STALL_NS = 7 * S
# The longest wait for an answer that a request line may ask for; real clients ask for less.
MAX_WAIT_MS = 600_000

# Descriptors kept free of connections without a request, for endpoints, discovery, listeners and the log: the
# larger of a fixed number and a share of the limit.
MIN_SPARE_DESCRIPTORS = 24
SPARE_DESCRIPTORS_DIVISOR = 6
NO_LIMIT = 1 << 30  # the limit where neither the settings nor the system set one


class ConnectionTimer(Enum):
    """Tags of the timers, common to all kinds of connections, that limit the wait for a peer."""

    REQUEST_LINE = "request line"  # from accept until the request line is complete
    CONNECT = "connect"
    ANSWER = "answer"  # from this process's request until the answer is complete
    STALL = "stall"  # while sent data waits for the peer to read
    LINGER = "linger"  # from the end of this side until the end of the peer's


class StallDetector(Actor):
    """An actor that detects that `stream` has been congested for STALL_NS, as its peer does not read.

    Contract: subclasses call `update_stall_timer` after each write and flush of `stream`, and end the
    connection on `Timeout(ConnectionTimer.STALL)` if `is_stalled()` holds then. At most one stall timer is
    armed at a time, however often the peer stops and resumes reading.
    """

    stream: Stream
    congested_since = 0  # when `stream` became congested, in ns of the loop's clock; 0 while it is not
    stall_timer: Timer | None = None

    def update_stall_timer(self) -> None:
        """Arm the timer when `stream` becomes congested, cancel it once it no longer is."""
        if self.stream.is_congested and not self.congested_since:
            self.congested_since = self.loop.now()
            self.stall_timer = self.set_timer(STALL_NS, ConnectionTimer.STALL)
        elif self.congested_since and not self.stream.is_congested:
            self.congested_since = 0
            if self.stall_timer is not None:
                self.stall_timer.cancel()

    def is_stalled(self) -> bool:
        """Whether `stream` has been congested for STALL_NS; not if the peer read on as the timer fired."""
        return bool(self.congested_since) and self.loop.now() - self.congested_since >= STALL_NS


class EvictableConnection(Protocol):
    """A connection without a request, which may be closed when descriptors run short."""

    def evict(self) -> None:
        """Close its socket now."""


class ConnectionLimiter:
    """Tracks both frontends' connections without a request, and evicts them when descriptors run short.

    Evicted first are answered connections that are still open, then silent ones, then those whose request
    line arrives in pieces; among each the oldest first. Clients on slow links may need over 2 s for their
    request line: in a flood they are the oldest, but unlike the others they keep sending.
    """

    def __init__(self, loop: Loop, configured_limit: int) -> None:
        """`configured_limit` is a number of descriptors; with 0, only the system's limit holds."""
        self.loop = loop
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        # Where there is no limit, `configured_limit` is 0 and `soft_limit` is RLIM_INFINITY, -1.
        limits = [limit for limit in (configured_limit, soft_limit) if limit > 0]
        self.max_descriptors = min(limits) if limits else NO_LIMIT
        # When more connections of any kind are open, those without a request are evicted.
        self.max_streams = NO_LIMIT
        if limits:
            spare = max(MIN_SPARE_DESCRIPTORS, self.max_descriptors // SPARE_DESCRIPTORS_DIVISOR)
            self.max_streams = self.max_descriptors - spare
        # Dictionaries, as they keep the order of insertion: the oldest first.
        self.answered_connections: dict[EvictableConnection, None] = {}
        self.silent_connections: dict[EvictableConnection, None] = {}
        self.sending_connections: dict[EvictableConnection, None] = {}
        self.peer_descriptors = 0  # open in the other process during a hot restart
        loop.free_descriptor = self.free_descriptor

    def add(self, connection: EvictableConnection) -> None:
        """Track a connection without a request; evict others while too many are open.

        A usual client is not evicted: its request line arrives at once, and `remove` ends the tracking.
        """
        self.silent_connections[connection] = None
        while self.is_over_limit() and self.count() > 1 and self.free_descriptor():
            pass

    def is_over_limit(self) -> bool:
        """Whether the open connections, and the other process's descriptors, exceed `max_streams`."""
        return self.loop.stream_count + self.peer_descriptors > self.max_streams

    def count(self) -> int:
        """Number of connections without a request."""
        return self.idle_count() + len(self.sending_connections)

    def idle_count(self) -> int:
        """Number of these that are not known to be sending a request line."""
        return len(self.answered_connections) + len(self.silent_connections)

    def handle_answered(self, connection: EvictableConnection) -> None:
        """A query of the client is answered: the connection is evicted before all others."""
        self.remove(connection)
        self.answered_connections[connection] = None

    def handle_partial_request(self, connection: EvictableConnection) -> None:
        """A further part of the request line arrived after a pause: the connection is evicted last."""
        if connection in self.silent_connections or connection in self.sending_connections:
            self.remove(connection)
            self.sending_connections[connection] = None

    def remove(self, connection: EvictableConnection) -> None:
        """Stop tracking a connection that has a request or is closed."""
        for tracked in self.eviction_order():
            tracked.pop(connection, None)

    def resource_usage(self, max_connections: int) -> dict[str, ResourceUsage]:
        """The number of tracked connections and its bound, by its name in `/ops/census`."""
        return {"strangers": ResourceUsage(self.count(), max_connections)}

    def free_descriptor(self) -> bool:
        """Evict the first connection in eviction order; returns whether there was one."""
        connection = next((oldest for tracked in self.eviction_order() for oldest in tracked), None)
        if connection is None:
            return False
        self.remove(connection)
        connection.evict()
        return True

    def eviction_order(self) -> tuple[dict[EvictableConnection, None], ...]:
        """Answered, silent and sending connections, in the order in which they are evicted."""
        return self.answered_connections, self.silent_connections, self.sending_connections
