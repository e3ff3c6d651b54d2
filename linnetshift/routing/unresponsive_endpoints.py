"""Detection of unresponsive endpoints from the connect failures that balancers report to each other.

Connections to an unresponsive endpoint get neither an answer nor a reset until the endpoint list changes,
seconds later. Each balancer rarely connects to a given endpoint, so two reports from any balancers suffice.
"""

from __future__ import annotations

from linnetshift.routing.actions import ALL_PEERS, SendPeerMessage
from linnetshift.routing.context import RoutingContext
from linnetshift.routing.endpoints import Endpoint
from linnetshift.routing.migration import Migration
from linnetshift.routing.outlier_detection import OutlierDetection

UNRESPONSIVE_ENDPOINT_PREFIX = b"s"
"""First byte of a message to peers: the sender could not connect to the endpoint whose id follows."""

REPORT_TTL_NS = 5_000_000_000
MIN_REPORTERS = 2  # a second failure of this balancer counts as another reporter


class UnresponsiveEndpoints:
    """Counts reports; from MIN_REPORTERS on, ejects the endpoint and migrates its connections.

    State: the `unresponsive_reports` of the endpoints.
    """

    def __init__(
        self, context: RoutingContext, outlier_detection: OutlierDetection, migration: Migration
    ) -> None:
        """The last two arguments are the components that react to an unresponsive endpoint."""
        self._context = context
        self._outlier_detection = outlier_detection
        self._migration = migration

    def handle_connect_failure(self, endpoint: Endpoint) -> None:
        """Count this balancer's connect failure and report it to the peers unless they know already."""
        settings = self._context.settings
        own_number = settings.node
        reports = endpoint.unresponsive_reports
        recent = sum(self._context.now - at < REPORT_TTL_NS for at in reports.values())
        if settings.may_message_peers and recent < MIN_REPORTERS and own_number not in reports:
            self._context.emit(SendPeerMessage(ALL_PEERS, UNRESPONSIVE_ENDPOINT_PREFIX + endpoint.id))
        # Balancers are numbered from 0, so their count is free to stand for this balancer's second failure.
        second_failure_number = settings.balancers
        self.handle_report(endpoint, second_failure_number if own_number in reports else own_number)

    def handle_report(self, endpoint: Endpoint, reporter: int) -> None:
        """Count the report of the balancer with the number `reporter`; each balancer counts once."""
        now = self._context.now
        since = max(now - REPORT_TTL_NS, endpoint.last_established_at)
        recent = {peer: at for peer, at in endpoint.unresponsive_reports.items() if at > since}
        endpoint.unresponsive_reports = recent | {reporter: now}
        if len(endpoint.unresponsive_reports) >= MIN_REPORTERS:
            self._outlier_detection.record_failure(endpoint, is_overload=False)
            self._migration.begin_gradual_migration(endpoint)
