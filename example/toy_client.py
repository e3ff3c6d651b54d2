"""Opens a connection through the proxy, sends a line every two seconds and prints what it receives.

    python example/toy_client.py [GROUP] [LINES]

When asked to migrate, it reconnects at once, as real clients do.
"""

from __future__ import annotations

import secrets
import socket
import sys

PROXY = ("127.0.0.1", 8000)
"""The address on which the proxy listens with the example's configuration."""

LINE_INTERVAL_S = 2
"""Time without input after which the next line is sent_lines, in seconds."""


def run_connection(group: int, is_returning: bool) -> bool:
    """Open one connection and use it to its end; return whether it was asked to migrate."""
    with socket.create_connection(PROXY, 5) as sock:
        key = secrets.token_hex(8)
        again_field = ",again=1" if is_returning else ""
        sock.sendall(f"OPEN {key} {group:016x} c=status-watch,t=taymobile,d=3000{again_field}\r\n".encode())
        sock.settimeout(LINE_INTERVAL_S)
        unread = b""
        sent_lines = 0
        while True:
            try:
                data = sock.recv(4096)
            except TimeoutError:
                sent_lines += 1
                sock.sendall(b"done\r\n" if sent_lines > LINE_COUNT else b"M %d hello\r\n" % sent_lines)
                continue
            if not data:
                return False
            *lines, unread = (unread + data).split(b"\r\n")
            for line in lines:
                print(line.decode(), flush=True)
                if line == b"MOVE":
                    return True


GROUP = int(sys.argv[1]) if len(sys.argv) > 1 else 1
LINE_COUNT = int(sys.argv[2]) if len(sys.argv) > 2 else 5
if __name__ == "__main__":
    is_returning = False
    while run_connection(GROUP, is_returning):
        is_returning = True
