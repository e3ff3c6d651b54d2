"""The balancer's handling of the endpoint list and its changes, pushed and polled."""

from __future__ import annotations

from conftest import MS, S, ended, endpoint, entry, listed, only, raw_settings, request, single_send
from conftest import balancer as make_balancer

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


def ready_endpoints(balancer: Balancer) -> set[bytes]:
    return {known.id for known in balancer.endpoints.values() if known.state == EndpointState.READY}


def test_full_list_removes_absent_endpoints_and_delta_does_not() -> None:
    balancer = make_balancer(5)
    balancer.step(2 * S, [listed(entry(1), entry(2))])
    assert ready_endpoints(balancer) == {endpoint(1), endpoint(2)}
    balancer.step(3 * S, [listed(entry(9), form=ListForm.DELTA)])
    assert ready_endpoints(balancer) == {endpoint(1), endpoint(2), endpoint(9)}


def test_draining_and_removed_endpoints_get_no_new_connections() -> None:
    balancer = make_balancer(6)
    balancer.step(
        2 * S,
        [
            listed(
                entry(1, state=EndpointState.DRAINING),
                entry(2, state=EndpointState.REMOVED),
                form=ListForm.DELTA,
            )
        ],
    )
    sends = only(balancer.step(2 * S + MS, [request(n) for n in range(200)]), Send)
    assert len(sends) == 200
    assert not {send.endpoint for send in sends} & {endpoint(1), endpoint(2)}


def test_relisted_endpoint_is_ready_and_restart_begins_warm_up() -> None:
    balancer = make_balancer(3)
    balancer.step(2 * S, [listed(entry(1, state=EndpointState.REMOVED), form=ListForm.DELTA)])
    assert endpoint(1) not in ready_endpoints(balancer)
    balancer.step(3 * S, [listed(entry(1, started_ns=3 * S), form=ListForm.DELTA)])
    assert endpoint(1) in ready_endpoints(balancer)
    assert balancer.endpoints.warm_up_factor(balancer.endpoints[endpoint(1)]) == 0.25
    balancer.step(20 * S, [])
    assert balancer.endpoints.warm_up_factor(balancer.endpoints[endpoint(1)]) == 1.0


def test_removed_endpoints_without_connections_are_forgotten() -> None:
    balancer = make_balancer(0)
    for number in range(300):
        balancer.step((2 + number) * S, [listed(entry(number), entry(number + 1))])
    assert len(balancer.endpoints) == 2


def test_removed_endpoint_is_kept_while_it_has_a_connection() -> None:
    balancer = make_balancer(1)
    send = single_send(only(balancer.step(2 * S, [request(1)]), Send))
    balancer.step(2 * S + MS, [ConnectionEstablished(1, 0, send.endpoint, MS), listed(entry(5))])
    assert endpoint(0) in balancer.endpoints
    balancer.step(3 * S, [ended(send, 0, Outcome.RESET, S, closed=True), listed(entry(5))])
    assert endpoint(0) not in balancer.endpoints


def test_polling_starts_at_once_and_backs_off_with_jitter() -> None:
    first_waits = set()
    for seed in range(6):
        balancer = Balancer(Settings.parse(raw_settings(discovery="ask")), seed)
        actions = balancer.step(S, [listed(entry(1), form=ListForm.CACHED)])
        assert only(actions, Watch) == [Watch(True)]
        waits = []
        now = S
        for _ in range(8):
            now += S
            (timer,) = only(balancer.step(now, [listed(form=ListForm.FAILED)]), SetTimer)
            waits.append(timer.delay_ns)
            assert only(balancer.step(now + timer.delay_ns, [TimerFired(timer.token)]), Watch)
        assert max(waits) <= 8 * S
        assert sum(waits[4:]) > sum(waits[:4])
        assert ready_endpoints(balancer) == {endpoint(1)}
        first_waits.add(waits[0])
    assert len(first_waits) == 6


