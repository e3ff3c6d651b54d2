"""Tries, effects, deadlines and final answers."""

from __future__ import annotations

import pytest
from conftest import MS, S, balancer, effect, ended, endpoint, entry, listed, only, request

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
    SLOW_NOTE,
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


def test_full_and_failed_connects_go_to_the_next_rank() -> None:
    node = balancer(8)
    ranks = [h.id for h in node.ranking.ranked(key_hash(request(1)))]
    (first,) = node.step(2 * S, [request(1)])
    (second,) = only(node.step(2 * S + MS, [ended(first, 0, Outcome.FULL)]), Send)
    (third,) = only(node.step(2 * S + 2 * MS, [ended(second, 1, Outcome.CONNECT_FAILED)]), Send)
    assert [first.endpoint, second.endpoint, third.endpoint] == ranks[:3]


def test_a_time_out_leaves_room_for_another_try() -> None:
    (send,) = balancer().step(2 * S, [request(1)])
    assert send.timeout_ns <= 1 * S
    (send,) = balancer().step(2 * S, [request(1, budget_ns=300 * MS)])
    assert send.timeout_ns == 300 * MS


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_once_is_never_tried_again_nor_refused_after_it_may_have_run(outcome: Outcome) -> None:
    node = balancer(**effect("once"))
    (send,) = node.step(2 * S, [request(1)])
    node.step(2 * S + MS, [ended(send, 0, outcome)])
    later = [a for t in range(1, 500) for a in node.step(2 * S + t * 4 * MS, [TimerFired(1 << 16)])]
    assert not only(later, Send)
    assert not only(later, Reject)


def test_once_is_tried_again_after_proof_that_it_never_ran() -> None:
    node = balancer(**effect("once"))
    (send,) = node.step(2 * S, [request(1)])
    assert only(node.step(2 * S + MS, [ended(send, 0, Outcome.CONNECT_FAILED)]), Send)


def test_keyed_repeats_stay_in_the_group_and_the_window() -> None:
    node = balancer(30, **effect("by_key", "zone"))
    (send,) = node.step(2 * S, [request(1)])
    zone = node.endpoints[send.endpoint].zone
    (again,) = only(node.step(2 * S + MS, [ended(send, 0, Outcome.ERROR, MS)]), Send)
    assert node.endpoints[again.endpoint].zone == zone

    node = balancer(30, **effect("by_key", "cell", windowNs=100 * MS))
    (send,) = node.step(2 * S, [request(1)])
    actions = node.step(2 * S + 200 * MS, [ended(send, 0, Outcome.TIMEOUT, 200 * MS)])
    assert not only(actions, Send)
    assert not only(actions, Reject)


def test_attempts_never_exceed_the_maximum() -> None:
    node = balancer(8)
    actions = node.step(2 * S, [request(1)])
    sends = 0
    now = 2 * S
    while only(actions, Send):
        (send,) = only(actions, Send)
        sends += 1
        now += MS
        actions = node.step(now, [ended(send, sends - 1, Outcome.CONNECT_FAILED, MS)])
    assert sends == 4
    assert len(only(actions, Reject)) == 1
    assert not node.requests


@pytest.mark.parametrize("endpoints", [0, 1])
def test_without_a_usable_endpoint_a_request_is_answered_before_its_deadline(endpoints: int) -> None:
    node = balancer(endpoints)
    if endpoints:
        node.step(1 * S, [listed(entry(0, state=EndpointState.DRAINING), form=ListForm.DELTA)])
    now = 2 * S
    actions = node.step(now, [request(1)])
    while not only(actions, Reject):
        (timer,) = only(actions, SetTimer)
        now += timer.delay_ns
        assert now < 4 * S
        actions = node.step(now, [TimerFired(timer.token)])
    assert not only(actions, Send)
    assert not node.requests


