"""The table of requests and its counts of attempts and connections."""

from __future__ import annotations

from conftest import request
from routing_parts import Parts

from linnetshift.routing.endpoints import NO_REQUEST
from linnetshift.routing.events import MID_FLOW
from linnetshift.routing.pending_requests import key_hash


def test_attempt_is_counted_until_it_is_established_and_the_connection_until_its_end() -> None:
    parts = Parts()
    endpoint = parts.endpoint(0)
    endpoint.is_recovery_due = True
    pending = parts.pending(1)
    parts.requests.begin_attempt(pending, endpoint)
    assert (parts.requests.setups_in_flight, endpoint.in_flight) == (1, 1)
    assert endpoint.sends_since_load_change == 1
    assert pending.last_attempt == 0
    assert pending.endpoints_tried == [endpoint]
    assert not endpoint.is_recovery_due
    parts.requests.establish(pending, endpoint)
    assert (parts.requests.setups_in_flight, endpoint.in_flight, len(endpoint.established)) == (0, 1, 1)
    for _ in range(2):
        parts.requests.end_attempt(pending)
    assert (parts.requests.setups_in_flight, endpoint.in_flight, len(endpoint.established)) == (0, 0, 0)
    assert pending.endpoint is None
    assert 1 in parts.requests


def test_removed_request_ends_its_own_half_open_attempt_only() -> None:
    parts = Parts()
    endpoint = parts.endpoint(0)
    half_open, other = parts.pending(1), parts.pending(2)
    for pending in (half_open, other):
        parts.requests.begin_attempt(pending, endpoint)
    endpoint.half_open_request = 1
    parts.requests.remove(other)
    assert endpoint.half_open_request == 1
    parts.requests.remove(half_open)
    assert endpoint.half_open_request == NO_REQUEST
    assert len(parts.requests) == 0
    assert parts.requests.setups_in_flight == 0


def test_adopted_connection_counts_as_established_without_a_set_up() -> None:
    parts = Parts()
    endpoint, pending = parts.endpoint(0), parts.pending(1)
    parts.requests.adopt(pending, endpoint)
    assert (parts.requests.setups_in_flight, endpoint.in_flight, list(endpoint.established)) == (0, 1, [1])


def test_waiting_queue_is_emptied_in_its_order() -> None:
    parts = Parts()
    parts.requests.waiting.extend([3, 1, 2])
    assert list(parts.requests.take_waiting()) == [3, 1, 2]
    assert not parts.requests.waiting


def test_hash_is_of_the_group_else_the_key_else_the_request_id() -> None:
    assert key_hash(request(1, group=9, key=5)) == key_hash(request(2, group=9, key=6))
    assert key_hash(request(1, key=5)) == key_hash(request(2, key=5)) != key_hash(request(2, key=6))
    assert key_hash(request(1, key=0)) != key_hash(request(2, key=0))


def test_requests_are_few_up_to_one_per_endpoint() -> None:
    parts = Parts(endpoints=2)
    for number, are_too_few_to_judge in ((1, True), (2, True), (3, False)):
        parts.pending(number)
        assert parts.requests.are_too_few_to_judge() is are_too_few_to_judge


def test_only_the_first_attempt_of_an_open_connection_is_mid_flow() -> None:
    parts = Parts()
    pending = parts.pending(1, flags=MID_FLOW)
    assert pending.is_first_mid_flow_attempt
    assert not parts.pending(2).is_first_mid_flow_attempt
    parts.requests.begin_attempt(pending, parts.endpoint(0))
    assert not pending.is_first_mid_flow_attempt
