"""What a decision costs in processor time, against another state of the program, in one run.

Run from the repository's root: .venv/bin/python bench/decision_cost.py --against REF
Both states decide on the simulator's wire (`sim` in the deploy file) over the same frames in turns: one
instance, a list of endpoints, then one request a frame, which is established in the next. Time is what the
scheduler booked to the process (/proc/PID/schedstat), decoding and encoding included.
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
"""Numbers of endpoints that are measured."""

STEP_NS = 10 * MILLISECOND
"""Time between two frames on the simulated clock, in nanoseconds."""

SETUP_NS = 20 * MILLISECOND
"""Time until an attempt becomes a connection, in nanoseconds."""

KEY_STEP = 7919
"""Difference of two keys: a prime, so that keys spread over the endpoints."""

ZONES = 3
"""Zones that the endpoints are spread over."""

CELLS = 5
"""Cells that the endpoints are spread over."""

ENDPOINT_PORT = 31144
"""Port of every endpoint; their hosts differ."""


class SimulatedInstance:
    """One process of a state of the program, on the simulator's wire."""

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
        entries = [wire.list_entry(made_up_endpoint(number)) for number in range(endpoints)]
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
        """Microseconds of processor time for a request, placed and established, over `count` of them."""
        began_ns = processor_time_ns(self.process.pid)
        for _ in range(count):
            self.place_request()
        return (processor_time_ns(self.process.pid) - began_ns) / count / 1e3

    def place_request(self) -> None:
        """Send one request, and establish where it is placed."""
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
                established = wire.established(request_id, SETUP_NS, 0, address)
                self.exchange([wire.select_instance(0), established])

    def kill(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.wait()


def made_up_endpoint(number: int) -> Endpoint:
    """An endpoint of weight 1 with an address of its own."""
    address = struct.pack(">IH", 10 << 24 | number, ENDPOINT_PORT)
    return Endpoint(address, number % ZONES, 0, number % CELLS, 1.0)


def measure(before: Path, size: int, decisions: int, rounds: int) -> str:
    """Measure both states in turns with `size` endpoints; a line with their medians and the ratio."""
    states = {"before": SimulatedInstance(before, size), "after": SimulatedInstance(ROOT, size)}
    costs: dict[str, list[float]] = {name: [] for name in states}
    for number in range(rounds + 1):
        for name in sorted(states, reverse=bool(number % 2)):
            cost = states[name].decide(decisions)
            if number:  # the first round warms both up
                costs[name].append(cost)
    for state in states.values():
        state.kill()
    ratios = [after / before for after, before in zip(costs["after"], costs["before"], strict=True)]
    medians = "  ".join(f"{name} {statistics.median(each):.1f} us" for name, each in costs.items())
    return f"{size} endpoints: {medians}  after over before, median {statistics.median(ratios):.3f}"


def main() -> int:
    """Print the median cost of both states for each size, and their ratio."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--against", default="HEAD", help="a commit; default HEAD, against the work tree")
    parser.add_argument("--decisions", type=int, default=400, help="in each round")
    parser.add_argument("--rounds", type=int, default=9)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        unpack_commit(options.against, Path(folder))
        for size in SIZES:
            print(measure(Path(folder), size, options.decisions, options.rounds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
