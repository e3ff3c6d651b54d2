"""Case 10: after an outage of discovery, proxies of a large fleet go on sending to servers that drain."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

from parts2 import BROKEN, HELD, Case, Discovery, Proxy, S, Server, main, request

from rig.base_settings import changed_settings

FLEET = 200  # proxies in the fleet, by the settings; some of them are started
QUIET_S = 12.0  # before the outage: the first watch has been answered
OUTAGE_S = 16.0
TOLD_AFTER_S = 6.0  # after discovery had the change and could be reached
GRACE_S = 1.0 + 0.05  # rules.drainGraceNs, and the 50 ms by which each limit on sockets is longer
MAX_LATENESS_S = 0.05  # by which these stand-ins may be late themselves
# The seeds give the back-offs. With 200 proxies at random seeds, some 4 are late after each outage; so that a
# few proxies are enough, these seeds are of such.
SEEDS = ("43c", "521", "b2c", "d1f", "da1", "f65")


def settings(number: int) -> dict[str, Any]:
    """Discovery is asked; the figures of the first deployment, in a fleet of 200 proxies."""
    return changed_settings(
        {
            "myNumber": number,
            "balancers": FLEET,
            "discovery": "ask",
            "zones": ["a"],
            "models": ["m"],
            "rules": {"mustAskInNs": 10 * S, "drainGraceNs": 1 * S},
        }
    )


async def send_requests(case: Case, proxies: list[Proxy], seconds: float) -> None:
    """A steady load on each proxy; each client leaves once it is up."""
    draw = random.Random(7)
    until = case.record.now() + seconds
    running: set[asyncio.Task[None]] = set()

    async def one(proxy: Proxy) -> None:
        _, _, _, writer = await request(case, proxy, "c=feed", draw.getrandbits(63), 2000)
        if writer is not None:
            writer.close()

    while case.record.now() < until:
        for proxy in proxies:
            task = asyncio.create_task(one(proxy))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.sleep(0.1)
    await asyncio.gather(*running)


async def play(case: Case) -> int:
    """Discovery is down for 16 s; as it returns, half of the servers drain, and serve on."""
    discovery = Discovery(case)
    servers = [Server(case, f"s-{number}") for number in range(6)]
    for server in servers:
        await server.start()
        discovery.put(**server.entry())
    await discovery.start()
    proxies = []
    for number, seed in enumerate(SEEDS):
        proxies.append(case.proxy(f"n{number}", case.config(settings(number), discovery, f"n{number}", seed)))
    await asyncio.gather(*(proxy.start() for proxy in proxies))
    await asyncio.sleep(QUIET_S)
    if case.has_trouble:
        discovery.stop()
    await asyncio.sleep(OUTAGE_S)
    if case.has_trouble:
        await discovery.start()
    draining = servers[:3]
    await discovery.change([server.uid for server in draining], state="DRAINING")
    told_by = case.record.now() + TOLD_AFTER_S
    await asyncio.sleep(3)
    await send_requests(case, proxies, 7)
    last = told_by + GRACE_S + MAX_LATENESS_S
    late = [(c.arrived, s.uid, c.id) for s in draining for c in s.got if c.arrived > last]
    for arrived, uid, request_id in sorted(late):
        case.record.note(f"late: {request_id} at draining {uid}, {arrived - told_by:.3f} s after it was told")
    sends = sum(len(server.got) for server in servers)
    case.record.note(
        f"told at {told_by:.3f} at the latest; {sends} sent, {len(late)} too late at draining servers"
    )
    return BROKEN if late else HELD


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
