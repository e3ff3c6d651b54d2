"""One process takes the place of another: how the two meet, and what they tell each other while both live.

They meet on a Unix socket in the folder for temporary files, which both share, and speak lines of JSON. The
new one says hello and gets the state and the descriptors that pass over; once it accepts it says so, the old
one stops accepting and says that. From then on each tells the other of bans and of what it holds. A process
that is gone, or was never there, is a closed or refused socket, and the other goes on without it.
"""

from __future__ import annotations

import json
import math
import os
import re
import select
import socket
import tempfile
import time
from collections.abc import Callable, Mapping
from functools import partial
from itertools import count
from types import MappingProxyType
from typing import Any, NamedTuple, Protocol

from linnetshift.broker.broker import Broker
from linnetshift.broker.contracts import Contracts
from linnetshift.broker.latency_estimator import EstablishedConnection
from linnetshift.broker.snapshot import import_state
from linnetshift.config.names import NameRegistry
from linnetshift.discovery.endpoint_list import EndpointListUpdate, read_list
from linnetshift.event_loop.connection_limits import Reading
from linnetshift.event_loop.loop import MS, ActorCoroutine, Io, Loop, S, Timeout
from linnetshift.event_loop.stream import End, Stream
from linnetshift.observability import log
from linnetshift.observability.resource_usage import ResourceUsage
from linnetshift.util.token_bucket import TokenBucket

TAKEOVER_TIMEOUT_S = (
    2.5  # how long a new process waits for the state of one that may hang; then it goes on alone
)
TAKEOVER_RETRY_S = 0.05
HELLO_TIMEOUT_NS = 1 * S
HEARTBEAT_INTERVAL_NS = 500 * MS
MAX_STATE_BYTES = 16 << 20
MAX_MESSAGE_BYTES = 1 << 20  # of what follows the state
MAX_DESCRIPTORS = 4
MAX_PEER_DESCRIPTORS = 1 << 20
MAX_UNCONFIRMED_DRAINS = 256  # bans that the other process has not confirmed; one that hangs is given up soon


