"""A predecessor that keeps its channels listener while it is replaced, as older versions do."""

from __future__ import annotations

import json
import os
import socket
import threading
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager, suppress
from pathlib import Path

from connections import PeerConnection
from proxy_harness import ProxyEnvironment, proxy_environment, successor_of
from running_proxy import RunningProxy


class EmulatedPredecessor(RunningProxy):
    """Hands a channels listener over, stops accepting from it and keeps it until `exit`."""

    def __init__(self, environment: ProxyEnvironment, hangs: bool) -> None:
        self.port = environment.port
        self.channels_port = environment.channels_port
        environment.attach_to(self)
        self.hangs = hangs
        """Whether it never confirms that it has stopped accepting."""

        self.inherited_listener = socket.create_server(("127.0.0.1", self.port), backlog=64)
        self.listener = socket.create_server(("127.0.0.1", self.channels_port), backlog=64)
        """The channels listener."""

        self.connection: socket.socket | None = None
        self.takeover_socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        directory = os.open(self.config.parent, os.O_PATH)
        self.takeover_socket.bind(f"/proc/self/fd/{directory}/linnetshift-n0.sock")
        os.close(directory)
        self.takeover_socket.listen(1)
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        """Answer one successor as an older version does."""
        self.connection, _ = self.takeover_socket.accept()
        peer = PeerConnection(self.connection)
        with suppress(OSError):  # the successor or the test has ended
            assert json.loads(peer.line()) == {"say": "hello"}
            state = {
                "say": "state",
                "list": self.discovery.listing(),
                "active": False,
                "passed": ["channels"],
            }
            socket.send_fds(self.connection, [b" "], [self.listener.fileno()])
            peer.send(json.dumps(state).encode() + b"\n")
            while line := peer.line():
                if json.loads(line)["say"] == "serving" and not self.hangs:
                    peer.send(b'{"say": "stopped"}\n')

    def successor(self) -> AbstractContextManager[RunningProxy]:
        """Start a successor, a process of the real program."""
        return successor_of(self)

    def exit(self) -> None:
        """Close all descriptors, as a process does that exits."""
        self.listener.close()
        if self.connection is not None:
            with suppress(OSError):  # closed already
                self.connection.shutdown(socket.SHUT_RDWR)  # wakes the thread that reads from it
            self.connection.close()
        self.takeover_socket.close()


@contextmanager
def predecessor_that_keeps_its_listener(
    folder: Path, broker_toml: str, hangs: bool = False
) -> Iterator[EmulatedPredecessor]:
    """Emulate the predecessor of a proxy with this broker file."""
    with proxy_environment(folder, broker_toml=broker_toml) as environment:
        predecessor = EmulatedPredecessor(environment, hangs)
        try:
            yield predecessor
        finally:
            predecessor.exit()
            assert predecessor.inherited_listener is not None
            predecessor.inherited_listener.close()
