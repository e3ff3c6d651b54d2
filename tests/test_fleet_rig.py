"""Several real processes under faults between them; and the rig itself: links, invariants, scenarios."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest

from rig.fleet.faulty_links import LinkProxy
from rig.fleet.invariants import InvariantChecker
from rig.fleet.observations import Answer, Attempt, ClientRequest, EndpointStart, Interval, Observations
from rig.fleet.run import Report, run_scenario
from rig.fleet.scenario import ScenarioError, parse

BURST = """
        [endpoints]
        cores = 2.0
        warm_up_from = 0.13
        [traffic]
        arrivals_per_s = 80.0
"""
NEW_ENDPOINTS = """
        [[faults]]
        at_s = 0.3
        kind = "replace"
        endpoints = [0, 1, 2, 3, 4]
        duration_s = 0.8
"""
SCENARIOS = {
    "a proxy killed and started again, another paused": """
        [[faults]]
        at_s = 1.0
        kind = "kill"
        nodes = [0]
        duration_s = 0.5
        [[faults]]
        at_s = 1.2
        kind = "pause"
        nodes = [1]
        duration_s = 1.0
    """,
    "half of the endpoints replaced while a proxy restarts": """
        [[faults]]
        at_s = 0.8
        kind = "replace"
        endpoints = [0, 1, 2]
        duration_s = 1.5
        [[faults]]
        at_s = 1.0
        kind = "restart"
        nodes = [2]
        duration_s = 0.2
    """,
    "one endpoint cut from one proxy in one direction, and a slow link": """
        [[faults]]
        at_s = 0.5
        kind = "cut-backward"
        nodes = [0]
        endpoints = [1]
        duration_s = 1.5
        [[faults]]
        at_s = 0.5
        kind = "delay"
        nodes = [1]
        endpoints = [2, 3]
        delay_s = 0.05
        duration_s = 2.0
    """,
    "endpoints that accept late, and one unresponsive to one proxy": """
        [[faults]]
        at_s = 0.4
        kind = "slow"
        endpoints = [0, 1]
        delay_s = 0.8
        duration_s = 1.5
        [[faults]]
        at_s = 0.4
        kind = "unresponsive"
        nodes = [1]
        endpoints = [2]
        duration_s = 1.0
    """,
    "a burst while five of six endpoints warm up": BURST + NEW_ENDPOINTS,
    "half of a burst through one proxy while five of six endpoints warm up": BURST
    + "first_node_share = 0.5"
    + NEW_ENDPOINTS,
    "discovery cut from one proxy while an endpoint drains": """
        [[faults]]
        at_s = 0.5
        kind = "cut-backward"
        nodes = [0]
        discovery = true
        duration_s = 1.5
        [[faults]]
        at_s = 0.6
        kind = "drain"
        endpoints = [0]
        duration_s = 2.0
    """,
}


def assert_invariants_hold(report: Report) -> None:
    assert report.violations == []
    assert report.crashes == []
    requests = report.observations.requests.values()
    assert len(requests) > 30
    assert any(answer.word == "UP" for request in requests for answer in request.answers)


@pytest.mark.parametrize(
    ("name", "nodes"),
    [(name, 3 if place % 2 else 8) for place, name in enumerate(SCENARIOS)] + [(list(SCENARIOS)[1], 24)],
)
def test_invariants_hold_for_processes_under_faults(tmp_path: Path, name: str, nodes: int) -> None:
    scenario = parse(f'name = "{name}"\nnodes = {nodes}\n{SCENARIOS[name]}')
    assert_invariants_hold(run_scenario(scenario, tmp_path))


RESTART_EIGHT = """
        [[faults]]
        at_s = 0.6
        kind = "kill"
        nodes = [0, 1, 2, 3, 4, 5, 6, 7]
        duration_s = 0.3
"""


@pytest.mark.parametrize(
    ("nodes", "first_node_share", "faults"),
    [(24, 0.0, ""), (32, 0.0, ""), (32, 0.5, ""), (32, 0.0, RESTART_EIGHT)],
)
def test_many_processes_keep_to_the_slow_start_budget(
    tmp_path: Path, nodes: int, first_node_share: float, faults: str
) -> None:
    # How much of the budget they use is tested in tests/test_slow_start.py: here no load is reported in the
    # list, and a process that has just started knows of no connection yet.
    traffic = f"{BURST}first_node_share = {first_node_share}\n"
    scenario = parse(f'name = "slow start"\nnodes = {nodes}\n{traffic}{NEW_ENDPOINTS}{faults}')
    report = run_scenario(scenario, tmp_path)
    assert_invariants_hold(report)
    use = report.observations.slow_start_use()
    assert 0 < use.sent <= use.allowed


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


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('name = "x"\nnodes = 0', "`$.nodes`"),
        ('name = "x"\n[traffic]\narrivals_per_s = "fast"', "`$.traffic.arrivals_per_s`"),
        ('name = "x"\n[[faults]]\nat_s = 1.0\nkind = "flood"', "`$.faults[0].kind`"),
        ('name = "x"\n[[faults]]\nat_s = 1.0\nkind = "kill"\nnodes = [9]', "`$.faults[0]`"),
        ('name = "x"\n[[faults]]\nat_s = 1.0\nkind = "kill"', "needs nodes"),
        ('name = "x"\ncolour = "red"', "colour"),
        ("name = ", "nvalid"),
    ],
)
def test_wrong_scenario_is_rejected_with_the_path(text: str, message: str) -> None:
    with pytest.raises(ScenarioError) as caught:
        parse(text)
    assert message in str(caught.value)


def test_streams_of_a_scenario_are_independent_and_reproducible() -> None:
    one, other = parse('name = "x"\nseed = 4'), parse('name = "x"\nseed = 5')
    assert one.stream("a").random() == one.stream("a").random() != one.stream("b").random()
    assert one.stream("a").random() != other.stream("a").random()


async def echo_through_link(fault: str) -> list[str]:
    """What an echo server returns before and during a fault, and how many lines reached it."""

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            received.append(line)
            writer.write(line)
        writer.close()

    received: list[bytes] = []
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    link = LinkProxy(("127.0.0.1", server.sockets[0].getsockname()[1]))
    await link.open()
    reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
    writer.write(b"one\n")
    results = [(await reader.readline()).decode().strip()]
    link.is_cut_forward = fault in ("cut", "cut-forward")
    link.is_cut_backward = fault in ("cut", "cut-backward")
    if fault == "reset":
        link.reset()
    try:
        writer.write(b"two\n")
        results.append((await asyncio.wait_for(reader.readline(), 0.3)).decode().strip())
    except TimeoutError:
        results.append("silence")
    except ConnectionResetError:
        results.append("reset")
    results.append(str(len(received)))
    writer.close()
    await link.close()
    server.close()
    return results


@pytest.mark.parametrize(
    ("fault", "results"),
    [
        ("none", ["one", "two", "2"]),
        ("cut", ["one", "silence", "1"]),
        ("cut-forward", ["one", "silence", "1"]),
        ("cut-backward", ["one", "silence", "2"]),
        ("reset", ["one", "reset", "1"]),
    ],
)
def test_link_has_the_fault_that_is_set(fault: str, results: list[str]) -> None:
    assert asyncio.run(echo_through_link(fault)) == results


def test_streams_leave_the_global_generator_alone() -> None:
    # The rig's own draws must not depend on the module-wide generator, which any import may move on.
    state = random.getstate()
    parse('name = "x"').stream("keys").random()
    assert random.getstate() == state
