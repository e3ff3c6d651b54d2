"""Ranking of endpoints by weighted rendezvous hashing."""

from __future__ import annotations

import numpy as np
import pytest
from conftest import S, endpoint, entry, listed, only, raw_settings, request
from conftest import balancer as make_balancer
from routing_parts import Parts

from linnetshift.routing.actions import Send
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import EndpointState, ListForm
from linnetshift.routing.rendezvous_hashing import HASH_MASK, endpoint_costs, mix64
from linnetshift.routing.settings import Settings


def first_endpoints(balancer: Balancer, keys: range) -> dict[int, bytes]:
    return {key: next(balancer.ranking.ranked(mix64(key))).id for key in keys}


def test_shares_follow_listed_weights() -> None:
    balancer = make_balancer(0)
    balancer.step(2 * S, [listed(entry(1, weight=1.0), entry(2, weight=2.0), entry(3, weight=5.0))])
    keys = range(1, 8001)
    chosen = list(first_endpoints(balancer, keys).values())
    for number, share in ((1, 1 / 8), (2, 2 / 8), (3, 5 / 8)):
        # five standard deviations of a binomial distribution
        bound = 5 * (share * (1 - share) / len(keys)) ** 0.5
        assert abs(chosen.count(endpoint(number)) / len(keys) - share) < bound


def test_sequential_keys_are_spread_evenly() -> None:
    chosen = list(first_endpoints(make_balancer(16), range(1, 16001)).values())
    counts = [chosen.count(endpoint(n)) for n in range(16)]
    bound = 5 * (16000 * (1 / 16) * (15 / 16)) ** 0.5
    assert all(abs(count - 1000) < bound for count in counts)


def test_removed_endpoint_moves_only_its_own_keys() -> None:
    balancer = make_balancer(10)
    before = first_endpoints(balancer, range(1, 2001))
    balancer.step(2 * S, [listed(entry(4, state=EndpointState.REMOVED), form=ListForm.DELTA)])
    after = first_endpoints(balancer, range(1, 2001))
    assert all(after[key] == before[key] for key in before if before[key] != endpoint(4))
    assert endpoint(4) not in after.values()


def test_added_endpoint_takes_keys_and_moves_none_between_others() -> None:
    balancer = make_balancer(10)
    before = first_endpoints(balancer, range(1, 2001))
    balancer.step(2 * S, [listed(entry(50), form=ListForm.DELTA)])
    after = first_endpoints(balancer, range(1, 2001))
    assert {after[key] for key in before if after[key] != before[key]} == {endpoint(50)}


def test_ranking_does_not_depend_on_the_order_of_the_list() -> None:
    first, second = make_balancer(0, seed=1), make_balancer(0, seed=2)
    entries = [entry(n) for n in range(12)]
    first.step(2 * S, [listed(*entries)])
    second.step(2 * S, [listed(*entries[:5], form=ListForm.CACHED)])
    second.step(3 * S, [listed(*reversed(entries))])
    assert first_endpoints(first, range(1, 500)) == first_endpoints(second, range(1, 500))


def test_invalid_weights_count_as_one() -> None:
    balancer = make_balancer(0)
    invalid = [
        entry(1, weight=float("nan")),
        entry(2, weight=0.0),
        entry(3, weight=-4.0),
        entry(4, weight=float("inf")),
    ]
    balancer.step(2 * S, [listed(*invalid, entry(5))])
    chosen = list(first_endpoints(balancer, range(1, 5001)).values())
    assert all(800 < chosen.count(endpoint(n)) < 1200 for n in range(1, 6))


def test_costs_are_finite_and_positive_for_extreme_hashes() -> None:
    for key in (0, 1, HASH_MASK):
        key_costs = endpoint_costs(key, np.array([0, 1, HASH_MASK, (key * 3) & HASH_MASK], dtype=np.uint64))
        assert np.all(np.isfinite(key_costs))
        assert np.all(key_costs > 0.0)


def test_group_members_share_an_endpoint_and_client_key_is_used_without_group() -> None:
    balancer = make_balancer(20)
    sends = only(balancer.step(2 * S, [request(n, group=77) for n in range(5)]), Send)
    assert len({send.endpoint for send in sends}) == 1
    sends = only(balancer.step(3 * S, [request(10 + n, key=5) for n in range(5)]), Send)
    assert len({send.endpoint for send in sends}) == 1


def test_requests_without_key_are_spread() -> None:
    balancer = make_balancer(20)
    sends = only(balancer.step(2 * S, [request(n, key=0) for n in range(1, 60)]), Send)
    assert len({send.endpoint for send in sends}) > 10


def test_share_of_an_endpoint_in_slow_start_grows() -> None:
    balancer = Balancer(Settings.parse(raw_settings()), 1)
    balancer.step(100 * S, [listed(*(entry(n) for n in range(9)), entry(9, started_ns=100 * S))])
    shares = []
    for now in (100, 105, 111):
        balancer.step(now * S, [])
        shares.append(list(first_endpoints(balancer, range(1, 3001)).values()).count(endpoint(9)))
    assert shares[0] < 130 < shares[1] < shares[2]
    assert 230 < shares[2] < 370


def test_candidates_are_rebuilt_after_list_update_and_at_each_warm_up_step() -> None:
    parts = Parts(endpoints=2)
    candidates = parts.ranking.candidates()
    parts.begin_step(500 * S)
    assert parts.ranking.candidates() is candidates
    parts.endpoints.apply(listed(entry(0), entry(1, started_ns=500 * S)))
    parts.ranking.invalidate()
    candidates = parts.ranking.candidates()
    assert candidates.total_capacity == 1.25
    assert candidates.valid_until == 500 * S + 10 * S // 16
    assert parts.slow_start.shares == {endpoint(1): 0.25 / 1.25}
    parts.begin_step(candidates.valid_until - 1)
    assert parts.ranking.candidates() is candidates
    parts.begin_step(candidates.valid_until)
    assert parts.ranking.candidates() is not candidates


def test_slow_start_rate_includes_connections_of_the_predecessor() -> None:
    for predecessor, rate in ((0, 0.5 * 3.0 * 7 / 0.7 / 10), (7, 0.5 * 3.0 * 14 / 0.7 / 10)):
        parts = Parts(endpoints=1)
        for number in range(7):
            parts.connection(number, parts.endpoint(0))
        parts.ranking.peer_connections = predecessor
        parts.ranking.candidates()
        assert parts.slow_start.tokens_per_s == pytest.approx(rate)
