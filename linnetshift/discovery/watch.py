"""The watch on discovery's endpoint list over HTTP: the full list first, then a long poll for each change."""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

from linnetshift.discovery.http_call import CallEnded, DiscoveryCall
from linnetshift.discovery.list_lease import ListLease
from linnetshift.discovery.list_requests import ListRequests
from linnetshift.discovery.stale_list import Confirmation, StaleListFilter
from linnetshift.discovery.watch_timeouts import WatchTimeouts
from linnetshift.endpoint_list.names import NameRegistry
from linnetshift.endpoint_list.parsing import (
    EndpointListError,
    EndpointListUpdate,
    parse_endpoint_list,
)
from linnetshift.event_loop.actor import Actor, ActorCoroutine
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.timers import MS, S, Timeout
from linnetshift.observability import log
from linnetshift.observability.log import MAX_LOGGED_CHARS
from linnetshift.routing.events import EndpointList, ListForm

LIST_PATH = "/catalog/members"

# Delay before an agent on this machine is called again after it refused or failed a call.
REOPEN_DELAY_NS = 50 * MS
# The longest wait of a watch after one that failed, so that its answer soon confirms that discovery is back.
WAIT_AFTER_FAILURE_MS = 1000
# Upper bound of the timeout of a call for the full list, which is doubled after failures.
MAX_FULL_LIST_TIMEOUT_NS = 4 * S
# A call that fails sooner was refused without having been queued: discovery is down.
IMMEDIATE_REFUSAL_NS = 250 * MS
# How often the timeout of the watch is doubled at most, once for each consecutive failure.
MAX_TIMEOUT_DOUBLINGS = 2
# Waits are drawn at random between this fraction and the whole, so that proxies whose watches ended together
# do not all call together again.
MIN_WAIT_FRACTION = 0.75
# Calls that run beside the watch at most; the oldest is ended when one more starts.
MAX_SECONDARY_CALLS = 4
# Delay before the list is fetched again after an answer with invalid entries, or one that was held back. The
# first is short, as this process counts as notified of what it could not use; later ones are longer.
FIRST_REFETCH_DELAY_NS = 250 * MS
REFETCH_DELAY_NS = 2 * S


class WatchTimer(Enum):
    """Tags of the timers of `Discovery`."""

    REFETCH = "refetch"  # fetch the full list again, after an answer that could not be used as a whole
    REOPEN = "reopen"  # open the watch again, after an agent refused or failed a call


class SetWatch(NamedTuple):
    """Open the watch unless it is open, or stop it and ignore its answer."""

    is_on: bool


class FetchList(NamedTuple):
    """Fetch the full list once, beside the watch."""


class Reconfigure(NamedTuple):
    """Use this address and these timeouts after a reload of the configuration."""

    address: Address
    timeouts: WatchTimeouts


class DiscoveryStatus(NamedTuple):
    """How current the list in use is, and what lists that could not be used have cost."""

    version: int
    age_ms: int  # since discovery last confirmed the list
    needs_full_list: bool  # the present address has not answered with a usable one yet
    unusable_lists: int
    unusable_bytes: int
    full_list_wait_ms: int  # until the full list may be requested again


def _is_for_full_list(call: DiscoveryCall) -> bool:
    """Whether the call requests the full list rather than changes."""
    return call.path == LIST_PATH


