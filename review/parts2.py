"""Stand-ins for the cases 6 to 10: the platform, discovery, servers and clients, all on loopback addresses.

They follow the users' pages: discovery answers whole lists and watches over HTTP/1.1, a server answers the
first line of a connection and then each line at once, a client sends one first line and waits for one answer.
A case is one process with one asyncio loop, which starts the proxy as the deploy file says.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
MS = 1_000_000
S = 1_000_000_000
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
PLATFORM_DESCRIPTOR = 3  # as which every process inherits the clients' listening socket


class CannotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """The file record.txt of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Write one line with the time."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port(host: str = "127.0.0.1", kind: int = socket.SOCK_STREAM) -> int:
    """A port that was free a moment ago, below those that the system itself gives out."""
    while True:
        port = random.randrange(20_000, 30_000)
        with socket.socket(socket.AF_INET, kind) as sock, contextlib.suppress(OSError):
            sock.bind((host, port))
            return port


class Proxy:
    """One process of the program, started with the `run` line of the deploy file."""

    def __init__(
        self,
        case: Case,
        name: str,
        config: dict[str, Any],
        broker: str = "",
        replaced: Proxy | None = None,
        listener: socket.socket | None = None,
    ) -> None:
        """`replaced` is the running process that this one replaces; `listener` is held by the platform."""
        self.case = case
        self.name = name
        self.config = config
        self.folder = Path(tempfile.mkdtemp(dir=case.temporary))
        self.tmpdir: Path = replaced.tmpdir if replaced is not None else self.folder / "tmp"
        self.listener = listener
        self.admin_port = free_port() if listener is not None else 0
        self.config_path = self.folder / "config.json"
        self.broker_path = self.folder / "broker.toml"
        self.broker_path.write_text(broker)
        self.write_config(config)
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self, config: dict[str, Any]) -> None:
        """Replace the configuration file in one step."""
        self.config = config
        new = self.folder / "config.json.new"
        new.write_text(json.dumps(config))
        new.replace(self.config_path)

    async def start(self, is_awaited: bool = True) -> None:
        """Start the process; wait until it answers PING on the clients' address."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.tmpdir.mkdir(exist_ok=True)
        env = {
            **os.environ,
            "GW_NAME": self.name,
            "GW_LISTEN": self.config["listen"],
            "GW_DISCOVERY": self.config["discovery"],
            "GW_CONFIG": str(self.config_path),
            "LINNETSHIFT_BROKER": str(self.broker_path),
            "TMPDIR": str(self.tmpdir),
        }
        env.pop("PYTHONPATH", None)  # for the stand-ins, not for the program
        inherited = []
        if self.listener is not None:
            os.dup2(self.listener.fileno(), PLATFORM_DESCRIPTOR)  # reserved by `main`
            inherited = [PLATFORM_DESCRIPTOR]
            env["GW_LISTEN_FD"] = str(PLATFORM_DESCRIPTOR)
            env["GW_ADMIN_ADDR"] = f"127.0.0.1:{self.admin_port}"
        with (self.folder / "log.txt").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("/bin/sh", "-c", deploy["run"]),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                pass_fds=inherited,
            )
        self.case.record.note(f"proxy {self.name} started")
        if is_awaited:
            await self.ready()

    async def ready(self) -> None:
        """Wait until the front would take it in: PING is answered with PONG, within 30 s."""
        host, port = self.config["listen"].split(":")
        until = time.monotonic() + 30
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if line.startswith(b"PONG"):
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"proxy {self.name} does not get ready: {self.log()[-400:]}")

    async def call(self, method: str, path: str) -> int:
        """Make one call at the operators' address; returns the status, 0 for none within 1 s."""
        status = 0
        with contextlib.suppress(OSError, TimeoutError, IndexError, ValueError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: proxy\r\n\r\n".encode())
            answer = await asyncio.wait_for(reader.read(), 1)
            writer.close()
            status = int(answer.split(b" ")[1])
        return status

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the program that `run` started."""
        assert self.process is not None
        self.case.record.note(f"proxy {self.name} gets {number.name}")
        self.process.send_signal(number)

    def log(self) -> str:
        """What the process has written so far."""
        return (self.folder / "log.txt").read_text(errors="replace")

    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    async def kill(self) -> None:
        """End the process, whatever it does."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class Discovery:
    """Discovery: the list, its versions, whole lists and watches; it may be down for a while."""

    def __init__(self, case: Case, name: str = "discovery", indent: int | None = None) -> None:
        self.case = case
        self.name = name
        self.indent = indent
        self.rev = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}  # version of the latest change, by uid
        self.told_at: dict[tuple[str, str], float] = {}  # when an entry was first written, by uid and state
        self.calls = 0
        self.port = 0
        self.server: asyncio.Server | None = None
        self.changed = asyncio.Condition()
        self.writers: set[asyncio.StreamWriter] = set()
        self.on_refused: Callable[[], None] | None = None

    @property
    def address(self) -> str:
        """The address for `GW_DISCOVERY`."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen; at the former port after an outage."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=256)
        self.port = int(self.server.sockets[0].getsockname()[1])
        self.case.record.note(f"{self.name} can be reached")

    def stop(self) -> None:
        """Go down: open calls are reset, new connections are refused."""
        assert self.server is not None
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.case.record.note(f"{self.name} is down")

    def put(self, **entry: Any) -> None:
        """List a server, without a change of the version."""
        self.entries[entry["uid"]] = entry
        self.changed_at[entry["uid"]] = self.rev

    async def change(self, uids: list[str], **changes: Any) -> None:
        """Change entries in one new version, and answer the open watches."""
        self.rev += 1
        for uid in uids:
            self.entries[uid] = {**self.entries[uid], **changes}
            self.changed_at[uid] = self.rev
        self.case.record.note(f"{self.name} has version {self.rev}: {len(uids)} entries {changes}")
        async with self.changed:
            self.changed.notify_all()

    def whole(self) -> dict[str, Any]:
        """The whole list; entries in the state DELETED are left out."""
        targets = [entry for entry in self.entries.values() if entry["state"] != "DELETED"]
        return {"rev": self.rev, "all": True, "targets": targets}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self._answer_calls(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer_calls(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        target = head.split(" ")[1]
        self.calls += 1
        self.case.record.note(f"{self.name} gets GET {target}")
        query = parse_qs(urlsplit(target).query)
        answer = self.whole()
        if "since" in query:
            since = int(query["since"][0])
            wait_s = min(60.0, int(query.get("timeout_ms", ["0"])[0]) / 1000)
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._wait_newer(since), wait_s)
            targets = [entry for uid, entry in self.entries.items() if self.changed_at[uid] > since]
            answer = {"rev": self.rev, "all": False, "targets": targets}
        body = json.dumps(answer, indent=self.indent).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        for entry in answer["targets"]:
            self.told_at.setdefault((entry["uid"], entry["state"]), self.case.record.now())
        await writer.drain()
        text = f"{self.name} answered {target}: version {answer['rev']}, "
        self.case.record.note(f"{text}{len(answer['targets'])} entries, {len(body)} bytes")

    async def _wait_newer(self, since: int) -> None:
        async with self.changed:
            await self.changed.wait_for(lambda: self.rev > since)


class Connection:
    """A connection that a server got: its first line, and both directions."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.line = b""
        self.id = ""
        self.arrived = 0.0

    def send(self, line: bytes) -> None:
        """Send one line."""
        self.writer.write(line + b"\r\n")


