"""The composition root: all parts of one proxy, wired."""

from __future__ import annotations

import os
import select
import signal
import socket
from collections.abc import Callable
from typing import Any

from linnetshift.admin.server import AdminServer
from linnetshift.broker.administrative_drains import MOST_LISTED
from linnetshift.broker.broker import Broker
from linnetshift.broker.snapshot import export_state
from linnetshift.config.broker_file import BrokerConfig
from linnetshift.config.errors import ConfigurationError, RestartRequiredError
from linnetshift.config.loader import read_files
from linnetshift.config.proxy_file import ProxyConfig
from linnetshift.decision_loop import DecisionLoop
from linnetshift.discovery.endpoint_list import EndpointListUpdate, describe
from linnetshift.discovery.watch import Discovery, WatchTimeouts
from linnetshift.event_loop.connection_limits import ConnectionLimiter
from linnetshift.event_loop.loop import MS, Loop, S
from linnetshift.frontends.channels.session import MOST_OPEN, ChannelsFrontend
from linnetshift.frontends.line_protocol.client_connection import LineProtocolFrontend
from linnetshift.frontends.listener import Acceptor, Frontend
from linnetshift.lifecycle.graceful_shutdown import ChannelMigrator, GracefulShutdown
from linnetshift.lifecycle.hot_restart import (
    HotRestart,
    ImportedState,
    PeerResources,
    PredecessorState,
    TakeoverSocketPath,
    spent,
)
from linnetshift.observability import log
from linnetshift.observability.resource_usage import ResourceUsage
from linnetshift.routing.events import EndpointList, EndpointState, ListForm
from linnetshift.upstream.connector import EndpointConnector
from linnetshift.vrrp.instance import Vrrp
from linnetshift.vrrp.router import State

COLD_NS = 60 * S  # endpoints that started so lately are told in the log, with their age
DROPPED_NS = 30 * S  # how long a class that is dropped can still be asked for


