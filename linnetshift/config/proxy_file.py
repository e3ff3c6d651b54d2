"""The proxy file: a JSON document with addresses and settings, written by the platform."""

from __future__ import annotations

import json
import os
from collections.abc import Collection
from dataclasses import replace
from typing import Any, NamedTuple

from linnetshift.config.errors import (
    INVALID_VALUE_ERRORS,
    EnvironmentVariableError,
    FileSyntaxError,
    InvalidValueError,
    MissingKeyError,
    MissingSettingsError,
    UnreadableFileError,
)
from linnetshift.config.key_tree import KeyTree, NestingError, check_nesting, check_unique_names
from linnetshift.endpoint_list.names import NameRegistry
from linnetshift.endpoint_list.parsing import EndpointListUpdate, parse_endpoint_list
from linnetshift.event_loop.address import Address, parse_address
from linnetshift.routing.settings import Settings
from linnetshift.routing.settings_reader import SettingsReader

PROXY_FILE_VARIABLE = "GW_CONFIG"  # its path
ADMIN_ADDRESS_VARIABLE = "GW_ADMIN_ADDR"  # takes precedence over the key `admin_addr`


class ProxyConfig(NamedTuple):
    """The contents of the proxy file."""

    name: str
    listen: Address
    discovery: Address
    seed: int  # of the random source
    cached_list: EndpointListUpdate  # the endpoint list at the time the file was written
    settings: Settings
    names: NameRegistry
    max_sockets: int  # the platform's limit; 0 if it sets none
    admin: Address | None  # of the admin server; None if it is off
    keys: KeyTree  # of the whole document


def read_config(
    path: str | None, former: ProxyConfig | None = None, classes_in_use: Collection[int] | None = None
) -> ProxyConfig:
    """Read and validate the proxy file; raises ConfigurationError.

    `former` is the current configuration at a reload: names keep its numbers, and a file without one of its
    keys is rejected. `classes_in_use` holds the numbers of classes that requests or connections refer to, or
    is None if that is unknown.
    """
    if not path:
        raise EnvironmentVariableError(PROXY_FILE_VARIABLE, "does not name a configuration file")
    document = _load_document(path)
    try:
        return _parse_document(document, former, classes_in_use)
    except KeyError as error:
        raise MissingKeyError(path, error.args[0]) from None
    except INVALID_VALUE_ERRORS as error:
        raise InvalidValueError(path, error) from None


def _load_document(path: str) -> dict[str, Any]:
    """The JSON object in the file, checked to contain an object `settings`."""
    try:
        with open(path, encoding="utf-8") as file:
            document: Any = json.load(file)
        check_nesting(document)
    except OSError as error:
        raise UnreadableFileError(path, error.strerror) from None
    except RecursionError:
        raise InvalidValueError(path, NestingError()) from None
    except NestingError as error:
        raise InvalidValueError(path, error) from None
    except ValueError as error:
        raise FileSyntaxError(path, "JSON", error) from None
    if not isinstance(document, dict) or not isinstance(document.get("settings"), dict):
        raise MissingSettingsError(path)
    return document


def _parse_document(
    document: dict[str, Any], former: ProxyConfig | None, classes_in_use: Collection[int] | None
) -> ProxyConfig:
    """Raises KeyError for a missing key, and INVALID_VALUE_ERRORS for values of a wrong type or range."""
    keys = KeyTree.of(document)
    missing_path = former.keys.missing_path(keys) if former is not None else None
    if missing_path is not None:
        raise KeyError(missing_path)
    listen = parse_address(str(document["listen"]))
    discovery = parse_address(str(document["discovery"]))
    raw_settings = document["settings"]
    settings = Settings.parse(raw_settings)
    if former is not None:
        settings = settings.numbered_after(former.settings, classes_in_use)
    check_unique_names(raw_settings, "settings")
    names = NameRegistry(raw_settings, settings, former.names if former is not None else None)
    return ProxyConfig(
        name=str(document.get("name", "")),
        listen=listen,
        discovery=discovery,
        seed=int(str(document.get("seed", "0")), 16),
        cached_list=parse_endpoint_list(document.get("known", {"targets": []}), names, is_cached=True),
        settings=_with_registered_zone(settings, raw_settings, names),
        names=names,
        max_sockets=_read_max_sockets(document),
        admin=_admin_address(document),
        keys=keys,
    )


def _with_registered_zone(settings: Settings, raw_settings: dict[str, Any], names: NameRegistry) -> Settings:
    """The settings with this proxy's zone number from the registry.

    The file contains it as an index into its own list of zones, whose order may change at a reload.
    """
    zones = names.names_in(raw_settings, "zones")
    if 0 <= settings.zone < len(zones):
        return replace(settings, zone=names.zones[zones[settings.zone]])
    return settings


def _admin_address(document: dict[str, Any]) -> Address | None:
    address = os.environ.get(ADMIN_ADDRESS_VARIABLE) or document.get("admin_addr")
    return parse_address(str(address)) if address else None


def _read_max_sockets(document: dict[str, Any]) -> int:
    """Return the platform's limit of sockets, 0 where it sets none."""
    limits = SettingsReader(document).optional_object("limits")
    return int(limits.optional_number("sockets", 0))
