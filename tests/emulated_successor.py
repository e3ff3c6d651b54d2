"""A successor whose steps a test takes one by one."""

from __future__ import annotations

import json
import os
import socket
from pathlib import Path
from typing import Any, Self

from connections import PeerConnection


class EmulatedSuccessor:
    """Has requested and received the state of the process that listens in a folder."""

    def __init__(self, folder: Path) -> None:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        directory = os.open(folder, os.O_PATH)
        sock.connect(f"/proc/self/fd/{directory}/linnetshift-n0.sock")
        os.close(directory)
        self.peer = PeerConnection(sock)
        self.peer.send(b'{"say": "hello"}\n')
        self.state: dict[str, Any] = json.loads(self.peer.line())
        """The state; descriptors passed with it are closed on receipt."""

    def replace(self) -> None:
        """Have the process stop accepting."""
        self.peer.send(b'{"say": "serving"}\n')

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.peer.close()
