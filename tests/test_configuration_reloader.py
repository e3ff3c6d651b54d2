"""What a reload applies, and what it leaves alone when the files cannot be used; with fakes."""

from __future__ import annotations

import logging
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest

from linnetshift.config.broker_file import BrokerConfig
from linnetshift.config.errors import ConfigurationError
from linnetshift.config.loader import ConfigurationFiles
from linnetshift.lifecycle import reload
from linnetshift.lifecycle.reload import ConfigurationReloader

OLD_ADDRESS = ("127.0.0.1", 1)
NEW_ADDRESS = ("127.0.0.1", 2)


def reloader() -> Any:
    """A reloader of a proxy that listens for administrators and clients, not for channels."""
    frontend = Mock(is_draining=False, address=OLD_ADDRESS)
    activation = Mock(may_listen_elsewhere=True)
    activation.frontend.address = None
    return ConfigurationReloader(
        config=Mock(),
        broker_config=BrokerConfig(),
        loop=Mock(),
        names=Mock(classes={}, adopt=Mock(return_value={})),
        broker=Mock(requests={}),
        discovery=Mock(version=1),
        frontend=frontend,
        activation=activation,
        admin_server=Mock(address=OLD_ADDRESS),
        handle_list_update=Mock(),
        has_platform_listener=False,
    )


def new_files(**broker_values: Any) -> ConfigurationFiles:
    proxy: Any = Mock(admin=NEW_ADDRESS, listen=NEW_ADDRESS, discovery=NEW_ADDRESS)
    proxy.settings.offered = []
    proxy.cached_list = SimpleNamespace(event=SimpleNamespace(version=2))
    return ConfigurationFiles(proxy, BrokerConfig(**broker_values))


@pytest.fixture(autouse=True)
def acceptor(monkeypatch: pytest.MonkeyPatch) -> Mock:
    """Replaces what opens listeners; logs of settings are not checked here."""
    opened = Mock()
    monkeypatch.setattr(reload, "Acceptor", opened)
    monkeypatch.setattr(reload, "log_settings", Mock())
    monkeypatch.setattr(reload, "WatchTimeouts", Mock())
    return opened


def test_usable_files_switch_the_listeners_and_the_configuration(
    monkeypatch: pytest.MonkeyPatch, acceptor: Mock
) -> None:
    reloaded, files = reloader(), new_files()
    monkeypatch.setattr(reload, "read_files", Mock(return_value=files))
    reloaded.reload()
    assert reloaded.config is files.proxy
    reloaded.frontend.use_acceptor.assert_called_once_with(acceptor.return_value)
    reloaded.admin_server.use_acceptor.assert_called_once_with(
        reloaded.admin_server.open_acceptor.return_value
    )
    reloaded.handle_list_update.assert_called_once_with(files.proxy.cached_list)


@pytest.mark.parametrize("failure", ["file", "vrrp", "address"])
def test_unusable_files_change_nothing_and_leave_no_listener_open(
    monkeypatch: pytest.MonkeyPatch, acceptor: Mock, caplog: pytest.LogCaptureFixture, failure: str
) -> None:
    reloaded = reloader()
    files = new_files(vrrp=object()) if failure == "vrrp" else new_files()
    read = Mock(side_effect=ConfigurationError("no")) if failure == "file" else Mock(return_value=files)
    monkeypatch.setattr(reload, "read_files", read)
    if failure == "address":
        acceptor.side_effect = OSError("in use")
    before = reloaded.config
    with caplog.at_level(logging.INFO, "linnetshift"):
        reloaded.reload()
    assert reloaded.config is before
    assert [record.getMessage() for record in caplog.records] == ["configuration-rejected"]
    reloaded.frontend.use_acceptor.assert_not_called()
    reloaded.admin_server.use_acceptor.assert_not_called()
    reloaded.broker.configure.assert_not_called()
    opened = reloaded.admin_server.open_acceptor
    assert opened.return_value.close.call_count == opened.call_count
