"""Which lists of discovery are held back, and for how long."""

from __future__ import annotations

import pytest
from conftest import S, entry, listed

from linnetshift.discovery.endpoint_list import EndpointListError
from linnetshift.discovery.stale_list import CONFIRMATION_NS, StaleListFilter
from linnetshift.routing.events import EndpointList, ListForm

KNOWN = EndpointList(ListForm.FULL, 5, (entry(1),))
OLDER = EndpointList(ListForm.FULL, 4, (entry(1),))
EMPTY = EndpointList(ListForm.FULL, 6, ())


def test_newer_list_is_used_at_once() -> None:
    stale_lists = StaleListFilter(KNOWN)
    newer = listed(entry(2))._replace(version=7)
    stale_lists.check(newer, is_from_watch=True, now_ns=S)
    stale_lists.accept(newer)
    assert stale_lists.version == 7


@pytest.mark.parametrize(("contradiction", "error"), [(OLDER, "version 4 after 5"), (EMPTY, "an empty list")])
def test_contradicting_list_is_used_once_it_was_repeated_for_the_confirmation_time(
    contradiction: EndpointList, error: str
) -> None:
    stale_lists = StaleListFilter(KNOWN)
    for now in (S, S + CONFIRMATION_NS - 1):
        with pytest.raises(EndpointListError, match=error):
            stale_lists.check(contradiction, is_from_watch=True, now_ns=now)
    stale_lists.check(contradiction, is_from_watch=True, now_ns=S + CONFIRMATION_NS)
    stale_lists.accept(contradiction)
    assert stale_lists.version == contradiction.version


def test_agreeing_list_starts_the_confirmation_time_anew() -> None:
    stale_lists = StaleListFilter(KNOWN)
    with pytest.raises(EndpointListError):
        stale_lists.check(OLDER, is_from_watch=True, now_ns=S)
    stale_lists.check(KNOWN, is_from_watch=True, now_ns=2 * S)
    with pytest.raises(EndpointListError):
        stale_lists.check(OLDER, is_from_watch=True, now_ns=S + CONFIRMATION_NS)


def test_older_list_from_another_call_than_the_watch_is_never_used() -> None:
    stale_lists = StaleListFilter(KNOWN)
    for now in (S, S + CONFIRMATION_NS, S + 2 * CONFIRMATION_NS):
        with pytest.raises(EndpointListError):
            stale_lists.check(OLDER, is_from_watch=False, now_ns=now)


def test_empty_changes_and_an_empty_list_after_an_empty_one_are_no_contradiction() -> None:
    stale_lists = StaleListFilter(KNOWN)
    stale_lists.check(EndpointList(ListForm.DELTA, 5, ()), is_from_watch=True, now_ns=S)
    nothing_known = StaleListFilter(EndpointList(ListForm.CACHED, 0, ()))
    nothing_known.check(EMPTY, is_from_watch=True, now_ns=S)
