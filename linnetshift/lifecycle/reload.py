"""Reload: both configuration files are read again while the proxy continues to serve.

The files are independent of each other, and so are the listeners: what cannot be used, or bound, leaves the
rest unaffected. See docs/configuration-reload.md.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from linnetshift.admin.server import AdminServer
from linnetshift.broker.broker import Broker
from linnetshift.broker.contracts import Contracts
from linnetshift.config.broker_file import BrokerFileReading
from linnetshift.config.errors import ConfigurationError
from linnetshift.config.loader import load_broker_file, load_proxy_file
from linnetshift.config.proxy_file import ProxyConfig
from linnetshift.discovery.watch import Discovery
from linnetshift.discovery.watch_timeouts import WatchTimeouts
from linnetshift.endpoint_list.names import DiscontinuedNames, NameRegistry
from linnetshift.endpoint_list.parsing import EndpointListUpdate
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.timers import S
from linnetshift.frontends.line_protocol.frontend import LineProtocolFrontend
from linnetshift.lifecycle.channels_activation import ChannelsActivation
from linnetshift.lifecycle.configuration_status import (
    ConfigurationStatus,
    log_broker_file,
    unmatched_names,
)
from linnetshift.lifecycle.listener_switch import ListenerSwitch
from linnetshift.lifecycle.log_summaries import log_settings
from linnetshift.observability import log

# How long requests of a discontinued class or tenant are still accepted, as clients learn of it later.
DISCONTINUED_NAME_GRACE_NS = 30 * S

# Keys of the listeners' addresses in the proxy file.
LISTEN_KEY = "listen"
ADMIN_ADDRESS_KEY = "admin_addr"


@dataclass(slots=True, kw_only=True, eq=False, repr=False)
class ConfigurationReloader:
    """Holds the configuration in use and replaces it.

    Open requests, the levels of rate limits and the state of endpoints are kept.
    """

    config: ProxyConfig
    broker_file: BrokerFileReading
    loop: Loop
    names: NameRegistry  # of this process; the names in `config` are merged into it
    broker: Broker
    discovery: Discovery
    frontend: LineProtocolFrontend
    activation: ChannelsActivation
    admin_server: AdminServer
    handle_list_update: Callable[[EndpointListUpdate], None]
    has_platform_listener: bool  # the platform owns the clients' listening socket: its address is fixed
    client_listener: ListenerSwitch = field(init=False)
    admin_listener: ListenerSwitch = field(init=False)

    def __post_init__(self) -> None:
        """Create the switches of the listeners whose addresses are in the proxy file."""
        self.client_listener = ListenerSwitch(
            self.loop,
            LISTEN_KEY,
            lambda: self.frontend.address,
            lambda address: self.frontend.listen(address),
            # Not while this process shuts down, or a successor accepts in its place.
            lambda: not self.frontend.is_draining,
        )
        self.admin_listener = ListenerSwitch(
            self.loop, ADMIN_ADDRESS_KEY, lambda: self.admin_server.address, self._listen_for_admin
        )

    def reload(self) -> None:
        """Read both files, and apply what can be used of each.

        An unusable proxy file changes nothing but what the broker file changes, and the other way round.
        """
        self.broker_file = load_broker_file(self.broker_file, may_change_vrrp=False)
        try:
            config = load_proxy_file(self.config, self._classes_in_use())
        except ConfigurationError as error:
            log.info("configuration-rejected", error=str(error))
            self._apply_broker_file()
            return
        discontinued = self._apply(config)
        log.info(
            "configuration-reloaded",
            discovery=f"{self.config.discovery[0]}:{self.config.discovery[1]}",
            classes=",".join(offered.name for offered in self.config.settings.offered),
            dropped=",".join(discontinued.classes),
        )
        log_settings(self.config.settings)

    def status(self) -> ConfigurationStatus:
        """Return what of the configuration is not in force at the moment."""
        listeners = {
            switch.key: switch.failure
            for switch in (self.client_listener, self.admin_listener)
            if switch.failure
        }
        if reason := self.activation.not_listening_reason():
            listeners["channels"] = reason
        names = unmatched_names(self.broker_file, self.config.names)
        return ConfigurationStatus(self.broker_file.unusable, names, listeners)

    def _classes_in_use(self) -> set[int]:
        """Return the classes of open requests, and those that clients may still request."""
        of_open_requests = {request.class_number for request in self.broker.requests.values()}
        return of_open_requests | {*self.names.classes.values()}

    def _apply(self, config: ProxyConfig) -> DiscontinuedNames:
        """Use the new proxy file from now on; return the discontinued names."""
        self.config = config
        self._move_listeners(config)
        discontinued = self.names.update_from(config.names)
        self._apply_broker_file()
        self.loop.call_later(DISCONTINUED_NAME_GRACE_NS, partial(self._remove_names, discontinued))
        if config.cached_list.event.version > self.discovery.version:
            self.handle_list_update(config.cached_list)
        self.discovery.reconfigure(config.discovery, WatchTimeouts.of(config.settings))
        return discontinued

    def _apply_broker_file(self) -> None:
        """Use what is in force of the broker file, with the settings in use."""
        log_broker_file(self.broker_file, self.config.names)
        if not self.frontend.is_draining:  # this process shuts down, or a successor accepts in its place
            self.activation.configure(self.broker_file.config.channels)
        self.broker.configure(self.config.settings, self._contracts())

    def _contracts(self) -> Contracts:
        tenants = self.names.ever_listed.tenants
        return Contracts.of(self.broker_file.config.contracts, tenants, self.config.settings.classes)

    def _move_listeners(self, config: ProxyConfig) -> None:
        if config.admin is None:
            self.admin_listener.cancel()
            self.admin_server.replace_acceptor(None)
        else:
            self.admin_listener.move_to(config.admin)
        if not self.has_platform_listener:
            self.client_listener.move_to(config.listen)

    def _listen_for_admin(self, address: Address) -> None:
        """Raise OSError if the address cannot be bound."""
        self.admin_server.replace_acceptor(self.admin_server.open_acceptor(address))

    def _remove_names(self, discontinued: DiscontinuedNames) -> None:
        self.names.remove_discontinued(discontinued, self.config.names)
