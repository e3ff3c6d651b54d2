"""Random faults on real processes, by seed: checks the observations of clients, endpoints and discovery.

Run from the repository's root: .venv/bin/python bench/fault_soak.py [--first 1] [--seeds 50] [--parallel 4]
For a seed that fails, its faults and violations are printed and its logs are kept; it can be run by itself.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from tempfile import mkdtemp

import msgspec

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT)]

from rig.fleet.random_scenario import draw_scenario  # noqa: E402
from rig.fleet.run import run_scenario  # noqa: E402


def run_seed(seed: int, failing_calls_per_mille: int) -> tuple[int, str]:
    """Run the scenario of a seed; returns the seed and a report of violations and crashes, empty if none."""
    scenario = msgspec.structs.replace(draw_scenario(seed), failing_calls_per_mille=failing_calls_per_mille)
    folder = Path(mkdtemp(prefix=f"soak-{seed}-"))
    report = run_scenario(scenario, folder)
    if not report.violations and not report.crashes:
        return seed, ""
    lines = [f"seed {seed}: {scenario.nodes} nodes, {scenario.lists}, logs in {folder}"]
    lines += [f"  {fault.at_s:6.2f} {fault}" for fault in scenario.faults]
    lines += [f"  BROKEN {line}" for line in report.explain().splitlines()]
    lines += [f"  CRASHED {crash}" for crash in report.crashes]
    return seed, "\n".join(lines)


def main() -> int:
    """Run the seeds and print those that failed; returns 1 if any did."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--parallel", type=int, default=4)
    parser.add_argument("--failing-calls", type=int, default=0, help="failing system calls per thousand")
    options = parser.parse_args()
    run_one = partial(run_seed, failing_calls_per_mille=options.failing_calls)
    failed = []
    with ProcessPoolExecutor(options.parallel) as pool:
        for seed, text in pool.map(run_one, range(options.first, options.first + options.seeds)):
            if text:
                failed.append(seed)
                print(text, flush=True)
    print(f"{options.seeds - len(failed)} of {options.seeds} seeds kept all rules; failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
