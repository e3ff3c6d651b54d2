"""Polling of discovery and its back-off."""

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


def delay_after_failure(poller: DiscoveryPoller, parts: Parts, after_ns: int) -> int:
    """The back-off after a call that failed `after_ns` after its start."""
    parts.begin_step(parts.context.now + after_ns)
    poller.handle_list_failed()
    (timer,) = parts.context.actions
    assert isinstance(timer, SetTimer)
    return timer.delay_ns


def test_calls_that_failed_in_the_queue_spread_over_the_longest_back_off() -> None:
    # Calls that had failed together were all repeated within 0.4 s, which kept discovery overloaded.
    delays = []
    for seed in range(200):
        parts = Parts(discovery="ask", balancers=24, rules={"mustAskInNs": 10 * S})
        parts.context.random.seed(seed)
        poller = DiscoveryPoller(parts.context)
        poller.poll_once()
        delays.append(delay_after_failure(poller, parts, after_ns=2 * S))
    assert 1080 * MS <= min(delays) < 1500 * MS
    assert 3200 * MS < max(delays) <= 3600 * MS


def test_call_that_failed_in_the_queue_is_repeated_before_the_list_counts_as_known() -> None:
    parts = Parts(discovery="ask", balancers=200, rules={"mustAskInNs": 10 * S})
    poller = DiscoveryPoller(parts.context)
    poller.poll_once()
    assert delay_after_failure(poller, parts, after_ns=2 * S) <= 4 * S


def test_call_that_was_refused_at_once_or_a_watch_that_broke_is_repeated_soon() -> None:
    parts = Parts(discovery="ask", balancers=24, rules={"mustAskInNs": 10 * S})
    poller = DiscoveryPoller(parts.context)
    poller.poll_once()
    assert delay_after_failure(poller, parts, after_ns=10 * MS) <= 720 * MS
    poller.handle_list_received()
    assert delay_after_failure(poller, parts, after_ns=2 * S) <= 720 * MS
