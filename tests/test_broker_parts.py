"""Unit tests of the broker's parts: inbox, endpoint views, migration balance, contracts, state snapshot."""

from __future__ import annotations

import pytest
from conftest import S, balancer, endpoint, entry, listed, raw_settings
from fake_ports import FakePorts

from linnetshift.broker.active_request import DETACHED_CLIENT
from linnetshift.broker.contracts import (
    PROHIBITED_RETRY_AFTER_NS,
    Contract,
    ContractList,
    Contracts,
    ContractTerms,
    Limit,
    RateLimit,
)
from linnetshift.broker.endpoint_views import EndpointViews
from linnetshift.broker.event_inbox import EventInbox
from linnetshift.broker.latency_estimator import LatencyEstimator
from linnetshift.broker.migration_balance import MIGRATION_DECAY_NS, MigrationBalance
from linnetshift.broker.request_table import OVERDUE_NS
from linnetshift.broker.snapshot import export_state, import_state
from linnetshift.discovery.list_lease import ListLease
from linnetshift.routing.events import (
    EndpointList,
    EndpointState,
    Event,
    ListForm,
    Outcome,
    RequestWithdrawn,
    TimerFired,
)
from linnetshift.routing.settings import Settings
from linnetshift.util.token_bucket import TokenBucket


def make_inbox(ports: FakePorts) -> EventInbox:
    return EventInbox(ports)


def test_inbox_returns_endpoint_lists_first_and_other_events_in_order() -> None:
    inbox = make_inbox(FakePorts())
    change = listed(entry(1), form=ListForm.DELTA)
    posted: list[Event] = [TimerFired(1), RequestWithdrawn(2), change, TimerFired(3)]
    for event in posted:
        inbox.post(event)
    assert inbox.take() == [change, TimerFired(1), RequestWithdrawn(2), TimerFired(3)]
    assert inbox.take() == []


def test_inbox_schedules_processing_once_per_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    ports = FakePorts()
    scheduled: list[None] = []
    monkeypatch.setattr(ports, "schedule_processing", lambda: scheduled.append(None))
    inbox = make_inbox(ports)
    for _ in range(2):
        inbox.post(TimerFired(1))
        inbox.post(TimerFired(2))
        inbox.take()
    assert len(scheduled) == 2


@pytest.fixture
def views() -> EndpointViews:
    endpoint_views = EndpointViews(
        Settings.parse(raw_settings()), lambda: 5 * S, make_inbox(FakePorts()), ListLease(5 * S)
    )
    endpoint_views.handle_endpoint_list(listed(entry(1, started_ns=S), entry(2)))
    endpoint_views.inbox.take()
    return endpoint_views


def test_drained_endpoint_is_listed_as_draining_until_it_is_restored(views: EndpointViews) -> None:
    assert views.drain_endpoint(endpoint(1))
    assert views.drain_endpoint(endpoint(1))  # no effect: already drained
    assert views.restore_endpoint(endpoint(1))
    assert not views.drain_endpoint(endpoint(9))
    events = views.inbox.take()
    assert [event.entries[0].state for event in events if isinstance(event, EndpointList)] == [
        EndpointState.DRAINING,
        EndpointState.READY,
    ]


def test_restart_drops_the_observations_of_the_endpoint(views: EndpointViews) -> None:
    for number in (1, 2):
        views.latency_estimator.record_reset(endpoint(number), 5 * S)
    views.handle_endpoint_list(listed(entry(1, started_ns=4 * S), entry(2), form=ListForm.DELTA))
    assert views.latency_estimator.reset_at_ns == {endpoint(2): 5 * S}
    assert views.started_ns[endpoint(1)] == 4 * S


def test_full_list_replaces_zones_weights_and_start_times(views: EndpointViews) -> None:
    views.handle_endpoint_list(listed(entry(2)))
    assert set(views.zones) == set(views.latency_estimator.weights) == set(views.started_ns) == {endpoint(2)}


def test_end_of_an_established_connection_is_recorded_by_its_outcome(views: EndpointViews) -> None:
    views.record_connection_ended(endpoint(1), Outcome.OK)
    assert (views.latency_estimator.migrations.net, views.latency_estimator.reset_at_ns) == (0.0, {})
    views.record_connection_ended(endpoint(1), Outcome.RESET)
    views.record_connection_ended(endpoint(9), Outcome.RESET)  # not known
    assert views.latency_estimator.reset_at_ns == {endpoint(1): 5 * S}
    assert views.latency_estimator.migrations.net == -2.0


