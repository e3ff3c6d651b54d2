"""Attempts whose answer is late, where no other endpoint could serve the request and where one could."""

from __future__ import annotations

import threading
import time
from pathlib import Path

import pytest
from conftest import MS, S, effect, endpoint, entry, listed, only, request, single_send
from conftest import balancer as make_balancer
from connections import PeerConnection
from proxy_harness import started_proxy
from running_proxy import RunningProxy

from linnetshift.routing.actions import Action, Cancel, Send
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import (
    AttemptEnded,
    ConnectionEstablished,
    EndpointState,
    EndpointSuspension,
    Outcome,
    TimerFired,
)
from linnetshift.routing.tick_timer import TICK_TOKEN

LATE_S = 0.6
"""Time to an answer, in seconds: above the latency objective of 0.4 s, well below the deadline."""


def answer_late(running: RunningProxy, attempts: int) -> list[PeerConnection]:
    """Answer this many attempts late; returns the list to which their connections are added."""
    accepted: list[PeerConnection] = []

    def answer_one() -> None:
        connection = running.endpoints[0].accept()
        accepted.append(connection)
        time.sleep(LATE_S)
        connection.send(b"UP r1\r\n")

    for _ in range(attempts):
        threading.Thread(target=answer_one, daemon=True).start()
    return accepted


def test_late_answer_of_the_only_endpoint_is_used(tmp_path: Path) -> None:
    # The attempt was given up after 0.4 s, so its answer was lost.
    with started_proxy(tmp_path) as running:
        client = running.open()
        time.sleep(LATE_S)
        running.endpoints[0].serve()
        assert client.line() == b"UP r1\r\n"


def test_only_endpoint_gets_the_request_once_if_it_answers_late(tmp_path: Path) -> None:
    with started_proxy(tmp_path) as running:
        accepted = answer_late(running, attempts=4)
        client = running.open()
        sent_s = time.monotonic()
        assert client.line() == b"UP r1\r\n"
        assert time.monotonic() - sent_s < 2 * LATE_S
        assert len(accepted) == 1


def test_request_goes_to_an_endpoint_that_becomes_ready_while_the_other_one_hangs(
    tmp_path: Path,
) -> None:
    with started_proxy(tmp_path, endpoints=2) as running:
        hanging, other = running.endpoints
        running.discovery.change(**{other.uid: "DRAINING"})
        running.logged("event=endpoint-list-received form=full rev=2")
        client = running.open()
        unanswered = hanging.accept()
        time.sleep(LATE_S)
        running.discovery.change(**{other.uid: "SERVING"})
        other.serve()
        assert client.line() == b"UP r1\r\n"
        unanswered.close()


def test_unanswered_request_is_sent_again_once_the_endpoint_answers_a_later_one(
    tmp_path: Path,
) -> None:
    with started_proxy(tmp_path) as running:
        (only_endpoint,) = running.endpoints
        first_client = running.open()
        unanswered = only_endpoint.accept()
        second_client = running.open()
        only_endpoint.serve()
        assert second_client.line() == b"UP r1\r\n"
        only_endpoint.serve()
        assert first_client.line() == b"UP r1\r\n"
        unanswered.close()


def tick(balancer: Balancer, now_ns: int) -> list[Action]:
    return balancer.step(now_ns, [TimerFired(TICK_TOKEN)])


def established(sent: Send, elapsed_ns: int) -> ConnectionEstablished:
    return ConnectionEstablished(sent.request_id, 0, sent.endpoint, elapsed_ns)


def send_one(balancer: Balancer, now_ns: int, number: int) -> Send:
    (sent,) = only(balancer.step(now_ns, [request(number)]), Send)
    assert isinstance(sent, Send)
    return sent


def test_attempt_may_take_the_whole_budget_only_if_no_other_endpoint_could_serve_the_request() -> None:
    alone = make_balancer(1)
    assert send_one(alone, 2 * S, 1).timeout_ns == 2 * S
    assert send_one(make_balancer(2), 2 * S, 1).timeout_ns == 400 * MS


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_endpoints_that_are_not_ready_are_no_alternative(state: EndpointState) -> None:
    balancer = make_balancer(3)
    balancer.step(1 * S, [listed(entry(0), entry(1, state=state), entry(2, state=state))])
    assert send_one(balancer, 2 * S, 1).timeout_ns == 2 * S