Behaviour = Callable[["Server", Connection], Awaitable[None]]


async def serve_and_echo(server: Server, connection: Connection) -> None:
    """The sound server: UP with a receipt, then a line for each line until the other side ends.

    While it drains it turns away what is new, but not a connection that was open here before (`at=`).
    """
    if server.is_draining and b"at=" not in connection.line:
        connection.send(b"BUSY")
        return
    connection.send(f"UP {server.uid}-{connection.id}".encode())
    while line := await connection.reader.readline():
        connection.writer.write(line)
        await connection.writer.drain()


class Server:
    """A server: it notes each first line and then does what its behaviour says."""

    def __init__(self, case: Case, uid: str, zone: str = "a", behaviour: Behaviour = serve_and_echo) -> None:
        self.case = case
        self.uid = uid
        self.zone = zone
        self.behaviour = behaviour
        self.is_noted = True
        self.is_draining = False
        self.port = 0
        self.got: list[Connection] = []
        self.open: set[Connection] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port, or again at the former one."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=256)
        self.port = int(self.server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """End like a process: the listener is closed, open connections are reset."""
        assert self.server is not None
        self.server.close()
        for connection in list(self.open):
            connection.writer.transport.abort()
        if self.is_noted:
            self.case.record.note(f"server {self.uid} stopped")

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Its entry in the list."""
        entry = {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": self.zone,
            "model": "m",
            "pod_group": 1,
            "state": "SERVING",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        return {**entry, **changes}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self.open.add(connection)
        try:
            connection.line = await reader.readline()
            if connection.line.startswith((b"PING", b"STATS")):
                writer.write(b"NO\r\n")
            elif not connection.line.startswith(b"OPEN "):  # of no client here: not counted
                writer.write(b"SYNTAX\r\n")
            elif connection.line.endswith(b"\n"):
                connection.arrived = self.case.record.now()
                connection.id = connection.line.split(b" ")[1].decode()
                self.got.append(connection)
                if self.is_noted:
                    self.case.record.note(f"server {self.uid} got {connection.line.decode().strip()}")
                await self.behaviour(self, connection)
        except OSError:
            pass
        finally:
            self.open.discard(connection)
            writer.close()


class Case:
    """The frame of a case: record, temporary folder, and the end of everything that was started."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record = Record(folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="linnetshift-review-"))
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.proxies: list[Proxy] = []
        self.next_id = 0x6A10_0000_0000_0000

    def proxy(
        self,
        name: str,
        config: dict[str, Any],
        broker: str = "",
        replaced: Proxy | None = None,
        listener: socket.socket | None = None,
    ) -> Proxy:
        """A proxy that is ended with the case."""
        proxy = Proxy(self, name, config, broker, replaced, listener)
        self.proxies.append(proxy)
        return proxy

    def config(
        self, settings: dict[str, Any], discovery: Discovery, name: str = "n1", seed: str = "8c1f30d27a5be964"
    ) -> dict[str, Any]:
        """The configuration that the platform writes."""
        return {
            "name": name,
            "listen": f"127.0.0.1:{free_port()}",
            "discovery": discovery.address,
            "seed": seed,
            "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 4096},
            "known": discovery.whole(),
            "settings": settings,
        }

    def new_id(self) -> str:
        """The id of a request, used once."""
        self.next_id += 1
        return f"{self.next_id:016x}"

    async def close(self) -> None:
        """End the processes, and remove the temporary folder."""
        for proxy in self.proxies:
            await proxy.kill()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.temporary, ignore_errors=True)


