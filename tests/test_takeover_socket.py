"""How a new process requests the state of the running one, and how it reads the answer."""

from __future__ import annotations

import logging
import os
import socket
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from linnetshift.broker.contracts import Contract, Contracts
from linnetshift.event_loop.loop import Loop
from linnetshift.lifecycle import takeover_socket
from linnetshift.lifecycle.channels_activation import PredecessorChannels
from linnetshift.lifecycle.imported_state import ImportedState
from linnetshift.lifecycle.takeover_messages import PeerResources
from linnetshift.lifecycle.takeover_socket import (
    PredecessorState,
    TakeoverListener,
    TakeoverSocketPath,
    request_takeover,
)
from linnetshift.util.token_bucket import TokenBucket

NAMES: Any = SimpleNamespace(tenants={"acme": 1})


@pytest.fixture
def socket_path(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> TakeoverSocketPath:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    return TakeoverSocketPath("proxy one/with \N{SNOWMAN} and a name that is longer than any socket may be")


def start_predecessor(
    socket_path: TakeoverSocketPath, *answers: Callable[[socket.socket], object]
) -> threading.Thread:
    """A thread that accepts one connection for each of the answers, in turn."""
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    listener.bind(socket_path.path())
    listener.listen(4)

    def serve() -> None:
        with listener:
            for send in answers:
                connection, _ = listener.accept()
                with connection:
                    assert connection.recv(100) == b'{"say": "hello"}\n'
                    send(connection)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    return thread


def test_socket_name_is_truncated_and_has_safe_characters_only(socket_path: TakeoverSocketPath) -> None:
    assert socket_path.file_name == "linnetshift-proxy_one_with___and_a_name_that_is_long.sock"


def test_socket_is_in_tmpdir_else_in_the_systems_temporary_directory(
    socket_path: TakeoverSocketPath, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert os.path.samefile(f"/proc/self/fd/{socket_path.directory_descriptor}", tmp_path)
    monkeypatch.setenv("TMPDIR", "")
    other = TakeoverSocketPath("proxy")
    assert os.path.samefile(f"/proc/self/fd/{other.directory_descriptor}", tempfile.gettempdir())


def test_absent_or_stale_socket_yields_no_state(socket_path: TakeoverSocketPath) -> None:
    assert request_takeover(socket_path) is None
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as stale:
        stale.bind(socket_path.path())
    assert request_takeover(socket_path) is None


def test_state_is_received_with_descriptors_and_trailing_data(socket_path: TakeoverSocketPath) -> None:
    reader, writer = os.pipe()

    def send(connection: socket.socket) -> None:
        socket.send_fds(connection, [b" "], [writer])
        connection.sendall(b'{"say": "state", ')
        time.sleep(0.02)
        connection.sendall(b'"active": true}\n{"say": "beat"}\n')

    thread = start_predecessor(socket_path, send)
    predecessor = request_takeover(socket_path)
    thread.join(5)
    assert predecessor is not None
    assert predecessor.state == {"say": "state", "active": True}
    assert predecessor.trailing_data == b'{"say": "beat"}\n'
    os.write(predecessor.descriptors[0], b"x")
    assert os.read(reader, 1) == b"x"
    predecessor.sock.close()
    for descriptor in (reader, writer, *predecessor.descriptors):
        os.close(descriptor)


@pytest.mark.parametrize("first_answer", [b"", b'{"say": ', b"[]\n", b"no json\n"])
def test_request_is_retried_after_a_close_or_an_invalid_answer(
    socket_path: TakeoverSocketPath, first_answer: bytes
) -> None:
    thread = start_predecessor(
        socket_path, lambda sock: sock.sendall(first_answer), lambda sock: sock.sendall(b'{"a": 1}\n')
    )
    predecessor = request_takeover(socket_path)
    thread.join(5)
    assert predecessor is not None
    assert predecessor.state == {"a": 1}
    predecessor.sock.close()


@pytest.mark.parametrize("answer", [b"", b'{"say": ', b"[]\n", b"no json\n", None])
def test_passed_descriptors_are_closed_unless_the_state_is_received(
    socket_path: TakeoverSocketPath, monkeypatch: pytest.MonkeyPatch, answer: bytes | None
) -> None:
    # A listener among them stayed open, and let clients wait in its queue.
    monkeypatch.setattr(takeover_socket, "TAKEOVER_TIMEOUT_S", 0.1)
    reader, writer = os.pipe()
    done = threading.Event()

    def send(connection: socket.socket) -> None:
        socket.send_fds(connection, [b" "], [writer])
        if answer is None:  # it hangs
            done.wait(5)
        else:
            connection.sendall(answer)

    thread = start_predecessor(socket_path, send)
    assert request_takeover(socket_path) is None
    done.set()
    thread.join(5)
    os.close(writer)
    os.set_blocking(reader, False)
    assert os.read(reader, 1) == b""  # no other descriptor of the pipe's other end is open
    os.close(reader)


def test_request_to_a_process_that_hangs_times_out(
    socket_path: TakeoverSocketPath, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(takeover_socket, "TAKEOVER_TIMEOUT_S", 0.1)
    done = threading.Event()
    thread = start_predecessor(socket_path, lambda _sock: done.wait(5) and None)
    assert request_takeover(socket_path) is None
    done.set()
    thread.join(5)


def test_listener_replaces_an_existing_socket_and_removes_only_its_own(
    socket_path: TakeoverSocketPath,
) -> None:
    loop = Loop()
    accepted: list[socket.socket] = []

    def accept(connection: socket.socket) -> None:
        accepted.append(connection)
        loop.stopped = True

    first = TakeoverListener(loop, socket_path, accept)
    assert os.stat(socket_path.path()).st_mode & 0o777 == 0o600
    second = TakeoverListener(loop, socket_path, accept)
    first.close()
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as client:
        client.connect(socket_path.path())
        loop.run()
    assert len(accepted) == 1
    accepted[0].close()
    second.close()
    second.close()
    assert socket_path.inode() == 0


def imported(state: dict[str, Any], descriptors: list[int] | None = None) -> ImportedState:
    ours, theirs = socket.socketpair()
    ours.close()
    theirs.close()
    return ImportedState(PredecessorState(ours, state, b"", descriptors or []), NAMES)


def test_without_a_predecessor_the_state_is_empty() -> None:
    empty = ImportedState(None, NAMES)
    assert (empty.list_update, empty.was_vrrp_active, empty.sockets) == (None, False, {})
    assert empty.peer_resources == PeerResources()


@pytest.mark.parametrize(
    ("state", "event"),
    [
        ({"list": 5}, "imported-list-rejected"),
        ({"list": {"rev": 1, "targets": []}, "holdings": {"streams": -1}}, "imported-state-rejected"),
        ({"list": {"rev": 1, "targets": []}, "holdings": 5}, "imported-state-rejected"),
    ],
)
def test_invalid_part_is_left_out_and_logged(
    state: dict[str, Any], event: str, caplog: pytest.LogCaptureFixture
) -> None:
    with caplog.at_level(logging.INFO, "linnetshift"):
        imported_state = imported({"active": True, **state})
    assert imported_state.was_vrrp_active
    assert imported_state.list_update is None
    assert imported_state.peer_resources == PeerResources()
    assert [record.getMessage() for record in caplog.records] == [event]


@pytest.mark.parametrize(
    ("state", "channels"),
    [
        ({"say": "state"}, PredecessorChannels(was_active=False, closes_listener=False)),  # older versions
        ({"active": True, "closes_listener": 1}, PredecessorChannels(was_active=True, closes_listener=False)),
        ({"active": False, "closes_listener": True}, PredecessorChannels(False, True)),
    ],
)
def test_predecessor_keeps_its_listener_unless_the_state_says_that_it_closes_it(
    state: dict[str, Any], channels: PredecessorChannels
) -> None:
    assert imported(state).predecessor_channels() == channels


def test_passed_sockets_are_named_as_in_the_state() -> None:
    passed_socket, its_peer = socket.socketpair()
    imported_state = imported({"passed": ["channels", "vrrp"]}, [passed_socket.detach()])
    assert [*imported_state.sockets] == ["channels"]
    imported_state.sockets["channels"].send(b"x")
    assert its_peer.recv(1) == b"x"
    imported_state.sockets["channels"].close()
    its_peer.close()


@pytest.mark.parametrize(
    "state", [{"bans": {}}, {"bans": {}, "budgets": 5}, {"bans": {}, "budgets": {"acme": [["x", 1], None]}}]
)
def test_restore_of_an_invalid_state_is_logged_and_raises_nothing(
    state: dict[str, Any], caplog: pytest.LogCaptureFixture
) -> None:
    drains = SimpleNamespace(import_state=lambda _state: None)
    contracts = Contracts({1: Contract(rate=TokenBucket(1.0, 1.0))}, team_numbers={"acme": 1})
    broker: Any = SimpleNamespace(administrative_drains=drains, contracts=contracts)
    imported_state = imported(state)
    caplog.clear()
    with caplog.at_level(logging.INFO, "linnetshift"):
        imported_state.restore_drains_and_token_buckets(broker)
    assert [record.getMessage() for record in caplog.records] == ["imported-state-rejected"]
