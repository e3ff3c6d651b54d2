"""How long messages take at each endpoint: timed where replies tell, reckoned from told loads where not.

A slow endpoint may still return a line at once (seen on this platform: 777 replies, the longest after
2 ms, while endpoints missed a 50 ms aim), so the replies alone would never name it. What the
connections ask of it, over its size, does: time grows as 1 / (1 - load) towards the point where it is full.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from statistics import median
from typing import NamedTuple

from linnetshift.observability.resource_usage import ResourceUsage

SECOND = 1_000_000_000
KEPT_NS = 3 * SECOND // 2
MOST_SAMPLES = 64
MOST_ZONES = 256  # far zones whose distance is kept
# Every endpoint that holds any of a group pays so many mean connection loads for it.
GROUP_COST = 3.0
# An endpoint's weight is its size in standard cores, and it has two. A message's work on a standard core is
# told nowhere: 7 ms where it was measured, and no more than a part of the shortest aim, which is set with a
# view to it. Both are at the upper end: waiting for certainty costs more than an early step aside.
CORES = 2
MESSAGE_NS = 7_000_000
MESSAGE_PART = 0.14
FULLEST = 0.995
# An endpoint that drops standing connections has work piled up, which drains slowly and shows in no reply. So
# long it counts as slow, though short of late (40 ms, or a part of the aim): most of its peers may be fine.
SHED_NS = 10 * SECOND
SHED_AS_NS = 40_000_000
SHED_PART = 0.8
# Some endpoints tell their message time too, in a line of the same form as a connection's load: in
# milliseconds, once a second on one connection of each proxy while it is slow, and once more when it is not
# any longer. A usual connection asks a hundred times as much as the first figure in microseconds, so what is
# less is such a time. A larger one up to the second figure is one if it comes a second after a small figure.
SURELY_TIME = 500.0
MAYBE_TIME = 10_000.0
EVERY_NS = SECOND
GIVE_NS = 30_000_000
TOLD_NS = 2 * SECOND  # for how long a time that was told holds


# Heavy connections are the first to tell their load. Before half have told, their mean says nothing of the
# rest, which are taken as usual for this kind of endpoint: 11 to 21 fill a core.
TYPICAL = 70_000.0
MOSTLY_TOLD = 0.5
FEW = 4
# For how long a client that came from another proxy tells of that proxy: about a connection's life.
GUEST_NS = 30 * SECOND


class Standing(NamedTuple):
    """One connection at an endpoint."""

    load: float | None  # in microseconds of work a second, once told
    group: int
    oldest_unanswered_ns: int  # how long its oldest message without a reply has waited


class LatencyEstimator:
    def __init__(self) -> None:
        self.latency_objective_ns, self.slow_ns, self.proxies, self.sized = 0, 0, 1, True
        self.weights: dict[bytes, float] = {}
        self.samples: dict[bytes, deque[tuple[int, int]]] = {}
        self.nearest: dict[int, int] = {}  # the shortest time seen for each far zone: the way there and back
        self.guests, self.guests_at = 0.0, 0  # clients come from other proxies, less those gone to them
        self.share = 1.0  # of all connections, the proxies' together, over one's own
        self.slow: set[bytes] = set()
        self.elsewhere: dict[bytes, list[Standing]] = {}  # what this proxy's other process holds
        self.shed_at: dict[bytes, int] = {}
        self.small_at: dict[bytes, int] = {}  # when a figure that may be a time was last told
        self.told_times: dict[
            bytes, tuple[int, float]
        ] = {}  # when an endpoint told its message time, and that

    def configure(self, shortest_latency_objective_ns: int, proxies: int, sized: bool = True) -> None:
        """`sized`: the list's weights are sizes in standard cores, by which loads may be reckoned."""
        self.latency_objective_ns, self.slow_ns, self.proxies, self.sized = (
            shortest_latency_objective_ns,
            shortest_latency_objective_ns // 3,
            proxies,
            sized,
        )

    def dropped(self, endpoint: bytes, now: int) -> None:
        """It reset a connection that stood."""
        self.shed_at[endpoint] = now

    def tells_time(self, endpoint: bytes, value: float, now: int) -> bool:
        """Whether a figure that was told is the endpoint's message time and not a connection's load."""
        if value >= MAYBE_TIME:
            return False
        since, self.small_at[endpoint] = now - self.small_at.get(endpoint, 0), now
        if value >= SURELY_TIME and abs(since - EVERY_NS) > GIVE_NS:
            return False
        self.told_times[endpoint] = now, value * 1e6
        if value * 1e6 > self.slow_ns:
            self.slow.add(endpoint)
        return True

    def guest(self, came: bool, now: int) -> None:
        """A client came back after a break, or was sent away and will come back somewhere.

        Those that came and were not sent away here were another proxy's, which has so many fewer.
        """
        past = min(1.0, (now - self.guests_at) / GUEST_NS)
        self.guests, self.guests_at = self.guests * (1.0 - past) + (1.0 if came else -1.0), now

    def restarted(self, endpoint: bytes) -> None:
        """What was known of the old process says nothing of the new one."""
        for known in (self.shed_at, self.samples, self.small_at, self.told_times):
            known.pop(endpoint, None)

    def forget(self, endpoint: bytes) -> None:
        """Its name is known no longer."""
        self.restarted(endpoint)
        self.weights.pop(endpoint, None)
        self.slow.discard(endpoint)

    def resource_usage(self, names: int) -> dict[str, ResourceUsage]:
        """`names` is the most that may be known at once."""
        return {
            "gauge.weights": ResourceUsage(len(self.weights), names),
            "gauge.samples": ResourceUsage(len(self.samples), names),
            "gauge.shed_at": ResourceUsage(len(self.shed_at), names),
            "gauge.small_at": ResourceUsage(len(self.small_at), names),
            "gauge.told_times": ResourceUsage(len(self.told_times), names),
            "gauge.slow": ResourceUsage(len(self.slow), names),
            "gauge.nearest": ResourceUsage(len(self.nearest), MOST_ZONES),
        }

    def answered(self, endpoint: bytes, zone: int | None, elapsed_ns: int, now: int) -> None:
        """`zone` is given where the way there takes long; a note tells the time at the endpoint alone."""
        if zone is not None and (zone in self.nearest or len(self.nearest) < MOST_ZONES):
            least = self.nearest[zone] = min(self.nearest.get(zone, elapsed_ns), elapsed_ns)
            elapsed_ns -= least
        kept = self.samples.setdefault(endpoint, deque(maxlen=MOST_SAMPLES))
        kept.append((now, elapsed_ns))

    def review(self, standing: Mapping[bytes, list[Standing]], now: int) -> list[tuple[bytes, float]]:
        """Once a second: the endpoints to note and the milliseconds that a message takes there.

        A slow endpoint is noted as long as it is slow, and once more when it no longer is.
        """
        self.shed_at = {endpoint: at for endpoint, at in self.shed_at.items() if now - at < SHED_NS}
        everyone = (*standing.values(), *self.elsewhere.values())
        told = [one.load for held in everyone for one in held if one.load is not None]
        # A few that are told are weighed as if as many usual ones had been told beside.
        usual = (sum(told) + FEW * TYPICAL) / (len(told) + FEW) if told else 0.0
        own = sum(map(len, everyone))
        if len(told) < own * MOSTLY_TOLD:
            usual = min(usual, TYPICAL)
        # While another proxy is away its clients are here: taken twice, every endpoint would look full.
        here = 1.0 - self.guests * max(0.0, 1.0 - (now - self.guests_at) / GUEST_NS) / max(1, own)
        self.share = min(max(1.0, self.proxies * here), float(self.proxies))
        notes = []
        for endpoint, held in standing.items():
            took = max(self.timed(endpoint, held, now), self.reckoned(endpoint, held, usual))
            told_at, time = self.told_times.get(endpoint, (0, 0.0))
            if now - told_at < TOLD_NS:
                took = max(took, time)
            if endpoint in self.shed_at:
                took = max(took, min(SHED_AS_NS, SHED_PART * self.latency_objective_ns))
            if took > self.slow_ns:
                self.slow.add(endpoint)
            elif endpoint in self.slow:
                self.slow.discard(endpoint)
            else:
                continue
            notes.append((endpoint, took / 1e6))
        self.slow &= standing.keys()
        for known in (self.samples, self.small_at, self.told_times):
            for endpoint in known.keys() - standing.keys():
                del known[endpoint]
        return notes

    def timed(self, endpoint: bytes, held: Iterable[Standing], now: int) -> float:
        """By the replies of late, and by the messages that already wait longer than those took."""
        times = [elapsed for at, elapsed in self.samples.get(endpoint, ()) if at >= now - KEPT_NS]
        late = median(times) if times else 0
        # One that answers nothing is stalled or gone, which says nothing of how full the others are: it is
        # left like a slow one, but does not count as late before a reply does.
        most = int(min(SHED_AS_NS, SHED_PART * self.latency_objective_ns))
        times += [min(one.oldest_unanswered_ns, most) for one in held if one.oldest_unanswered_ns > late]
        return median(times) if times else 0.0

    def reckoned(self, endpoint: bytes, held: list[Standing], usual: float) -> float:
        """By the told loads, the other proxies' connections being taken as many as these.

        A live weight is a tenth of the size where ten connections fill a core: any endpoint would look full.
        """
        if not usual or not self.sized:
            return 0.0
        weight = self.weights.get(endpoint, 1.0)
        held = held + self.elsewhere.get(endpoint, [])
        loads = [usual if one.load is None else one.load for one in held]
        # So many as are here may be here by chance: a fortieth of the fleet has one heavy connection at a
        # endpoint, and forty of those would fill any. What up to one standard deviation less would be is
        # believed; where there are two proxies, or this one's share is all there is, what is here is.
        own, spread = sum(loads), math.sqrt(sum(load * load for load in loads))
        spread *= max(0.0, 1.0 - 2.0 / self.share)
        asked = own + max(0.0, own - spread) * (self.share - 1.0)
        asked += GROUP_COST * usual * len({one.group for one in held})
        fullness = min(asked / (weight * 1e6), FULLEST)
        return min(MESSAGE_NS, MESSAGE_PART * self.latency_objective_ns) * CORES / weight / (1.0 - fullness)
