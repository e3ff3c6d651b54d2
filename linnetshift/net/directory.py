"""The directory: its list of providers, asked for over HTTP and watched for changes."""

from __future__ import annotations

import json
import math
import select
from collections.abc import Callable
from typing import Any, NamedTuple

import h11

from linnetshift import interface as api
from linnetshift.interface import HostState, ListForm
from linnetshift.net import log
from linnetshift.net.log import MOST_TOLD
from linnetshift.net.loop import MS, Actor, Io, Loop, S, Script, Timeout
from linnetshift.net.platform import Names
from linnetshift.net.provider import Dialing, Endpoint, Steps, parse_endpoint
from linnetshift.net.stream import End

# How long a watch may stay without news. What a silent directory had to tell counts as told 2 s later.
WATCH_MS = 10_000
PATIENCE_NS = 2 * S
CALL_NS = 6 * S
DOUBT_NS = 30 * S  # how long an answer that contradicts what is known must hold to be believed
AGAIN_NS = 2 * S  # after an answer with unreadable entries
MOST_BODY = 1 << 20  # thousands of providers; read, it takes some ten times as much memory
PATH = "/catalog/members"
STATES = {"SERVING": HostState.READY, "DRAINING": HostState.DRAINING, "DELETED": HostState.GONE}


class Roster(NamedTuple):
    """A list or its changes, as the module wants it, and where the providers listen."""

    event: api.HostList
    endpoints: dict[bytes, Endpoint]
    unread: int  # entries that made no sense


def read_list(document: Any, names: Names, cached: bool = False) -> Roster:
    """Raises ValueError where the document is no list; an entry that makes no sense is left out.

    What a whole list with such an entry does not name may be what could not be read, so it counts as
    changes only.
    """
    if not isinstance(document, dict) or not isinstance(document.get("targets"), list):
        raise ValueError("no list of targets")
    version = document.get("rev", 0 if cached else None)
    if not isinstance(version, int) or version < 0:
        raise ValueError("no version")
    entries, endpoints, errors = [], {}, []
    for target in document["targets"]:
        try:
            entry, endpoint = read_entry(target, names)
        except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
            errors.append(f"{type(error).__name__}: {error}")
            continue
        entries.append(entry)
        endpoints[entry.host] = endpoint
    if errors:
        log.note("bad-targets", count=len(errors), first=errors[0][:MOST_TOLD])
    whole = document.get("all") and not errors
    form = ListForm.CACHED if cached else ListForm.FULL if whole else ListForm.DELTA
    return Roster(api.HostList(form, version, tuple(entries)), endpoints, len(errors))


def read_entry(target: dict[str, Any], names: Names) -> tuple[api.HostEntry, Endpoint]:
    weight = float(target.get("capacity_hint", 1.0))
    entry = api.HostEntry(
        host=str(target["uid"]).encode(),
        zone=names.zones.get(str(target.get("az")), len(names.zones)),
        kind=names.kinds.get(str(target.get("model")), len(names.kinds)),
        cell=int(target.get("pod_group") or 0),
        state=STATES[target["state"]],
        weight=weight if math.isfinite(weight) else 1.0,
        started_ns=int(target.get("boot_ms") or 0) * MS,
    )
    return entry, parse_endpoint(target["endpoint"])


