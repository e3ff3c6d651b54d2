"""Stand-ins for the review's cases: platform, discovery, servers and clients, on loopback and the real clock.

They use the standard library alone, and follow the protocol and deployment pages.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Exit statuses of a case's program. run.sh makes 1 of BROKEN and 2 of all others, a traceback's 1 included.
BROKEN, HELD, NOT_RUN = 3, 0, 2
# The descriptor as which each process inherits the clients' listening socket; reserved here before any other.
LISTEN_FD = 3
os.dup2(os.open(os.devnull, os.O_RDONLY), LISTEN_FD)
MS = 1_000_000
S = 1_000_000_000


class CannotRunError(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w", encoding="utf-8")
        self.violations: list[str] = []

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def broken(self, text: str) -> None:
        """Write one line about a broken rule."""
        self.violations.append(text)
        self.note(f"RULE BROKEN: {text}")


def free_port(address: str, kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """A port that is free at this loopback address now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((address, 0))
        return int(sock.getsockname()[1])


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, in the form of the wire page; a changed object is merged."""
    base: dict[str, Any] = {
        "myNumber": 0,
        "balancers": 3,
        "zone": 0,
        "zones": ["dundee-dc"],
        "models": ["gw-large"],
        "discovery": "ask",
        "family": "conn",
        "weightSource": "nominal",
        "services": [service("status-watch", 3), service("plan-set", 5)],
        "tenants": [{"name": "taymobile", "fraction": 0.6}, {"name": "glenlink", "fraction": 0.4}],
        "familyInfo": {
            "groups": True,
            "messageAimNs": [50 * MS, 50 * MS],
            "mode": "proxy",
            "tellsLoad": False,
            "tellsDelay": False,
        },
        "rules": {
            "answerSlackNs": 8 * MS,
            "drainGraceNs": S,
            "coldFrom": 0.31,
            "warmUpNs": 8600 * MS,
            "fallMultiple": 4.0,
            "tipAfterNs": 3 * S,
            "mustAskInNs": 10 * S,
        },
        "allowed": {
            "connectTimeoutNs": 150 * MS,
            "maxAttempts": 6,
            "parallelTries": False,
            "probing": False,
            "peerMessages": False,
            "mayCancel": True,
            "retryAfter": True,
            "maxRetryAfterNs": 2 * S,
        },
        "stepNs": 2 * MS,
    }
    for key, value in changes.items():
        base[key] = {**base.get(key, {}), **value} if isinstance(value, dict) else value
    return base


def service(name: str, worth: float, **changes: Any) -> dict[str, Any]:
    """One class of requests, with the figures of the brief."""
    return {
        "name": name,
        "aimNs": 500 * MS,
        "hardLimitNs": 3 * S,
        "effect": "repeatable",
        "group": "all",
        "windowNs": 5 * S,
        "worth": worth,
        **changes,
    }


class Server:
    """An activation gateway: answers UP, then returns each line at once."""

    def __init__(self, record: Record, uid: str) -> None:
        self.record = record
        self.uid = uid
        self.state = "SERVING"
        self.port = 0
        self.open: dict[str, asyncio.StreamWriter] = {}
        self.sent: list[tuple[float, str]] = []  # request lines that came, with their times
        self.ended: set[str] = set()  # connections that this server ended itself

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        """The entry in discovery's list."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": "dundee-dc",
            "model": "gw-large",
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 2.0,
            "boot_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until its proxy ends it."""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            line = await reader.readline()
            if line.startswith(b"OPEN ") and line.endswith(b"\r\n"):
                await self.serve_request(line, reader, writer)
        writer.close()

    async def serve_request(
        self, line: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request line, then return each line of its client."""
        request_id = line.split()[1].decode()
        self.record.note(f"server {self.uid}: got {line.decode().strip()}")
        self.sent.append((self.record.now(), request_id))
        if self.state == "DRAINING":  # it wants nothing new
            self.record.note(f"server {self.uid}: drains, answers {request_id} with BUSY")
            writer.write(b"BUSY\r\n")
            return
        self.open[request_id] = writer
        self.record.note(f"server {self.uid}: runs {request_id}, answers UP")
        writer.write(f"UP {self.uid}-{request_id}\r\n".encode())
        while message := await reader.readline():
            writer.write(message)
        self.record.note(f"server {self.uid}: connection {request_id} ended by the proxy")
        self.open.pop(request_id, None)


class Discovery:
    """The list of servers over HTTP: the whole list, and watches."""

    def __init__(self, servers: list[Server]) -> None:
        self.servers = servers
        self.rev = 41
        self.changed = asyncio.Condition()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def listing(self) -> dict[str, Any]:
        """The whole list."""
        return {"rev": self.rev, "all": True, "targets": [server.entry() for server in self.servers]}

    async def publish(self) -> None:
        """Give the list a new version, and answer all watches."""
        async with self.changed:
            self.rev += 1
            self.changed.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call, or a watch once the list has changed or its time is up."""
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            query = parse_qs(urlsplit(head.split()[1].decode()).query)
            if "since" in query:
                await self.wait_for_change(int(query["since"][0]), int(query["timeout_ms"][0]) / 1000)
            body = json.dumps(self.listing()).encode()
            head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
            writer.write(head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
            await writer.drain()
        writer.close()
        self.writers.discard(writer)

    async def retire(self) -> None:
        """Leave the address: no new connection is accepted, and the open ones are closed after 1.5 s."""
        self.server.close()
        await asyncio.sleep(1.5)
        for writer in self.writers:
            writer.transport.abort()

    async def wait_for_change(self, since: int, timeout_s: float) -> None:
        """Wait until the list is newer than that, or the time is up."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s), self.changed:
                await self.changed.wait_for(lambda: self.rev > since)


class Proxy:
    """One proxy as the platform starts it: its address, folder, listening socket and processes."""

    def __init__(self, record: Record, folder: Path, name: str, address: str) -> None:
        self.record = record
        self.name = name
        self.folder = folder / name
        self.folder.mkdir()
        # On days with replaced processes the platform holds the clients' listening socket.
        self.listener = socket.create_server((address, 0), backlog=1024)
        self.address = (address, int(self.listener.getsockname()[1]))
        self.processes: list[Process] = []
        self.broker_toml = ""

    def write_config(self, discovery: Discovery, **changes: Any) -> None:
        """Write both files of the proxy."""
        config = {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.listing(),
            "settings": settings(**changes),
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        (self.folder / "broker.toml").write_text(self.broker_toml)

    async def start(self) -> Process:
        """Start a process with the deploy file's command, and wait until it says yes."""
        process = Process(self)
        self.processes.append(process)
        await process.wait_until_ready()
        self.record.note(f"platform: {process.label} says yes")
        return process


class Process:
    """One process of a proxy."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.record = proxy.record
        self.label = f"{proxy.name}/{len(proxy.processes) + 1}"
        self.was_told_to_end = False
        self.admin_port = free_port(proxy.address[0])
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        self.log = proxy.folder / f"log-{len(proxy.processes) + 1}.txt"
        os.dup2(proxy.listener.fileno(), LISTEN_FD)
        with self.log.open("w") as log:
            self.popen = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=self.environment(),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=[LISTEN_FD],
            )
        self.record.note(f"platform: started {self.label}")

    def environment(self) -> dict[str, str]:
        """The variables of the deployment page."""
        proxy = self.proxy
        return {
            **os.environ,
            "GW_NAME": proxy.name,
            "GW_LISTEN": "{}:{}".format(*proxy.address),
            "GW_CONFIG": str(proxy.folder / "config.json"),
            "GW_LISTEN_FD": str(LISTEN_FD),
            "GW_ADMIN_ADDR": f"{proxy.address[0]}:{self.admin_port}",
            "LINNETSHIFT_BROKER": str(proxy.folder / "broker.toml"),
            "TMPDIR": str(proxy.folder),
        }

    async def wait_until_ready(self) -> None:
        """Ask until the process says yes, for 30 s at most."""
        for _ in range(600):
            if self.popen.poll() is not None:
                raise CannotRunError(f"{self.label} ended with {self.popen.returncode} before it was ready")
            if await self.call("GET /ops/readiness") == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.label} was not ready within 30 s")

    async def call(self, call: str) -> int:
        """The status of an admin call; 0 where there was none within 1 s."""
        try:
            async with asyncio.timeout(1):
                address = self.proxy.address[0]
                reader, writer = await asyncio.open_connection(address, self.admin_port)
                writer.write(f"{call} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                line = await reader.readline()
                writer.close()
                return int(line.split()[1])
        except (OSError, IndexError, ValueError):
            return 0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.popen.poll() is None:
            self.was_told_to_end |= number in (signal.SIGTERM, signal.SIGKILL)
            self.record.note(f"platform: {number.name} to {self.label}")
            self.popen.send_signal(number)

    async def replace_after(self, delay_s: float) -> None:
        """SIGTERM within 6 s of the new process's yes; SIGKILL after the longest deadline and 0.7 s."""
        await asyncio.sleep(delay_s)
        self.signal(signal.SIGTERM)
        await asyncio.sleep(3.7)
        self.signal(signal.SIGKILL)

    def last_log_line(self) -> str:
        """The last line that the process wrote."""
        lines = self.log.read_text(errors="replace").splitlines()
        return lines[-1] if lines else ""


class Client:
    """A client that stays: sends a line every 2 s, and comes again after MOVE or a refusal."""

    def __init__(self, record: Record, name: str, proxy: Proxy, servers: list[Server], number: int) -> None:
        self.record = record
        self.name = name
        self.proxy = proxy
        self.servers = servers
        self.ids = iter(range(number << 20, (number + 1) << 20))
        self.key = 0x7F3A9C21E0B4D655 + number * 0x9E3779B9
        self.stopped = False
        self.wait_s = 0.4
        self.served = 0  # times that it got UP
        self.cut: list[str] = []  # how connections ended that neither MOVE nor the server ended

    async def run(self) -> None:
        """Open connections, one after the other, until the case ends."""
        while not self.stopped:
            self.wait_s = 0.4  # after a break clients come again within 130 to 1,900 ms
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*self.proxy.address)
                await self.use(reader, writer, ",again=1" if self.served else "")
                writer.close()
            await asyncio.sleep(self.wait_s)

    async def use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, suffix: str) -> None:
        """Send the request line, and use the connection until it ends."""
        request_id = f"{next(self.ids):016x}"
        line = f"OPEN {request_id} {self.key:016x} c=status-watch,t=taymobile,d=3000{suffix}"
        self.record.note(f"client {self.name}: sends {line}")
        writer.write(f"{line}\r\n".encode())
        answer = await self.read_line(reader, 3.5)
        self.record.note(f"client {self.name}: answer to {request_id}: {answer!r}")
        if not answer.startswith("UP "):
            keyword, _, wait_ms = answer.partition(" ")
            if keyword == "BUSY" and wait_ms.isdigit():
                self.wait_s = max(self.wait_s, int(wait_ms) / 1000)
            return
        self.served += 1
        ended = await self.talk(reader, writer)
        if ended != "MOVE" and not self.stopped and not self.was_ended_by_server(request_id):
            self.cut.append(f"{request_id} ({ended})")

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str:
        """Send a line every 2 s until the connection ends; returns how it ended."""
        while not self.stopped:
            with contextlib.suppress(ConnectionError):
                writer.write(b"status?\r\n")
            for _ in range(20):
                line = await self.read_line(reader, 0.1)
                if line not in ("", "status?"):
                    self.record.note(f"client {self.name}: got {line!r}")
                    return line
                if self.stopped:
                    return "stopped"
        return "stopped"

    async def read_line(self, reader: asyncio.StreamReader, timeout_s: float) -> str:
        """The next line; "" where none came in time, "FIN" or "RESET" at the end of the connection."""
        try:
            async with asyncio.timeout(timeout_s):
                line = await reader.readline()
        except TimeoutError:
            return ""
        except ConnectionError:
            return "RESET"
        return line.decode().strip() if line else "FIN"

    def was_ended_by_server(self, request_id: str) -> bool:
        """Whether a server ended that connection itself."""
        return any(request_id in server.ended for server in self.servers)


