"""Decisions on requests: attempts, retries by effect, avoided endpoints, migrations and final answers."""

from __future__ import annotations

import pytest
from conftest import MS, S, effect, ended, endpoint, entry, listed, only, request, single_send
from conftest import balancer as make_balancer

from linnetshift.routing.actions import (
    ALL_PEERS,
    Fail,
    HealthCheck,
    Migrate,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
)
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import (
    LOAD_NOTE,
    MESSAGE_TIME_NOTE,
    AdoptedConnection,
    AttemptEnded,
    ConnectionEstablished,
    ConnectionNote,
    EndpointState,
    HealthCheckResult,
    ListForm,
    Outcome,
    PeerMessage,
    RequestWithdrawn,
    TimerFired,
)
from linnetshift.routing.pending_requests import key_hash
from linnetshift.routing.tick_timer import TICK_TOKEN


def test_full_and_failed_connects_are_retried_at_next_rank() -> None:
    balancer = make_balancer(8)
    ranks = [candidate.id for candidate in balancer.ranking.ranked(key_hash(request(1)))]
    first = single_send(balancer.step(2 * S, [request(1)]))
    (second,) = only(balancer.step(2 * S + MS, [ended(first, 0, Outcome.FULL)]), Send)
    (third,) = only(balancer.step(2 * S + 2 * MS, [ended(second, 1, Outcome.CONNECT_FAILED)]), Send)
    assert [first.endpoint, second.endpoint, third.endpoint] == ranks[:3]


def test_attempt_timeout_leaves_time_for_a_retry() -> None:
    send = single_send(make_balancer().step(2 * S, [request(1)]))
    assert send.timeout_ns <= 1 * S
    send = single_send(make_balancer().step(2 * S, [request(1, budget_ns=300 * MS)]))
    assert send.timeout_ns == 300 * MS


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_not_idempotent_request_is_neither_retried_nor_rejected_after_possible_execution(
    outcome: Outcome,
) -> None:
    balancer = make_balancer(**effect("once"))
    send = single_send(balancer.step(2 * S, [request(1)]))
    balancer.step(2 * S + MS, [ended(send, 0, outcome)])
    actions = [a for t in range(1, 500) for a in balancer.step(2 * S + t * 4 * MS, [TimerFired(TICK_TOKEN)])]
    assert not only(actions, Send)
    assert not only(actions, Reject)


def test_not_idempotent_request_is_retried_when_its_connect_failed() -> None:
    balancer = make_balancer(**effect("once"))
    send = single_send(balancer.step(2 * S, [request(1)]))
    assert only(balancer.step(2 * S + MS, [ended(send, 0, Outcome.CONNECT_FAILED)]), Send)


def test_retries_by_idempotency_key_stay_in_scope_and_window() -> None:
    balancer = make_balancer(30, **effect("by_key", "zone"))
    send = single_send(balancer.step(2 * S, [request(1)]))
    zone = balancer.endpoints[send.endpoint].zone
    (retry,) = only(balancer.step(2 * S + MS, [ended(send, 0, Outcome.ERROR, MS)]), Send)
    assert balancer.endpoints[retry.endpoint].zone == zone

    balancer = make_balancer(30, **effect("by_key", "cell", windowNs=100 * MS))
    send = single_send(balancer.step(2 * S, [request(1)]))
    actions = balancer.step(2 * S + 200 * MS, [ended(send, 0, Outcome.TIMEOUT, 200 * MS)])
    assert not only(actions, Send)
    assert not only(actions, Reject)


def test_attempts_never_exceed_the_maximum() -> None:
    balancer = make_balancer(8)
    actions = balancer.step(2 * S, [request(1)])
    sends = 0
    now = 2 * S
    while only(actions, Send):
        (send,) = only(actions, Send)
        sends += 1
        now += MS
        actions = balancer.step(now, [ended(send, sends - 1, Outcome.CONNECT_FAILED, MS)])
    assert sends == 4
    assert len(only(actions, Reject)) == 1
    assert not balancer.requests


@pytest.mark.parametrize("endpoint_count", [0, 1])
def test_request_without_usable_endpoint_is_rejected_before_its_deadline(endpoint_count: int) -> None:
    balancer = make_balancer(endpoint_count)
    if endpoint_count:
        balancer.step(1 * S, [listed(entry(0, state=EndpointState.DRAINING), form=ListForm.DELTA)])
    now = 2 * S
    actions = balancer.step(now, [request(1)])
    while not only(actions, Reject):
        (timer,) = only(actions, SetTimer)
        now += timer.delay_ns
        assert now < 4 * S
        actions = balancer.step(now, [TimerFired(timer.token)])
    assert not only(actions, Send)
    assert not balancer.requests


