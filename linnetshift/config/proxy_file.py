"""What a proxy is told: the platform's JSON, and the broker's own file for all that the platform has not."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Collection
from dataclasses import replace
from typing import Any, NamedTuple

from linnetshift.config.errors import ConfigError
from linnetshift.config.names import NameRegistry
from linnetshift.discovery.endpoint_list import EndpointListUpdate, parse_endpoint_list
from linnetshift.event_loop.address import Address, parse_address
from linnetshift.routing.settings import Settings

Keys = dict[str, Any]  # with the keys below each, where it is an object


class Config(NamedTuple):
    name: str
    listen: Address
    discovery: Address
    seed: int
    known: EndpointListUpdate
    settings: Settings
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
        settings = Settings.parse(raw["settings"])
        if former is not None:
            settings = settings.numbered_after(former.settings, in_use)
        names = NameRegistry(raw["settings"], settings, former.names if former is not None else None)
        zones = names.told(raw["settings"].get("zones"))
        if 0 <= settings.zone < len(zones):
            settings = replace(settings, zone=names.zones[zones[settings.zone]])
        return Config(
            name=str(raw.get("name", "")),
            listen=listen,
            discovery=discovery,
            seed=int(str(raw.get("seed", "0")), 16),
            known=parse_endpoint_list(raw.get("known", {"targets": []}), names, is_cached=True),
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


def platform_listener() -> socket.socket | None:
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
