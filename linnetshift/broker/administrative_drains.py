"""Endpoints that operators have drained: an overlay on every endpoint list on its way to the balancer.

A drained endpoint is listed as draining, whatever discovery reports of it, until it is restored. So the
balancer needs no rule for it: it sends nothing new there and migrates what is established.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from linnetshift.observability.resource_usage import ResourceUsage
from linnetshift.routing.events import EndpointEntry, EndpointList, EndpointState, ListForm

# How soon connections must be gone: operators restart a drained endpoint some 2 s after their call.
DRAIN_WITHIN_NS = 1_700_000_000
# The most endpoints that may be listed at once; those beyond are left out. Machines are replaced under new
# names, and a discovery service may go wrong: without bounds, names would pile up.
MAX_LISTED = 8192
# The most endpoints known: the listed ones, and removed ones, whose entries are needed for a restore.
MAX_KNOWN = 2 * MAX_LISTED
# The most endpoints drained at once. A drain holds until its restore and is never dropped, so one more is
# rejected.
MAX_DRAINED = 4096

# Keys of the state that is handed over to another process.
_REMOVED_KEY = "gone"
_DRAINED_KEY = "out"
_RESTORED_KEY = "back"


class RestoredEndpoint(NamedTuple):
    """When an endpoint was drained, and when it was restored, in ns of the system's monotonic clock."""

    drained_at_ns: int
    restored_at_ns: int


def is_full_list(event: EndpointList) -> bool:
    """Whether an endpoint that the event does not name is not listed any more."""
    return event.form in (ListForm.FULL, ListForm.CACHED)


def max_names() -> int:
    """The most endpoints that may be known by name at once."""
    return MAX_KNOWN + MAX_DRAINED


