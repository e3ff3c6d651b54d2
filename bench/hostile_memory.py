"""Table of the program's memory after given numbers of hostile connections on each frontend.

Run from the repository's root: .venv/bin/python bench/hostile_memory.py [--collector off] [--program DIR]
Each frontend is measured in a separate process. The collector is the program's cyclic garbage collector: with
it off, memory that reference counting does not free stays, and is measured. `--program` measures another
checkout.
"""

from __future__ import annotations

import argparse
import random
import sys
import tempfile
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from proxy_harness import command_without_collector, started_proxy  # noqa: E402

from rig.connection_load import ConnectionEnd, Ending, PeerInput, run_connections  # noqa: E402

STEPS = (1_500, 5_000, 15_000)
"""Numbers of connections after which to measure."""

BROKER_FILE = '[channels]\nenabled = true\nlisten = "127.0.0.1:PORT"\n'
"""Broker file that enables the channels frontend."""

ENDINGS: dict[str, tuple[Ending, ...]] = {
    "platform": ("wait", "half", "fin", "reset"),
    "channels": ("half", "fin", "reset"),
}
"""How peers end, by frontend. None waits on channels, where an identified session may stay silent."""

MAX_OPEN = 200
"""Maximum number of connections open at once."""

CONNECTION_LIMIT_S = 6.0
"""Time limit of a connection."""


class Measurement(NamedTuple):
    """Memory and descriptors of the program after this many connections."""

    connections: int
    resident_mib: float
    descriptors: int


def random_input(rng: random.Random, port: int, frontend: str) -> PeerInput:
    """Random bytes; half of the inputs to the channels frontend begin with a valid identification."""
    data = rng.randbytes(rng.randrange(1, 400))
    if frontend == "channels" and rng.random() < 0.5:
        data = b"SSH-2.0-x\r\n" + data
    elif rng.random() < 0.5:
        data += b"\r\n"
    return PeerInput(port, (data,), rng.choice(ENDINGS[frontend]))


def measure(frontend: str, seed: int, steps: Sequence[int], **start_options: object) -> Iterator[Measurement]:
    """Measure a new process at its start and after each step; `start_options` are for `started_proxy`."""
    rng = random.Random(seed)
    total = 0
    with (
        tempfile.TemporaryDirectory() as folder,
        started_proxy(Path(folder), broker_toml=BROKER_FILE, **start_options) as running,  # type: ignore[arg-type]
    ):
        port = running.channels_port if frontend == "channels" else running.port
        yield Measurement(0, running.resident_mib(), running.descriptors())
        for step in steps:
            inputs = (random_input(rng, port, frontend) for _ in range(step - total))
            for result in run_connections(inputs, max_open=MAX_OPEN, limit_s=CONNECTION_LIMIT_S):
                if result.ended in (ConnectionEnd.TIMED_OUT, ConnectionEnd.REFUSED):
                    duration = f"{result.duration_s:.1f} s"
                    raise SystemExit(f"{frontend}: {result.ended} after {duration}: {result.input}")
            total = step
            assert running.alive()
            yield Measurement(total, running.resident_mib(), running.descriptors())


def main() -> int:
    """Print the table; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--collector", choices=("on", "off"), default="on")
    parser.add_argument("--program", type=Path, default=ROOT)
    parser.add_argument("--steps", type=int, nargs="+", default=list(STEPS))
    options = parser.parse_args()
    start_options: dict[str, object] = {"program": options.program}
    if options.collector == "off":
        start_options["command"] = command_without_collector()
    print(f"| front (collector {options.collector}) | connections | MiB | descriptors |")
    print("| --- | --- | --- | --- |")
    for frontend in ("platform", "channels"):
        for measured in measure(frontend, options.seed, options.steps, **start_options):
            figures = f"{measured.connections:,} | {measured.resident_mib:.1f} | {measured.descriptors}"
            print(f"| {frontend} | {figures} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