def test_when_every_endpoint_is_silent_the_plain_ranking_decides() -> None:
    node = balancer(3)
    now = 2 * S
    for number in range(3):
        (send,) = only(node.step(now, [request(number)]), Send)
        attempt = 0
        while True:
            now += MS
            sends = only(node.step(now, [ended(send, attempt, Outcome.CONNECT_FAILED, MS)]), Send)
            if not sends:
                break
            (send,), attempt = sends, attempt + 1
    best = next(node.ranking.ranked(key_hash(request(9)))).id
    sends = only(node.step(now + MS, [request(9)]), Send)
    assert [s.endpoint for s in sends] == [best]


def test_a_suspect_is_skipped_for_a_spell_and_readmitted_by_one_trial() -> None:
    node = balancer(8)
    (send,) = node.step(2 * S, [request(1, group=5)])
    bad = send.endpoint
    node.step(2 * S + MS, [ended(send, 0, Outcome.CONNECT_FAILED, MS)])
    (other,) = only(node.step(2 * S + 2 * MS, [request(2, group=5)]), Send)
    assert other.endpoint != bad
    trial, next_one = only(node.step(4 * S, [request(3, group=5), request(4, group=5)]), Send)
    assert trial.endpoint == bad
    assert next_one.endpoint != bad
    node.step(4 * S + MS, [ConnectionEstablished(3, 0, bad, MS)])
    (after,) = only(node.step(4 * S + 2 * MS, [request(5, group=5)]), Send)
    assert after.endpoint == bad


def test_a_hot_endpoint_is_passed_over_until_its_messages_are_fast_again() -> None:
    node = balancer(8)
    (send,) = node.step(2 * S, [request(1, group=5)])
    node.step(2 * S + MS, [ConnectionEstablished(1, 0, send.endpoint, MS)])
    node.step(2 * S + 2 * MS, [ConnectionNote(1, 0, send.endpoint, SLOW_NOTE, 30.0)])
    (other,) = only(node.step(2 * S + 3 * MS, [request(2, group=5)]), Send)
    assert other.endpoint != send.endpoint
    node.step(2 * S + 4 * MS, [ConnectionNote(1, 0, send.endpoint, SLOW_NOTE, 5.0)])
    (back,) = only(node.step(2 * S + 5 * MS, [request(3, group=5)]), Send)
    assert back.endpoint == send.endpoint


def test_withdrawn_and_unknown_requests_are_left_alone() -> None:
    node = balancer(8)
    (send,) = node.step(2 * S, [request(1)])
    assert node.step(2 * S + MS, [RequestWithdrawn(1), RequestWithdrawn(99)]) == []
    assert node.step(2 * S + 2 * MS, [ended(send, 0, Outcome.RESET), ended(send, 3, Outcome.OK)]) == []
    assert node.step(2 * S + 3 * MS, [ConnectionEstablished(1, 0, send.endpoint, 1), TimerFired(12345)]) == []
    assert node.step(2 * S + 4 * MS, [ConnectionNote(1, 0, endpoint(200), SLOW_NOTE, 1e9)]) == []
    assert not node.requests
    assert all(not h.in_flight and not h.established for h in node.endpoints.values())


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -5.0])
def test_absurd_notes_do_not_poison(value: float) -> None:
    node = balancer(8)
    (send,) = node.step(2 * S, [request(1, group=5)])
    node.step(2 * S + MS, [ConnectionEstablished(1, 0, send.endpoint, MS)])
    for kind in (LOAD_NOTE, SLOW_NOTE, 77):
        assert node.step(3 * S, [ConnectionNote(1, 0, send.endpoint, kind, value)]) == []
    (again,) = only(node.step(3 * S + MS, [request(2, group=5)]), Send)
    assert again.endpoint == send.endpoint


def test_adopted_connections_are_counted_and_released() -> None:
    node = balancer(4)
    node.step(
        2 * S,
        [
            AdoptedConnection(7, 0, 1, 2, 0, 0, 0, endpoint(1)),
            AdoptedConnection(8, 0, 1, 2, 0, 0, 0, endpoint(99)),
        ],
    )
    assert len(node.endpoints[endpoint(1)].established) == 1
    assert list(node.requests) == [7]
    node.step(3 * S, [AttemptEnded(7, 0, endpoint(1), True, S, Outcome.OK, ())])
    assert not node.requests
    assert not node.endpoints[endpoint(1)].established


