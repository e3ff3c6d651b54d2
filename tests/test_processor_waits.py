"""Processor waits of the fleet rig, computed from samples."""

from __future__ import annotations

import os

import pytest

from rig.fleet.processor_waits import ProcessorWaits, Sample


def test_wait_between_two_times_is_that_between_the_enclosing_samples() -> None:
    waits = ProcessorWaits()
    waits.samples += [Sample(0.0, 1.0), Sample(1.0, 1.5), Sample(2.0, 1.5), Sample(3.0, 2.5)]
    assert waits.waited_s(0.2, 0.8) == pytest.approx(0.5)
    assert waits.waited_s(1.0, 2.0) == 0.0
    assert waits.waited_s(1.5, 9.0) == pytest.approx(1.0)
    assert waits.share() == pytest.approx(0.5)


def test_total_wait_continues_when_a_process_is_replaced() -> None:
    waits = ProcessorWaits()
    waits.sample(os.getpid(), 0.0)
    waits.sample(os.getppid(), 1.0)
    assert waits.samples[1].waited_s == waits.samples[0].waited_s


def test_ended_process_gives_no_sample() -> None:
    waits = ProcessorWaits()
    waits.sample(1 << 30, 0.0)
    assert waits.samples == []
    assert waits.share() == waits.waited_s(0.0, 1.0) == 0.0
