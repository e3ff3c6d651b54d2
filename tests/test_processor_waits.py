"""How long processes waited for a processor, by samples."""

from __future__ import annotations

import os

import pytest

from rig.fleet.processor_waits import ProcessorWaits, Sample


def test_wait_between_two_moments_is_that_between_the_samples_around_them() -> None:
    waits = ProcessorWaits()
    waits.samples += [Sample(0.0, 1.0), Sample(1.0, 1.5), Sample(2.0, 1.5), Sample(3.0, 2.5)]
    assert waits.waited_s(0.2, 0.8) == pytest.approx(0.5)
    assert waits.waited_s(1.0, 2.0) == 0.0
    assert waits.waited_s(1.5, 9.0) == pytest.approx(1.0)
    assert waits.share() == pytest.approx(0.5)


def test_count_goes_on_where_another_process_takes_the_place_of_one() -> None:
    waits = ProcessorWaits()
    waits.sample(os.getpid(), 0.0)
    waits.sample(os.getppid(), 1.0)
    assert waits.samples[1].waited_s == waits.samples[0].waited_s


def test_process_that_has_ended_leaves_no_sample() -> None:
    waits = ProcessorWaits()
    waits.sample(1 << 30, 0.0)
    assert waits.samples == []
    assert waits.share() == waits.waited_s(0.0, 1.0) == 0.0
