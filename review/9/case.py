"""Case 9: in a fleet of 3,200 servers, a proxy whose discovery moves can't read the indented whole list."""

from __future__ import annotations

import asyncio
import random
import resource
import signal
from pathlib import Path
from typing import Any

from parts2 import BROKEN, HELD, CannotRunError, Case, Discovery, S, Server, StandingClient, main, request

from rig.base_settings import changed_settings

SERVERS = 3200  # the most that the pages name
INDENT = 4  # "Lists may come indented."
TOLD_AFTER_S = 6.0
GRACE_S = 1.0 + 0.05  # rules.drainGraceNs, and the 50 ms by which each limit on sockets is longer
MAX_LATENESS_S = 0.1  # by which these stand-ins may be late themselves
ZONES = ["inverness-data-centre", "tayside-data-centre"]
STANDING = 60  # clients with a connection from the beginning
STOPS_AFTER_S = 15.0  # after they began to drain, the servers leave
KINDS = ["gateway-large-2025", "gateway-medium-2025", "gateway-small-2025"]


def settings() -> dict[str, Any]:
    """Discovery is asked; the figures of the first deployment."""
    return changed_settings(
        {
            "balancers": 3,
            "discovery": "ask",
            "zones": ZONES,
            "models": KINDS,
            "rules": {"mustAskInNs": 10 * S, "drainGraceNs": 1 * S},
        }
    )


def raise_descriptor_limit() -> None:
    """Each server of the list has a listener here; the limit of this process is raised as far as it may."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = SERVERS + 1000
    if hard != resource.RLIM_INFINITY and hard < wanted:
        raise CannotRunError(f"{hard} descriptors, {wanted} are needed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


async def start_servers(case: Case, discovery: Discovery) -> list[Server]:
    """All servers, listed in the form of the pages."""
    draw = random.Random(8)
    servers = []
    for number in range(SERVERS):
        server = Server(case, f"s-{draw.getrandbits(32):08x}", ZONES[number % 2])
        await server.start()
        servers.append(server)
        entry = {
            "model": KINDS[number % 3],
            "pod_group": number // 4,
            "capacity_hint": draw.uniform(0.7, 2.3),
            "boot_ms": 1_790_000_000_000 + draw.randrange(10**9),
        }
        discovery.put(**server.entry(**entry))
    return servers


async def play(case: Case) -> int:
    """A new configuration moves discovery; later a quarter of the servers begin to drain, and serve on."""
    raise_descriptor_limit()
    former = Discovery(case, "first discovery", INDENT)
    servers = await start_servers(case, former)
    await former.start()
    new = Discovery(case, "second discovery", INDENT)
    new.entries, new.changed_at = former.entries, former.changed_at
    await new.start()
    proxy = case.proxy("n1", case.config(settings(), former))
    await proxy.start()
    await asyncio.sleep(1)
    draw = random.Random(9)
    clients = [StandingClient(case, proxy, "c=feed", draw.getrandbits(63), 2000) for _ in range(STANDING)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(2)
    in_use = former
    if case.has_trouble:
        in_use = new
        proxy.write_config({**proxy.config, "discovery": new.address})
        proxy.send_signal(signal.SIGHUP)
        assert former.server is not None
        former.server.close()
        await asyncio.sleep(1.5)
        for writer in list(former.writers):
            writer.transport.abort()
    await asyncio.sleep(6)
    draining = servers[::4]
    for server in draining:
        server.is_draining = True
    await in_use.change([server.uid for server in draining], state="DRAINING")
    told_by = case.record.now() + TOLD_AFTER_S
    await asyncio.sleep(TOLD_AFTER_S + GRACE_S + MAX_LATENESS_S)
    began = told_by - TOLD_AFTER_S
    last = told_by + GRACE_S + MAX_LATENESS_S
    for _ in range(60):
        _, _, _, writer = await request(case, proxy, "c=feed", draw.getrandbits(63), 2000)
        if writer is not None:
            writer.close()
        await asyncio.sleep(0.05)
    await asyncio.sleep(began + STOPS_AFTER_S - case.record.now())
    for server in draining:
        server.stop()
    await asyncio.sleep(3)
    cut = [client for client in clients if client.end.startswith("cut off")]
    moved = sum(client.end == "MOVE" for client in clients)
    for task in tasks:
        task.cancel()
    case.record.note(
        f"{STANDING} standing clients: {moved} told to move, {len(cut)} cut off as their server left"
    )
    late = [(c.arrived, s.uid, c.id) for s in draining for c in s.got if c.arrived > last]
    for arrived, uid, request_id in sorted(late):
        case.record.note(f"late: {request_id} at draining {uid}, {arrived - told_by:.3f} s after it was told")
    sends = sum(len(server.got) for server in servers)
    if sends < STANDING or not proxy.is_running():
        raise CannotRunError(f"{sends} requests reached a server: {proxy.log()[-300:]}")
    case.record.note(
        f"told at {told_by:.3f} at the latest; {sends} sent, {len(late)} too late at draining servers"
    )
    return BROKEN if late or cut else HELD


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
