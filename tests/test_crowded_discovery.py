"""Real processes that share a discovery too slow for all their calls, while an endpoint ends and returns."""

from __future__ import annotations

from pathlib import Path

from rig.fleet.run import run_scenario
from rig.fleet.scenario import parse

NODES = 8

# Discovery serves two calls a second, each process by itself would make over one a second.
CROWDED_DISCOVERY = f"""
        name = "crowded discovery"
        nodes = {NODES}
        [discovery]
        service_s = 0.5
        [traffic]
        arrivals_per_s = 60.0
        duration_s = 11.0
        mean_lifetime_s = 0.5
        groups = 500
"""
ENDPOINT_RETURNS = """
        [[faults]]
        at_s = 1.0
        kind = "crash"
        endpoints = [0]
        duration_s = 2.5
"""


def test_endpoint_that_ended_gets_no_request_while_its_return_is_unconfirmed(tmp_path: Path) -> None:
    report = run_scenario(parse(CROWDED_DISCOVERY + ENDPOINT_RETURNS), tmp_path)
    assert report.crashes == []
    assert report.violations == []


def test_every_process_gets_the_list_of_a_crowded_discovery(tmp_path: Path) -> None:
    report = run_scenario(parse(CROWDED_DISCOVERY + ENDPOINT_RETURNS), tmp_path)
    assert {node for _, node in report.observations.discovery_answers} == set(range(NODES))
