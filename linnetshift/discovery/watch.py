"""Discovery: its list of endpoints, asked for over HTTP and watched for changes."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, NamedTuple

from linnetshift.config.names import NameRegistry
from linnetshift.discovery.endpoint_list import EndpointListUpdate, read_list
from linnetshift.discovery.http_call import Answer, Call
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import MS, Actor, ActorCoroutine, Loop, S, Timeout
from linnetshift.observability import log
from linnetshift.observability.log import MAX_LOGGED_CHARS
from linnetshift.routing.events import EndpointList, ListForm
from linnetshift.routing.settings import Settings

SOON_NS = 50 * MS  # before an agent on this machine is asked again that refused or failed a call
SOON_WAIT_MS = 1000
MOST_CALL_NS = 4 * S
MOST_PATIENCE = 2  # how often the patience with a silent discovery is doubled
SPREAD = 0.75  # waits are drawn from this share up: proxies whose watches ended together call one by one
DOUBT_NS = 30 * S  # how long an answer that contradicts what is known must hold to be believed
AGAIN_NS = 2 * S  # after an answer with unreadable entries
PATH = "/catalog/members"


class WatchTimeouts(NamedTuple):
    """How long discovery is waited for: some time after it falls silent, its news counts as told."""

    pushed: bool  # the lists come to an agent on this machine, which answers at once and at no cost
    wait_ms: int  # how long a watch may stay without news
    patience_ns: int  # and how much longer its answer may take
    call_ns: int  # for the whole list

    @classmethod
    def of(cls, settings: Settings) -> WatchTimeouts:
        """A silent discovery's news counts as told 2 s past the wait, at the soonest after 6 s of silence.

        An agent's counts from the moment it has them, watch or no watch, so a silent one is asked again while
        the grace still lasts. One call at a shared discovery costs as much as tens of lines.
        """
        if settings.must_poll:
            return cls(False, 10_000, 750 * MS, 2200 * MS)
        grace = max(100 * MS, min(settings.drain_grace_ns, 4 * S))
        return cls(True, grace // 2 // MS, grace // 4, grace // 2)


class Watch(NamedTuple):
    on: bool


class Fetch(NamedTuple):
    pass


class Relocate(NamedTuple):
    address: Address
    pace: WatchTimeouts


class Discovery(Actor):
    """Keeps the watch that the module asked for and reports lists, changes and failures.

    It alone knows how old the list is: a watch that fell silent is opened anew at once, and one that failed
    too where the lists are pushed. Elsewhere the module is told of failures, and says when to ask again.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        names: NameRegistry,
        known: EndpointListUpdate,
        told: Callable[[EndpointListUpdate], None],
        pace: WatchTimeouts,
        seed: int = 0,
        heard: Callable[[], None] = lambda: None,
    ) -> None:
        """`heard` is called once the first call has ended, with an answer or without."""
        super().__init__(loop)
        self.address, self.names, self.told, self.pace, self.heard = address, names, told, pace, heard
        self.random = random.Random(seed)
        self.version, self.some = known.event.version, bool(known.event.entries)
        self.whole = False  # owed from an address that has not answered yet
        self.silences = 0  # calls in a row that brought nothing in time
        self.shaken = False  # the last watch failed or fell silent
        self.doubted_at = 0
        self.asking_again = False
        self.watching: Call | None = None
        self.former: Call | None = None  # the watch at an address that was left

    def relocate(self, address: Address, pace: WatchTimeouts) -> None:
        """What it has counts as told soon after, so it is asked at once, whether or not it moved."""
        self.post(Relocate(address, pace))

    def watch(self, on: bool) -> None:
        self.post(Watch(on))

    def fetch(self) -> None:
        self.post(Fetch())

    def run(self) -> ActorCoroutine:
        while True:
            match (yield):
                case Watch(on=True) if self.watching is None:
                    self.watch_on()
                case Watch(on=False):
                    self.watching = None  # its answer is ignored
                case Fetch():
                    self.call(PATH, self.pace.call_ns)
                case Relocate(address, pace):
                    self.pace = pace
                    if address == self.address and self.watching is not None:
                        self.watching.end()  # it may have fallen silent
                    elif address != self.address:
                        # The old address falls silent: nothing may wait for the watch there to end. Its last
                        # answer still counts, if it brings one before the new address does.
                        self.former = self.watching or self.former
                        self.address, self.whole = address, True
                    self.watch_on()
                case Timeout(tag="again"):
                    self.asking_again = False
                    self.call(PATH, self.pace.call_ns)
                case Timeout(tag="open") if self.watching is None:
                    self.watch_on()
                case Answer(call, document, silent):
                    self.answered(call, document, silent)
                    self.heard()

    def call(self, path: str, limit_ns: int) -> Call:
        call = Call(self.loop, self.address, path, limit_ns, self)
        call.start(call.run())
        return call

    def watch_on(self) -> None:
        """The next call follows the last answer at once: after 200 ms it would be a new watch."""
        # A shared discovery that is slow under too many callers is not cured by calls that are cut short.
        patience = 0 if self.pace.pushed else min(self.silences, MOST_PATIENCE)
        if self.whole:
            self.watching = self.call(PATH, min(self.pace.call_ns << patience, MOST_CALL_NS))
            return
        spread = 1.0 if self.pace.pushed else self.random.uniform(SPREAD, 1.0)  # an agent is ours alone
        wait_ms = int(min(self.pace.wait_ms, SOON_WAIT_MS if self.shaken else self.pace.wait_ms) * spread)
        path = f"{PATH}?since={self.version}&timeout_ms={wait_ms}"
        self.watching = self.call(path, wait_ms * MS + (self.pace.patience_ns << patience))

    def answered(self, call: Call, document: Any, silent: bool) -> None:
        kept, former = call is self.watching, call is self.former
        if kept:
            self.watching, self.silences = None, self.silences + 1 if silent else 0
        elif former:
            self.former = None
        elif call.path != PATH or call.address != self.address:
            return
        try:
            list_update = read_list(document, self.names)
            self.doubt(list_update.event, kept)
        except ValueError as error:
            if document is not None:
                log.info("discovery-response-ignored", error=str(error)[:MAX_LOGGED_CHARS])
            if kept:
                self.shaken = True
                self.watch_lost(silent)
            return
        self.version = list_update.event.version
        if list_update.event.form == ListForm.FULL:
            self.some = bool(list_update.event.entries)
        if list_update.event.entries or list_update.event.form == ListForm.FULL or not self.pace.pushed:
            self.told(list_update)  # an agent is asked some times a second, and mostly has no news
        if list_update.unread and not self.asking_again:
            self.asking_again = True
            self.set_timer(AGAIN_NS, "again")
        if kept:
            self.whole, self.former, self.shaken = (
                False,
                None,
                False,
            )  # what the address left behind says is older
            self.watch_on()

    def watch_lost(self, silent: bool) -> None:
        if silent:
            self.watch_on()  # that was wait enough
        elif self.pace.pushed:
            self.set_timer(SOON_NS, "open")
        else:
            self.told(EndpointListUpdate(EndpointList(ListForm.FAILED, 0, ()), {}, 0))

    def doubt(self, event: EndpointList, kept: bool) -> None:
        """An older list, or one that is suddenly empty, may be a slip: it is used only if it stays so.

        At once it would end every connection, or send new ones to endpoints that are known to leave. From
        any call but the watch it is only late.
        """
        older = event.version < self.version
        if not older and (event.entries or event.form != ListForm.FULL or not self.some):
            self.doubted_at = 0
            return
        if kept:
            self.doubted_at = self.doubted_at or self.loop.now()
        if not kept or self.loop.now() - self.doubted_at < DOUBT_NS:
            raise ValueError(f"version {event.version} after {self.version}" if older else "an empty list")
        self.doubted_at = 0