class AdministrativeDrains:
    """Every endpoint ever listed, and which of them operators have drained or restored.

    Attributes:
        listed: the latest entry of each endpoint as discovery reported it, removed ones included, those
            reported longest ago first.
        drained_at_ns: when each endpoint that is drained now was drained.
        restored: endpoints restored since discovery last reported a restart of theirs.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        """Start with nothing listed; `clock` gives ns of the system's monotonic clock."""
        self.clock = clock
        self.version = 0  # of the latest list
        self.listed: dict[bytes, EndpointEntry] = {}
        self.drained_at_ns: dict[bytes, int] = {}
        self.restored: dict[bytes, RestoredEndpoint] = {}

    # ---- the endpoint list ------------------------------------------------------------------

    def limit_entries(self, event: EndpointList) -> EndpointList:
        """The event without the new entries beyond MAX_LISTED."""
        if len(event.entries) + len(self.listed) <= MAX_LISTED:
            return event
        remaining = self._endpoints_listed_after(event)
        room = MAX_LISTED - len(remaining)
        accepted = []
        for entry in event.entries:
            if entry.endpoint in remaining or entry.state == EndpointState.REMOVED:
                accepted.append(entry)
            elif room > 0:
                room -= 1
                accepted.append(entry)
        return event._replace(entries=tuple(accepted))

    def _endpoints_listed_after(self, event: EndpointList) -> set[bytes]:
        """Endpoints listed now that the event does not remove by leaving them out of a full list."""
        present = {
            endpoint for endpoint, entry in self.listed.items() if entry.state != EndpointState.REMOVED
        }
        if not is_full_list(event):
            return present
        return present & {entry.endpoint for entry in event.entries}

    def overlay(self, event: EndpointList) -> EndpointList:
        """Record a list or its changes, and return it as the balancer is to see it."""
        if event.form == ListForm.FAILED:
            return event
        self.version = event.version
        if is_full_list(event):
            listed_now = {entry.endpoint for entry in event.entries}
            for endpoint, entry in self.listed.items():
                if endpoint not in listed_now:
                    self.listed[endpoint] = entry._replace(state=EndpointState.REMOVED)
        for entry in event.entries:
            self.listed.pop(entry.endpoint, None)  # to the end: those reported longest ago come first
            self.listed[entry.endpoint] = entry
        return event._replace(entries=tuple(self._overlay_entry(entry) for entry in event.entries))

    def _overlay_entry(self, entry: EndpointEntry) -> EndpointEntry:
        restored = self.restored.get(entry.endpoint)
        if restored is not None and restored.restored_at_ns:
            if entry.started_ns > restored.drained_at_ns:
                del self.restored[entry.endpoint]  # discovery has the exact time of the restart
            else:
                entry = entry._replace(started_ns=restored.restored_at_ns)
        if entry.endpoint not in self.drained_at_ns:
            return entry
        if entry.state == EndpointState.READY:
            entry = entry._replace(state=EndpointState.DRAINING)
        return entry._replace(drain_within_ns=DRAIN_WITHIN_NS)

    def entry_update(self, endpoint: bytes) -> EndpointList:
        """What the balancer is to see of one known endpoint after a drain or restore."""
        entry = self._overlay_entry(self.listed[endpoint])
        return EndpointList(ListForm.DELTA, self.version, (entry,))

    def forget_removed(self) -> list[bytes]:
        """Drop those removed for longest where more than MAX_KNOWN are known, and return which they were."""
        excess = len(self.listed) - MAX_KNOWN
        if excess <= 0:
            return []
        removed = [
            endpoint
            for endpoint, entry in self.listed.items()
            if entry.state == EndpointState.REMOVED and endpoint not in self.drained_at_ns
        ]
        forgotten = removed[:excess]
        for endpoint in forgotten:
            del self.listed[endpoint]
            self.restored.pop(endpoint, None)
        return forgotten

    def is_known(self, endpoint: bytes) -> bool:
        """Whether it was ever listed and is not forgotten since."""
        return endpoint in self.listed

    def is_listed_ready(self, endpoint: bytes) -> bool:
        """Whether discovery last reported that it serves; an administrative drain does not count."""
        return endpoint in self.listed and self.listed[endpoint].state == EndpointState.READY

    def count_listed_ready(self) -> int:
        """How many endpoints discovery last reported to serve."""
        return sum(entry.state == EndpointState.READY for entry in self.listed.values())

    # ---- drains and restores ----------------------------------------------------------------

    def is_full(self) -> bool:
        """Whether no more endpoints can be drained."""
        return len(self.drained_at_ns) >= MAX_DRAINED

    def is_drained(self, endpoint: bytes) -> bool:
        """Whether operators have drained it and not restored it since."""
        return endpoint in self.drained_at_ns

    def drain_endpoint(self, endpoint: bytes) -> None:
        """List it as draining from now on."""
        self.drained_at_ns[endpoint] = self.clock()

    def restore_endpoint(self, endpoint: bytes) -> None:
        """List a drained endpoint as discovery does again.

        It has been restarted meanwhile, so it is listed as started now unless discovery knows better.
        """
        drained_at_ns = self.drained_at_ns.pop(endpoint)
        self.restored[endpoint] = RestoredEndpoint(drained_at_ns, self.clock())

    # ---- state and usage --------------------------------------------------------------------

    def export_state(self) -> dict[str, Any]:
        """What another process needs to hold the same drains; `import_state` takes it."""
        removed = [
            endpoint for endpoint, entry in self.listed.items() if entry.state == EndpointState.REMOVED
        ]
        return {
            _REMOVED_KEY: [endpoint.decode() for endpoint in removed],
            _DRAINED_KEY: {endpoint.decode(): at_ns for endpoint, at_ns in self.drained_at_ns.items()},
            _RESTORED_KEY: {
                endpoint.decode(): [restored.drained_at_ns, restored.restored_at_ns]
                for endpoint, restored in self.restored.items()
            },
        }

    def import_state(self, state: dict[str, Any]) -> None:
        """Take over exported drains, before the first list is recorded.

        Raises AttributeError, KeyError, TypeError or ValueError where the state makes no sense.
        """
        for endpoint in map(str.encode, state[_REMOVED_KEY]):
            self.listed.setdefault(endpoint, EndpointEntry(endpoint, 0, 0, 0, EndpointState.REMOVED, 1.0, 0))
        self.drained_at_ns = {
            endpoint.encode(): int(at_ns) for endpoint, at_ns in state[_DRAINED_KEY].items()
        }
        self.restored = {
            endpoint.encode(): RestoredEndpoint(int(drained_at_ns), int(restored_at_ns))
            for endpoint, (drained_at_ns, restored_at_ns) in state[_RESTORED_KEY].items()
        }

    def resource_usage(self) -> dict[str, ResourceUsage]:
        """Sizes and bounds, under their names in `GET /ops/census`."""
        return {
            "names.known": ResourceUsage(len(self.listed), max_names()),
            "bans.out": ResourceUsage(len(self.drained_at_ns), MAX_DRAINED),
            "bans.back": ResourceUsage(len(self.restored), max_names()),
        }
