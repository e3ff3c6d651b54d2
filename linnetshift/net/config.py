"""What a proxy is told: the platform's JSON, and the broker's own file for all that the platform has not."""

from __future__ import annotations

import ipaddress
import json
import os
import socket
import tomllib
from collections.abc import Collection
from dataclasses import replace
from pathlib import Path
from typing import Any, NamedTuple

from linnetshift import interface as api
from linnetshift.contracts import Budget, Contract, Contracts
from linnetshift.net.directory import EndpointListUpdate, read_list
from linnetshift.net.platform import NameRegistry
from linnetshift.net.provider import Address, parse_address
from linnetshift.net.vrrp import VrrpConfig

OWN_FILE = Path(__file__).parent.parent.parent / "deploy" / "broker.toml"


class ConfigError(Exception):
    """The configuration cannot be used; the text says why in one line."""


Keys = dict[str, Any]  # with the keys below each, where it is an object


class Config(NamedTuple):
    name: str
    listen: Address
    discovery: Address
    seed: int
    known: EndpointListUpdate
    settings: api.Settings
    names: NameRegistry
    sockets: int  # the platform's limit; 0 where it gives none
    admin: Address | None  # where operators call, if they do
    keys: Keys  # that the file has


def keys_of(document: dict[str, Any]) -> Keys:
    return {key: keys_of(below) if isinstance(below, dict) else {} for key, below in document.items()}


def check_keys(document: Any, keys: Keys, path: str = "") -> None:
    """A file that lacks what the one before had is a broken one, though it could be read."""
    for key, below in keys.items():
        if not isinstance(document, dict) or key not in document:
            raise KeyError(path + key)
        check_keys(document[key], below, f"{path}{key}.")


def read_config(
    path: str | None, former: Config | None = None, in_use: Collection[int] | None = None
) -> Config:
    """Raises ConfigError; with `former`, where the file lacks what that one had, and with its numbers.

    `in_use`: numbers of classes that something under way refers to; None where that is not known.
    """
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
    admin = os.environ.get("GW_ADMIN_ADDR") or raw.get("admin_addr")
    try:
        check_keys(raw, former.keys if former is not None else {})
        listen, discovery = parse_address(str(raw["listen"])), parse_address(str(raw["discovery"]))
        settings = api.Settings.parse(raw["settings"])
        if former is not None:
            settings = settings.following(former.settings, in_use)
        names = NameRegistry(raw["settings"], settings, former.names if former is not None else None)
        zones = names.told(raw["settings"].get("zones"))
        if 0 <= settings.zone < len(zones):
            settings = replace(settings, zone=names.zones[zones[settings.zone]])
        return Config(
            name=str(raw.get("name", "")),
            listen=listen,
            discovery=discovery,
            seed=int(str(raw.get("seed", "0")), 16),
            known=read_list(raw.get("known", {"targets": []}), names, cached=True),
            settings=settings,
            names=names,
            sockets=int((raw.get("limits") or {}).get("sockets") or 0),
            admin=parse_address(str(admin)) if admin else None,
            keys=keys_of(raw),
        )
    except KeyError as error:
        raise ConfigError(f"{path}: key {error} is missing") from None
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{path}: {error}") from None


def inherited_listener() -> socket.socket | None:
    """The listening socket that the platform holds for clients, where it does."""
    told = os.environ.get("GW_LISTEN_FD")
    if not told:
        return None
    try:
        listener = socket.socket(fileno=int(told))
        if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ValueError("does not listen")
    except (ValueError, OSError) as error:
        reason = error.strerror if isinstance(error, OSError) else error
        raise ConfigError(f"GW_LISTEN_FD names no listening socket: {reason}") from None
    return listener


class BrokerFile(NamedTuple):
    """The parts that are off unless the broker's own file turns them on."""

    channels: Address | None = None
    vrrp: VrrpConfig | None = None
    contracts: Contracts = Contracts()


def read_broker_file(path: str | None, names: NameRegistry, settings: api.Settings) -> BrokerFile:
    """`deploy/broker.toml`, or the file that the environment names instead."""
    place = Path(path) if path else OWN_FILE
    if not path and not place.exists():
        return BrokerFile()
    try:
        raw = tomllib.loads(place.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"cannot read {place}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{place} is not TOML: {error}") from None
    try:
        channels, vrrp = raw.get("channels", {}), raw.get("vrrp", {})
        return BrokerFile(
            channels=parse_address(str(channels["listen"])) if channels.get("enabled") else None,
            vrrp=read_vrrp(vrrp) if vrrp.get("enabled") else None,
            contracts=read_contracts(raw.get("contract", []), names, settings),
        )
    except KeyError as error:
        raise ConfigError(f"{place}: key {error} is missing") from None
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{place}: {error}") from None


def read_vrrp(raw: dict[str, Any]) -> VrrpConfig:
    config = VrrpConfig(
        vrid=int(raw["vrid"]),
        priority=int(raw.get("priority", 100)),
        interval=int(raw.get("interval_cs", 100)),
        preempt=bool(raw.get("preempt", True)),
        listen=parse_address(str(raw["listen"])),
        peers=tuple(parse_address(str(peer)) for peer in raw["peers"]),
        addresses=tuple(str(ipaddress.IPv4Address(address)) for address in raw.get("addresses", [])),
    )
    if not 1 <= config.vrid <= 255 or not 1 <= config.priority <= 255:
        raise ValueError("vrrp's vrid and priority lie between 1 and 255")
    if not 1 <= config.interval <= 4095 or len(config.addresses) > 255:
        raise ValueError("vrrp's interval_cs lies between 1 and 4095, with at most 255 addresses")
    return config


def read_contracts(raw: list[dict[str, Any]], names: NameRegistry, settings: api.Settings) -> Contracts:
    """Services go by name: whatever rules a class of that name has or had."""
    numbers: dict[str, set[int]] = {}
    for number, klass in enumerate(settings.classes):
        numbers.setdefault(klass.name, set()).add(number)
    teams: dict[int, Contract] = {}
    for item in raw:
        team, services = str(item["team"]), item.get("services")
        for kind, name, known in [("team", team, names.tenants)] + [
            ("service", str(service), numbers) for service in services or []
        ]:
            if name not in known:
                raise ValueError(f"a contract names the unknown {kind} {name!r}")
        teams[names.tenants[team]] = Contract(
            services=None if services is None else frozenset().union(*(numbers[str(s)] for s in services)),
            rate=read_budget(item, "rate_per_s", "rate_burst"),
            retries=read_budget(item, "retries_per_s", "retries_burst"),
            concurrency=int(item["concurrency"]) if "concurrency" in item else None,
        )
    return Contracts(teams)


def read_budget(item: dict[str, Any], rate_key: str, burst_key: str) -> Budget | None:
    if rate_key not in item:
        return None
    rate = float(item[rate_key])
    burst = float(item.get(burst_key, max(1.0, rate)))
    if not 0.0 < rate < float("inf") or not 1.0 <= burst < float("inf"):
        raise ValueError(f"{rate_key} must be above 0 and {burst_key} 1 or more")
    return Budget(rate, burst)
