"""Checks of established connections for unresponsive endpoints and slow messages, and load reports."""

from __future__ import annotations

from collections.abc import Callable

from linnetshift.broker.active_request import Attempt
from linnetshift.broker.deployment_facts import FactKind, MessageTimes
from linnetshift.broker.endpoint_views import EndpointViews
from linnetshift.broker.event_inbox import EventInbox
from linnetshift.broker.latency_estimator import ConnectionLoad
from linnetshift.broker.ports import UpstreamConnection
from linnetshift.broker.request_table import RequestTable
from linnetshift.routing.events import LOAD_NOTE, MESSAGE_TIME_NOTE, ConnectionNote, Outcome

# A client is migrated when one of its messages has had no reply for this long: a connection without replies
# must be ended or migrated within 7 s.
STALLED_AFTER_NS = 4_000_000_000
# Healthy and overloaded endpoints alike reply to a line at once. An endpoint that has owed a reply for this
# long and has sent nothing on any connection since is unresponsive: all of its clients are migrated.
UNRESPONSIVE_AFTER_NS = 400_000_000
UNRESPONSIVE_REASON = "unresponsive"


class ConnectionReview:
    """Reviews established connections, migrates clients and notifies the balancer of slow endpoints.

    Attributes:
        migrated: how many clients have been asked to migrate since the start.
    """

    def __init__(
        self, table: RequestTable, endpoints: EndpointViews, clock: Callable[[], int], inbox: EventInbox
    ) -> None:
        """Review the connections of `table`."""
        self.table = table
        self.endpoints = endpoints
        self.clock = clock
        self.inbox = inbox
        self.migrated = 0

    def upstream_connections(self) -> dict[bytes, list[tuple[Attempt, UpstreamConnection]]]:
        """Established attempts with their connections, by endpoint."""
        by_endpoint: dict[bytes, list[tuple[Attempt, UpstreamConnection]]] = {}
        for request in self.table.established():
            attempt = request.attempt
            if attempt is not None and attempt.upstream is not None:
                by_endpoint.setdefault(attempt.endpoint, []).append((attempt, attempt.upstream))
        return by_endpoint

    def connection_loads(self) -> dict[bytes, list[ConnectionLoad]]:
        """Loads of the established connections, by endpoint."""
        return {
            endpoint: [
                ConnectionLoad(attempt.load_us_per_s, attempt.request.group, upstream.oldest_unanswered_ns())
                for attempt, upstream in connections
            ]
            for endpoint, connections in self.upstream_connections().items()
        }

    def review_unresponsive_endpoints(self) -> None:
        """Migrate the clients of unresponsive endpoints and of connections without replies.

        Called several times a second: a machine that is gone neither replies nor resets connections.
        """
        for connections in self.upstream_connections().values():
            idle_ns = min(upstream.idle_ns() for _, upstream in connections)
            unanswered_ns = max(upstream.oldest_unanswered_ns() for _, upstream in connections)
            is_unresponsive = unanswered_ns > UNRESPONSIVE_AFTER_NS and idle_ns >= unanswered_ns
            for attempt, upstream in connections:
                if attempt.outcome_on_client_end != Outcome.CANCELLED:
                    continue  # already migrated
                if is_unresponsive or upstream.oldest_unanswered_ns() > STALLED_AFTER_NS:
                    attempt.outcome_on_client_end = Outcome.RESET
                    self.migrate(attempt.request.id, UNRESPONSIVE_REASON)

    def review_latency(self) -> None:
        """Notify the balancer of slow endpoints, each by one of its connections; called once a second."""
        by_endpoint = self.upstream_connections()
        self.endpoints.deployment_facts.review(by_endpoint.keys(), self.clock())
        if not self.table.settings.reports_message_time:
            return
        first_attempts = {endpoint: connections[0][0] for endpoint, connections in by_endpoint.items()}
        for endpoint, elapsed_ms in self.endpoints.latency_estimator.review(
            self.connection_loads(), self.clock()
        ):
            self._notify(first_attempts[endpoint], MESSAGE_TIME_NOTE, elapsed_ms)

    def record_load_report(self, attempt: Attempt, figure: float) -> None:
        """Record a load report: the connection's load in us/s, or the endpoint's message time in ms.

        Both have the same form on the wire and are told apart by the figure (see `ReportedMessageTimes`).
        """
        endpoint = attempt.endpoint
        if not self.endpoints.administrative_drains.is_known(endpoint):
            return  # evicted from the list: nothing is stored for it
        estimator = self.endpoints.latency_estimator
        if self.table.settings.reports_message_time and estimator.record_if_message_time(
            endpoint, figure, self.clock()
        ):
            self.endpoints.deployment_facts.observe(FactKind.MESSAGE_TIMES, MessageTimes.REPORTED)
            self._notify(attempt, MESSAGE_TIME_NOTE, figure)
            return
        attempt.load_us_per_s = figure
        self._notify(attempt, LOAD_NOTE, figure)

    def migrate(self, request_id: int, reason: str) -> None:
        """Ask the client of an established connection to migrate; `reason` is for the log."""
        request = self.table.requests.get(request_id)
        if request is None or request.attempt is None or not request.attempt.is_established:
            return
        self.endpoints.latency_estimator.migrations.record_migrated_out(self.clock())
        self.migrated += 1
        request.client.migrate(reason)

    def _notify(self, attempt: Attempt, kind: int, value: float) -> None:
        self.inbox.post(ConnectionNote(attempt.request.id, attempt.number, attempt.endpoint, kind, value))
