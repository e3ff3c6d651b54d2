"""What clients and model endpoints observe in a run. Nothing here comes from the nodes themselves."""

from __future__ import annotations

import math
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from rig.fleet.processor_waits import ProcessorWaits


class RunClock:
    """Seconds since the run began."""

    def __init__(self) -> None:
        self._began_s = time.monotonic()

    def __call__(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self._began_s

    def restart(self) -> None:
        """Begin at zero again."""
        self._began_s = time.monotonic()


CLOSED_UNANSWERED = "ended"
"""In place of a keyword: the connection was closed without an answer."""


class Answer(NamedTuple):
    """A line that a client received, by its keyword or CLOSED_UNANSWERED, and when."""

    at_s: float
    keyword: str


class Delay(NamedTuple):
    """The rig itself was held up: it came so much later to a thing that was due at that time."""

    at_s: float
    late_s: float


class Interval(NamedTuple):
    """A time in which something was at fault, in seconds of the run."""

    begin_s: float
    end_s: float

    def overlaps(self, since_s: float, until_s: float) -> bool:
        """Whether any moment of it is between the two."""
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
    left_s: float | None = None
    """When the client left without having an answer."""

    cut_off_s: float | None = None
    """When its established connection ended though the client had not ended it and got no MOVE."""


@dataclass(slots=True)
class Attempt:
    """An attempt of a node at an endpoint; it has ended once it is answered or its connection is gone."""

    id: int
    node: int
    endpoint: str
    began_s: float
    ended_s: float | None = None


class EndpointStart(NamedTuple):
    """The start of an endpoint that has to warm up."""

    endpoint: str
    at_s: float
    warm_up_s: float
    window_s: float
    allowed: Callable[[float], float]
    """From the seconds since the start to the connections that are allowed in the window that ends then."""


class SlowStartUse(NamedTuple):
    """Connections that endpoints got while they warmed up, and those that they were allowed."""

    sent: float
    allowed: float


@dataclass
class Observations:
    """The records of one run."""

    requests: dict[int, ClientRequest] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    starts: list[EndpointStart] = field(default_factory=list)
    drain_notices: dict[tuple[int, str], list[Interval]] = field(default_factory=lambda: defaultdict(list))
    """From when until when a node counted as notified that an endpoint is not ready, by both."""

    link_cuts: dict[tuple[int, str], list[Interval]] = field(default_factory=lambda: defaultdict(list))
    """When nothing went from a node to an endpoint, by both."""

    node_outages: dict[int, list[Interval]] = field(default_factory=lambda: defaultdict(list))
    """When a node, or its link from clients, was at fault."""

    rig_delays: list[Delay] = field(default_factory=list)
    """When the rig's own loop was late."""

    rig_waits: ProcessorWaits = field(default_factory=ProcessorWaits)
    """How long the rig's own process waited for a processor."""

    node_waits: dict[int, ProcessorWaits] = field(default_factory=lambda: defaultdict(ProcessorWaits))
    """How long each node's process did."""

    faulty_endpoint_links: set[tuple[int, str]] = field(default_factory=set)
    """Links of a node to an endpoint that had a fault at any time, by both."""

    ended_by_endpoint: set[int] = field(default_factory=set)
    """Requests whose established connection their endpoint ended."""

    served_s: float = 0.0
    """Seconds in which clients' messages came back in time."""

    wanted_s: float = 0.0
    """Seconds in which clients wanted to be served."""

    discovery_calls: list[tuple[float, int]] = field(default_factory=list)
    """When which node called discovery."""

    discovery_answers: list[tuple[float, int]] = field(default_factory=list)
    """When which node was sent a list by discovery."""

    migrations: int = 0
    resets: int = 0

    def record_state(self, node: int, endpoint: str, state: str, at_s: float) -> None:
        """A node counts as notified of an endpoint's state from this time on."""
        notices = self.drain_notices[node, endpoint]
        is_notified = bool(notices) and notices[-1].end_s == math.inf
        if state != "SERVING" and not is_notified:
            notices.append(Interval(at_s, math.inf))
        elif state == "SERVING" and is_notified:
            notices[-1] = notices[-1]._replace(end_s=at_s)

    def rig_delay_s(self, since_s: float, until_s: float) -> float:
        """By how much the rig itself was late from `since_s` on, in delays that began by `until_s`."""
        return sum(
            min(delay.late_s, delay.at_s - since_s)
            for delay in self.rig_delays
            if since_s <= delay.at_s and delay.at_s - delay.late_s <= until_s
        )

    def forget_notices(self, node: int, at_s: float) -> None:
        """A new process of the node starts, which was notified of nothing yet."""
        for (notified, _), notices in self.drain_notices.items():
            if notified == node and notices and notices[-1].end_s == math.inf:
                notices[-1] = notices[-1]._replace(end_s=at_s)

    def was_cut(self, attempt: Attempt, until_s: float) -> bool:
        """Whether the endpoint may not have learned that the node cancelled the attempt."""
        cuts = self.link_cuts.get((attempt.node, attempt.endpoint), ())
        return any(cut.overlaps(attempt.began_s, until_s) for cut in cuts)

    def had_outage(self, node: int, since_s: float, until_s: float) -> bool:
        """Whether the node, or its link from clients, was at fault at any moment of that time."""
        return any(outage.overlaps(since_s, until_s) for outage in self.node_outages.get(node, ()))

    def up_share(self, since_s: float, until_s: float) -> float:
        """The part of the requests sent in that time that were answered UP; 1.0 where there are none."""
        sent = [request for request in self.requests.values() if since_s <= request.sent_s < until_s]
        up = sum(any(answer.keyword == "UP" for answer in request.answers) for request in sent)
        return up / len(sent) if sent else 1.0

    def slow_start_use(self) -> SlowStartUse:
        """Use of all endpoints that warmed up, in whole seconds of the run."""
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
