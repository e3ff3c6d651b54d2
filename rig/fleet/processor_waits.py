"""How long processes were runnable and waited for a processor, from the kernel's scheduler statistics.

The figures tell whether a node that answered late on a busy machine was kept from running, or ran and did
something else.
"""

from __future__ import annotations

import contextlib
from bisect import bisect_left, bisect_right
from pathlib import Path
from typing import NamedTuple

NS_PER_S = 1e9


class Sample(NamedTuple):
    """Total wait of the sampled processes up to a time of the run; both in seconds."""

    at_s: float
    waited_s: float


class ProcessorWaits:
    """Samples of successive processes in one role, such as those of a node."""

    def __init__(self) -> None:
        self.samples: list[Sample] = []
        self._pid = 0
        self._offset_s = 0.0

    def sample(self, pid: int, at_s: float) -> None:
        """Sample the total wait of a process; a process that has ended gives no sample."""
        with contextlib.suppress(OSError, IndexError):
            total_s = int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / NS_PER_S
            if pid != self._pid:
                self._pid = pid
                self._offset_s = (self.samples[-1].waited_s if self.samples else 0.0) - total_s
            self.samples.append(Sample(at_s, self._offset_s + total_s))

    def share(self) -> float:
        """Share of the sampled time that was spent waiting."""
        if not self.samples:
            return 0.0
        first, last = self.samples[0], self.samples[-1]
        duration_s = last.at_s - first.at_s
        return (last.waited_s - first.waited_s) / duration_s if duration_s else 0.0

    def waited_s(self, since_s: float, until_s: float) -> float:
        """Wait between two times, in seconds; rounded out by up to one sample interval at each end."""
        if not self.samples or until_s <= since_s:
            return 0.0
        times = [sample.at_s for sample in self.samples]
        first = self.samples[max(0, bisect_right(times, since_s) - 1)]
        last = self.samples[min(len(times) - 1, bisect_left(times, until_s))]
        return max(0.0, last.waited_s - first.waited_s)
