"""What a reload applies, and that it changes nothing when the files cannot be used.

The parts that it changes are mocks with the interface of the real ones: a call with wrong arguments or of a
method that they lack fails the test. The files' contents are of the real types.
"""

from __future__ import annotations

import logging
from typing import Any
from unittest.mock import Mock, create_autospec

import pytest
from conftest import raw_settings

from linnetshift.admin.server import AdminServer
from linnetshift.broker.broker import Broker
from linnetshift.config.broker_file import BrokerConfig
from linnetshift.config.errors import ConfigurationError
from linnetshift.config.key_tree import KeyTree
from linnetshift.config.loader import ConfigurationFiles, read_files
from linnetshift.config.names import NameRegistry
from linnetshift.config.proxy_file import ProxyConfig
from linnetshift.discovery.endpoint_list import EndpointListUpdate
from linnetshift.discovery.watch import Discovery
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import Loop
from linnetshift.frontends.channels.frontend import ChannelsFrontend
from linnetshift.frontends.line_protocol.frontend import LineProtocolFrontend
from linnetshift.frontends.listener import Acceptor
from linnetshift.lifecycle import reload
from linnetshift.lifecycle.channels_activation import ChannelsActivation
from linnetshift.lifecycle.reload import ConfigurationReloader
from linnetshift.routing.events import EndpointList, ListForm
from linnetshift.routing.settings import Settings
from linnetshift.vrrp.router import VrrpConfig

OLD_ADDRESS = ("127.0.0.1", 1)
NEW_ADDRESS = ("127.0.0.1", 2)
VRRP_CONFIG = VrrpConfig(7, 100, 100, True, OLD_ADDRESS, (), ())


def proxy_config(address: Address, list_version: int) -> ProxyConfig:
    """A proxy file's contents, with one address for all listeners and for discovery."""
    raw = raw_settings()
    parsed = Settings.parse(raw)
    return ProxyConfig(
        name="proxy",
        listen=address,
        discovery=address,
        seed=1,
        cached_list=EndpointListUpdate(EndpointList(ListForm.FULL, list_version, ()), {}, 0),
        settings=parsed,
        names=NameRegistry(raw, parsed),
        max_sockets=0,
        admin=address,
        keys=KeyTree(),
    )


def handle_list_update(list_update: EndpointListUpdate) -> None:
    """The signature of the callback for a later list."""


def make_reloader() -> Any:
    """A reloader of a proxy that listens for administrators and clients, not for channels."""
    activation = create_autospec(ChannelsActivation, instance=True)
    activation.frontend = create_autospec(ChannelsFrontend, instance=True, address=None)
    admin_server = create_autospec(AdminServer, instance=True, address=OLD_ADDRESS)
    admin_server.open_acceptor.return_value = create_autospec(Acceptor, instance=True)
    config = proxy_config(OLD_ADDRESS, list_version=1)
    return ConfigurationReloader(
        config=config,
        broker_config=BrokerConfig(),
        loop=create_autospec(Loop, instance=True),
        names=config.names,
        broker=create_autospec(Broker, instance=True, requests={}),
        discovery=create_autospec(Discovery, instance=True, version=1),
        frontend=create_autospec(LineProtocolFrontend, instance=True, is_draining=False, address=OLD_ADDRESS),
        activation=activation,
        admin_server=admin_server,
        handle_list_update=create_autospec(handle_list_update),
        has_platform_listener=False,
    )


def new_files(vrrp: VrrpConfig | None = None) -> ConfigurationFiles:
    """Files with other addresses and a later endpoint list than those of `make_reloader`."""
    return ConfigurationFiles(proxy_config(NEW_ADDRESS, list_version=2), BrokerConfig(vrrp=vrrp))


def replace_read_files(monkeypatch: pytest.MonkeyPatch, **behaviour: Any) -> None:
    """Have `read_files` return `return_value` or raise `side_effect`."""
    monkeypatch.setattr(reload, "read_files", create_autospec(read_files, **behaviour))


@pytest.fixture(autouse=True)
def acceptor_class(monkeypatch: pytest.MonkeyPatch) -> Mock:
    """Replaces the class that opens the frontends' listeners."""
    mock: Mock = create_autospec(Acceptor)
    monkeypatch.setattr(reload, "Acceptor", mock)
    return mock


def test_usable_files_switch_the_listeners_and_the_configuration(
    monkeypatch: pytest.MonkeyPatch, acceptor_class: Mock
) -> None:
    reloader, files = make_reloader(), new_files()
    replace_read_files(monkeypatch, return_value=files)
    reloader.reload()
    assert reloader.config is files.proxy
    reloader.frontend.replace_acceptor.assert_called_once_with(acceptor_class.return_value)
    reloader.admin_server.replace_acceptor.assert_called_once_with(
        reloader.admin_server.open_acceptor.return_value
    )
    reloader.handle_list_update.assert_called_once_with(files.proxy.cached_list)


@pytest.mark.parametrize("failure", ["file", "vrrp", "address"])
def test_unusable_files_change_nothing_and_leave_no_listener_open(
    monkeypatch: pytest.MonkeyPatch, acceptor_class: Mock, caplog: pytest.LogCaptureFixture, failure: str
) -> None:
    reloader = make_reloader()
    if failure == "file":
        replace_read_files(monkeypatch, side_effect=ConfigurationError("no"))
    else:
        vrrp = VRRP_CONFIG if failure == "vrrp" else None
        replace_read_files(monkeypatch, return_value=new_files(vrrp))
    if failure == "address":
        acceptor_class.side_effect = OSError("in use")
    config_before = reloader.config
    with caplog.at_level(logging.INFO, "linnetshift"):
        reloader.reload()
    assert reloader.config is config_before
    assert [record.getMessage() for record in caplog.records] == ["configuration-rejected"]
    reloader.frontend.replace_acceptor.assert_not_called()
    reloader.admin_server.replace_acceptor.assert_not_called()
    reloader.broker.configure.assert_not_called()
    opened = reloader.admin_server.open_acceptor
    assert opened.return_value.close.call_count == opened.call_count
