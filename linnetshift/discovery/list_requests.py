"""Decides whether the watch requests the full list or changes, and how soon after an unusable answer."""

from __future__ import annotations

from linnetshift.discovery.unusable_lists import UnusableListBudget
from linnetshift.event_loop.timers import MS

# Delay before a watch is opened again after an unusable answer that exceeds the budget. It is quadrupled with
# each one in a row, up to the budget's own wait: a single one may be a fault of the moment.
FIRST_WATCH_DELAY_NS = 250 * MS
MAX_QUADRUPLINGS = 4


class ListRequests:
    """What is requested of discovery's present address; lives as long as the watch.

    Attributes:
        needs_full_list: The address is new and has not answered with a usable full list yet.
        is_watching_changes_only: While it is needed, the full list is fetched beside the watch, as the one
            that the address gave is unusable; the watch goes on by changes from the version in use.
        budget: What unusable answers have cost.
    """

    def __init__(self) -> None:
        """The list in use is from the present address."""
        self.needs_full_list = False
        self.is_watching_changes_only = False
        self.budget = UnusableListBudget()
        self._unusable_in_a_row = 0  # answers to watches for changes
        self._watch_allowed_at_ns = 0

    @property
    def is_full_list_next(self) -> bool:
        """Whether the watch starts with the full list."""
        return self.needs_full_list and not self.is_watching_changes_only

    def watch_wait_ns(self, now_ns: int) -> int:
        """Return how long no watch may be opened."""
        return max(0, self._watch_allowed_at_ns - now_ns)

    def handle_reload(self, is_new_address: bool) -> None:
        """Request the list at once after a reload of the configuration."""
        self.needs_full_list = self.needs_full_list or is_new_address
        self.is_watching_changes_only = False
        self._unusable_in_a_row = 0
        self._watch_allowed_at_ns = 0

    def handle_full_list_used(self) -> None:
        """Watch changes from now on, as the present address has answered with a usable full list."""
        self.needs_full_list = False
        self.is_watching_changes_only = False

    def handle_changes_used(self) -> None:
        """Note a usable answer to the watch."""
        self._unusable_in_a_row = 0

    def handle_unusable_full_list(self) -> None:
        """Watch changes meanwhile, where the full list is needed."""
        self.is_watching_changes_only = self.needs_full_list

    def handle_unusable_changes(self, now_ns: int) -> None:
        """Delay the next watch while the budget is exceeded."""
        delay_ns = FIRST_WATCH_DELAY_NS << (2 * min(self._unusable_in_a_row, MAX_QUADRUPLINGS))
        self._watch_allowed_at_ns = now_ns + min(self.budget.wait_ns(now_ns), delay_ns)
        self._unusable_in_a_row += 1
