"""The broker file: a TOML document that configures channels, VRRP and contracts."""

from __future__ import annotations

import ipaddress
import math
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from linnetshift.broker.contracts import Contract, Contracts
from linnetshift.config.errors import (
    INVALID_VALUE_ERRORS,
    FileSyntaxError,
    InvalidValueError,
    MissingKeyError,
    UnreadableFileError,
)
from linnetshift.config.key_tree import NestingError, check_nesting
from linnetshift.config.names import NameRegistry
from linnetshift.event_loop.address import Address, parse_address
from linnetshift.routing.settings import Settings
from linnetshift.util.token_bucket import TokenBucket
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

ClassNumbers = dict[str, set[int]]
"""All current and former numbers of the classes of one name, by that name."""


class BrokerConfig(NamedTuple):
    """The contents of the broker file; features that it does not enable are off."""

    channels: Address | None = None
    vrrp: VrrpConfig | None = None
    contracts: Contracts = Contracts()


def read_broker_file(path: str | None, names: NameRegistry, settings: Settings) -> BrokerConfig:
    """Read `path`, or `deploy/broker.toml` if it is empty; raises ConfigurationError.

    If `deploy/broker.toml` is missing, all features are off; a missing file at `path` is an error.
    """
    file = Path(path) if path else DEFAULT_FILE
    if not path and not file.exists():
        return BrokerConfig()
    document = _load_document(file)
    try:
        return _parse_document(document, names, settings)
    except KeyError as error:
        raise MissingKeyError(file, error.args[0]) from None
    except INVALID_VALUE_ERRORS as error:
        raise InvalidValueError(file, error) from None


def _load_document(file: Path) -> dict[str, Any]:
    try:
        document = tomllib.loads(file.read_text(encoding="utf-8"))
        check_nesting(document)
        return document
    except OSError as error:
        raise UnreadableFileError(file, error.strerror) from None
    except RecursionError:
        raise InvalidValueError(file, NestingError()) from None
    except NestingError as error:
        raise InvalidValueError(file, error) from None
    except ValueError as error:
        raise FileSyntaxError(file, "TOML", error) from None


def _parse_document(document: dict[str, Any], names: NameRegistry, settings: Settings) -> BrokerConfig:
    """Raises KeyError for a missing key, and INVALID_VALUE_ERRORS for values of a wrong type or range."""
    channels = document.get("channels", {})
    vrrp = document.get("vrrp", {})
    return BrokerConfig(
        channels=parse_address(str(channels["listen"])) if channels.get("enabled") else None,
        vrrp=_parse_vrrp(vrrp) if vrrp.get("enabled") else None,
        contracts=_parse_contracts(document.get("contract", []), names, settings),
    )


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


def _parse_contracts(raw: list[dict[str, Any]], names: NameRegistry, settings: Settings) -> Contracts:
    """The contracts, by the number of their team.

    A contract names services and applies to every class that has or had such a name, regardless of its rules.
    """
    class_numbers: ClassNumbers = {}
    for number, request_class in enumerate(settings.classes):
        class_numbers.setdefault(request_class.name, set()).add(number)
    teams: dict[int, Contract] = {}
    for item in raw:
        team = str(item["team"])
        contract = _parse_contract(item, team, names, class_numbers)
        teams[names.tenants[team]] = contract
    return Contracts(teams)


def _parse_contract(
    item: dict[str, Any], team: str, names: NameRegistry, class_numbers: ClassNumbers
) -> Contract:
    services = item.get("services")
    service_names = [str(service) for service in services or []]
    _check_known("team", team, names.tenants)
    for name in service_names:
        _check_known("service", name, class_numbers)
    classes: frozenset[int] | None = None
    if services is not None:
        classes = frozenset().union(*(class_numbers[str(service)] for service in services))
    return Contract(
        services=classes,
        rate=_parse_token_bucket(item, "rate_per_s", "rate_burst"),
        retries=_parse_token_bucket(item, "retries_per_s", "retries_burst"),
        concurrency=int(item["concurrency"]) if "concurrency" in item else None,
    )


def _check_known(kind: str, name: str, known: dict[str, Any]) -> None:
    if name not in known:
        raise ValueError(f"a contract names the unknown {kind} {name!r}")


def _parse_token_bucket(item: dict[str, Any], rate_key: str, burst_key: str) -> TokenBucket | None:
    """The token bucket of a rate in requests per second and a burst in requests; None without a rate."""
    if rate_key not in item:
        return None
    rate = float(item[rate_key])
    burst = float(item.get(burst_key, max(1.0, rate)))
    if not 0.0 < rate < math.inf or not 1.0 <= burst < math.inf:
        raise ValueError(
            f"{rate_key} must be above 0 and {burst_key} 1 or more, both finite; got {rate:g} and {burst:g}"
        )
    return TokenBucket(rate, burst)
