"""What many nodes do that is harmless alone: at 40 nodes, and at 2 so that the small fleet loses nothing."""

from __future__ import annotations

import pytest
from conftest import MS, S, entry, host
from fleet import Fleet

HOSTS = tuple(entry(n) for n in range(8))
PROBING = {"probing": True}


def standing_at(fleet: Fleet, where: bytes) -> int:
    return sum(len(node.hosts[where].standing) for node in fleet.nodes)


@pytest.mark.parametrize("nodes", [2, 40])
def test_a_node_that_meets_a_host_seldom_asks_before_it_places_there(nodes: int) -> None:
    # 40 nodes with a connection or two each went on sending to a provider that no message left in time.
    fleet = Fleet(nodes, HOSTS, allowed=PROBING)
    fleet.waits[host(3)] = 150 * MS
    for n in range(80):
        fleet.ask(n % nodes, key=n + 1)
        fleet.run(fleet.now + 20 * MS)
    fleet.run(fleet.now + 2 * S)
    jammed = [at for at, _, _, where in fleet.sends if where == host(3)]
    assert not fleet.answers and len(fleet.sends) == 80
    if nodes == 40:
        assert not jammed and len({where for _, _, where in fleet.probes}) == 8
    else:
        # Who has more connections than there are hosts hears from most of them and asks no more.
        assert len(fleet.probes) < 40 and len(fleet.probes) <= sum(at < 2 * S for at, _, _ in fleet.probes)
