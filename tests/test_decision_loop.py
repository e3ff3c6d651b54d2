"""The decision loop: when the broker's events are processed, and the containment of faults."""

from __future__ import annotations

import logging
from typing import Any

import pytest

from linnetshift.decision_loop import REVIEWS_PER_LATENCY_REVIEW, DecisionLoop, Review
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.timers import Timeout


class StandInBroker:
    """Records the calls of the decision loop."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.fault: Exception | None = None
        self.deployment_facts = self

    def process_events(self) -> None:
        self.calls.append("process_events")
        if self.fault is not None:
            raise self.fault

    def review_unresponsive_endpoints(self) -> None:
        self.calls.append("review_unresponsive_endpoints")

    def review_unconfirmed_endpoints(self) -> None:
        self.calls.append("review_unconfirmed_endpoints")

    def review_latency(self) -> None:
        self.calls.append("review_latency")

    def take_unreported(self) -> list[tuple[str, Any]]:
        return [("fact", 7)]


def start_decision_loop(waits_for_discovery: bool = False) -> tuple[DecisionLoop, StandInBroker]:
    decision_loop, broker = DecisionLoop(Loop(), waits_for_discovery), StandInBroker()
    decision_loop.broker = broker  # type: ignore[assignment]
    decision_loop.start(decision_loop.run())
    return decision_loop, broker


def test_confirmation_follows_the_processing_of_all_queued_events() -> None:
    decision_loop, broker = start_decision_loop()
    decision_loop.schedule_processing()
    decision_loop.call_when_processed(lambda: broker.calls.append("done"))
    assert broker.calls == []
    decision_loop.process_mailbox()
    assert broker.calls == ["process_events", "process_events", "done"]


def test_no_event_is_processed_before_the_first_call_to_discovery_has_ended() -> None:
    decision_loop, broker = start_decision_loop(waits_for_discovery=True)
    decision_loop.schedule_processing()
    decision_loop.call_when_processed(lambda: broker.calls.append("done"))
    decision_loop.process_mailbox()
    assert broker.calls == ["done"]
    decision_loop.handle_discovery_ready()
    decision_loop.handle_discovery_ready()  # later calls change nothing
    decision_loop.process_mailbox()
    assert broker.calls == ["done", "process_events"]


def test_fault_in_processing_is_logged_and_contained(caplog: pytest.LogCaptureFixture) -> None:
    decision_loop, broker = start_decision_loop()
    broker.fault = ValueError("a fault")
    with caplog.at_level(logging.ERROR, "linnetshift"):
        decision_loop.call_when_processed(lambda: broker.calls.append("done"))
        decision_loop.process_mailbox()
    assert [record.getMessage() for record in caplog.records] == ["fault"]
    assert broker.calls == ["process_events", "done"]
    assert decision_loop.coroutine is not None


def test_latency_is_reviewed_at_every_eighth_review(caplog: pytest.LogCaptureFixture) -> None:
    decision_loop, broker = start_decision_loop()
    with caplog.at_level(logging.INFO, "linnetshift"):
        for number in range(1, 2 * REVIEWS_PER_LATENCY_REVIEW + 1):
            decision_loop.post(Timeout(Review(number)))
            decision_loop.process_mailbox()
    assert broker.calls.count("review_unresponsive_endpoints") == 2 * REVIEWS_PER_LATENCY_REVIEW
    assert broker.calls.count("review_latency") == 2
    assert broker.calls.count("review_unconfirmed_endpoints") == 2 * REVIEWS_PER_LATENCY_REVIEW
    # The eight reviews up to it have each called the other two methods.
    assert broker.calls[2 * REVIEWS_PER_LATENCY_REVIEW] == "review_latency"
    assert [record.getMessage() for record in caplog.records] == 2 * ["deployment-fact-observed"]
