"""Reactions to the message latency of endpoints: avoidance, migration, load shedding, notices to peers."""

from __future__ import annotations

from functools import partial

from linnetshift.routing.actions import ALL_PEERS, SendPeerMessage
from linnetshift.routing.context import RoutingContext
from linnetshift.routing.endpoints import LATENCY_REPORT_TTL_NS, SLOW_DIVISOR, Endpoint
from linnetshift.routing.health_checks import HealthChecks
from linnetshift.routing.load_shedding import AdmissionControl
from linnetshift.routing.migration import Migration

SLOW_ENDPOINT_PREFIX = b"h"
"""First byte of a message to peers: messages are slow on the endpoint whose id follows."""

# Shares of a balancer's connections to migrate off a slow endpoint at each report, once a second. The first
# applies from two thirds of the objective on; below that the endpoint is only avoided. From the objective on
# the second applies, and once more for each QUEUED_WORK_NS of latency, as that much work is queued; the third
# is the maximum.
NEAR_OBJECTIVE_SHARE = 0.05
OVER_OBJECTIVE_SHARE = 0.1
MAX_SHARE = 0.4
QUEUED_WORK_NS = 200_000_000


def share_to_migrate(latency_ns: int, objective_ns: int) -> float:
    """Return the share of connections with that objective to migrate when messages take `latency_ns`."""
    if latency_ns >= objective_ns:
        return min(MAX_SHARE, OVER_OBJECTIVE_SHARE * (1.0 + latency_ns / QUEUED_WORK_NS))
    return NEAR_OBJECTIVE_SHARE if latency_ns * 3 >= objective_ns * 2 else 0.0


class MessageLatency:
    """Handles latency reports. State: the latency fields of the endpoints."""

    def __init__(
        self,
        context: RoutingContext,
        admission: AdmissionControl,
        health_checks: HealthChecks,
        migration: Migration,
    ) -> None:
        """The arguments are the components that react to slow messages."""
        self._context = context
        self._admission = admission
        self._health_checks = health_checks
        self._migration = migration

    def handle_report(self, endpoint: Endpoint, latency_ns: int) -> None:
        """Handle a report that a message to `endpoint` took `latency_ns`, as measured or estimated."""
        context = self._context
        report_valid_until = context.now + LATENCY_REPORT_TTL_NS
        is_slow = latency_ns * SLOW_DIVISOR >= context.message_latency_objective_ns
        endpoint.over_objective_until = report_valid_until if is_slow else 0
        endpoint.message_latency_ns = latency_ns
        self._notify_peers(endpoint)
        misses_objectives = self._misses_most_objectives(endpoint, latency_ns)
        endpoint.majority_over_objective_until = report_valid_until if misses_objectives else 0
        self._admission.review()
        if is_slow:
            self._migrate_or_check(endpoint, latency_ns, misses_objectives)

    def handle_peer_report(self, endpoint: Endpoint) -> None:
        """Handle a peer's report of slow messages on `endpoint`; its latency is not part of the message."""
        until = self._context.now + LATENCY_REPORT_TTL_NS
        endpoint.over_objective_until = max(endpoint.over_objective_until, until)
        endpoint.message_latency_ns = 0

    def _migrate_or_check(self, endpoint: Endpoint, latency_ns: int, misses_objectives: bool) -> None:
        """Migrate connections; where endpoints report their load, a health check determines the share."""
        if not self._health_checks.may_check_for_migration():
            self._migration.migrate_excess(endpoint, misses_objectives, partial(share_to_migrate, latency_ns))
        elif not self._health_checks.is_load_report_current(endpoint):
            self._health_checks.check(endpoint)  # its result determines the share to migrate

    def _notify_peers(self, endpoint: Endpoint) -> None:
        """Notify peers: those without a connection there would otherwise send migrated clients back.

        Each balancer sends with a probability of 1 / balancers, so that together they send about one message.
        """
        context = self._context
        # Drawn for every report, even if unused: the order of random draws is part of the recorded decisions.
        is_drawn = context.random.random() * context.settings.balancers < 1.0
        if endpoint.over_objective_until and context.settings.may_message_peers and is_drawn:
            context.emit(SendPeerMessage(ALL_PEERS, SLOW_ENDPOINT_PREFIX + endpoint.id))

    def _misses_most_objectives(self, endpoint: Endpoint, latency_ns: int) -> bool:
        """Whether messages miss the objective of at least half of this balancer's connections there."""
        objectives_ns = [
            pending.request_class.message_latency_objective_ns for pending in endpoint.established.values()
        ]
        if not objectives_ns:
            objectives_ns = [self._context.message_latency_objective_ns]
        over_objective = sum(latency_ns >= objective_ns for objective_ns in objectives_ns)
        return 2 * over_objective >= len(objectives_ns)
