"""Opens one connection through the proxy, sends a line every two seconds and shows what comes back.

    python example/toy_client.py [GROUP] [LINES]

Told to move, it comes back at once, as a terminal would.
"""

from __future__ import annotations

import secrets
import socket
import sys

PROXY = ("127.0.0.1", 8000)


def connect(group: int, again: bool) -> bool:
    """Whether to come again."""
    with socket.create_connection(PROXY, 5) as sock:
        key, mark = secrets.token_hex(8), ",again=1" if again else ""
        sock.sendall(f"OPEN {key} {group:016x} c=status-watch,t=taymobile,d=3000{mark}\r\n".encode())
        sock.settimeout(2)
        held, sent = b"", 0
        while True:
            try:
                got = sock.recv(4096)
            except TimeoutError:
                sent += 1
                sock.sendall(b"done\r\n" if sent > LINES else b"M %d hello\r\n" % sent)
                continue
            if not got:
                return False
            *lines, held = (held + got).split(b"\r\n")
            for line in lines:
                print(line.decode(), flush=True)
                if line == b"MOVE":
                    return True


GROUP = int(sys.argv[1]) if len(sys.argv) > 1 else 1
LINES = int(sys.argv[2]) if len(sys.argv) > 2 else 5
if __name__ == "__main__":
    moved = False
    while connect(GROUP, moved):
        moved = True
