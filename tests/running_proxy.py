"""The real program as a running process: clients, log lines, admin calls and resource usage."""

from __future__ import annotations

import json
import os
import queue
import re
import select
import signal
import socket
import subprocess
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import count
from pathlib import Path
from typing import Any

from connections import WAIT_S, PeerConnection
from emulated_peers import DiscoveryServer, EmulatedEndpoint
from failure_logs import running_proxies

OPEN_LINE = b"OPEN %016x 7f3a9c21e0b4d655 c=feed,t=acme,d=%d\r\n"
"""Request line; takes an id and the deadline in milliseconds."""

REQUEST_IDS = count(0x9B1F03AA5C7E2D41)
"""Ids of requests; each is used once."""

DRAIN_CALL = "PUT /ops/servers/down?id=%s"
"""Call that drains the endpoint with this id."""

RESTORE_CALL = "PUT /ops/servers/up?id=%s"
"""Call that ends the drain of the endpoint with this id."""


class RunningProxy:
    """A process of the real program."""

    def __init__(self, process: subprocess.Popen[str], port: int, channels_port: int) -> None:
        self.process = process
        self.port = port
        self.channels_port = channels_port
        self.admin_port = 0
        self.inherited_listener: socket.socket | None = None
        """Listening socket of the line protocol, if the program inherited it."""

        self.endpoints: list[EmulatedEndpoint] = []
        self.discovery: DiscoveryServer
        self.config: Path
        self.lines: queue.Queue[str] = queue.Queue()
        """Log lines that neither `logged` nor `unread_lines` has taken yet."""

        self.passed_lines: list[str] = []
        """Log lines that `logged` has taken."""

        self.log_lines: list[str] = []
        """All log lines so far."""

        running_proxies.add(self)
        threading.Thread(target=self.read_log, daemon=True).start()

    def read_log(self) -> None:
        """Queue the log lines of the program until it ends."""
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.log_lines.append(line)
            self.lines.put(line)

    def logged(self, pattern: str) -> str:
        """Wait for the next log line that matches the pattern, and return it."""
        while True:
            line = self.lines.get(timeout=WAIT_S)
            self.passed_lines.append(line)
            if re.search(pattern, line):
                return line

    def client(self, line: bytes = b"", port: int = 0) -> PeerConnection:
        """Connect, and send a request line if there is one."""
        conn = PeerConnection(socket.create_connection(("127.0.0.1", port or self.port), WAIT_S))
        if line:
            conn.send(line)
        return conn

    def open(self, wait_ms: int = 2000) -> PeerConnection:
        """Connect and send a request with a new id and this deadline."""
        return self.client(OPEN_LINE % (next(REQUEST_IDS), wait_ms))

    def establish(self, endpoint_number: int = 0) -> tuple[PeerConnection, PeerConnection]:
        """Establish a connection; returns the ends of client and endpoint."""
        client = self.open()
        endpoint = self.endpoints[endpoint_number].serve()
        assert client.line() == b"UP r1\r\n"
        return client, endpoint

    def next_attempted(self) -> EmulatedEndpoint:
        """Wait for the next attempt; returns its endpoint, which has not accepted it yet."""
        ready, _, _ = select.select([endpoint.sock for endpoint in self.endpoints], [], [], WAIT_S)
        return next(endpoint for endpoint in self.endpoints if endpoint.sock in ready)

    def serve_any(self) -> tuple[EmulatedEndpoint, PeerConnection]:
        """Serve the next attempt; returns its endpoint and the endpoint's end."""
        listener = self.next_attempted()
        return listener, listener.serve()

    def call(self, call: str) -> int:
        """Send a call to the admin address; returns the HTTP status."""
        conn = self.client(call.encode() + b" HTTP/1.1\r\nHost: x\r\n\r\n", self.admin_port)
        return int(conn.line().split()[1])

    def admin_document(self, path: str) -> dict[str, Any]:
        """The JSON object that the admin address answers at a path, with status 200."""
        conn = self.client(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode(), self.admin_port)
        assert conn.line().split()[1] == b"200"
        while conn.line().strip():
            pass
        text = b""
        while line := conn.line():
            text += line
        document: dict[str, Any] = json.loads(text)
        return document

    def resource_usage(self) -> dict[str, Any]:
        """Size and bound of each container of the program."""
        return self.admin_document("/ops/census")

    def unread_lines(self) -> list[str]:
        """Take the log lines since the last call of this or of `logged`."""
        lines = []
        while not self.lines.empty():
            lines.append(self.lines.get())
        return lines

    def wait_until_ready(self) -> None:
        """Wait until the program is ready; a successor is once it alone accepts connections."""
        until_s = time.monotonic() + WAIT_S
        while self.call("GET /ops/readiness") != 200:
            assert time.monotonic() < until_s
            time.sleep(0.01)

    def alive(self) -> bool:
        """Whether the program answers a PING."""
        return self.client(b"PING\r\n").line() == b"PONG\r\n"

    def reload(self, expected_log: str, **changes: Any) -> None:
        """Change keys of the proxy file, reload, and wait for a log line with this pattern."""
        self.config.write_text(json.dumps({**json.loads(self.config.read_text()), **changes}))
        self.process.send_signal(signal.SIGHUP)
        self.logged(expected_log)

    @contextmanager
    def stopped(self) -> Iterator[None]:
        """Pause the process: when it resumes, all events of that time are pending at once, in their order."""
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WNOWAIT)
        try:
            yield
        finally:
            self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Begin the graceful shutdown."""
        self.process.send_signal(signal.SIGTERM)

    def resident_mib(self) -> float:
        """Resident memory of the process in MiB."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)

    def descriptors(self) -> int:
        """Number of open descriptors of the process."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def cpu_s(self) -> float:
        """Processor time of the process in seconds, user and system."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def ranked(running: RunningProxy) -> tuple[EmulatedEndpoint, EmulatedEndpoint]:
    """The two endpoints in the ranking of the tests' key, the preferred one first."""
    client = running.open()
    first, endpoint = running.serve_any()
    client.line()
    client.close()
    endpoint.close()
    running.logged("side=client reason=client-left")
    return first, next(other for other in running.endpoints if other is not first)


def establish_on(running: RunningProxy, uid: str) -> tuple[PeerConnection, PeerConnection]:
    """Establish a connection of the common key, which must go to endpoint `uid`; returns both ends."""
    client = running.open()
    listener, endpoint = running.serve_any()
    assert (listener.uid, client.line()) == (uid, b"UP r1\r\n")
    return client, endpoint
