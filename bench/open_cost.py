"""What an open costs the program in processor time, against another state of it, in one run.

Run from the repository's root: .venv/bin/python bench/open_cost.py --against REF
Both programs serve the same number of connections in turns, each opened, served with BYE and closed, so that
what else the machine does falls on both. Time is what the scheduler booked to it (/proc/PID/schedstat).
"""

from __future__ import annotations

import argparse
import itertools
import os
import random
import statistics
import subprocess
import sys
import tempfile
import threading
from contextlib import ExitStack, suppress
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from proxy import Listener, RunningProxy, proxy  # noqa: E402

from rig.crowd import Input, play  # noqa: E402


def booked_ns(running: RunningProxy) -> int:
    return int(Path(f"/proc/{running.process.pid}/schedstat").read_text().split()[0])


def serve(running: RunningProxy) -> None:
    """Each endpoint of the program answers and ends every connection at once."""

    def accept(listener: Listener) -> None:
        listener.sock.settimeout(None)
        with suppress(OSError):
            while True:
                conn = listener.sock.accept()[0]
                with conn, suppress(OSError):
                    conn.recv(4096)
                    conn.sendall(b"UP r1\r\nBYE\r\n")

    for listener in running.listeners:
        threading.Thread(target=accept, args=(listener,), daemon=True).start()


def opens(rng: random.Random, port: int, count: int) -> itertools.chain[Input]:
    lines = (
        b"OPEN %016x %016x c=feed,t=acme,d=4000\r\n" % (rng.getrandbits(64), rng.getrandbits(64))
        for _ in range(count)
    )
    return itertools.chain(Input(port, (line,), "wait") for line in lines)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--against", default="HEAD", help="a commit; default HEAD, against the work tree")
    parser.add_argument("--opens", type=int, default=1500, help="in each round")
    parser.add_argument("--rounds", type=int, default=7)
    asked = parser.parse_args()
    with ExitStack() as stack:
        old = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        archive = subprocess.run(
            ["git", "archive", asked.against, "linnetshift"], cwd=ROOT, capture_output=True, check=True
        )
        subprocess.run(["tar", "-x", "-C", str(old)], input=archive.stdout, check=True)
        programs = {}
        for name, program in (("before", old), ("after", ROOT)):
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            programs[name] = stack.enter_context(proxy(folder, endpoints=8, program=program))
            serve(programs[name])
        rng, costs = random.Random(1), {name: list[float]() for name in programs}
        for at in range(asked.rounds + 1):
            for name in sorted(programs, reverse=bool(at % 2)):
                running = programs[name]
                began = booked_ns(running)
                ended = [r.ended for r in play(opens(rng, running.port, asked.opens), at_once=20)]
                assert set(ended) == {"fin"}, set(ended)
                if at:  # the first round warms both up
                    costs[name].append((booked_ns(running) - began) / asked.opens / 1e3)
    print(
        f"machine: {os.cpu_count()} cores, Python {sys.version.split()[0]}; "
        f"{asked.rounds} rounds of {asked.opens} opens"
    )
    for name, seen in costs.items():
        print(f"{name}: median {statistics.median(seen):.0f} us an open ({min(seen):.0f} to {max(seen):.0f})")
    ratios = [after / before for before, after in zip(costs["before"], costs["after"], strict=True)]
    print(
        f"after over before: median {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
