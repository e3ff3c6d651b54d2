"""Endpoints that are known to have ended or to drain, while the list still has them as ready."""

from __future__ import annotations

from linnetshift.broker.administrative_drains import AdministrativeDrains
from linnetshift.discovery.list_lease import ListLease
from linnetshift.observability import log
from linnetshift.observability.resource_usage import ResourceUsage
from linnetshift.routing.events import EndpointList, EndpointSuspension, ListForm

NS_PER_MS = 1_000_000
# Discovery learns of a process that ended seconds later: an answer that comes sooner may not tell of it yet.
DISCOVERY_LATENESS_NS = 4_000_000_000
# Of the endpoints that are listed as ready, at most this share is suspended at a time.
MAX_SUSPENDED_SHARE = 0.5


class UnconfirmedEndpoints:
    """Suspends endpoints that were seen to end or to drain, once the list's lease has expired.

    An endpoint that refused a connection has no process; one that sent a client away drains. If it serves
    again, discovery has listed it as not ready meanwhile, and that may count as known here by now. So nothing
    new goes there until discovery has answered. While the lease holds, the list tells in time.

    Discovery may answer nothing for long while one endpoint after the other restarts. So at most half of
    those that are listed as ready are suspended at a time, the ones that were seen to end last.
    """

    def __init__(self, lease: ListLease, drains: AdministrativeDrains) -> None:
        """Nothing was seen yet; `lease` is kept up to date by the discovery client, `drains` has the list."""
        self._lease = lease
        self._drains = drains
        self._seen_at_ns: dict[bytes, int] = {}  # when each was last seen to end or to drain
        self._suspended: set[bytes] = set()
        self._was_expired = False

    def record_unavailable(self, endpoint: bytes, now_ns: int) -> None:
        """An endpoint refused a connection, or sent a client away."""
        self._seen_at_ns[endpoint] = now_ns

    def is_suspended(self, endpoint: bytes) -> bool:
        """Whether nothing new may be sent there."""
        return endpoint in self._suspended

    def handle_endpoint_list(self, event: EndpointList) -> None:
        """Discovery has said what is the case with these endpoints; with a full list, with all."""
        if event.form == ListForm.FULL:
            self._seen_at_ns.clear()
        for entry in event.entries:
            self._seen_at_ns.pop(entry.endpoint, None)

    def forget(self, endpoint: bytes) -> None:
        """Its name is forgotten."""
        self._seen_at_ns.pop(endpoint, None)

    def review(self, now_ns: int) -> list[EndpointSuspension]:
        """What has changed since the last review; called several times a second and for each answer."""
        confirmed_until_ns = self._lease.confirmed_at_ns - DISCOVERY_LATENESS_NS
        for endpoint in [e for e, at_ns in self._seen_at_ns.items() if at_ns <= confirmed_until_ns]:
            del self._seen_at_ns[endpoint]
        is_expired = self._lease.is_expired(now_ns)
        self._log_transition(is_expired, now_ns)
        suspended = self._to_suspend() if is_expired else set()
        changed = suspended ^ self._suspended
        self._suspended = suspended
        suspensions = [EndpointSuspension(endpoint, endpoint in suspended) for endpoint in sorted(changed)]
        for suspension in suspensions:
            self._log_suspension(suspension, now_ns)
        return suspensions

    def _to_suspend(self) -> set[bytes]:
        """The endpoints seen to end last, as many of the ready ones as may be suspended."""
        if not self._seen_at_ns:
            return set()
        seen = [endpoint for endpoint in self._seen_at_ns if self._drains.is_listed_ready(endpoint)]
        latest_first = sorted(seen, key=self._seen_at_ns.__getitem__, reverse=True)
        return set(latest_first[: int(self._drains.count_listed_ready() * MAX_SUSPENDED_SHARE)])

    def resource_usage(self, max_endpoints: int) -> dict[str, ResourceUsage]:
        """Its container, under its name in `GET /ops/census`."""
        return {"broker.unconfirmed": ResourceUsage(len(self._seen_at_ns), max_endpoints)}

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