def describe(entry: api.HostEntry, endpoint: Endpoint, names: Names) -> dict[str, Any]:
    """The entry as the directory would list it: what `read_entry` reads."""

    def named(places: dict[str, int], place: int) -> str:
        return next((name for name, at in places.items() if at == place), "")

    return {
        "uid": entry.host.decode(),
        "endpoint": f"{endpoint[0]}:{endpoint[1]}",
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


class Call(Dialing):
    """One GET. It fails on any status but 200, on a reset, and on silence past its wait."""

    def __init__(self, loop: Loop, endpoint: Endpoint, path: str, limit_ns: int, directory: Actor) -> None:
        super().__init__(loop)
        self.endpoint, self.path, self.limit_ns, self.directory = endpoint, path, limit_ns, directory

    def live(self) -> Script:
        timer = self.alarm(self.limit_ns, "call")
        document, error = None, "unreachable"
        if (yield from self.connect(self.endpoint, PATIENCE_NS)):
            try:
                document, error = (yield from self.exchange()), ""
            except (h11.RemoteProtocolError, ValueError, ConnectionError, TimeoutError) as failure:
                error = f"{type(failure).__name__}: {log.words(failure)}"
        timer.cancel()
        if self.stream is not None:
            self.stream.close()
        if document is None:
            log.note("directory-call-failed", path=self.path, error=error[:MOST_TOLD])
        self.directory.post(Answer(self, document))

    def gave_up(self) -> None:
        self.directory.post(Answer(self, None))

    def exchange(self) -> Steps:
        stream = self.stream
        assert stream is not None
        http = h11.Connection(h11.CLIENT)
        host = f"{self.endpoint[0]}:{self.endpoint[1]}"
        request = h11.Request(
            method="GET", target=self.path, headers=[("Host", host), ("Connection", "close")]
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
    endpoint: Endpoint


class Directory(Actor):
    """Keeps the watch that the module asked for and reports lists, changes and failures."""

    def __init__(
        self, loop: Loop, endpoint: Endpoint, names: Names, known: Roster, told: Callable[[Roster], None]
    ) -> None:
        super().__init__(loop)
        self.endpoint, self.names, self.told = endpoint, names, told
        self.version, self.some = known.event.version, bool(known.event.entries)
        self.doubted_at = 0
        self.asking_again = False
        self.watching: Call | None = None
        self.former: Call | None = None  # the watch at an address that was left

    def relocate(self, endpoint: Endpoint) -> None:
        self.post(Relocate(endpoint))

    def watch(self, on: bool) -> None:
        self.post(Watch(on))

    def fetch(self) -> None:
        self.post(Fetch())

    def live(self) -> Script:
        while True:
            match (yield):
                case Watch(on=True) if self.watching is None:
                    self.watch_on()
                case Watch(on=False):
                    self.watching = None  # its answer is ignored
                case Fetch():
                    self.call(PATH, CALL_NS)
                case Relocate(endpoint) if endpoint != self.endpoint:
                    # The old address falls silent: nothing may wait for the watch there to end. Its last
                    # answer still counts, if it brings one.
                    self.endpoint, self.former = endpoint, self.watching or self.former
                    self.watching = self.call(PATH, CALL_NS)
                case Timeout(tag="again"):
                    self.asking_again = False
                    self.call(PATH, CALL_NS)
                case Answer(call, document):
                    self.answered(call, document)

    def call(self, path: str, limit_ns: int) -> Call:
        call = Call(self.loop, self.endpoint, path, limit_ns, self)
        call.start(call.live())
        return call

    def watch_on(self) -> None:
        """The next call follows the last answer at once: after 200 ms it would be a new watch."""
        path = f"{PATH}?since={self.version}&timeout_ms={WATCH_MS}"
        self.watching = self.call(path, WATCH_MS * MS + PATIENCE_NS)

    def answered(self, call: Call, document: Any) -> None:
        kept, former = call is self.watching, call is self.former
        if former:
            self.former = None
        if (former and document is None) or not (kept or former or call.path == PATH):
            return
        try:
            roster = read_list(document, self.names)
            self.doubt(roster.event)
        except ValueError as error:
            if document is not None:
                log.note("directory-answer-unused", error=str(error)[:MOST_TOLD])
            if kept:
                self.watching = None
            if not former:
                self.told(Roster(api.HostList(ListForm.FAILED, 0, ()), {}, 0))
            return
        self.version = roster.event.version
        if roster.event.form == ListForm.FULL:
            self.some = bool(roster.event.entries)
        self.told(roster)
        if roster.unread and not self.asking_again:
            self.asking_again = True
            self.alarm(AGAIN_NS, "again")
        if kept:
            self.watch_on()

    def doubt(self, event: api.HostList) -> None:
        """An older list, or one that is suddenly empty, may be a slip: it is used only if it stays so.

        At once it would end every connection, or send new ones to providers that are known to leave.
        """
        older = event.version < self.version
        if not older and (event.entries or event.form != ListForm.FULL or not self.some):
            self.doubted_at = 0
            return
        self.doubted_at = self.doubted_at or self.loop.now()
        if self.loop.now() - self.doubted_at < DOUBT_NS:
            raise ValueError(f"version {event.version} after {self.version}" if older else "an empty list")
        self.doubted_at = 0
