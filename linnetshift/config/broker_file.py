"""The broker's own file: channels, VRRP and contracts."""

from __future__ import annotations

import ipaddress
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from linnetshift.broker.contracts import Contract, Contracts
from linnetshift.config.errors import ConfigError
from linnetshift.config.names import NameRegistry
from linnetshift.event_loop.address import Address, parse_address
from linnetshift.routing.settings import Settings
from linnetshift.util.token_bucket import TokenBucket
from linnetshift.vrrp.router import VrrpConfig

OWN_FILE = Path(__file__).parent.parent.parent / "deploy" / "broker.toml"


class BrokerFile(NamedTuple):
    """The parts that are off unless the broker's own file turns them on."""

    channels: Address | None = None
    vrrp: VrrpConfig | None = None
    contracts: Contracts = Contracts()


def read_broker_file(path: str | None, names: NameRegistry, settings: Settings) -> BrokerFile:
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


def read_contracts(raw: list[dict[str, Any]], names: NameRegistry, settings: Settings) -> Contracts:
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


def read_budget(item: dict[str, Any], rate_key: str, burst_key: str) -> TokenBucket | None:
    if rate_key not in item:
        return None
    rate = float(item[rate_key])
    burst = float(item.get(burst_key, max(1.0, rate)))
    if not 0.0 < rate < float("inf") or not 1.0 <= burst < float("inf"):
        raise ValueError(f"{rate_key} must be above 0 and {burst_key} 1 or more")
    return TokenBucket(rate, burst)
