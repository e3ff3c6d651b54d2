"""The rules of the fleet rig, each on observations made for it."""

from __future__ import annotations

import pytest

from rig.fleet.invariants import InvariantChecker
from rig.fleet.observations import Answer, Attempt, ClientRequest, EndpointStart, Interval, Observations

FAULT_TIME = Interval(0.5, 9.0)


def violated_rules(observations: Observations) -> set[str]:
    return {violation.rule for violation in InvariantChecker(observations, 0.5).violations()}


def one_request(*answers: Answer) -> Observations:
    return Observations(requests={1: ClientRequest(1, 0, 1.0, 2.0, 7, list(answers))})


def with_attempts(*attempts: Attempt) -> Observations:
    observations = one_request(Answer(1.1, "UP"))
    observations.attempts += attempts
    return observations


def warming_up(attempts: int) -> Observations:
    observations = Observations(starts=[EndpointStart("s", 10.0, 10.0, 2.0, lambda age_s: 4.0)])
    times = [11.0 + number * 0.01 for number in range(attempts)]
    observations.attempts += [Attempt(number, 0, "s", at_s, at_s) for number, at_s in enumerate(times)]
    return observations


def after_drain_notice(at_s: float) -> Observations:
    observations = with_attempts(Attempt(1, 0, "s", at_s, at_s))
    observations.record_state(0, "s", "DRAINING", 5.0)
    return observations


def with_link_cut(observations: Observations) -> Observations:
    observations.link_cuts[0, "a"].append(FAULT_TIME)
    return observations


def with_node_outage(observations: Observations) -> Observations:
    observations.node_outages[0].append(FAULT_TIME)
    return observations


@pytest.mark.parametrize(
    ("observations", "rules"),
    [
        (one_request(Answer(1.1, "UP")), set()),
        (one_request(), {"unanswered"}),
        (one_request(Answer(3.9, "BUSY")), {"unanswered"}),
        (with_node_outage(one_request()), set()),
        (one_request(Answer(1.1, "BUSY"), Answer(1.2, "UP")), {"answered-twice"}),
        (with_attempts(Attempt(1, 0, "a", 1.0, 1.5), Attempt(1, 0, "b", 1.4, 1.6)), set()),
        (with_attempts(Attempt(1, 0, "a", 1.0, None), Attempt(1, 0, "b", 1.4, 1.6)), {"parallel-attempts"}),
        (with_link_cut(with_attempts(Attempt(1, 0, "a", 1.0, None), Attempt(1, 0, "b", 1.4, 1.6))), set()),
        (after_drain_notice(5.4), set()),
        (after_drain_notice(5.9), {"sent-to-draining"}),
        (warming_up(10), set()),
        (warming_up(11), {"slow-start-exceeded"}),
    ],
)
def test_each_rule_reports_its_violations(observations: Observations, rules: set[str]) -> None:
    assert violated_rules(observations) == rules