def test_first_ranked_endpoint_is_tried_when_all_are_unreachable() -> None:
    balancer = make_balancer(3)
    now = 2 * S
    for number in range(3):
        (send,) = only(balancer.step(now, [request(number)]), Send)
        attempt = 0
        while True:
            now += MS
            sends = only(balancer.step(now, [ended(send, attempt, Outcome.CONNECT_FAILED, MS)]), Send)
            if not sends:
                break
            (send,), attempt = sends, attempt + 1
    first_ranked = next(balancer.ranking.ranked(key_hash(request(9)))).id
    sends = only(balancer.step(now + MS, [request(9)]), Send)
    assert [s.endpoint for s in sends] == [first_ranked]


def test_ejected_endpoint_is_used_again_after_one_successful_half_open_attempt() -> None:
    balancer = make_balancer(8)
    send = single_send(balancer.step(2 * S, [request(1, group=5)]))
    ejected = send.endpoint
    balancer.step(2 * S + MS, [ended(send, 0, Outcome.CONNECT_FAILED, MS)])
    (other,) = only(balancer.step(2 * S + 2 * MS, [request(2, group=5)]), Send)
    assert other.endpoint != ejected
    half_open, next_send = only(balancer.step(4 * S, [request(3, group=5), request(4, group=5)]), Send)
    assert half_open.endpoint == ejected
    assert next_send.endpoint != ejected
    balancer.step(4 * S + MS, [ConnectionEstablished(3, 0, ejected, MS)])
    (next_send,) = only(balancer.step(4 * S + 2 * MS, [request(5, group=5)]), Send)
    assert next_send.endpoint == ejected


def test_slow_endpoint_is_avoided_until_its_messages_are_fast_again() -> None:
    balancer = make_balancer(8)
    send = single_send(balancer.step(2 * S, [request(1, group=5)]))
    balancer.step(2 * S + MS, [ConnectionEstablished(1, 0, send.endpoint, MS)])
    balancer.step(2 * S + 2 * MS, [ConnectionNote(1, 0, send.endpoint, MESSAGE_TIME_NOTE, 30.0)])
    (other,) = only(balancer.step(2 * S + 3 * MS, [request(2, group=5)]), Send)
    assert other.endpoint != send.endpoint
    balancer.step(2 * S + 4 * MS, [ConnectionNote(1, 0, send.endpoint, MESSAGE_TIME_NOTE, 5.0)])
    (next_send,) = only(balancer.step(2 * S + 5 * MS, [request(3, group=5)]), Send)
    assert next_send.endpoint == send.endpoint


def test_events_of_withdrawn_and_unknown_requests_are_ignored() -> None:
    balancer = make_balancer(8)
    send = single_send(balancer.step(2 * S, [request(1)]))
    assert balancer.step(2 * S + MS, [RequestWithdrawn(1), RequestWithdrawn(99)]) == []
    assert balancer.step(2 * S + 2 * MS, [ended(send, 0, Outcome.RESET), ended(send, 3, Outcome.OK)]) == []
    assert (
        balancer.step(2 * S + 3 * MS, [ConnectionEstablished(1, 0, send.endpoint, 1), TimerFired(12345)])
        == []
    )
    assert balancer.step(2 * S + 4 * MS, [ConnectionNote(1, 0, endpoint(200), MESSAGE_TIME_NOTE, 1e9)]) == []
    assert not balancer.requests
    assert all(not e.in_flight and not e.established for e in balancer.endpoints.values())


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -5.0])
def test_notes_with_invalid_values_change_nothing(value: float) -> None:
    balancer = make_balancer(8)
    send = single_send(balancer.step(2 * S, [request(1, group=5)]))
    balancer.step(2 * S + MS, [ConnectionEstablished(1, 0, send.endpoint, MS)])
    for kind in (LOAD_NOTE, MESSAGE_TIME_NOTE, 77):
        assert balancer.step(3 * S, [ConnectionNote(1, 0, send.endpoint, kind, value)]) == []
    (next_send,) = only(balancer.step(3 * S + MS, [request(2, group=5)]), Send)
    assert next_send.endpoint == send.endpoint


