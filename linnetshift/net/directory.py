"""Discovery: its list of endpoints, asked for over HTTP and watched for changes."""

from __future__ import annotations

import json
import math
import random
import select
from collections.abc import Callable
from typing import Any, NamedTuple

import h11

from linnetshift import interface as api
from linnetshift.interface import EndpointState, ListForm
from linnetshift.net import log
from linnetshift.net.log import MOST_TOLD
from linnetshift.net.loop import MS, Actor, ActorCoroutine, Io, Loop, S, Timeout
from linnetshift.net.platform import UNKNOWN, NameRegistry
from linnetshift.net.provider import Address, OutboundConnection, Steps, parse_address
from linnetshift.net.stream import End

SOON_NS = 50 * MS  # before an agent on this machine is asked again that refused or failed a call
# What discovery has counts as told 6 s after it could be reached, whatever a failed or silent call may wait
# for: connection, news and answer of the next call stay well under it together, and so does each back-off.
CONNECT_NS, SOON_WAIT_MS, MOST_CALL_NS = 1 * S, 1000, 4 * S
MOST_PATIENCE = 2  # how often the patience with a silent discovery is doubled
SPREAD = 0.75  # waits are drawn from this share up: proxies whose watches ended together call one by one
DOUBT_NS = 30 * S  # how long an answer that contradicts what is known must hold to be believed
AGAIN_NS = 2 * S  # after an answer with unreadable entries
MOST_BODY = 1 << 20  # thousands of endpoints; read, it takes some ten times as much memory
PATH = "/catalog/members"
STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}


