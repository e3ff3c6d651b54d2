"""Endpoints that have ended or drain, by this proxy's own observation, but are still listed as ready."""

from __future__ import annotations

from linnetshift.broker.administrative_drains import AdministrativeDrains
from linnetshift.discovery.list_lease import ListLease
from linnetshift.observability import log
from linnetshift.observability.resource_usage import ResourceUsage
from linnetshift.routing.events import EndpointList, EndpointSuspension, ListForm

NS_PER_MS = 1_000_000
# Discovery detects the end of a process with a delay of seconds, so an earlier answer may not reflect it yet.
DISCOVERY_DETECTION_DELAY_NS = 4_000_000_000
# Maximum share of the endpoints listed as ready that may be suspended at a time.
MAX_SUSPENDED_SHARE = 0.5


class UnconfirmedEndpoints:
    """Suspends endpoints that were observed to end or to drain, once the lease on the list has expired.

    An endpoint that refused a connection has ended; one that migrated a client drains. Even if it serves
    again, discovery has listed it as not ready in between, and once the lease has expired this proxy may be
    expected to know that. So it sends no new requests there until discovery answers. Until the lease expires,
    the list is up to date.

    During a long outage of discovery, all endpoints may restart one after the other. So at most half of the
    endpoints listed as ready are suspended at a time, the most recently observed ones.
    """

    def __init__(self, lease: ListLease, drains: AdministrativeDrains) -> None:
        """Start without observations; the discovery client renews `lease`, and `drains` holds the list."""
        self._lease = lease
        self._drains = drains
        self._unavailable_at_ns: dict[bytes, int] = {}  # time of the latest observation, by endpoint
        self._suspended: set[bytes] = set()
        self._was_expired = False

    def record_unavailable(self, endpoint: bytes, now_ns: int) -> None:
        """Record that an endpoint refused a connection or migrated a client."""
        self._unavailable_at_ns[endpoint] = now_ns

    def is_suspended(self, endpoint: bytes) -> bool:
        """Whether no new requests may be sent to the endpoint."""
        return endpoint in self._suspended

    def handle_endpoint_list(self, event: EndpointList) -> None:
        """Drop the observations that discovery's answer supersedes: all for a full list, else by entry."""
        if event.form == ListForm.FULL:
            self._unavailable_at_ns.clear()
        for entry in event.entries:
            self._unavailable_at_ns.pop(entry.endpoint, None)

    def evict(self, endpoint: bytes) -> None:
        """Drop the observation of an endpoint that is no longer known."""
        self._unavailable_at_ns.pop(endpoint, None)

    def review(self, now_ns: int) -> list[EndpointSuspension]:
        """Update suspensions; returns the changes. Called several times a second and after each answer."""
        confirmed_until_ns = self._lease.confirmed_at_ns - DISCOVERY_DETECTION_DELAY_NS
        for endpoint in [e for e, at_ns in self._unavailable_at_ns.items() if at_ns <= confirmed_until_ns]:
            del self._unavailable_at_ns[endpoint]
        is_expired = self._lease.is_expired(now_ns)
        self._log_transition(is_expired, now_ns)
        suspended = self._endpoints_to_suspend() if is_expired else set()
        changed = suspended ^ self._suspended
        self._suspended = suspended
        suspensions = [EndpointSuspension(endpoint, endpoint in suspended) for endpoint in sorted(changed)]
        for suspension in suspensions:
            self._log_suspension(suspension, now_ns)
        return suspensions

    def _endpoints_to_suspend(self) -> set[bytes]:
        """The most recently observed endpoints that are listed as ready, up to MAX_SUSPENDED_SHARE."""
        if not self._unavailable_at_ns:
            return set()
        ready = [endpoint for endpoint in self._unavailable_at_ns if self._drains.is_listed_ready(endpoint)]
        latest_first = sorted(ready, key=self._unavailable_at_ns.__getitem__, reverse=True)
        return set(latest_first[: int(self._drains.count_listed_ready() * MAX_SUSPENDED_SHARE)])

    def resource_usage(self, max_endpoints: int) -> dict[str, ResourceUsage]:
        """Size and bound, under the name in `GET /ops/census`."""
        return {"broker.unconfirmed": ResourceUsage(len(self._unavailable_at_ns), max_endpoints)}

    def _log_transition(self, is_expired: bool, now_ns: int) -> None:
        if is_expired == self._was_expired:
            return
        self._was_expired = is_expired
        age_ms = self._lease.age_ns(now_ns) // NS_PER_MS
        if is_expired:
            log.info("endpoint-list-unconfirmed", age_ms=age_ms)
        else:
            log.info("endpoint-list-confirmed", age_ms=age_ms)

    def _log_suspension(self, suspension: EndpointSuspension, now_ns: int) -> None:
        name = suspension.endpoint.decode("utf-8", "replace")
        age_ms = self._lease.age_ns(now_ns) // NS_PER_MS
        if suspension.is_suspended:
            log.info("endpoint-suspended", endpoint=name, age_ms=age_ms)
        else:
            log.info("endpoint-resumed", endpoint=name, age_ms=age_ms)
