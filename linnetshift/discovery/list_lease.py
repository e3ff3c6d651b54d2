"""How long the endpoint list in use may be relied on without another answer of discovery."""

from __future__ import annotations

from linnetshift.event_loop.timers import S

# A change counts as known here so long after discovery had it, whatever became of the calls meanwhile.
NOTICE_DEADLINE_NS = 6 * S
# What an open watch misses counts as known so long after its wait is over, where that is later.
WATCH_SLACK_NS = 2 * S
# What discovery has at a reload of the configuration counts as known here so long after it.
RELOAD_DEADLINE_NS = 4 * S
# Discovery lets no call wait longer for its turn: one that is open longer is a watch, and tells of changes.
LONGEST_TURN_NS = 3 * S
# So many calls in a row that are refused at once show that discovery is down. A crowded one lets calls wait,
# and refuses some of them at once only between others.
MIN_REFUSALS = 3


class ListLease:
    """A lease on the list in use: an answer renews it, and an open watch extends it.

    While it has not expired, no change can count as known here that is not. Once it has, discovery may have
    changes that this process should know. Lives as long as the process.
    """

    def __init__(self, now_ns: int) -> None:
        """The list of the start counts as confirmed then."""
        self.confirmed_at_ns = now_ns
        self._expires_at_ns = now_ns + NOTICE_DEADLINE_NS
        self._refusals = 0  # calls in a row that were refused at once

    def is_expired(self, now_ns: int) -> bool:
        """Whether discovery may have changes that count as known here."""
        return now_ns >= self._expires_at_ns

    def age_ns(self, now_ns: int) -> int:
        """How long ago discovery last confirmed the list."""
        return now_ns - self.confirmed_at_ns

    def renew(self, now_ns: int) -> None:
        """Discovery has answered, with changes or without."""
        self._refusals = 0
        self.confirmed_at_ns = now_ns
        self._expires_at_ns = now_ns + NOTICE_DEADLINE_NS

    def extend(self, now_ns: int, wait_ns: int) -> None:
        """A watch was opened right after an answer, and waits for a change for up to `wait_ns`."""
        self._expires_at_ns = max(self._expires_at_ns, now_ns + wait_ns + WATCH_SLACK_NS)

    def handle_reload(self, now_ns: int) -> None:
        """The configuration was reloaded, and discovery may have moved."""
        self._expires_at_ns = min(self._expires_at_ns, now_ns + RELOAD_DEADLINE_NS)

    def handle_watch_failed(self, now_ns: int) -> None:
        """The watch broke off, was refused or got no answer in time.

        If it was open for long it was a watch until about now. Else it may never have become one.
        """
        self._refusals = 0
        self._end_extension(now_ns)

    def handle_call_refused(self, now_ns: int) -> None:
        """A call was refused at once; discovery cannot be reached where several were, and none waited.

        What it has counts as known here only so long after it can be reached again.
        """
        self._refusals += 1
        if self._refusals >= MIN_REFUSALS:
            self._expires_at_ns = max(self._expires_at_ns, now_ns + NOTICE_DEADLINE_NS)
        else:
            self._end_extension(now_ns)

    def _end_extension(self, now_ns: int) -> None:
        """The watch is over, which was one until shortly before if it was open for long."""
        last_reliable_ns = max(self.confirmed_at_ns, now_ns - LONGEST_TURN_NS)
        self._expires_at_ns = min(self._expires_at_ns, last_reliable_ns + NOTICE_DEADLINE_NS)
