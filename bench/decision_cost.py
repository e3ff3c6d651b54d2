"""What a decision costs in processor time, against another state of the program, in one run.

Run from the repository's root: .venv/bin/python bench/decision_cost.py --against REF
Both states decide on the simulator's wire (`sim` in the deploy file) over the same frames in turns: one
instance, a list of endpoints, then one request a frame, which is established in the next. Time is what the
scheduler booked to the process (/proc/PID/schedstat), decoding and encoding included.
"""

from __future__ import annotations

import argparse
import os
import shlex
import statistics
import struct
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Sequence
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT)]

from rig.decision_recordings import (  # noqa: E402
    DEPLOY_PYTHON,
    FULL_LIST,
    MILLISECOND,
    SECOND,
    Endpoint,
    Request,
    Scenario,
    actions,
    begun,
    create,
    frame,
    inbound,
    membership,
    on,
    service,
)

SIZES = (60, 256, 1024)
STEP_NS = 10 * MILLISECOND
KEY_STEP = 7919  # a prime: keys spread over the endpoints


class Simulated:
    """One process of a state of the program, on the simulator's wire."""

    def __init__(self, root: Path, endpoints: int) -> None:
        command: str = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["sim"]
        self.process = subprocess.Popen(
            ["sh", "-c", command.replace(DEPLOY_PYTHON, shlex.quote(sys.executable))],
            cwd=root,
            env={**os.environ, "OPENBLAS_NUM_THREADS": "1"},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.now_ns = SECOND
        self.requests = 0
        scenario = Scenario("cost", 1, services=(service("feed"),), balancers=4, allowed={"probing": False})
        entries = [
            Endpoint(struct.pack(">IH", 10 << 24 | number, 31144), number % 3, 0, number % 5, 1.0).entry()
            for number in range(endpoints)
        ]
        self.exchange([on(0), create(1, scenario.settings_of(0)), membership(FULL_LIST, 1, entries)])

    def exchange(self, records: Sequence[bytes]) -> bytes:
        """Send one frame and read its reply."""
        assert self.process.stdin is not None and self.process.stdout is not None
        self.now_ns += STEP_NS
        self.process.stdin.write(frame(self.now_ns, records))
        self.process.stdin.flush()
        size = self.process.stdout.read(4)
        return size + self.process.stdout.read(int.from_bytes(size, "big") - 4)

    def booked_ns(self) -> int:
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0])

    def decide(self, count: int) -> float:
        """Microseconds of processor time for a request, placed and established."""
        began = self.booked_ns()
        for _ in range(count):
            self.requests += 1
            request = Request(
                id=self.requests,
                instance=0,
                service=0,
                group=0,
                key=self.requests * KEY_STEP,
                hint_ns=0,
                flags=0,
                budget_ns=SECOND,
            )
            reply = self.exchange([on(0), inbound(request)])
            for _, name, fields in actions(reply):
                if name == "submit":
                    request_id, _, address = fields
                    self.exchange([on(0), begun(request_id, 20 * MILLISECOND, 0, address)])
        return (self.booked_ns() - began) / count / 1e3


def main() -> int:
    """Print the median cost of both states for each size, and their ratio."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--against", default="HEAD", help="a commit; default HEAD, against the work tree")
    parser.add_argument("--decisions", type=int, default=400, help="in each round")
    parser.add_argument("--rounds", type=int, default=9)
    chosen = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        before = Path(folder)
        archive = subprocess.run(
            ["git", "archive", chosen.against, "linnetshift", "deploy"],
            cwd=ROOT,
            capture_output=True,
            check=True,
        )
        subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
        for size in SIZES:
            states = {"before": Simulated(before, size), "after": Simulated(ROOT, size)}
            costs: dict[str, list[float]] = {name: [] for name in states}
            for at in range(chosen.rounds + 1):
                for name in sorted(states, reverse=bool(at % 2)):
                    cost = states[name].decide(chosen.decisions)
                    if at:  # the first round warms both up
                        costs[name].append(cost)
            for state in states.values():
                state.process.kill()
                state.process.wait()
            ratios = [a / b for a, b in zip(costs["after"], costs["before"], strict=True)]
            medians = "  ".join(f"{name} {statistics.median(seen):.1f} us" for name, seen in costs.items())
            print(f"{size} endpoints: {medians}  after over before, median {statistics.median(ratios):.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
