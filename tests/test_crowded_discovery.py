"""Proxy processes that share an overloaded discovery, while an endpoint crashes and restarts."""

from __future__ import annotations

import pytest

from rig.fleet.run import Report, run_scenario
from rig.fleet.scenario import parse

NODES = 24

# Discovery serves five calls a second; each of the processes would make over one a second.
OVERLOADED_DISCOVERY = f"""
        name = "crowded discovery"
        nodes = {NODES}
        [discovery]
        service_s = 0.2
        [traffic]
        arrivals_per_s = 120.0
        duration_s = 13.0
        mean_lifetime_s = 0.5
        groups = 500
        [[faults]]
        at_s = 1.0
        kind = "crash"
        endpoints = [0]
        duration_s = 2.5
"""


@pytest.fixture(scope="module")
def report(tmp_path_factory: pytest.TempPathFactory) -> Report:
    return run_scenario(parse(OVERLOADED_DISCOVERY), tmp_path_factory.mktemp("crowded"))


def test_endpoint_that_ended_gets_no_request_while_its_return_is_unconfirmed(report: Report) -> None:
    assert report.crashes == []
    assert report.violations == [], report.explain()


def test_every_process_gets_the_list_of_a_crowded_discovery(report: Report) -> None:
    assert {node for _, node in report.observations.discovery_answers} == set(range(NODES))
