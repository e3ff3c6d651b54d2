"""Turns at cold hosts and the window: what one node does, and what all of them come to together."""

from __future__ import annotations

import math

import pytest
from conftest import MS, S, balancer, entry, host, listed, only, request
from hypothesis import given
from hypothesis import strategies as st

from linnetshift import interface as api
from linnetshift.coordination.turns import refilled, wait_ns
from linnetshift.coordination.window import LEAST, START, Window


@given(st.lists(st.integers(0, 20 * S), max_size=40), st.floats(0.0, 5.0))
def test_no_window_holds_more_turns_than_its_time_gives_and_one(gaps: list[int], rate: float) -> None:
    # One node takes whatever turns it has: n nodes at the fleet's rate over n keep to rate x time + n.
    level, now, spent = 1.0, 0, list[int]()
    for gap in gaps:
        level, now = refilled(level, rate, gap), now + gap
        while level >= 1.0:
            level -= 1.0
            spent.append(now)
    for first, at in enumerate(spent):
        for last in range(first, len(spent)):
            assert last - first + 1 <= rate * (spent[last] - at) / 1e9 + 1 + 1e-6


@pytest.mark.parametrize(
    "turns, ahead, wait",
    [
        ([], 0, math.inf),
        ([(0.0, 0.0, S * 9)], 0, 9 * S),  # no rate: only once it is warm
        ([(1.0, 0.5, S * 9)], 0, 0.0),
        ([(0.5, 0.5, S * 9)], 0, 1 * S),
        ([(0.5, 0.5, S * 9), (0.5, 0.5, S * 9)], 0, 0.0),
        ([(0.5, 0.5, S * 9), (0.5, 0.5, S * 9)], 3, 3 * S),
        ([(0.0, 0.1, S * 9), (0.0, 0.1, S * 2)], 7, 2 * S),
    ],
)
def test_how_long_until_one_has_a_turn(
    turns: list[tuple[float, float, int]], ahead: int, wait: float
) -> None:
    assert wait_ns(turns, ahead) == pytest.approx(wait)


@pytest.mark.parametrize(
    "nodes, warm, left_ns, held",
    [
        (2, False, S, False),  # both hosts together have a turn in 2 s
        (2, False, 5 * S, True),
        (40, False, 5 * S, False),  # in 40 s, and are warm in 10 s
        (40, False, 11 * S, True),
        (2, True, S, False),  # the warm one is bad for 50 s
        (40, True, 5 * S, False),
        (40, True, 60 * S, True),
    ],
)
def test_who_has_no_turn_before_its_deadline_is_told_at_once(
    nodes: int, warm: bool, left_ns: int, held: bool
) -> None:
    # 29 clients waited 2.9 s of 3 beside cold servers and were then turned away: too late to ask again.
    node = balancer(0, balancers=nodes)
    node.step(100 * S, [listed(entry(1, started_ns=100 * S), entry(2, started_ns=0 if warm else 100 * S))])
    for known in node.hosts.values():
        known.tokens = 0.0
    if warm:
        node.hosts[host(2)].avoid_until = 150 * S
        node.hosts[host(2)].overload = True
    refusals = only(node.step(100 * S + MS, [request(1, budget_ns=left_ns)]), api.Refuse)
    assert bool(refusals) is not held
    assert all(refusal.retry_after_ns > 0 for refusal in refusals)
    # A crowd behind the first cannot all have a turn: who can't is told now, not at the end.
    crowd = node.step(100 * S + 2 * MS, [request(n, budget_ns=left_ns) for n in range(2, 40)])
    told = only(crowd, api.Refuse)
    assert len(told) == (0 if left_ns > 10 * S else 37 if held else 38)


def test_windows_of_nodes_that_share_a_store_come_together() -> None:
    # One starts wide and one narrow; the store bears 20 at once, beyond that all set-ups are slow.
    windows = [Window(), Window()]
    windows[0].size = 60.0
    for turn in range(400):
        slow = sum(window.size for window in windows) > 20.0
        for window in windows:
            for _ in range(8):
                window.count(turn * S, S, 2 * S if slow else S // 4, False, 1000.0)
    assert all(LEAST <= window.size <= 30.0 for window in windows)
    assert windows[0].size < 2.5 * windows[1].size
    assert Window().size == START
