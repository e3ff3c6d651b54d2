"""How long messages take at each provider, timed from a consumer's message to the reply."""

from __future__ import annotations

from collections import deque
from statistics import median

SECOND = 1_000_000_000
KEPT_NS = 3 * SECOND // 2
MOST_SAMPLES = 64


class MessageGauge:
    def __init__(self, shortest_aim_ns: int) -> None:
        self.slow_ns = shortest_aim_ns // 3
        self.samples: dict[bytes, deque[tuple[int, int]]] = {}
        self.nearest: dict[int, int] = {}  # the shortest time seen for each far zone: the way there and back
        self.slow: set[bytes] = set()

    def answered(self, provider: bytes, zone: int | None, elapsed_ns: int, now: int) -> None:
        """`zone` is given where the way there takes long; a note tells the time at the provider alone."""
        if zone is not None:
            least = self.nearest[zone] = min(self.nearest.get(zone, elapsed_ns), elapsed_ns)
            elapsed_ns -= least
        kept = self.samples.setdefault(provider, deque(maxlen=MOST_SAMPLES))
        kept.append((now, elapsed_ns))

    def review(self, waiting: dict[bytes, list[int]], now: int) -> list[tuple[bytes, float]]:
        """Once a second: the providers to note and the milliseconds that a message takes there.

        `waiting` holds how long messages without a reply have waited, by provider. A slow provider is
        noted as long as it is slow, and once more when it no longer is.
        """
        notes = []
        for provider, kept in list(self.samples.items()):
            while kept and kept[0][0] < now - KEPT_NS:
                kept.popleft()
            if not kept and provider not in waiting:
                del self.samples[provider]
        for provider in self.slow - waiting.keys():
            self.slow.discard(provider)
        for provider, ages in waiting.items():
            times = [elapsed for _, elapsed in self.samples.get(provider, ())]
            usual = median(times) if times else 0
            times += [age for age in ages if age > usual]
            took = median(times) if times else 0
            if took > self.slow_ns:
                self.slow.add(provider)
            elif provider in self.slow and times:
                self.slow.discard(provider)
            else:
                continue
            notes.append((provider, took / 1e6))
        return notes
