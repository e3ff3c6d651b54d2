"""Measures what a whole endpoint list costs: processor time in one turn, and peak memory.

    python bench/list_cost.py [--rounds N]

Prints a row for each size and form. The time is the fastest of the rounds; memory is what Python allocates
while the body is decoded and parsed, without the body itself.
"""

from __future__ import annotations

import argparse
import json
import time
import tracemalloc
from typing import Any

from rich.console import Console
from rich.table import Table

from linnetshift.endpoint_list.document import MAX_ENTRIES, MAX_FLEET_ENDPOINTS, decode_list
from linnetshift.endpoint_list.names import NameRegistry
from linnetshift.endpoint_list.parsing import parse_endpoint_list
from linnetshift.routing.settings import Settings
from rig.base_settings import changed_settings

SIZES = (MAX_FLEET_ENDPOINTS, MAX_ENTRIES)
NAME = "gateway-medium-dundee"  # of a zone and of a kind
OTHER_KEYS = 12
FORMS: dict[str, tuple[int | None, int]] = {
    "compact": (None, 0),
    "4 blanks a level": (4, 0),
    "8 blanks, 12 other keys": (8, OTHER_KEYS),
}
"""Blanks for each level, and the number of other keys in each entry, by the form's name."""


def encode_list(entries: int, indent: int | None, other_keys: int) -> bytes:
    """A list in the form of the pages, with `other_keys` more in each entry."""
    others = {f"other-key-{number:06}": number / 7 for number in range(other_keys)}
    targets = [
        {
            "uid": f"s-{number:08x}",
            "endpoint": f"10.1.{number % 250}.{number // 250}:8000",
            "az": NAME,
            "model": NAME,
            "pod_group": number // 4,
            "state": "SERVING",
            "capacity_hint": 1.0 + number / 7,
            "boot_ms": 1_790_000_000_000 + number,
            **others,
        }
        for number in range(entries)
    ]
    return json.dumps({"rev": 41, "all": True, "targets": targets}, indent=indent).encode()


def fastest_ms(body: bytes, names: NameRegistry, rounds: int) -> float:
    """Processor time of decoding and parsing, in milliseconds."""
    times = []
    for _ in range(rounds):
        began_s = time.process_time()
        parse_endpoint_list(decode_list(body), names)
        times.append(time.process_time() - began_s)
    return 1000 * min(times)


def peak_bytes(body: bytes, names: NameRegistry) -> int:
    """The most that was allocated at once while decoding and parsing."""
    tracemalloc.start()
    parse_endpoint_list(decode_list(body), names)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=5)
    rounds = parser.parse_args().rounds
    raw: dict[str, Any] = changed_settings({"zones": [NAME], "models": [NAME]})
    names = NameRegistry(raw, Settings.parse(raw))
    table = Table("endpoints", "form", "bytes", "ms", "peak KiB")
    for entries in SIZES:
        for form, (indent, other_keys) in FORMS.items():
            body = encode_list(entries, indent, other_keys)
            cells = (entries, form, len(body), f"{fastest_ms(body, names, rounds):.1f}")
            table.add_row(*map(str, cells), str(peak_bytes(body, names) // 1024))
    Console(width=100).print(table)


if __name__ == "__main__":
    main()
