"""The broker file: a TOML document of the operator that configures channels, VRRP and contracts.

Its parts stand alone: one that cannot be used is reported and replaced by its last good version, and the
others are used. Nothing in it affects whether the proxy file is used.
"""

from __future__ import annotations

import ipaddress
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from linnetshift.broker.contracts import ContractList
from linnetshift.config.broker_parts import (
    CHANNELS_PART,
    VRRP_PART,
    WHOLE_FILE,
    UnusablePart,
    UnusablePartError,
)
from linnetshift.config.contracts_section import ContractsReader
from linnetshift.config.errors import INVALID_VALUE_ERRORS
from linnetshift.config.key_tree import NestingError, check_nesting
from linnetshift.event_loop.address import Address, parse_address
from linnetshift.vrrp.router import VrrpConfig

DEFAULT_FILE = Path(__file__).parent.parent.parent / "deploy" / "broker.toml"

# RFC 9568, section 5.2: one octet each for the virtual router id, the priority and the number of addresses,
# twelve bits for the interval in centiseconds.
MAX_VRID = 255
MAX_PRIORITY = 255
MAX_ADDRESSES = 255
MAX_INTERVAL_CS = 4095

DEFAULT_PRIORITY = 100
DEFAULT_INTERVAL_CS = 100

Parsed = TypeVar("Parsed")


@dataclass(frozen=True, slots=True)
class BrokerConfig:
    """The contents of the broker file; features that it does not enable are off."""

    channels: Address | None = None
    vrrp: VrrpConfig | None = None
    contracts: ContractList = field(default_factory=ContractList)


@dataclass(frozen=True, slots=True)
class BrokerFileReading:
    """What is in force after the file was read, and what of it could not be used."""

    config: BrokerConfig
    unusable: tuple[UnusablePart, ...] = ()

    def lacks(self, path: str) -> bool:
        """Whether no version of this part, or of the whole file, has ever been usable."""
        return any(not part.has_last_good for part in self.unusable if part.path in (path, WHOLE_FILE))


def read_broker_file(
    path: str | None, last_good: BrokerFileReading | None = None, may_change_vrrp: bool = True
) -> BrokerFileReading:
    """Read `path`, or `deploy/broker.toml` if it is empty; what cannot be used is in the result.

    `last_good` is what has been in force, None at a start. At a reload VRRP may not change. If
    `deploy/broker.toml` is missing, all features are off; a missing file at `path` cannot be used.
    """
    file = Path(path) if path else DEFAULT_FILE
    document: dict[str, Any] = {}
    if path or file.exists():
        try:
            document = _load_document(file)
        except UnusablePartError as error:
            return _without_document(f"{file}{error}", last_good)
    return _BrokerFileReader(document, last_good, may_change_vrrp).read()


def _without_document(reason: str, last_good: BrokerFileReading | None) -> BrokerFileReading:
    """Return what is in force where nothing of the file can be used."""
    has_last_good = last_good is not None and not last_good.lacks(WHOLE_FILE)
    config = last_good.config if last_good is not None else BrokerConfig()
    return BrokerFileReading(config, (UnusablePart(WHOLE_FILE, reason, has_last_good),))


def _load_document(file: Path) -> dict[str, Any]:
    """Raise UnusablePartError where the file cannot be read or is not TOML."""
    try:
        document = tomllib.loads(file.read_text(encoding="utf-8"))
        check_nesting(document)
    except OSError as error:
        raise UnusablePartError(f": cannot be read: {error.strerror}") from None
    except RecursionError:
        raise UnusablePartError(f": {NestingError()}") from None
    except NestingError as error:
        raise UnusablePartError(f": {error}") from None
    except ValueError as error:
        raise UnusablePartError(f" is not TOML: {error}") from None
    return document