def test_set_ups_out_at_once_stay_within_a_window_that_success_widens() -> None:
    node = balancer(8, window=8.0)
    now = 2 * S
    sends = only(node.step(now, [request(n) for n in range(300)]), Send)
    assert len(sends) == 8
    out = []
    for _ in range(6):
        now += 50 * MS
        node.step(now, [ConnectionEstablished(s.request_id, 0, s.endpoint, 50 * MS) for s in sends])
        sends = only(node.step(now, [TimerFired(1 << 16)]), Send)
        out.append(len(sends))
    assert out[0] == 16
    assert out[1] == 32
    assert sum(out) + 8 == 300


def test_a_jammed_store_narrows_the_window_and_ends_early_time_outs() -> None:
    node = balancer(8, window=64.0)
    now = 2 * S
    for number in range(200):  # errors, whatever the endpoint
        now += 20 * MS
        for send in only(node.step(now, [request(number)]), Send):
            node.step(now + MS, [ended(send, 0, Outcome.ERROR, MS), RequestWithdrawn(number)])
    sends = only(node.step(now + S, [request(1000 + n) for n in range(40)]), Send)
    assert 1 <= len(sends) <= 8
    assert all(send.timeout_ns == 2 * S for send in sends)  # else the store works for nobody
    node.step(now + 2 * S, [ConnectionEstablished(s.request_id, 0, s.endpoint, S) for s in sends])
    assert node.lifecycle.concurrency_limit.limit <= 8
    assert node.requests.setups_in_flight == 0


def crowd(node: object, connections: int) -> list[ConnectionEstablished]:
    # type: ignore[attr-defined]
    sends = only(node.step(2 * S, [request(n, group=n + 1) for n in range(connections)]), Send)
    stands = [ConnectionEstablished(s.request_id, 0, s.endpoint, MS) for s in sends]
    node.step(2 * S + MS, stands)  # type: ignore[attr-defined]
    return stands


def test_moves_off_a_hot_endpoint_are_few_and_need_a_better_one() -> None:
    node = balancer(4)
    stands = crowd(node, 200)
    hot = stands[0].endpoint
    own = len(node.endpoints[hot].established)
    moves = only(node.step(3 * S, [ConnectionNote(stands[0].request_id, 0, hot, SLOW_NOTE, 45.0)]), Migrate)
    assert 0 < len(moves) <= own * 0.05 + 1
    alone = balancer(1)
    stands = crowd(alone, 50)
    assert not only(alone.step(3 * S, [ConnectionNote(0, 0, endpoint(0), SLOW_NOTE, 45.0)]), Migrate)


def test_when_most_endpoints_are_late_the_same_keys_are_shed_at_every_node() -> None:
    shed: list[set[int]] = []
    for seed in (1, 2):
        node = balancer(6, seed=seed)
        stands = crowd(node, 120)
        by_endpoint = {s.endpoint: s.request_id for s in stands}
        now = 3 * S
        for _ in range(4):
            now += S
            node.step(now, [ConnectionNote(r, 0, h, SLOW_NOTE, 500.0) for h, r in by_endpoint.items()])
        refused = only(node.step(now + MS, [request(500 + n, group=n + 1) for n in range(300)]), Reject)
        assert 150 < len(refused) < 280
        assert all(r.retry_after_ns > 0 for r in refused)
        shed.append({r.request_id for r in refused})
    assert shed[0] == shed[1]


def test_a_lost_zone_is_not_found_out_endpoint_by_endpoint() -> None:
    node = balancer(30)
    stands = crowd(node, 300)
    lost = [s for s in stands if node.endpoints[s.endpoint].zone == 1]
    broken = [AttemptEnded(s.request_id, 0, s.endpoint, True, S, Outcome.RESET, ()) for s in lost]
    unused = entry(31, zone=1)
    node.step(3 * S, [listed(unused, form=ListForm.DELTA), *broken])
    sends = only(node.step(3 * S + MS, [request(1000 + n) for n in range(200)]), Send)
    assert len(sends) == 200
    assert all(node.endpoints[s.endpoint].zone != 1 for s in sends)