async def request(
    case: Case, proxy: Proxy, fields: str, key: int, wait_ms: int, is_noted: bool = True
) -> tuple[str, str, asyncio.StreamReader | None, asyncio.StreamWriter | None]:
    """Send one request; returns its id, the answer ("" for none in time), and the connection if it is up."""
    host, port = proxy.config["listen"].split(":")
    request_id = case.new_id()
    answer = b""
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        case.record.note(f"client {request_id} was refused")
        return request_id, "refused", None, None
    writer.write(f"OPEN {request_id} {key:016x} {fields},d={wait_ms}\r\n".encode())
    with contextlib.suppress(OSError, asyncio.TimeoutError):
        answer = await asyncio.wait_for(reader.readline(), wait_ms / 1000 + 0.6)
    text = answer.decode(errors="replace").strip()
    if is_noted:
        case.record.note(f"client {request_id} got {text or 'nothing'}")
    if text.startswith("UP "):
        return request_id, text, reader, writer
    writer.close()
    return request_id, text, None, None


class StandingClient:
    """A client with a standing connection: it sends a line every 2 s until it is told to move or cut off."""

    def __init__(self, case: Case, proxy: Proxy, fields: str, key: int, wait_ms: int) -> None:
        self.case = case
        self.proxy = proxy
        self.fields = fields
        self.key = key
        self.wait_ms = wait_ms
        self.answer = ""
        self.is_up = asyncio.Event()
        self.end = ""
        self.ended = 0.0

    async def run(self) -> None:
        """Live until the connection ends."""
        request_id, self.answer, reader, writer = await request(
            self.case, self.proxy, self.fields, self.key, self.wait_ms
        )
        self.is_up.set()
        if reader is None or writer is None:
            return
        try:
            while not self.end:
                writer.write(b"status\r\n")
                line = await asyncio.wait_for(reader.readline(), 8)
                if line.startswith(b"LOAD "):
                    continue
                if line.strip() != b"status":
                    self.end = line.decode().strip() or "cut off"
                else:
                    await asyncio.sleep(2)
        except (TimeoutError, OSError) as error:
            self.end = f"cut off ({type(error).__name__})"
        self.ended = self.case.record.now()
        self.case.record.note(f"client {request_id} {self.fields}: {self.end}")
        writer.close()


def main(folder: Path, play: Callable[[Case], Awaitable[int]], limit_s: float = 110) -> None:
    """Play a case and exit with its status."""

    async def run() -> int:
        case = Case(folder)
        playing = asyncio.ensure_future(play(case))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        try:
            status = await asyncio.wait_for(playing, limit_s)
        except asyncio.CancelledError:
            case.record.note("could not run: ended by a signal")
            status = COULD_NOT_RUN
        except (TimeoutError, CannotRunError, OSError) as error:
            case.record.note(f"could not run: {type(error).__name__} {error}")
            status = COULD_NOT_RUN
        except Exception:  # noqa: BLE001
            case.record.note(f"could not run: {traceback.format_exc()}")
            status = COULD_NOT_RUN
        finally:
            await case.close()
        verdicts = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}
        case.record.note(f"the rule: {verdicts[status]}")
        return status

    while os.open(os.devnull, os.O_RDONLY) < PLATFORM_DESCRIPTOR:
        pass
    status = asyncio.run(run())
    print(f"{folder.name}: exit {status}", file=sys.stderr)
    sys.stderr.flush()
    os._exit(status)
