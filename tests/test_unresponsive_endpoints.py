"""Detection of unresponsive endpoints by reports of two balancers."""

from __future__ import annotations

from conftest import S
from routing_parts import Parts

from linnetshift.routing.actions import ALL_PEERS, SendPeerMessage
from linnetshift.routing.unresponsive_endpoints import UnresponsiveEndpoints


def make_parts() -> tuple[Parts, UnresponsiveEndpoints]:
    parts = Parts(balancers=5, myNumber=0, allowed={"peerMessages": True})
    parts.begin_step(100 * S)
    return parts, UnresponsiveEndpoints(parts.context, parts.outlier_detection, parts.migration)


def test_own_failure_is_reported_once_and_a_second_one_ejects_the_endpoint() -> None:
    parts, unresponsive = make_parts()
    endpoint = parts.endpoint(0)
    parts.connection(1, endpoint)
    unresponsive.handle_connect_failure(endpoint)
    assert parts.context.actions == [SendPeerMessage(ALL_PEERS, b"s" + endpoint.id)]
    assert not endpoint.ejected_until
    assert len(parts.migration) == 0
    parts.begin_step(101 * S)
    unresponsive.handle_connect_failure(endpoint)
    assert not any(isinstance(action, SendPeerMessage) for action in parts.context.actions)
    assert endpoint.ejected_until
    assert len(parts.migration) == 1


def test_endpoint_is_ejected_by_reports_of_two_peers_but_not_by_two_reports_of_one() -> None:
    parts, unresponsive = make_parts()
    endpoint = parts.endpoint(0)
    for reporter, is_ejected in ((1, False), (1, False), (2, True)):
        unresponsive.handle_report(endpoint, reporter)
        assert (endpoint.ejected_until > 0) is is_ejected


def test_reports_expire_and_those_before_an_established_connection_do_not_count() -> None:
    parts, unresponsive = make_parts()
    old, established = parts.endpoint(0), parts.endpoint(1)
    for endpoint in (old, established):
        unresponsive.handle_report(endpoint, 1)
    parts.begin_step(102 * S)
    established.last_established_at = 101 * S
    unresponsive.handle_report(established, 2)
    parts.begin_step(105 * S)
    unresponsive.handle_report(old, 2)
    assert not old.ejected_until
    assert not established.ejected_until


def test_failure_that_two_peers_have_reported_is_not_reported_again() -> None:
    parts, unresponsive = make_parts()
    endpoint = parts.endpoint(0)
    unresponsive.handle_report(endpoint, 1)
    unresponsive.handle_report(endpoint, 2)
    unresponsive.handle_connect_failure(endpoint)
    assert parts.context.actions == []