def test_drops_of_one_overloaded_endpoint_do_not_condemn_its_zone() -> None:
    node = balancer(30)
    stands = crowd(node, 300)
    jammed = next(s.endpoint for s in stands if node.endpoints[s.endpoint].zone == 1)
    broken = [
        AttemptEnded(s.request_id, 0, s.endpoint, True, S, Outcome.RESET, ())
        for s in stands
        if s.endpoint == jammed
    ]
    node.step(3 * S, broken)
    sends = only(node.step(3 * S + MS, [request(1000 + n) for n in range(200)]), Send)
    used = {s.endpoint for s in sends}
    assert jammed not in used
    assert any(node.endpoints[h].zone == 1 for h in used)


def probing(endpoints: int = 8) -> Balancer:
    return balancer(
        endpoints,
        allowed={"probing": True},
        report={"columns": ["outstanding", "x0"], "how": "pull"},
    )


def test_the_key_s_endpoint_is_probed_and_a_loaded_one_passed_over() -> None:
    node = probing()
    ranks = [h.id for h in node.ranking.ranked(key_hash(request(1)))]
    (check_health,) = only(node.step(2 * S, [request(1)]), HealthCheck)
    assert check_health.endpoint == ranks[0]
    (check_health,) = only(
        node.step(2 * S + MS, [HealthCheckResult(ranks[0], Outcome.OK, MS, (40.0, 1.2))]), HealthCheck
    )
    assert check_health.endpoint == ranks[1]
    (send,) = only(
        node.step(2 * S + 2 * MS, [HealthCheckResult(ranks[1], Outcome.OK, MS, (20.0, 0.4))]), Send
    )
    assert send.endpoint == ranks[1]


@pytest.mark.parametrize(
    "report", [(), (1.0,), (float("nan"), float("nan")), (1.0, -3.0), (1.0, float("inf"))]
)
def test_an_empty_or_absurd_report_counts_as_an_answer_and_no_more(report: tuple[float, ...]) -> None:
    node = probing()
    (check_health,) = only(node.step(2 * S, [request(1)]), HealthCheck)
    actions = node.step(2 * S + MS, [HealthCheckResult(check_health.endpoint, Outcome.OK, MS, report)])
    assert [s.endpoint for s in only(actions, Send)] == [check_health.endpoint]
    assert not only(actions, HealthCheck)


def test_a_health_check_that_goes_unanswered_holds_a_request_only_briefly() -> None:
    node = probing()
    now = 2 * S
    actions = node.step(now, [request(1)])
    (silent,) = only(actions, HealthCheck)
    while not only(actions, HealthCheck) or only(actions, HealthCheck)[0] == silent:
        now += 50 * MS
        assert now < 2 * S + 300 * MS
        actions = node.step(now, [TimerFired(1 << 16)])
    (check_health,) = only(actions, HealthCheck)
    (send,) = only(
        node.step(now + MS, [HealthCheckResult(check_health.endpoint, Outcome.OK, MS, (3.0, 0.1))]),
        Send,
    )
    assert send.endpoint == check_health.endpoint != silent.endpoint


def peers(node_number: int = 0) -> Balancer:
    return balancer(8, balancers=5, myNumber=node_number, allowed={"peerMessages": True})


def test_two_voices_make_an_endpoint_hung_and_its_connections_leave() -> None:
    node = peers()
    stands = crowd(node, 200)
    hung = stands[0].endpoint
    own = len(node.endpoints[hung].established)
    assert not only(node.step(3 * S, [PeerMessage(1, b"s" + hung)]), Migrate)
    assert not only(node.step(3 * S + MS, [PeerMessage(1, b"s" + hung)]), Migrate)
    late = request(900, group=stands[0].request_id + 1)
    actions = node.step(3 * S + 2 * MS, [PeerMessage(2, b"s" + hung), late])
    assert hung not in {send.endpoint for send in only(actions, Send)}
    moved = 0
    now = 3 * S
    for _ in range(400):
        if not (timers := only(actions, SetTimer)):
            break
        now += timers[0].delay_ns
        actions = node.step(now, [TimerFired(timers[0].token)])
        moved += len(only(actions, Migrate))
    assert moved >= own // 3


