"""Unresponsive endpoints, found by the reports of two balancers."""

from __future__ import annotations

from conftest import S
from routing_parts import Parts

from linnetshift.routing.actions import ALL_PEERS, SendPeerMessage
from linnetshift.routing.unresponsive_endpoints import UnresponsiveEndpoints


def made() -> tuple[Parts, UnresponsiveEndpoints]:
    parts = Parts(balancers=5, myNumber=0, allowed={"peerMessages": True})
    parts.at(100 * S)
    return parts, UnresponsiveEndpoints(parts.context, parts.outliers, parts.migration)


def test_own_failure_is_reported_once_and_the_second_makes_sure() -> None:
    parts, unresponsive = made()
    where = parts.endpoint(0)
    parts.connection(1, where)
    unresponsive.handle_connect_failure(where)
    assert parts.context.actions == [SendPeerMessage(ALL_PEERS, b"s" + where.id)]
    assert not where.ejected_until
    assert len(parts.migration) == 0
    parts.at(101 * S)
    unresponsive.handle_connect_failure(where)
    assert not any(isinstance(action, SendPeerMessage) for action in parts.context.actions)
    assert where.ejected_until
    assert len(parts.migration) == 1


def test_two_reports_of_one_peer_are_not_enough_and_those_of_two_are() -> None:
    parts, unresponsive = made()
    where = parts.endpoint(0)
    for reporter, is_ejected in ((1, False), (1, False), (2, True)):
        unresponsive.handle_report(where, reporter)
        assert (where.ejected_until > 0) is is_ejected


def test_old_reports_and_those_before_an_established_connection_do_not_count() -> None:
    parts, unresponsive = made()
    old, established = parts.endpoint(0), parts.endpoint(1)
    for where in (old, established):
        unresponsive.handle_report(where, 1)
    parts.at(102 * S)
    established.last_established_at = 101 * S
    unresponsive.handle_report(established, 2)
    parts.at(105 * S)
    unresponsive.handle_report(old, 2)
    assert not old.ejected_until
    assert not established.ejected_until


def test_failure_that_two_peers_know_of_already_is_not_reported() -> None:
    parts, unresponsive = made()
    where = parts.endpoint(0)
    unresponsive.handle_report(where, 1)
    unresponsive.handle_report(where, 2)
    unresponsive.handle_connect_failure(where)
    assert parts.context.actions == []
