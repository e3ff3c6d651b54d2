"""What a reload applies of each file, and that what cannot be used leaves the rest unaffected.

The parts that it changes are mocks with the interface of the real ones: a call with wrong arguments or of a
method that they lack fails the test. The files' contents are of the real types.
"""

from __future__ import annotations

import logging
from typing import Any
from unittest.mock import create_autospec

import pytest
from conftest import S, raw_settings

from linnetshift.admin.server import AdminServer
from linnetshift.broker.broker import Broker
from linnetshift.config.broker_file import BrokerConfig, BrokerFileReading
from linnetshift.config.broker_parts import UnusablePart
from linnetshift.config.errors import ConfigurationError
from linnetshift.config.key_tree import KeyTree
from linnetshift.config.loader import load_broker_file, load_proxy_file
from linnetshift.config.proxy_file import ProxyConfig
from linnetshift.discovery.watch import Discovery
from linnetshift.endpoint_list.names import NameRegistry
from linnetshift.endpoint_list.parsing import EndpointListUpdate
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

OLD_ADDRESS = ("127.0.0.1", 1)
NEW_ADDRESS = ("127.0.0.1", 2)
CHANNELS_ADDRESS = ("127.0.0.1", 3)


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
    activation.not_listening_reason.return_value = ""
    admin_server = create_autospec(AdminServer, instance=True, address=OLD_ADDRESS)
    admin_server.open_acceptor.return_value = create_autospec(Acceptor, instance=True)
    config = proxy_config(OLD_ADDRESS, list_version=1)
    return ConfigurationReloader(
        config=config,
        broker_file=BrokerFileReading(BrokerConfig()),
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


def replace_files(monkeypatch: pytest.MonkeyPatch, proxy: Any, broker: BrokerFileReading) -> None:
    """Have the proxy file hold `proxy`, or raise it if it is an error, and the broker file hold `broker`."""
    monkeypatch.setattr(reload, "load_proxy_file", create_autospec(load_proxy_file, side_effect=[proxy]))
    monkeypatch.setattr(reload, "load_broker_file", create_autospec(load_broker_file, return_value=broker))


def logged_events(caplog: pytest.LogCaptureFixture) -> list[str]:
    """The events logged so far."""
    return [record.getMessage() for record in caplog.records]


UNUSABLE = BrokerFileReading(
    BrokerConfig(channels=CHANNELS_ADDRESS), (UnusablePart("vrrp", "no", has_last_good=True),)
)


@pytest.mark.parametrize("broker", [BrokerFileReading(BrokerConfig(channels=CHANNELS_ADDRESS)), UNUSABLE])
def test_usable_proxy_file_switches_the_listeners_and_the_configuration(
    monkeypatch: pytest.MonkeyPatch, broker: BrokerFileReading
) -> None:
    # A part of the broker file that cannot be used kept the platform's whole file from being used.
    reloader, config = make_reloader(), proxy_config(NEW_ADDRESS, list_version=2)
    replace_files(monkeypatch, config, broker)
    reloader.reload()
    assert reloader.config is config
    reloader.frontend.listen.assert_called_once_with(NEW_ADDRESS)
    reloader.admin_server.open_acceptor.assert_called_once_with(NEW_ADDRESS)
    reloader.admin_server.replace_acceptor.assert_called_once_with(
        reloader.admin_server.open_acceptor.return_value
    )
    reloader.activation.configure.assert_called_once_with(CHANNELS_ADDRESS)
    reloader.handle_list_update.assert_called_once_with(config.cached_list)
    assert reloader.discovery.reconfigure.call_args.args[0] == NEW_ADDRESS


def test_unusable_proxy_file_changes_nothing_but_what_the_broker_file_changes(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a broken proxy file of which something is taken."""
    reloader = make_reloader()
    replace_files(monkeypatch, ConfigurationError("no"), UNUSABLE)
    config_before = reloader.config
    with caplog.at_level(logging.INFO, "linnetshift"):
        reloader.reload()
    assert reloader.config is config_before
    assert sorted(logged_events(caplog)) == ["broker-file-part-unusable", "configuration-rejected"]
    reloader.frontend.listen.assert_not_called()
    reloader.admin_server.replace_acceptor.assert_not_called()
    reloader.admin_server.open_acceptor.assert_not_called()
    reloader.discovery.reconfigure.assert_not_called()
    reloader.activation.configure.assert_called_once_with(CHANNELS_ADDRESS)
    assert reloader.broker.configure.call_args.args[0] is config_before.settings


@pytest.mark.parametrize("listener", ["listen", "admin_addr"])
def test_listener_that_cannot_be_bound_stays_and_the_configuration_is_applied(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, listener: str
) -> None:
    # An address in use kept the proxy at a discovery that had moved.
    reloader, config = make_reloader(), proxy_config(NEW_ADDRESS, list_version=2)
    replace_files(monkeypatch, config, BrokerFileReading(BrokerConfig()))
    listen = reloader.frontend.listen if listener == "listen" else reloader.admin_server.open_acceptor
    listen.side_effect = OSError(98, "in use")
    with caplog.at_level(logging.INFO, "linnetshift"):
        reloader.reload()
        assert reloader.config is config
        assert reloader.discovery.reconfigure.call_args.args[0] == NEW_ADDRESS
        assert reloader.status().unbound_listeners == {listener: "127.0.0.1:2: in use"}
        (retry,) = [call.args[1] for call in reloader.loop.call_later.call_args_list if call.args[0] < S]
        retry()
        listen.side_effect = None
        retry()
    assert logged_events(caplog).count("listener-unavailable") == 1
    assert logged_events(caplog).count("listener-opened") == 1
    assert listen.call_count == 3
    assert reloader.status().unbound_listeners == {}


def test_listener_moves_no_more_once_the_process_shuts_down(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a process that accepts again at a new address after its end has begun."""
    reloader = make_reloader()
    config = proxy_config(NEW_ADDRESS, list_version=2)
    replace_files(monkeypatch, config, BrokerFileReading(BrokerConfig()))
    reloader.frontend.is_draining = True
    reloader.reload()
    reloader.frontend.listen.assert_not_called()
    reloader.activation.configure.assert_not_called()
    assert reloader.status().unbound_listeners == {}
