"""Two processes of one proxy on one loop: which accepts, and what they report to each other."""

from __future__ import annotations

import os
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from unittest.mock import Mock

import pytest
from connections import WAIT_S

from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.timers import MS
from linnetshift.lifecycle import peer_process
from linnetshift.lifecycle.hot_restart import HotRestart
from linnetshift.lifecycle.takeover_messages import ExportedState, PeerResources
from linnetshift.lifecycle.takeover_socket import PredecessorState, TakeoverSocketPath, request_takeover


class RecordingOperations:
    """The `RestartOperations` of a proxy; records the calls."""

    def __init__(self, streams: int) -> None:
        self.streams = streams
        self.accepting_calls: list[str] = []
        self.predecessor_events: list[str] = []
        self.drains: list[tuple[bytes, bool]] = []
        self.reported_streams: list[int] = []

    def export_state(self) -> ExportedState:
        return ExportedState({"rev": 7}, {}, {}, self.peer_resources(), {}, False, True, {}, {})

    def yield_to_successor(self) -> None:
        self.accepting_calls.append("yield_to_successor")

    def resume_accepting(self) -> None:
        self.accepting_calls.append("resume_accepting")

    def handle_predecessor_stopped(self, is_confirmed: bool) -> None:
        self.predecessor_events.append("stopped" if is_confirmed else "silent")

    def handle_predecessor_exited(self) -> None:
        self.predecessor_events.append("exited")

    def apply_administrative_drain(
        self, endpoint: bytes, is_drained: bool, on_applied: Callable[[], None]
    ) -> None:
        self.drains.append((endpoint, is_drained))
        on_applied()

    def peer_resources(self) -> PeerResources:
        return PeerResources(streams=self.streams)

    def update_peer_resources(self, peer_resources: PeerResources) -> None:
        self.reported_streams.append(peer_resources.streams)


class Pair:
    """A process and its successor; both run on one loop."""

    def __init__(self, socket_path: TakeoverSocketPath) -> None:
        self.loop = Loop()
        self.socket_path = socket_path
        self.old_operations = RecordingOperations(streams=3)
        self.new_operations = RecordingOperations(streams=5)
        self.old = HotRestart(self.loop, self.old_operations, socket_path)
        self.old.start(None)
        predecessor = self.request_state()
        assert predecessor is not None
        assert predecessor.state["list"] == {"rev": 7}
        self.new = HotRestart(self.loop, self.new_operations, socket_path)
        self.new.start(predecessor)

    def run_until(self, condition: Callable[[], object]) -> None:
        deadline = time.monotonic() + WAIT_S
        while not condition():
            assert time.monotonic() < deadline
            self.loop.stopped = False
            self.loop.call_later(MS, self.stop)
            self.loop.run()

    def stop(self) -> None:
        self.loop.stopped = True

    def request_state(self) -> PredecessorState | None:
        """Request the state from whichever process listens; the request blocks, so it has its own thread."""
        received: list[PredecessorState | None] = []
        thread = threading.Thread(target=lambda: received.append(request_takeover(self.socket_path)))
        thread.start()
        self.run_until(lambda: received)
        thread.join()
        return received[0]


@pytest.fixture
def pair(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Pair]:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    monkeypatch.setattr(peer_process, "HEARTBEAT_INTERVAL_NS", 5 * MS)
    pair = Pair(TakeoverSocketPath("test"))
    yield pair
    for hot_restart in (pair.new, pair.old):
        for peer in [*hot_restart.peer_processes]:
            peer.end()
        hot_restart.end()
    pair.loop.epoll.close()


def test_old_process_yields_and_confirms_it_to_the_new_one(pair: Pair) -> None:
    assert pair.new.is_taking_over
    pair.run_until(lambda: not pair.new.is_taking_over)
    assert pair.old.successor is not None
    assert pair.old_operations.accepting_calls == ["yield_to_successor"]
    assert not pair.new_operations.accepting_calls


def test_each_process_reports_its_resources(pair: Pair) -> None:
    pair.run_until(lambda: pair.old_operations.reported_streams and pair.new_operations.reported_streams)
    assert pair.old_operations.reported_streams[0] == 5
    assert pair.new_operations.reported_streams[0] == 3


@pytest.mark.parametrize("from_new", [True, False])
def test_drain_is_done_once_both_processes_have_applied_it(pair: Pair, from_new: bool) -> None:
    done: list[bool] = []
    source = pair.new if from_new else pair.old
    pair.run_until(lambda: pair.old.successor is not None)
    source.apply_administrative_drain(b"s-0", True, lambda: done.append(True))
    assert not done
    pair.run_until(lambda: done)
    assert pair.old_operations.drains == pair.new_operations.drains == [(b"s-0", True)]
    assert not any(usage.size for name, usage in source.resource_usage().items() if "unanswered" in name)


