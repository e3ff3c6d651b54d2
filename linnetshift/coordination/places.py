"""Where a group is to stand: the same for all nodes, as far as they have met the same groups.

Every host that holds any of a group pays for it, so a group should stand at few hosts, and no host should be
given more than it bears. A node sees a two-hundredth of the traffic, but what it sees it sees by size: the
groups that matter are those that it meets. It reckons with all that it has met, each at its estimated size,
and lets them fill the hosts in the order of their rankings, the largest group first, each host up to a bound:
rendezvous hashing with bounded loads. Nodes that have met the same large groups come to much the same places.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

import numpy as np
import numpy.typing as npt

from linnetshift.coordination.rendezvous import in_order, mix64

# Arrivals by which a node judges the groups' sizes: a share s of them is known to about sqrt(s / MET).
MET = 256
# A group that was met once among few has not that share. So many arrivals of groups never met are taken to
# have come by too: with sizes like 1, 1/2, 1/3 ... of some 25 groups, whoever comes by is of a group of an
# eighth of all on the mean, which is 1 / (1 + DOUBT) at the first arrival.
DOUBT = 8.0
# Up to this share of what it bears a host is given groups. Over nine tenths it serves next to nothing; the
# rest is for what the estimates miss: of 0.6 and 0.8, reckoned in a model, 0.6 served more at most sizes.
FILL = 0.6
# Connections that a group costs each host where it stands, the bound's reckoning aside.
GROUP_COST = 4.0
# A host with less room than this share of what a group costs is no place for it.
LEAST_ROOM = 0.5
# Connections at each proxy are taken to scatter like a Gamma distribution of this shape round what is usual:
# some proxies see several times the mean, so a count of three says little of two hundred proxies.
SHAPE = 2.0
# The share of what all hosts bear that connections usually take, on a day that is not the busiest.
USUAL = 0.3
# So many connections' loads, as reckoned from the quotas, are weighed beside those that were told here.
PRIOR = 4.0
AGAIN_NS = 1_000_000_000  # so old may a plan be


class Hosts(NamedTuple):
    """The listed hosts, in one order: cores that each has by now (0: may get nothing), its rank for keys."""

    fit: Sequence[float]
    hashes: npt.NDArray[np.uint64]
    reciprocal: npt.NDArray[np.float64]

    def ranking(self, group: int) -> list[int]:
        return in_order(mix64(group), self.hashes, self.reciprocal)


class Fleet(NamedTuple):
    """What a node knows of all nodes together."""

    own: int  # connections through this one
    proxies: int  # nodes, itself included
    quota: float  # connections that all hosts bear, where the settings tell; else 0


class Place(NamedTuple):
    host: int  # its place in the list of hosts
    part: float  # connections that are to stand there


def fleet_total(own: float, proxies: int, usual: float) -> float:
    """Connections of all proxies, from one's own and from what is usual for the whole fleet.

    The mean of a Gamma distribution of the shape SHAPE round the usual count of one proxy, after a count of
    `own`: few connections leave it near the usual, many overrule it.
    """
    return proxies * (own + SHAPE) / (1.0 + SHAPE * proxies / usual) if usual > 0.0 else own * proxies


def load_of_one(told: Sequence[float], quota: float, size: float) -> float:
    """Cores that a connection takes: `told` ones, and `size` cores over the `quota` of connections they bear.

    0 where neither is known.
    """
    weight = PRIOR if quota > 0.0 else 0.0
    known = len(told) + weight
    return (sum(told) + (weight * size / quota if weight else 0.0)) / known if known else 0.0


def spread(
    sizes: Iterable[tuple[int, float]],
    rooms: Sequence[float],
    ranking: Callable[[int], Sequence[int]],
    cost: float,
) -> dict[int, list[Place]]:
    """The places of each group: hosts in the order of its ranking, each filled up to its room.

    `sizes`, `rooms` and `cost` are in connections. A group that finds no room at all is left out, since all
    hosts are alike to it.
    """
    left = list(rooms)
    places: dict[int, list[Place]] = {}
    for group, need in sizes:
        for host in ranking(group):
            room = left[host] - cost
            if room <= cost * LEAST_ROOM:
                continue
            part = min(room, need)
            places.setdefault(group, []).append(Place(host, part))
            left[host] -= part + cost
            need -= part
            if need <= 0.0:
                break
    return places


class Places:
    """What one node has met of the groups, and where it would have them stand."""

    def __init__(self) -> None:
        self.met: deque[int] = deque()
        self.counts: Counter[int] = Counter()
        self.plan: dict[int, list[Place]] = {}
        self.made_for: object = None
        self.made_at = 0

    def meet(self, group: int) -> None:
        """A connection of that group came by; 0 is none."""
        if not group:
            return
        if len(self.met) == MET:
            oldest = self.met.popleft()
            self.counts[oldest] -= 1
            if not self.counts[oldest]:
                del self.counts[oldest]
        self.met.append(group)
        self.counts[group] += 1

    def sizes(self, total: float) -> list[tuple[int, float]]:
        """All groups met, largest first, with their part of `total` connections; ties by number."""
        each = total / (len(self.met) + DOUBT)
        ordered = sorted(self.counts.items(), key=lambda known: (-known[1], known[0]))
        return [(group, count * each) for group, count in ordered]

    def due(self, group: int, ranked: object, now: int) -> bool:
        """Whether the plan has to be made anew: for other hosts, for a new group, or since it is old."""
        return self.made_for is not ranked or now >= self.made_at + AGAIN_NS or group not in self.plan

    def make(self, ranked: object, now: int, hosts: Hosts, told: Sequence[float], fleet: Fleet) -> None:
        """`told`: cores that connections here take, as far as they were told; `ranked` tells lists apart."""
        self.made_for, self.made_at, self.plan = ranked, now, {}
        if one := load_of_one(told, fleet.quota, sum(hosts.fit)):
            borne = [size / one for size in hosts.fit]
            total = fleet_total(fleet.own, fleet.proxies, USUAL * sum(borne))
            rooms = [FILL * room for room in borne]
            self.plan = spread(self.sizes(total), rooms, hosts.ranking, GROUP_COST)

    def order(self, group: int, draw: float) -> list[int]:
        """The group's places, first the one that a client with that draw (0 to 1, its own) is to stand at."""
        places = self.plan.get(group, [])
        at = draw * sum(place.part for place in places)
        for first in places:
            at -= first.part
            if at < 0.0:
                return [first.host, *(place.host for place in places if place is not first)]
        return [place.host for place in places]
