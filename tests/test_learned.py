"""What the program learns of a deployment, and the lines that tell of it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from conftest import S, endpoint, entry
from proxy import proxy

from linnetshift.broker.deployment_facts import DeploymentFacts
from linnetshift.routing.events import EndpointState

GOES = entry(1, state=EndpointState.DRAINING)


@pytest.mark.parametrize(
    "entries, whole, standing, after, news",
    [
        ([GOES], False, [endpoint(1)], 2 * S, [("drain", "serves-on")]),
        ([GOES], False, [endpoint(1)], S // 2, []),  # it may be sending them away at this moment
        ([GOES], False, [endpoint(2)], 2 * S, []),
        ([GOES._replace(drain_within_ns=S)], False, [endpoint(1)], 2 * S, []),  # operators took it out
    ],
)
def test_a_drain_is_judged_by_what_still_stands(
    entries: list[Any], whole: bool, standing: list[bytes], after: int, news: list[tuple[str, str]]
) -> None:
    deployment_facts = DeploymentFacts()
    deployment_facts.listed(entries, whole, 5 * S)
    deployment_facts.listed([entry(3)], False, 5 * S + 1)  # a change that does not name it takes nothing back
    deployment_facts.review(standing, 5 * S + after)
    assert deployment_facts.fresh() == news


@pytest.mark.parametrize("later, whole", [([entry(3)], True), ([entry(1)], False), ([], True)])
def test_a_drain_that_is_over_is_forgotten(later: list[Any], whole: bool) -> None:
    deployment_facts = DeploymentFacts()
    deployment_facts.listed([GOES], False, 1 * S)
    deployment_facts.listed(later, whole, 2 * S)
    deployment_facts.review([endpoint(1)], 9 * S)
    assert not deployment_facts.fresh() and not deployment_facts.drains


def test_a_fact_is_told_once_and_again_when_it_changes() -> None:
    deployment_facts = DeploymentFacts()
    deployment_facts.sent_away()
    deployment_facts.sent_away()
    assert deployment_facts.fresh() == [("drain", "sends-away")] and not deployment_facts.fresh()
    deployment_facts.found("drain", "serves-on")
    assert deployment_facts.fresh() == [("drain", "serves-on")]


def test_the_log_says_what_was_made_of_the_settings_and_what_was_learned(tmp_path: Path) -> None:
    settings = {"allowed": {"probing": True}, "fees": {"crossZone": 0.056}, "weightSource": "live"}
    report = {"columns": ["outstanding", "x0"], "how": "pull"}
    with proxy(tmp_path, 1, discovery="push", report=report, **settings) as running:
        running.logged(
            "event=settings-applied .*cross_zone_weight=0.368 weights=no-sizes lists=pushed "
            "health_checks=outstanding,x0"
        )
        client = running.open()
        check_health = running.listeners[0].accept()
        check_health.line()
        check_health.send(b"PONG\r\n")
        endpoint = running.listeners[0].serve()
        assert client.line() == b"UP r1\r\n"
        running.logged("event=deployment-fact-observed what=reports value=none")
        endpoint.send(b"MOVE\r\n")
        endpoint.close()
        running.logged("event=deployment-fact-observed what=drain value=sends-away")