class Discovery(Actor):
    """Keeps a watch open while the balancer requests one, and reports lists, changes and failures.

    A watch that timed out is reopened at once, as only this class knows how old the list is. A watch that
    failed otherwise is reopened after REOPEN_DELAY_NS where lists are pushed; where they are polled, the
    balancer is notified of the failure and decides when to call again.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        names: NameRegistry,
        initial_list: EndpointListUpdate,
        notify_update: Callable[[EndpointListUpdate], None],
        timeouts: WatchTimeouts,
        seed: int = 0,
        notify_call_ended: Callable[[], None] = lambda: None,
        lease: ListLease | None = None,
    ) -> None:
        """`initial_list` is in use at the start; `lease` is its lease, and is kept up to date here.

        `notify_call_ended` is called after every call, successful or not.
        """
        super().__init__(loop)
        self.address = address
        self.names = names
        self.notify_update = notify_update
        self.timeouts = timeouts
        self.notify_call_ended = notify_call_ended
        self.lease = lease or ListLease(loop.now())
        self.random = random.Random(seed)
        self.stale_list_filter = StaleListFilter(initial_list.event)
        self.requests = ListRequests()
        self.consecutive_failures = 0  # of the watch; an unusable answer counts as one
        self.last_watch_failed = False
        self.is_refetch_scheduled = False
        self.refetches = 0  # since the last answer that was used as a whole
        self.watch_wait_ns = 0  # how long discovery may hold the latest watch open
        self.watch_call: DiscoveryCall | None = None
        self.secondary_calls: list[DiscoveryCall] = []  # replaced watches, and single fetches of the list

    @property
    def version(self) -> int:
        """Version of the list in use."""
        return self.stale_list_filter.version

    def status(self) -> DiscoveryStatus:
        """Return the status that the admin interface shows."""
        now = self.loop.now()
        return DiscoveryStatus(
            self.version,
            self.lease.age_ns(now) // MS,
            self.requests.needs_full_list,
            self.requests.budget.count,
            self.requests.budget.total_bytes,
            self.requests.budget.wait_ns(now) // MS,
        )

    # ---- called by other parts --------------------------------------------------------------

    def reconfigure(self, address: Address, timeouts: WatchTimeouts) -> None:
        """Open the watch at this address at once, even if the address is the same.

        Soon after a reload, this process counts as notified of all changes that discovery had by then.
        """
        self.post(Reconfigure(address, timeouts))

    def watch(self, is_on: bool) -> None:
        """Open the watch, or stop it."""
        self.post(SetWatch(is_on))

    def fetch(self) -> None:
        """Fetch the full list once."""
        self.post(FetchList())

    # ---- the actor --------------------------------------------------------------------------

    def run(self) -> ActorCoroutine:
        """Handle messages for as long as the process runs."""
        while True:
            self._handle((yield))

    def _handle(self, message: object) -> None:
        """Handle one message; a timer may fire when its action is no longer needed."""
        match message:
            case SetWatch(is_on=True) if self.watch_call is None:
                self._open_watch()
            case SetWatch(is_on=False):
                self.watch_call = None  # the call goes on, but its answer is ignored
            case FetchList():
                self._fetch_list()
            case Reconfigure(address, timeouts):
                self._handle_reconfigured(address, timeouts)
            case Timeout(tag=WatchTimer.REFETCH):
                self.is_refetch_scheduled = False
                self._fetch_list()
            case Timeout(tag=WatchTimer.REOPEN) if self.watch_call is None:
                self._open_watch()
            case CallEnded():
                self._handle_call_ended(message)
                self.notify_call_ended()

    def _handle_reconfigured(self, address: Address, timeouts: WatchTimeouts) -> None:
        """Open the watch at the address at once.

        The former watch may be silent, so the new one does not wait for its end. But this process counts as
        notified of what discovery has written to it, so it becomes a secondary call.
        """
        self.timeouts = timeouts
        self.lease.handle_reload(self.loop.now())
        if self.watch_call is not None:
            self._add_secondary_call(self.watch_call)
        self.requests.handle_reload(is_new_address=address != self.address)
        self.address = address
        self._open_watch()

    def _add_secondary_call(self, call: DiscoveryCall) -> None:
        """Keep a call beside the watch, so that its answer is used too."""
        self.secondary_calls.append(call)
        if len(self.secondary_calls) > MAX_SECONDARY_CALLS:
            self.secondary_calls.pop(0).end()

    def _fetch_list(self) -> None:
        """Start a call for the full list beside the watch."""
        self._add_secondary_call(self._call(LIST_PATH, self.timeouts.full_list_timeout_ns))

    def _call(self, path: str, timeout_ns: int) -> DiscoveryCall:
        """Start a call; its end is posted to this actor as `CallEnded`."""
        call = DiscoveryCall(self.loop, self.address, path, timeout_ns, self)
        call.start(call.run())
        return call

    def _open_watch(self) -> None:
        """Start a long poll for the next change, or a call for the full list if the address is new.

        It must follow the last answer at once: after 200 ms discovery treats the call as a new watch.
        """
        wait_ns = self.requests.watch_wait_ns(self.loop.now())
        if wait_ns:
            self.set_timer(wait_ns, WatchTimer.REOPEN)
            return
        # A shared discovery queues calls, and also serves those that were given up. With a constant timeout,
        # such calls would keep it overloaded, and every call might be given up before its turn.
        doublings = 0 if self.timeouts.is_pushed else min(self.consecutive_failures, MAX_TIMEOUT_DOUBLINGS)
        if self.requests.is_full_list_next:
            timeout_ns = min(self.timeouts.full_list_timeout_ns << doublings, MAX_FULL_LIST_TIMEOUT_NS)
            self.watch_call = self._call(LIST_PATH, timeout_ns)
            return
        wait_ms = self._jittered_wait_ms()
        self.watch_wait_ns = wait_ms * MS
        path = f"{LIST_PATH}?since={self.version}&timeout_ms={wait_ms}"
        self.watch_call = self._call(path, wait_ms * MS + (self.timeouts.margin_ns << doublings))

    def _jittered_wait_ms(self) -> int:
        """How long discovery may hold the next watch open without a change."""
        # No jitter for an agent, which serves only this proxy.
        fraction = 1.0 if self.timeouts.is_pushed else self.random.uniform(MIN_WAIT_FRACTION, 1.0)
        wait_ms = self.timeouts.wait_ms
        if self.last_watch_failed:
            wait_ms = min(wait_ms, WAIT_AFTER_FAILURE_MS)
        return int(wait_ms * fraction)

    # ---- answers ----------------------------------------------------------------------------

    def _handle_call_ended(self, ended: CallEnded) -> None:
        """Use the list that a call returned, or handle its failure."""
        call = ended.call
        is_watch = call is self.watch_call
        if is_watch:
            self.watch_call = None
        elif call in self.secondary_calls:
            self.secondary_calls.remove(call)
        else:
            return  # a watch that was stopped
        list_update = self._parse(ended.document)
        if list_update is not None and self._is_usable(list_update, call, is_watch):
            self._handle_usable_list(list_update, ended, is_watch)
            return
        was_full_list_next = self.requests.is_full_list_next
        if ended.body_bytes:
            self._handle_unusable_list(ended)
        if is_watch and was_full_list_next and self.requests.is_watching_changes_only:
            self._open_watch()  # discovery answers, and tells changes meanwhile
        elif is_watch:
            self._handle_watch_failed(ended)
        if self.requests.is_watching_changes_only:
            self._schedule_refetch()

    def _handle_usable_list(self, list_update: EndpointListUpdate, ended: CallEnded, is_watch: bool) -> None:
        """Apply a list; a full one from the present address confirms the list in use."""
        is_full = _is_for_full_list(ended.call) or list_update.named_endpoints is not None
        if ended.call.address == self.address:
            if is_full:
                self.requests.handle_full_list_used()
            if not self.requests.needs_full_list:
                self.lease.renew(self.loop.now())
        if list_update.invalid_entry_count:
            self._charge(ended)
        self._accept(list_update)
        if is_watch:
            self._handle_watch_answered()

    def _handle_unusable_list(self, ended: CallEnded) -> None:
        """Count what the answer cost, and request no list at full speed that is unusable again."""
        self._charge(ended)
        now = self.loop.now()
        log.info(
            "endpoint-list-unusable",
            path=ended.call.path,
            bytes=ended.body_bytes,
            wait_ms=self.requests.budget.wait_ns(now) // MS,
        )
        if ended.call.address != self.address:
            return
        if _is_for_full_list(ended.call):
            self.requests.handle_unusable_full_list()
        else:
            self.requests.handle_unusable_changes(now)

    def _charge(self, ended: CallEnded) -> None:
        """Count what an answer cost that cannot be used, or not as a whole."""
        endpoints = len(self.stale_list_filter.listed)
        self.requests.budget.charge(ended.body_bytes, endpoints, self.loop.now())

    def _parse(self, document: Any) -> EndpointListUpdate | None:
        """The list in an answer; None where the call failed or the answer is not a valid list."""
        if document is None:
            return None
        try:
            return parse_endpoint_list(document, self.names).with_removals(self.stale_list_filter.listed)
        except EndpointListError as error:
            log.info("discovery-response-ignored", error=str(error)[:MAX_LOGGED_CHARS])
            return None

    def _is_usable(self, list_update: EndpointListUpdate, call: DiscoveryCall, is_watch: bool) -> bool:
        """Whether the list may be used as a whole; if not, its entries that are not ready may be applied."""
        try:
            if call.address != self.address:
                self._check_is_newer(list_update.event)
            self.stale_list_filter.check(
                list_update.event, self._confirmation(call, is_watch), self.loop.now()
            )
        except EndpointListError as error:
            log.info("discovery-response-ignored", error=str(error)[:MAX_LOGGED_CHARS])
            if call.address == self.address:
                self._apply_unavailable(list_update)
            return False
        return True

    def _confirmation(self, call: DiscoveryCall, is_watch: bool) -> Confirmation:
        """What an answer to the call proves about a list that contradicts the one in use."""
        if not self.requests.needs_full_list:
            return Confirmation.FOR_OR_AGAINST if is_watch else Confirmation.AGAINST
        # Changes at an address whose full list cannot be used contradict nothing, whatever that list is.
        is_full = _is_for_full_list(call) and call.address == self.address
        return Confirmation.FOR_OR_AGAINST if is_full else Confirmation.NOTHING

    def _apply_unavailable(self, list_update: EndpointListUpdate) -> None:
        """Apply the entries of a held-back list that are not ready, and fetch the list again."""
        unavailable = list_update.only_unavailable(self.version)
        if unavailable.event.entries:
            self.notify_update(unavailable)
            self._schedule_refetch()

    def _check_is_newer(self, event: EndpointList) -> None:
        """Raise EndpointListError unless a list from a former address is newer than the one in use."""
        if event.version <= self.version:
            raise EndpointListError(
                f"version {event.version} from a former address, not newer than {self.version}"
            )

    def _accept(self, list_update: EndpointListUpdate) -> None:
        """Pass the list on, and fetch it again later if it has invalid entries."""
        event = list_update.event
        self.stale_list_filter.accept(event)
        # An agent may be called several times a second, mostly without a change: that is not passed on.
        if event.entries or event.form == ListForm.FULL or not self.timeouts.is_pushed:
            self.notify_update(list_update)
        if list_update.invalid_entry_count:
            self._schedule_refetch()
        else:
            self.refetches = 0

    def _schedule_refetch(self) -> None:
        """Fetch the full list after a delay, unless that is scheduled already."""
        if self.is_refetch_scheduled:
            return
        self.is_refetch_scheduled = True
        delay_ns = REFETCH_DELAY_NS if self.refetches else FIRST_REFETCH_DELAY_NS
        delay_ns = max(delay_ns, self.requests.budget.wait_ns(self.loop.now()))
        self.set_timer(delay_ns, WatchTimer.REFETCH)
        self.refetches += 1

    def _handle_watch_answered(self) -> None:
        """Open the next watch."""
        self.last_watch_failed = False
        self.consecutive_failures = 0
        self.requests.handle_changes_used()
        self._open_watch()
        if not self.requests.needs_full_list:
            self.lease.extend(self.loop.now(), self.watch_wait_ns)

    def _handle_watch_failed(self, ended: CallEnded) -> None:
        """Reopen the watch, or notify the balancer, which decides when to reopen it."""
        self.last_watch_failed = True
        self.consecutive_failures += 1
        is_refused = ended.document is None and not ended.has_timed_out
        if is_refused and ended.elapsed_ns < IMMEDIATE_REFUSAL_NS:
            self.lease.handle_call_refused(self.loop.now())
        else:
            self.lease.handle_watch_failed(self.loop.now())
        if ended.has_timed_out:
            self._open_watch()  # without a back-off: the timeout was long enough
        elif self.timeouts.is_pushed:
            self.set_timer(REOPEN_DELAY_NS, WatchTimer.REOPEN)
        else:
            self.notify_update(EndpointListUpdate(EndpointList(ListForm.FAILED, 0, ()), {}, 0))
