"""Migration: which established connections are migrated to another endpoint, and how many at once."""

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

UNRESPONSIVE_SHARE = 0.05  # of this balancer's connections at an unresponsive endpoint, migrated at each tick
DEFAULT_DRAIN_NS = 5_000_000_000  # how long connections have to leave an endpoint that does not say so itself
LAST_CHANCE_TICKS = 12  # at the end of that time, in which connections migrate to any ready endpoint

ShareToMigrate = Callable[[int], float]
"""The share of connections to migrate, by the message latency objective (ns) of their class."""


class Migration:
    """Migrates connections off endpoints that are slow, loaded, unresponsive or draining.

    State: the endpoints that connections leave gradually, some at each tick.
    """

    def __init__(
        self,
        context: RoutingContext,
        selection: EndpointSelection,
        admission: AdmissionControl,
        tick_timer: TickTimer,
    ) -> None:
        """Start with no endpoint to leave."""
        self._context = context
        self._selection = selection
        self._admission = admission
        self._tick_timer = tick_timer
        self._leaving: dict[bytes, Endpoint] = {}

    def __len__(self) -> int:
        """How many endpoints connections are leaving gradually."""
        return len(self._leaving)

    def begin_leaving(self, endpoint: Endpoint) -> None:
        """Migrate its connections gradually, if it has any: it drains, is gone or is unresponsive."""
        if endpoint.established:
            self._leaving[endpoint.id] = endpoint
            self._tick_timer.start()

    def handle_established(self, endpoint: Endpoint) -> None:
        """A connection was established there: it responds, and is left only if it drains or is gone."""
        self._leaving.pop(endpoint.id, None)
        if endpoint.state != EndpointState.READY:
            self.begin_leaving(endpoint)

    def handle_tick(self) -> None:
        """Migrate the next connections of each endpoint that connections are leaving."""
        for endpoint in list(self._leaving.values()):
            self._migrate_next(endpoint)
            is_recovered = (
                endpoint.state == EndpointState.READY and self._context.now >= endpoint.ejected_until
            )
            if not endpoint.established or is_recovered:
                del self._leaving[endpoint.id]
        if self._leaving:
            self._tick_timer.start()

    def migrate_excess(self, endpoint: Endpoint, misses_objectives: bool, share: ShareToMigrate) -> None:
        """Migrate a few of this balancer's connections, heaviest first; each balancer does so by itself.

        `share` gives how many by the objective of their class: those that are served in time there stay.
        While the endpoint `misses_objectives` for most, connections that are not admitted go first.
        """
        not_admitted = self._not_admitted(endpoint) if misses_objectives else []
        # Rounded up or down at random, here and below, so that small shares migrate some in the long run.
        count = int(len(endpoint.established) * SHED_STEP + self._context.random.random())
        for pending in not_admitted[:count]:
            self.migrate(pending, endpoint)
        # While most endpoints are slow and more can be shed, no endpoint is better. Otherwise admitted
        # connections must migrate too, or the overload of their endpoint would last.
        load_shedding = self._admission.load_shedding
        is_shedding = load_shedding.is_congested and not load_shedding.is_at_minimum
        if not not_admitted and not (misses_objectives and is_shedding):
            self._migrate_heaviest(endpoint, share)

    def migrate(self, pending: PendingRequest, endpoint: Endpoint) -> None:
        """Migrate one connection, which no longer counts as established there."""
        endpoint.remove_established(pending)
        self._context.emit(Migrate(pending.request.request_id))

    def _not_admitted(self, endpoint: Endpoint) -> list[PendingRequest]:
        """Its connections whose keys load shedding would not admit now."""
        established = endpoint.established.values()
        return [pending for pending in established if not self._admission.admits(pending.request)]

    def _migrate_heaviest(self, endpoint: Endpoint, share: ShareToMigrate) -> None:
        """Migrate as many as the shares add up to, those with the largest share and load first."""
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

    def _migrate_next(self, endpoint: Endpoint) -> None:
        """Migrate the connections that are due at this tick.

        They leave a draining endpoint evenly until it stops, and an unresponsive one by UNRESPONSIVE_SHARE.
        """
        context = self._context
        is_ready = endpoint.state == EndpointState.READY
        stops_at = endpoint.draining_since + (endpoint.drain_within_ns or DEFAULT_DRAIN_NS)
        remaining_ticks = max(1, (stops_at - context.now) // context.tick_ns)
        share = UNRESPONSIVE_SHARE if is_ready else 1.0 / remaining_ticks
        count = int(len(endpoint.established) * share + context.random.random())
        is_last_chance = not is_ready and remaining_ticks <= LAST_CHANCE_TICKS
        for pending in list(endpoint.established.values())[:count]:
            if self._selection.find_alternative(pending, endpoint, is_last_chance) is not None:
                self.migrate(pending, endpoint)
