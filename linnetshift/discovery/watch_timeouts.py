"""Timeouts of calls to discovery, which depend on how the deployment delivers the endpoint list."""

from __future__ import annotations

from typing import NamedTuple

from linnetshift.event_loop.timers import MS, S
from linnetshift.routing.settings import Settings

# The timeouts for an agent on this machine are derived from the drain grace period, within these bounds: even
# an agent needs some time to answer, and a very long grace period must not hide that it has become silent.
MIN_GRACE_NS = 100 * MS
MAX_GRACE_NS = 4 * S


class WatchTimeouts(NamedTuple):
    """Timeouts of calls to discovery, short enough to call a silent one again before its changes are due."""

    is_pushed: bool  # lists are pushed to an agent on this machine, which answers at once and at no cost
    wait_ms: int  # how long discovery may hold a watch open without a change
    margin_ns: int  # how much later than that the answer may arrive
    full_list_timeout_ns: int

    @classmethod
    def of(cls, settings: Settings) -> WatchTimeouts:
        """The timeouts for the way in which these settings have lists delivered.

        This process counts as notified of the changes of a shared discovery 2 s after the wait of a watch has
        ended, or after 6 s without an answer if that is later. A call there costs as much as tens of request
        lines, so watches are long. It counts as notified of an agent's changes as soon as the agent has them,
        with or without a watch, so a silent agent is called again within the drain grace period.
        """
        if settings.must_poll:
            return cls(is_pushed=False, wait_ms=10_000, margin_ns=750 * MS, full_list_timeout_ns=2200 * MS)
        grace_ns = max(MIN_GRACE_NS, min(settings.drain_grace_ns, MAX_GRACE_NS))
        return cls(
            is_pushed=True,
            wait_ms=grace_ns // 2 // MS,
            margin_ns=grace_ns // 4,
            full_list_timeout_ns=grace_ns // 2,
        )
