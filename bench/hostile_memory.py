"""Memory after so many hostile connections on each frontend, as a table.

Run from the repository's root: .venv/bin/python bench/hostile_memory.py [--collector off] [--program DIR]
Each frontend gets a program of its own. The collector is the program's cyclic garbage collector: with it off,
what counting references does not free stays, and shows. `--program` measures another checkout.
"""

from __future__ import annotations

import argparse
import random
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from proxy import proxy, uncollected  # noqa: E402

from rig.crowd import Input, play  # noqa: E402

STEPS = (1_500, 5_000, 15_000)
OWN = '[channels]\nenabled = true\nlisten = "127.0.0.1:PORT"\n'
# A session may stay silent once it has identified itself: only whoever lets go at once can be counted.
ENDINGS = {"platform": ("wait", "half", "fin", "reset"), "channels": ("half", "fin", "reset")}


def garbage(rng: random.Random, port: int, front: str) -> Input:
    """Seeded bytes; on the channels frontend half of them come after a good identification."""
    body = rng.randbytes(rng.randrange(1, 400))
    if front == "channels" and rng.random() < 0.5:
        body = b"SSH-2.0-x\r\n" + body
    elif rng.random() < 0.5:
        body += b"\r\n"
    return Input(port, (body,), rng.choice(ENDINGS[front]))  # type: ignore[arg-type]


def measure(front: str, seed: int, steps: tuple[int, ...], **how: object) -> Iterator[tuple[int, float, int]]:
    """(connections so far, MiB resident, descriptors) at the start and after each step."""
    rng, played = random.Random(seed), 0
    with tempfile.TemporaryDirectory() as folder, proxy(Path(folder), own=OWN, **how) as running:  # type: ignore[arg-type]
        port = running.extra_port if front == "channels" else running.port
        yield 0, running.resident_mib(), running.descriptors()
        for step in steps:
            wanted = (garbage(rng, port, front) for _ in range(step - played))
            for result in play(wanted, at_once=200, limit_s=6.0):
                if result.ended in ("late", "refused"):
                    raise SystemExit(f"{front}: {result.ended} after {result.seconds:.1f} s: {result.input}")
            played = step
            assert running.alive()
            yield played, running.resident_mib(), running.descriptors()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--collector", choices=("on", "off"), default="on")
    parser.add_argument("--program", type=Path, default=ROOT)
    parser.add_argument("--steps", type=int, nargs="+", default=list(STEPS))
    asked = parser.parse_args()
    how: dict[str, object] = {"program": asked.program}
    if asked.collector == "off":
        how["command"] = uncollected()
    print(f"| front (collector {asked.collector}) | connections | MiB | descriptors |")
    print("| --- | --- | --- | --- |")
    for front in ("platform", "channels"):
        for played, mib, descriptors in measure(front, asked.seed, tuple(asked.steps), **how):
            print(f"| {front} | {played:,} | {mib:.1f} | {descriptors} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