def test_push_discovery_does_not_poll() -> None:
    balancer = Balancer(Settings.parse(raw_settings()), 1)
    assert balancer.step(S, [listed(entry(1), form=ListForm.CACHED)]) == []


def test_mid_flow_packets_reach_draining_endpoint_only_within_grace_period() -> None:
    balancer = make_balancer(6)
    packet = request(1, group=5, flags=MID_FLOW)
    first_ranked = next(balancer.ranking.ranked(key_hash(packet)))
    draining = EndpointEntry(first_ranked.id, 0, 0, 0, EndpointState.DRAINING, 1.0, 0)
    balancer.step(2 * S, [listed(draining, form=ListForm.DELTA)])
    (send,) = only(balancer.step(2 * S + 100 * MS, [packet]), Send)
    assert send.endpoint == first_ranked.id
    (send,) = only(balancer.step(2 * S + 600 * MS, [packet._replace(request_id=2)]), Send)
    assert send.endpoint != first_ranked.id
    (send,) = only(balancer.step(2 * S + 100 * MS, [request(3, group=5)]), Send)
    assert send.endpoint != first_ranked.id


def test_repeated_drain_updates_do_not_extend_grace_period() -> None:
    balancer = make_balancer(6)
    packet = request(1, group=5, flags=MID_FLOW)
    first_ranked = next(balancer.ranking.ranked(key_hash(packet)))
    draining = EndpointEntry(first_ranked.id, 0, 0, 0, EndpointState.DRAINING, 1.0, 0)
    for ms in (0, 200, 400, 600):
        balancer.step(2 * S + ms * MS, [listed(draining, form=ListForm.DELTA)])
    (send,) = only(balancer.step(2 * S + 601 * MS, [packet]), Send)
    assert send.endpoint != first_ranked.id


def test_reconnect_wave_sends_few_connections_to_endpoint_in_slow_start() -> None:
    balancer = make_balancer(4)
    now = 2 * S
    for number in range(100):  # ten connections per second in normal operation
        now += 100 * MS
        for send in only(balancer.step(now, [request(number)]), Send):
            balancer.step(now + MS, [ConnectionEstablished(number, 0, send.endpoint, MS)])
    balancer.step(now, [listed(entry(1, started_ns=now), form=ListForm.DELTA)])
    wave = only(balancer.step(now + 100 * MS, [request(1000 + n) for n in range(400)]), Send)
    assert len(wave) >= 390
    assert sum(send.endpoint == endpoint(1) for send in wave) <= 1
    to_restarted = 0
    for step in range(20):  # two further seconds of the wave
        now += 100 * MS
        sends = only(balancer.step(now, [request(2000 + 100 * step + n) for n in range(50)]), Send)
        to_restarted += sum(send.endpoint == endpoint(1) for send in sends)
    # A warm endpoint of its size gets 25 of the first 100 connections and 125 of the 500 of the wave. Spread
    # over the warm-up that is 12.5 per second; a quarter to two fifths of it now, times 3, halved for safety.
    assert 1 <= to_restarted <= 2 * 12.5 * 0.43 * 3 * 0.5


def test_restarted_endpoint_is_no_longer_avoided() -> None:
    # After a crash and a restart, an endpoint was still avoided while the others were overloaded.
    balancer = make_balancer(3)
    (first,) = only(balancer.step(2 * S, [request(1, key=5)]), Send)
    balancer.step(2 * S, [ended(first, 0, Outcome.CONNECT_FAILED)])
    failed = balancer.endpoints[first.endpoint]
    assert balancer.selection.is_avoided(failed, balancer.settings.classes[0])
    restarted = EndpointEntry(failed.id, failed.zone, 0, failed.cell, EndpointState.READY, 1.0, 2 * S)
    balancer.step(2 * S + MS, [listed(restarted, form=ListForm.DELTA)])
    assert not balancer.selection.is_avoided(failed, balancer.settings.classes[0])