class TakeoverSocketPath:
    """Where the processes of one proxy meet; the folder is held open, as its path may be too long to bind."""

    def __init__(self, name: str) -> None:
        folder = os.environ.get("TMPDIR") or tempfile.gettempdir()
        self.folder = os.open(folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
        self.file = f"linnetshift-{re.sub('[^A-Za-z0-9_.-]', '_', name)[:40]}.sock"

    def path(self, suffix: str = "") -> str:
        return f"/proc/self/fd/{self.folder}/{self.file}{suffix}"

    def inode(self) -> int:
        try:
            return os.stat(self.path()).st_ino
        except OSError:
            return 0


class PredecessorState(NamedTuple):
    """What the process before handed over."""

    sock: socket.socket
    state: dict[str, Any]
    rest: bytes  # what it has said since
    descriptors: list[int]


def request_takeover(socket_path: TakeoverSocketPath) -> PredecessorState | None:
    """Ask the process there for its state; None where there is none that answers.

    Nothing is served yet, so this may wait. One that closes without a word is handing over to another
    just now, which will be there instead in a moment.
    """
    until = time.monotonic() + TAKEOVER_TIMEOUT_S
    while (left := until - time.monotonic()) > 0:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.settimeout(left)
        try:
            sock.connect(socket_path.path())
        except OSError:  # nobody there, or a stale socket
            sock.close()
            return None
        try:
            sock.sendall(encode("hello"))
            return read_state(sock)
        except TimeoutError:
            sock.close()
            break
        except (OSError, ValueError) as error:
            sock.close()
            log.note("takeover-state-unreadable", error=str(error))
            time.sleep(TAKEOVER_RETRY_S)
    return None


def read_state(sock: socket.socket) -> PredecessorState:
    data, descriptors = b"", []
    while b"\n" not in data:
        got, passed, _, _ = socket.recv_fds(sock, 1 << 16, MAX_DESCRIPTORS)
        descriptors += passed
        data += got
        if not got or len(data) > MAX_STATE_BYTES:
            for fd in descriptors:
                os.close(fd)
            raise ConnectionError("closed before its state was told")
    line, _, rest = data.partition(b"\n")
    state = json.loads(line)
    if not isinstance(state, dict):
        raise ValueError("no state")
    return PredecessorState(sock, state, rest, descriptors)


def encode(say: str, **more: object) -> bytes:
    return json.dumps({"say": say, **more}).encode() + b"\n"


def spent(contracts: Contracts, names: NameRegistry) -> dict[str, list[list[float] | None]]:
    """What is left of each team's budgets: rate and retries, as level and time."""
    teams = {place: name for name, place in names.tenants.items()}
    return {
        teams[team]: [
            None if b is None else [b.level, b.refilled_at_ns] for b in (contract.rate, contract.retries)
        ]
        for team, contract in contracts.teams.items()
        if team in teams
    }


def take_over(budget: TokenBucket | None, left: list[float] | None) -> None:
    if budget is not None and left is not None:
        budget.level, budget.refilled_at_ns = float(left[0]), int(left[1])


class ImportedState:
    """The legacy, read; what makes no sense is left out, as the other process may be of another version."""

    def __init__(self, predecessor: PredecessorState | None, names: NameRegistry) -> None:
        self.state = predecessor.state if predecessor is not None else {}
        self.names = names
        self.active = self.state.get("active") is True
        self.list_update: EndpointListUpdate | None = None
        self.peer_resources = PeerResources()
        descriptors = predecessor.descriptors if predecessor is not None else []
        passed = self.state.get("passed") or []
        self.sockets = {
            str(what): socket.socket(fileno=fd) for what, fd in zip(passed, descriptors, strict=False)
        }
        if self.state:
            try:
                list_update = read_list(self.state.get("list"), names)
                self.list_update = list_update if list_update.event.entries else None
            except ValueError as error:
                log.note("imported-list-rejected", error=str(error))
            try:
                self.peer_resources = PeerResources.read(self.state.get("holdings", {}))
            except MEANINGLESS as error:
                log.note("imported-state-rejected", error=f"{type(error).__name__}: {log.words(error)}")

    def restore(self, broker: Broker) -> None:
        """Before the list is told."""
        try:
            if self.state:
                broker.administrative_drains.import_state(self.state["bans"])
                for team, left in self.state["budgets"].items():
                    contract = broker.contracts.teams.get(self.names.tenants[team])
                    if contract is not None:
                        take_over(contract.rate, left[0])
                        take_over(contract.retries, left[1])
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            log.note("imported-state-rejected", error=f"{type(error).__name__}: {error}")

    def import_state(self, broker: Broker) -> None:
        """After the list is told."""
        broker.process_events()
        try:
            if self.state:
                import_state(broker.balancer, broker.latency_estimator, self.state["memory"])
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            log.note("snapshot-rejected", error=f"{type(error).__name__}: {error}")


MEANINGLESS = (AttributeError, KeyError, OverflowError, RecursionError, TypeError, ValueError)


class PeerResources(NamedTuple):
    """What another process of this proxy holds meanwhile, which counts together with what this one does."""

    streams: int = 0  # descriptors
    moved: int = 0  # clients told to move, ever
    loads: Mapping[bytes, list[EstablishedConnection]] = MappingProxyType({})  # by endpoint

    @classmethod
    def read(cls, told: dict[str, Any]) -> PeerResources:
        """Raises one of MEANINGLESS where it makes no sense."""
        streams, moved = int(told.get("streams", 0)), int(told.get("moved", 0))
        loads = {
            endpoint.encode(): [
                EstablishedConnection(None if load is None else float(load), int(group), 0)
                for load, group in held
            ]
            for endpoint, held in told.get("loads", {}).items()
        }
        known = [one.load for held in loads.values() for one in held if one.load is not None]
        if not 0 <= streams <= MAX_PEER_DESCRIPTORS or not 0 <= moved < 1 << 62:
            raise ValueError("impossible holdings")
        if not all(math.isfinite(load) and load >= 0.0 for load in known):
            raise ValueError("impossible load")
        return cls(streams, moved, loads)


class Said(NamedTuple):
    """One line of another process, read whole before anything is done of it."""

    say: str
    endpoint: bytes = b""
    out: bool = False
    number: int = 0
    peer_resources: PeerResources = PeerResources()

    @classmethod
    def read(cls, line: bytes | bytearray) -> Said:
        """Raises one of MEANINGLESS where it makes no sense."""
        told = json.loads(line)
        match told["say"]:
            case "ban":
                return cls("ban", str(told["provider"]).encode(), bool(told["out"]), int(told["number"]))
            case "held":
                return cls("held", number=int(told["number"]))
            case "beat":
                return cls("beat", peer_resources=PeerResources.read(told))
            case str(say):
                return cls(say)
        raise ValueError("says nothing")


class RestartOperations(Protocol):
    """What the process on this side does at the other's word."""

    def state(self) -> tuple[dict[str, Any], list[int]]:
        """All that another process needs to take over, and descriptors that pass with it."""

    def yield_to_successor(self, back: bool) -> None:
        """Stop accepting and move clients away, or accept again."""

    def apply_administrative_drain(self, endpoint: bytes, out: bool, done: Callable[[], None]) -> None:
        """Take it out or use it again, in this process alone."""

    def peer_resources(self) -> dict[str, Any]:
        """What counts together while both live."""

    def update_peer_resources(self, peer_resources: PeerResources) -> None: ...


class PeerProcess(Reading):
    """The process that this one replaces, or the one that replaces it."""

    def __init__(
        self, hot_restart: HotRestart, sock: socket.socket, predecessor: PredecessorState | None = None
    ) -> None:
        loop = hot_restart.loop
        super().__init__(loop)
        self.hot_restart, self.program, self.older = hot_restart, hot_restart.program, predecessor is not None
        self.stream = Stream(loop, sock, lambda mask: self.post(Io(mask)))
        self.read = bytearray(predecessor.rest if predecessor is not None else b"")
        self.met = self.older  # the state has passed
        self.numbers = count()
        self.unanswered: dict[int, Callable[[], None]] = {}

    def run(self) -> ActorCoroutine:
        self.stream.arm()
        self.set_timer(HELLO_TIMEOUT_NS, "hello")
        self.set_timer(HEARTBEAT_INTERVAL_NS, "beat")
        end: End | None = None
        while end is None and not self.stream.broken and self.handle_lines():
            match (yield):
                case Io(mask):
                    if mask & select.EPOLLOUT:
                        self.stream.flush()
                        self.look_for_stall()
                    end = self.stream.fill()
                    self.read += self.stream.rest()
                    if len(self.read) > MAX_MESSAGE_BYTES:
                        break
                case Timeout(tag="beat"):
                    if (
                        self.met and not self.stream.is_congested
                    ):  # one that hangs would fill memory with them
                        self.say("beat", **self.program.peer_resources())
                    self.set_timer(HEARTBEAT_INTERVAL_NS, "beat")
                case Timeout(tag="hello") if not self.met:
                    break
                case Timeout(tag="stalled") if self.stalled():
                    break
        self.part()

    def faulted(self, error: Exception) -> None:
        """Whatever the other process says must not end this one."""
        log.fault(error)
        self.part()

    def part(self) -> None:
        self.stream.close()
        unanswered, self.unanswered = list(self.unanswered.values()), {}
        for done in unanswered:  # one that is gone sends nothing to anyone
            done()
        self.hot_restart.handle_peer_gone(self)

    def say(self, say: str, **more: object) -> None:
        self.stream.send(encode(say, **more))
        self.look_for_stall()

    def apply_administrative_drain(self, endpoint: bytes, out: bool, done: Callable[[], None]) -> None:
        """Have the other process hold it too; `done` once it does, or is gone."""
        if self.coroutine is None or not self.met or len(self.unanswered) >= MAX_UNCONFIRMED_DRAINS:
            done()  # it will be in the state, or in that of whoever replaces one that hangs
            return
        number = next(self.numbers)
        self.unanswered[number] = done
        self.say("ban", **{"provider": endpoint.decode()}, out=out, number=number)

    def handle_lines(self) -> bool:
        """Whether all of it could be read: one that speaks otherwise is of another version."""
        while (size := self.read.find(b"\n") + 1) > 0:
            try:
                said = Said.read(self.read[:size])
            except MEANINGLESS as error:
                log.note("peer-message-unreadable", error=f"{type(error).__name__}: {log.words(error)}")
                return False
            del self.read[:size]
            self.handle_message(said)
        return True

    def handle_message(self, said: Said) -> None:
        match said.say:
            case "hello" if not self.met:
                state, descriptors = self.program.state()
                if descriptors:  # they need a byte to travel with; blanks before the state mean nothing
                    socket.send_fds(self.stream.sock, [b" "], descriptors)
                self.stream.send(encode("state", **state))
                self.met = True
            case "serving" if self.met:
                self.hot_restart.handle_successor_serving(self)
                self.say("stopped")
            case "stopped" if self.older:
                self.hot_restart.handle_predecessor_stopped()
            case "ban":
                held = partial(self.say, "held", number=said.number)
                self.hot_restart.apply_administrative_drain(said.endpoint, said.out, held, self)
            case "held":
                if (done := self.unanswered.pop(said.number, None)) is not None:
                    done()
            case "beat":
                self.program.update_peer_resources(said.peer_resources)


class TakeoverListener:
    """Listens for the process that will replace this one; put in place in one step, over a stale socket."""

    def __init__(
        self, loop: Loop, socket_path: TakeoverSocketPath, take: Callable[[socket.socket], None]
    ) -> None:
        self.loop, self.socket_path, self.take = loop, socket_path, take
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        fresh = socket_path.path(f".{os.getpid()}")
        self.listener.bind(fresh)
        os.chmod(fresh, 0o600)
        self.listener.listen(4)
        self.listener.setblocking(False)
        os.rename(fresh, socket_path.path())
        self.inode = socket_path.inode()
        loop.watch(self.listener.fileno(), select.EPOLLIN, self.accept)

    def accept(self, _mask: int) -> None:
        try:
            sock, _ = self.listener.accept()
        except OSError:  # gone again, or out of descriptors: it asks once more
            return
        self.take(sock)

    def close(self) -> None:
        if self.listener.fileno() < 0:
            return
        self.loop.unwatch(self.listener.fileno())
        self.listener.close()
        if self.socket_path.inode() == self.inode:  # else another process has put its own there
            os.unlink(self.socket_path.path())


class HotRestart:
    """Which other processes of this proxy there are, and whose turn it is to accept."""

    def __init__(
        self,
        loop: Loop,
        program: RestartOperations,
        socket_path: TakeoverSocketPath | None,
        predecessor: PredecessorState | None,
    ) -> None:
        self.loop, self.program, self.socket_path = loop, program, socket_path
        self.peer_processes: list[PeerProcess] = []
        self.successor: PeerProcess | None = None  # accepts in this one's place
        self.is_joining = predecessor is not None  # the one before may still accept
        self.takeover_listener: TakeoverListener | None = None
        if predecessor is not None:
            older = PeerProcess(self, predecessor.sock, predecessor)
            self.peer_processes.append(older)
            older.start(older.run())
            older.say("serving")
            loop.call_later(
                HELLO_TIMEOUT_NS, self.handle_predecessor_stopped
            )  # one that hangs accepts nothing either
        self.listen_for_successor()

    def listen_for_successor(self) -> None:
        """Where nobody can find it, the proxy serves all the same; its replacement starts from nothing."""
        if self.socket_path is None:
            return
        if self.takeover_listener is not None:
            self.takeover_listener.close()  # another process has put its own in its place since
        try:
            self.takeover_listener = TakeoverListener(self.loop, self.socket_path, self.take)
        except OSError as error:
            log.note("takeover-socket-unavailable", error=error.strerror)

    def take(self, sock: socket.socket) -> None:
        if self.successor is not None or any(not peer_process.older for peer_process in self.peer_processes):
            sock.close()  # one at a time: it asks again, and finds the other one here
            return
        newer = PeerProcess(self, sock)
        self.peer_processes.append(newer)
        newer.start(newer.run())

    def resource_usage(self) -> dict[str, ResourceUsage]:
        waiting = sum(len(peer_process.unanswered) for peer_process in self.peer_processes)
        return {
            "besides": ResourceUsage(len(self.peer_processes), 2),
            "besides.unanswered": ResourceUsage(waiting, 2 * MAX_UNCONFIRMED_DRAINS),
        }

    def handle_predecessor_stopped(self) -> None:
        self.is_joining = False

    def handle_successor_serving(self, peer_process: PeerProcess) -> None:
        if self.successor is None:
            self.successor = peer_process
            log.note("process-replaced")
            self.program.yield_to_successor(True)

    def handle_peer_gone(self, peer_process: PeerProcess) -> None:
        if peer_process in self.peer_processes:
            self.peer_processes.remove(peer_process)
        self.program.update_peer_resources(PeerResources())
        if peer_process.older:
            log.note("predecessor-gone")
            self.handle_predecessor_stopped()
        if peer_process is self.successor:
            self.successor = None
            log.note("successor-gone")
            self.listen_for_successor()
            self.program.yield_to_successor(False)

    def apply_administrative_drain(
        self, endpoint: bytes, out: bool, done: Callable[[], None], told_by: PeerProcess | None = None
    ) -> None:
        """Here and in every other process; `done` once all that live hold it."""
        others = [peer_process for peer_process in self.peer_processes if peer_process is not told_by]
        left = 1 + len(others)

        def one_more() -> None:
            nonlocal left
            left -= 1
            if not left:
                done()

        self.program.apply_administrative_drain(endpoint, out, one_more)
        for peer_process in others:
            peer_process.apply_administrative_drain(endpoint, out, one_more)

    def end(self) -> None:
        for peer_process in self.peer_processes:
            peer_process.say("beat", **self.program.peer_resources())  # its last moves are in it
        if self.takeover_listener is not None:
            self.takeover_listener.close()
