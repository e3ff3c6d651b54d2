"""Providers that operators have taken out: laid over every list on its way to the module.

A provider that is taken out is listed as draining, whatever the directory says of it, until it is called
back. So the module needs no rule for it: it sends nothing new there and moves off what stands.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from linnetshift.core.census import Held
from linnetshift.interface import HostEntry, HostList, HostState, ListForm

LEAVE_NS = 1_700_000_000  # operators restart what they took out some 2 s after the call
# Machines are replaced under new names, and a directory may go wrong: without bounds, names would pile up.
MOST_LISTED = 8192  # providers that the list names at once; what is beyond is left out
MOST_KNOWN = 2 * MOST_LISTED  # with those that are gone
MOST_OUT = 4096  # bans; each holds until the call back, so one more is answered no


class Bans:
    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.version = 0
        self.listed: dict[bytes, HostEntry] = {}  # as the directory last told, also of those that are gone
        self.since: dict[bytes, int] = {}  # when each was taken out
        self.back: dict[bytes, tuple[int, int]] = {}  # of those called back: when taken out, when called

    def bounded(self, event: HostList) -> HostList:
        """The event without those new entries that would be too many to keep."""
        if len(event.entries) + len(self.listed) <= MOST_LISTED:
            return event
        named = {entry.host for entry in event.entries}
        whole = event.form in (ListForm.FULL, ListForm.CACHED)
        stays = {
            h for h, e in self.listed.items() if e.state != HostState.GONE and not (whole and h not in named)
        }
        room = MOST_LISTED - len(stays)
        kept = []
        for entry in event.entries:
            if entry.host in stays or entry.state == HostState.GONE:
                kept.append(entry)
            elif room > 0:
                room -= 1
                kept.append(entry)
        return event._replace(entries=tuple(kept))

    def lay_over(self, event: HostList) -> HostList:
        """The list or change as the module is to see it."""
        if event.form == ListForm.FAILED:
            return event
        self.version = event.version
        if event.form in (ListForm.FULL, ListForm.CACHED):
            named = {entry.host for entry in event.entries}
            for host, entry in self.listed.items():
                if host not in named:
                    self.listed[host] = entry._replace(state=HostState.GONE)
        for entry in event.entries:
            self.listed.pop(entry.host, None)  # to the end: those told of longest ago come first
            self.listed[entry.host] = entry
        return event._replace(entries=tuple(self.shown(entry) for entry in event.entries))

    def shown(self, entry: HostEntry) -> HostEntry:
        taken, called = self.back.get(entry.host, (0, 0))
        if called and entry.started_ns > taken:
            del self.back[entry.host]  # the directory has heard of the restart: its word is the exact one
        elif called:
            entry = entry._replace(started_ns=called)
        if entry.host in self.since and entry.state == HostState.READY:
            entry = entry._replace(state=HostState.DRAINING)
        if entry.host in self.since:
            entry = entry._replace(leave_ns=LEAVE_NS)
        return entry

    def trim(self) -> list[bytes]:
        """Forget those gone for longest; their names, which nobody else need keep either."""
        over = len(self.listed) - MOST_KNOWN
        if over <= 0:
            return []
        gone = [h for h, e in self.listed.items() if e.state == HostState.GONE and h not in self.since]
        for host in gone[:over]:
            del self.listed[host]
            self.back.pop(host, None)
        return gone[:over]

    def full(self) -> bool:
        """Whether one more cannot be taken out."""
        return len(self.since) >= MOST_OUT

    def held(self) -> dict[str, Held]:
        return {
            "names.known": Held(len(self.listed), MOST_KNOWN + MOST_OUT),
            "bans.out": Held(len(self.since), MOST_OUT),
            "bans.back": Held(len(self.back), MOST_KNOWN + MOST_OUT),
        }

    def holds(self, host: bytes) -> bool:
        return host in self.since

    def ready(self, host: bytes) -> bool:
        """Whether the directory last told that it serves."""
        return host in self.listed and self.listed[host].state == HostState.READY

    def knows(self, host: bytes) -> bool:
        """Whether it was ever listed."""
        return host in self.listed

    def take_out(self, host: bytes) -> None:
        self.since[host] = self.clock()

    def call_back(self, host: bytes) -> None:
        """It has been restarted meanwhile, so it counts as cold from now on unless the list knows better."""
        self.back[host] = self.since.pop(host), self.clock()

    def state(self) -> dict[str, Any]:
        """What another process needs to hold the same bans; `restore` takes it."""
        gone = [h for h, entry in self.listed.items() if entry.state == HostState.GONE]
        return {
            "gone": [host.decode() for host in gone],
            "out": {host.decode(): since for host, since in self.since.items()},
            "back": {host.decode(): times for host, times in self.back.items()},
        }

    def restore(self, state: dict[str, Any]) -> None:
        for host in map(str.encode, state["gone"]):
            self.listed.setdefault(host, HostEntry(host, 0, 0, 0, HostState.GONE, 1.0, 0))
        self.since = {host.encode(): int(since) for host, since in state["out"].items()}
        self.back = {host.encode(): (int(t), int(c)) for host, (t, c) in state["back"].items()}

    def change(self, host: bytes) -> HostList:
        """What the module is told of one provider after a call."""
        return HostList(ListForm.DELTA, self.version, (self.shown(self.listed[host]),))
