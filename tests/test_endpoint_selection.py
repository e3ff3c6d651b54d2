"""Endpoint selection when the best-ranked endpoint is not eligible or is avoided."""

from __future__ import annotations

from conftest import MS, S, entry, listed
from routing_parts import Parts

from linnetshift.routing.endpoints import Endpoint
from linnetshift.routing.events import EndpointState, ListForm
from linnetshift.routing.pending_requests import PendingRequest, key_hash


def ranked(parts: Parts, pending: PendingRequest) -> list[Endpoint]:
    return list(parts.ranking.ranked(key_hash(pending.request)))


def test_avoided_endpoints_are_skipped_and_an_unreachable_one_is_used_when_all_are_avoided() -> None:
    parts = Parts(endpoints=3)
    pending = parts.pending(1)
    first, second, third = ranked(parts, pending)
    assert parts.selection.choose(pending, is_mid_flow=False) is first
    first.over_objective_until = 9 * S
    assert parts.selection.choose(pending, is_mid_flow=False) is second
    second.ejected_until = 9 * S
    assert parts.selection.choose(pending, is_mid_flow=False) is third
    third.ejected_until = 9 * S
    third.is_overloaded = True
    assert parts.selection.choose(pending, is_mid_flow=False) is second


def test_tried_endpoint_is_chosen_last_and_one_that_returned_an_error_never() -> None:
    parts = Parts(endpoints=2)
    pending = parts.pending(1)
    first, second = ranked(parts, pending)
    pending.endpoints_tried = [first]
    assert parts.selection.choose(pending, is_mid_flow=False) is second
    pending.endpoints_tried = [first, second]
    assert parts.selection.choose(pending, is_mid_flow=False) is first
    pending.endpoints_with_errors = [first]
    assert parts.selection.choose(pending, is_mid_flow=False) is second
    pending.endpoints_with_errors = [first, second]
    assert parts.selection.choose(pending, is_mid_flow=False) is None


def test_endpoint_with_a_half_open_attempt_is_avoided_until_that_ends() -> None:
    parts = Parts(endpoints=3)
    pending = parts.pending(1)
    first, second, _ = ranked(parts, pending)
    first.half_open_request = 77
    assert parts.selection.choose(pending, is_mid_flow=False) is second
    first.half_open_request = -1
    assert parts.selection.choose(pending, is_mid_flow=False) is first


def test_endpoint_due_for_a_recovery_attempt_precedes_the_ranking() -> None:
    parts = Parts(endpoints=3)
    pending = parts.pending(1)
    last = ranked(parts, pending)[-1]
    last.is_recovery_due = True
    assert parts.selection.choose(pending, is_mid_flow=False) is last


def test_packets_of_open_connections_go_to_a_draining_endpoint_within_its_drain_grace() -> None:
    parts = Parts(endpoints=1)
    pending = parts.pending(1)
    parts.endpoints.apply(listed(entry(0, state=EndpointState.DRAINING), form=ListForm.DELTA))
    endpoint = parts.endpoint(0)
    assert parts.selection.choose(pending, is_mid_flow=True) is endpoint
    assert parts.selection.choose(pending, is_mid_flow=False) is None
    parts.begin_step(1 * S + 496 * MS)  # the drain grace minus one clock step
    assert parts.selection.choose(pending, is_mid_flow=True) is None


def test_warming_endpoint_is_chosen_only_with_a_slow_start_token() -> None:
    parts = Parts(endpoints=0)
    parts.begin_step(100 * S)
    parts.endpoints.apply(listed(entry(0, started_ns=100 * S)))
    pending = parts.pending(1)
    assert parts.selection.choose(pending, is_mid_flow=False) is None
    parts.slow_start.token_bucket.level = 1.0
    parts.slow_start.tokens_per_s = 9.0
    parts.slow_start.token_bucket.refilled_at_ns = 100 * S
    assert parts.selection.choose(pending, is_mid_flow=False) is parts.endpoint(0)


def test_group_prefers_endpoints_that_serve_it_unless_the_balancer_has_few_requests() -> None:
    parts = Parts(endpoints=3)
    first, second, _ = ranked(parts, parts.pending(1, group=5))
    parts.connection(2, second, group=5)
    pending = parts.pending(3, group=5)
    assert parts.selection.choose(pending, is_mid_flow=False) is first  # three requests, three endpoints
    parts.pending(4)
    assert parts.selection.choose(pending, is_mid_flow=False) is second


def test_returning_client_skips_its_best_ranks() -> None:
    parts = Parts(endpoints=4)
    pending = parts.pending(1)
    pending.skipped_ranks = 2
    assert parts.selection.choose(pending, is_mid_flow=False) is ranked(parts, pending)[2]


def test_avoided_endpoint_is_an_alternative_only_for_one_that_stops_soon() -> None:
    parts = Parts(endpoints=2)
    pending = parts.pending(1)
    stopping, other = parts.endpoint(0), parts.endpoint(1)
    assert parts.selection.find_alternative(pending, stopping) is other
    other.ejected_until = 9 * S
    assert parts.selection.find_alternative(pending, stopping) is None
    assert parts.selection.find_alternative(pending, stopping, is_stopping_soon=True) is other
    other.started_at = parts.context.now
    assert parts.selection.find_alternative(pending, stopping, is_stopping_soon=True) is other
    other.state = EndpointState.DRAINING
    assert parts.selection.find_alternative(pending, stopping, is_stopping_soon=True) is None


def test_wait_lasts_until_the_first_ejection_ends_and_is_zero_if_an_endpoint_can_be_tried() -> None:
    parts = Parts(endpoints=2)
    assert parts.selection.wait_ns() == 0
    for number, until in ((0, 5 * S), (1, 4 * S)):
        parts.endpoint(number).ejected_until = until
    assert parts.selection.wait_ns() == 0  # unreachable endpoints may be tried at any time
    for endpoint in parts.endpoints.values():
        endpoint.is_overloaded = True
    assert parts.selection.wait_ns() == 3 * S


def test_slow_start_shares_are_up_to_date_when_the_first_request_arrives() -> None:
    parts = Parts(endpoints=0)
    parts.begin_step(100 * S)
    parts.endpoints.apply(listed(entry(0, started_ns=100 * S)))
    parts.slow_start.token_bucket.level = 1.0
    parts.slow_start.token_bucket.refilled_at_ns = 100 * S
    parts.slow_start.first_arrivals_per_s.add(100 * S, 100.0)
    assert parts.selection.choose(parts.pending(1), is_mid_flow=False) is parts.endpoint(0)


def test_endpoint_is_no_longer_avoided_when_its_ejection_ends() -> None:
    parts = Parts()
    endpoint, request_class = parts.endpoint(0), parts.context.settings.classes[0]
    endpoint.ejected_until = parts.context.now + 1
    assert parts.selection.is_avoided(endpoint, request_class)
    endpoint.ejected_until = parts.context.now
    assert not parts.selection.is_avoided(endpoint, request_class)
