"""Two toy gateways and a toy discovery on loopback, to try linnetshift out.

    python example/toy_server.py

A gateway accepts every request, echoes every line, and reports a random load. Discovery lists
both. Type `drain 1` or `ready 1` (or 2) to change a gateway's state, and `quit` to exit.
"""

from __future__ import annotations

import json
import random
import socketserver
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

DISCOVERY = ("127.0.0.1", 8500)
"""Address of discovery in the example's configuration."""

GATEWAYS = {"1": ("127.0.0.1", 8101), "2": ("127.0.0.1", 8102)}
"""Addresses of the gateways, by the number in a command."""

states = dict.fromkeys(GATEWAYS, "SERVING")
"""State of each gateway in the endpoint list; changed only while `list_changed` is held."""

revision = 1
"""Version of the endpoint list; changed only while `list_changed` is held."""

list_changed = threading.Condition()


class Gateway(socketserver.StreamRequestHandler):
    """Serves one connection to a gateway."""

    def handle(self) -> None:
        """Answer each line until the connection ends."""
        port = self.server.server_address[1]
        for line in self.rfile:
            if line.startswith(b"OPEN "):
                print(f"gateway {port}: {line.decode().strip()}", flush=True)
                load = random.uniform(20_000, 90_000)
                self.wfile.write(b"UP gateway-%d\r\nLOAD %.1f\r\n" % (port, load))
            elif line in (b"PING\r\n", b"STATS\r\n"):
                self.wfile.write(b"PONG\r\n")
            elif line == b"done\r\n":
                self.wfile.write(b"BYE\r\n")
                return
            else:
                self.wfile.write(line)


class Discovery(BaseHTTPRequestHandler):
    """Serves one HTTP call to discovery."""

    def do_GET(self) -> None:
        """Answer with the endpoint list; a watch waits until it changes or times out."""
        query = parse_qs(urlsplit(self.path).query)
        with list_changed:
            if "since" in query:
                since = int(query["since"][0])
                timeout_s = int(query["timeout_ms"][0]) / 1000
                list_changed.wait_for(lambda: revision > since, timeout_s)
            targets = [
                {
                    "uid": f"gateway-{name}",
                    "endpoint": f"{address}:{port}",
                    "az": "dundee-dc",
                    "model": "gw-small",
                    "pod_group": 0,
                    "state": states[name],
                    "capacity_hint": 1.5,
                    "boot_ms": 0,
                }
                for name, (address, port) in GATEWAYS.items()
            ]
            body = json.dumps({"rev": revision, "all": True, "targets": targets}).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Log nothing."""


class Server(socketserver.ThreadingTCPServer):
    """Serves each connection in a thread."""

    allow_reuse_address = True
    daemon_threads = True


def main() -> None:
    """Serve until `quit`, and change states by the commands on standard input."""
    global revision
    servers: list[socketserver.BaseServer] = [Server(address, Gateway) for address in GATEWAYS.values()]
    servers.append(ThreadingHTTPServer(DISCOVERY, Discovery))
    for server in servers:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    print(f"gateways {GATEWAYS}, discovery {DISCOVERY}", flush=True)
    for words in map(str.split, sys.stdin):
        if words == ["quit"]:
            return
        if len(words) == 2 and words[0] in ("drain", "ready") and words[1] in states:
            with list_changed:
                states[words[1]] = "DRAINING" if words[0] == "drain" else "SERVING"
                revision += 1
                list_changed.notify_all()
        else:
            print("drain 1, ready 1, drain 2, ready 2 or quit", flush=True)
    while True:  # standard input is closed: serve until killed
        time.sleep(60)


if __name__ == "__main__":
    main()