def test_suspended_and_overloaded_endpoints_are_no_alternative() -> None:
    balancer = make_balancer(3)
    balancer.step(1 * S, [EndpointSuspension(endpoint(1), is_suspended=True)])
    balancer.outlier_detection.record_failure(balancer.endpoints[endpoint(2)], is_overload=True)
    assert send_one(balancer, 1 * S, 1).timeout_ns == 2 * S


def test_late_attempt_is_cancelled_once_another_endpoint_can_serve_the_request() -> None:
    balancer = make_balancer(1)
    sent = send_one(balancer, 2 * S, 1)
    balancer.step(2 * S + 100 * MS, [listed(entry(0), entry(1))])
    assert only(tick(balancer, 2 * S + 399 * MS), Cancel) == []
    assert only(tick(balancer, 2 * S + 400 * MS), Cancel) == [Cancel(1, 0)]
    assert only(tick(balancer, 2 * S + 450 * MS), Cancel) == []
    ended = AttemptEnded(1, 0, sent.endpoint, False, 450 * MS, Outcome.CANCELLED, ())
    assert single_send(only(balancer.step(2 * S + 450 * MS, [ended]), Send)).endpoint == endpoint(1)


def test_late_attempt_is_not_cancelled_if_another_one_would_have_too_little_time() -> None:
    balancer = make_balancer(1)
    send_one(balancer, 2 * S, 1)
    balancer.step(3 * S + 601 * MS, [listed(entry(0), entry(1))])
    assert only(tick(balancer, 3 * S + 601 * MS), Cancel) == []


def test_late_attempt_is_not_cancelled_for_an_endpoint_outside_the_scope_of_its_key() -> None:
    balancer = make_balancer(1, **effect("by_key", "zone", windowNs=10 * S))
    send_one(balancer, 2 * S, 1)
    balancer.step(2 * S + 100 * MS, [listed(entry(0), entry(1, zone=1))])
    assert only(tick(balancer, 2 * S + 500 * MS), Cancel) == []


def test_late_attempt_is_not_cancelled_after_the_idempotency_window() -> None:
    balancer = make_balancer(1, **effect("by_key", "all", windowNs=1 * S))
    send_one(balancer, 2 * S, 1)
    balancer.step(2 * S + 900 * MS, [listed(entry(0), entry(1))])
    assert only(tick(balancer, 2 * S + 900 * MS), Cancel) == []


def test_answer_to_an_earlier_attempt_does_not_cancel_a_late_one() -> None:
    # Otherwise an endpoint that takes 0.6 s for each request would execute each of them several times.
    balancer = make_balancer(1)
    first = send_one(balancer, 2 * S, 1)
    send_one(balancer, 2 * S + 100 * MS, 2)
    balancer.step(2 * S + 600 * MS, [established(first, 600 * MS)])
    assert only(tick(balancer, 2 * S + 650 * MS), Cancel) == []


def test_late_attempt_is_cancelled_once_the_endpoint_has_accepted_a_later_one() -> None:
    balancer = make_balancer(1)
    send_one(balancer, 2 * S, 1)
    second = send_one(balancer, 2 * S + 100 * MS, 2)
    balancer.step(2 * S + 200 * MS, [established(second, 100 * MS)])
    assert only(tick(balancer, 2 * S + 400 * MS), Cancel) == [Cancel(1, 0)]


def test_other_requests_wait_for_a_half_open_attempt_at_most_for_the_latency_objective() -> None:
    balancer = make_balancer(1)
    sent = send_one(balancer, 2 * S, 1)
    refused = AttemptEnded(1, 0, sent.endpoint, False, MS, Outcome.CONNECT_FAILED, ())
    half_open = single_send(only(balancer.step(2 * S + 10 * MS, [refused]), Send))
    assert half_open.timeout_ns == 2 * S - 10 * MS
    assert only(balancer.step(2 * S + 20 * MS, [request(2)]), Send) == []
    assert only(tick(balancer, 2 * S + 409 * MS), Send) == []
    assert [send.request_id for send in only(tick(balancer, 2 * S + 410 * MS), Send)] == [2]