def test_adopted_connections_are_counted_and_released() -> None:
    balancer = make_balancer(4)
    balancer.step(
        2 * S,
        [
            AdoptedConnection(7, 0, 1, 2, 0, 0, 0, endpoint(1)),
            AdoptedConnection(8, 0, 1, 2, 0, 0, 0, endpoint(99)),
        ],
    )
    assert len(balancer.endpoints[endpoint(1)].established) == 1
    assert list(balancer.requests) == [7]
    balancer.step(3 * S, [AttemptEnded(7, 0, endpoint(1), True, S, Outcome.OK, ())])
    assert not balancer.requests
    assert not balancer.endpoints[endpoint(1)].established


def test_concurrent_setups_stay_within_limit_and_successes_raise_it() -> None:
    balancer = make_balancer(8, concurrency_limit=8.0)
    now = 2 * S
    sends = only(balancer.step(now, [request(n) for n in range(300)]), Send)
    assert len(sends) == 8
    setups = []
    for _ in range(6):
        now += 50 * MS
        balancer.step(now, [ConnectionEstablished(s.request_id, 0, s.endpoint, 50 * MS) for s in sends])
        sends = only(balancer.step(now, [TimerFired(TICK_TOKEN)]), Send)
        setups.append(len(sends))
    assert setups[0] == 16
    assert setups[1] == 32
    assert sum(setups) + 8 == 300


def test_overloaded_store_lowers_concurrency_limit_and_lengthens_attempt_timeouts() -> None:
    balancer = make_balancer(8, concurrency_limit=64.0)
    now = 2 * S
    for number in range(200):  # errors at every endpoint
        now += 20 * MS
        for send in only(balancer.step(now, [request(number)]), Send):
            balancer.step(now + MS, [ended(send, 0, Outcome.ERROR, MS), RequestWithdrawn(number)])
    sends = only(balancer.step(now + S, [request(1000 + n) for n in range(40)]), Send)
    assert 1 <= len(sends) <= 8
    assert all(send.timeout_ns == 2 * S for send in sends)  # shorter ones would waste the work of the store
    balancer.step(now + 2 * S, [ConnectionEstablished(s.request_id, 0, s.endpoint, S) for s in sends])
    assert balancer.lifecycle.concurrency_limit.limit <= 8
    assert balancer.requests.setups_in_flight == 0


def establish(balancer: Balancer, connection_count: int) -> list[ConnectionEstablished]:
    """Establish connections of as many requests, each in its own group, and return their events."""
    sends = only(balancer.step(2 * S, [request(n, group=n + 1) for n in range(connection_count)]), Send)
    established = [ConnectionEstablished(s.request_id, 0, s.endpoint, MS) for s in sends]
    balancer.step(2 * S + MS, established)
    return established


def test_few_connections_migrate_off_slow_endpoint_and_none_without_another_endpoint() -> None:
    balancer = make_balancer(4)
    established = establish(balancer, 200)
    slow_endpoint = established[0].endpoint
    connection_count = len(balancer.endpoints[slow_endpoint].established)
    migrations = only(
        balancer.step(
            3 * S, [ConnectionNote(established[0].request_id, 0, slow_endpoint, MESSAGE_TIME_NOTE, 45.0)]
        ),
        Migrate,
    )
    assert 0 < len(migrations) <= connection_count * 0.05 + 1
    balancer = make_balancer(1)
    established = establish(balancer, 50)
    assert not only(
        balancer.step(3 * S, [ConnectionNote(0, 0, endpoint(0), MESSAGE_TIME_NOTE, 45.0)]), Migrate
    )


def test_every_balancer_sheds_same_keys_when_most_endpoints_are_slow() -> None:
    shed_by_balancer: list[set[int]] = []
    for seed in (1, 2):
        balancer = make_balancer(6, seed=seed)
        established = establish(balancer, 120)
        by_endpoint = {s.endpoint: s.request_id for s in established}
        now = 3 * S
        for _ in range(4):
            now += S
            balancer.step(
                now, [ConnectionNote(r, 0, e, MESSAGE_TIME_NOTE, 500.0) for e, r in by_endpoint.items()]
            )
        rejected = only(balancer.step(now + MS, [request(500 + n, group=n + 1) for n in range(300)]), Reject)
        assert 150 < len(rejected) < 280
        assert all(r.retry_after_ns > 0 for r in rejected)
        shed_by_balancer.append({r.request_id for r in rejected})
    assert shed_by_balancer[0] == shed_by_balancer[1]


