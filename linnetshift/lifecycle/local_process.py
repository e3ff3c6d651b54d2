"""The operations that a hot restart performs on the proxy in this process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from linnetshift.broker.broker import Broker
from linnetshift.broker.snapshot import export_state
from linnetshift.decision_loop import DecisionLoop
from linnetshift.discovery.watch import Discovery
from linnetshift.endpoint_list.names import NameRegistry
from linnetshift.endpoint_list.parsing import serialize_entry
from linnetshift.event_loop.connection_limits import ConnectionLimiter
from linnetshift.event_loop.loop import Loop
from linnetshift.frontends.line_protocol.frontend import LineProtocolFrontend
from linnetshift.lifecycle.broker_file_state import export_broker_file
from linnetshift.lifecycle.channels_activation import ChannelsActivation
from linnetshift.lifecycle.reload import ConfigurationReloader
from linnetshift.lifecycle.shutdown_coordinator import ShutdownCoordinator
from linnetshift.lifecycle.takeover_messages import ExportedState, PeerResources
from linnetshift.lifecycle.token_bucket_state import export_token_buckets
from linnetshift.observability import log
from linnetshift.upstream.connector import EndpointConnector


@dataclass(slots=True, kw_only=True, eq=False, repr=False)
class LocalProcess:
    """This process's side of a hot restart: the `RestartOperations` of `HotRestart`."""

    loop: Loop
    names: NameRegistry
    broker: Broker
    decision_loop: DecisionLoop
    discovery: Discovery
    connector: EndpointConnector
    connection_limiter: ConnectionLimiter
    frontend: LineProtocolFrontend
    activation: ChannelsActivation
    shutdown: ShutdownCoordinator
    reloader: ConfigurationReloader
    migrated_by_peer: int  # clients that the other process had told to migrate when it last reported

    def export_state(self) -> ExportedState:
        """Return everything that a successor needs to take over."""
        return ExportedState(
            endpoint_list={"rev": self.discovery.version, "all": True, "targets": self._listed_endpoints()},
            administrative_drains=self.broker.administrative_drains.export_state(),
            token_buckets=export_token_buckets(self.broker.contracts),
            peer_resources=self.peer_resources(),
            snapshot=export_state(self.broker.balancer, self.broker.latency_estimator),
            is_vrrp_active=self.activation.export_role(),
            # What this process inherited itself, its own predecessor may still hold.
            closes_listener=self.activation.inherited_listener is None,
            broker_file=export_broker_file(self.reloader.broker_file),
            descriptors=self.activation.descriptors(),
        )

    def _listed_endpoints(self) -> list[dict[str, Any]]:
        """Return the endpoint list in discovery's form."""
        addresses = self.connector.addresses
        return [
            serialize_entry(entry, addresses[endpoint], self.names)
            for endpoint, entry in self.broker.administrative_drains.listed.items()
            if endpoint in addresses
        ]

    def yield_to_successor(self) -> None:
        """Leave new connections to the successor and migrate the clients to it."""
        self.frontend.set_paused(True)
        self.activation.yield_to_successor()
        if self.shutdown.is_terminating:
            return  # the clients are being migrated already
        self.shutdown.shut_down_replaced()

    def resume_accepting(self) -> None:
        """Accept connections again and keep the clients, as the successor has disconnected."""
        if self.shutdown.is_terminating:
            return  # a process that is about to exit must not accept again
        self.frontend.set_paused(False)
        self.activation.resume()
        self.shutdown.cancel()

    def handle_predecessor_stopped(self, is_confirmed: bool) -> None:
        """Own the channels listener, or reset its clients, as the predecessor no longer accepts."""
        self.activation.handle_predecessor_stopped(is_confirmed)

    def handle_predecessor_exited(self) -> None:
        """Own what was shared with the predecessor."""
        self.activation.handle_predecessor_exited()

    def apply_administrative_drain(
        self, endpoint: bytes, is_drained: bool, on_applied: Callable[[], None]
    ) -> None:
        """Drain the endpoint in this process, or restore it.

        `on_applied` is called once that has taken effect.
        """
        is_known = (
            self.broker.drain_endpoint(endpoint) if is_drained else self.broker.restore_endpoint(endpoint)
        )
        log.info(
            "administrative-drain-changed",
            endpoint=endpoint.decode(errors="replace"),
            out=is_drained,
            known=is_known,
        )
        self.decision_loop.call_when_processed(on_applied)

    def peer_resources(self) -> PeerResources:
        """Return the resources that this process holds, for the other one to count towards its limits."""
        return PeerResources(self.loop.stream_count, self.broker.migrated, self.broker.connection_loads())

    def update_peer_resources(self, peer_resources: PeerResources) -> None:
        """Count the other process's resources towards this one's limits."""
        estimator = self.broker.latency_estimator
        self.connection_limiter.peer_descriptors = peer_resources.streams
        estimator.peer_connections = dict(peer_resources.loads)
        # A client that the other process migrated reconnects to this one. It was this proxy's client before,
        # so it must not count as migrated here by another proxy.
        newly_migrated = peer_resources.migrated - self.migrated_by_peer
        for _ in range(min(newly_migrated, self.connection_limiter.max_descriptors)):
            estimator.migrations.record_migrated_out(self.loop.now())
        self.migrated_by_peer = peer_resources.migrated
        self.broker.balancer.ranking.peer_connections = sum(map(len, peer_resources.loads.values()))
