"""Endpoints where no connection can be established, found by what balancers report to each other.

On an unresponsive endpoint connections get neither an answer nor a reset until the endpoint list changes,
seconds later. Each balancer connects there only rarely, so two reports, from any balancers, are enough.
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
MIN_REPORTERS = 2  # a second failure of this balancer itself counts as another reporter


class UnresponsiveEndpoints:
    """Counts reports; with enough of them ejects the endpoint and migrates its connections.

    State: the `unresponsive_reports` of the endpoints.
    """

    def __init__(
        self, context: RoutingContext, outlier_detection: OutlierDetection, migration: Migration
    ) -> None:
        """The components that act on an unresponsive endpoint."""
        self._context = context
        self._outlier_detection = outlier_detection
        self._migration = migration

    def handle_connect_failure(self, endpoint: Endpoint) -> None:
        """Count this balancer's own failure and report it to the peers, unless that is known already."""
        settings = self._context.settings
        own_number = settings.node
        reports = endpoint.unresponsive_reports
        recent = sum(self._context.now - at < REPORT_TTL_NS for at in reports.values())
        if settings.may_message_peers and recent < MIN_REPORTERS and own_number not in reports:
            self._context.emit(SendPeerMessage(ALL_PEERS, UNRESPONSIVE_MESSAGE + endpoint.id))
        # Balancers are numbered from 0, so their count stands for this one's second failure.
        second_own_number = settings.balancers
        self.handle_report(endpoint, second_own_number if own_number in reports else own_number)

    def handle_report(self, endpoint: Endpoint, reporter: int) -> None:
        """Count the report of the balancer with that number; each balancer counts once."""
        now = self._context.now
        since = max(now - REPORT_TTL_NS, endpoint.last_established_at)
        recent = {peer: at for peer, at in endpoint.unresponsive_reports.items() if at > since}
        endpoint.unresponsive_reports = recent | {reporter: now}
        if len(endpoint.unresponsive_reports) >= MIN_REPORTERS:
            self._outlier_detection.record_failure(endpoint, is_overload=False)
            self._migration.begin_gradual_migration(endpoint)
