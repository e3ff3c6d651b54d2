"""Endpoints where no connection can be established, found by what balancers report to each other.

On an unresponsive endpoint connections get no answer and no reset until the list knows, seconds later. Each
balancer fails to connect there only rarely, so that it takes the reports of two to be sure.
"""

from __future__ import annotations

from linnetshift.routing.actions import ALL_PEERS, SendPeerMessage
from linnetshift.routing.context import RoutingContext
from linnetshift.routing.endpoints import Endpoint
from linnetshift.routing.migration import Migration
from linnetshift.routing.outlier_detection import OutlierDetection

UNRESPONSIVE_MESSAGE = b"s"
"""Opens a message to peers: this balancer could not connect to the endpoint whose id follows."""

REPORT_TTL_NS = 5_000_000_000
MIN_REPORTERS = 2  # a balancer's own second failure counts as one more


class UnresponsiveEndpoints:
    """Counts reports and lets connections leave. State: the `unresponsive_reports` of the endpoints."""

    def __init__(
        self, context: RoutingContext, outlier_detection: OutlierDetection, migration: Migration
    ) -> None:
        """What it tells when an endpoint is found unresponsive."""
        self._context = context
        self._outlier_detection = outlier_detection
        self._migration = migration

    def handle_connect_failure(self, endpoint: Endpoint) -> None:
        """Count this balancer's own failure and report it to the peers, unless that is known already."""
        settings = self._context.settings
        own = settings.node
        reports = endpoint.unresponsive_reports
        recent = sum(self._context.now - at < REPORT_TTL_NS for at in reports.values())
        if settings.may_message_peers and recent < MIN_REPORTERS and own not in reports:
            self._context.emit(SendPeerMessage(ALL_PEERS, UNRESPONSIVE_MESSAGE + endpoint.id))
        # No balancer has that number: it is the key of this one's second failure.
        self.handle_report(endpoint, settings.balancers if own in reports else own)

    def handle_report(self, endpoint: Endpoint, reporter: int) -> None:
        """Count the report of a balancer, given by its number; it counts once."""
        now = self._context.now
        since = max(now - REPORT_TTL_NS, endpoint.last_established_at)
        recent = {peer: at for peer, at in endpoint.unresponsive_reports.items() if at > since}
        endpoint.unresponsive_reports = recent | {reporter: now}
        if len(endpoint.unresponsive_reports) >= MIN_REPORTERS:
            self._outlier_detection.record_failure(endpoint, is_overload=False)
            self._migration.begin_leaving(endpoint)