async def accepts(address: tuple[str, int], greeting: bytes) -> bool:
    """Whether a process accepts connections there and greets within half a second."""
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(*address)
            line = await reader.readline()
            writer.close()
            return line.startswith(greeting)
    except (OSError, TimeoutError):
        return False


async def until(condition: Callable[[], Coroutine[Any, Any, bool]], timeout_s: float) -> bool:
    """Wait until the condition holds; returns whether it did in time."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if await condition():
            return True
        await asyncio.sleep(0.05)
    return False


Case = Callable[[Record, Path, list[Proxy]], Coroutine[Any, Any, None]]


def check_all_served(clients: list[Client]) -> None:
    """Raise CannotRunError if a client was never served: the rule would hold for nothing."""
    if unserved := [client.name for client in clients if not client.served]:
        raise CannotRunError(f"clients never served: {unserved}")


def run_case(record_path: Path, case: Case, limit_s: float = 110.0) -> int:
    """Run a case in a temporary folder, end all processes, and return the exit status of its program."""
    record = Record(record_path)
    record.note(f"trouble: {'yes' if TROUBLE else 'no'}")
    proxies: list[Proxy] = []
    status = NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # the processes are ended then, too
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        try:
            asyncio.run(asyncio.wait_for(case(record, Path(temporary), proxies), limit_s))
            status = BROKEN if record.violations else HELD
        except Exception as error:  # noqa: BLE001
            # Whatever went wrong here says nothing about the rule.
            record.note(f"could not run: {type(error).__name__}: {error}")
        finally:
            for process in (process for proxy in proxies for process in proxy.processes):
                if process.popen.poll() is None:
                    process.popen.kill()
                process.popen.wait()
    record.note({BROKEN: "result: broken", HELD: "result: held", NOT_RUN: "result: not run"}[status])
    return status
