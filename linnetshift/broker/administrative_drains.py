"""Endpoints that operators have taken out: laid over every list on its way to the module.

An endpoint that is taken out is listed as draining, whatever discovery says of it, until it is called
back. So the module needs no rule for it: it sends nothing new there and moves off what stands.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from linnetshift.observability.resource_usage import ResourceUsage
from linnetshift.routing.events import EndpointEntry, EndpointList, EndpointState, ListForm

LEAVE_NS = 1_700_000_000  # operators restart what they took out some 2 s after the call
# Machines are replaced under new names, and a discovery service may go wrong: without bounds, names would
# pile up.
MOST_LISTED = 8192  # endpoints that the list names at once; what is beyond is left out
MOST_KNOWN = 2 * MOST_LISTED  # with those that are gone
MOST_OUT = 4096  # bans; each holds until the call back, so one more is answered no


class AdministrativeDrains:
    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.version = 0
        self.listed: dict[bytes, EndpointEntry] = {}  # as discovery last told, also of those that are gone
        self.since: dict[bytes, int] = {}  # when each was taken out
        self.back: dict[bytes, tuple[int, int]] = {}  # of those called back: when taken out, when called

    def bounded(self, event: EndpointList) -> EndpointList:
        """The event without those new entries that would be too many to keep."""
        if len(event.entries) + len(self.listed) <= MOST_LISTED:
            return event
        named = {entry.endpoint for entry in event.entries}
        whole = event.form in (ListForm.FULL, ListForm.CACHED)
        stays = {
            h
            for h, e in self.listed.items()
            if e.state != EndpointState.REMOVED and not (whole and h not in named)
        }
        room = MOST_LISTED - len(stays)
        kept = []
        for entry in event.entries:
            if entry.endpoint in stays or entry.state == EndpointState.REMOVED:
                kept.append(entry)
            elif room > 0:
                room -= 1
                kept.append(entry)
        return event._replace(entries=tuple(kept))

    def overlay(self, event: EndpointList) -> EndpointList:
        """The list or change as the module is to see it."""
        if event.form == ListForm.FAILED:
            return event
        self.version = event.version
        if event.form in (ListForm.FULL, ListForm.CACHED):
            named = {entry.endpoint for entry in event.entries}
            for endpoint, entry in self.listed.items():
                if endpoint not in named:
                    self.listed[endpoint] = entry._replace(state=EndpointState.REMOVED)
        for entry in event.entries:
            self.listed.pop(entry.endpoint, None)  # to the end: those told of longest ago come first
            self.listed[entry.endpoint] = entry
        return event._replace(entries=tuple(self.shown(entry) for entry in event.entries))

    def shown(self, entry: EndpointEntry) -> EndpointEntry:
        taken, called = self.back.get(entry.endpoint, (0, 0))
        if called and entry.started_ns > taken:
            del self.back[entry.endpoint]  # discovery has heard of the restart: its word is the exact one
        elif called:
            entry = entry._replace(started_ns=called)
        if entry.endpoint in self.since and entry.state == EndpointState.READY:
            entry = entry._replace(state=EndpointState.DRAINING)
        if entry.endpoint in self.since:
            entry = entry._replace(drain_within_ns=LEAVE_NS)
        return entry

    def trim(self) -> list[bytes]:
        """Forget those gone for longest; their names, which nobody else need keep either."""
        over = len(self.listed) - MOST_KNOWN
        if over <= 0:
            return []
        gone = [h for h, e in self.listed.items() if e.state == EndpointState.REMOVED and h not in self.since]
        for endpoint in gone[:over]:
            del self.listed[endpoint]
            self.back.pop(endpoint, None)
        return gone[:over]

    def full(self) -> bool:
        """Whether one more cannot be taken out."""
        return len(self.since) >= MOST_OUT

    def resource_usage(self) -> dict[str, ResourceUsage]:
        return {
            "names.known": ResourceUsage(len(self.listed), MOST_KNOWN + MOST_OUT),
            "bans.out": ResourceUsage(len(self.since), MOST_OUT),
            "bans.back": ResourceUsage(len(self.back), MOST_KNOWN + MOST_OUT),
        }

    def holds(self, endpoint: bytes) -> bool:
        return endpoint in self.since

    def ready(self, endpoint: bytes) -> bool:
        """Whether discovery last told that it serves."""
        return endpoint in self.listed and self.listed[endpoint].state == EndpointState.READY

    def knows(self, endpoint: bytes) -> bool:
        """Whether it was ever listed."""
        return endpoint in self.listed

    def drain_endpoint(self, endpoint: bytes) -> None:
        self.since[endpoint] = self.clock()

    def restore_endpoint(self, endpoint: bytes) -> None:
        """It has been restarted meanwhile, so it counts as cold from now on unless the list knows better."""
        self.back[endpoint] = self.since.pop(endpoint), self.clock()

    def state(self) -> dict[str, Any]:
        """What another process needs to hold the same bans; `restore` takes it."""
        gone = [h for h, entry in self.listed.items() if entry.state == EndpointState.REMOVED]
        return {
            "gone": [endpoint.decode() for endpoint in gone],
            "out": {endpoint.decode(): since for endpoint, since in self.since.items()},
            "back": {endpoint.decode(): times for endpoint, times in self.back.items()},
        }

    def restore(self, state: dict[str, Any]) -> None:
        for endpoint in map(str.encode, state["gone"]):
            self.listed.setdefault(endpoint, EndpointEntry(endpoint, 0, 0, 0, EndpointState.REMOVED, 1.0, 0))
        self.since = {endpoint.encode(): int(since) for endpoint, since in state["out"].items()}
        self.back = {endpoint.encode(): (int(t), int(c)) for endpoint, (t, c) in state["back"].items()}

    def change(self, endpoint: bytes) -> EndpointList:
        """What the module is told of one endpoint after a call."""
        return EndpointList(ListForm.DELTA, self.version, (self.shown(self.listed[endpoint]),))
