"""When the channels frontend listens: always, or with VRRP only while this proxy is the active router."""

from __future__ import annotations

import socket
from functools import partial
from typing import NamedTuple

from linnetshift.broker.broker import Broker
from linnetshift.event_loop.address import Address, format_address, is_bound_to
from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.timers import S
from linnetshift.frontends.channels.frontend import ChannelsFrontend
from linnetshift.lifecycle.bind_retry import BindRetry
from linnetshift.lifecycle.graceful_shutdown import ChannelMigrator
from linnetshift.lifecycle.inherited_listener import InheritedListener
from linnetshift.observability import log
from linnetshift.vrrp.instance import Vrrp
from linnetshift.vrrp.router import State, VrrpConfig

# Names of the descriptors that are passed to a successor.
CHANNELS_SOCKET = "channels"
VRRP_SOCKET = "vrrp"

# How long a start may wait for an address before it counts as ready without: a predecessor that hangs is
# killed after the longest deadline and 0.7 s.
START_GRACE_NS = 4 * S


class PredecessorChannels(NamedTuple):
    """What the predecessor told of its channels frontend."""

    was_active: bool  # the active VRRP router
    closes_listener: bool  # as soon as it is replaced; otherwise it keeps the listener until it exits


class ChannelsActivation:
    """Opens and closes the listener of the channels frontend.

    It owns the VRRP instance and the sockets that a predecessor passed on; it is the instance's `ActiveRole`.
    """

    def __init__(
        self,
        loop: Loop,
        broker: Broker,
        frontend: ChannelsFrontend,
        address: Address | None,
        inherited_sockets: dict[str, socket.socket],
    ) -> None:
        """`address` is where channels are accepted, None where they are off; `start` opens it."""
        self.loop = loop
        self.broker = broker
        self.frontend = frontend
        self.address = address
        self.inherited_sockets = inherited_sockets
        self.inherited_listener: InheritedListener | None = None
        self.is_predecessor_accepting = False  # or may be: it has not confirmed that it has stopped
        self.exported_as_active = False  # the role with which the last successor starts
        self.is_replaced = False  # a successor accepts in place of this process
        self.vrrp_config: VrrpConfig | None = None
        self.vrrp: Vrrp | None = None  # None also while its socket cannot be bound
        self.bind_failure = ""  # address and cause of the last one
        self.bind_retry = BindRetry(loop)  # to start VRRP, or to listen
        self.starting_until_ns = loop.now() + START_GRACE_NS

    def start(self, vrrp: VrrpConfig | None, predecessor: PredecessorChannels | None) -> None:
        """Listen, or start VRRP, as the active router if the predecessor was.

        A failure to bind an address is retried: another process of this proxy may hold it until it exits, and
        clients of the line protocol are served meanwhile.
        """
        self.vrrp_config = vrrp
        if predecessor is not None:
            self._adopt_listener(predecessor)
        if vrrp is not None:
            was_active = predecessor is not None and predecessor.was_active
            self._start_vrrp(vrrp, was_active)
        else:
            self._listen_or_retry()
        while self.inherited_sockets:
            _, unused = self.inherited_sockets.popitem()
            unused.close()

    def _start_vrrp(self, config: VrrpConfig, was_active: bool) -> None:
        """Start the router; an attempt to bind its socket that fails is repeated."""
        try:
            self.vrrp = Vrrp(self.loop, config, self, self._take_vrrp_socket(config), was_active)
        except OSError as error:
            self._handle_vrrp_failure(config, error)
            # The peers count the predecessor as gone by then: this router starts as a backup.
            self.bind_retry.schedule(partial(self._start_vrrp, config, was_active=False))
            return
        self.bind_retry.cancel()
        self.vrrp.start(self.vrrp.run())

    def _take_vrrp_socket(self, vrrp: VrrpConfig) -> socket.socket | None:
        """Return the predecessor's socket, unless the router has another address now."""
        inherited = self.inherited_sockets.get(VRRP_SOCKET)
        if inherited is None or not is_bound_to(inherited, vrrp.listen):
            return None
        return self.inherited_sockets.pop(VRRP_SOCKET)

    def _adopt_listener(self, predecessor: PredecessorChannels) -> None:
        self.is_predecessor_accepting = True
        listener = self.inherited_sockets.pop(CHANNELS_SOCKET, None)
        if listener is not None:
            self.inherited_listener = InheritedListener(self.loop, listener, predecessor.closes_listener)

    @property
    def is_vrrp_active(self) -> bool:
        """Whether VRRP is on and this proxy is the active router."""
        return self.vrrp is not None and self.vrrp.router.state is State.ACTIVE

    def configure(self, address: Address | None) -> None:
        """Use another address, or none, after a reload.

        While the address cannot be bound, the attempt is repeated. Without VRRP a former listener stays open
        meanwhile; an active router leaves the role to a peer. A backup listens once it becomes active.
        """
        self.starting_until_ns = 0
        is_changed = address != self.address
        self.address = address
        if address is None and self.frontend.address is not None:
            self.migrate_channels()
        if is_changed:  # attempts at an unchanged one are repeated anyway
            self._serve_at_new_address()
        self._update_inherited_listener()

    def _serve_at_new_address(self) -> None:
        if self.vrrp_config is None:
            self.bind_retry.cancel()
            self._listen_or_retry()
        elif self.vrrp is not None and self.is_vrrp_active:
            self.vrrp.serve_again()

    def export_role(self) -> bool:
        """Return whether this proxy is the active router, as which its successor then starts."""
        self.exported_as_active = self.is_vrrp_active
        return self.exported_as_active

    def descriptors(self) -> dict[str, int]:
        """Return the open descriptors to pass to a successor, by name."""
        sockets: dict[str, socket.socket] = {}
        if self.frontend.acceptor is not None:
            sockets[CHANNELS_SOCKET] = self.frontend.acceptor.listener
        if self.vrrp is not None:
            sockets[VRRP_SOCKET] = self.vrrp.sock
        descriptors = {name: sock.fileno() for name, sock in sockets.items()}
        if self.inherited_listener is not None:
            descriptors.setdefault(CHANNELS_SOCKET, self.inherited_listener.descriptor)
        # A closed socket, as VRRP's is once it has stopped, has the descriptor -1.
        return {name: descriptor for name, descriptor in descriptors.items() if descriptor >= 0}

    def start_serving(self) -> bool:
        """Listen, where channels are enabled; log a failure and return False.

        It is called before the peers are notified: clients directed to the active proxy may connect at once.
        """
        if self.address is None:
            return True
        try:
            self._listen(self.address)
        except OSError as error:
            address = format_address(self.address)
            if self._is_new_failure(address, error):
                log.info("channels-listener-unavailable", address=address, error=error.strerror)
            return False
        if self.is_retrying:
            log.info("channels-listener-opened", address=format_address(self.address))
        self._update_inherited_listener()
        return True

    def stop_serving(self) -> None:
        """Stop listening and migrate the channels, as another proxy is the active router."""
        self.migrate_channels()
        self._update_inherited_listener()

    def handle_predecessor_stopped(self, is_confirmed: bool) -> None:
        """Reset the clients that the predecessor no longer accepts, unless this process does.

        `is_confirmed` tells whether the predecessor said that it has stopped; it may hang instead.
        """
        self.is_predecessor_accepting = False
        listener = self.inherited_listener
        if is_confirmed and listener is not None and listener.is_closed_by_predecessor:
            self._release_inherited_listener()
        else:
            self._update_inherited_listener()

    def handle_predecessor_exited(self) -> None:
        """Own the listener alone, as the predecessor has closed all its descriptors."""
        self.is_predecessor_accepting = False
        self._release_inherited_listener()

    def _release_inherited_listener(self) -> None:
        if self.inherited_listener is None:
            return
        self.inherited_listener.close()
        self.inherited_listener = None
        if self.frontend.acceptor is not None:
            self.frontend.acceptor.is_shared = False

    def _update_inherited_listener(self) -> None:
        """Reset the clients at the predecessor's listener while no process accepts them."""
        listener = self.inherited_listener
        if listener is None:
            return
        address = self.frontend.address
        is_accepting = address is not None and listener.is_at(address)
        listener.set_rejecting(not (is_accepting or self.is_predecessor_accepting or self.is_replaced))

    @property
    def is_retrying(self) -> bool:
        """Whether this proxy is due to listen, or to start VRRP, and retries as its last attempt failed."""
        return self.bind_retry.is_pending or (self.vrrp is not None and self.vrrp.router.is_retrying)

    def not_listening_reason(self) -> str:
        """Why this proxy can't accept channels, or take part in VRRP, although it should; empty otherwise."""
        return f"cannot bind {self.bind_failure}" if self.is_retrying else ""

    def not_ready_reason(self) -> str:
        """Why this proxy must not replace another yet; empty once START_GRACE_NS is over, or after a reload.

        The addresses are the operator's, and must not keep a proxy from serving the platform's clients.
        """
        return self.not_listening_reason() if self.loop.now() < self.starting_until_ns else ""

    def _handle_vrrp_failure(self, config: VrrpConfig, error: OSError) -> None:
        address = format_address(config.listen)
        if self._is_new_failure(address, error):
            log.info("vrrp-socket-unavailable", address=address, error=error.strerror)

    def _is_new_failure(self, address: str, error: OSError) -> bool:
        """Note the failure; returns whether to log it: once for each address and cause while retried."""
        failure = f"{address}: {error.strerror}"
        is_new = not self.is_retrying or failure != self.bind_failure
        self.bind_failure = failure
        return is_new

    def migrate_channels(self) -> None:
        """Stop listening, and migrate the established channels, see `ChannelMigrator`."""
        self.frontend.drain()
        migrator = ChannelMigrator(self.loop, self.broker, self.frontend)
        migrator.start(migrator.run())

    def yield_to_successor(self) -> None:
        """Leave the listener and the VRRP role to the successor, which has received the descriptors."""
        self.is_replaced = True
        self.bind_retry.cancel()
        if self.vrrp is not None:
            self.vrrp.pause(self.exported_as_active)
        self.frontend.yield_to_successor()
        self._update_inherited_listener()

    def resume(self) -> None:
        """Resume the VRRP role, or listen again, as the successor has disconnected."""
        self.is_replaced = False
        self._update_inherited_listener()
        if self.vrrp is not None:
            self._resume_vrrp(self.vrrp)
        elif self.vrrp_config is not None:
            self._start_vrrp(self.vrrp_config, was_active=False)
        else:
            self._listen_or_retry()

    def _resume_vrrp(self, vrrp: Vrrp) -> None:
        try:
            vrrp.resume()
        except OSError as error:
            self._handle_vrrp_failure(vrrp.config, error)
            self.bind_retry.schedule(partial(self._resume_vrrp, vrrp))
        else:
            self.bind_retry.cancel()

    def stop(self) -> None:
        """Release the role of the active router, as this proxy shuts down; a listener stays open."""
        self.bind_retry.cancel()
        if self.vrrp is not None:
            self.vrrp.stop()

    def stop_listening(self) -> None:
        """Stop listening, as this proxy shuts down; sessions end once they have no channels."""
        self.frontend.drain()
        self._update_inherited_listener()

    def _listen_or_retry(self) -> None:
        if self.start_serving():
            self.bind_retry.cancel()
        else:
            self.bind_retry.schedule(self._listen_or_retry)

    def _listen(self, address: Address) -> None:
        if address == self.frontend.address:
            return
        listener = self.inherited_listener
        is_inherited = listener is not None and listener.is_at(address)
        self.frontend.listen(address, listener.duplicate() if listener is not None and is_inherited else None)
