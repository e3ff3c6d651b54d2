"""The composition root: creates the parts of a proxy and connects them."""

from __future__ import annotations

import os
import select
import signal
import socket
from collections.abc import Callable

from linnetshift.admin.server import AdminServer
from linnetshift.broker.administrative_drains import MAX_LISTED
from linnetshift.broker.broker import Broker
from linnetshift.broker.contracts import Contracts
from linnetshift.config.broker_file import BrokerConfig, BrokerFileReading
from linnetshift.config.proxy_file import ProxyConfig
from linnetshift.decision_loop import DecisionLoop
from linnetshift.discovery.list_lease import ListLease
from linnetshift.discovery.watch import Discovery
from linnetshift.discovery.watch_timeouts import WatchTimeouts
from linnetshift.endpoint_list.parsing import EndpointListUpdate
from linnetshift.event_loop.connection_limits import ConnectionLimiter
from linnetshift.event_loop.loop import Loop
from linnetshift.frontends.channels.frontend import MAX_OPEN_CHANNELS, ChannelsFrontend
from linnetshift.frontends.line_protocol.frontend import LineProtocolFrontend
from linnetshift.lifecycle.channels_activation import ChannelsActivation
from linnetshift.lifecycle.configuration_status import log_broker_file
from linnetshift.lifecycle.hot_restart import HotRestart
from linnetshift.lifecycle.imported_state import ImportedState
from linnetshift.lifecycle.local_process import LocalProcess
from linnetshift.lifecycle.log_summaries import describe_list, log_settings
from linnetshift.lifecycle.reload import ConfigurationReloader
from linnetshift.lifecycle.shutdown_coordinator import ShutdownCoordinator
from linnetshift.lifecycle.takeover_socket import PredecessorState, TakeoverSocketPath
from linnetshift.observability import log
from linnetshift.observability.resource_usage import ResourceUsage
from linnetshift.routing.events import ListForm
from linnetshift.upstream.connector import EndpointConnector

SIGNAL_READ_BYTES = 64  # one read of the wakeup pipe; each signal writes one byte