def test_every_endpoint_of_failed_zone_is_avoided() -> None:
    balancer = make_balancer(30)
    established = establish(balancer, 300)
    in_failed_zone = [s for s in established if balancer.endpoints[s.endpoint].zone == 1]
    resets = [AttemptEnded(s.request_id, 0, s.endpoint, True, S, Outcome.RESET, ()) for s in in_failed_zone]
    unused = entry(31, zone=1)
    balancer.step(3 * S, [listed(unused, form=ListForm.DELTA), *resets])
    sends = only(balancer.step(3 * S + MS, [request(1000 + n) for n in range(200)]), Send)
    assert len(sends) == 200
    assert all(balancer.endpoints[s.endpoint].zone != 1 for s in sends)


def test_resets_of_one_endpoint_do_not_mark_its_zone_failed() -> None:
    balancer = make_balancer(30)
    established = establish(balancer, 300)
    overloaded = next(s.endpoint for s in established if balancer.endpoints[s.endpoint].zone == 1)
    resets = [
        AttemptEnded(s.request_id, 0, s.endpoint, True, S, Outcome.RESET, ())
        for s in established
        if s.endpoint == overloaded
    ]
    balancer.step(3 * S, resets)
    sends = only(balancer.step(3 * S + MS, [request(1000 + n) for n in range(200)]), Send)
    used = {s.endpoint for s in sends}
    assert overloaded not in used
    assert any(balancer.endpoints[e].zone == 1 for e in used)


def balancer_with_health_checks(endpoints: int = 8) -> Balancer:
    return make_balancer(
        endpoints,
        allowed={"probing": True},
        report={"columns": ["outstanding", "x0"], "how": "pull"},
    )


def test_first_ranked_endpoint_is_health_checked_and_avoided_when_loaded() -> None:
    balancer = balancer_with_health_checks()
    ranks = [candidate.id for candidate in balancer.ranking.ranked(key_hash(request(1)))]
    (check,) = only(balancer.step(2 * S, [request(1)]), HealthCheck)
    assert check.endpoint == ranks[0]
    (check,) = only(
        balancer.step(2 * S + MS, [HealthCheckResult(ranks[0], Outcome.OK, MS, (40.0, 1.2))]), HealthCheck
    )
    assert check.endpoint == ranks[1]
    (send,) = only(
        balancer.step(2 * S + 2 * MS, [HealthCheckResult(ranks[1], Outcome.OK, MS, (20.0, 0.4))]), Send
    )
    assert send.endpoint == ranks[1]


@pytest.mark.parametrize(
    "report", [(), (1.0,), (float("nan"), float("nan")), (1.0, -3.0), (1.0, float("inf"))]
)
def test_empty_or_invalid_report_counts_as_successful_health_check(report: tuple[float, ...]) -> None:
    balancer = balancer_with_health_checks()
    (check,) = only(balancer.step(2 * S, [request(1)]), HealthCheck)
    actions = balancer.step(2 * S + MS, [HealthCheckResult(check.endpoint, Outcome.OK, MS, report)])
    assert [s.endpoint for s in only(actions, Send)] == [check.endpoint]
    assert not only(actions, HealthCheck)


def test_unanswered_health_check_delays_request_only_briefly() -> None:
    balancer = balancer_with_health_checks()
    now = 2 * S
    actions = balancer.step(now, [request(1)])
    (unanswered,) = only(actions, HealthCheck)
    while not only(actions, HealthCheck) or only(actions, HealthCheck)[0] == unanswered:
        now += 50 * MS
        assert now < 2 * S + 300 * MS
        actions = balancer.step(now, [TimerFired(TICK_TOKEN)])
    (check,) = only(actions, HealthCheck)
    (send,) = only(
        balancer.step(now + MS, [HealthCheckResult(check.endpoint, Outcome.OK, MS, (3.0, 0.1))]),
        Send,
    )
    assert send.endpoint == check.endpoint != unanswered.endpoint


def balancer_with_peers(balancer_number: int = 0) -> Balancer:
    return make_balancer(8, balancers=5, myNumber=balancer_number, allowed={"peerMessages": True})


def test_reports_of_two_peers_mark_endpoint_unresponsive_and_migrate_its_connections() -> None:
    balancer = balancer_with_peers()
    established = establish(balancer, 200)
    unresponsive = established[0].endpoint
    connection_count = len(balancer.endpoints[unresponsive].established)
    assert not only(balancer.step(3 * S, [PeerMessage(1, b"s" + unresponsive)]), Migrate)
    assert not only(balancer.step(3 * S + MS, [PeerMessage(1, b"s" + unresponsive)]), Migrate)
    new_request = request(900, group=established[0].request_id + 1)
    actions = balancer.step(3 * S + 2 * MS, [PeerMessage(2, b"s" + unresponsive), new_request])
    assert unresponsive not in {send.endpoint for send in only(actions, Send)}
    migrated = 0
    now = 3 * S
    for _ in range(400):
        if not (timers := only(actions, SetTimer)):
            break
        now += timers[0].delay_ns
        actions = balancer.step(now, [TimerFired(timers[0].token)])
        migrated += len(only(actions, Migrate))
    assert migrated >= connection_count // 3