class _BrokerFileReader:
    """Reads the parts of one document, and collects those that cannot be used."""

    def __init__(
        self, document: dict[str, Any], last_good: BrokerFileReading | None, may_change_vrrp: bool
    ) -> None:
        self.document = document
        self.last_good = last_good
        self.in_force = last_good.config if last_good is not None else BrokerConfig()
        self.may_change_vrrp = may_change_vrrp
        self.unusable: list[UnusablePart] = []

    def read(self) -> BrokerFileReading:
        """Return the configuration in force: of each part the document's version, or the last good one."""
        vrrp = self._read_vrrp()
        channels = self._read_channels()
        former_contracts = self.last_good.config.contracts if self.last_good is not None else None
        contracts = ContractsReader(self.document, former_contracts).read()
        unusable = (*self.unusable, *contracts.unusable)
        return BrokerFileReading(BrokerConfig(channels, vrrp, contracts.contracts), unusable)

    def _leave_out(self, path: str, reason: str) -> None:
        has_last_good = self.last_good is not None and not self.last_good.lacks(path)
        self.unusable.append(UnusablePart(path, reason, has_last_good))

    def _read_vrrp(self) -> VrrpConfig | None:
        try:
            config = _parse_enabled_table(self.document, VRRP_PART, _parse_vrrp)
        except UnusablePartError as error:
            self._leave_out(VRRP_PART, str(error))
            return self.in_force.vrrp
        if not self.may_change_vrrp and config != self.in_force.vrrp:
            self._leave_out(VRRP_PART, "a change of [vrrp] needs a restart")
            return self.in_force.vrrp
        return config

    def _read_channels(self) -> Address | None:
        try:
            address = _parse_enabled_table(self.document, CHANNELS_PART, _parse_listen_address)
        except UnusablePartError as error:
            self._leave_out(CHANNELS_PART, str(error))
            return self.in_force.channels
        if address is not None and any(not part.has_last_good for part in self.unusable):
            # Without the router that it should follow, a backup would accept channels.
            self._leave_out(CHANNELS_PART, "[vrrp] decides when it listens, and cannot be used")
            return self.in_force.channels
        return address


def _parse_enabled_table(
    document: dict[str, Any], key: str, parse: Callable[[dict[str, Any]], Parsed]
) -> Parsed | None:
    """Parse the table if it is enabled; None if it is absent or not enabled. Raises UnusablePartError."""
    try:
        table = document.get(key, {})
        return parse(table) if table.get("enabled") else None
    except KeyError as error:
        raise UnusablePartError(f"key {error.args[0]!r} is missing") from None
    except INVALID_VALUE_ERRORS as error:
        raise UnusablePartError(str(error)) from None


def _parse_listen_address(table: dict[str, Any]) -> Address:
    return parse_address(str(table["listen"]))


def _parse_vrrp(raw: dict[str, Any]) -> VrrpConfig:
    config = VrrpConfig(
        vrid=int(raw["vrid"]),
        priority=int(raw.get("priority", DEFAULT_PRIORITY)),
        interval_cs=int(raw.get("interval_cs", DEFAULT_INTERVAL_CS)),
        preempt=bool(raw.get("preempt", True)),
        listen=parse_address(str(raw["listen"])),
        peers=tuple(parse_address(str(peer)) for peer in raw["peers"]),
        addresses=tuple(str(ipaddress.IPv4Address(address)) for address in raw.get("addresses", [])),
    )
    if not 1 <= config.vrid <= MAX_VRID or not 1 <= config.priority <= MAX_PRIORITY:
        raise ValueError(
            f"vrrp's vrid and priority must be 1 to {MAX_VRID}, got {config.vrid} and {config.priority}"
        )
    if not 1 <= config.interval_cs <= MAX_INTERVAL_CS or len(config.addresses) > MAX_ADDRESSES:
        raise ValueError(
            f"vrrp's interval_cs must be 1 to {MAX_INTERVAL_CS}, with at most {MAX_ADDRESSES} addresses; "
            f"got {config.interval_cs} and {len(config.addresses)} addresses"
        )
    return config
