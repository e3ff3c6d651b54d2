"""How many set-ups one node may have out: what all nodes send to a shared store adds up, none sees the sum.

Additive increase, multiplicative decrease on what each set-up shows, as in congestion control: nodes that
share a bottleneck come to equal windows whose sum it bears, whatever their number.
"""

from __future__ import annotations

# Swift set-ups (half the aim) widen the window. Slow or failed ones, once they are more than JAMMED of the
# recent ones, narrow it by CUT, at most once in an aim.
START = 8.0
LEAST = 2.0
JAMMED = 0.3
CUT = 0.7
MEMORY = 0.1


class Window:
    def __init__(self) -> None:
        self.size = START
        self.failing = 0.0  # share of recent set-ups that failed or were slow
        self.cut_at = 0

    @property
    def jammed(self) -> bool:
        return self.failing >= JAMMED

    def count(self, now: int, latency_objective_ns: int, elapsed_ns: int, failed: bool, most: float) -> None:
        """One set-up ended. Slow everywhere (a shared store past its rate) is not cured by another endpoint.

        Without a window, returning clients and retries queue up behind work that nobody waits for.
        """
        slow = failed or elapsed_ns > latency_objective_ns
        self.failing += MEMORY * (slow - self.failing)
        if slow and self.failing > JAMMED and now >= self.cut_at + latency_objective_ns:
            self.size, self.cut_at = max(self.size * CUT, LEAST), now
        elif not slow and elapsed_ns < latency_objective_ns // 2:
            self.size += 1.0 / self.size if self.failing > JAMMED / 2 else 1.0
            self.size = min(self.size, most)
