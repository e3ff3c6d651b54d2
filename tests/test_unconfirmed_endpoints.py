"""Suspension of endpoints that were observed to end or to drain, until discovery answers."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
from conftest import S, endpoint, entry, listed
from fake_ports import FakePorts
from proxy_harness import started_proxy
from running_proxy import ranked

from linnetshift.broker.administrative_drains import AdministrativeDrains
from linnetshift.broker.unconfirmed_endpoints import UnconfirmedEndpoints
from linnetshift.discovery.list_lease import ListLease
from linnetshift.routing.actions import Cancel
from linnetshift.routing.events import EndpointList, EndpointSuspension, ListForm, Outcome

NO_CHANGES = EndpointList(ListForm.DELTA, 2, ())
SUSPENSION = EndpointSuspension(endpoint(1), is_suspended=True)
RESUMPTION = EndpointSuspension(endpoint(1), is_suspended=False)


def listed_drains(count: int) -> AdministrativeDrains:
    """Administrative drains with a list of `count` ready endpoints."""
    drains = AdministrativeDrains(lambda: 0)
    drains.overlay(listed(*(entry(number) for number in range(count))))
    return drains


@pytest.fixture
def lease() -> ListLease:
    return ListLease(0)


@pytest.fixture
def unconfirmed(lease: ListLease) -> UnconfirmedEndpoints:
    """Four endpoints, of which endpoint 1 was observed to end at 1 s."""
    endpoints = UnconfirmedEndpoints(lease, listed_drains(4))
    endpoints.record_unavailable(endpoint(1), 1 * S)
    return endpoints


def test_endpoint_that_ended_is_suspended_once_the_lease_has_expired(
    unconfirmed: UnconfirmedEndpoints,
) -> None:
    assert unconfirmed.review(5 * S) == []
    assert unconfirmed.review(6 * S) == [SUSPENSION]
    assert unconfirmed.is_suspended(endpoint(1))
    assert unconfirmed.review(7 * S) == []


@pytest.mark.parametrize("update", [listed(entry(1)), listed(entry(2))])
def test_list_that_confirms_the_endpoint_ends_its_suspension(
    unconfirmed: UnconfirmedEndpoints, lease: ListLease, update: EndpointList
) -> None:
    unconfirmed.review(6 * S)
    lease.renew(7 * S)
    unconfirmed.handle_endpoint_list(update)
    assert unconfirmed.review(7 * S) == [RESUMPTION]
    assert unconfirmed.review(20 * S) == []


def test_answer_without_the_endpoint_ends_its_suspension_after_the_detection_delay(
    unconfirmed: UnconfirmedEndpoints, lease: ListLease
) -> None:
    # An earlier answer may precede the detection of the end by discovery.
    lease.renew(2 * S)
    unconfirmed.handle_endpoint_list(NO_CHANGES)
    assert unconfirmed.review(8 * S) == [SUSPENSION]
    lease.renew(9 * S)
    unconfirmed.handle_endpoint_list(NO_CHANGES)
    assert unconfirmed.review(9 * S) == [RESUMPTION]
    assert unconfirmed.review(20 * S) == []


def test_at_most_half_of_the_ready_endpoints_are_suspended_the_latest_ended_first(
    lease: ListLease,
) -> None:
    # Fault: endpoints restarted one after the other during an outage of discovery, and all were suspended.
    endpoints = UnconfirmedEndpoints(lease, listed_drains(5))
    for number in (3, 0, 4, 1):
        endpoints.record_unavailable(endpoint(number), (10 + number) * S)
    changed = endpoints.review(20 * S)
    assert [suspension.endpoint for suspension in changed] == [endpoint(3), endpoint(4)]
    endpoints.record_unavailable(endpoint(2), 20 * S)
    assert endpoints.review(21 * S) == [
        EndpointSuspension(endpoint(2), is_suspended=True),
        EndpointSuspension(endpoint(3), is_suspended=False),
    ]


def test_only_endpoint_is_never_suspended(lease: ListLease) -> None:
    endpoints = UnconfirmedEndpoints(lease, listed_drains(1))
    endpoints.record_unavailable(endpoint(0), 10 * S)
    assert endpoints.review(20 * S) == []


def test_request_is_not_sent_to_a_suspended_endpoint_listed_as_ready() -> None:
    ports = FakePorts()
    broker = ports.broker
    first = ports.submit().attempt
    assert first is not None
    broker.record_unavailable(first.endpoint)
    ports.now += 7 * S
    broker.review_unconfirmed_endpoints()
    broker.process_events()
    second = ports.submit(wait_ns=60 * S).attempt
    assert second is not None
    assert second.endpoint != first.endpoint
    assert broker.may_send(second)


def test_request_line_is_not_sent_if_the_endpoint_is_suspended_during_the_attempt() -> None:
    ports = FakePorts()
    attempt = ports.submit(wait_ns=60 * S).attempt
    assert attempt is not None
    ports.broker.record_unavailable(attempt.endpoint)
    ports.now += 7 * S
    attempt.deadline = ports.now + S
    assert ports.broker.may_send(attempt)
    ports.broker.review_unconfirmed_endpoints()
    assert not ports.broker.may_send(attempt)


def test_endpoint_that_migrated_a_client_is_suspended() -> None:
    ports = FakePorts()
    attempt = ports.submit(wait_ns=60 * S).attempt
    assert attempt is not None
    ports.broker.handle_attempt_ended(attempt, Outcome.CANCELLED)
    ports.now += 7 * S
    ports.broker.review_unconfirmed_endpoints()
    assert ports.broker.endpoint_views.unconfirmed.is_suspended(attempt.endpoint)


def test_endpoint_that_ended_and_returned_gets_no_request_while_discovery_does_not_answer(
    tmp_path: Path,
) -> None:
    # Fault: it got requests after discovery had listed it as removed, which the proxy was expected to know.
    # Calls fail after a wait here, which indicates a crowded discovery; one that is down refuses at once.
    with started_proxy(tmp_path, endpoints=2, discovery="ask") as running:
        best, other = ranked(running)
        running.discovery.fail(True, after_s=0.5)
        best.stop_listening()
        connections = [running.open(), other.serve()]
        assert connections[0].line() == b"UP r1\r\n"
        best.listen_again()
        running.logged(f"event=endpoint-suspended endpoint={best.uid}")
        for _ in range(3):
            client = running.open()
            connections += [client, other.serve()]
            assert client.line() == b"UP r1\r\n"
        running.discovery.fail(False)
        running.discovery.change()
        running.logged(f"event=endpoint-resumed endpoint={best.uid}")


def test_endpoint_of_a_cancelled_attempt_is_not_suspended() -> None:
    ports = FakePorts()
    broker = ports.broker
    request = ports.submit()
    attempt = request.attempt
    assert attempt is not None
    broker.perform(Cancel(request.id, attempt.number))
    ports.now += 7 * S
    broker.review_unconfirmed_endpoints()
    assert not broker.endpoint_views.unconfirmed.is_suspended(attempt.endpoint)


def test_endpoint_that_ended_and_returned_serves_while_discovery_refuses_all_calls(tmp_path: Path) -> None:
    # Fault: it got no requests until the end of an outage of discovery.
    with started_proxy(tmp_path, endpoints=2, discovery="ask") as running:
        best, other = ranked(running)
        running.discovery.fail(True)
        best.stop_listening()
        connections = [running.open(), other.serve()]
        assert connections[0].line() == b"UP r1\r\n"
        best.listen_again()
        until_s = time.monotonic() + 7.0  # beyond the lease on the list
        while time.monotonic() < until_s:
            running.logged("event=discovery-call-failed .*503")
        client = running.open()
        assert running.next_attempted() is best
        connections += [client, best.serve()]
        assert client.line() == b"UP r1\r\n"
        lines = running.passed_lines + running.unread_lines()
        assert not [line for line in lines if "event=endpoint-suspended" in line]
