"""Invariants and emulated discovery of the fleet rig, on constructed observations."""

from __future__ import annotations

import asyncio
import math

import pytest

from rig.fleet.invariants import InvariantChecker, Violation
from rig.fleet.model_discovery import DiscoveryServer
from rig.fleet.observations import (
    Answer,
    Attempt,
    ClientRequest,
    Delay,
    EndpointStart,
    Interval,
    Observations,
    RunClock,
)
from rig.fleet.scenario import parse

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


def after_abandonment(attempt_s: float) -> Observations:
    observations = with_attempts(Attempt(1, 0, "s", attempt_s, attempt_s))
    observations.requests[1].abandoned_s = 1.4
    return observations


def cut_off_connection() -> Observations:
    observations = with_attempts(Attempt(1, 0, "s", 1.05, 1.1))
    observations.requests[1].cut_off_s = 2.0
    return observations


def cut_off_by_endpoint() -> Observations:
    observations = cut_off_connection()
    observations.ended_by_endpoint.add(1)
    return observations


def with_rig_delay(observations: Observations, delay: Delay) -> Observations:
    observations.rig_delays.append(delay)
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
        (one_request(Answer(1.1, "ended")), {"unanswered"}),
        (with_rig_delay(one_request(Answer(3.9, "BUSY")), Delay(3.8, 0.5)), set()),
        (with_rig_delay(one_request(Answer(3.9, "BUSY")), Delay(3.8, 0.3)), {"unanswered"}),
        (with_rig_delay(one_request(Answer(3.9, "BUSY")), Delay(0.9, 0.5)), {"unanswered"}),
        (with_rig_delay(one_request(Answer(3.9, "BUSY")), Delay(1.3, 0.5)), {"unanswered"}),
        (with_rig_delay(one_request(Answer(3.9, "BUSY")), Delay(1.6, 0.5)), set()),
        # A delay between the forwarding of request and answer does not extend the limit.
        (with_rig_delay(one_request(Answer(3.9, "BUSY")), Delay(2.2, 0.5)), {"unanswered"}),
        (with_rig_delay(one_request(), Delay(3.8, 0.5)), {"unanswered"}),
        (with_node_outage(one_request()), set()),
        (one_request(Answer(1.1, "BUSY"), Answer(1.2, "UP")), {"answered-twice"}),
        (with_attempts(Attempt(1, 0, "a", 1.0, 1.5), Attempt(1, 0, "b", 1.4, 1.6)), set()),
        (with_attempts(Attempt(1, 0, "a", 1.0, None), Attempt(1, 0, "b", 1.4, 1.6)), {"parallel-attempts"}),
        (with_link_cut(with_attempts(Attempt(1, 0, "a", 1.0, None), Attempt(1, 0, "b", 1.4, 1.6))), set()),
        (after_abandonment(1.5), set()),
        (after_abandonment(2.0), {"sent-after-leave"}),
        (cut_off_connection(), {"cut-off"}),
        (with_node_outage(cut_off_connection()), set()),
        (cut_off_by_endpoint(), set()),
        (after_drain_notice(5.4), set()),
        (after_drain_notice(5.9), {"sent-to-draining"}),
        (warming_up(10), set()),
        (warming_up(11), {"slow-start-exceeded"}),
    ],
)
def test_rules_report_their_violations(observations: Observations, rules: set[str]) -> None:
    assert violated_rules(observations) == rules


TWO_OPEN_ATTEMPTS = (Attempt(1, 0, "a", 1.0, None), Attempt(1, 0, "b", 1.4, 1.6))


def with_cut(node: int, endpoint: str, cut: Interval) -> Observations:
    observations = with_attempts(*TWO_OPEN_ATTEMPTS)
    observations.link_cuts[node, endpoint].append(cut)
    return observations


@pytest.mark.parametrize(
    ("node", "endpoint", "cut"),
    [(0, "b", FAULT_TIME), (1, "a", FAULT_TIME), (0, "a", Interval(0.1, 0.9)), (0, "a", Interval(1.5, 2.0))],
    ids=["of the second endpoint", "from another node", "over before both", "after the second began"],
)
def test_parallel_attempts_are_not_excused_by_a_cut(node: int, endpoint: str, cut: Interval) -> None:
    assert violated_rules(with_cut(node, endpoint, cut)) == {"parallel-attempts"}


@pytest.mark.parametrize(
    ("node", "outage", "rules"),
    [
        (1, FAULT_TIME, {"unanswered"}),
        (0, Interval(0.0, 0.4), {"unanswered"}),  # ended more than OUTAGE_SLACK_S before the request
        (0, Interval(0.0, 0.6), set()),
        (0, Interval(3.4, 3.6), set()),
        (0, Interval(3.6, 9.0), {"unanswered"}),  # begins after the limit for the answer
    ],
)
def test_unanswered_request_is_excused_by_a_concurrent_outage_of_its_node(
    node: int, outage: Interval, rules: set[str]
) -> None:
    observations = one_request()
    observations.node_outages[node].append(outage)
    assert violated_rules(observations) == rules


def test_drain_notice_lasts_from_its_first_record_until_the_endpoint_is_ready() -> None:
    observations = after_drain_notice(5.9)
    observations.record_state(0, "s", "DRAINING", 5.8)
    assert violated_rules(observations) == {"sent-to-draining"}
    observations.record_state(0, "s", "SERVING", 5.85)
    assert violated_rules(observations) == set()