def test_no_drain_is_confirmed_for_both_before_the_other_process_has_applied_it(pair: Pair) -> None:
    # From the 257th on, drains were confirmed at once, though the other process had not been told of them.
    done: list[int] = []
    pair.run_until(lambda: pair.old.successor is not None)
    endpoints = [b"s-%d" % number for number in range(400)]
    for number, endpoint in enumerate(endpoints):
        pair.new.apply_administrative_drain(endpoint, True, partial(done.append, number))
    assert not done
    pair.run_until(lambda: len(done) == len(endpoints))
    assert pair.old_operations.drains == [(endpoint, True) for endpoint in endpoints]


def test_drain_beyond_the_bound_is_sent_and_not_confirmed(
    pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against claiming for both processes what only one has applied."""
    monkeypatch.setattr(peer_process, "MAX_UNCONFIRMED_DRAINS", 1)
    done: list[bytes] = []
    pair.run_until(lambda: pair.old.successor is not None)
    for endpoint in (b"s-0", b"s-1"):
        pair.new.apply_administrative_drain(endpoint, True, partial(done.append, endpoint))
    pair.run_until(lambda: len(pair.old_operations.drains) == 2 and done)
    assert done == [b"s-0"]


def end_new_process(pair: Pair, monkeypatch: pytest.MonkeyPatch) -> None:
    """End the new process as an exit does: it has no process descriptor and listens no more."""
    monkeypatch.setattr(os, "pidfd_open", Mock(side_effect=ProcessLookupError))
    pair.new.end()
    pair.new.peer_processes[0].end()


def test_drain_is_done_when_the_other_process_exits_without_a_confirmation(
    pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    done: list[bool] = []
    pair.run_until(lambda: pair.old.successor is not None)
    pair.old.apply_administrative_drain(b"s-0", True, lambda: done.append(True))
    end_new_process(pair, monkeypatch)
    pair.run_until(lambda: done)
    assert not pair.new_operations.drains


def test_old_process_accepts_again_once_its_successor_has_ended(
    pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    pair.run_until(lambda: pair.old.successor is not None)
    end_new_process(pair, monkeypatch)
    pair.run_until(lambda: pair.old.successor is None)
    assert pair.old_operations.accepting_calls == ["yield_to_successor", "resume_accepting"]
    assert pair.old_operations.reported_streams[-1] == 0
    assert not pair.old.peer_processes


@pytest.mark.parametrize("side", ["old", "new", "both"])
def test_two_live_processes_connect_again_and_catch_up(pair: Pair, side: str) -> None:
    """Guards against review/7: the end of the connection was taken for that of the process; both accepted."""
    done: list[str] = []
    pair.run_until(lambda: pair.old.successor is not None and not pair.new.is_taking_over)
    for name, hot_restart in (("old", pair.old), ("new", pair.new)):
        if side in (name, "both"):
            hot_restart.peer_processes[0].stream.broken = True
    pair.old.apply_administrative_drain(b"s-0", True, lambda: done.append("s-0"))
    pair.new.apply_administrative_drain(b"s-1", True, lambda: done.append("s-1"))
    for name, operations in (("s-0", pair.new_operations), ("s-1", pair.old_operations)):
        pair.run_until(lambda name=name: name in done)  # type: ignore[misc]
        assert (name.encode(), True) in operations.drains
    assert pair.old_operations.accepting_calls == ["yield_to_successor"]
    assert pair.old.lost_successor is None
    assert pair.new.lost_predecessor is None
    pair.old_operations.streams = 77
    pair.run_until(lambda: pair.new_operations.reported_streams[-1:] == [77])
    assert len(pair.old.peer_processes) == len(pair.new.peer_processes) == 1


def test_drain_is_not_confirmed_while_the_other_process_lives_without_a_connection(pair: Pair) -> None:
    """Guards against a drain that is claimed for both processes before the other one has applied it."""
    done: list[bool] = []
    pair.run_until(lambda: pair.new_operations.predecessor_events)
    assert pair.old.takeover_listener is not None
    pair.old.peer_processes[0].end()  # it hangs: it does not connect again
    pair.run_until(lambda: pair.new.lost_predecessor is not None)
    pair.new.apply_administrative_drain(b"s-0", True, lambda: done.append(True))
    pair.loop.call_later(50 * MS, pair.stop)
    pair.loop.run()
    assert not done


def test_successor_that_does_not_answer_is_left_and_replaces_again_once_it_runs(
    pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against clients that wait for a successor that hangs, and two that accept once it runs again."""
    monkeypatch.setattr(peer_process, "REJOIN_TIMEOUT_NS", 50 * MS)
    pair.run_until(lambda: pair.old.successor is not None and not pair.new.is_taking_over)
    assert pair.new.takeover_listener is not None
    hanging = pair.new.takeover_listener
    pair.loop.unwatch(hanging.listener.fileno())
    former = pair.new.peer_processes[0]
    pair.loop.unwatch(former.stream.fd)
    pair.old.peer_processes[0].stream.broken = True
    pair.run_until(lambda: pair.old_operations.accepting_calls[-1] == "resume_accepting")
    former.stream.watched_mask = 0
    former.stream.arm()
    pair.loop.watch(hanging.listener.fileno(), select.EPOLLIN, hanging.accept)
    pair.run_until(lambda: pair.old_operations.accepting_calls[-1] == "yield_to_successor")
    pair.run_until(lambda: not pair.new.is_taking_over)
    assert pair.new.socket_path is not None
    assert pair.new.takeover_listener.inode == pair.new.socket_path.inode()


def test_second_successor_is_closed_and_its_next_request_reaches_the_first_one(pair: Pair) -> None:
    pair.run_until(lambda: pair.old.successor is not None)
    ours, theirs = socket.socketpair()
    pair.old.accept_successor(theirs)
    assert ours.recv(1) == b""
    assert len(pair.old.peer_processes) == 1
    ours.close()
    third = pair.request_state()
    assert third is not None
    assert third.state["holdings"]["streams"] == 5
    third.sock.close()


def test_exit_of_the_predecessor_is_told_apart_from_a_cut_connection(pair: Pair) -> None:
    # A predecessor that lives on may still hold the channels listener.
    pair.run_until(lambda: pair.new_operations.predecessor_events)
    pair.old.peer_processes[0].end()
    pair.run_until(lambda: not pair.new.peer_processes)
    assert pair.new_operations.predecessor_events == ["stopped", "exited"]


def test_connection_that_breaks_on_a_write_counts_as_the_exit_of_the_predecessor(pair: Pair) -> None:
    # A heartbeat to a process that has exited fails before its end is read; the listener was kept for good.
    pair.run_until(lambda: pair.new_operations.predecessor_events)
    pair.new.peer_processes[0].stream.broken = True
    pair.run_until(lambda: len(pair.new_operations.predecessor_events) > 1)
    assert pair.new_operations.predecessor_events == ["stopped", "exited"]


UNREADABLE_LINES = {
    "no object": b"[]\n",
    "no JSON": b"\xff\x00{\n",
    "missing key": b'{"say": "held"}\n',
    "negative load": b'{"say": "beat", "streams": 1, "moved": 0, "loads": {"s-0": [[-1, 0]]}}\n',
    "nested": b"[" * 5_000 + b"\n",
    "too long": b" " * (peer_process.MAX_MESSAGE_BYTES + 2) + b"\n",
}


@pytest.mark.parametrize("from_new", [True, False], ids=["from new", "from old"])
@pytest.mark.parametrize("line", UNREADABLE_LINES.values(), ids=UNREADABLE_LINES)
def test_unreadable_line_costs_only_itself(pair: Pair, line: bytes, from_new: bool) -> None:
    """Guards against review/7: a heartbeat that could not be read ended the connection, and both accepted."""
    pair.run_until(lambda: pair.old.successor is not None and not pair.new.is_taking_over)
    source, source_operations, operations = (
        (pair.new, pair.new_operations, pair.old_operations)
        if from_new
        else (pair.old, pair.old_operations, pair.new_operations)
    )
    source.peer_processes[0].stream.send(line)
    source_operations.streams = 77
    pair.run_until(lambda: operations.reported_streams[-1:] == [77])
    assert len(pair.old.peer_processes) == len(pair.new.peer_processes) == 1
    assert pair.old_operations.accepting_calls == ["yield_to_successor"]
    assert pair.new_operations.predecessor_events == ["stopped"]


def test_message_that_cannot_be_encoded_costs_only_itself(pair: Pair) -> None:
    """Guards against an endpoint's name that ended the connection to the other process."""
    pair.run_until(lambda: pair.old.successor is not None)
    pair.old.apply_administrative_drain(b"\xff", True, lambda: None)
    done: list[bool] = []
    pair.old.apply_administrative_drain(b"s-0", True, lambda: done.append(True))
    pair.run_until(lambda: done)
    assert pair.new_operations.drains == [(b"s-0", True)]
