"""Configuration files: error messages, and the numbers assigned to names."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest
from conftest import raw_settings

from linnetshift.broker.contracts import ContractList, Contracts, ContractTerms
from linnetshift.config.broker_file import BrokerConfig, BrokerFileReading, read_broker_file
from linnetshift.config.broker_parts import UnusablePart
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
from linnetshift.config.loader import load_proxy_file
from linnetshift.config.platform_listener import platform_listener
from linnetshift.config.proxy_file import ProxyConfig, read_config
from linnetshift.endpoint_list.names import MAX_NAMES, DiscontinuedNames, NameRegistry
from linnetshift.routing.settings import Settings

DOCUMENT: dict[str, Any] = {
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "settings": raw_settings(tenants=[{"name": "acme"}]),
}


RATE_ERROR = "rate_per_s must be above 0 and rate_burst 1 or more, both finite; got 0 and 1"
VRRP_KEYS = 'enabled = true\nlisten = "127.0.0.1:1"\npeers = []\n'
VRRP_INTERVAL_ERROR = (
    "vrrp's interval_cs must be 1 to 4095, with at most 255 addresses; got 0 and 0 addresses"
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
    (part,) = read_broker_file(str(file)).unusable
    assert part == UnusablePart("", f"{file}: nested deeper than 64 levels", has_last_good=False)


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
        load_proxy_file()


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
    ("content", "path", "reason"),
    [
        ("[", "", "FILE is not TOML: "),
        ("channels = 1\n", "channels", "'int' object has no attribute"),
        ("[channels]\nenabled = true\n", "channels", "key 'listen' is missing"),
        ("contract = 1\n", "contract", "must be an array of tables"),
        ("[[contract]]\nrate_per_s = 1\n", "contract[0]", "'team' must be a name"),
        (2 * '[[contract]]\nteam = "acme"\n', "contract[0]", "team 'acme' has 2 contracts"),
        ('[[contract]]\nteam = "acme"\nservices = 0\n', "contract[0]", "'services' must be a list of names"),
        ('[[contract]]\nteam = "acme"\nrate_per_s = 0\n', "contract[0]", RATE_ERROR),
        (f"[vrrp]\n{VRRP_KEYS}vrid = 256\n", "vrrp", "vrrp's vrid and priority must be 1 to 255, got 256"),
        (f"[vrrp]\n{VRRP_KEYS}vrid = 1\ninterval_cs = 0\n", "vrrp", VRRP_INTERVAL_ERROR),
    ],
)
def test_unusable_part_of_the_broker_file_is_reported_with_its_path_and_the_reason(
    tmp_path: Path, content: str, path: str, reason: str
) -> None:
    # The whole file was an error, for the caller to reject or to exit on.
    file = tmp_path / "broker.toml"
    file.write_text(content)
    part = read_broker_file(str(file)).unusable[0]
    assert part.path == path
    assert part.reason.startswith(reason.replace("FILE", str(file)))
    assert not part.has_last_good


BROKEN_CONTRACT = '[[contract]]\nteam = "acme"\nrate_per_s = 0\n'
GOOD_CONTRACT = '[[contract]]\nteam = "acme"\nservices = ["feed"]\nconcurrency = 4\n'
OTHER_CONTRACT = '[[contract]]\nteam = "other"\nconcurrency = 1\n'
CHANNELS = '[channels]\nenabled = true\nlisten = "127.0.0.1:9"\n'
GOOD_TERMS = ContractTerms("acme", services=frozenset({"feed"}), concurrency=4)
OTHER_TERMS = ContractTerms("other", concurrency=1)


@pytest.mark.parametrize(
    ("content", "contracts"),
    [
        ("[", (GOOD_TERMS, OTHER_TERMS)),
        ("contract = 1\n", (GOOD_TERMS, OTHER_TERMS)),
        (BROKEN_CONTRACT, (GOOD_TERMS,)),
        (2 * GOOD_CONTRACT, (GOOD_TERMS,)),
        ("[[contract]]\nconcurrency = 1\n", (GOOD_TERMS, OTHER_TERMS)),
        (f"[channels]\nenabled = true\n{OTHER_CONTRACT}", (OTHER_TERMS,)),
    ],
)
def test_last_good_version_of_an_unusable_part_stays_in_force(
    tmp_path: Path, content: str, contracts: tuple[ContractTerms, ...]
) -> None:
    """Guards against a broken part that takes the rest of the file, or its own former version, with it."""
    file = tmp_path / "broker.toml"
    file.write_text(CHANNELS + GOOD_CONTRACT + OTHER_CONTRACT)
    last_good = read_broker_file(str(file))
    assert last_good.unusable == ()
    assert last_good.config.contracts.terms == (GOOD_TERMS, OTHER_TERMS)
    file.write_text(content if "channels" in content or content == "[" else CHANNELS + content)
    if content == "contract = 1\n":
        file.write_text(content + CHANNELS)
    reading = read_broker_file(str(file), last_good, may_change_vrrp=False)
    assert reading.unusable
    assert all(part.has_last_good for part in reading.unusable)
    assert set(reading.config.contracts.terms) == set(contracts)
    assert reading.config.channels == ("127.0.0.1", 9)
    assert not reading.config.contracts.unlimited_teams


def test_team_whose_contract_was_never_usable_has_no_limits_until_it_is(tmp_path: Path) -> None:
    """Guards against a team that is rejected for a mistake in its contract."""
    file = tmp_path / "broker.toml"
    file.write_text(BROKEN_CONTRACT + OTHER_CONTRACT)
    reading = read_broker_file(str(file))
    for _ in range(2):
        assert set(reading.config.contracts.terms) == {ContractTerms("acme"), OTHER_TERMS}
        assert reading.config.contracts.unlimited_teams == {"acme"}
        assert [part.has_last_good for part in reading.unusable] == [False]
        reading = read_broker_file(str(file), reading, may_change_vrrp=False)
    file.write_text(GOOD_CONTRACT + OTHER_CONTRACT)
    reading = read_broker_file(str(file), reading, may_change_vrrp=False)
    assert reading.unusable == ()
    assert reading.config.contracts == ContractList((GOOD_TERMS, OTHER_TERMS))


def test_other_teams_are_admitted_while_it_is_unknown_whose_contract_is_unusable(tmp_path: Path) -> None:
    """Guards against rejecting the very team whose contract has a mistake in its name."""
    file = tmp_path / "broker.toml"
    file.write_text("[[contract]]\nteam = []\n" + OTHER_CONTRACT)
    started = read_broker_file(str(file))
    assert started.config.contracts.admits_other_teams
    admitting = Contracts.of(started.config.contracts, {"other": 0}, ())
    assert admitting.admit(1, 0, 0, 0) is None
    file.write_text(GOOD_CONTRACT)
    good = read_broker_file(str(file), started, may_change_vrrp=False)
    file.write_text("[[contract]]\nteam = []\n" + OTHER_CONTRACT)
    reloaded = read_broker_file(str(file), good, may_change_vrrp=False)
    assert not reloaded.config.contracts.admits_other_teams
    assert set(reloaded.config.contracts.terms) == {GOOD_TERMS, OTHER_TERMS}


def test_channels_stay_off_without_the_router_that_they_follow(tmp_path: Path) -> None:
    """Guards against a backup that accepts channels, since its [vrrp] could not be used."""
    file = tmp_path / "broker.toml"
    file.write_text(CHANNELS + f"[vrrp]\n{VRRP_KEYS}vrid = 0\n")
    reading = read_broker_file(str(file))
    assert reading.config == BrokerConfig()
    assert [part.path for part in reading.unusable] == ["vrrp", "channels"]
    file.write_text(CHANNELS + f"[vrrp]\n{VRRP_KEYS}vrid = 1\n")
    reading = read_broker_file(str(file), reading, may_change_vrrp=False)
    assert (reading.config.channels, reading.config.vrrp) == (None, None)
    assert reading.unusable[0].reason == "a change of [vrrp] needs a restart"
    file.write_text(CHANNELS)
    reading = read_broker_file(str(file), reading, may_change_vrrp=False)
    assert (reading.config.channels, reading.unusable) == (("127.0.0.1", 9), ())


def test_disabled_tables_of_the_broker_file_enable_nothing(tmp_path: Path) -> None:
    config = read_config(str(write_proxy_file(tmp_path, DOCUMENT)))
    file = tmp_path / "broker.toml"
    file.write_text("[channels]\nenabled = false\n[vrrp]\nenabled = false\n")
    assert read_broker_file(str(file)) == BrokerFileReading(BrokerConfig())
    assert isinstance(config, ProxyConfig)


def registry(former: NameRegistry | None = None, **settings: object) -> NameRegistry:
    raw = {**raw_settings(), "zones": [], "models": [], **settings}
    return NameRegistry(raw, Settings.parse(raw), former)


def test_name_keeps_its_number_if_the_order_of_later_lists_differs() -> None:
    first = registry(zones=["a", "b"], models=[{"name": "m"}])
    later = registry(first, zones=["c", "b"], models=["n", "m"])
    assert later.zones == {"b": 1, "c": 2}
    assert later.kinds == {"m": 0, "n": 1}
    assert first.zones == {"a": 0, "b": 1}  # the former registry is unchanged
    assert registry(later, zones=["a"]).zones == {"a": 0}


def test_registry_adopts_later_names_in_place() -> None:
    first = registry(zones=["a"])
    assert first.update_from(registry(first, zones=["b"])) == DiscontinuedNames({}, {})
    assert first.zones == {"b": 1}
    assert first.ever_listed.zones == {"a": 0, "b": 1}


def test_discontinued_tenant_is_known_until_it_is_removed() -> None:
    """Guards against a reloaded process that knows names which a started one does not."""
    names = registry(tenants=[{"name": "a"}, {"name": "b"}])
    later = registry(names, tenants=[{"name": "b"}])
    discontinued = names.update_from(later)
    assert discontinued == DiscontinuedNames({}, {"a": 0})
    assert names.tenants == {"a": 0, "b": 1}
    returned = registry(later, tenants=[{"name": "a"}])
    names.remove_discontinued(discontinued, returned)
    assert "a" in names.tenants
    names.remove_discontinued(discontinued, later)
    assert names.tenants == {"b": 1}


def test_discontinued_class_is_known_until_it_is_removed() -> None:
    names, later = registry(), registry()
    name, number = next(iter(names.classes.items()))
    later.classes = {"later": number + 1}
    discontinued = names.update_from(later)
    assert discontinued == DiscontinuedNames({name: number}, {})
    assert names.classes == {name: number, "later": number + 1}
    names.remove_discontinued(discontinued, registry())  # offered again since
    assert name in names.classes
    names.remove_discontinued(discontinued, later)
    assert names.classes == {"later": number + 1}


def test_names_of_one_kind_beyond_the_limit_are_rejected() -> None:
    full = registry(zones=[str(number) for number in range(MAX_NAMES)])
    assert len(full.zones) == MAX_NAMES
    with pytest.raises(ValueError, match=r"kept: 4097 of 4096; that needs a restart$") as caught:
        registry(full, zones=["one more"])
    assert str(caught.value).startswith("more names of one kind since the start than can be kept: ")
