"""Where groups stand when room is short: bounded for each host, alike at all nodes, and better in sum."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import numpy as np
import pytest
from conftest import MS, S, entry, host, listed
from fleet import Fleet
from hypothesis import given
from hypothesis import strategies as st

from linnetshift import interface as api
from linnetshift.coordination import places as reckoning
from linnetshift.coordination.places import DOUBT, MET, Hosts, Places, fleet_total, load_of_one, spread
from linnetshift.coordination.rendezvous import host_hash


@given(
    st.lists(st.tuples(st.integers(1, 99), st.floats(0.1, 90.0)), max_size=12, unique_by=lambda one: one[0]),
    st.lists(st.floats(0.0, 40.0), min_size=1, max_size=8),
    st.floats(0.5, 6.0),
)
def test_no_host_is_given_more_than_its_room(
    sizes: list[tuple[int, float]], rooms: list[float], cost: float
) -> None:
    placed = spread(
        sizes, rooms, lambda group: sorted(range(len(rooms)), key=lambda at: (group * 7 + at) % 5), cost
    )
    given_to = Counter[int]()
    for group, need in sizes:
        places = placed.get(group, [])
        assert len({place.host for place in places}) == len(places)
        assert sum(place.part for place in places) <= need + 1e-6
        for place in places:
            given_to[place.host] += place.part + cost  # type: ignore[assignment]
    assert all(asked <= rooms[at] + 1e-6 for at, asked in given_to.items())
    if any(room > 2 * cost for room in rooms) and sizes:
        assert sizes[0][0] in placed  # the largest, first in the order, finds a place where there is one


def made(met: list[int], quota: float = 2000.0, own: int = 3) -> Places:
    hosts = Hosts(
        [2.0 + at % 3 for at in range(30)],
        np.array([host_hash(host(at)) for at in range(30)], dtype=np.uint64),
        np.array([1.0 / (2.0 + at % 3) for at in range(30)]),
    )
    places = Places()
    for group in met:
        places.meet(group)
    places.make(hosts, 0, hosts, [], reckoning.Fleet(own, 100, quota))
    return places


def test_nodes_that_met_the_same_groups_have_the_same_places_in_whatever_order() -> None:
    met = [1] * 5 + [2] * 3 + [3] * 2 + [4, 5]
    shuffled = random.Random(3).sample(met, len(met))
    assert made(met).plan == made(shuffled).plan
    # And one that has met other small groups still sends most clients of the largest to the same hosts.
    other = made([1] * 5 + [2] * 3 + [3] + [6, 7, 8])
    same = sum(
        made(met).order(1, draw / 100)[0] == other.order(1, draw / 100)[0] for draw in range(0, 100, 5)
    )
    assert same >= 15


def test_a_larger_group_has_more_places_and_one_sighting_is_no_size() -> None:
    plan = made([1] * 12 + [2] * 4 + [3]).plan
    assert len(plan[1]) > len(plan[2]) >= len(plan[3]) >= 1
    assert dict(made([9]).sizes(600.0))[9] == pytest.approx(600.0 / (1 + DOUBT))


def test_only_the_last_arrivals_count() -> None:
    places = made([1] * MET + [2] * MET)
    assert dict(places.counts) == {2: MET} and len(places.met) == MET


@pytest.mark.parametrize("proxies", [2, 200])
def test_a_count_of_few_leaves_the_total_near_the_usual(proxies: int) -> None:
    usual = 3.0 * proxies
    assert fleet_total(3.0, proxies, usual) == pytest.approx(usual)
    assert usual / 3 < fleet_total(0.0, proxies, usual) < usual < fleet_total(9.0, proxies, usual) < usual * 3
    assert fleet_total(300.0, proxies, usual) > 0.5 * 300 * proxies
    assert fleet_total(4.0, proxies, 0.0) == 4 * proxies


@pytest.mark.parametrize(
    "told, quota, one",
    [([], 0.0, 0.0), ([], 100.0, 0.5), ([0.1] * 4, 0.0, 0.1), ([0.1] * 4, 100.0, 0.3)],
)
def test_what_one_connection_takes(told: list[float], quota: float, one: float) -> None:
    assert load_of_one(told, quota, 50.0) == pytest.approx(one)


LOAD, COST = 80_000.0, 0.4  # of a connection in microseconds a second, and of a group in cores
ZONES, HOSTS = 4, 60


def served(draining: int, seed: int) -> tuple[float, int]:
    """The share of 500 connections at hosts that are not full, and the places of all groups together."""
    rng = random.Random(seed)
    sizes = [rng.choice((2.0, 2.5, 4.5)) for _ in range(HOSTS)]
    hosts = tuple(
        entry(n, zone=n % ZONES, weight=sizes[n], state=api.HostState.DRAINING if n < draining else 0)
        for n in range(HOSTS)
    )
    quotas = {"familyInfo": {"messageAimNs": [60 * MS], "tenantQuotaConnections": [sum(sizes) / 0.08]}}
    fleet = Fleet(200, hosts, tenants=[{"name": "a"}], fees={"crossZone": 0.13}, **quotas)
    for n, node in enumerate(fleet.nodes):
        node.configure(replace(node.settings, zone=n % ZONES))
    groups = rng.choices(range(1, 26), [1 / n for n in range(1, 26)], k=2000)
    where: dict[int, bytes] = {}
    for at, group in enumerate(groups):
        # The first are another time's, of which the nodes know only that they came by.
        number = fleet.ask(rng.randrange(200), key=rng.randrange(1 << 60), group=group)
        fleet.run(fleet.now + 2 * MS)
        node, sent = next((node, sent) for _, node, request, sent in fleet.sends[-1:] if request == number)
        if at < 1500:
            done = api.AttemptEnded(number, 0, sent, True, 0, api.Outcome.OK, ())
            fleet.tell(node, done)
        else:
            where[number] = sent
            fleet.tell(node, api.Note(number, 0, sent, api.LOAD_NOTE, LOAD))
    held = Counter(where.values())
    pairs = {(groups[number - 1], sent) for number, sent in where.items()}
    costs = Counter(sent for _, sent in pairs)
    sound = {
        host(n) for n in range(HOSTS) if held[host(n)] * LOAD / 1e6 + COST * costs[host(n)] < 0.9 * sizes[n]
    }
    return sum(count for sent, count in held.items() if sent in sound) / len(where), len(pairs)


def test_while_room_is_short_200_nodes_fill_hosts_better_without_a_word(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # In roll 13 of 46 hosts came to hold 60% of all connections and served next to none of them.
    seeds = range(1, 5)
    now = [served(9, seed)[0] for seed in seeds]
    monkeypatch.setattr("linnetshift.policy.SCARCE", 0.0)
    before = [served(9, seed)[0] for seed in seeds]
    assert sum(now) > sum(before) + 0.1, (now, before)


def test_while_there_is_room_each_zone_keeps_its_own_place() -> None:
    fleet = Fleet(40, tuple(entry(n) for n in range(8)), fees={"crossZone": 0.13})
    for n, node in enumerate(fleet.nodes):
        node.configure(replace(node.settings, zone=n % 3))
        fleet.ask(n, key=n + 1, group=7)
    fleet.run(fleet.now + 1 * S)
    assert not any(node.scarce for node in fleet.nodes)
    fleet.tell_all(
        listed(*(entry(n, state=api.HostState.DRAINING) for n in range(2)), form=api.ListForm.DELTA)
    )
    for n in range(40):
        fleet.ask(n, key=n + 100, group=7)
    assert all(node.scarce for node in fleet.nodes)
    late = {where for _, _, number, where in fleet.sends if number > 40}
    early = {where for _, _, number, where in fleet.sends if number <= 40}
    assert len(late) < len(early) and len(early) >= 2
