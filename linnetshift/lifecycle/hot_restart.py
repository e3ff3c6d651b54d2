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
from linnetshift.broker.contracts import Budget, Contracts
from linnetshift.broker.latency_estimator import Standing
from linnetshift.broker.snapshot import import_state
from linnetshift.config.names import NameRegistry
from linnetshift.discovery.endpoint_list import EndpointListUpdate, read_list
from linnetshift.event_loop.connection_limits import Reading
from linnetshift.event_loop.loop import MS, ActorCoroutine, Io, Loop, S, Timeout
from linnetshift.event_loop.stream import End, Stream
from linnetshift.observability import log
from linnetshift.observability.resource_usage import ResourceUsage

MEET_S = 2.5  # how long a new process waits for the state of one that may hang; then it goes on alone
AGAIN_S = 0.05
HELLO_NS = 1 * S
BEAT_NS = 500 * MS
MOST_STATE = 16 << 20
MOST_LINE = 1 << 20  # of what follows the state
MOST_FDS = 4
MOST_STREAMS = 1 << 20
MOST_UNANSWERED = 256  # bans that the other process has not confirmed; one that hangs is given up soon


class Place:
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


class Legacy(NamedTuple):
    """What the process before handed over."""

    sock: socket.socket
    state: dict[str, Any]
    rest: bytes  # what it has said since
    descriptors: list[int]


def meet(place: Place) -> Legacy | None:
    """Ask the process there for its state; None where there is none that answers.

    Nothing is served yet, so this may wait. One that closes without a word is handing over to another
    just now, which will be there instead in a moment.
    """
    until = time.monotonic() + MEET_S
    while (left := until - time.monotonic()) > 0:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.settimeout(left)
        try:
            sock.connect(place.path())
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
            time.sleep(AGAIN_S)
    return None


def read_state(sock: socket.socket) -> Legacy:
    data, descriptors = b"", []
    while b"\n" not in data:
        got, passed, _, _ = socket.recv_fds(sock, 1 << 16, MOST_FDS)
        descriptors += passed
        data += got
        if not got or len(data) > MOST_STATE:
            for fd in descriptors:
                os.close(fd)
            raise ConnectionError("closed before its state was told")
    line, _, rest = data.partition(b"\n")
    state = json.loads(line)
    if not isinstance(state, dict):
        raise ValueError("no state")
    return Legacy(sock, state, rest, descriptors)


def encode(say: str, **more: object) -> bytes:
    return json.dumps({"say": say, **more}).encode() + b"\n"


def spent(contracts: Contracts, names: NameRegistry) -> dict[str, list[list[float] | None]]:
    """What is left of each team's budgets: rate and retries, as level and time."""
    teams = {place: name for name, place in names.tenants.items()}
    return {
        teams[team]: [None if b is None else [b.level, b.at] for b in (contract.rate, contract.retries)]
        for team, contract in contracts.teams.items()
        if team in teams
    }


def take_over(budget: Budget | None, left: list[float] | None) -> None:
    if budget is not None and left is not None:
        budget.level, budget.at = float(left[0]), int(left[1])


class Inherited:
    """The legacy, read; what makes no sense is left out, as the other process may be of another version."""

    def __init__(self, legacy: Legacy | None, names: NameRegistry) -> None:
        self.state = legacy.state if legacy is not None else {}
        self.names = names
        self.active = self.state.get("active") is True
        self.list_update: EndpointListUpdate | None = None
        self.holdings = Holdings()
        descriptors = legacy.descriptors if legacy is not None else []
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
                self.holdings = Holdings.read(self.state.get("holdings", {}))
            except MEANINGLESS as error:
                log.note("imported-state-rejected", error=f"{type(error).__name__}: {log.words(error)}")

    def restore(self, broker: Broker) -> None:
        """Before the list is told."""
        try:
            if self.state:
                broker.administrative_drains.restore(self.state["bans"])
                for team, left in self.state["budgets"].items():
                    contract = broker.contracts.teams.get(self.names.tenants[team])
                    if contract is not None:
                        take_over(contract.rate, left[0])
                        take_over(contract.retries, left[1])
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            log.note("imported-state-rejected", error=f"{type(error).__name__}: {error}")

    def import_state(self, broker: Broker) -> None:
        """After the list is told."""
        broker.drain()
        try:
            if self.state:
                import_state(broker.balancer, broker.latency_estimator, self.state["memory"])
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            log.note("snapshot-rejected", error=f"{type(error).__name__}: {error}")


