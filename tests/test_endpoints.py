"""The endpoint table: list updates, draining, restart."""

from __future__ import annotations

from conftest import S, endpoint, entry, listed
from routing_parts import Parts

from linnetshift.routing.events import EndpointState, ListForm


def test_full_list_removes_unlisted_endpoints_and_returns_those_with_connections() -> None:
    parts = Parts(endpoints=3)
    holder = parts.endpoint(1)
    connection = parts.connection(1, holder)
    parts.connection(2, parts.endpoint(0))
    parts.begin_step(5 * S)
    assert parts.endpoints.apply(listed(entry(0))) == [holder]
    assert list(parts.endpoints) == [endpoint(0), endpoint(1)]
    assert (holder.state, holder.draining_since) == (EndpointState.REMOVED, 5 * S)
    parts.requests.remove(connection)
    parts.endpoints.apply(listed(form=ListForm.DELTA))
    assert list(parts.endpoints) == [endpoint(0)]
    assert endpoint(0) in parts.endpoints
    assert endpoint(1) not in parts.endpoints


def test_grace_counts_from_the_first_update_with_a_state_other_than_ready() -> None:
    parts = Parts(endpoints=2)
    for second, state in ((3, EndpointState.DRAINING), (4, EndpointState.REMOVED)):
        parts.begin_step(second * S)
        parts.connection(second, parts.endpoint(0))
        update = listed(entry(0, state=state, drain_within_ns=7), form=ListForm.DELTA)
        assert parts.endpoints.apply(update) == [parts.endpoint(0)]
    assert parts.endpoint(0).draining_since == 3 * S
    assert parts.endpoint(0).drain_within_ns == 7


def test_restart_clears_failures_and_slow_messages_of_the_old_process() -> None:
    parts = Parts(endpoints=2)
    for listed_endpoint in parts.endpoints.values():
        listed_endpoint.ejected_until = listed_endpoint.over_objective_until = 9 * S
        listed_endpoint.consecutive_errors = 2
    parts.endpoints.apply(listed(entry(0, started_ns=1 * S), entry(1)))
    restarted, other = parts.endpoint(0), parts.endpoint(1)
    assert (restarted.ejected_until, restarted.over_objective_until, restarted.consecutive_errors) == (
        0,
        0,
        0,
    )
    assert (other.ejected_until, other.over_objective_until, other.consecutive_errors) == (9 * S, 9 * S, 2)
    assert parts.endpoints.warm_up_factor(restarted) == 0.25
    assert parts.endpoints.is_warming_up(restarted)
    assert not parts.endpoints.is_warming_up(other)


def test_recovery_attempt_is_due_when_an_endpoint_is_ready_again() -> None:
    parts = Parts(endpoints=1, balancers=1)
    parts.connection(1, parts.endpoint(0))
    parts.endpoints.apply(listed(entry(0, state=EndpointState.DRAINING)))
    assert not parts.endpoint(0).is_recovery_due
    parts.endpoints.apply(listed(entry(0)))
    assert parts.endpoint(0).is_recovery_due


def test_capacity_is_the_highest_weight_of_the_kind_where_weights_fall_with_load() -> None:
    for source, capacity in (("nominal", 2.0), ("live", 6.0)):
        parts = Parts(endpoints=0, weightSource=source)
        parts.endpoints.apply(listed(entry(0, weight=6.0), entry(1, weight=1.0)))
        parts.endpoints.apply(listed(entry(0, weight=2.0), entry(1, weight=1.0)))
        assert parts.endpoints.capacity(parts.endpoint(0)) == capacity


def test_established_connections_are_counted_by_group_and_removed_only_once() -> None:
    parts = Parts()
    target = parts.endpoint(0)
    first = parts.connection(1, target, group=5)
    parts.connection(2, target, group=5)
    assert target.established_by_group == {5: 2}
    for _ in range(2):
        target.remove_established(first)
    assert target.established_by_group == {5: 1}
    assert list(target.established) == [2]