class Proxy:
    """All parts of one proxy; implements the admin server's `Operations`.

    Create one with `Proxy.start`: the constructor opens no socket and starts no actor.
    """

    def __init__(
        self,
        config: ProxyConfig,
        broker_file: BrokerFileReading,
        platform_listener: socket.socket | None,
        imported: ImportedState,
        socket_path: TakeoverSocketPath | None,
    ) -> None:
        self.loop = Loop()
        self.names = config.names
        self.platform_listener = platform_listener
        self._wire_decisions(config, broker_file.config, imported.list_update or config.cached_list)
        self._wire_frontends(config, broker_file.config, imported)
        self.admin_server = AdminServer(self.loop, self)
        self._wire_lifecycle(config, broker_file, imported)
        self.hot_restart = HotRestart(self.loop, self.local_process, socket_path)

    @classmethod
    def start(
        cls,
        config: ProxyConfig,
        broker_file: BrokerFileReading,
        platform_listener: socket.socket | None = None,
        socket_path: TakeoverSocketPath | None = None,
        predecessor: PredecessorState | None = None,
    ) -> Proxy:
        """Create a proxy that serves once its loop runs.

        Raises OSError if an address of the proxy file cannot be used.

        `platform_listener` is the socket that the platform holds for clients, `socket_path` where a
        successor connects to this process, `predecessor` the state that the replaced process handed over.
        """
        imported = ImportedState(predecessor, config.names)
        proxy = cls(config, broker_file, platform_listener, imported, socket_path)
        proxy._start_decisions(imported)
        proxy._open_listeners(imported)
        proxy.hot_restart.start(predecessor)
        return proxy

    @property
    def config(self) -> ProxyConfig:
        """The proxy file's contents, as last read without errors."""
        return self.reloader.config

    # ---- wiring -----------------------------------------------------------------------------

    def _wire_decisions(
        self, config: ProxyConfig, broker_config: BrokerConfig, initial_list: EndpointListUpdate
    ) -> None:
        self.connector = EndpointConnector(self.loop)
        # Where lists are pushed, the agent on this machine has the current one from the start: no decision is
        # made on the file's older one before the agent has answered or failed.
        self.decision_loop = DecisionLoop(self.loop, waits_for_discovery=not config.settings.must_poll)
        list_lease = ListLease(self.loop.now())
        self.discovery = Discovery(
            self.loop,
            config.discovery,
            self.names,
            initial_list,
            self.handle_list_update,
            WatchTimeouts.of(config.settings),
            config.seed,
            self.decision_loop.handle_discovery_ready,
            list_lease,
        )
        self.broker = Broker(
            config.settings,
            config.seed,
            self.loop.now,
            self.decision_loop,
            self.discovery,
            self.connector,
            Contracts.of(broker_config.contracts, config.names.ever_listed.tenants, config.settings.classes),
            list_lease,
        )
        self.decision_loop.broker = self.broker
        self.connector.broker = self.broker

    def _wire_frontends(
        self, config: ProxyConfig, broker_config: BrokerConfig, imported: ImportedState
    ) -> None:
        self.connection_limiter = ConnectionLimiter(self.loop, config.max_sockets)
        self.frontend = LineProtocolFrontend(self.loop, self.broker, self.names, self.connection_limiter)
        self.channels = ChannelsFrontend(self.loop, self.broker, self.names, self.connection_limiter)
        self.activation = ChannelsActivation(
            self.loop, self.broker, self.channels, broker_config.channels, imported.sockets
        )

    def _wire_lifecycle(
        self, config: ProxyConfig, broker_file: BrokerFileReading, imported: ImportedState
    ) -> None:
        self.shutdown = ShutdownCoordinator(
            self.loop, self.broker, self.frontend, self.activation, self.connection_limiter
        )
        self.reloader = ConfigurationReloader(
            config=config,
            broker_file=broker_file,
            loop=self.loop,
            names=self.names,
            broker=self.broker,
            discovery=self.discovery,
            frontend=self.frontend,
            activation=self.activation,
            admin_server=self.admin_server,
            handle_list_update=self.handle_list_update,
            has_platform_listener=self.platform_listener is not None,
        )
        self.local_process = LocalProcess(
            loop=self.loop,
            names=self.names,
            broker=self.broker,
            decision_loop=self.decision_loop,
            discovery=self.discovery,
            connector=self.connector,
            connection_limiter=self.connection_limiter,
            frontend=self.frontend,
            activation=self.activation,
            shutdown=self.shutdown,
            reloader=self.reloader,
            migrated_by_peer=imported.peer_resources.migrated,
        )

    # ---- start ------------------------------------------------------------------------------

    def _start_decisions(self, imported: ImportedState) -> None:
        """Start the actors, and apply the first endpoint list and the predecessor's state."""
        self.decision_loop.start(self.decision_loop.run())
        self.discovery.start(self.discovery.run())
        if not self.config.settings.must_poll:
            # Pushed lists end at the agent on this machine, and the balancer never requests a watch.
            self.discovery.watch(True)
        imported.restore_drains_and_token_buckets(self.broker)
        self.local_process.update_peer_resources(imported.peer_resources)
        self.handle_list_update(imported.list_update or self.config.cached_list)
        self.broker.process_events()  # the snapshot refers to endpoints that the balancer must know
        imported.restore_snapshot(self.broker)

    def _open_listeners(self, imported: ImportedState) -> None:
        self.frontend.listen(self.config.listen, self.platform_listener)
        self.activation.start(
            self.reloader.broker_file.config.vrrp,
            imported.predecessor_channels(),
        )
        if self.config.admin is not None:
            self.admin_server.replace_acceptor(self.admin_server.open_acceptor(self.config.admin))

    def log_configuration(self) -> None:
        """Log the settings in use as they were parsed, and what of the broker file is not in force."""
        log_settings(self.config.settings)
        log_broker_file(self.reloader.broker_file, self.config.names)

    # ---- events -----------------------------------------------------------------------------

    def handle_list_update(self, list_update: EndpointListUpdate) -> None:
        """Pass an endpoint list, its changes or the failure to get one to the connector and the broker."""
        event = self.broker.administrative_drains.limit_entries(list_update.event)
        if event.form in (ListForm.FULL, ListForm.DELTA):  # a failed call has its own event
            log.info("endpoint-list-received", **describe_list(event, self.loop.now()))
        excess = len(list_update.event.entries) - len(event.entries)
        if excess:
            log.info("endpoint-limit-exceeded", left_out=excess)
        addresses = {
            entry.endpoint: list_update.addresses[entry.endpoint]
            for entry in event.entries
            if entry.endpoint in list_update.addresses
        }
        self.connector.handle_endpoint_list(event, addresses)
        self.broker.handle_endpoint_list(event)

    def watch_signals(self, wakeup_pipe: int) -> None:
        """Handle the signals whose numbers arrive at this descriptor."""

        def handle_ready(_mask: int) -> None:
            self._handle_signals(set(os.read(wakeup_pipe, SIGNAL_READ_BYTES)))

        self.loop.watch(wakeup_pipe, select.EPOLLIN, handle_ready)

    def _handle_signals(self, caught: set[int]) -> None:
        """Reload on SIGHUP; shut down on any other caught signal."""
        if signal.SIGHUP in caught:
            self.reloader.reload()
        terminating_signals = caught - {signal.SIGHUP}
        if terminating_signals:
            self.shutdown.terminate(is_replaced=self.hot_restart.successor is not None)

    # ---- operations of the admin server -----------------------------------------------------

    def not_ready_reason(self) -> str:
        """Why no client is accepted at the moment; empty while they are."""
        if self.shutdown.is_terminating:
            return "leaving"
        if self.hot_restart.successor is not None:
            return "replaced by another process"
        if self.hot_restart.is_taking_over:
            return "taking over"
        if not self.broker.administrative_drains.listed:
            return "waiting for the list of providers"
        if self.frontend.address is None:
            return "not listening"
        return self.activation.not_ready_reason()

    def limitation(self) -> str:
        """What is not served although clients are accepted; empty if all is."""
        return self.activation.not_listening_reason()

    def configuration_status(self) -> dict[str, object]:
        """What of the configuration files is not in force, as an object for JSON."""
        return self.reloader.status().to_json()

    def discovery_status(self) -> dict[str, object]:
        """How current the endpoint list is, and what unusable lists have cost, as an object for JSON."""
        return self.discovery.status()._asdict()

    def resource_usage(self) -> dict[str, ResourceUsage]:
        """Size and bound of every container that lives as long as the process, as in docs/memory.md."""
        connections = self.connection_limiter.max_descriptors + MAX_OPEN_CHANNELS
        return {
            **self.loop.resource_usage(connections),
            **self.broker.resource_usage(connections),
            **self.connector.resource_usage(MAX_LISTED),
            **self.connection_limiter.resource_usage(connections),
            **self.frontend.resource_usage(connections),
            **self.channels.resource_usage(connections),
            **self.admin_server.resource_usage(),
            **self.hot_restart.resource_usage(),
        }

    def is_drain_limit_reached(self, endpoint: bytes) -> bool:
        """Whether so many endpoints are drained that this one cannot be drained too."""
        drains = self.broker.administrative_drains
        return drains.is_full() and not drains.is_drained(endpoint)

    def set_administrative_drain(
        self, endpoint: bytes, is_drained: bool, on_applied: Callable[[bool], None]
    ) -> None:
        """Drain an endpoint or restore it, here and in every other process of this proxy.

        `on_applied` is called once the change is in effect, with whether the endpoint is known.
        """
        if not self.broker.administrative_drains.is_known(endpoint):
            on_applied(False)
            return
        self.hot_restart.apply_administrative_drain(endpoint, is_drained, lambda: on_applied(True))
