"""Rounds of hostile inputs against a running program, and the checks after each round."""

from __future__ import annotations

import random
import select
import socket
import threading
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any, Protocol

from rig.connection_load import ConnectionEnd, ConnectionResult, PeerInput, run_connections
from rig.fuzz_inputs import CLIENT_INPUTS, endpoint_answer

CONNECTION_LIMIT_S = 6.5
"""Time limit of a hostile connection, in seconds.

The program answers or closes invalid clients within 3 s; the rest allows for what they still send, and for
their deadlines.
"""

MAX_OPEN = 40
"""Concurrent connections of a round."""

MAX_GROWTH_MIB = 4.0
"""Memory growth that is allowed after `take_baseline`, in MiB."""

MAX_EXTRA_DESCRIPTORS = 2
"""Descriptors allowed beyond the baseline: for a call to discovery and the check's own admin call."""

SETTLE_S = 8.0
"""Time for lingering connections and attempts to end and release their descriptors, in seconds."""

DESCRIPTORS_POLL_S = 0.05
"""Interval at which descriptors are counted, in seconds."""

ENDPOINT_POLL_S = 0.05
"""Longest wait of the endpoints for a connection, in seconds; bounds how long `stop` takes."""

ENDPOINT_TIMEOUT_S = 0.2
"""How long an endpoint waits for a request line, in seconds."""

MAX_REPORTED_CHARS = 2000
"""Characters of a log line that a violation's text includes."""

TAKEOVER_TIMEOUT_S = 0.3
"""How long a peer process waits for an answer, in seconds."""


class RunningProgram(Protocol):
    """The part of the tests' running program that this module uses."""

    port: int
    channels_port: int
    admin_port: int
    endpoints: Any
    discovery: Any
    process: Any
    config: Path
    passed_lines: list[str]

    def alive(self) -> bool:
        """Whether it answers PING with PONG."""
        ...

    def call(self, call: str) -> int:
        """Status of an operator's call."""
        ...

    def resource_usage(self) -> dict[str, Any]:
        """Size and bound of each container."""
        ...

    def resident_mib(self) -> float:
        """Resident memory in MiB."""
        ...

    def descriptors(self) -> int:
        """Number of open descriptors."""
        ...

    def unread_lines(self) -> list[str]:
        """Log lines since the last call."""
        ...


class InvariantViolationError(AssertionError):
    """A violated check; `inputs` are those of the round."""

    def __init__(self, message: str, inputs: Sequence[PeerInput | bytes]) -> None:
        super().__init__(message)
        self.inputs = list(inputs)


class HostileEndpoints(threading.Thread):
    """Accepts the program's attempts, sends mutated answers, and closes them, so that none stays open."""

    def __init__(self, listeners: Any, seed: int) -> None:
        super().__init__(daemon=True)
        self.rng = random.Random(seed)
        self.listeners = listeners
        self._is_running = True

    def run(self) -> None:
        """Serve attempts until stopped."""
        sockets = [listener.sock for listener in self.listeners]
        while self._is_running:
            for ready in select.select(sockets, [], [], ENDPOINT_POLL_S)[0]:
                with suppress(OSError):
                    self._answer(ready.accept()[0])

    def _answer(self, connection: socket.socket) -> None:
        connection.settimeout(ENDPOINT_TIMEOUT_S)
        with connection, suppress(OSError):
            connection.recv(4096)
            connection.sendall(endpoint_answer(self.rng))

    def stop(self) -> None:
        """End the thread."""
        self._is_running = False
        self.join()