MEANINGLESS = (AttributeError, KeyError, OverflowError, RecursionError, TypeError, ValueError)


class Holdings(NamedTuple):
    """What another process of this proxy holds meanwhile, which counts together with what this one does."""

    streams: int = 0  # descriptors
    moved: int = 0  # clients told to move, ever
    loads: Mapping[bytes, list[Standing]] = MappingProxyType({})  # by endpoint

    @classmethod
    def read(cls, told: dict[str, Any]) -> Holdings:
        """Raises one of MEANINGLESS where it makes no sense."""
        streams, moved = int(told.get("streams", 0)), int(told.get("moved", 0))
        loads = {
            endpoint.encode(): [
                Standing(None if load is None else float(load), int(group), 0) for load, group in held
            ]
            for endpoint, held in told.get("loads", {}).items()
        }
        known = [one.load for held in loads.values() for one in held if one.load is not None]
        if not 0 <= streams <= MOST_STREAMS or not 0 <= moved < 1 << 62:
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
    holdings: Holdings = Holdings()

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
                return cls("beat", holdings=Holdings.read(told))
            case str(say):
                return cls(say)
        raise ValueError("says nothing")


class RestartOperations(Protocol):
    """What the process on this side does at the other's word."""

    def state(self) -> tuple[dict[str, Any], list[int]]:
        """All that another process needs to take over, and descriptors that pass with it."""

    def step_back(self, back: bool) -> None:
        """Stop accepting and move clients away, or accept again."""

    def ban(self, endpoint: bytes, out: bool, done: Callable[[], None]) -> None:
        """Take it out or use it again, in this process alone."""

    def holdings(self) -> dict[str, Any]:
        """What counts together while both live."""

    def holds_beside(self, holdings: Holdings) -> None: ...


class Beside(Reading):
    """The process that this one replaces, or the one that replaces it."""

    def __init__(self, succession: Succession, sock: socket.socket, legacy: Legacy | None = None) -> None:
        loop = succession.loop
        super().__init__(loop)
        self.succession, self.program, self.older = succession, succession.program, legacy is not None
        self.stream = Stream(loop, sock, lambda mask: self.post(Io(mask)))
        self.read = bytearray(legacy.rest if legacy is not None else b"")
        self.met = self.older  # the state has passed
        self.numbers = count()
        self.unanswered: dict[int, Callable[[], None]] = {}

    def run(self) -> ActorCoroutine:
        self.stream.arm()
        self.set_timer(HELLO_NS, "hello")
        self.set_timer(BEAT_NS, "beat")
        end: End | None = None
        while end is None and not self.stream.broken and self.heed_lines():
            match (yield):
                case Io(mask):
                    if mask & select.EPOLLOUT:
                        self.stream.flush()
                        self.look_for_stall()
                    end = self.stream.fill()
                    self.read += self.stream.rest()
                    if len(self.read) > MOST_LINE:
                        break
                case Timeout(tag="beat"):
                    if self.met and not self.stream.congested:  # one that hangs would fill memory with them
                        self.say("beat", **self.program.holdings())
                    self.set_timer(BEAT_NS, "beat")
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
        self.succession.parted(self)

    def say(self, say: str, **more: object) -> None:
        self.stream.send(encode(say, **more))
        self.look_for_stall()

    def ban(self, endpoint: bytes, out: bool, done: Callable[[], None]) -> None:
        """Have the other process hold it too; `done` once it does, or is gone."""
        if self.coroutine is None or not self.met or len(self.unanswered) >= MOST_UNANSWERED:
            done()  # it will be in the state, or in that of whoever replaces one that hangs
            return
        number = next(self.numbers)
        self.unanswered[number] = done
        self.say("ban", **{"provider": endpoint.decode()}, out=out, number=number)

    def heed_lines(self) -> bool:
        """Whether all of it could be read: one that speaks otherwise is of another version."""
        while (size := self.read.find(b"\n") + 1) > 0:
            try:
                said = Said.read(self.read[:size])
            except MEANINGLESS as error:
                log.note("peer-message-unreadable", error=f"{type(error).__name__}: {log.words(error)}")
                return False
            del self.read[:size]
            self.heed(said)
        return True

    def heed(self, said: Said) -> None:
        match said.say:
            case "hello" if not self.met:
                state, descriptors = self.program.state()
                if descriptors:  # they need a byte to travel with; blanks before the state mean nothing
                    socket.send_fds(self.stream.sock, [b" "], descriptors)
                self.stream.send(encode("state", **state))
                self.met = True
            case "serving" if self.met:
                self.succession.succeeded(self)
                self.say("stopped")
            case "stopped" if self.older:
                self.succession.joined()
            case "ban":
                held = partial(self.say, "held", number=said.number)
                self.succession.ban(said.endpoint, said.out, held, self)
            case "held":
                if (done := self.unanswered.pop(said.number, None)) is not None:
                    done()
            case "beat":
                self.program.holds_beside(said.holdings)


