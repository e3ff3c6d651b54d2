"""When discovery is polled."""

from __future__ import annotations

from conftest import MS, S
from routing_parts import Parts

from linnetshift.routing.actions import SetTimer, Watch
from linnetshift.routing.discovery_poller import DiscoveryPoller, longest_backoff_ns


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


def test_longest_back_off_grows_with_the_number_of_balancers() -> None:
    # Two hundred balancers that retried each second kept discovery from answering any of them.
    for balancers, longest_ms in ((3, 1000), (24, 3600), (200, 8000)):
        parts = Parts(discovery="ask", balancers=balancers, rules={"mustAskInNs": 10 * S})
        poller = DiscoveryPoller(parts.context)
        for _ in range(6):
            parts.begin_step(2 * S)
            poller.handle_list_failed()
        (timer,) = parts.context.actions
        assert isinstance(timer, SetTimer)
        assert longest_ms * MS // 2 <= timer.delay_ns <= longest_ms * MS


def test_back_off_stays_within_the_time_without_a_call_that_the_settings_allow() -> None:
    parts = Parts(discovery="ask", balancers=200, rules={"mustAskInNs": 1 * S})
    assert longest_backoff_ns(parts.context.settings) == 2 * S


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
