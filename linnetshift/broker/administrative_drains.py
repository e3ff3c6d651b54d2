"""Administrative drains: an overlay on the endpoint lists that the balancer gets.

Until it is restored, a drained endpoint is listed as draining even if discovery reports it as ready. So the
balancer needs no separate rule: it sends no new requests there and migrates established connections.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from linnetshift.observability.resource_usage import ResourceUsage
from linnetshift.routing.events import EndpointEntry, EndpointList, EndpointState, ListForm

# Time within which connections must be gone: operators restart a drained endpoint about 2 s after their call.
DRAIN_WITHIN_NS = 1_700_000_000
# Maximum number of listed endpoints; those beyond are left out. Machines are replaced under new names, and a
# discovery service may be faulty: without a bound, the number of names would grow indefinitely.
MAX_LISTED = 8192
# Maximum number of known endpoints: the listed ones, and removed ones, whose entries a restore needs.
MAX_KNOWN = 2 * MAX_LISTED
# Maximum number of drained endpoints. A drain lasts until the restore and is never evicted, so further drains
# are rejected.
MAX_DRAINED = 4096

# Keys of the state handed over to another process.
_REMOVED_KEY = "gone"
_DRAINED_KEY = "out"
_RESTORED_KEY = "back"


class RestoredEndpoint(NamedTuple):
    """Times at which an endpoint was drained and restored, in ns of the system's monotonic clock."""

    drained_at_ns: int
    restored_at_ns: int


def is_full_list(event: EndpointList) -> bool:
    """Whether the event holds the full list, so that endpoints without an entry are removed."""
    return event.form in (ListForm.FULL, ListForm.CACHED)


def max_names() -> int:
    """Maximum number of endpoints known by name."""
    return MAX_KNOWN + MAX_DRAINED


class AdministrativeDrains:
    """Holds the known endpoints, and which of them operators have drained or restored.

    Attributes:
        listed: latest entry from discovery by endpoint, least recently reported first; includes removed
            endpoints.
        drained_at_ns: time of the drain, by currently drained endpoint.
        restored: endpoints restored since discovery last reported that they restarted.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        """Start without endpoints; `clock` returns ns of the system's monotonic clock."""
        self.clock = clock
        self.version = 0  # of the latest list
        self.listed: dict[bytes, EndpointEntry] = {}
        self.drained_at_ns: dict[bytes, int] = {}
        self.restored: dict[bytes, RestoredEndpoint] = {}

    # ---- the endpoint list ------------------------------------------------------------------

    def limit_entries(self, event: EndpointList) -> EndpointList:
        """The event without new entries beyond MAX_LISTED."""
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
        """Currently listed endpoints, less those that the event removes by their absence from a full list."""
        present = {
            endpoint for endpoint, entry in self.listed.items() if entry.state != EndpointState.REMOVED
        }
        if not is_full_list(event):
            return present
        return present & {entry.endpoint for entry in event.entries}

    def overlay(self, event: EndpointList) -> EndpointList:
        """Record a list or changes of it; returns the event with the overlay applied."""
        if event.form == ListForm.FAILED:
            return event
        self.version = event.version
        if is_full_list(event):
            listed_now = {entry.endpoint for entry in event.entries}
            for endpoint, entry in self.listed.items():
                if endpoint not in listed_now:
                    self.listed[endpoint] = entry._replace(state=EndpointState.REMOVED)
        for entry in event.entries:
            self.listed.pop(entry.endpoint, None)  # reinsert at the end: least recently reported first
            self.listed[entry.endpoint] = entry
        return event._replace(entries=tuple(self._overlay_entry(entry) for entry in event.entries))

    def _overlay_entry(self, entry: EndpointEntry) -> EndpointEntry:
        restored = self.restored.get(entry.endpoint)
        if restored is not None and restored.restored_at_ns:
            if entry.started_ns > restored.drained_at_ns:
                del self.restored[entry.endpoint]  # discovery reports the exact time of the restart
            else:
                entry = entry._replace(started_ns=restored.restored_at_ns)
        if entry.endpoint not in self.drained_at_ns:
            return entry
        if entry.state == EndpointState.READY:
            entry = entry._replace(state=EndpointState.DRAINING)
        return entry._replace(drain_within_ns=DRAIN_WITHIN_NS)

    def entry_update(self, endpoint: bytes) -> EndpointList:
        """The change to send to the balancer after a drain or restore of a known endpoint."""
        entry = self._overlay_entry(self.listed[endpoint])
        return EndpointList(ListForm.DELTA, self.version, (entry,))

    def evict_removed(self) -> list[bytes]:
        """Evict the endpoints removed longest ago beyond MAX_KNOWN; returns those evicted."""
        excess = len(self.listed) - MAX_KNOWN
        if excess <= 0:
            return []
        removed = [
            endpoint
            for endpoint, entry in self.listed.items()
            if entry.state == EndpointState.REMOVED and endpoint not in self.drained_at_ns
        ]
        evicted = removed[:excess]
        for endpoint in evicted:
            del self.listed[endpoint]
            self.restored.pop(endpoint, None)
        return evicted

    def is_known(self, endpoint: bytes) -> bool:
        """Whether the endpoint has been listed and not been evicted since."""
        return endpoint in self.listed

    def is_listed_ready(self, endpoint: bytes) -> bool:
        """Whether discovery last reported the endpoint as ready, regardless of administrative drains."""
        return endpoint in self.listed and self.listed[endpoint].state == EndpointState.READY

    def count_listed_ready(self) -> int:
        """Number of endpoints that discovery last reported as ready."""
        return sum(entry.state == EndpointState.READY for entry in self.listed.values())

    # ---- drains and restores ----------------------------------------------------------------

    def is_full(self) -> bool:
        """Whether the maximum number of endpoints is drained."""
        return len(self.drained_at_ns) >= MAX_DRAINED

    def is_drained(self, endpoint: bytes) -> bool:
        """Whether the endpoint is drained administratively."""
        return endpoint in self.drained_at_ns

    def drain_endpoint(self, endpoint: bytes) -> None:
        """List the endpoint as draining until it is restored."""
        self.drained_at_ns[endpoint] = self.clock()

    def restore_endpoint(self, endpoint: bytes) -> None:
        """End the drain of an endpoint, which is listed again as discovery reports it.

        Operators have restarted it, so its start time is now until discovery reports a start after the drain.
        """
        drained_at_ns = self.drained_at_ns.pop(endpoint)
        self.restored[endpoint] = RestoredEndpoint(drained_at_ns, self.clock())

    # ---- state and usage --------------------------------------------------------------------

    def export_state(self) -> dict[str, Any]:
        """The state that another process needs to apply the same drains, for `import_state`."""
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
        """Restore exported drains; must be called before the first list is recorded.

        Raises AttributeError, KeyError, TypeError or ValueError if the state is malformed.
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
