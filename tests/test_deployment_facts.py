"""Facts observed about a deployment, and their log lines."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from conftest import S, endpoint, entry
from proxy_harness import started_proxy

from linnetshift.broker.deployment_facts import DeploymentFacts, DrainBehaviour, FactKind
from linnetshift.routing.events import EndpointState

DRAINING = entry(1, state=EndpointState.DRAINING)


@pytest.mark.parametrize(
    ("entries", "is_full_list", "connected", "after_ns", "facts"),
    [
        ([DRAINING], False, [endpoint(1)], 2 * S, [("drain", "serves-on")]),
        ([DRAINING], False, [endpoint(1)], S // 2, []),  # it may still be migrating clients
        ([DRAINING], False, [endpoint(2)], 2 * S, []),
        ([DRAINING._replace(drain_within_ns=S)], False, [endpoint(1)], 2 * S, []),  # administrative drain
    ],
)
def test_connections_that_remain_during_a_drain_show_that_endpoints_keep_serving(
    entries: list[Any],
    is_full_list: bool,
    connected: list[bytes],
    after_ns: int,
    facts: list[tuple[str, str]],
) -> None:
    deployment_facts = DeploymentFacts()
    deployment_facts.handle_endpoint_list(entries, is_full_list, 5 * S)
    # A delta without an entry for the endpoint has no effect.
    deployment_facts.handle_endpoint_list([entry(3)], False, 5 * S + 1)
    deployment_facts.review(connected, 5 * S + after_ns)
    assert deployment_facts.take_unreported() == facts


@pytest.mark.parametrize(("later", "is_full_list"), [([entry(3)], True), ([entry(1)], False), ([], True)])
def test_end_of_a_drain_removes_its_record(later: list[Any], is_full_list: bool) -> None:
    deployment_facts = DeploymentFacts()
    deployment_facts.handle_endpoint_list([DRAINING], False, 1 * S)
    deployment_facts.handle_endpoint_list(later, is_full_list, 2 * S)
    deployment_facts.review([endpoint(1)], 9 * S)
    assert not deployment_facts.take_unreported()
    assert not deployment_facts.draining_since_ns


def test_fact_is_reported_once_and_again_after_a_change() -> None:
    deployment_facts = DeploymentFacts()
    deployment_facts.record_migration_request()
    deployment_facts.record_migration_request()
    assert deployment_facts.take_unreported() == [("drain", "sends-away")]
    assert not deployment_facts.take_unreported()
    deployment_facts.observe(FactKind.DRAIN, DrainBehaviour.KEEPS_SERVING)
    assert deployment_facts.take_unreported() == [("drain", "serves-on")]


def test_log_shows_the_applied_settings_and_the_observed_facts(tmp_path: Path) -> None:
    settings: dict[str, Any] = {
        "allowed": {"probing": True},
        "fees": {"crossZone": 0.056},
        "weightSource": "live",
    }
    report = {"columns": ["outstanding", "x0"], "how": "pull"}
    with started_proxy(tmp_path, 1, discovery="push", report=report, **settings) as running:
        running.logged(
            "event=settings-applied .*cross_zone_weight=0.368 weights=no-sizes lists=pushed "
            "health_checks=outstanding,x0"
        )
        client = running.open()
        check_health = running.endpoints[0].accept()
        check_health.line()
        check_health.send(b"PONG\r\n")
        endpoint = running.endpoints[0].serve()
        assert client.line() == b"UP r1\r\n"
        running.logged("event=deployment-fact-observed what=reports value=none")
        endpoint.send(b"MOVE\r\n")
        endpoint.close()
        running.logged("event=deployment-fact-observed what=drain value=sends-away")
