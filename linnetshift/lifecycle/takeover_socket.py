"""The Unix socket over which a new process requests the state of the running process of the same proxy.

The socket is in the directory for temporary files, which both processes share. The process that listens there
is the predecessor; a stale or absent socket means that there is none.
"""

from __future__ import annotations

import json
import os
import re
import select
import socket
import struct
import time
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any, NamedTuple

from linnetshift.event_loop.loop import Loop
from linnetshift.lifecycle.takeover_messages import PlainMessage, encode_message
from linnetshift.observability import log

# How long a new process waits for the state of a predecessor that may hang; after that it starts without. It
# serves nothing while it waits, so this stays well below the time that the platform allows for a start.
TAKEOVER_TIMEOUT_S = 2.5
# Pause before the next attempt: a predecessor that closes without an answer is being replaced by another.
TAKEOVER_RETRY_DELAY_S = 0.05
# The exported state grows with the endpoint list and the teams; their bounds keep it far below this.
MAX_STATE_BYTES = 16 << 20
READ_BYTES = 1 << 16
# Passed descriptors in one read: the channels listener and the VRRP socket, and two to spare.
MAX_PASSED_DESCRIPTORS = 4
# Connections waiting to be accepted: one successor is served at a time.
LISTEN_BACKLOG = 4
PEER_CREDENTIALS = struct.Struct("3i")  # process, user and group
# Characters of the proxy's name in the socket's file name: the path must stay short enough to bind.
MAX_NAME_CHARACTERS = 40
# Only the proxy's own user may receive its state and descriptors.
SOCKET_MODE = 0o600


def _socket_directory() -> str:
    """Return TMPDIR, else the system's directory for temporary files."""
    directory = os.environ.get("TMPDIR")
    if directory:
        return directory
    import tempfile  # on demand only: the import takes 2 ms, and the platform sets TMPDIR

    return tempfile.gettempdir()


class TakeoverSocketPath:
    """The socket's path by a descriptor of its directory, as the directory's path may be too long to bind."""

    def __init__(self, name: str) -> None:
        """`name` is the proxy's, unique on its machine. Raises OSError where the directory does not exist."""
        self.directory_descriptor = os.open(_socket_directory(), os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
        self.file_name = f"linnetshift-{re.sub('[^A-Za-z0-9_.-]', '_', name)[:MAX_NAME_CHARACTERS]}.sock"

    def path(self, suffix: str = "") -> str:
        """Return a path short enough for `bind` and `connect`."""
        return f"/proc/self/fd/{self.directory_descriptor}/{self.file_name}{suffix}"

    def inode(self) -> int:
        """Return the number of the inode at the path, 0 where there is none."""
        try:
            return os.stat(self.path()).st_ino
        except OSError:
            return 0

    def connect(self) -> socket.socket | None:
        """Return a connection to the process that listens here; None if none does or its queue is full."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            sock.connect(self.path())
        except OSError:
            sock.close()
            return None
        return sock


def peer_process_id(sock: socket.socket) -> int:
    """Return the id of the process at the other end of a connection over a Unix socket; raises OSError."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    process_id: int = PEER_CREDENTIALS.unpack(credentials)[0]
    return process_id


class PredecessorState(NamedTuple):
    """What the predecessor handed over, and the connection to it."""

    sock: socket.socket
    state: dict[str, Any]  # as received; `ImportedState` reads it
    trailing_data: bytes  # received after the state's line: the beginning of later messages
    descriptors: list[int]  # in the order of the names in the state


def request_takeover(socket_path: TakeoverSocketPath) -> PredecessorState | None:
    """Request the running process's state; return None where there is none or it does not answer in time.

    Blocks, as nothing is served yet. A process that closes without an answer is being replaced by another
    one, which will listen here soon; the request is retried.
    """
    deadline = time.monotonic() + TAKEOVER_TIMEOUT_S
    while (remaining := deadline - time.monotonic()) > 0:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.settimeout(remaining)
        try:
            sock.connect(socket_path.path())
        except OSError:  # no process, or a stale socket
            sock.close()
            return None
        try:
            sock.sendall(encode_message(PlainMessage.HELLO))
            return receive_state(sock)
        except TimeoutError:
            sock.close()
            break
        except (OSError, ValueError) as error:
            sock.close()
            log.info("takeover-state-unreadable", error=str(error))
            time.sleep(TAKEOVER_RETRY_DELAY_S)
    return None


def receive_state(sock: socket.socket) -> PredecessorState:
    """Read the state's line and the descriptors passed with it from a blocking socket.

    Raises OSError where the connection ends or times out before the line is complete, ValueError where the
    line is not a JSON object; the descriptors are closed then. A listener that stayed open would let clients
    wait in its queue, from which nobody accepts.
    """
    data = b""
    descriptors: list[int] = []
    with ExitStack() as close_descriptors:
        while b"\n" not in data:
            received, passed, _, _ = socket.recv_fds(sock, READ_BYTES, MAX_PASSED_DESCRIPTORS)
            for descriptor in passed:
                descriptors.append(descriptor)
                close_descriptors.callback(os.close, descriptor)
            data += received
            if not received or len(data) > MAX_STATE_BYTES:
                raise ConnectionError("closed before its state was told")
        line, _, trailing_data = data.partition(b"\n")
        state = json.loads(line)
        if not isinstance(state, dict):
            raise ValueError("no state")
        close_descriptors.pop_all()
    return PredecessorState(sock, state, trailing_data, descriptors)


class TakeoverListener:
    """Accepts connections from the process that will replace this one.

    The socket is bound to a temporary path and renamed, so that it replaces a stale one atomically.
    """

    def __init__(
        self, loop: Loop, socket_path: TakeoverSocketPath, handle_connection: Callable[[socket.socket], None]
    ) -> None:
        """`handle_connection` owns the socket that it is given. Raises OSError where binding fails."""
        self.loop = loop
        self.socket_path = socket_path
        self.handle_connection = handle_connection
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        temporary_path = socket_path.path(f".{os.getpid()}")
        self.listener.bind(temporary_path)
        os.chmod(temporary_path, SOCKET_MODE)
        self.listener.listen(LISTEN_BACKLOG)
        self.listener.setblocking(False)
        os.rename(temporary_path, socket_path.path())
        self.inode = socket_path.inode()
        loop.watch(self.listener.fileno(), select.EPOLLIN, self.accept)

    def accept(self, _mask: int) -> None:
        """Accept one connection; where that fails, the connecting process retries."""
        try:
            sock, _ = self.listener.accept()
        except OSError:  # the peer closed already, or no descriptor is free
            return
        self.handle_connection(sock)

    def close(self) -> None:
        """Stop listening, and remove the socket unless another process has replaced it with its own."""
        if self.listener.fileno() < 0:
            return
        self.loop.unwatch(self.listener.fileno())
        self.listener.close()
        if self.socket_path.inode() == self.inode:
            os.unlink(self.socket_path.path())