class HostileRun:
    """Sends hostile inputs to a program and checks it after each round.

    Methods that send raise InvariantViolationError at the first violation.
    """

    def __init__(self, running: RunningProgram, seed: int) -> None:
        self.running = running
        self.rng = random.Random(seed)
        self.baseline_descriptors = running.descriptors()
        self.baseline_mib = 0.0
        """Resident memory at `take_baseline`, in MiB; 0 disables the comparison."""

        self.inputs_sent = 0

    def take_baseline(self) -> None:
        """Record the descriptors and the memory that later rounds are compared with."""
        self.baseline_descriptors = self.running.descriptors()
        self.baseline_mib = self.running.resident_mib()

    def send_round(self, frontend: str, count: int) -> None:
        """Send `count` generated inputs to a frontend, a key of `CLIENT_INPUTS`."""
        ports = {
            "line-protocol": self.running.port,
            "channels": self.running.channels_port,
            "admin": self.running.admin_port,
        }
        generate = CLIENT_INPUTS[frontend]
        self.send_inputs([generate(self.rng, ports[frontend]) for _ in range(count)])

    def send_inputs(self, inputs: Sequence[PeerInput]) -> list[ConnectionResult]:
        """Send inputs; none may be refused or time out."""
        results = []
        for result in run_connections(inputs, max_open=MAX_OPEN, limit_s=CONNECTION_LIMIT_S):
            results.append(result)
            if result.ended in (ConnectionEnd.TIMED_OUT, ConnectionEnd.REFUSED):
                message = f"{result.ended} after {result.duration_s:.1f} s"
                raise InvariantViolationError(message, [result.input])
        self._finish_round(inputs)
        return results

    def send_datagrams(self, datagrams: Sequence[bytes], sender: socket.socket) -> None:
        """Send datagrams to the VRRP port from a socket at a configured peer address."""
        for datagram in datagrams:
            sender.sendto(datagram, ("127.0.0.1", self.running.channels_port))
        self._finish_round(datagrams)

    def send_takeovers(self, path: str, texts: Sequence[bytes]) -> None:
        """Send each text to the takeover socket, on successive connections."""
        for text in texts:
            with socket.socket(socket.AF_UNIX) as sock, suppress(OSError):
                sock.settimeout(TAKEOVER_TIMEOUT_S)
                sock.connect(path)
                sock.sendall(text)
                while sock.recv(65536):
                    pass
        self._finish_round(texts)

    def send_lists(self, answers: Sequence[bytes], wait_for_call: Callable[[], object]) -> None:
        """Have discovery send these answers; `wait_for_call` returns once the program has called again."""
        for answer in answers:
            self.running.discovery.answer_once(answer)
            wait_for_call()
        self._finish_round(answers)

    def _finish_round(self, inputs: Sequence[PeerInput | bytes]) -> None:
        self.inputs_sent += len(inputs)
        self.check(inputs)

    def check(self, inputs: Sequence[PeerInput | bytes]) -> None:
        """Check that the program runs, answers, logged no fault, and is within baseline and bounds.

        Raises InvariantViolationError with the `inputs` of the round.
        """
        self._check_alive(inputs)
        faults = [line for line in self.running.unread_lines() if "event=fault" in line]
        if faults:
            raise InvariantViolationError(faults[0][:MAX_REPORTED_CHARS], inputs)
        self._check_descriptors(inputs)
        self._check_memory(inputs)

    def _check_alive(self, inputs: Sequence[PeerInput | bytes]) -> None:
        status = self.running.process.poll()
        if status is not None:
            raise InvariantViolationError(f"the program ended with {status}", inputs)
        try:
            is_alive = self.running.alive()
        except OSError as error:
            raise InvariantViolationError(f"PING is not answered: {error}", inputs) from None
        if not is_alive:
            raise InvariantViolationError("PING is not answered with PONG", inputs)

    def _check_descriptors(self, inputs: Sequence[PeerInput | bytes]) -> None:
        limit = self.baseline_descriptors + MAX_EXTRA_DESCRIPTORS
        until_s = time.monotonic() + SETTLE_S
        while self.running.descriptors() > limit:
            if time.monotonic() > until_s:
                message = f"{self.running.descriptors()} descriptors, {self.baseline_descriptors} before"
                raise InvariantViolationError(message, inputs)
            time.sleep(DESCRIPTORS_POLL_S)

    def _check_memory(self, inputs: Sequence[PeerInput | bytes]) -> None:
        resident_mib = self.running.resident_mib()
        if self.baseline_mib and resident_mib > self.baseline_mib + MAX_GROWTH_MIB:
            message = f"{resident_mib:.1f} MiB, {self.baseline_mib:.1f} before"
            raise InvariantViolationError(message, inputs)
        usage = self.running.resource_usage()
        over = {
            name: container for name, container in usage.items() if container["size"] > container["bound"]
        }
        if over:
            raise InvariantViolationError(f"over its bound: {over}", inputs)


Reproduces = Callable[[Sequence[PeerInput]], bool]
"""Predicate: whether a failure still occurs with these inputs."""


def shrink_inputs(
    inputs: Sequence[PeerInput], reproduces: Reproduces, max_tries: int = 200
) -> list[PeerInput]:
    """Fewer and shorter inputs that reproduce a failure; calls `reproduces` at most `max_tries` times."""
    tries_left = max_tries

    def reproduces_within_tries(candidate: Sequence[PeerInput]) -> bool:
        nonlocal tries_left
        if tries_left <= 0:
            return False
        tries_left -= 1
        return reproduces(candidate)

    needed = drop_inputs(inputs, reproduces_within_tries)
    return shorten_inputs(needed, reproduces_within_tries)


def drop_inputs(inputs: Sequence[PeerInput], reproduces: Reproduces) -> list[PeerInput]:
    """Remove inputs that the failure does not need: halves first, then successively smaller runs."""
    remaining = list(inputs)
    size = len(remaining) // 2
    while size:
        start = 0
        while start < len(remaining):
            fewer = remaining[:start] + remaining[start + size :]
            if fewer and reproduces(fewer):
                remaining = fewer
            else:
                start += size
        size //= 2
    return remaining


def shorten_inputs(inputs: Sequence[PeerInput], reproduces: Reproduces) -> list[PeerInput]:
    """Truncate inputs at the end as far as the failure still occurs."""
    remaining = list(inputs)
    for position, original in enumerate(inputs):
        data = b"".join(original.pieces)
        cut = len(data) // 2
        while cut:
            shorter = PeerInput(original.port, (data[:-cut],), original.ending, original.origin)
            if reproduces([*remaining[:position], shorter, *remaining[position + 1 :]]):
                data = data[:-cut]
                remaining[position] = shorter
            else:
                cut //= 2
    return remaining
