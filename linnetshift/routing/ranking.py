"""Ranks the listed endpoints for a key by weighted rendezvous hashing over a cached candidate list.

A request's key (its group, else its client) is hashed once and mixed with the hash of each listed endpoint;
the endpoint with the highest -weight / log(h) comes first.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

from linnetshift.routing.context import RoutingContext
from linnetshift.routing.endpoints import Endpoint, EndpointTable
from linnetshift.routing.events import EndpointState
from linnetshift.routing.group_affinity import GroupSizeEstimator
from linnetshift.routing.rendezvous_hashing import HASH_MASK, endpoint_hash, rank
from linnetshift.routing.slow_start import NS_PER_S, SlowStart, token_rate

if TYPE_CHECKING:
    import numpy.typing as npt

# Weights rise in steps during warm-up, so that balancers whose clocks differ by milliseconds agree on the
# ranking.
WARM_UP_STEPS = 8
NO_EXPIRY_NS = HASH_MASK  # later than any time of the caller's clock


@dataclass(frozen=True, slots=True)
class Candidates:
    """The endpoints to rank, sorted by id; the arrays are parallel to `endpoints`."""

    endpoints: list[Endpoint]
    hashes: npt.NDArray[np.uint64]
    inverse_weights: npt.NDArray[np.float64]
    total_capacity: float  # in weights; each endpoint's scaled by its warm-up factor
    valid_until: int  # ns of the caller's clock


class EndpointRanking:
    """Ranks endpoints by key and updates slow start whenever the candidates change.

    State: the candidates (cached until a list update or the next warm-up step), the number of connections
    that the predecessor process still holds, and how many connections fill an endpoint of weight 1.
    """

    def __init__(
        self,
        context: RoutingContext,
        endpoints: EndpointTable,
        slow_start: SlowStart,
        group_sizes: GroupSizeEstimator,
    ) -> None:
        """Candidates are computed on first use."""
        self._context = context
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._group_sizes = group_sizes
        self._cached: Candidates | None = None
        self.peer_connections = 0
        # Weight 1 is a standard core. Estimated from the reported loads of connections; 0.0 before the first.
        self.connections_per_weight = 0.0

    def invalidate(self) -> None:
        """Discard the cached candidates after a change of the list or the settings."""
        self._cached = None

    def candidates(self) -> Candidates:
        """Return the current candidates; recomputing them also updates slow start."""
        if self._cached is None or self._context.now >= self._cached.valid_until:
            self._cached = self._compute_candidates()
        return self._cached

    def ranked(self, key: int) -> Iterator[Endpoint]:
        """Iterate over the listed endpoints for a hashed key, best first; ties are in the order of ids."""
        candidates = self.candidates()
        order = rank(key, candidates.hashes, candidates.inverse_weights)
        return map(candidates.endpoints.__getitem__, order)

    def _compute_candidates(self) -> Candidates:
        context = self._context
        listed = [e for e in self._endpoints.values() if e.state != EndpointState.REMOVED]
        listed.sort(key=lambda endpoint: endpoint.id)
        factors = [self._quantized_warm_up_factor(endpoint) for endpoint in listed]
        weights = [endpoint.weight * factor for endpoint, factor in zip(listed, factors, strict=True)]
        capacities = [self._endpoints.capacity(e) * f for e, f in zip(listed, factors, strict=True)]
        total_capacity = sum(capacities)
        self._update_slow_start(listed, capacities, total_capacity)
        is_any_warming_up = min(factors, default=1.0) < 1.0
        step_ns = context.settings.warm_up_ns // (2 * WARM_UP_STEPS)
        return Candidates(
            endpoints=listed,
            hashes=np.array([endpoint_hash(endpoint.id) for endpoint in listed], dtype=np.uint64),
            inverse_weights=1.0 / (self._zone_weights(listed) * np.array(weights)),
            total_capacity=total_capacity,
            valid_until=context.now + step_ns if is_any_warming_up else NO_EXPIRY_NS,
        )

    def _quantized_warm_up_factor(self, endpoint: Endpoint) -> float:
        """The warm-up factor rounded down to a multiple of 1 / WARM_UP_STEPS, at least one step."""
        factor = self._endpoints.warm_up_factor(endpoint)
        steps = int(factor * WARM_UP_STEPS) or 1  # weights must not be 0, as they are inverted
        return steps / WARM_UP_STEPS

    def _zone_weights(self, listed: list[Endpoint]) -> npt.NDArray[np.float64]:
        """The factor by which the zone of each endpoint scales its weight.

        Where crossing zones has a cost, keys prefer endpoints of the balancer's own zone, as far as there are
        enough endpoints to serve each group in every zone.
        """
        settings = self._context.settings
        zone_spread = 1.0
        if self._endpoints.has_fewer_endpoints_than_balancers():
            zone_spread = self._group_sizes.zone_spread([endpoint.zone for endpoint in listed])
        other_zone_weight = settings.cross_zone_weight**zone_spread
        return np.array([1.0 if e.zone == settings.zone else other_zone_weight for e in listed])

    def _update_slow_start(self, listed: list[Endpoint], capacities: list[float], total: float) -> None:
        """Set the token rate, and the shares by capacity over all zones, which are equal at each balancer."""
        settings = self._context.settings
        self._slow_start.shares = {
            endpoint.id: capacity / total
            for endpoint, capacity in zip(listed, capacities, strict=True)
            if endpoint.accepts_new and self._endpoints.is_warming_up(endpoint)
        }
        own_connections = sum(len(endpoint.established) for endpoint in self._endpoints.values())
        self._update_connections_per_weight()
        self._slow_start.tokens_per_s = token_rate(
            settings,
            first_arrivals_per_s=self._slow_start.first_arrivals_per_s.decayed(self._context.now),
            established_count=self.peer_connections + own_connections,
            capacity=self.connections_per_weight * total / settings.balancers,
            endpoint_count=len(listed),
        )

    def _update_connections_per_weight(self) -> None:
        """Re-estimate from the connections whose load is known; keep the last value if there are none."""
        loads = [
            pending.load_ns_per_s
            for endpoint in self._endpoints.values()
            for pending in endpoint.established.values()
            if pending.load_ns_per_s
        ]
        if loads:
            # A standard core does NS_PER_S of work a second; divided by the mean load of a connection.
            self.connections_per_weight = NS_PER_S * len(loads) / sum(loads)
