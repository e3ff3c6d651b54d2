"""One real proxy: reads its configuration, wires the parts and runs until told to leave."""

from __future__ import annotations

import json
import os
import signal
import socket
import sys
from typing import Any, NamedTuple

from linnetshift import interface as api
from linnetshift.contracts import Contracts
from linnetshift.core.broker import Broker
from linnetshift.net import log
from linnetshift.net.directory import Directory, Roster, read_list
from linnetshift.net.loop import Loop
from linnetshift.net.module import Departure, Module
from linnetshift.net.platform import Names, PlatformFront
from linnetshift.net.provider import Endpoint, ProviderGate, parse_endpoint


class ConfigError(Exception):
    """The configuration cannot be used; the text says why in one line."""


class Config(NamedTuple):
    name: str
    listen: Endpoint
    directory: Endpoint
    seed: int
    known: Roster
    settings: api.Settings
    names: Names


def read_config(path: str | None) -> Config:
    if not path:
        raise ConfigError("GW_CONFIG does not name a configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            raw: Any = json.load(file)
    except OSError as error:
        raise ConfigError(f"cannot read {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path} is not JSON: {error}") from None
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ConfigError(f"{path} holds no settings")
    try:
        names = Names(raw["settings"])
        return Config(
            name=str(raw.get("name", "")),
            listen=parse_endpoint(str(raw["listen"])),
            directory=parse_endpoint(str(raw["discovery"])),
            seed=int(str(raw.get("seed", "0")), 16),
            known=read_list(raw.get("known", {"targets": []}), names, cached=True),
            settings=api.Settings.parse(raw["settings"]),
            names=names,
        )
    except KeyError as error:
        raise ConfigError(f"{path}: key {error} is missing") from None
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None


class Program:
    """All parts of one proxy, wired."""

    def __init__(self, config: Config) -> None:
        self.loop = loop = Loop()
        self.gate = ProviderGate(loop)
        self.directory = Directory(
            loop, config.directory, config.names, config.known.event.version, self.listed
        )
        self.module = Module(loop)
        self.broker = self.module.broker = self.gate.broker = Broker(
            config.settings, config.seed, loop.now, self.module, self.directory, self.gate, Contracts()
        )
        self.module.start(self.module.live())
        self.directory.start(self.directory.live())
        self.listed(config.known)
        self.front = PlatformFront(loop, self.broker, config.names, config.listen)
        self.departing = False

    def listed(self, roster: Roster) -> None:
        self.gate.endpoints.update(roster.endpoints)
        self.broker.listed(roster.event)

    def catch_signals(self) -> None:
        """Python's own handler runs between two instructions; the byte it leaves wakes the poll."""
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        writer.setblocking(False)
        signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: None)
        self.signals = reader, writer
        self.loop.watch(reader.fileno(), 1, self.signalled)

    def signalled(self, _mask: int) -> None:
        self.signals[0].recv(64)
        if not self.departing:
            self.departing = self.front.leaving = True
            departure = Departure(self.loop, self.broker, self.front.close, lambda: len(self.front.consumers))
            departure.start(departure.live())


def main() -> int:
    log.set_up()
    try:
        config = read_config(os.environ.get("GW_CONFIG"))
        program = Program(config)
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