class WatchTimeouts(NamedTuple):
    """How long discovery is waited for: some time after it falls silent, its news counts as told."""

    pushed: bool  # the lists come to an agent on this machine, which answers at once and at no cost
    wait_ms: int  # how long a watch may stay without news
    patience_ns: int  # and how much longer its answer may take
    call_ns: int  # for the whole list

    @classmethod
    def of(cls, settings: api.Settings) -> WatchTimeouts:
        """A silent discovery's news counts as told 2 s past the wait, at the soonest after 6 s of silence.

        An agent's counts from the moment it has them, watch or no watch, so a silent one is asked again while
        the grace still lasts. One call at a shared discovery costs as much as tens of lines.
        """
        if settings.must_poll:
            return cls(False, 10_000, 750 * MS, 2200 * MS)
        grace = max(100 * MS, min(settings.drain_grace_ns, 4 * S))
        return cls(True, grace // 2 // MS, grace // 4, grace // 2)


class EndpointListUpdate(NamedTuple):
    """A list or its changes, as the module wants it, and where the endpoints listen."""

    event: api.EndpointList
    addresses: dict[bytes, Address]
    unread: int  # entries that made no sense


def read_list(document: Any, names: NameRegistry, cached: bool = False) -> EndpointListUpdate:
    """Raises ValueError where the document is no list; an entry that makes no sense is left out.

    What a whole list with such an entry does not name may be what could not be read, so it counts as
    changes only.
    """
    if not isinstance(document, dict) or not isinstance(document.get("targets"), list):
        raise ValueError("no list of targets")
    version = document.get("rev", 0 if cached else None)
    if not isinstance(version, int) or version < 0:
        raise ValueError("no version")
    entries, addresses, errors = [], {}, []
    for target in document["targets"]:
        try:
            entry, address = read_entry(target, names)
        except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
            errors.append(f"{type(error).__name__}: {error}")
            continue
        entries.append(entry)
        addresses[entry.endpoint] = address
    if errors:
        log.note("endpoint-entries-invalid", count=len(errors), first=errors[0][:MOST_TOLD])
    whole = document.get("all") and not errors
    form = ListForm.CACHED if cached else ListForm.FULL if whole else ListForm.DELTA
    return EndpointListUpdate(api.EndpointList(form, version, tuple(entries)), addresses, len(errors))


def read_entry(target: dict[str, Any], names: NameRegistry) -> tuple[api.EndpointEntry, Address]:
    weight = float(target.get("capacity_hint", 1.0))
    entry = api.EndpointEntry(
        endpoint=str(target["uid"]).encode(),
        zone=names.zones.get(str(target.get("az")), UNKNOWN),
        kind=names.kinds.get(str(target.get("model")), UNKNOWN),
        cell=int(target.get("pod_group") or 0),
        state=STATES[target["state"]],
        weight=weight if math.isfinite(weight) else 1.0,
        started_ns=int(target.get("boot_ms") or 0) * MS,
    )
    return entry, parse_address(target["endpoint"])


def describe(entry: api.EndpointEntry, address: Address, names: NameRegistry) -> dict[str, Any]:
    """The entry as discovery would list it: what `read_entry` reads."""

    def named(places: dict[str, int], place: int) -> str:
        return next((name for name, at in places.items() if at == place), "")

    return {
        "uid": entry.endpoint.decode(),
        "endpoint": f"{address[0]}:{address[1]}",
        "az": named(names.zones, entry.zone),
        "model": named(names.kinds, entry.kind),
        "pod_group": entry.cell,
        "state": next(word for word, state in STATES.items() if state == entry.state),
        "capacity_hint": entry.weight,
        "boot_ms": entry.started_ns // MS,
    }


class Answer(NamedTuple):
    call: Call
    document: Any  # None where the call failed
    silent: bool = False  # for want of an answer


class Call(OutboundConnection):
    """One GET. It fails on any status but 200, on a reset, and on silence past its wait."""

    def __init__(self, loop: Loop, address: Address, path: str, limit_ns: int, discovery: Actor) -> None:
        super().__init__(loop)
        self.address, self.path, self.limit_ns, self.discovery = address, path, limit_ns, discovery

    def run(self) -> ActorCoroutine:
        until = self.loop.now() + self.limit_ns
        document, error = None, "unreachable"
        if (yield from self.connect(self.address, min(CONNECT_NS, self.limit_ns))):
            timer = self.set_timer(until - self.loop.now(), "call")
            try:
                document, error = (yield from self.exchange()), ""
            except (h11.RemoteProtocolError, ValueError, ConnectionError, TimeoutError) as failure:
                error = f"{type(failure).__name__}: {log.words(failure)}"
            timer.cancel()
        if self.stream is not None:
            self.stream.close()
        if document is None:
            log.note("discovery-call-failed", path=self.path, error=error[:MOST_TOLD])
        self.discovery.post(Answer(self, document, document is None and self.loop.now() >= until))

    def gave_up(self) -> None:
        self.discovery.post(Answer(self, None))

    def exchange(self) -> Steps:
        stream = self.stream
        assert stream is not None
        http = h11.Connection(h11.CLIENT)
        endpoint = f"{self.address[0]}:{self.address[1]}"
        request = h11.Request(
            method="GET", target=self.path, headers=[("Host", endpoint), ("Connection", "close")]
        )
        stream.send(http.send(request) + (http.send(h11.EndOfMessage()) or b""))
        body = bytearray()
        while True:
            event = http.next_event()
            if isinstance(event, h11.Response) and event.status_code != 200:
                raise ConnectionError(f"status {event.status_code}")
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > MOST_BODY:
                    raise ValueError("the answer is too long")
            elif isinstance(event, h11.EndOfMessage):
                return json.loads(body)
            elif event is h11.NEED_DATA:
                yield from self.feed(http)

    def feed(self, http: h11.Connection) -> Steps:
        stream = self.stream
        assert stream is not None
        match (yield):
            case Io(mask):
                if mask & select.EPOLLOUT:
                    stream.flush()
                end = stream.fill()
                if data := stream.rest():
                    http.receive_data(bytes(data))
                elif end is End.RESET:
                    raise ConnectionError("reset")
                elif end is End.FIN:
                    http.receive_data(b"")
            case Timeout(tag="call"):
                raise TimeoutError("no answer in time")


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
                log.note("discovery-response-ignored", error=str(error)[:MOST_TOLD])
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
            self.told(EndpointListUpdate(api.EndpointList(ListForm.FAILED, 0, ()), {}, 0))

    def doubt(self, event: api.EndpointList, kept: bool) -> None:
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
