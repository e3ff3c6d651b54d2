"""Rounds of hostile peers against one running program, and what must hold after each."""

from __future__ import annotations

import json
import random
import socket
import threading
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any, Protocol

from rig import wires
from rig.crowd import Input, Result, play

# Bad clients are answered or closed within 3 s; what they still send, and a wait of their own, comes on top.
MOST_S = 6.5
GROWTH_MIB = 4.0  # of memory between the round after the first and any later one
SETTLE_S = 8.0  # until descriptors are back: what lingers, and what an endpoint has out, ends in that time


class Running(Protocol):
    """The shared helper's program, as far as the rig needs it."""

    port: int
    extra_port: int
    admin_port: int
    listeners: Any
    discovery: Any
    process: Any
    config: Path
    seen: list[str]

    def alive(self) -> bool: ...

    def call(self, call: str) -> int: ...

    def resource_usage(self) -> dict[str, Any]: ...

    def resident_mib(self) -> float: ...

    def descriptors(self) -> int: ...

    def unread(self) -> list[str]:
        """Log lines since the last call."""


class Broken(AssertionError):
    """A rule that the program broke, and the inputs that were sent in that round."""

    def __init__(self, what: str, inputs: Sequence[Input | bytes]) -> None:
        super().__init__(what)
        self.inputs = list(inputs)


class Endpoints(threading.Thread):
    """Accepts what the program sends to its endpoints and answers with nonsense, so that nothing stands."""

    def __init__(self, listeners: Any, seed: int) -> None:
        super().__init__(daemon=True)
        self.rng, self.listeners, self.running = random.Random(seed), listeners, True

    def run(self) -> None:
        import select

        sockets = [each.sock for each in self.listeners]
        while self.running:
            for ready in select.select(sockets, [], [], 0.05)[0]:
                with suppress(OSError):
                    conn = ready.accept()[0]
                    conn.settimeout(0.2)
                    with conn, suppress(OSError):
                        conn.recv(4096)
                        conn.sendall(wires.answers(self.rng))

    def stop(self) -> None:
        self.running = False
        self.join()


class Attack:
    """One program under attack; `round` raises `Broken`, with what was sent, as soon as a rule is."""

    def __init__(self, running: Running, seed: int) -> None:
        self.running, self.rng = running, random.Random(seed)
        self.descriptors = running.descriptors()
        self.level = 0.0  # of memory; not looked at before `settle`
        self.tried = 0

    def settle(self) -> None:
        """Take the state of now as what must be come back to."""
        self.descriptors, self.level = self.running.descriptors(), self.running.resident_mib()

    def round(self, wire: str, count: int) -> None:
        port = {"platform": "port", "channels": "extra_port", "door": "admin_port"}[wire]
        self.replay([wires.WIRES[wire](self.rng, getattr(self.running, port)) for _ in range(count)])

    def replay(self, inputs: Sequence[Input]) -> list[Result]:
        results = []
        for result in play(inputs, at_once=40, limit_s=MOST_S):
            results.append(result)
            if result.ended in ("late", "refused"):
                raise Broken(f"{result.ended} after {result.seconds:.1f} s", [result.input])
        self.tried += len(inputs)
        self.check(inputs)
        return results

    def datagrams(self, sent: Sequence[bytes], sender: socket.socket) -> None:
        for each in sent:
            sender.sendto(each, ("127.0.0.1", self.running.extra_port))
        self.tried += len(sent)
        self.check(sent)

    def beside(self, path: str, sent: Sequence[bytes]) -> None:
        """Each text from a process of its own, one after the other, as it takes one at a time."""
        for each in sent:
            with socket.socket(socket.AF_UNIX) as sock, suppress(OSError):
                sock.settimeout(0.3)
                sock.connect(path)
                sock.sendall(each)
                while sock.recv(65536):
                    pass
        self.tried += len(sent)
        self.check(sent)

    def lists(self, sent: Sequence[bytes], heard: Callable[[], None]) -> None:
        """Answers of discovery; `heard` waits until the program has asked again."""
        for each in sent:
            self.running.discovery.says(each)
            heard()
        self.tried += len(sent)
        self.check(sent)

    def check(self, sent: Sequence[Input | bytes]) -> None:
        """The program lives, answers, logged no fault, and holds no more than before and than it may."""
        running = self.running
        if running.process.poll() is not None:
            raise Broken(f"the program ended with {running.process.returncode}", sent)
        try:
            if not running.alive():
                raise Broken("PING is not answered with PONG", sent)
        except OSError as error:
            raise Broken(f"PING is not answered: {error}", sent) from None
        if faults := [line for line in running.unread() if "event=fault" in line]:
            raise Broken(faults[0][:2000], sent)
        until = time.monotonic() + SETTLE_S
        while running.descriptors() > self.descriptors + 2:  # a call to discovery, and this look itself
            if time.monotonic() > until:
                raise Broken(f"{running.descriptors()} descriptors, {self.descriptors} before", sent)
            time.sleep(0.05)
        if self.level and running.resident_mib() > self.level + GROWTH_MIB:
            raise Broken(f"{running.resident_mib():.1f} MiB, {self.level:.1f} before", sent)
        over = {name: held for name, held in running.resource_usage().items() if held["size"] > held["bound"]}
        if over:
            raise Broken(f"over its bound: {over}", sent)


def shrink(
    inputs: Sequence[Input], broken: Callable[[Sequence[Input]], bool], tries: int = 200
) -> list[Input]:
    """Fewer inputs, and shorter ones, that still break the program: halves first, then one at a time."""
    kept = list(inputs)
    size = len(kept) // 2
    while size and tries > 0:
        at = 0
        while at < len(kept) and tries > 0:
            fewer = kept[:at] + kept[at + size :]
            tries -= 1
            if fewer and broken(fewer):
                kept = fewer
            else:
                at += size
        size //= 2
    for place, made in enumerate(kept):
        data = b"".join(made.pieces)
        cut = len(data) // 2
        while cut and tries > 0:
            tries -= 1
            shorter = Input(made.port, (data[:-cut],), made.ending, made.origin)
            if broken([*kept[:place], shorter, *kept[place + 1 :]]):
                data, kept[place] = data[:-cut], shorter
            else:
                cut //= 2
    return kept


def keep(folder: Path, what: str, inputs: Sequence[Input | bytes], seed: int) -> Path:
    """The inputs as a file that `bench/hostile.py --replay` takes."""
    folder.mkdir(exist_ok=True)
    path = folder / f"hostile-{seed}-{time.time_ns()}.json"
    told = [
        {"raw": made.hex()}
        if isinstance(made, bytes)
        else {"pieces": [p.hex() for p in made.pieces], "ending": made.ending}
        for made in inputs
    ]
    path.write_text(json.dumps({"what": what, "seed": seed, "inputs": told}, indent=1))
    return path