def test_connect_failure_is_reported_once_and_malformed_peer_messages_are_ignored() -> None:
    balancer = balancer_with_peers()
    (send,) = only(balancer.step(2 * S, [request(1)]), Send)
    actions = balancer.step(2 * S + MS, [ended(send, 0, Outcome.CONNECT_FAILED)])
    assert only(actions, SendPeerMessage) == [SendPeerMessage(ALL_PEERS, b"s" + send.endpoint)]
    other = next(e for e in balancer.endpoints if e != send.endpoint)
    for sender, data in (
        (1, b""),
        (1, b"s"),
        (1, b"q" + other),
        (77, b"s" + other),
        (0, b"s" + other),
        (2, b"s" + other[:4]),
    ):
        balancer.step(2 * S + 2 * MS, [PeerMessage(sender, data)])
    assert not balancer.endpoints[other].unresponsive_reports
    assert not len(balancer.migration)


def test_admitted_connections_migrate_off_slow_endpoint_when_others_are_healthy() -> None:
    balancer = make_balancer(10)
    established = establish(balancer, 300)
    balancer.admission.load_shedding.admitted_share = 0.5  # load shedding continues after an overload
    slow_endpoint = established[0].endpoint
    for _ in range(40):  # connections that are not admitted migrate first
        balancer.step(
            balancer.now + S,
            [ConnectionNote(established[0].request_id, 0, slow_endpoint, MESSAGE_TIME_NOTE, 500.0)],
        )
        if not balancer.endpoints[slow_endpoint].established:
            break
        if all(
            balancer.admission.admits(item.request)
            for item in balancer.endpoints[slow_endpoint].established.values()
        ):
            before = len(balancer.endpoints[slow_endpoint].established)
            migrations = only(
                balancer.step(
                    balancer.now + S, [ConnectionNote(0, 0, slow_endpoint, MESSAGE_TIME_NOTE, 60.0)]
                ),
                Migrate,
            )
            assert migrations
            assert len(migrations) <= before * 0.15 + 1
            return
    raise AssertionError("connections that are not admitted were not all migrated")


def test_endpoint_with_errors_that_others_do_not_share_is_avoided() -> None:
    # Otherwise an endpoint that only answers with errors keeps getting the first attempt for all of its keys.
    balancer = make_balancer(8)
    for number in (1, 2):
        (first,) = only(balancer.step(2 * S, [request(number, key=5)]), Send)
        (second,) = only(balancer.step(2 * S, [ended(first, 0, Outcome.ERROR)]), Send)
        balancer.step(2 * S + MS, [ConnectionEstablished(number, 1, second.endpoint, MS)])
    (next_send,) = only(balancer.step(2 * S + 2 * MS, [request(3, key=5)]), Send)
    assert second.endpoint == next_send.endpoint != first.endpoint


def test_request_that_two_endpoints_fail_is_failed_and_they_are_not_avoided() -> None:
    balancer = make_balancer(8)
    (first,) = only(balancer.step(2 * S, [request(1)]), Send)
    (second,) = only(balancer.step(2 * S, [ended(first, 0, Outcome.ERROR)]), Send)
    assert balancer.step(2 * S, [ended(second, 1, Outcome.ERROR)]) == [Fail(1)]
    (next_send,) = only(balancer.step(2 * S + MS, [request(2, key=1001)]), Send)
    assert next_send.endpoint == first.endpoint


def test_failed_request_is_not_retried_at_same_endpoint() -> None:
    # While all other endpoints are avoided, a retry at the one that failed the request would fail it finally.
    balancer = make_balancer(2)
    first = single_send(balancer.step(2 * S, [request(1)]))
    other = next(e for e in balancer.endpoints.values() if e.id != first.endpoint)
    other.over_objective_until = 3 * S  # avoided
    assert not only(balancer.step(2 * S, [ended(first, 0, Outcome.ERROR)]), Send)
    other.over_objective_until = 0
    (second,) = only(balancer.step(2 * S + 50 * MS, [TimerFired(TICK_TOKEN)]), Send)
    assert second.endpoint == other.id
