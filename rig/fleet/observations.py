"""Records of a run, as the clients and the emulated peers observe it; none comes from the nodes."""

from __future__ import annotations

import math
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from rig.fleet.processor_waits import ProcessorWaits


class RunClock:
    """Clock of a run: monotonic seconds since it began."""

    def __init__(self) -> None:
        self._began_s = time.monotonic()

    def __call__(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self._began_s

    def restart(self) -> None:
        """Reset the clock to zero."""
        self._began_s = time.monotonic()


CLOSED_UNANSWERED = "ended"
"""Stands for the keyword if the connection was closed without an answer."""


class Answer(NamedTuple):
    """A line that a client received: the time, and its keyword or CLOSED_UNANSWERED."""

    at_s: float
    keyword: str


class Delay(NamedTuple):
    """A delay of the rig's own event loop: a timer ran at `at_s`, `late_s` after it was due."""

    at_s: float
    late_s: float


class Interval(NamedTuple):
    """An interval in which a fault was present, in seconds of the run."""

    begin_s: float
    end_s: float

    def overlaps(self, since_s: float, until_s: float) -> bool:
        """Whether it overlaps the interval between the two times."""
        return self.begin_s < until_s and self.end_s > since_s


@dataclass(slots=True)
class ClientRequest:
    """A request that a client sent to a node, and the answers to it."""

    id: int
    node: int
    sent_s: float
    deadline_s: float
    group: int
    answers: list[Answer] = field(default_factory=list)
    key: int = 0
    abandoned_s: float | None = None
    """When the client closed its connection without having received an answer."""

    cut_off_s: float | None = None
    """When its established connection ended without a MOVE, other than by the client."""


@dataclass(slots=True)
class Attempt:
    """A node's attempt at an endpoint; it ends when it is answered or its connection is closed."""

    id: int
    node: int
    endpoint: str
    began_s: float
    ended_s: float | None = None


class EndpointStart(NamedTuple):
    """The start of an endpoint that warms up."""

    endpoint: str
    at_s: float
    warm_up_s: float
    window_s: float
    allowed: Callable[[float], float]
    """Connections allowed in the window that ends this many seconds after the start."""


class SlowStartUse(NamedTuple):
    """Connections sent to endpoints while they warmed up, and how many were allowed."""

    sent: float
    allowed: float


@dataclass
class Observations:
    """The records of one run."""

    requests: dict[int, ClientRequest] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    starts: list[EndpointStart] = field(default_factory=list)
    drain_notices: dict[tuple[int, str], list[Interval]] = field(default_factory=lambda: defaultdict(list))
    """When a node counted as notified that an endpoint is not ready, by node and endpoint."""

    link_cuts: dict[tuple[int, str], list[Interval]] = field(default_factory=lambda: defaultdict(list))
    """When the link from a node to an endpoint was cut in that direction, by node and endpoint."""

    node_outages: dict[int, list[Interval]] = field(default_factory=lambda: defaultdict(list))
    """When a node, or its link from clients, had a fault, by node."""

    rig_delays: list[Delay] = field(default_factory=list)
    """Delays of the rig's own event loop."""

    rig_waits: ProcessorWaits = field(default_factory=ProcessorWaits)
    """How long the rig's own process waited for a processor."""

    node_waits: dict[int, ProcessorWaits] = field(default_factory=lambda: defaultdict(ProcessorWaits))
    """How long each node's process waited for a processor, by node."""

    faulty_endpoint_links: set[tuple[int, str]] = field(default_factory=set)
    """Links that had a fault at any time, as node and endpoint."""

    ended_by_endpoint: set[int] = field(default_factory=set)
    """Ids of requests whose established connection was ended by the endpoint."""

    served_s: float = 0.0
    """Total time in which clients' messages were echoed in time, in seconds."""

    wanted_s: float = 0.0
    """Total time for which clients wanted to be served, in seconds."""

    discovery_calls: list[tuple[float, int]] = field(default_factory=list)
    """Time and node of each call to discovery."""

    discovery_answers: list[tuple[float, int]] = field(default_factory=list)
    """Time and node of each list that discovery sent."""

    migrations: int = 0
    resets: int = 0

    def record_state(self, node: int, endpoint: str, state: str, at_s: float) -> None:
        """Record that a node counts as notified of an endpoint's state from this time on."""
        notices = self.drain_notices[node, endpoint]
        is_notified = bool(notices) and notices[-1].end_s == math.inf
        if state != "SERVING" and not is_notified:
            notices.append(Interval(at_s, math.inf))
        elif state == "SERVING" and is_notified:
            notices[-1] = notices[-1]._replace(end_s=at_s)

    def rig_delay_s(self, since_s: float, until_s: float) -> float:
        """Total delay of the rig's loop after `since_s`, in delays that began by `until_s`; in seconds."""
        return sum(
            min(delay.late_s, delay.at_s - since_s)
            for delay in self.rig_delays
            if since_s <= delay.at_s and delay.at_s - delay.late_s <= until_s
        )

    def end_notices(self, node: int, at_s: float) -> None:
        """End the node's open notices: its new process has not been notified of anything yet."""
        for (notified, _), notices in self.drain_notices.items():
            if notified == node and notices and notices[-1].end_s == math.inf:
                notices[-1] = notices[-1]._replace(end_s=at_s)

    def was_cut(self, attempt: Attempt, until_s: float) -> bool:
        """Whether a cut link may have hidden from the endpoint that the node cancelled the attempt."""
        cuts = self.link_cuts.get((attempt.node, attempt.endpoint), ())
        return any(cut.overlaps(attempt.began_s, until_s) for cut in cuts)

    def had_outage(self, node: int, since_s: float, until_s: float) -> bool:
        """Whether the node, or its link from clients, had a fault at any moment between the two times."""
        return any(outage.overlaps(since_s, until_s) for outage in self.node_outages.get(node, ()))

    def up_share(self, since_s: float, until_s: float) -> float:
        """Share of the requests sent between the two times that were answered UP; 1.0 if there are none."""
        sent = [request for request in self.requests.values() if since_s <= request.sent_s < until_s]
        up = sum(any(answer.keyword == "UP" for answer in request.answers) for request in sent)
        return up / len(sent) if sent else 1.0

    def slow_start_use(self) -> SlowStartUse:
        """Slow-start use over all endpoints that warmed up; the allowance is summed over whole seconds."""
        sent = 0.0
        allowed = 0.0
        last_s = max((attempt.began_s for attempt in self.attempts), default=0.0)
        for start in self.starts:
            until_s = min(start.at_s + start.warm_up_s, last_s)
            sent += sum(
                attempt.endpoint == start.endpoint and start.at_s <= attempt.began_s <= until_s
                for attempt in self.attempts
            )
            seconds = max(0, int(until_s - start.at_s))
            allowed += sum(start.allowed(second + 0.5) / start.window_s for second in range(seconds))
        return SlowStartUse(sent, allowed)
