"""The Unix socket over which a new process asks the running one of the same proxy for its state.

The socket lies in the folder for temporary files, which both processes share. Whoever listens there is the
process to take over from; a stale or absent socket means that there is none.
"""

from __future__ import annotations

import json
import os
import re
import select
import socket
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from linnetshift.event_loop.loop import Loop
from linnetshift.lifecycle.takeover_messages import PlainMessage, encode_message
from linnetshift.observability import log

# How long a new process waits for the state of a predecessor that may hang; then it starts without. It serves
# nothing while it waits, so this stays well below the time that the platform grants a start.
TAKEOVER_TIMEOUT_S = 2.5
# Pause before the next attempt: a predecessor that closed at once is being replaced by another process.
TAKEOVER_RETRY_S = 0.05
# The exported state grows with the endpoint list and the teams, both of which are bounded far below this.
MAX_STATE_BYTES = 16 << 20
# One read of the state.
READ_BYTES = 1 << 16
# Room for passed descriptors in one read: the channels listener and the VRRP socket, with some to spare.
MAX_DESCRIPTORS = 4
# Connections that wait to be accepted: one successor at a time is served.
LISTEN_BACKLOG = 4
# Characters of the proxy's name in the socket's name, which must stay short enough to bind.
MAX_NAME_CHARACTERS = 40
# The predecessor's state and its descriptors belong to one user.
SOCKET_MODE = 0o600


def _socket_folder() -> str:
    """Return TMPDIR, else the system's folder for temporary files."""
    folder = os.environ.get("TMPDIR")
    if folder:
        return folder
    import tempfile  # only here: it takes 2 ms, and the platform sets TMPDIR

    return tempfile.gettempdir()


class TakeoverSocketPath:
    """The socket's path by way of an open descriptor of its folder, whose path may be too long to bind."""

    def __init__(self, name: str) -> None:
        """`name` is the proxy's; two proxies of one machine differ in it. Raises OSError without a folder."""
        self.folder_descriptor = os.open(_socket_folder(), os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
        self.file_name = f"linnetshift-{re.sub('[^A-Za-z0-9_.-]', '_', name)[:MAX_NAME_CHARACTERS]}.sock"

    def path(self, suffix: str = "") -> str:
        """Return a path short enough for `bind` and `connect`."""
        return f"/proc/self/fd/{self.folder_descriptor}/{self.file_name}{suffix}"

    def inode(self) -> int:
        """Return the inode of the socket that lies there, 0 where there is none."""
        try:
            return os.stat(self.path()).st_ino
        except OSError:
            return 0


class PredecessorState(NamedTuple):
    """What the predecessor handed over, and the connection to it."""

    sock: socket.socket
    state: dict[str, Any]  # as received; `ImportedState` reads it
    rest: bytes  # what it has sent since
    descriptors: list[int]  # in the order of the names in the state


def request_takeover(socket_path: TakeoverSocketPath) -> PredecessorState | None:
    """Ask the running process for its state; None where there is none or it does not answer in time.

    Nothing is served yet, so this may block. A process that closes without an answer is handing over to
    another one at the moment, which will listen here instead soon.
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
            time.sleep(TAKEOVER_RETRY_S)
    return None


def receive_state(sock: socket.socket) -> PredecessorState:
    """Read the state's line and the descriptors that come with it, from a blocking socket.

    Raises OSError where the connection ends or times out before, ValueError where the line is no JSON object.
    """
    data = b""
    descriptors: list[int] = []
    while b"\n" not in data:
        received, passed, _, _ = socket.recv_fds(sock, READ_BYTES, MAX_DESCRIPTORS)
        descriptors += passed
        data += received
        if not received or len(data) > MAX_STATE_BYTES:
            for descriptor in descriptors:
                os.close(descriptor)
            raise ConnectionError("closed before its state was told")
    line, _, rest = data.partition(b"\n")
    state = json.loads(line)
    if not isinstance(state, dict):
        raise ValueError("no state")
    return PredecessorState(sock, state, rest, descriptors)


class TakeoverListener:
    """Accepts the process that will replace this one.

    The socket is bound under another name and renamed, so that it replaces a stale one in a single step.
    """

    def __init__(
        self, loop: Loop, socket_path: TakeoverSocketPath, handle_connection: Callable[[socket.socket], None]
    ) -> None:
        """`handle_connection` owns the socket that it is given. Raises OSError where nothing can be bound."""
        self.loop = loop
        self.socket_path = socket_path
        self.handle_connection = handle_connection
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        unpublished = socket_path.path(f".{os.getpid()}")
        self.listener.bind(unpublished)
        os.chmod(unpublished, SOCKET_MODE)
        self.listener.listen(LISTEN_BACKLOG)
        self.listener.setblocking(False)
        os.rename(unpublished, socket_path.path())
        self.inode = socket_path.inode()
        loop.watch(self.listener.fileno(), select.EPOLLIN, self.accept)

    def accept(self, _mask: int) -> None:
        """Take one connection; a failed one is retried by the process that made it."""
        try:
            sock, _ = self.listener.accept()
        except OSError:  # closed again, or no descriptor is free
            return
        self.handle_connection(sock)

    def close(self) -> None:
        """Stop listening, and remove the socket unless another process has put its own there."""
        if self.listener.fileno() < 0:
            return
        self.loop.unwatch(self.listener.fileno())
        self.listener.close()
        if self.socket_path.inode() == self.inode:
            os.unlink(self.socket_path.path())