def test_attempt_during_a_drain_notice_is_a_violation_after_the_notice_has_ended() -> None:
    # Fails if only the latest state is kept: attempts during an earlier notice are then not checked.
    observations = after_drain_notice(5.9)
    observations.record_state(0, "s", "SERVING", 6.5)
    observations.record_state(0, "s", "DELETED", 8.0)
    assert violated_rules(observations) == {"sent-to-draining"}


def test_node_counts_as_notified_of_an_omitted_endpoint_after_the_notice_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def publish_removal() -> Observations:
        observations = Observations()
        server = DiscoveryServer(parse('name = "x"\nnodes = 1'), observations, RunClock())
        server.views[0] = {"s": {"state": "SERVING"}}
        server.record_view(0)
        await asyncio.gather(*server.publish(lambda node: {}))
        await asyncio.sleep(0.2)
        return observations

    monkeypatch.setattr("rig.fleet.model_discovery.NOTICE_DEADLINE_S", 0.05)
    notices = asyncio.run(publish_removal()).drain_notices[0, "s"]
    assert [notice.end_s for notice in notices] == [math.inf]


def test_notice_deadline_of_a_change_during_an_outage_of_discovery_starts_at_its_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Fails if the deadline starts at the change, while discovery refuses all calls.
    async def publish_removal_in_outage() -> tuple[int, int]:
        observations = Observations()
        server = DiscoveryServer(parse('name = "x"\nnodes = 1'), observations, RunClock())
        server.views[0] = {"s": {"state": "SERVING"}}
        server.record_view(0)
        await server.set_unavailable(0, is_on=True)
        await asyncio.gather(*server.publish(lambda node: {}))
        await asyncio.sleep(0.2)
        notices_in_outage = len(observations.drain_notices[0, "s"])
        await server.set_unavailable(0, is_on=False)
        await asyncio.sleep(0.2)
        return notices_in_outage, len(observations.drain_notices[0, "s"])

    monkeypatch.setattr("rig.fleet.model_discovery.NOTICE_DEADLINE_S", 0.05)
    assert asyncio.run(publish_removal_in_outage()) == (0, 1)


def test_discovery_serves_calls_in_order_and_fails_those_that_wait_too_long() -> None:
    capacity = "[discovery]\nservice_s = 0.1\nlongest_wait_s = 0.15"

    async def call_at_once(calls: int) -> list[bool]:
        server = DiscoveryServer(parse(f'name = "x"\n{capacity}'), Observations(), RunClock())
        return await asyncio.gather(*(server._wait_in_queue() for _ in range(calls)))

    # The third call waits too long but is still served; the fifth is refused at once.
    assert asyncio.run(call_at_once(5)) == [True, True, False, False, False]


def test_queue_at_discovery_does_not_depend_on_a_restart_of_the_run_clock() -> None:
    # The run's clock restarts after the first calls; a queue timed by it would grow by the old reading.
    async def call_after_restart() -> float:
        clock = RunClock()
        scenario = parse('name = "x"\n[discovery]\nservice_s = 0.1\nlongest_wait_s = 5.0')
        server = DiscoveryServer(scenario, Observations(), clock)
        await asyncio.gather(*(server._wait_in_queue() for _ in range(5)))
        clock.restart()
        assert await server._wait_in_queue()
        return clock()

    assert asyncio.run(call_after_restart()) < 0.3


def test_drain_notice_applies_only_to_the_node_that_received_it() -> None:
    observations = with_attempts(Attempt(1, 0, "s", 9.0, 9.0))
    observations.record_state(1, "s", "DRAINING", 5.0)
    assert violated_rules(observations) == set()


@pytest.mark.parametrize(
    ("first_s", "interval_s", "rules"),
    [
        (11.0, 0.01, {"slow-start-exceeded"}),
        (11.0, 0.21, set()),  # no more than ten within any window of 2 s
        (9.0, 0.01, set()),  # before the start
        (20.0, 0.01, set()),  # after the warm-up
    ],
)
def test_slow_start_is_checked_in_windows_during_the_warm_up(
    first_s: float, interval_s: float, rules: set[str]
) -> None:
    observations = warming_up(0)
    observations.attempts += [
        Attempt(number, number % 2, "s", first_s + number * interval_s, first_s) for number in range(11)
    ]
    assert violated_rules(observations) == rules


def test_violation_names_the_request_and_both_endpoints() -> None:
    observations = with_attempts(*TWO_OPEN_ATTEMPTS)
    assert InvariantChecker(observations, 0.5).violations() == [
        Violation("parallel-attempts", "1 at a and b")
    ]


def test_list_sent_to_a_closed_connection_does_not_count_as_notice() -> None:
    # Fails if the watch of a killed process is answered and its successor counts as notified.
    async def change_after_caller_ended() -> int:
        observations = Observations()
        server = DiscoveryServer(parse('name = "x"\nnodes = 1'), observations, RunClock())
        server.views[0] = {"s": {"state": "SERVING"}}
        server.record_view(0)
        await server.open()
        _, writer = await asyncio.open_connection("127.0.0.1", server.listeners.ports[0])
        writer.write(b"GET /catalog/members?since=1&timeout_ms=5000 HTTP/1.1\r\n\r\n")
        await asyncio.sleep(0.1)
        writer.close()
        await writer.wait_closed()
        await asyncio.gather(*server.publish(lambda node: {"s": {"state": "DRAINING"}}))
        await asyncio.sleep(0.1)
        server.close()
        return len(observations.drain_notices[0, "s"])

    assert asyncio.run(change_after_caller_ended()) == 0
