"""Load shedding: admits only a share of the keys while many endpoints miss their latency objectives.

Whether a key is admitted depends on the key and the share alone, so all balancers shed the same groups, and a
returning client gets the same answer from each of them.
"""

from __future__ import annotations

from dataclasses import dataclass

from linnetshift.routing.context import RoutingContext
from linnetshift.routing.endpoints import Endpoint, EndpointTable
from linnetshift.routing.events import AdoptedConnection, EndpointState, Request
from linnetshift.routing.pending_requests import key_hash
from linnetshift.routing.rendezvous_hashing import HASH_MASK, mix64

# Shares of endpoints that miss their objectives: above the first, each review sheds keys; up to the second,
# each review admits some again.
SHED_ABOVE_SHARE = 0.4
RECOVER_BELOW_SHARE = 0.15
SHED_STEP = 0.35  # part of the admitted share, shed by one review
RECOVERY_STEP = 0.05  # part of all keys, admitted again by one review
MIN_ADMITTED_SHARE = 0.2
REVIEW_INTERVAL_NS = 1_000_000_000
# The increment of splitmix64; makes admission independent of the key's ranking of endpoints.
ADMISSION_SALT = 0x9E3779B97F4A7C15


@dataclass(slots=True)
class LoadShedding:
    """State: the admitted share of the keys, and the time and result of the latest review."""

    admitted_share: float = 1.0
    reviewed_at: int = 0
    # Too many endpoints miss their objectives: migration would only move load between them.
    is_congested: bool = False

    def is_review_due(self, now: int) -> bool:
        """Whether REVIEW_INTERVAL_NS has passed since the latest review."""
        return now - self.reviewed_at >= REVIEW_INTERVAL_NS

    def review(self, now: int, over_objective_count: int, endpoint_count: int) -> None:
        """Adapt the admitted share to the number of endpoints that miss their objectives."""
        self.reviewed_at = now
        # A single slow endpoint can be avoided instead.
        self.is_congested = over_objective_count > max(1.0, SHED_ABOVE_SHARE * endpoint_count)
        if self.is_congested:
            self.admitted_share = max(self.admitted_share * (1.0 - SHED_STEP), MIN_ADMITTED_SHARE)
        elif over_objective_count <= RECOVER_BELOW_SHARE * endpoint_count:
            self.admitted_share = min(self.admitted_share + RECOVERY_STEP, 1.0)

    def admits_key(self, key: int) -> bool:
        """Whether requests with that hashed key are admitted."""
        return self.admitted_share >= 1.0 or mix64(key ^ ADMISSION_SALT) < self.admitted_share * HASH_MASK

    @property
    def is_at_minimum(self) -> bool:
        """Whether no further keys can be shed."""
        return self.admitted_share <= MIN_ADMITTED_SHARE


class AdmissionControl:
    """Applies load shedding to the endpoints and requests of one balancer. State: its `LoadShedding`."""

    def __init__(self, context: RoutingContext, endpoints: EndpointTable) -> None:
        """All keys are admitted at first."""
        self._context = context
        self._endpoints = endpoints
        self.load_shedding = LoadShedding()

    def review(self) -> None:
        """Adapt the admitted share once a second; migration does not help while most endpoints are slow."""
        now = self._context.now
        if not self.load_shedding.is_review_due(now):
            return
        endpoints = self._reviewed_endpoints()
        over_objective_count = sum(now < endpoint.majority_over_objective_until for endpoint in endpoints)
        self.load_shedding.review(now, over_objective_count, len(endpoints))

    def _reviewed_endpoints(self) -> list[Endpoint]:
        """Warm endpoints that are ready or in use; if there are none, those that are warming up."""
        # One of many balancers uses few endpoints, whose latency says nothing of the others. So ready ones
        # count even without connections.
        in_use = [e for e in self._endpoints.values() if e.established or e.state == EndpointState.READY]
        # An endpoint that is slow while it warms up recovers without load shedding.
        warm = [e for e in in_use if not self._endpoints.is_warming_up(e)]
        return warm or in_use

    def admits(self, request: Request | AdoptedConnection) -> bool:
        """Whether the key of a request or of an adopted connection is admitted."""
        return self.load_shedding.admits_key(key_hash(request))
