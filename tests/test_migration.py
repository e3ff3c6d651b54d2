"""Migration: which established connections move, and how many at once."""

from __future__ import annotations

from conftest import MS, S, entry, listed
from routing_parts import Parts

from linnetshift.routing.actions import Migrate, SetTimer
from linnetshift.routing.events import EndpointState, ListForm


def migrated(parts: Parts) -> list[int]:
    return [action.request_id for action in parts.context.actions if isinstance(action, Migrate)]


def test_heaviest_connections_migrate_first_and_as_many_as_the_share_allows() -> None:
    parts = Parts()
    endpoint = parts.endpoint(0)
    for number in range(1, 11):
        parts.connection(number, endpoint).load_ns_per_s = float(number)
    parts.migration.migrate_excess(endpoint, misses_objectives=False, share=lambda _: 0.2)
    assert migrated(parts) in ([10, 9], [10, 9, 8])
    assert len(endpoint.established) == 10 - len(migrated(parts))


def test_no_connection_migrates_when_no_other_endpoint_is_better() -> None:
    parts = Parts(endpoints=2)
    endpoint = parts.endpoint(0)
    parts.connection(1, endpoint)
    parts.endpoint(1).ejected_until = 9 * S
    parts.migration.migrate_excess(endpoint, misses_objectives=False, share=lambda _: 1.0)
    assert migrated(parts) == []


def test_connections_that_are_not_admitted_migrate_first_off_a_slow_endpoint() -> None:
    parts = Parts()
    endpoint = parts.endpoint(0)
    parts.admission.load_shedding.admitted_share = 0.5
    connections = [parts.connection(number, endpoint) for number in range(1, 41)]
    admitted = {c.request.request_id for c in connections if parts.admission.admits(c.request)}
    parts.migration.migrate_excess(endpoint, misses_objectives=True, share=lambda _: 1.0)
    assert 10 <= len(migrated(parts)) <= 15
    assert not admitted & set(migrated(parts))


def test_admitted_connections_stay_while_most_endpoints_are_slow() -> None:
    for is_congested, migrates in ((True, False), (False, True)):
        parts = Parts()
        parts.connection(1, parts.endpoint(0))
        parts.admission.load_shedding.is_congested = is_congested
        parts.migration.migrate_excess(parts.endpoint(0), misses_objectives=True, share=lambda _: 1.0)
        assert bool(migrated(parts)) is migrates


def test_connections_migrate_off_a_draining_endpoint_evenly_until_it_stops() -> None:
    parts = Parts()
    endpoint = parts.endpoint(0)
    for number in range(1, 21):
        parts.connection(number, endpoint)
    (draining,) = parts.endpoints.apply(
        listed(entry(0, state=EndpointState.DRAINING, drain_within_ns=500 * MS), form=ListForm.DELTA)
    )
    parts.migration.begin_gradual_migration(draining)
    assert parts.context.actions == [SetTimer(50 * MS, 1 << 16)]
    counts = []
    for tick in range(1, 11):
        parts.begin_step(1 * S + tick * 50 * MS)
        parts.tick_timer.handle_fired()
        parts.migration.handle_tick()
        counts.append(len(migrated(parts)))
    assert sum(counts) == 20
    assert max(counts[:8]) <= 5
    assert len(parts.migration) == 0
    assert not endpoint.established


def test_connections_migrate_off_an_unresponsive_endpoint_until_it_recovers() -> None:
    for end in ("ejection ends", "established"):
        parts = Parts()
        endpoint = parts.endpoint(0)
        endpoint.ejected_until = 2 * S
        parts.connection(1, endpoint)
        parts.migration.begin_gradual_migration(endpoint)
        parts.migration.handle_tick()
        assert len(parts.migration) == 1
        if end == "established":
            parts.migration.handle_established(endpoint)
        else:
            parts.begin_step(2 * S)
            parts.migration.handle_tick()
        assert len(parts.migration) == 0


def test_no_gradual_migration_starts_for_an_endpoint_without_connections() -> None:
    parts = Parts()
    parts.migration.begin_gradual_migration(parts.endpoint(0))
    assert len(parts.migration) == 0
    assert parts.context.actions == []
