"""The counter whose value falls linearly over a window."""

from __future__ import annotations

from conftest import S

from linnetshift.util.decaying_counter import DecayingCounter


def test_value_falls_to_half_after_half_a_window_and_to_zero_after_it() -> None:
    counter = DecayingCounter(10 * S)
    counter.add(20 * S, 4.0)
    assert [counter.decayed(at * S) for at in (20, 25, 30, 99)] == [4.0, 2.0, 0.0, 0.0]
    assert counter.value == 4.0  # reading it changes nothing


def test_event_is_added_to_the_decayed_value() -> None:
    counter = DecayingCounter(10 * S)
    counter.add(20 * S, 4.0)
    counter.add(25 * S)
    assert (counter.value, counter.updated_at) == (3.0, 25 * S)


def test_decay_makes_the_decayed_value_the_new_starting_point() -> None:
    counter = DecayingCounter(10 * S, 8.0, 0)
    counter.decay(5 * S)
    counter.decay(10 * S)
    assert (counter.value, counter.updated_at) == (2.0, 10 * S)
