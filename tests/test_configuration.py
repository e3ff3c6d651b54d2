"""Configuration files: error messages, and the numbers assigned to names."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest
from conftest import raw_settings

from linnetshift.config.broker_file import BrokerConfig, read_broker_file
from linnetshift.config.errors import (
    ConfigurationError,
    ConfigurationFileError,
    EnvironmentVariableError,
    FileSyntaxError,
    InvalidValueError,
    MissingKeyError,
    MissingSettingsError,
    UnreadableFileError,
)
from linnetshift.config.loader import read_files
from linnetshift.config.names import MAX_NAMES, NameRegistry
from linnetshift.config.platform_listener import platform_listener
from linnetshift.config.proxy_file import ProxyConfig, read_config
from linnetshift.routing.settings import Settings

DOCUMENT: dict[str, Any] = {
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "settings": raw_settings(tenants=[{"name": "acme"}]),
}


RATE_ERROR = ": rate_per_s must be above 0 and rate_burst 1 or more, both finite; got 0 and 1"
VRRP_KEYS = 'enabled = true\nlisten = "127.0.0.1:1"\npeers = []\n'
VRRP_INTERVAL_ERROR = (
    ": vrrp's interval_cs must be 1 to 4095, with at most 255 addresses; got 0 and 0 addresses"
)


def write_proxy_file(folder: Path, document: object) -> Path:
    """Write a proxy file with the given content; returns its path."""
    file = folder / "config.json"
    file.write_text(document if isinstance(document, str) else json.dumps(document))
    return file


def document_without(key: str) -> dict[str, Any]:
    return {name: value for name, value in DOCUMENT.items() if name != key}


@pytest.mark.parametrize(
    ("document", "error_type", "text"),
    [
        ("{", FileSyntaxError, " is not JSON: "),
        ([], MissingSettingsError, " holds no settings"),
        (document_without("listen"), MissingKeyError, ": key 'listen' is missing"),
        ({**DOCUMENT, "discovery": "nowhere"}, InvalidValueError, ": 'nowhere' is not ADDRESS:PORT"),
        ({**DOCUMENT, "seed": "x"}, InvalidValueError, "invalid literal"),
    ],
)
def test_error_of_unusable_proxy_file_names_the_file_and_the_reason(
    tmp_path: Path, document: object, error_type: type[ConfigurationFileError], text: str
) -> None:
    file = write_proxy_file(tmp_path, document)
    with pytest.raises(error_type) as caught:
        read_config(str(file))
    assert str(caught.value).startswith(str(file))
    assert text in str(caught.value)
    assert caught.value.file == str(file)
    assert isinstance(caught.value, ConfigurationError)


def test_error_of_unreadable_proxy_file_has_the_system_error_text(tmp_path: Path) -> None:
    with pytest.raises(UnreadableFileError, match=r"^cannot read .*none.json: No such file or directory$"):
        read_config(str(tmp_path / "none.json"))


def test_error_of_key_missing_since_the_former_file_names_its_path(tmp_path: Path) -> None:
    former = read_config(str(write_proxy_file(tmp_path, {**DOCUMENT, "limits": {"sockets": 9, "cores": 1}})))
    file = write_proxy_file(tmp_path, {**DOCUMENT, "limits": {"sockets": 9}})
    with pytest.raises(MissingKeyError) as caught:
        read_config(str(file), former)
    assert caught.value.key == "limits.cores"
    assert str(caught.value) == f"{file}: key 'limits.cores' is missing"


def nested_document() -> dict[str, Any]:
    """A proxy file with lists of named and unnamed items at several depths."""
    return {
        **DOCUMENT,
        "known": {"rev": 1, "all": True, "targets": [{"uid": "s-1", "endpoint": "127.0.0.1:3"}]},
        "settings": raw_settings(
            tenants=[{"name": "acme", "fraction": 0.5}, {"name": "glen", "fraction": 0.5}],
            extra=[{"limit": 1, "deep": [[{"name": "x", "unit": "ms"}]]}],
        ),
    }


def remove_key(document: Any, path: list[Any]) -> dict[str, Any]:
    """Return a copy of the document without the last key of the path."""
    copied: Any = copy.deepcopy(document)
    parent = copied
    for step in path[:-1]:
        parent = parent[step]
    del parent[path[-1]]
    return dict(copied)


@pytest.mark.parametrize(
    ("path", "missing"),
    [
        (["settings", "services", 0, "group"], "settings.services[feed].group"),
        (["settings", "services", 0, "windowNs"], "settings.services[feed].windowNs"),
        (["settings", "services", 0, "name"], "settings.services[0].name"),
        (["settings", "tenants", 1, "fraction"], "settings.tenants[glen].fraction"),
        (["settings", "extra", 0, "limit"], "settings.extra[0].limit"),
        (["settings", "extra", 0, "deep", 0, 0, "unit"], "settings.extra[0].deep[0][x].unit"),
        (["known", "targets", 0, "endpoint"], "known.targets[s-1].endpoint"),
    ],
    ids=str,
)
def test_file_that_lacks_a_former_key_of_an_item_of_a_list_is_rejected(
    tmp_path: Path, path: list[Any], missing: str
) -> None:
    """Guards against review/6: a class without `group` was taken, and its requests ran in two zones."""
    former = read_config(str(write_proxy_file(tmp_path, nested_document())))
    file = write_proxy_file(tmp_path, remove_key(nested_document(), path))
    with pytest.raises(MissingKeyError) as caught:
        read_config(str(file), former)
    assert str(caught.value) == f"{file}: key {missing!r} is missing"


def test_items_that_were_added_removed_or_reordered_are_no_missing_keys(tmp_path: Path) -> None:
    """Guards against a check of lists that forbids changes of the configuration."""
    former = read_config(str(write_proxy_file(tmp_path, nested_document())))
    document = nested_document()
    settings = document["settings"]
    settings["tenants"] = [{"name": "new"}, *reversed(settings["tenants"])]
    settings["extra"] *= 2
    document["known"]["targets"] = []
    changed = read_config(str(write_proxy_file(tmp_path, document)), former)
    settings["tenants"] = []
    settings["extra"] = []
    assert read_config(str(write_proxy_file(tmp_path, document)), changed).settings.tenants == ()


@pytest.mark.parametrize("levels", [100, 2_000, 100_000])
def test_proxy_file_nested_too_deeply_is_rejected(tmp_path: Path, levels: int) -> None:
    """Guards against a RecursionError that ended the process, at the start or at SIGHUP."""
    nested = "[" * levels + "]" * levels
    file = write_proxy_file(tmp_path, json.dumps(DOCUMENT)[:-1] + f', "list": {nested}}}')
    with pytest.raises(InvalidValueError, match="nested deeper than 64 levels"):
        read_config(str(file))


@pytest.mark.parametrize("levels", [100, 2_000])
def test_broker_file_nested_too_deeply_is_rejected(tmp_path: Path, levels: int) -> None:
    """Guards against a RecursionError that ended the process, at the start or at SIGHUP."""
    file = tmp_path / "broker.toml"
    file.write_text(f"list = {'[' * levels}{']' * levels}")
    config = read_config(str(write_proxy_file(tmp_path, DOCUMENT)))
    with pytest.raises(InvalidValueError, match="nested deeper than 64 levels"):
        read_broker_file(str(file), config.names, config.settings)


@pytest.mark.parametrize("key", ["tenants", "zones", "models"])
def test_name_that_is_listed_twice_is_rejected(tmp_path: Path, key: str) -> None:
    """Guards against two items of one name, the rules of which would depend on their order."""
    settings = raw_settings(**{key: [{"name": "a"}, {"name": "a"}]})
    file = write_proxy_file(tmp_path, {**DOCUMENT, "settings": settings})
    with pytest.raises(InvalidValueError, match=f"key 'settings.{key}' names 'a' twice"):
        read_config(str(file))


def test_error_of_missing_variable_names_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("GW_CONFIG", raising=False)
    with pytest.raises(EnvironmentVariableError, match=r"^GW_CONFIG does not name a configuration file$"):
        read_files()


@pytest.mark.parametrize("descriptor", ["x", "987654"])
def test_descriptor_that_is_not_a_listening_socket_is_rejected(
    monkeypatch: pytest.MonkeyPatch, descriptor: str
) -> None:
    monkeypatch.setenv("GW_LISTEN_FD", descriptor)
    with pytest.raises(
        EnvironmentVariableError, match=r"^GW_LISTEN_FD names no listening socket: "
    ) as caught:
        platform_listener()
    assert caught.value.variable == "GW_LISTEN_FD"


def test_admin_address_from_the_environment_takes_precedence(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = str(write_proxy_file(tmp_path, {**DOCUMENT, "admin_addr": "127.0.0.1:3"}))
    monkeypatch.delenv("GW_ADMIN_ADDR", raising=False)
    assert read_config(file).admin == ("127.0.0.1", 3)
    monkeypatch.setenv("GW_ADMIN_ADDR", "127.0.0.1:4")
    assert read_config(file).admin == ("127.0.0.1", 4)


@pytest.mark.parametrize(
    ("content", "text"),
    [
        ("[", " is not TOML: "),
        ("[channels]\nenabled = true\n", ": key 'listen' is missing"),
        ('[[contract]]\nteam = "nobody"\n', ": a contract names the unknown team 'nobody'"),
        (
            '[[contract]]\nteam = "acme"\nservices = ["none"]\n',
            ": a contract names the unknown service 'none'",
        ),
        ('[[contract]]\nteam = "acme"\nservices = 0\n', ": 'int' object is not iterable"),
        ('[[contract]]\nteam = "acme"\nrate_per_s = 0\n', RATE_ERROR),
        (f"[vrrp]\n{VRRP_KEYS}vrid = 256\n", ": vrrp's vrid and priority must be 1 to 255, got 256 and 100"),
        (f"[vrrp]\n{VRRP_KEYS}vrid = 1\ninterval_cs = 0\n", VRRP_INTERVAL_ERROR),
    ],
)
def test_error_of_unusable_broker_file_names_the_file_and_the_reason(
    tmp_path: Path, content: str, text: str
) -> None:
    config = read_config(str(write_proxy_file(tmp_path, DOCUMENT)))
    file = tmp_path / "broker.toml"
    file.write_text(content)
    with pytest.raises(ConfigurationFileError) as caught:
        read_broker_file(str(file), config.names, config.settings)
    assert str(caught.value).startswith(f"{file}{text}")


def test_disabled_tables_of_the_broker_file_enable_nothing(tmp_path: Path) -> None:
    config = read_config(str(write_proxy_file(tmp_path, DOCUMENT)))
    file = tmp_path / "broker.toml"
    file.write_text("[channels]\nenabled = false\n[vrrp]\nenabled = false\n")
    broker_config = read_broker_file(str(file), config.names, config.settings)
    assert (broker_config.channels, broker_config.vrrp, broker_config.contracts.teams) == (None, None, {})
    assert isinstance(broker_config, BrokerConfig)
    assert isinstance(config, ProxyConfig)


def registry(former: NameRegistry | None = None, **settings: object) -> NameRegistry:
    raw = {**raw_settings(), "zones": [], "models": [], **settings}
    return NameRegistry(raw, Settings.parse(raw), former)


def test_name_keeps_its_number_if_the_order_of_later_lists_differs() -> None:
    first = registry(zones=["a", "b"], models=[{"name": "m"}])
    later = registry(first, zones=["c", "b"], models=["n", "m"])
    assert later.zones == {"a": 0, "b": 1, "c": 2}
    assert later.kinds == {"m": 0, "n": 1}
    assert first.zones == {"a": 0, "b": 1}  # the former registry is unchanged


def test_registry_adopts_later_names_in_place() -> None:
    first = registry(zones=["a"])
    zones = first.zones
    assert first.update_from(registry(first, zones=["b"])) == {}
    assert zones is first.zones
    assert zones == {"a": 0, "b": 1}


def test_discontinued_class_is_known_until_it_is_removed() -> None:
    names, later = registry(), registry()
    name, number = next(iter(names.classes.items()))
    later.classes = {"later": number + 1}
    discontinued = names.update_from(later)
    assert discontinued == {name: number}
    assert names.classes == {name: number, "later": number + 1}
    names.remove_classes(discontinued, (number, number + 1))  # offered again since
    assert name in names.classes
    names.remove_classes(discontinued, (number + 1,))
    assert names.classes == {"later": number + 1}


def test_names_of_one_kind_beyond_the_limit_are_rejected() -> None:
    full = registry(zones=[str(number) for number in range(MAX_NAMES)])
    assert len(full.zones) == MAX_NAMES
    with pytest.raises(ValueError, match=r"kept: 4097 of 4096; that needs a restart$") as caught:
        registry(full, zones=["one more"])
    assert str(caught.value).startswith("more names of one kind since the start than can be kept: ")
