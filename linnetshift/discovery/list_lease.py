"""A lease on the endpoint list: how long it may be relied on without another answer from discovery."""

from __future__ import annotations

from linnetshift.event_loop.timers import S

# This process counts as notified of a change this long after discovery had it, whether or not calls failed.
NOTIFICATION_DEADLINE_NS = 6 * S
# It counts as notified of a change that an open watch missed this long after the watch's wait has ended, if
# that is later.
WATCH_NOTIFICATION_DEADLINE_NS = 2 * S
# It counts as notified of what discovery has at a reload of the configuration this long after the reload.
RELOAD_NOTIFICATION_DEADLINE_NS = 4 * S
# The longest time for which discovery queues a call. One that is open longer is a watch, and reports changes.
MAX_QUEUEING_NS = 3 * S
# This many consecutive calls refused at once show that discovery is down. An overloaded one queues calls, and
# refuses single ones at once only between those.
MIN_CONSECUTIVE_REFUSALS = 3


class ListLease:
    """A lease on the list in use: an answer renews it, and an open watch extends it.

    Until it expires, the list has every change of which this process counts as notified. After that, it may
    lack some of them. Lives as long as the process.
    """

    def __init__(self, now_ns: int) -> None:
        """The list in use at the start counts as confirmed at `now_ns`."""
        self.confirmed_at_ns = now_ns
        self._expires_at_ns = now_ns + NOTIFICATION_DEADLINE_NS
        self._consecutive_refusals = 0

    def is_expired(self, now_ns: int) -> bool:
        """Whether the list may lack changes of which this process counts as notified."""
        return now_ns >= self._expires_at_ns

    def age_ns(self, now_ns: int) -> int:
        """Time since discovery last confirmed the list."""
        return now_ns - self.confirmed_at_ns

    def renew(self, now_ns: int) -> None:
        """Renew the lease after an answer from discovery, with changes or without."""
        self._consecutive_refusals = 0
        self.confirmed_at_ns = now_ns
        self._expires_at_ns = now_ns + NOTIFICATION_DEADLINE_NS

    def extend(self, now_ns: int, wait_ns: int) -> None:
        """Extend the lease for a watch that was opened right after an answer and waits up to `wait_ns`."""
        self._expires_at_ns = max(self._expires_at_ns, now_ns + wait_ns + WATCH_NOTIFICATION_DEADLINE_NS)

    def handle_reload(self, now_ns: int) -> None:
        """Shorten the lease at a reload of the configuration, as discovery may have a new address."""
        self._expires_at_ns = min(self._expires_at_ns, now_ns + RELOAD_NOTIFICATION_DEADLINE_NS)

    def handle_watch_failed(self, now_ns: int) -> None:
        """Shorten the lease after the watch was reset, was refused or timed out."""
        self._consecutive_refusals = 0
        self._revoke_extension(now_ns)

    def handle_call_refused(self, now_ns: int) -> None:
        """Update the lease after a call was refused at once.

        After MIN_CONSECUTIVE_REFUSALS of them, with no queued call in between, discovery counts as down. The
        notification deadline then starts only when discovery can be reached again, so the lease is extended.
        """
        self._consecutive_refusals += 1
        if self._consecutive_refusals >= MIN_CONSECUTIVE_REFUSALS:
            self._expires_at_ns = max(self._expires_at_ns, now_ns + NOTIFICATION_DEADLINE_NS)
        else:
            self._revoke_extension(now_ns)

    def _revoke_extension(self, now_ns: int) -> None:
        """Take back what an open watch added to the lease, as the watch has ended.

        A call that was open for longer than MAX_QUEUEING_NS was a watch until shortly before its end. A
        shorter one may have been queued all the time.
        """
        last_reliable_ns = max(self.confirmed_at_ns, now_ns - MAX_QUEUEING_NS)
        self._expires_at_ns = min(self._expires_at_ns, last_reliable_ns + NOTIFICATION_DEADLINE_NS)
