"""Lists from discovery that contradict the one in use: which are held back, and for how long."""

from __future__ import annotations

import pytest
from conftest import S, entry, listed

from linnetshift.discovery.stale_list import CONFIRMATION_NS, Confirmation, StaleListFilter
from linnetshift.endpoint_list.parsing import EndpointListError
from linnetshift.routing.events import EndpointList, ListForm

LIST_IN_USE = EndpointList(ListForm.FULL, 5, (entry(1),))
OLDER = EndpointList(ListForm.FULL, 4, (entry(1),))
EMPTY = EndpointList(ListForm.FULL, 6, ())


def test_newer_list_is_used_at_once() -> None:
    stale_list_filter = StaleListFilter(LIST_IN_USE)
    newer = listed(entry(2))._replace(version=7)
    stale_list_filter.check(newer, confirmation=Confirmation.FOR_OR_AGAINST, now_ns=S)
    stale_list_filter.accept(newer)
    assert stale_list_filter.version == 7


@pytest.mark.parametrize(("contradiction", "error"), [(OLDER, "version 4 after 5"), (EMPTY, "an empty list")])
def test_contradicting_list_is_used_after_the_confirmation_time(
    contradiction: EndpointList, error: str
) -> None:
    stale_list_filter = StaleListFilter(LIST_IN_USE)
    for now in (S, S + CONFIRMATION_NS - 1):
        with pytest.raises(EndpointListError, match=error):
            stale_list_filter.check(contradiction, confirmation=Confirmation.FOR_OR_AGAINST, now_ns=now)
    stale_list_filter.check(
        contradiction, confirmation=Confirmation.FOR_OR_AGAINST, now_ns=S + CONFIRMATION_NS
    )
    stale_list_filter.accept(contradiction)
    assert stale_list_filter.version == contradiction.version


def test_list_without_contradiction_restarts_the_confirmation_time() -> None:
    stale_list_filter = StaleListFilter(LIST_IN_USE)
    with pytest.raises(EndpointListError):
        stale_list_filter.check(OLDER, confirmation=Confirmation.FOR_OR_AGAINST, now_ns=S)
    stale_list_filter.check(LIST_IN_USE, confirmation=Confirmation.FOR_OR_AGAINST, now_ns=2 * S)
    with pytest.raises(EndpointListError):
        stale_list_filter.check(OLDER, confirmation=Confirmation.FOR_OR_AGAINST, now_ns=S + CONFIRMATION_NS)


def test_older_list_from_a_call_other_than_the_watch_is_never_used() -> None:
    stale_list_filter = StaleListFilter(LIST_IN_USE)
    for now in (S, S + CONFIRMATION_NS, S + 2 * CONFIRMATION_NS):
        with pytest.raises(EndpointListError):
            stale_list_filter.check(OLDER, confirmation=Confirmation.AGAINST, now_ns=now)


def test_empty_delta_and_empty_list_after_an_empty_one_are_not_held_back() -> None:
    stale_list_filter = StaleListFilter(LIST_IN_USE)
    stale_list_filter.check(
        EndpointList(ListForm.DELTA, 5, ()), confirmation=Confirmation.FOR_OR_AGAINST, now_ns=S
    )
    filter_of_empty_list = StaleListFilter(EndpointList(ListForm.CACHED, 0, ()))
    filter_of_empty_list.check(EMPTY, confirmation=Confirmation.FOR_OR_AGAINST, now_ns=S)


def test_changes_that_fit_do_not_restart_the_confirmation_time_of_an_empty_full_list() -> None:
    """Guards against an emptied list that is never used, as changes beside it fit the list in use."""
    stale_list_filter = StaleListFilter(LIST_IN_USE)
    for now in (S, S + CONFIRMATION_NS - 1):
        with pytest.raises(EndpointListError):
            stale_list_filter.check(EMPTY, Confirmation.FOR_OR_AGAINST, now)
        stale_list_filter.check(EndpointList(ListForm.DELTA, 5, ()), Confirmation.NOTHING, now)
    stale_list_filter.check(EMPTY, Confirmation.FOR_OR_AGAINST, S + CONFIRMATION_NS)
