"""How long the watch on the endpoint list waits for discovery, by how the deployment delivers the list."""

from __future__ import annotations

from typing import NamedTuple

from linnetshift.event_loop.timers import MS, S
from linnetshift.routing.settings import Settings

# The timeouts for an agent on this machine follow from the drain grace period, between these bounds: even an
# agent needs some time to answer, and a very long grace period must not hide that it fell silent.
MIN_GRACE_NS = 100 * MS
MAX_GRACE_NS = 4 * S


class WatchTimeouts(NamedTuple):
    """How long discovery is waited for, as its changes must be known here soon after it falls silent."""

    is_pushed: bool  # lists are pushed to an agent on this machine, which answers at once and at no cost
    wait_ms: int  # how long a watch may stay without a change; discovery answers by then
    margin_ns: int  # and how much longer its answer may take
    full_list_ns: int  # for a call for the full list

    @classmethod
    def of(cls, settings: Settings) -> WatchTimeouts:
        """The timeouts for how these settings have the lists delivered.

        The changes of a shared discovery must be known here 2 s past the wait, or after 6 s of silence where
        that is later. One call there costs as much as tens of request lines, so watches are long. The changes
        of an agent count from the moment it has them, watch or no watch, so a silent agent is called again
        while the drain grace period still lasts.
        """
        if settings.must_poll:
            return cls(is_pushed=False, wait_ms=10_000, margin_ns=750 * MS, full_list_ns=2200 * MS)
        grace_ns = max(MIN_GRACE_NS, min(settings.drain_grace_ns, MAX_GRACE_NS))
        return cls(
            is_pushed=True, wait_ms=grace_ns // 2 // MS, margin_ns=grace_ns // 4, full_list_ns=grace_ns // 2
        )
