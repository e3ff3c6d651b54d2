"""Invariants of a run, checked against its observations."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise
from typing import NamedTuple

from rig.fleet.observations import (
    CLOSED_UNANSWERED,
    Answer,
    Attempt,
    ClientRequest,
    EndpointStart,
    Observations,
)

ANSWER_SLACK_S = 0.5
"""How long after its deadline a final answer may come, in seconds."""

OUTAGE_SLACK_S = 0.5
"""How long before a request an outage may have ended and still excuse it, in seconds."""

OVERLAP_SLACK_S = 0.25
"""Longest tolerated overlap of two attempts, in seconds: the end of the first arrives late."""

NOTICE_SLACK_S = 0.25
"""Time for a drain notice, and for a connection sent before it, to arrive, in seconds."""

FORWARDING_S = 0.5
"""Time for the rig to forward a request to its node, in seconds; its delays meanwhile are excused."""

ABANDON_SLACK_S = 0.1
"""How long after its client has abandoned the request an attempt may begin, in seconds."""

ARRIVAL_SLACK_S = 0.05
"""Time for an attempt to arrive at its endpoint, in seconds, without a delay of the rig."""


class Violation(NamedTuple):
    """A violated rule, and what violated it."""

    rule: str
    detail: str


class InvariantChecker:
    """Checks the rules, each a generator of its violations."""

    def __init__(self, observations: Observations, drain_grace_s: float) -> None:
        self.observations = observations
        self.drain_grace_s = drain_grace_s

    def violations(self) -> list[Violation]:
        """All violations of all rules, in the order of the rules."""
        rules = (
            self.unanswered,
            self.answered_twice,
            self.parallel_attempts,
            self.sent_to_draining,
            self.slow_start_exceeded,
            self.sent_after_leave,
            self.cut_off,
        )
        return [violation for rule in rules for violation in rule()]

    def unanswered(self) -> Iterator[Violation]:
        """Every request gets a final answer by its deadline, unless its node had an outage.

        Delays of the rig while it forwards the request and the answer extend the limit.
        """
        for request in self.observations.requests.values():
            limit_s = request.sent_s + request.deadline_s + ANSWER_SLACK_S
            is_answered = any(
                answer.at_s <= limit_s + self._forwarding_delay_s(request, answer)
                and answer.keyword != CLOSED_UNANSWERED
                for answer in request.answers
            )
            since_s = request.sent_s - OUTAGE_SLACK_S
            if request.abandoned_s is not None and request.abandoned_s < limit_s:
                continue
            if not is_answered and not self.observations.had_outage(request.node, since_s, limit_s):
                detail = f"{request.id:x} at node {request.node}, sent at {request.sent_s:.3f}"
                yield Violation("unanswered", detail)

    def _forwarding_delay_s(self, request: ClientRequest, answer: Answer) -> float:
        """Delay of the rig in forwarding the request, and the answer after the deadline; in seconds."""
        rig_delay_s = self.observations.rig_delay_s
        request_delay_s = rig_delay_s(request.sent_s, request.sent_s + FORWARDING_S)
        return request_delay_s + rig_delay_s(request.sent_s + request.deadline_s, answer.at_s)

    def answered_twice(self) -> Iterator[Violation]:
        """No request gets a second final answer."""
        for request in self.observations.requests.values():
            if len(request.answers) > 1:
                keywords = [answer.keyword for answer in request.answers]
                yield Violation("answered-twice", f"{request.id:x}: {keywords}")

    def parallel_attempts(self) -> Iterator[Violation]:
        """No request has attempts at two endpoints at once, unless a cut hid the end of the first."""
        by_request: dict[int, list[Attempt]] = defaultdict(list)
        for attempt in self.observations.attempts:
            by_request[attempt.id].append(attempt)
        for request_id, attempts in by_request.items():
            attempts.sort(key=lambda attempt: attempt.began_s)
            for first, second in pairwise(attempts):
                ended_s = math.inf if first.ended_s is None else first.ended_s
                is_overlapping = ended_s > second.began_s + OVERLAP_SLACK_S
                if is_overlapping and not self.observations.was_cut(first, second.began_s):
                    detail = f"{request_id:x} at {first.endpoint} and {second.endpoint}"
                    yield Violation("parallel-attempts", detail)

    def sent_to_draining(self) -> Iterator[Violation]:
        """No node sends connections to an endpoint after its drain notice and the drain grace."""
        for attempt in self.observations.attempts:
            for notice in self.observations.drain_notices.get((attempt.node, attempt.endpoint), ()):
                forbidden_from_s = notice.begin_s + self.drain_grace_s + NOTICE_SLACK_S
                if forbidden_from_s < attempt.began_s < notice.end_s:
                    delay_s = attempt.began_s - notice.begin_s
                    attempt_text = f"{attempt.id:x} by node {attempt.node} to {attempt.endpoint}"
                    detail = f"{attempt_text} at {attempt.began_s:.3f}, {delay_s:.3f} s after the notice"
                    yield Violation("sent-to-draining", detail)

    def sent_after_leave(self) -> Iterator[Violation]:
        """No attempt begins later than ABANDON_SLACK_S after its client has abandoned the request.

        Delays of the rig extend the limit: the request line may have been sent before.
        """
        for attempt in self.observations.attempts:
            request = self.observations.requests.get(attempt.id)
            if request is not None and request.abandoned_s is not None:
                delay_s = attempt.began_s - request.abandoned_s
                rig_delay_s = self.observations.rig_delay_s(request.abandoned_s, attempt.began_s)
                if delay_s > ABANDON_SLACK_S + ARRIVAL_SLACK_S + rig_delay_s:
                    yield Violation(
                        "sent-after-leave", f"{attempt.id:x} {delay_s:.3f} s after the client left"
                    )

    def cut_off(self) -> Iterator[Violation]:
        """No established connection ends without MOVE unless its endpoint ended it or its node had an outage.

        Links to endpoints that had a fault are left out.
        """
        endpoints = {attempt.id: attempt.endpoint for attempt in self.observations.attempts}
        for request in self.observations.requests.values():
            if request.cut_off_s is None or request.id in self.observations.ended_by_endpoint:
                continue
            link = (request.node, endpoints.get(request.id, ""))
            since_s = request.cut_off_s - OUTAGE_SLACK_S
            has_outage = self.observations.had_outage(request.node, since_s, request.cut_off_s)
            if not has_outage and link not in self.observations.faulty_endpoint_links:
                detail = (
                    f"{request.id:x} by node {request.node} at {request.cut_off_s:.3f}, endpoint {link[1]}"
                )
                yield Violation("cut-off", detail)

    def slow_start_exceeded(self) -> Iterator[Violation]:
        """The nodes together send an endpoint that warms up no more than allowed, within random variation."""
        for start in self.observations.starts:
            violation = self._first_excess(start)
            if violation is not None:
                yield violation

    def _first_excess(self, start: EndpointStart) -> Violation | None:
        attempts = self.observations.attempts
        times = sorted(attempt.began_s for attempt in attempts if attempt.endpoint == start.endpoint)
        for at_s in times:
            if not start.at_s <= at_s < start.at_s + start.warm_up_s:
                continue
            window_begin_s = max(start.at_s, at_s - start.window_s)
            count = bisect_right(times, at_s) - bisect_right(times, window_begin_s)
            allowed = start.allowed(at_s - start.at_s)
            if count > allowed + 2 * math.sqrt(allowed) + 2:
                detail = f"{start.endpoint}: {count} where {allowed:.1f} are allowed"
                return Violation("slow-start-exceeded", detail)
        return None
