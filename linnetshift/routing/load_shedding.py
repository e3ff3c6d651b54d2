"""Load shedding: which share of the keys is admitted while most endpoints miss their latency objectives.

Which keys those are depends on the key alone, so all balancers shed the same groups, and a client that
returns gets the same answer from any of them.
"""

from __future__ import annotations

from dataclasses import dataclass

from linnetshift.routing.context import RoutingContext
from linnetshift.routing.endpoints import Endpoint, EndpointTable
from linnetshift.routing.events import AdoptedConnection, EndpointState, Request
from linnetshift.routing.pending_requests import key_hash
from linnetshift.routing.rendezvous_hashing import HASH_MASK, mix64

# Shares of the endpoints that miss their objectives: above the first each review admits fewer keys, up to the
# second slowly more.
SHED_ABOVE_SHARE = 0.4
RECOVER_BELOW_SHARE = 0.15
SHED_STEP = 0.35  # part of the admitted share that one review sheds
RECOVERY_STEP = 0.05  # of all keys, that one review admits again
MIN_ADMITTED_SHARE = 0.2
REVIEW_INTERVAL_NS = 1_000_000_000
# The increment of splitmix64: makes admission independent of where the key ranks its endpoints.
ADMISSION_SALT = 0x9E3779B97F4A7C15


@dataclass(slots=True)
class LoadShedding:
    """State: the share of the keys that is admitted, the time of the latest review, and its result."""

    admitted_share: float = 1.0
    reviewed_at: int = 0
    # Most endpoints miss their objectives: migration would only move the load from one to another.
    is_congested: bool = False

    def is_review_due(self, now: int) -> bool:
        """Whether the latest review is long enough ago."""
        return now - self.reviewed_at >= REVIEW_INTERVAL_NS

    def review(self, now: int, over_objective: int, endpoints: int) -> None:
        """Adapt the admitted share, given how many of how many endpoints miss their objectives."""
        self.reviewed_at = now
        # A single slow endpoint can be avoided instead.
        self.is_congested = over_objective > max(1.0, SHED_ABOVE_SHARE * endpoints)
        if self.is_congested:
            self.admitted_share = max(self.admitted_share * (1.0 - SHED_STEP), MIN_ADMITTED_SHARE)
        elif over_objective <= RECOVER_BELOW_SHARE * endpoints:
            self.admitted_share = min(self.admitted_share + RECOVERY_STEP, 1.0)

    def admits_key(self, key: int) -> bool:
        """Whether requests of that hashed key are admitted."""
        return self.admitted_share >= 1.0 or mix64(key ^ ADMISSION_SALT) < self.admitted_share * HASH_MASK

    @property
    def is_at_minimum(self) -> bool:
        """Whether no more can be shed."""
        return self.admitted_share <= MIN_ADMITTED_SHARE


class AdmissionControl:
    """Applies load shedding to the endpoints and requests of one balancer. State: its `LoadShedding`."""

    def __init__(self, context: RoutingContext, endpoints: EndpointTable) -> None:
        """All keys are admitted at first."""
        self._context = context
        self._endpoints = endpoints
        self.load_shedding = LoadShedding()

    def review(self) -> None:
        """Adapt the admitted share once a second: where most endpoints are slow, migration does not help."""
        now = self._context.now
        if not self.load_shedding.is_review_due(now):
            return
        endpoints = self._reviewed_endpoints()
        over_objective = sum(now < endpoint.majority_over_objective_until for endpoint in endpoints)
        self.load_shedding.review(now, over_objective, len(endpoints))

    def _reviewed_endpoints(self) -> list[Endpoint]:
        """Endpoints that are warm and ready or in use; those that warm up only where no other is left."""
        # One of many balancers uses few endpoints: that those are slow says nothing of the others, so ready
        # ones count without connections too.
        in_use = [e for e in self._endpoints.values() if e.established or e.state == EndpointState.READY]
        # That an endpoint is slow while it warms up passes by itself.
        warm = [e for e in in_use if not self._endpoints.is_warming_up(e)]
        return warm or in_use

    def admits(self, request: Request | AdoptedConnection) -> bool:
        """Whether that request, or its connection, is admitted."""
        return self.load_shedding.admits_key(key_hash(request))
