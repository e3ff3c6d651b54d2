"""The list of endpoints, pushed and asked for, and what its changes bind a node to."""

from __future__ import annotations

from conftest import MS, S, balancer, ended, endpoint, entry, listed, only, raw_settings, request

from linnetshift.routing.actions import Send, SetTimer, Watch
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import (
    MID_FLOW,
    ConnectionEstablished,
    EndpointEntry,
    EndpointState,
    ListForm,
    Outcome,
    TimerFired,
)
from linnetshift.routing.pending_requests import key_hash
from linnetshift.routing.settings import Settings


def ready(node: Balancer) -> set[bytes]:
    return {h.id for h in node.endpoints.values() if h.state == EndpointState.READY}


def test_a_full_list_takes_the_absent_away_and_a_delta_does_not() -> None:
    node = balancer(5)
    node.step(2 * S, [listed(entry(1), entry(2))])
    assert ready(node) == {endpoint(1), endpoint(2)}
    node.step(3 * S, [listed(entry(9), form=ListForm.DELTA)])
    assert ready(node) == {endpoint(1), endpoint(2), endpoint(9)}


def test_draining_and_gone_endpoints_get_nothing_new() -> None:
    node = balancer(6)
    node.step(
        2 * S,
        [
            listed(
                entry(1, state=EndpointState.DRAINING),
                entry(2, state=EndpointState.REMOVED),
                form=ListForm.DELTA,
            )
        ],
    )
    sends = only(node.step(2 * S + MS, [request(n) for n in range(200)]), Send)
    assert len(sends) == 200
    assert not {s.endpoint for s in sends} & {endpoint(1), endpoint(2)}


def test_an_endpoint_may_come_back_and_restarts_are_seen() -> None:
    node = balancer(3)
    node.step(2 * S, [listed(entry(1, state=EndpointState.REMOVED), form=ListForm.DELTA)])
    assert endpoint(1) not in ready(node)
    node.step(3 * S, [listed(entry(1, started_ns=3 * S), form=ListForm.DELTA)])
    assert endpoint(1) in ready(node)
    assert node.endpoints.warm_up_factor(node.endpoints[endpoint(1)]) == 0.25
    node.step(20 * S, [])
    assert node.endpoints.warm_up_factor(node.endpoints[endpoint(1)]) == 1.0


def test_endpoints_that_are_gone_leave_nothing_behind() -> None:
    node = balancer(0)
    for number in range(300):
        node.step((2 + number) * S, [listed(entry(number), entry(number + 1))])
    assert len(node.endpoints) == 2


def test_a_gone_endpoint_stays_known_while_a_connection_stands_there() -> None:
    node = balancer(1)
    (send,) = node.step(2 * S, [request(1)])
    node.step(2 * S + MS, [ConnectionEstablished(1, 0, send.endpoint, MS), listed(entry(5))])
    assert endpoint(0) in node.endpoints
    node.step(3 * S, [ended(send, 0, Outcome.RESET, S, closed=True), listed(entry(5))])
    assert endpoint(0) not in node.endpoints


def test_asking_starts_at_once_and_backs_off_with_jitter() -> None:
    first_waits = set()
    for seed in range(6):
        node = Balancer(Settings.parse(raw_settings(discovery="ask")), seed)
        actions = node.step(S, [listed(entry(1), form=ListForm.CACHED)])
        assert only(actions, Watch) == [Watch(True)]
        waits = []
        now = S
        for _ in range(8):
            now += S
            (timer,) = only(node.step(now, [listed(form=ListForm.FAILED)]), SetTimer)
            waits.append(timer.delay_ns)
            assert only(node.step(now + timer.delay_ns, [TimerFired(timer.token)]), Watch)
        assert max(waits) <= 8 * S
        assert sum(waits[4:]) > sum(waits[:4])
        assert ready(node) == {endpoint(1)}
        first_waits.add(waits[0])
    assert len(first_waits) == 6


def test_pushed_lists_need_no_asking() -> None:
    node = Balancer(Settings.parse(raw_settings()), 1)
    assert node.step(S, [listed(entry(1), form=ListForm.CACHED)]) == []


def test_mid_flow_packets_seek_a_draining_holder_only_within_the_grace() -> None:
    node = balancer(6)
    packet = request(1, group=5, flags=MID_FLOW)
    holder = next(node.ranking.ranked(key_hash(packet)))
    drained = EndpointEntry(holder.id, 0, 0, 0, EndpointState.DRAINING, 1.0, 0)
    node.step(2 * S, [listed(drained, form=ListForm.DELTA)])
    (send,) = only(node.step(2 * S + 100 * MS, [packet]), Send)
    assert send.endpoint == holder.id
    (send,) = only(node.step(2 * S + 600 * MS, [packet._replace(request_id=2)]), Send)
    assert send.endpoint != holder.id
    (send,) = only(node.step(2 * S + 100 * MS, [request(3, group=5)]), Send)
    assert send.endpoint != holder.id


def test_the_grace_is_not_renewed_by_further_words_of_the_same_drain() -> None:
    node = balancer(6)
    packet = request(1, group=5, flags=MID_FLOW)
    holder = next(node.ranking.ranked(key_hash(packet)))
    drained = EndpointEntry(holder.id, 0, 0, 0, EndpointState.DRAINING, 1.0, 0)
    for ms in (0, 200, 400, 600):
        node.step(2 * S + ms * MS, [listed(drained, form=ListForm.DELTA)])
    (send,) = only(node.step(2 * S + 601 * MS, [packet]), Send)
    assert send.endpoint != holder.id


def test_a_cold_endpoint_is_spared_when_a_wave_returns() -> None:
    node = balancer(4)
    now = 2 * S
    for number in range(100):  # ten connections a second in ordinary times
        now += 100 * MS
        for send in only(node.step(now, [request(number)]), Send):
            node.step(now + MS, [ConnectionEstablished(number, 0, send.endpoint, MS)])
    node.step(now, [listed(entry(1, started_ns=now), form=ListForm.DELTA)])
    wave = only(node.step(now + 100 * MS, [request(1000 + n) for n in range(400)]), Send)
    assert len(wave) >= 390
    assert sum(send.endpoint == endpoint(1) for send in wave) <= 1
    to_cold = 0
    for step in range(20):  # two further seconds of it
        now += 100 * MS
        sends = only(node.step(now, [request(2000 + 100 * step + n) for n in range(50)]), Send)
        to_cold += sum(send.endpoint == endpoint(1) for send in sends)
    # A warm endpoint of its size holds 25 of the first hundred and 125 of the wave's five hundred. Filling
    # that over the warm-up is 12.5 a second; a quarter to two fifths of it now, times 3, halved for safety.
    assert 1 <= to_cold <= 2 * 12.5 * 0.43 * 3 * 0.5


def test_a_restarted_endpoint_starts_without_the_old_process_s_marks() -> None:
    # Back after a crash, it went on being passed over while the others were crowded.
    node = balancer(3)
    (first,) = only(node.step(2 * S, [request(1, key=5)]), Send)
    node.step(2 * S, [ended(first, 0, Outcome.CONNECT_FAILED)])
    assert node.selection.is_avoided(node.endpoints[first.endpoint], node.settings.classes[0])
    back = node.endpoints[first.endpoint]
    again = EndpointEntry(back.id, back.zone, 0, back.cell, EndpointState.READY, 1.0, 2 * S)
    node.step(2 * S + MS, [listed(again, form=ListForm.DELTA)])
    assert not node.selection.is_avoided(back, node.settings.classes[0])
