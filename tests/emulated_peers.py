"""Emulated endpoints and discovery, controlled by the tests."""

from __future__ import annotations

import json
import queue
import re
import socket
import threading
import time
from contextlib import suppress
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from connections import RESET, WAIT_S, Ending, PeerConnection
from failure_logs import timestamp


class EmulatedEndpoint:
    """An emulated endpoint; it accepts connections and answers only when the test calls its methods."""

    def __init__(self, uid: str) -> None:
        self.uid = uid
        self.state = "SERVING"
        self.boot_ms = 0
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.settimeout(WAIT_S)
        self.port = self.sock.getsockname()[1]
        self.events: list[str] = []
        """Log lines of what it did, for the report of a failing test."""

    def log_event(self, event: str) -> None:
        """Append a log line with the current time to `events`."""
        self.events.append(f"ts={timestamp()} endpoint={self.uid} {event}")

    def accept(self) -> PeerConnection:
        """Accept the next connection."""
        self.log_event("waits for a connection")
        sock, address = self.sock.accept()
        self.log_event(f"accepted a connection from port {address[1]}")
        return PeerConnection(sock)

    def stop_listening(self) -> None:
        """Close the listening socket: new connections are refused, as after the process ended."""
        self.sock.close()

    def listen_again(self) -> None:
        """Listen on the same port again."""
        self.sock = socket.create_server(("127.0.0.1", self.port))
        self.sock.settimeout(WAIT_S)

    def fill_accept_queue(self) -> None:
        """Fill the accept queue, so that new connections stay in the state SYN_SENT."""
        self.sock.listen(0)
        self.queue_filler = socket.create_connection(("127.0.0.1", self.port), WAIT_S)

    def wait_until_connecting(self) -> None:
        """Wait until the kernel lists a connection to this endpoint as SYN_SENT."""
        until_s = time.monotonic() + WAIT_S
        pattern = re.compile(rf":{self.port:04X} 02 ")
        while not pattern.search(Path("/proc/net/tcp").read_text()):
            assert time.monotonic() < until_s
            time.sleep(0.002)

    def empty_accept_queue(self) -> None:
        """Make room in the accept queue; pending connections complete when the kernel retries them."""
        self.sock.listen(128)
        self.accept().close()
        self.queue_filler.close()

    def serve(self) -> PeerConnection:
        """Accept a connection, read its request line and answer UP."""
        conn = self.accept()
        conn.first_line = conn.line()
        self.log_event(f"read {conn.first_line!r}")
        conn.send(b"UP r1\r\n")
        self.log_event("answered UP")
        return conn

    def answer_attempt(self, reply: bytes, ending: Ending | None) -> PeerConnection:
        """Accept an attempt, send the reply unless it is empty, and close unless `ending` is None."""
        conn = self.accept()
        conn.line()
        if reply:
            conn.send(reply)
        if ending is not None:
            conn.close(ending)
        return conn

    def entry(self) -> dict[str, Any]:
        """The entry of this endpoint in the list of discovery."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": "a",
            "model": "m",
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }


@dataclass
class HeldCall:
    """A call that is answered once `release` is set, by default with the list at its arrival."""

    path: str
    body: bytes
    release: threading.Event

    def answer_with(self, listing: dict[str, Any]) -> None:
        """Answer now, with this list instead."""
        self.body = json.dumps(listing).encode()
        self.release.set()


class DiscoveryServer:
    """Emulated discovery: answers calls with the list, watches once the list has changed.

    With `answers_503` every call gets that status; with `holds_calls` each call stays in `held_calls` until
    it is released; `resets_next_watch` resets one open watch.
    """

    def __init__(self, endpoints: list[EmulatedEndpoint], indent: int | None = None) -> None:
        self.endpoints = endpoints
        self.indent = indent
        self.rev = 1
        self.answers_503 = False
        self.answers_503_after_s = 0.0
        """Delay of each 503 in seconds, as of an overloaded discovery."""

        self.holds_calls = False
        self.resets_next_watch = False
        self.held_calls: queue.Queue[HeldCall] = queue.Queue()
        self.replacement_answers: list[object] = []
        """Answers that are sent once each instead of the list, the last one first."""

        self.open_watches = 0
        """Number of watches that wait for a change; a later one sees everything set before it arrived."""

        self.list_changed = threading.Condition()
        self.calls: queue.Queue[str] = queue.Queue()
        self.server = DiscoveryHttpServer(self)
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def listing(self) -> dict[str, Any]:
        """The full list, as decoded JSON."""
        return {"rev": self.rev, "all": True, "targets": [endpoint.entry() for endpoint in self.endpoints]}

    def next_answer(self) -> bytes:
        """The body of the next answer."""
        answer = self.replacement_answers.pop() if self.replacement_answers else self.listing()
        return answer if isinstance(answer, bytes) else json.dumps(answer, indent=self.indent).encode()

    def wait_for_change(self, revision: int, timeout_s: float) -> bool:
        """Wait for a newer list, with `list_changed` held; returns False if the watch must be reset."""
        self.open_watches += 1
        self.list_changed.notify_all()
        self.list_changed.wait_for(
            lambda: self.rev > revision or self.answers_503 or self.resets_next_watch, timeout_s
        )
        self.open_watches -= 1
        is_reset = self.resets_next_watch
        self.resets_next_watch = False
        return not is_reset

    def change(self, **changes: str) -> None:
        """Set new states of endpoints by uid, and answer all open watches."""
        with self.list_changed:
            for endpoint in self.endpoints:
                endpoint.state = changes.get(endpoint.uid, endpoint.state)
            self.rev += 1
            self.list_changed.notify_all()

    def reset_watches(self) -> None:
        """Reset the open watch; later calls are answered."""
        with self.list_changed:
            self.resets_next_watch = True
            self.list_changed.notify_all()

    def hold_calls_after_open_watch(self) -> None:
        """Wait until a watch is open, then hold all later calls."""
        with self.list_changed:
            assert self.list_changed.wait_for(lambda: self.open_watches > 0, WAIT_S), "no watch was opened"
            self.holds_calls = True

    def answer_open_watch(self, answer: object) -> None:
        """Wait until a watch is open, answer it with `answer` and hold all later calls."""
        with self.list_changed:
            self.hold_calls_after_open_watch()
            self.answer_once(answer)

    def answer_once(self, answer: object) -> None:
        """Send this answer once instead of the list; bytes are sent unchanged."""
        with self.list_changed:
            self.replacement_answers.append(answer)
            self.rev += 1
            self.list_changed.notify_all()

    @property
    def address(self) -> str:
        """The address that it listens on, as host:port."""
        return f"127.0.0.1:{self.server.server_address[1]}"

    def fail(self, is_failing: bool, after_s: float = 0.0) -> None:
        """Start or stop answering every call with a 503, with a delay of `after_s`."""
        with self.list_changed:
            self.answers_503 = is_failing
            self.answers_503_after_s = after_s
            self.list_changed.notify_all()


class DiscoveryHttpServer(ThreadingHTTPServer):
    """HTTP server of the emulated discovery, on a free port."""

    daemon_threads = True

    def __init__(self, discovery: DiscoveryServer) -> None:
        self.discovery = discovery
        super().__init__(("127.0.0.1", 0), DiscoveryHandler)

    def shutdown_request(self, request: Any) -> None:
        """Close without a shutdown: its FIN would precede the reset that SO_LINGER requests."""
        self.close_request(request)


class DiscoveryHandler(BaseHTTPRequestHandler):
    """Answers one call of the program."""

    server: DiscoveryHttpServer

    def do_GET(self) -> None:  # the name that http.server calls
        """Answer a call at once, and a watch once the list has changed."""
        discovery = self.server.discovery
        discovery.calls.put(self.path)
        if discovery.holds_calls:
            held = HeldCall(self.path, json.dumps(discovery.listing()).encode(), threading.Event())
            discovery.held_calls.put(held)
            held.release.wait()
            self.answer(200, held.body)
            return
        query = parse_qs(urlsplit(self.path).query)
        with discovery.list_changed:
            if "since" in query and not discovery.answers_503:
                timeout_s = int(query["timeout_ms"][0]) / 1000
                if not discovery.wait_for_change(int(query["since"][0]), timeout_s):
                    self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    return
            body = discovery.next_answer()
        if discovery.answers_503:
            time.sleep(discovery.answers_503_after_s)
        self.answer(503 if discovery.answers_503 else 200, body)

    def answer(self, status: int, body: bytes) -> None:
        """Send an answer; the program may have exited already at the end of a test."""
        with suppress(ConnectionError):
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Log nothing."""
