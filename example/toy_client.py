"""Opens one connection through the proxy, sends a line every two seconds and shows what comes back.

    python example/toy_client.py [GROUP] [LINES]

Asked to migrate, it connects again at once, as a terminal would.
"""

from __future__ import annotations

import secrets
import socket
import sys

PROXY = ("127.0.0.1", 8000)
"""Where the example's configuration listens."""

LINE_INTERVAL_S = 2
"""Time without an answer until the next line is sent, in seconds."""


def connect(group: int, is_return: bool) -> bool:
    """Open one connection and use it to its end; whether it was asked to migrate."""
    with socket.create_connection(PROXY, 5) as sock:
        key = secrets.token_hex(8)
        return_mark = ",again=1" if is_return else ""
        sock.sendall(f"OPEN {key} {group:016x} c=status-watch,t=taymobile,d=3000{return_mark}\r\n".encode())
        sock.settimeout(LINE_INTERVAL_S)
        unread = b""
        sent = 0
        while True:
            try:
                data = sock.recv(4096)
            except TimeoutError:
                sent += 1
                sock.sendall(b"done\r\n" if sent > LINES else b"M %d hello\r\n" % sent)
                continue
            if not data:
                return False
            *lines, unread = (unread + data).split(b"\r\n")
            for line in lines:
                print(line.decode(), flush=True)
                if line == b"MOVE":
                    return True


GROUP = int(sys.argv[1]) if len(sys.argv) > 1 else 1
LINES = int(sys.argv[2]) if len(sys.argv) > 2 else 5
if __name__ == "__main__":
    is_return = False
    while connect(GROUP, is_return):
        is_return = True
