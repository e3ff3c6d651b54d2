"""When discovery is polled."""

from __future__ import annotations

from conftest import MS, S
from routing_parts import Parts

from linnetshift.routing.actions import SetTimer, Watch
from linnetshift.routing.discovery_poller import DiscoveryPoller


def test_poll_is_sent_once_and_only_where_the_list_is_not_pushed() -> None:
    for discovery, actions in (("ask", [Watch(True)]), ("push", [])):
        parts = Parts(discovery=discovery)
        poller = DiscoveryPoller(parts.context)
        poller.poll_once()
        poller.poll_once()
        assert parts.context.actions == actions


def test_back_off_doubles_to_its_maximum_and_restarts_after_an_answer() -> None:
    parts = Parts(discovery="ask")
    poller = DiscoveryPoller(parts.context)
    for _ in range(2):
        for longest_ms in (200, 400, 800, 1000, 1000):
            parts.begin_step(2 * S)
            poller.handle_list_failed()
            (timer,) = parts.context.actions
            assert isinstance(timer, SetTimer)
            assert longest_ms * MS // 2 <= timer.delay_ns <= longest_ms * MS
        poller.handle_list_received()


def test_only_the_latest_timer_polls() -> None:
    parts = Parts(discovery="ask")
    poller = DiscoveryPoller(parts.context)
    poller.handle_list_failed()
    poller.handle_list_failed()
    parts.begin_step(3 * S)
    poller.handle_timer_fired(1)
    assert parts.context.actions == []
    poller.handle_timer_fired(2)
    assert parts.context.actions == [Watch(True)]
