"""Holds back endpoint lists that contradict the one in use, until they are confirmed."""

from __future__ import annotations

from enum import Enum

from linnetshift.endpoint_list.parsing import EndpointListError
from linnetshift.event_loop.timers import S
from linnetshift.routing.events import EndpointList, EndpointState, ListForm

# How long discovery's answers must contradict the list in use before one of them replaces it.
CONFIRMATION_NS = 30 * S


class Confirmation(Enum):
    """What the source of a list can prove about a list that contradicts the one in use."""

    FOR_OR_AGAINST = "for or against"  # it is current
    AGAINST = "against"  # it may just have arrived late: an older list proves nothing
    NOTHING = "nothing"


class StaleListFilter:
    """Holds back a list that is older than the one in use, and a full list that is suddenly empty.

    Either may be an error of discovery: an empty list would end every connection at once, an old one would
    send new connections to endpoints that are known to drain. Such a list is used only once all answers have
    contradicted the list in use for CONFIRMATION_NS. Lives as long as the watch; `accept` records each list
    that is used.
    """

    def __init__(self, initial_list: EndpointList) -> None:
        """`initial_list` is the list in use at the start."""
        self.version = initial_list.version
        self.listed = {entry.endpoint for entry in initial_list.entries}
        self.contradicted_since_ns = 0  # 0: not contradicted

    def check(self, event: EndpointList, confirmation: Confirmation, now_ns: int) -> None:
        """Raise EndpointListError if the list must not be used now."""
        is_older = event.version < self.version
        is_emptied = bool(self.listed) and event.form == ListForm.FULL and not event.entries
        if not is_older and not is_emptied:
            if confirmation is not Confirmation.NOTHING:
                self.contradicted_since_ns = 0
            return
        may_confirm = confirmation is Confirmation.FOR_OR_AGAINST
        if may_confirm:
            self.contradicted_since_ns = self.contradicted_since_ns or now_ns
        if not may_confirm or now_ns - self.contradicted_since_ns < CONFIRMATION_NS:
            raise EndpointListError(
                f"version {event.version} after {self.version}" if is_older else "an empty list"
            )
        self.contradicted_since_ns = 0

    def accept(self, event: EndpointList) -> None:
        """Record that the list is in use from now on."""
        self.version = event.version
        if event.form == ListForm.FULL:
            self.listed = set()
        for entry in event.entries:
            if entry.state == EndpointState.REMOVED:
                self.listed.discard(entry.endpoint)
            else:
                self.listed.add(entry.endpoint)