class Proxy:
    """All parts of one proxy, wired."""

    def __init__(
        self,
        config: ProxyConfig,
        own: BrokerConfig,
        given: socket.socket | None = None,
        socket_path: TakeoverSocketPath | None = None,
        predecessor: PredecessorState | None = None,
    ) -> None:
        """`given` is the platform's listening socket, `predecessor` what the process before handed over."""
        self.loop = loop = Loop()
        self.config, self.names, self.own = config, config.names, own
        self.connector = EndpointConnector(loop)
        imported = ImportedState(predecessor, self.names)
        known = imported.list_update or config.cached_list
        pushed = not config.settings.must_poll
        # What the agent of pushed lists has counts as told from the start, whatever the file says.
        self.decision_loop = DecisionLoop(loop, waits_for_discovery=pushed)
        self.discovery = Discovery(
            loop,
            config.discovery,
            self.names,
            known,
            self.listed,
            WatchTimeouts.of(config.settings),
            config.seed,
            self.decision_loop.handle_discovery_ready,
        )
        self.broker = self.decision_loop.broker = self.connector.broker = Broker(
            config.settings,
            config.seed,
            loop.now,
            self.decision_loop,
            self.discovery,
            self.connector,
            own.contracts,
        )
        self.decision_loop.start(self.decision_loop.run())
        self.discovery.start(self.discovery.run())
        if pushed:
            # Pushed lists stop at the agent on this machine, and the module never asks for them.
            self.discovery.watch(True)
        self.connection_limiter = ConnectionLimiter(loop, config.max_sockets)
        imported.restore(self.broker)
        self.peer_migrated = imported.peer_resources.moved  # by the other process, so far
        self.update_peer_resources(imported.peer_resources)
        self.listed(known)
        imported.import_state(self.broker)
        self.frontend = LineProtocolFrontend(loop, self.broker, self.names, self.connection_limiter)
        self.given = given
        self.frontend.listen(config.listen, given)
        self.channels = ChannelsFrontend(loop, self.broker, self.names, self.connection_limiter)
        self.vrrp: Vrrp | None = None
        self.passed = imported.sockets
        if own.vrrp is not None:
            socket_before = self.passed.pop("vrrp", None)
            self.vrrp = Vrrp(loop, own.vrrp, self.handle_vrrp_change, socket_before, imported.active)
            self.vrrp.start(self.vrrp.run())
        elif own.channels is not None:
            self.channels.listen(own.channels, self.passed.pop("channels", None))
        for unused in self.passed.values():  # else what connects there would wait for nobody
            unused.close()
        self.shutdown: GracefulShutdown | None = None
        self.is_shutting_down = False  # by a signal
        self.admin_server = AdminServer(loop, self)
        if config.admin is not None:
            self.admin_server.follow(self.admin_server.open(config.admin))
        self.hot_restart = HotRestart(loop, self, socket_path, predecessor)

    def listed(self, list_update: EndpointListUpdate) -> None:
        event = self.broker.administrative_drains.bounded(list_update.event)
        if event.form in (ListForm.FULL, ListForm.DELTA):  # a failure has a line of its own
            log.note("endpoint-list-received", **self.describe_list(event))
        if left_out := len(list_update.event.entries) - len(event.entries):
            log.note("endpoint-limit-exceeded", left_out=left_out)
        self.connector.listed(
            event, {entry.endpoint: list_update.addresses[entry.endpoint] for entry in event.entries}
        )
        self.broker.handle_endpoint_list(event)

    def describe_list(self, event: EndpointList) -> dict[str, object]:
        """A list or its changes in the words of the log; with it a run's logs tell how old each list was."""
        now = self.loop.now()
        cold = [
            (e.endpoint, (now - e.started_ns) // MS) for e in event.entries if now - e.started_ns < COLD_NS
        ]
        return {
            "form": ListForm(event.form).name.lower(),
            "rev": event.version,
            "entries": len(event.entries),
            "draining": sum(entry.state == EndpointState.DRAINING for entry in event.entries),
            "removed": sum(entry.state == EndpointState.REMOVED for entry in event.entries),
            "warming_up": ",".join(f"{endpoint.decode('utf-8', 'replace')}@{age}" for endpoint, age in cold),
        }

    def resource_usage(self) -> dict[str, ResourceUsage]:
        """Every container that lives as long as the program; docs/memory.md says the same bounds."""
        connections = self.connection_limiter.descriptors + MOST_OPEN
        return {
            **self.loop.resource_usage(connections),
            **self.broker.resource_usage(connections),
            **self.connector.resource_usage(MOST_LISTED),
            **self.connection_limiter.resource_usage(connections),
            **self.frontend.resource_usage(connections),
            **self.channels.resource_usage(connections),
            **self.admin_server.resource_usage(),
            **self.hot_restart.resource_usage(),
        }

    def is_drain_limit_reached(self, endpoint: bytes) -> bool:
        return self.broker.administrative_drains.full() and not self.broker.administrative_drains.holds(
            endpoint
        )

    # ---- what operators ask -----------------------------------------------------------------

    def readiness(self) -> str:
        if self.is_shutting_down:
            return "leaving"
        if self.hot_restart.successor is not None:
            return "replaced by another process"
        if self.hot_restart.is_joining:
            return "taking over"
        if not self.broker.administrative_drains.listed:
            return "waiting for the list of providers"
        return "" if self.frontend.address is not None else "not listening"

    def set_administrative_drain(self, endpoint: bytes, out: bool, done: Callable[[bool], None]) -> None:
        known = self.broker.administrative_drains.knows(endpoint)
        if known:
            self.hot_restart.apply_administrative_drain(endpoint, out, lambda: done(True))
        else:
            done(False)

    # ---- the process before or after this one -----------------------------------------------

    def apply_administrative_drain(self, endpoint: bytes, out: bool, done: Callable[[], None]) -> None:
        known = self.broker.drain_endpoint(endpoint) if out else self.broker.restore_endpoint(endpoint)
        log.note(
            "administrative-drain-changed", endpoint=endpoint.decode(errors="replace"), out=out, known=known
        )
        self.decision_loop.when_processed(done)

    def state(self) -> tuple[dict[str, Any], list[int]]:
        administrative_drains, connector = self.broker.administrative_drains, self.connector
        targets = [
            describe(entry, connector.addresses[endpoint], self.names)
            for endpoint, entry in administrative_drains.listed.items()
            if endpoint in connector.addresses
        ]
        passing = {
            "channels": self.channels.acceptor.listener.fileno() if self.channels.acceptor else -1,
            "vrrp": self.vrrp.sock.fileno() if self.vrrp else -1,
        }
        passing = {what: fd for what, fd in passing.items() if fd >= 0}
        state = {
            "list": {"rev": self.discovery.version, "all": True, "targets": targets},
            "bans": administrative_drains.state(),
            "budgets": spent(self.own.contracts, self.names),
            "holdings": self.peer_resources(),
            "memory": export_state(self.broker.balancer, self.broker.latency_estimator),
            "active": self.vrrp is not None and self.vrrp.router.state is State.ACTIVE,
            "passed": list(passing),
        }
        return state, list(passing.values())

    def yield_to_successor(self, back: bool) -> None:
        """Leave all that arrives to the new process and move what is here to it; or take it on again."""
        if self.is_shutting_down and not back:
            return  # nobody will be here in a moment
        self.frontend.pause(back)
        self.channels.pause(back)
        if self.is_shutting_down:
            return  # and on its way as it is
        if self.vrrp is not None:
            self.vrrp.pause(back)
        if back:
            self.start_shutdown(replaced=True)
        elif self.shutdown is not None:
            self.shutdown.end()

    def peer_resources(self) -> dict[str, Any]:
        loads = {
            endpoint.decode(): [(one.load, one.group) for one in held]
            for endpoint, held in self.broker.loads().items()
        }
        return {"streams": self.loop.streams, "loads": loads, "moved": self.broker.migrated}

    def update_peer_resources(self, peer_resources: PeerResources) -> None:
        self.connection_limiter.peer_descriptors = peer_resources.streams
        self.broker.latency_estimator.elsewhere = dict(peer_resources.loads)
        # It comes back here, and was this proxy's before.
        for _ in range(min(peer_resources.moved - self.peer_migrated, self.connection_limiter.descriptors)):
            self.broker.latency_estimator.guest(False, self.loop.now())
        self.peer_migrated = peer_resources.moved
        self.broker.balancer.elsewhere = sum(map(len, peer_resources.loads.values()))

    # ---- what happens to the program --------------------------------------------------------

    def handle_vrrp_change(self, active: bool) -> None:
        """The channels frontend listens only while active; its channels move once it no longer is."""
        if active and self.own.channels is not None:
            self.channels.listen(self.own.channels, self.passed.pop("channels", None))
        elif not active:
            self.migrate_channels()

    def migrate_channels(self) -> None:
        self.channels.leave()
        migrator = ChannelMigrator(self.loop, self.broker, self.channels)
        migrator.start(migrator.run())

    def held(self) -> int:
        """Connections that are owed something: who says nothing must not keep a proxy that leaves."""
        return len(self.frontend.clients) + len(self.channels.sessions) - self.connection_limiter.idle()

    def watch_signals(self, reader: int) -> None:
        self.signals = reader
        self.loop.watch(reader, select.EPOLLIN, self.handle_signals)

    def handle_signals(self, _mask: int) -> None:
        caught = set(os.read(self.signals, 64))
        if signal.SIGHUP in caught:
            self.reload()
        if caught != {signal.SIGHUP} and not self.is_shutting_down:
            self.is_shutting_down = True
            if self.shutdown is not None and self.hot_restart.successor is not None:
                self.shutdown.shorten()
            else:
                self.start_shutdown(replaced=False)

    def reload(self) -> None:
        """Take up both files as they are now; what is under way, known or spent stays.

        Whatever is wrong with them, the program runs on with what it had.
        """
        bound: list[tuple[Frontend, Acceptor]] = []
        admin_server: Acceptor | None = None
        try:
            config, own = read_files(self.config, self.classes_in_use())
            if own.vrrp != self.own.vrrp:
                raise RestartRequiredError("vrrp")
            if config.admin is not None and config.admin != self.admin_server.address:
                admin_server = self.admin_server.open(config.admin)
            wanted = [(self.frontend, config.listen), (self.channels, own.channels)]
            for frontend, address in () if self.frontend.is_draining else wanted:
                if frontend is self.frontend and self.given is not None:
                    continue  # the platform's own: it is where it is
                idle = frontend is self.channels and own.vrrp is not None and frontend.address is None
                if address is not None and address != frontend.address and not idle:
                    bound.append((frontend, Acceptor(self.loop, address, frontend.take)))
        except (ConfigurationError, OSError) as error:
            for acceptor in [acceptor for _, acceptor in bound] + (
                [admin_server] if admin_server is not None else []
            ):
                acceptor.close()
            log.note("configuration-rejected", error=str(error))
            return
        for frontend, acceptor in bound:
            frontend.follow(acceptor)
        if admin_server is not None or config.admin is None:
            self.admin_server.follow(admin_server)
        if own.channels is None and self.channels.address is not None:
            self.migrate_channels()
        self.config, self.own = config, own
        dropped = self.names.adopt(config.names)
        self.broker.configure(config.settings, own.contracts)
        self.loop.call_later(
            DROPPED_NS, lambda: self.names.forget_classes(dropped, self.config.settings.numbers)
        )
        if config.cached_list.event.version > self.discovery.version:
            self.listed(config.cached_list)
        self.discovery.relocate(config.discovery, WatchTimeouts.of(config.settings))
        log.note(
            "configuration-reloaded",
            discovery=f"{config.discovery[0]}:{config.discovery[1]}",
            classes=",".join(klass.name for klass in config.settings.offered),
            dropped=",".join(dropped),
        )
        self.log_settings()

    def log_settings(self) -> None:
        """What was made of the settings, for staff to compare with what they meant."""
        settings = self.config.settings
        log.note(
            "settings-applied",
            proxies=settings.balancers,
            cross_zone_weight=f"{settings.cross_zone_weight:.3f}",
            weights="sizes" if settings.weights_are_sizes else "no-sizes",
            lists="asked-for" if settings.must_poll else "pushed",
            health_checks=",".join(settings.report_columns) or "plain"
            if settings.may_health_check
            else "none",
            attempts=min(c.max_attempts for c in settings.offered),
            aim_ms=min(c.latency_objective_ns for c in settings.offered) // MS,
            cold_from=settings.cold_from,
            warm_ms=settings.warm_up_ns // MS,
        )

    def classes_in_use(self) -> set[int]:
        """By open requests, and by clients that have not heard of the last change."""
        return {i.klass for i in self.broker.requests.values()} | {*self.names.classes.values()}

    def start_shutdown(self, replaced: bool) -> None:
        self.frontend.is_draining = True
        if self.vrrp is not None and not replaced:
            self.vrrp.stop()
        self.shutdown = GracefulShutdown(
            self.loop,
            self.broker,
            self.stop_listening,
            self.held,
            lambda: [each.stream for each in (*self.frontend.clients, *self.channels.sessions)],
            self.frontend.notify_idle_clients,
            replaced,
        )
        self.shutdown.start(self.shutdown.run())

    def stop_listening(self) -> None:
        self.frontend.close()
        self.channels.leave()
