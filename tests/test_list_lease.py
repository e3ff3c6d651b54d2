"""How long the endpoint list may be relied on."""

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


def test_watch_refused_at_once_leaves_the_lease_of_the_answer_before() -> None:
    lease = ListLease(0)
    lease.renew(1 * S)
    lease.extend(1 * S, 8 * S)
    lease.handle_watch_failed(int(1.5 * S))
    assert expires_between(lease, 6.9, 7.0)


def test_watch_broken_off_after_long_counts_until_shortly_before() -> None:
    # It was no call that waits for its turn: it would have told of changes.
    lease = ListLease(0)
    lease.renew(1 * S)
    lease.extend(1 * S, 8 * S)
    lease.handle_watch_failed(7 * S)
    assert expires_between(lease, 9.9, 10.0)


def test_failed_calls_never_extend_the_lease() -> None:
    lease = ListLease(0)
    for second in range(1, 6):
        lease.handle_watch_failed(second * S)
    assert expires_between(lease, 5.9, 6.0)


def test_reload_leaves_four_seconds() -> None:
    lease = ListLease(0)
    lease.extend(0, 10 * S)
    lease.handle_reload(3 * S)
    assert expires_between(lease, 6.9, 7.0)