def test_migration_balance_decays_to_zero() -> None:
    migrations = MigrationBalance()
    for _ in range(4):
        migrations.record_migrated_in(1 * S)
    migrations.record_migrated_out(1 * S)
    assert migrations.net_in(1 * S) == 3.0
    assert migrations.net_in(1 * S + MIGRATION_DECAY_NS // 2) == 1.5
    assert migrations.net_in(1 * S + 2 * MIGRATION_DECAY_NS) == 0.0
    migrations.record_migrated_out(1 * S + MIGRATION_DECAY_NS)
    assert migrations.net == -1.0


def test_reloaded_contracts_keep_the_used_tokens_and_active_counts() -> None:
    former = Contracts({0: Contract(rate=TokenBucket(1.0, 2.0)), 1: Contract()})
    assert former.admit(0, 0, 0, 1 * S) is None
    later = Contracts({0: Contract(rate=TokenBucket(1.0, 2.0), concurrency=2), 2: Contract(concurrency=1)})
    later.carry_over(former, {0: 1})
    assert later.admit(0, 0, 0, 1 * S) is None
    assert later.teams[0].active == 2
    exceeded_limit = later.admit(0, 0, 0, 2 * S)
    assert exceeded_limit is not None
    assert exceeded_limit.limit == "concurrency"
    assert later.admit(2, 0, 0, 1 * S) is None


@pytest.mark.parametrize("services", [frozenset(), frozenset({"gone"})])
def test_contract_on_names_that_are_not_there_allows_nothing(services: frozenset[str]) -> None:
    """Guards against a contract that applies to all classes, since its own is not listed."""
    terms = ContractTerms("acme", services=services)
    classes = Settings.parse(raw_settings()).classes
    contracts = Contracts.of(ContractList((terms,)), {"acme": 0}, classes)
    exceeded_limit = contracts.admit(0, 0, 0, 0)
    assert exceeded_limit is not None
    assert exceeded_limit.limit == "service"


def test_contract_of_an_unlisted_team_keeps_its_tokens_until_the_team_is_listed() -> None:
    """Guards against a rate limit that starts full each time a name returns."""
    terms = ContractList((ContractTerms("acme", rate=RateLimit(1.0, 2.0)),))
    first = Contracts.of(terms, {"acme": 0}, ())
    assert first.admit(0, 0, 0, 1 * S) is None
    unlisted = Contracts.of(terms, {}, ())
    unlisted.teams = {}
    unlisted.unlisted_teams["acme"].carry_over(first.teams[0])
    assert unlisted.admit(0, 0, 0, 1 * S) == (Limit.TEAM, PROHIBITED_RETRY_AFTER_NS)
    listed = Contracts.of(terms, {"acme": 3}, ())
    listed.carry_over(unlisted, {})
    assert listed.admit(3, 0, 0, 1 * S) is None
    assert listed.admit(3, 0, 0, 1 * S) is not None


@pytest.mark.parametrize("answer", ["reject", "fail", "overdue"])
def test_final_answer_releases_the_request_and_its_client(answer: str) -> None:
    ports = FakePorts()
    request = ports.submit(1 * S)
    table = ports.broker.request_table
    if answer == "overdue":
        ports.broker.balancer.step = lambda now_ns, events: []  # type: ignore[method-assign]
        ports.advance_to(2 * S + OVERDUE_NS)
    else:
        getattr(table, answer)(request.id)
    table.fail(request.id)  # no effect: already answered
    assert len(ports.client_calls) == 1
    assert request.client is DETACHED_CLIENT
    assert not table.requests
    assert not table.unanswered()


def test_malformed_section_of_a_snapshot_does_not_prevent_the_import_of_others() -> None:
    estimator = LatencyEstimator()
    estimator.record_reset(endpoint(1), 3 * S)
    state = export_state(balancer(), estimator)
    later = LatencyEstimator()
    with pytest.raises(ValueError, match="bad figure"):
        import_state(balancer(), later, {**state, "guests": ["bad figure", 0]})
    assert later.reset_at_ns == {endpoint(1): 3 * S}
    assert later.migrations == MigrationBalance()
