"""The watch on discovery's endpoint list over HTTP: the full list first, then a long poll for each change."""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

from linnetshift.config.names import NameRegistry
from linnetshift.discovery.endpoint_list import (
    EndpointListError,
    EndpointListUpdate,
    parse_endpoint_list,
)
from linnetshift.discovery.http_call import CallEnded, DiscoveryCall
from linnetshift.discovery.list_lease import ListLease
from linnetshift.discovery.stale_list import StaleListFilter
from linnetshift.discovery.watch_timeouts import WatchTimeouts
from linnetshift.event_loop.actor import Actor, ActorCoroutine
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.timers import MS, S, Timeout
from linnetshift.observability import log
from linnetshift.observability.log import MAX_LOGGED_CHARS
from linnetshift.routing.events import EndpointList, ListForm

LIST_PATH = "/catalog/members"

# Pause before an agent on this machine is called again after it refused or failed a call.
REOPEN_DELAY_NS = 50 * MS
# How long the watch after a failed or silent one waits for a change: its answer soon shows that all is well.
WAIT_AFTER_FAILURE_MS = 1000
# The most that a call for the full list may take, however often the limit was doubled.
MAX_FULL_LIST_CALL_NS = 4 * S
# A call that fails sooner was refused without having waited for its turn: discovery is down.
REFUSAL_NS = 250 * MS
# The most often that the time limits of calls are doubled while none is answered.
MAX_TIMEOUT_DOUBLINGS = 2
# Waits are drawn between this share and the whole, so that proxies whose watches ended together do not all
# call together again.
MIN_WAIT_SHARE = 0.75
# Calls beside the watch are heard out, up to so many; the oldest is ended for one more.
MAX_OTHER_CALLS = 4
# Pause before the list is fetched again after an answer with invalid entries, or one that was held back: the
# first soon, since what could not be used counts as known here, and more only if the next is like that too.
FIRST_REFETCH_DELAY_NS = 250 * MS
REFETCH_DELAY_NS = 2 * S


class WatchTimer(Enum):
    """Tags of the timers of `Discovery`."""

    REFETCH = "refetch"  # fetch the full list again, after an answer that could not be used whole
    REOPEN = "reopen"  # open the watch again, after an agent refused or failed a call


class SetWatch(NamedTuple):
    """Open the watch unless it is open, or ignore its answer."""

    is_on: bool


class FetchList(NamedTuple):
    """Fetch the full list once, beside the watch."""


class Relocate(NamedTuple):
    """The configuration was reloaded: discovery's address and timeouts from now on."""

    address: Address
    timeouts: WatchTimeouts