class Meeting:
    """Listens for the process that will replace this one; put in place in one step, over a stale socket."""

    def __init__(self, loop: Loop, place: Place, take: Callable[[socket.socket], None]) -> None:
        self.loop, self.place, self.take = loop, place, take
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        fresh = place.path(f".{os.getpid()}")
        self.listener.bind(fresh)
        os.chmod(fresh, 0o600)
        self.listener.listen(4)
        self.listener.setblocking(False)
        os.rename(fresh, place.path())
        self.inode = place.inode()
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
        if self.place.inode() == self.inode:  # else another process has put its own there
            os.unlink(self.place.path())


class Succession:
    """Which other processes of this proxy there are, and whose turn it is to accept."""

    def __init__(
        self, loop: Loop, program: RestartOperations, place: Place | None, legacy: Legacy | None
    ) -> None:
        self.loop, self.program, self.place = loop, program, place
        self.besides: list[Beside] = []
        self.heir: Beside | None = None  # accepts in this one's place
        self.joining = legacy is not None  # the one before may still accept
        self.meeting: Meeting | None = None
        if legacy is not None:
            older = Beside(self, legacy.sock, legacy)
            self.besides.append(older)
            older.start(older.run())
            older.say("serving")
            loop.call_later(HELLO_NS, self.joined)  # one that hangs accepts nothing either
        self.be_found()

    def be_found(self) -> None:
        """Where nobody can find it, the proxy serves all the same; its replacement starts from nothing."""
        if self.place is None:
            return
        if self.meeting is not None:
            self.meeting.close()  # another process has put its own in its place since
        try:
            self.meeting = Meeting(self.loop, self.place, self.take)
        except OSError as error:
            log.note("takeover-socket-unavailable", error=error.strerror)

    def take(self, sock: socket.socket) -> None:
        if self.heir is not None or any(not beside.older for beside in self.besides):
            sock.close()  # one at a time: it asks again, and finds the other one here
            return
        newer = Beside(self, sock)
        self.besides.append(newer)
        newer.start(newer.run())

    def resource_usage(self) -> dict[str, ResourceUsage]:
        waiting = sum(len(beside.unanswered) for beside in self.besides)
        return {
            "besides": ResourceUsage(len(self.besides), 2),
            "besides.unanswered": ResourceUsage(waiting, 2 * MOST_UNANSWERED),
        }

    def joined(self) -> None:
        self.joining = False

    def succeeded(self, beside: Beside) -> None:
        if self.heir is None:
            self.heir = beside
            log.note("process-replaced")
            self.program.step_back(True)

    def parted(self, beside: Beside) -> None:
        if beside in self.besides:
            self.besides.remove(beside)
        self.program.holds_beside(Holdings())
        if beside.older:
            log.note("predecessor-gone")
            self.joined()
        if beside is self.heir:
            self.heir = None
            log.note("successor-gone")
            self.be_found()
            self.program.step_back(False)

    def ban(
        self, endpoint: bytes, out: bool, done: Callable[[], None], told_by: Beside | None = None
    ) -> None:
        """Here and in every other process; `done` once all that live hold it."""
        others = [beside for beside in self.besides if beside is not told_by]
        left = 1 + len(others)

        def one_more() -> None:
            nonlocal left
            left -= 1
            if not left:
                done()

        self.program.ban(endpoint, out, one_more)
        for beside in others:
            beside.ban(endpoint, out, one_more)

    def end(self) -> None:
        for beside in self.besides:
            beside.say("beat", **self.program.holdings())  # its last moves are in it
        if self.meeting is not None:
            self.meeting.close()