def test_a_connect_failure_is_told_once_and_damaged_messages_are_ignored() -> None:
    node = peers()
    (send,) = only(node.step(2 * S, [request(1)]), Send)
    actions = node.step(2 * S + MS, [ended(send, 0, Outcome.CONNECT_FAILED)])
    assert only(actions, SendPeerMessage) == [SendPeerMessage(ALL_PEERS, b"s" + send.endpoint)]
    other = next(h for h in node.endpoints if h != send.endpoint)
    for sender, data in (
        (1, b""),
        (1, b"s"),
        (1, b"q" + other),
        (77, b"s" + other),
        (0, b"s" + other),
        (2, b"s" + other[:4]),
    ):
        node.step(2 * S + 2 * MS, [PeerMessage(sender, data)])
    assert not node.endpoints[other].unresponsive_reports
    assert not len(node.migration)


def test_admitted_connections_leave_a_late_endpoint_once_others_are_well() -> None:
    node = balancer(10)
    stands = crowd(node, 300)
    node.admission.load_shedding.admitted_share = 0.5  # still shedding after a jam
    hot = stands[0].endpoint
    for _ in range(40):  # first it lets go of what is not admitted, then of the rest
        node.step(node.now + S, [ConnectionNote(stands[0].request_id, 0, hot, SLOW_NOTE, 500.0)])
        if not node.endpoints[hot].established:
            break
        if all(node.admission.admits(item.request) for item in node.endpoints[hot].established.values()):
            before = len(node.endpoints[hot].established)
            moves = only(node.step(node.now + S, [ConnectionNote(0, 0, hot, SLOW_NOTE, 60.0)]), Migrate)
            assert moves
            assert len(moves) <= before * 0.15 + 1
            return
    raise AssertionError("the host never came down to its admitted connections")


def test_an_endpoint_whose_errors_others_do_not_share_is_passed_over() -> None:
    # One that called everything an error went on getting the first attempt of all its keys.
    node = balancer(8)
    for number in (1, 2):
        (first,) = only(node.step(2 * S, [request(number, key=5)]), Send)
        (second,) = only(node.step(2 * S, [ended(first, 0, Outcome.ERROR)]), Send)
        node.step(2 * S + MS, [ConnectionEstablished(number, 1, second.endpoint, MS)])
    (again,) = only(node.step(2 * S + 2 * MS, [request(3, key=5)]), Send)
    assert second.endpoint == again.endpoint != first.endpoint


def test_what_two_endpoints_call_an_error_is_the_request_s_own_fault() -> None:
    node = balancer(8)
    (first,) = only(node.step(2 * S, [request(1)]), Send)
    (second,) = only(node.step(2 * S, [ended(first, 0, Outcome.ERROR)]), Send)
    assert node.step(2 * S, [ended(second, 1, Outcome.ERROR)]) == [Fail(1)]
    (again,) = only(node.step(2 * S + MS, [request(2, key=1001)]), Send)
    assert again.endpoint == first.endpoint


def test_an_error_is_not_asked_for_again_where_it_came_from() -> None:
    # With the other endpoints passed over, a request went back to the one that erred, which failed it for
    # good.
    node = balancer(2)
    (first,) = node.step(2 * S, [request(1)])
    other = next(h for h in node.endpoints.values() if h.id != first.endpoint)
    other.over_objective_until = 3 * S
    assert not only(node.step(2 * S, [ended(first, 0, Outcome.ERROR)]), Send)
    other.over_objective_until = 0
    (second,) = only(node.step(2 * S + 50 * MS, [TimerFired(TICK_TOKEN)]), Send)
    assert second.endpoint == other.id
