"""When the channels frontend listens: always, or with VRRP only while this proxy is the active router."""

from __future__ import annotations

import socket

from linnetshift.broker.broker import Broker
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import Loop
from linnetshift.frontends.channels.frontend import ChannelsFrontend
from linnetshift.lifecycle.graceful_shutdown import ChannelMigrator
from linnetshift.vrrp.instance import Vrrp
from linnetshift.vrrp.router import State, VrrpConfig

# Names of the descriptors that are passed to a successor.
CHANNELS_SOCKET = "channels"
VRRP_SOCKET = "vrrp"


class ChannelsActivation:
    """Opens and closes the listener of the channels frontend.

    It owns the VRRP instance and the sockets that a predecessor passed on.
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
        self.vrrp: Vrrp | None = None

    def start(self, vrrp: VrrpConfig | None, was_active: bool) -> None:
        """Listen, or start VRRP, as the active router if the predecessor was; raises OSError."""
        if vrrp is not None:
            inherited = self.inherited_sockets.pop(VRRP_SOCKET, None)
            self.vrrp = Vrrp(self.loop, vrrp, self.handle_vrrp_change, inherited, was_active)
            self.vrrp.start(self.vrrp.run())
        elif self.address is not None:
            self._listen(self.address)
        # Clients would wait at an open listener from which nothing is accepted.
        for unused in self.inherited_sockets.values():
            unused.close()

    @property
    def is_vrrp_active(self) -> bool:
        """Whether VRRP is on and this proxy is the active router."""
        return self.vrrp is not None and self.vrrp.router.state is State.ACTIVE

    @property
    def may_open_listener(self) -> bool:
        """Whether a reload may listen at a new address; a backup router must not listen."""
        return self.vrrp is None or self.frontend.address is not None

    def descriptors(self) -> dict[str, int]:
        """Return the open descriptors to pass to a successor, by name."""
        sockets: dict[str, socket.socket] = {}
        if self.frontend.acceptor is not None:
            sockets[CHANNELS_SOCKET] = self.frontend.acceptor.listener
        if self.vrrp is not None:
            sockets[VRRP_SOCKET] = self.vrrp.sock
        descriptors = {name: sock.fileno() for name, sock in sockets.items()}
        # A closed socket, as VRRP's is once it has stopped, has the descriptor -1.
        return {name: descriptor for name, descriptor in descriptors.items() if descriptor >= 0}

    def handle_vrrp_change(self, is_active: bool) -> None:
        """Listen while this proxy is the active router; migrate the channels once it no longer is."""
        if not is_active:
            self.migrate_channels()
        elif self.address is not None:
            self._listen(self.address)

    def migrate_channels(self) -> None:
        """Stop listening, and migrate the established channels, see `ChannelMigrator`."""
        self.frontend.drain()
        migrator = ChannelMigrator(self.loop, self.broker, self.frontend)
        migrator.start(migrator.run())

    def pause_vrrp(self) -> None:
        """Leave the VRRP role to another process of this proxy."""
        if self.vrrp is not None:
            self.vrrp.pause()

    def resume_vrrp(self) -> None:
        """Resume the VRRP role, as the other process has disconnected."""
        if self.vrrp is not None:
            self.vrrp.resume()

    def stop_vrrp(self) -> None:
        """Release the role of the active router, as this proxy shuts down."""
        if self.vrrp is not None:
            self.vrrp.stop()

    def _listen(self, address: Address) -> None:
        self.frontend.listen(address, self.inherited_sockets.pop(CHANNELS_SOCKET, None))
