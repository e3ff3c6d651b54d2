"""The tick timer, and the steps of the context that gives its interval."""

from __future__ import annotations

from conftest import MS, S
from routing_parts import Parts

from linnetshift.routing.actions import SetTimer
from linnetshift.routing.tick_timer import TICK_TOKEN


def test_timer_is_set_once_until_it_has_fired() -> None:
    parts = Parts()
    parts.tick_timer.start()
    parts.tick_timer.start()
    assert parts.context.actions == [SetTimer(50 * MS, TICK_TOKEN)]
    parts.tick_timer.handle_fired()
    parts.tick_timer.start()
    assert len(parts.context.actions) == 2


def test_step_begins_without_actions_and_time_never_goes_back() -> None:
    parts = Parts()
    parts.tick_timer.start()
    parts.begin_step(3 * S)
    assert (parts.context.now, parts.context.actions) == (3 * S, [])
    parts.begin_step(2 * S)
    assert parts.context.now == 3 * S
