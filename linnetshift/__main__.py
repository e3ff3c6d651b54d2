"""One real proxy: reads its configuration, wires the parts and runs until told to leave."""

from __future__ import annotations

import os
import select
import signal
import socket
import sys
from collections.abc import Callable

from linnetshift.core.broker import Broker
from linnetshift.net import log
from linnetshift.net.channels import ChannelsFront
from linnetshift.net.config import BrokerFile, Config, ConfigError, read_broker_file, read_config
from linnetshift.net.directory import Directory, Roster
from linnetshift.net.limits import Strangers
from linnetshift.net.loop import Loop
from linnetshift.net.module import Departure, Module, Mover
from linnetshift.net.ops import Door
from linnetshift.net.platform import Acceptor, Front, PlatformFront
from linnetshift.net.provider import ProviderGate
from linnetshift.net.vrrp import Vrrp


class Program:
    """All parts of one proxy, wired."""

    def __init__(self, config: Config, own: BrokerFile) -> None:
        self.loop = loop = Loop()
        self.names, self.own = config.names, own
        self.gate = ProviderGate(loop)
        self.directory = Directory(loop, config.directory, self.names, config.known, self.listed)
        self.module = Module(loop)
        self.broker = self.module.broker = self.gate.broker = Broker(
            config.settings, config.seed, loop.now, self.module, self.directory, self.gate, own.contracts
        )
        self.module.start(self.module.live())
        self.directory.start(self.directory.live())
        self.listed(config.known)
        self.strangers = Strangers(loop, config.sockets)
        self.front = PlatformFront(loop, self.broker, self.names, self.strangers)
        self.front.listen(config.listen)
        self.channels = ChannelsFront(loop, self.broker, self.names, self.strangers)
        self.vrrp: Vrrp | None = None
        if own.vrrp is not None:
            self.vrrp = Vrrp(loop, own.vrrp, self.elected)
            self.vrrp.start(self.vrrp.live())
        elif own.channels is not None:
            self.channels.listen(own.channels)
        self.departing = False
        self.door = Door(loop, self)
        if config.admin is not None:
            self.door.follow(Acceptor(loop, config.admin, self.door.take))

    def listed(self, roster: Roster) -> None:
        self.gate.listed(roster.event, roster.endpoints)
        self.broker.listed(roster.event)

    # ---- what operators ask -----------------------------------------------------------------

    def readiness(self) -> str:
        if self.departing:
            return "leaving"
        if not self.broker.bans.listed:
            return "waiting for the list of providers"
        return "" if self.front.address is not None else "not listening"

    def set_out(self, provider: bytes, out: bool, done: Callable[[bool], None]) -> None:
        known = self.broker.take_out(provider) if out else self.broker.call_back(provider)
        log.note("provider-set", provider=os.fsdecode(provider), out=out, known=known)
        self.module.settled(lambda: done(known))

    # ---- what happens to the program --------------------------------------------------------

    def elected(self, active: bool) -> None:
        """The channels front listens only while active; its channels move once it no longer is."""
        if active and self.own.channels is not None:
            self.channels.listen(self.own.channels)
        elif not active:
            self.move_channels()

    def move_channels(self) -> None:
        self.channels.leave()
        mover = Mover(self.loop, self.broker, self.channels)
        mover.start(mover.live())

    def held(self) -> int:
        return len(self.front.consumers) + len(self.channels.sessions)

    def catch_signals(self) -> None:
        """Python's own handler runs between two instructions; the byte it leaves wakes the poll."""
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        writer.setblocking(False)
        signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: None)
        self.signals = reader, writer
        self.loop.watch(reader.fileno(), select.EPOLLIN, self.signalled)

    def signalled(self, _mask: int) -> None:
        caught = set(self.signals[0].recv(64))
        if signal.SIGHUP in caught:
            self.reload()
        if caught != {signal.SIGHUP} and not self.departing:
            self.depart()

    def reload(self) -> None:
        """Take up both files as they are now; what is under way, known or spent stays.

        Whatever is wrong with them, the program runs on with what it had.
        """
        bound: list[tuple[Front, Acceptor]] = []
        door: Acceptor | None = None
        try:
            config, own = read_files()
            if own.vrrp != self.own.vrrp:
                raise ConfigError("a change of [vrrp] needs a restart")
            if (name := self.names.lost(config.names)) is not None:
                raise ConfigError(f"{name!r} has lost its place in the settings; that needs a restart")
            if config.admin is not None and config.admin != self.door.address:
                door = Acceptor(self.loop, config.admin, self.door.take)
            wanted = [(self.front, config.listen), (self.channels, own.channels)]
            for front, address in () if self.departing else wanted:
                idle = front is self.channels and own.vrrp is not None and front.address is None
                if address is not None and address != front.address and not idle:
                    bound.append((front, Acceptor(self.loop, address, front.take)))
        except (ConfigError, OSError) as error:
            for acceptor in [acceptor for _, acceptor in bound] + ([door] if door is not None else []):
                acceptor.close()
            log.note("reload-refused", error=str(error))
            return
        for front, acceptor in bound:
            front.follow(acceptor)
        if door is not None or config.admin is None:
            self.door.follow(door)
        if own.channels is None and self.channels.address is not None:
            self.move_channels()
        self.own = own
        self.names.follow(config.names)
        self.broker.configure(config.settings, own.contracts)
        if config.known.event.version > self.directory.version:
            self.listed(config.known)
        self.directory.relocate(config.directory)
        log.note("reloaded", directory=f"{config.directory[0]}:{config.directory[1]}")

    def depart(self) -> None:
        self.departing = self.front.leaving = True
        if self.vrrp is not None:
            self.vrrp.stop()
        departure = Departure(self.loop, self.broker, self.stop_listening, self.held)
        departure.start(departure.live())

    def stop_listening(self) -> None:
        self.front.close()
        self.channels.leave()


def read_files() -> tuple[Config, BrokerFile]:
    config = read_config(os.environ.get("GW_CONFIG"))
    return config, read_broker_file(os.environ.get("LINNETSHIFT_BROKER"), config.names)


def main() -> int:
    log.set_up()
    try:
        config, own = read_files()
        program = Program(config, own)
    except ConfigError as error:
        print(f"linnetshift: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"linnetshift: cannot listen: {error.strerror}", file=sys.stderr)
        return 2
    program.catch_signals()
    log.note("started", name=config.name, listen=f"{config.listen[0]}:{config.listen[1]}")
    program.loop.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
