"""Processor time of a connection, compared with a commit of the program in one run.

Run from the repository's root: .venv/bin/python bench/open_cost.py --against REF
Both versions serve the same number of connections, each opened, served with BYE and closed, in alternating
rounds, so that other load of the machine affects both. Time is the processor time of the process
(/proc/PID/schedstat).
"""

from __future__ import annotations

import argparse
import os
import random
import statistics
import sys
import tempfile
import threading
from collections.abc import Iterator
from contextlib import ExitStack, suppress
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from emulated_peers import EmulatedEndpoint  # noqa: E402
from program_states import processor_time_ns, unpack_commit  # noqa: E402
from proxy_harness import started_proxy  # noqa: E402
from running_proxy import RunningProxy  # noqa: E402

from rig.connection_load import PeerInput, run_connections  # noqa: E402

ENDPOINTS = 8
"""Number of endpoints of each version."""

MAX_OPEN = 20
"""Maximum number of connections open at once."""


def accept_and_end(listener: EmulatedEndpoint) -> None:
    """Accept each connection, answer UP and BYE and close it, until the listener is closed."""
    listener.sock.settimeout(None)
    with suppress(OSError):
        while True:
            connection = listener.sock.accept()[0]
            with connection, suppress(OSError):
                connection.recv(4096)
                connection.sendall(b"UP r1\r\nBYE\r\n")


def serve_endpoints(running: RunningProxy) -> None:
    """Run `accept_and_end` for each endpoint, in a thread of its own."""
    for listener in running.endpoints:
        threading.Thread(target=accept_and_end, args=(listener,), daemon=True).start()


def request_inputs(rng: random.Random, port: int, count: int) -> Iterator[PeerInput]:
    """Inputs of `count` clients with random ids and keys."""
    for _ in range(count):
        request_id = rng.getrandbits(64)
        line = b"OPEN %016x %016x c=feed,t=acme,d=4000\r\n" % (request_id, rng.getrandbits(64))
        yield PeerInput(port, (line,), "wait")


def connection_cost_us(running: RunningProxy, rng: random.Random, count: int) -> float:
    """Serve `count` connections; returns the mean processor time of one in microseconds."""
    began_ns = processor_time_ns(running.process.pid)
    inputs = request_inputs(rng, running.port, count)
    ends = {result.ended for result in run_connections(inputs, max_open=MAX_OPEN)}
    assert ends == {"fin"}, ends
    return (processor_time_ns(running.process.pid) - began_ns) / count / 1e3


def measure(commit: str, connections: int, rounds: int) -> dict[str, list[float]]:
    """Cost of a connection in each round, in microseconds: commit ("before") and work tree ("after")."""
    with ExitStack() as stack:
        before = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        unpack_commit(commit, before)
        programs = {}
        for name, program in (("before", before), ("after", ROOT)):
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            programs[name] = stack.enter_context(started_proxy(folder, endpoints=ENDPOINTS, program=program))
            serve_endpoints(programs[name])
        rng = random.Random(1)
        costs: dict[str, list[float]] = {name: [] for name in programs}
        for number in range(rounds + 1):
            for name in sorted(programs, reverse=bool(number % 2)):
                cost = connection_cost_us(programs[name], rng, connections)
                if number:  # the first round warms up both versions
                    costs[name].append(cost)
    return costs


def main() -> int:
    """Print the median cost of both versions and their ratio."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument(
        "--against", default="HEAD", help="commit to compare the work tree with; default HEAD"
    )
    parser.add_argument("--opens", type=int, default=1500, help="connections per round")
    parser.add_argument("--rounds", type=int, default=7)
    options = parser.parse_args()
    costs = measure(options.against, options.opens, options.rounds)
    print(
        f"machine: {os.cpu_count()} cores, Python {sys.version.split()[0]}; "
        f"{options.rounds} rounds of {options.opens} opens"
    )
    for name, each in costs.items():
        print(f"{name}: median {statistics.median(each):.0f} us an open ({min(each):.0f} to {max(each):.0f})")
    ratios = [after / before for before, after in zip(costs["before"], costs["after"], strict=True)]
    print(
        f"after over before: median {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