class Discovery(Actor):
    """Keeps a watch open while the decisions want one, and reports lists, changes and failures.

    A watch that fell silent is reopened at once, as only this class knows how old the list is. A watch that
    failed is reopened soon where lists are pushed; where they are polled, the decisions are notified of the
    failure and say when to call again.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        names: NameRegistry,
        known: EndpointListUpdate,
        notify_update: Callable[[EndpointListUpdate], None],
        timeouts: WatchTimeouts,
        seed: int = 0,
        notify_call_ended: Callable[[], None] = lambda: None,
        lease: ListLease | None = None,
    ) -> None:
        """`known` is the list in use at the start; `notify_call_ended` is called whatever a call brought.

        `lease` is that of the list, and is kept up to date here.
        """
        super().__init__(loop)
        self.address = address
        self.names = names
        self.notify_update = notify_update
        self.timeouts = timeouts
        self.notify_call_ended = notify_call_ended
        self.lease = lease or ListLease(loop.now())
        self.random = random.Random(seed)
        self.stale_lists = StaleListFilter(known.event)
        self.needs_full_list = False  # the address is new and has not answered yet
        self.consecutive_failures = 0  # calls of the watch that were refused, broken off or not answered
        self.last_watch_failed = False  # or brought nothing in time, or a list that was not used
        self.is_refetch_scheduled = False
        self.refetches = 0  # since the last answer that was used whole
        self.watch_wait_ns = 0  # how long discovery is to hold the latest watch open
        self.watch_call: DiscoveryCall | None = None
        self.other_calls: list[DiscoveryCall] = []  # former watches, and single fetches of the list

    @property
    def version(self) -> int:
        """Version of the list in use."""
        return self.stale_lists.version

    # ---- called by other parts --------------------------------------------------------------

    def relocate(self, address: Address, timeouts: WatchTimeouts) -> None:
        """Watch at this address from now on, with a call at once even if the address is the same.

        A change that discovery had at a reload must be known here soon after.
        """
        self.post(Relocate(address, timeouts))

    def watch(self, is_on: bool) -> None:
        """Open the watch, or end it."""
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
        """Handle one message; a timer may fire after its purpose is gone."""
        match message:
            case SetWatch(is_on=True) if self.watch_call is None:
                self._open_watch()
            case SetWatch(is_on=False):
                self.watch_call = None  # its answer is ignored
            case FetchList():
                self._fetch_list()
            case Relocate(address, timeouts):
                self._handle_relocation(address, timeouts)
            case Timeout(tag=WatchTimer.REFETCH):
                self.is_refetch_scheduled = False
                self._fetch_list()
            case Timeout(tag=WatchTimer.REOPEN) if self.watch_call is None:
                self._open_watch()
            case CallEnded():
                self._handle_call_ended(message)
                self.notify_call_ended()

    def _handle_relocation(self, address: Address, timeouts: WatchTimeouts) -> None:
        """Open the watch at the address at once.

        The watch before may have fallen silent, so nothing waits for its end. But what discovery has written
        to it counts as known here, so it is heard out.
        """
        self.timeouts = timeouts
        self.lease.handle_reload(self.loop.now())
        if self.watch_call is not None:
            self._add_other_call(self.watch_call)
        if address != self.address:
            self.address = address
            self.needs_full_list = True
        self._open_watch()

    def _add_other_call(self, call: DiscoveryCall) -> None:
        """Keep a call whose answer is used beside the watch's."""
        self.other_calls.append(call)
        if len(self.other_calls) > MAX_OTHER_CALLS:
            self.other_calls.pop(0).end()

    def _fetch_list(self) -> None:
        """Call for the full list beside the watch."""
        self._add_other_call(self._call(LIST_PATH, self.timeouts.full_list_ns))

    def _call(self, path: str, limit_ns: int) -> DiscoveryCall:
        """Start a call; its end arrives as `CallEnded`."""
        call = DiscoveryCall(self.loop, self.address, path, limit_ns, self)
        call.start(call.run())
        return call

    def _open_watch(self) -> None:
        """Call for the next change, or for the full list where the address is new.

        The call follows the last answer at once: 200 ms later, discovery would take it as a new watch.
        """
        # A shared discovery takes calls in turn, and one that was given up takes its turn all the same. So
        # calls that are cut short keep it crowded, and all that it accepts may be given up before their turn.
        doublings = 0 if self.timeouts.is_pushed else min(self.consecutive_failures, MAX_TIMEOUT_DOUBLINGS)
        if self.needs_full_list:
            limit_ns = min(self.timeouts.full_list_ns << doublings, MAX_FULL_LIST_CALL_NS)
            self.watch_call = self._call(LIST_PATH, limit_ns)
            return
        wait_ms = self._draw_wait_ms()
        self.watch_wait_ns = wait_ms * MS
        path = f"{LIST_PATH}?since={self.version}&timeout_ms={wait_ms}"
        self.watch_call = self._call(path, wait_ms * MS + (self.timeouts.margin_ns << doublings))

    def _draw_wait_ms(self) -> int:
        """How long discovery is to hold the next watch open without a change."""
        # An agent serves this proxy alone.
        share = 1.0 if self.timeouts.is_pushed else self.random.uniform(MIN_WAIT_SHARE, 1.0)
        wait_ms = self.timeouts.wait_ms
        if self.last_watch_failed:
            wait_ms = min(wait_ms, WAIT_AFTER_FAILURE_MS)
        return int(wait_ms * share)

    # ---- answers ----------------------------------------------------------------------------

    def _handle_call_ended(self, ended: CallEnded) -> None:
        """Use the list that a call brought, or act on its failure."""
        call = ended.call
        is_watch = call is self.watch_call
        if is_watch:
            self.watch_call = None
        elif call in self.other_calls:
            self.other_calls.remove(call)
        else:
            return  # a watch that the decisions ended
        list_update = self._parse(ended.document)
        if list_update is not None and self._is_usable(list_update, call, is_watch):
            if call.address == self.address:
                self.lease.renew(self.loop.now())
            self._accept(list_update)
            if is_watch:
                self._handle_watch_answered()
        elif is_watch:
            self._handle_watch_failed(ended)

    def _parse(self, document: Any) -> EndpointListUpdate | None:
        """The list in an answer; None where there is no answer, or it is no list."""
        if document is None:
            return None
        try:
            return parse_endpoint_list(document, self.names).with_removals(self.stale_lists.listed)
        except EndpointListError as error:
            log.info("discovery-response-ignored", error=str(error)[:MAX_LOGGED_CHARS])
            return None

    def _is_usable(self, list_update: EndpointListUpdate, call: DiscoveryCall, is_watch: bool) -> bool:
        """Whether the list is to be used whole; of one that is held back, what is not ready is used."""
        try:
            if call.address != self.address:
                self._check_is_newer(list_update.event)
            self.stale_lists.check(list_update.event, is_watch, self.loop.now())
        except EndpointListError as error:
            log.info("discovery-response-ignored", error=str(error)[:MAX_LOGGED_CHARS])
            if call.address == self.address:
                self._apply_unavailable(list_update)
            return False
        return True

    def _apply_unavailable(self, list_update: EndpointListUpdate) -> None:
        """Use what a list that is held back says of endpoints that are not ready, until a current one."""
        unavailable = list_update.only_unavailable(self.version)
        if unavailable.event.entries:
            self.notify_update(unavailable)
            self._schedule_refetch()

    def _check_is_newer(self, event: EndpointList) -> None:
        """Raise EndpointListError unless a list from a former address is newer than that in use."""
        if event.version <= self.version:
            raise EndpointListError(f"version {event.version} from a former address")

    def _accept(self, list_update: EndpointListUpdate) -> None:
        """Pass the list on, and fetch it again later where some of it was invalid."""
        event = list_update.event
        self.stale_lists.accept(event)
        # An agent may be called several times a second, mostly without a change.
        if event.entries or event.form == ListForm.FULL or not self.timeouts.is_pushed:
            self.notify_update(list_update)
        if list_update.invalid_entries:
            self._schedule_refetch()
        else:
            self.refetches = 0

    def _schedule_refetch(self) -> None:
        """Fetch the full list soon, unless that is to happen already."""
        if self.is_refetch_scheduled:
            return
        self.is_refetch_scheduled = True
        self.set_timer(REFETCH_DELAY_NS if self.refetches else FIRST_REFETCH_DELAY_NS, WatchTimer.REFETCH)
        self.refetches += 1

    def _handle_watch_answered(self) -> None:
        """Open the next watch."""
        self.needs_full_list = False
        self.last_watch_failed = False
        self.consecutive_failures = 0
        self._open_watch()
        self.lease.extend(self.loop.now(), self.watch_wait_ns)

    def _handle_watch_failed(self, ended: CallEnded) -> None:
        """Reopen the watch, or leave it to the decisions when to."""
        self.last_watch_failed = True
        self.consecutive_failures += 1
        is_refused = ended.document is None and not ended.has_timed_out
        if is_refused and ended.elapsed_ns < REFUSAL_NS:
            self.lease.handle_call_refused(self.loop.now())
        else:
            self.lease.handle_watch_failed(self.loop.now())
        if ended.has_timed_out:
            self._open_watch()  # without a back-off: the time-out was one
        elif self.timeouts.is_pushed:
            self.set_timer(REOPEN_DELAY_NS, WatchTimer.REOPEN)
        else:
            self.notify_update(EndpointListUpdate(EndpointList(ListForm.FAILED, 0, ()), {}, 0))
