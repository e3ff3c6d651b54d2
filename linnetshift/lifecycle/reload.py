"""Reload: both configuration files are read again while the proxy continues to serve."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from linnetshift.admin.server import AdminServer
from linnetshift.broker.broker import Broker
from linnetshift.config.broker_file import BrokerConfig
from linnetshift.config.errors import ConfigurationError, RestartRequiredError
from linnetshift.config.loader import ConfigurationFiles, read_files
from linnetshift.config.names import NameRegistry
from linnetshift.config.proxy_file import ProxyConfig
from linnetshift.discovery.endpoint_list import EndpointListUpdate
from linnetshift.discovery.watch import Discovery
from linnetshift.discovery.watch_timeouts import WatchTimeouts
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.timers import S
from linnetshift.frontends.line_protocol.frontend import LineProtocolFrontend
from linnetshift.frontends.listener import Acceptor, Frontend
from linnetshift.lifecycle.channels_activation import ChannelsActivation
from linnetshift.lifecycle.log_summaries import log_settings
from linnetshift.observability import log

# How long requests of a discontinued class are still accepted, as clients learn of the change later.
DISCONTINUED_CLASS_GRACE_NS = 30 * S


@dataclass(slots=True, eq=False, repr=False)
class BoundListeners:
    """Listeners opened by a reload; each is owned by the frontend or server that it is then passed to."""

    frontends: list[tuple[Frontend, Acceptor]] = field(default_factory=list)
    admin: Acceptor | None = None

    def close(self) -> None:
        """Close all of them, as the reload has failed."""
        for _, acceptor in self.frontends:
            acceptor.close()
        if self.admin is not None:
            self.admin.close()


@dataclass(slots=True, kw_only=True, eq=False, repr=False)
class ConfigurationReloader:
    """Holds the configuration in use and replaces it.

    Open requests, the levels of rate limits and the state of endpoints are kept.
    """

    config: ProxyConfig
    broker_config: BrokerConfig
    loop: Loop
    names: NameRegistry  # of this process; the names in `config` are merged into it
    broker: Broker
    discovery: Discovery
    frontend: LineProtocolFrontend
    activation: ChannelsActivation
    admin_server: AdminServer
    handle_list_update: Callable[[EndpointListUpdate], None]
    has_platform_listener: bool  # the platform owns the clients' listening socket: its address is fixed

    def reload(self) -> None:
        """Read and apply both files, or change nothing where one is invalid or an address can't be bound.

        Both files are validated and all new listeners open before the first change.
        """
        listeners = BoundListeners()
        try:
            files = read_files(self.config, self._classes_in_use())
            if files.broker.vrrp != self.broker_config.vrrp:
                raise RestartRequiredError("vrrp")
            self._bind(files, listeners)
        except (ConfigurationError, OSError) as error:
            listeners.close()
            log.info("configuration-rejected", error=str(error))
            return
        self._switch_listeners(files, listeners)
        discontinued = self._apply(files)
        log.info(
            "configuration-reloaded",
            discovery=f"{self.config.discovery[0]}:{self.config.discovery[1]}",
            classes=",".join(offered.name for offered in self.config.settings.offered),
            dropped=",".join(discontinued),
        )
        log_settings(self.config.settings)

    def _classes_in_use(self) -> set[int]:
        """Return the classes of open requests, and those that clients may still request."""
        of_open_requests = {request.class_number for request in self.broker.requests.values()}
        return of_open_requests | {*self.names.classes.values()}

    def _bind(self, files: ConfigurationFiles, listeners: BoundListeners) -> None:
        """Open the listeners at addresses that have changed; raises OSError."""
        admin = files.proxy.admin
        if admin is not None and admin != self.admin_server.address:
            listeners.admin = self.admin_server.open_acceptor(admin)
        if self.frontend.is_draining:
            return  # this process shuts down, or a successor accepts in its place
        if not self.has_platform_listener:
            self._bind_frontend(self.frontend, files.proxy.listen, listeners)
        if self.activation.needs_listener(files.broker.channels):
            self._bind_frontend(self.activation.frontend, files.broker.channels, listeners)

    def _bind_frontend(self, frontend: Frontend, address: Address | None, listeners: BoundListeners) -> None:
        if address is not None and address != frontend.address:
            acceptor = Acceptor(self.loop, address, frontend.handle_connection)
            listeners.frontends.append((frontend, acceptor))

    def _switch_listeners(self, files: ConfigurationFiles, listeners: BoundListeners) -> None:
        for frontend, acceptor in listeners.frontends:
            frontend.replace_acceptor(acceptor)
        if listeners.admin is not None or files.proxy.admin is None:
            self.admin_server.replace_acceptor(listeners.admin)

    def _apply(self, files: ConfigurationFiles) -> dict[str, int]:
        """Use the new configuration from now on; return the discontinued classes by name."""
        self.config = files.proxy
        self.broker_config = files.broker
        self.activation.configure(files.broker.channels)
        discontinued = self.names.update_from(files.proxy.names)
        self.broker.configure(files.proxy.settings, files.broker.contracts)
        self.loop.call_later(DISCONTINUED_CLASS_GRACE_NS, partial(self._remove_classes, discontinued))
        if files.proxy.cached_list.event.version > self.discovery.version:
            self.handle_list_update(files.proxy.cached_list)
        self.discovery.reconfigure(files.proxy.discovery, WatchTimeouts.of(files.proxy.settings))
        return discontinued

    def _remove_classes(self, discontinued: dict[str, int]) -> None:
        self.names.remove_classes(discontinued, self.config.settings.offered_numbers)
