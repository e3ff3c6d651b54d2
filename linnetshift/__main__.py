"""One real proxy: reads its configuration, wires the parts and runs until told to leave."""

from __future__ import annotations

import os
import select
import signal
import socket
import sys

from linnetshift.core.broker import Broker
from linnetshift.net import log
from linnetshift.net.channels import ChannelsFront
from linnetshift.net.config import BrokerFile, Config, ConfigError, read_broker_file, read_config
from linnetshift.net.directory import Directory, Roster
from linnetshift.net.loop import Loop
from linnetshift.net.module import Departure, Module, Mover
from linnetshift.net.platform import PlatformFront
from linnetshift.net.provider import ProviderGate
from linnetshift.net.vrrp import Vrrp


class Program:
    """All parts of one proxy, wired."""

    def __init__(self, config: Config, own: BrokerFile) -> None:
        self.loop = loop = Loop()
        self.gate = ProviderGate(loop)
        self.directory = Directory(
            loop, config.directory, config.names, config.known.event.version, self.listed
        )
        self.module = Module(loop)
        self.broker = self.module.broker = self.gate.broker = Broker(
            config.settings, config.seed, loop.now, self.module, self.directory, self.gate, own.contracts
        )
        self.module.start(self.module.live())
        self.directory.start(self.directory.live())
        self.listed(config.known)
        self.front = PlatformFront(loop, self.broker, config.names, config.listen)
        self.channels: ChannelsFront | None = None
        self.vrrp: Vrrp | None = None
        if own.channels is not None:
            self.channels = ChannelsFront(loop, self.broker, config.names, own.channels)
            if own.vrrp is None:
                self.channels.open()
            else:
                self.vrrp = Vrrp(loop, own.vrrp, self.elected)
                self.vrrp.start(self.vrrp.live())
        self.departing = False

    def listed(self, roster: Roster) -> None:
        self.gate.listed(roster.event, roster.endpoints)
        self.broker.listed(roster.event)

    def elected(self, active: bool) -> None:
        """The channels front listens only while active; its channels move once it no longer is."""
        assert self.channels is not None
        if active:
            self.channels.open()
        else:
            self.channels.leave()
            mover = Mover(self.loop, self.broker, self.channels)
            mover.start(mover.live())

    def held(self) -> int:
        return len(self.front.consumers) + (len(self.channels.sessions) if self.channels is not None else 0)

    def catch_signals(self) -> None:
        """Python's own handler runs between two instructions; the byte it leaves wakes the poll."""
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        writer.setblocking(False)
        signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: None)
        self.signals = reader, writer
        self.loop.watch(reader.fileno(), select.EPOLLIN, self.signalled)

    def signalled(self, _mask: int) -> None:
        self.signals[0].recv(64)
        if self.departing:
            return
        self.departing = self.front.leaving = True
        if self.vrrp is not None:
            self.vrrp.stop()
        departure = Departure(self.loop, self.broker, self.stop_listening, self.held)
        departure.start(departure.live())

    def stop_listening(self) -> None:
        self.front.close()
        if self.channels is not None:
            self.channels.leave()


def main() -> int:
    log.set_up()
    try:
        config = read_config(os.environ.get("GW_CONFIG"))
        program = Program(config, read_broker_file(os.environ.get("LINNETSHIFT_BROKER"), config.names))
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
