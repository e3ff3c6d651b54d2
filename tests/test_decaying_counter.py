"""The counter whose value decays linearly over a window."""

from __future__ import annotations

from conftest import S

from linnetshift.util.decaying_counter import DecayingCounter


def test_value_is_half_after_half_a_window_and_zero_after_a_whole_one() -> None:
    counter = DecayingCounter(10 * S)
    counter.add(20 * S, 4.0)
    assert [counter.decayed(at * S) for at in (20, 25, 30, 99)] == [4.0, 2.0, 0.0, 0.0]
    assert counter.value == 4.0  # reading does not change it


def test_event_is_added_to_the_decayed_value() -> None:
    counter = DecayingCounter(10 * S)
    counter.add(20 * S, 4.0)
    counter.add(25 * S)
    assert (counter.value, counter.updated_at) == (3.0, 25 * S)


def test_decay_updates_the_stored_value_and_time() -> None:
    counter = DecayingCounter(10 * S, 8.0, 0)
    counter.decay(5 * S)
    counter.decay(10 * S)
    assert (counter.value, counter.updated_at) == (2.0, 10 * S)
