"""Invariants of several real processes under faults; the parts of the rig are tested in other files."""

from __future__ import annotations

from pathlib import Path

import pytest

from rig.fleet.run import Report, run_scenario
from rig.fleet.scenario import parse

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
    assert report.violations == [], report.explain()
    assert report.crashes == []
    requests = report.observations.requests.values()
    assert len(requests) > 30
    assert any(answer.keyword == "UP" for request in requests for answer in request.answers)


@pytest.mark.parametrize(
    ("name", "nodes"),
    [(name, 3 if position % 2 else 8) for position, name in enumerate(SCENARIOS)]
    + [(list(SCENARIOS)[1], 24)],
)
def test_invariants_hold_under_faults(tmp_path: Path, name: str, nodes: int) -> None:
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
def test_many_processes_stay_within_the_slow_start_budget(
    tmp_path: Path, nodes: int, first_node_share: float, faults: str
) -> None:
    # tests/test_slow_start.py tests how much of the budget is used: here the list has no load reports, and a
    # process that has just started knows of no connections.
    traffic = f"{BURST}first_node_share = {first_node_share}\n"
    scenario = parse(f'name = "slow start"\nnodes = {nodes}\n{traffic}{NEW_ENDPOINTS}{faults}')
    report = run_scenario(scenario, tmp_path)
    assert_invariants_hold(report)
    use = report.observations.slow_start_use()
    assert 0 < use.sent <= use.allowed
