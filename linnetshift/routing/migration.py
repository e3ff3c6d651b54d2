"""Migration of established connections: which ones move to another endpoint, and how many at once."""

from __future__ import annotations

from collections.abc import Callable

from linnetshift.routing.actions import Migrate
from linnetshift.routing.context import RoutingContext
from linnetshift.routing.endpoint_selection import EndpointSelection
from linnetshift.routing.endpoints import Endpoint
from linnetshift.routing.events import EndpointState
from linnetshift.routing.load_shedding import SHED_STEP, AdmissionControl
from linnetshift.routing.pending_requests import PendingRequest
from linnetshift.routing.tick_timer import TickTimer

UNRESPONSIVE_SHARE = 0.05  # of this balancer's connections on an unresponsive endpoint, migrated per tick
DEFAULT_DRAIN_NS = 5_000_000_000  # time to migrate connections off an endpoint that announces no drain time
STOPPING_SOON_TICKS = 12  # last ticks of a drain, in which connections migrate to any ready endpoint

ShareToMigrate = Callable[[int], float]
"""Maps the message latency objective of a class, in ns, to the share of its connections to migrate."""


class Migration:
    """Migrates connections off endpoints that are slow, loaded, unresponsive or draining.

    State: the endpoints with a gradual migration in progress, which moves some connections at each tick.
    """

    def __init__(
        self,
        context: RoutingContext,
        selection: EndpointSelection,
        admission: AdmissionControl,
        tick_timer: TickTimer,
    ) -> None:
        """No gradual migration is in progress at first."""
        self._context = context
        self._selection = selection
        self._admission = admission
        self._tick_timer = tick_timer
        self._migrating_off: dict[bytes, Endpoint] = {}

    def __len__(self) -> int:
        """How many endpoints have a gradual migration in progress."""
        return len(self._migrating_off)

    def begin_gradual_migration(self, endpoint: Endpoint) -> None:
        """Start migrating any connections off an endpoint that drains, was removed or is unresponsive."""
        if endpoint.established:
            self._migrating_off[endpoint.id] = endpoint
            self._tick_timer.start()

    def handle_established(self, endpoint: Endpoint) -> None:
        """Stop the gradual migration, as the endpoint responds, unless it drains or was removed."""
        self._migrating_off.pop(endpoint.id, None)
        if endpoint.state != EndpointState.READY:
            self.begin_gradual_migration(endpoint)

    def handle_tick(self) -> None:
        """Continue each gradual migration; end it if no connection is left or the endpoint has recovered."""
        for endpoint in list(self._migrating_off.values()):
            self._migrate_due(endpoint)
            is_recovered = (
                endpoint.state == EndpointState.READY and self._context.now >= endpoint.ejected_until
            )
            if not endpoint.established or is_recovered:
                del self._migrating_off[endpoint.id]
        if self._migrating_off:
            self._tick_timer.start()

    def migrate_excess(self, endpoint: Endpoint, misses_objectives: bool, share: ShareToMigrate) -> None:
        """Migrate part of this balancer's connections, heaviest first; each balancer decides independently.

        `share` gives the part by the objective of the class; connections with a share of 0 stay. While the
        endpoint `misses_objectives` of most, connections that are not admitted migrate first.
        """
        not_admitted = self._not_admitted(endpoint) if misses_objectives else []
        # Counts are rounded randomly, here and below, so that small shares migrate some over time.
        count = int(len(endpoint.established) * SHED_STEP + self._context.random.random())
        for pending in not_admitted[:count]:
            self.migrate(pending, endpoint)
        # While most endpoints are slow and more load can be shed, migration does not help. Otherwise admitted
        # connections must migrate too, or their endpoint would stay overloaded.
        load_shedding = self._admission.load_shedding
        is_shedding = load_shedding.is_congested and not load_shedding.is_at_minimum
        if not not_admitted and not (misses_objectives and is_shedding):
            self._migrate_heaviest(endpoint, share)

    def migrate(self, pending: PendingRequest, endpoint: Endpoint) -> None:
        """Migrate one connection; it no longer counts as established on `endpoint`."""
        endpoint.remove_established(pending)
        self._context.emit(Migrate(pending.request.request_id))

    def _not_admitted(self, endpoint: Endpoint) -> list[PendingRequest]:
        """The connections on `endpoint` whose keys load shedding does not currently admit."""
        established = endpoint.established.values()
        return [pending for pending in established if not self._admission.admits(pending.request)]

    def _migrate_heaviest(self, endpoint: Endpoint, share: ShareToMigrate) -> None:
        """Migrate as many connections as the shares add up to, by descending share, then load."""
        shares = {
            pending: share(pending.request_class.message_latency_objective_ns)
            for pending in endpoint.established.values()
        }
        count = int(sum(shares.values()) + self._context.random.random())
        movable = [pending for pending in shares if shares[pending]]
        movable.sort(key=lambda pending: (-shares[pending], -pending.load_ns_per_s))
        for pending in movable[:count]:
            if self._selection.find_alternative(pending, endpoint):
                self.migrate(pending, endpoint)

    def _migrate_due(self, endpoint: Endpoint) -> None:
        """Migrate the connections that are due at this tick.

        On a draining endpoint they are spread evenly over the ticks until it stops; on an unresponsive one
        they are UNRESPONSIVE_SHARE at each tick.
        """
        context = self._context
        is_ready = endpoint.state == EndpointState.READY
        stops_at = endpoint.draining_since + (endpoint.drain_within_ns or DEFAULT_DRAIN_NS)
        remaining_ticks = max(1, (stops_at - context.now) // context.tick_ns)
        share = UNRESPONSIVE_SHARE if is_ready else 1.0 / remaining_ticks
        count = int(len(endpoint.established) * share + context.random.random())
        is_stopping_soon = not is_ready and remaining_ticks <= STOPPING_SOON_TICKS
        for pending in list(endpoint.established.values())[:count]:
            if self._selection.find_alternative(pending, endpoint, is_stopping_soon) is not None:
                self.migrate(pending, endpoint)
