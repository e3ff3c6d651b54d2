"""When the channels frontend listens, and with which sockets; frontend and VRRP are fakes."""

from __future__ import annotations

import socket
from types import SimpleNamespace
from typing import Any

import pytest

from linnetshift.event_loop.loop import Loop
from linnetshift.lifecycle import channels_activation
from linnetshift.lifecycle.channels_activation import (
    CHANNELS_SOCKET,
    VRRP_SOCKET,
    ChannelsActivation,
    PredecessorChannels,
)
from linnetshift.vrrp.router import State

ADDRESS = ("127.0.0.1", 7)
OTHER_ADDRESS = ("127.0.0.1", 9)
VRRP_CONFIG: Any = SimpleNamespace(listen=("0.0.0.0", 0))  # of a socket that is not bound


class FakeFrontend:
    """Records the listeners that it is asked to open; `address` is the last one."""

    def __init__(self) -> None:
        self.listened: list[tuple[Any, socket.socket | None]] = []
        self.address: Any = None
        self.acceptor: Any = None

    def listen(self, address: Any, inherited: socket.socket | None) -> None:
        self.listened.append((address, inherited))
        self.address = address


class FakeVrrp:
    """A VRRP instance that keeps the role with which it starts."""

    def __init__(
        self, _loop: Any, _config: Any, _role: Any, inherited: socket.socket | None, is_active: bool
    ) -> None:
        self.inherited = inherited
        self.sock = inherited
        self.role = _role
        self.router = SimpleNamespace(state=State.ACTIVE if is_active else State.BACKUP, is_retrying=False)

    def serve_again(self) -> None:
        """Serve, as the active router does after a reload."""
        self.role.start_serving()

    def run(self) -> None:
        """Nothing to run."""

    def start(self, _coroutine: Any) -> None:
        """Nothing to start."""


@pytest.fixture
def frontend(monkeypatch: pytest.MonkeyPatch) -> FakeFrontend:
    monkeypatch.setattr(channels_activation, "Vrrp", FakeVrrp)
    return FakeFrontend()


def activation(frontend: Any, sockets: dict[str, socket.socket]) -> ChannelsActivation:
    return ChannelsActivation(Loop(), SimpleNamespace(), frontend, ADDRESS, sockets)  # type: ignore[arg-type]


def test_without_vrrp_the_inherited_listener_is_used_and_others_are_closed(frontend: FakeFrontend) -> None:
    with socket.create_server(("127.0.0.1", 0)) as inherited, socket.socket() as unused:
        channels = activation(frontend, {CHANNELS_SOCKET: inherited, "other": unused})
        channels.address = inherited.getsockname()
        channels.start(None, PredecessorChannels(was_active=False, closes_listener=False))
        ((address, listener),) = frontend.listened
        assert listener is not None
        with listener:
            assert address == listener.getsockname() == inherited.getsockname()
        assert inherited.fileno() >= 0
        assert unused.fileno() == -1


def test_backup_router_listens_once_it_becomes_active(frontend: FakeFrontend) -> None:
    channels: Any = activation(frontend, {})
    channels.start(VRRP_CONFIG, PredecessorChannels(False, True))
    assert (frontend.listened, channels.is_vrrp_active) == ([], False)
    channels.configure(OTHER_ADDRESS)
    assert frontend.listened == []
    channels.configure(ADDRESS)
    assert channels.start_serving()
    assert frontend.listened == [(ADDRESS, None)]
    channels.vrrp.router.state = State.ACTIVE
    channels.configure(ADDRESS)
    assert frontend.listened == [(ADDRESS, None)]
    channels.configure(OTHER_ADDRESS)
    assert frontend.listened == [(ADDRESS, None), (OTHER_ADDRESS, None)]


def test_vrrp_continues_with_the_inherited_socket_and_as_the_active_router(frontend: FakeFrontend) -> None:
    with socket.socket() as inherited:
        channels = activation(frontend, {VRRP_SOCKET: inherited})
        channels.start(VRRP_CONFIG, PredecessorChannels(True, True))
        vrrp: Any = channels.vrrp
        assert vrrp.inherited is inherited
        assert inherited.fileno() >= 0
        assert channels.is_vrrp_active


def test_descriptor_of_vrrp_is_handed_over_until_its_socket_is_closed(frontend: FakeFrontend) -> None:
    with socket.socket() as inherited:
        channels = activation(frontend, {VRRP_SOCKET: inherited})
        channels.start(VRRP_CONFIG, PredecessorChannels(False, True))
        assert channels.descriptors() == {VRRP_SOCKET: inherited.fileno()}
    assert channels.descriptors() == {}


def test_reload_opens_no_listener_at_an_address_that_is_being_retried(frontend: FakeFrontend) -> None:
    # It failed as the address is still in use, and the whole configuration was rejected.
    channels: Any = activation(frontend, {})
    channels.bind_retry.schedule(lambda: None)
    channels.configure(ADDRESS)
    assert frontend.listened == []
    channels.configure(OTHER_ADDRESS)
    assert frontend.listened == [(OTHER_ADDRESS, None)]
    assert not channels.is_retrying
