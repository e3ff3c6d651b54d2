"""Processor time of a decision, compared with a commit of the program in one run.

Run from the repository's root: .venv/bin/python bench/decision_cost.py --against REF
Both versions get the same frames on the simulator's wire (`sim` in the deploy file), in alternating rounds:
one instance, a list of endpoints, then one request per frame, which is established in the next frame. Time is
the processor time of the process (/proc/PID/schedstat), decoding and encoding included.
"""

from __future__ import annotations

import argparse
import os
import statistics
import struct
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT)]

from program_states import processor_time_ns, unpack_commit  # noqa: E402

from rig.decision_recordings import wire  # noqa: E402
from rig.decision_recordings.model import MILLISECOND, SECOND, Endpoint, Request  # noqa: E402
from rig.decision_recordings.recorder import simulator_command  # noqa: E402
from rig.decision_recordings.scenario import Scenario, service  # noqa: E402

SIZES = (60, 256, 1024)
"""Numbers of endpoints to measure with."""

STEP_NS = 10 * MILLISECOND
"""Simulated time between two frames."""

SETUP_NS = 20 * MILLISECOND
"""Simulated time from the send of an attempt until its connection is established."""

KEY_STEP = 7919
"""Difference of successive keys; a prime, so that keys spread over the endpoints."""

ZONES = 3
"""Number of zones of the endpoints."""

CELLS = 5
"""Number of cells of the endpoints."""

ENDPOINT_PORT = 31144
"""Port of all endpoints; their hosts differ."""


class SimulatedInstance:
    """A `sim` process of one version of the program, with one instance."""

    def __init__(self, root: Path, endpoints: int) -> None:
        self.process = subprocess.Popen(
            ["sh", "-c", simulator_command(root)],
            cwd=root,
            env={**os.environ, "OPENBLAS_NUM_THREADS": "1"},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.now_ns = SECOND
        self.requests = 0
        scenario = Scenario("cost", 1, services=(service("feed"),), balancers=4, allowed={"probing": False})
        entries = [wire.list_entry(make_endpoint(number)) for number in range(endpoints)]
        self.exchange(
            [
                wire.select_instance(0),
                wire.create(1, scenario.settings_of(0)),
                wire.endpoint_list(wire.ListForm.FULL, 1, entries),
            ]
        )

    def exchange(self, records: Sequence[bytes]) -> bytes:
        """Send one frame and read its reply."""
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        self.now_ns += STEP_NS
        self.process.stdin.write(wire.frame(self.now_ns, records))
        self.process.stdin.flush()
        size = self.process.stdout.read(4)
        return size + self.process.stdout.read(int.from_bytes(size, "big") - 4)

    def decide(self, count: int) -> float:
        """Place and establish `count` requests; returns the mean processor time of one in microseconds."""
        began_ns = processor_time_ns(self.process.pid)
        for _ in range(count):
            self.place_request()
        return (processor_time_ns(self.process.pid) - began_ns) / count / 1e3

    def place_request(self) -> None:
        """Send one request and establish its connection on the endpoint of its attempt."""
        self.requests += 1
        request = Request(
            id=self.requests,
            instance=0,
            service=0,
            group=0,
            key=self.requests * KEY_STEP,
            load_hint=0,
            flags=0,
            budget_ns=SECOND,
        )
        reply = self.exchange([wire.select_instance(0), wire.new_request(request)])
        for action in wire.actions(reply):
            if action.name == "send":
                request_id, _, address = action.fields
                established = wire.connection_established(request_id, SETUP_NS, 0, address)
                self.exchange([wire.select_instance(0), established])

    def kill(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.wait()


def make_endpoint(number: int) -> Endpoint:
    """An endpoint of weight 1 with a unique address."""
    address = struct.pack(">IH", 10 << 24 | number, ENDPOINT_PORT)
    return Endpoint(address, number % ZONES, 0, number % CELLS, 1.0)


def measure(before: Path, size: int, decisions: int, rounds: int) -> str:
    """Measure both versions in alternating rounds with `size` endpoints; returns a line with the results."""
    versions = {"before": SimulatedInstance(before, size), "after": SimulatedInstance(ROOT, size)}
    costs: dict[str, list[float]] = {name: [] for name in versions}
    for number in range(rounds + 1):
        for name in sorted(versions, reverse=bool(number % 2)):
            cost = versions[name].decide(decisions)
            if number:  # the first round warms up both versions
                costs[name].append(cost)
    for version in versions.values():
        version.kill()
    ratios = [after / before for after, before in zip(costs["after"], costs["before"], strict=True)]
    medians = "  ".join(f"{name} {statistics.median(each):.1f} us" for name, each in costs.items())
    return f"{size} endpoints: {medians}  after over before, median {statistics.median(ratios):.3f}"


def main() -> int:
    """Print the median cost of both versions for each size, and their ratio."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument(
        "--against", default="HEAD", help="commit to compare the work tree with; default HEAD"
    )
    parser.add_argument("--decisions", type=int, default=400, help="decisions per round")
    parser.add_argument("--rounds", type=int, default=9)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        unpack_commit(options.against, Path(folder))
        for size in SIZES:
            print(measure(Path(folder), size, options.decisions, options.rounds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
