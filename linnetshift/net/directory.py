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
from linnetshift.net.loop import MS, Actor, Io, Loop, S, Script, Timeout
from linnetshift.net.platform import Names
from linnetshift.net.provider import Dialing, Endpoint, Steps, parse_endpoint
from linnetshift.net.stream import End

# How long a watch may stay without news. What a silent directory had to tell counts as told 2 s later.
WATCH_MS = 10_000
PATIENCE_NS = 2 * S
CALL_NS = 6 * S
MOST_BODY = 8 << 20
PATH = "/catalog/members"
STATES = {"SERVING": HostState.READY, "DRAINING": HostState.DRAINING, "DELETED": HostState.GONE}


class Roster(NamedTuple):
    """A list or its changes, as the module wants it, and where the providers listen."""

    event: api.HostList
    endpoints: dict[bytes, Endpoint]


def read_list(document: Any, names: Names, cached: bool = False) -> Roster:
    """Raises ValueError where the document is no list; an entry that makes no sense is left out."""
    if not isinstance(document, dict) or not isinstance(document.get("targets"), list):
        raise ValueError("no list of targets")
    version = document.get("rev")
    entries, endpoints = [], {}
    for target in document["targets"]:
        try:
            entry, endpoint = read_entry(target, names)
        except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
            log.note("bad-target", error=f"{type(error).__name__}: {error}")
            continue
        entries.append(entry)
        endpoints[entry.host] = endpoint
    form = ListForm.CACHED if cached else ListForm.FULL if document.get("all") else ListForm.DELTA
    event = api.HostList(form, version if isinstance(version, int) else 0, tuple(entries))
    return Roster(event, endpoints)


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
                error = f"{type(failure).__name__}: {failure}"
        timer.cancel()
        if self.stream is not None:
            self.stream.close()
        if document is None:
            log.note("directory-call-failed", path=self.path, error=error)
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


class Directory(Actor):
    """Keeps the watch that the module asked for and reports lists, changes and failures."""

    def __init__(
        self, loop: Loop, endpoint: Endpoint, names: Names, version: int, told: Callable[[Roster], None]
    ) -> None:
        super().__init__(loop)
        self.endpoint, self.names, self.version, self.told = endpoint, names, version, told
        self.watching: Call | None = None

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
        kept = call is self.watching
        if not kept and "since" in call.path:
            return
        try:
            roster = read_list(document, self.names)
        except ValueError:
            if kept:
                self.watching = None
            self.told(Roster(api.HostList(ListForm.FAILED, 0, ()), {}))
            return
        self.version = roster.event.version
        self.told(roster)
        if kept:
            self.watch_on()
