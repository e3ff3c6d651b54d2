"""The lease on the endpoint list: when it expires after answers, failed calls and reloads."""

from __future__ import annotations

from conftest import S

from linnetshift.discovery.list_lease import ListLease


def expires_between(lease: ListLease, first_s: float, last_s: float) -> bool:
    return not lease.is_expired(int(first_s * S)) and lease.is_expired(int(last_s * S))


def test_lease_expires_six_seconds_after_the_last_answer() -> None:
    lease = ListLease(0)
    assert expires_between(lease, 5.9, 6.0)
    lease.renew(4 * S)
    assert expires_between(lease, 9.9, 10.0)
    assert lease.age_ns(9 * S) == 5 * S


def test_open_watch_extends_the_lease_to_two_seconds_past_its_wait() -> None:
    lease = ListLease(0)
    lease.renew(1 * S)
    lease.extend(1 * S, 8 * S)
    assert expires_between(lease, 10.9, 11.0)


def test_short_watch_that_failed_does_not_extend_the_lease_of_the_last_answer() -> None:
    lease = ListLease(0)
    lease.renew(1 * S)
    lease.extend(1 * S, 8 * S)
    lease.handle_watch_failed(int(1.5 * S))
    assert expires_between(lease, 6.9, 7.0)


def test_long_watch_that_failed_extends_the_lease_from_three_seconds_before_its_end() -> None:
    # A call that was open for so long was not queued, so it would have reported changes.
    lease = ListLease(0)
    lease.renew(1 * S)
    lease.extend(1 * S, 8 * S)
    lease.handle_watch_failed(7 * S)
    assert expires_between(lease, 9.9, 10.0)


def test_failed_watches_without_an_answer_do_not_extend_the_lease() -> None:
    lease = ListLease(0)
    for second in range(1, 6):
        lease.handle_watch_failed(second * S)
    assert expires_between(lease, 5.9, 6.0)


def test_reload_shortens_the_lease_to_four_seconds() -> None:
    lease = ListLease(0)
    lease.extend(0, 10 * S)
    lease.handle_reload(3 * S)
    assert expires_between(lease, 6.9, 7.0)


def test_three_consecutive_refusals_extend_the_lease() -> None:
    # Discovery is down then, and the deadline for its changes starts only once it can be reached.
    lease = ListLease(0)
    for at_s in (1, 3):
        lease.handle_call_refused(at_s * S)
    assert expires_between(lease, 5.9, 6.0)
    lease.handle_call_refused(5 * S)
    assert expires_between(lease, 10.9, 11.0)
    lease.handle_call_refused(9 * S)
    assert expires_between(lease, 14.9, 15.0)


def test_failed_watch_that_was_not_refused_at_once_resets_the_count_of_refusals() -> None:
    # Discovery queued that call, so it is overloaded and not down.
    lease = ListLease(0)
    for at_s in (1, 2):
        lease.handle_call_refused(at_s * S)
    lease.handle_watch_failed(4 * S)
    lease.handle_call_refused(5 * S)
    assert expires_between(lease, 5.9, 6.0)


def test_answer_resets_the_count_of_refusals() -> None:
    lease = ListLease(0)
    for at_s in (1, 2):
        lease.handle_call_refused(at_s * S)
    lease.renew(3 * S)
    lease.handle_call_refused(8 * S)
    assert expires_between(lease, 8.9, 9.0)
