"""Case 7: one spoilt LOAD line, and after an upgrade two processes act; one breaks an operator's ban."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
from pathlib import Path
from typing import Any

from parts2 import (
    BROKEN,
    HELD,
    CannotRunError,
    Case,
    Connection,
    Discovery,
    Proxy,
    S,
    Server,
    StandingClient,
    main,
    request,
)

from rig.base_settings import changed_settings

STANDING = 16  # clients with a connection from the beginning
GRACE_S = 1.0 + 0.05  # rules.drainGraceNs, and the 50 ms by which each limit on sockets is longer
MAX_LATENESS_S = 0.05  # by which these stand-ins may be late themselves
SIGTERM_AFTER_S = 5.0  # after the new process has said yes; the pages: within 6 s
SIGKILL_AFTER_S = 3.7  # after SIGTERM: the longest deadline, counted as 3 s if longer, and 0.7 s


def settings() -> dict[str, Any]:
    """Discovery is asked; servers tell a connection's load."""
    return changed_settings(
        {
            "balancers": 3,
            "discovery": "ask",
            "zones": ["a"],
            "models": ["m"],
            "familyInfo": {"tellsLoad": True},
            "rules": {"mustAskInNs": 10 * S, "drainGraceNs": 1 * S},
        }
    )


async def send_requests(case: Case, proxy: Proxy) -> None:
    """Clients that come, are up and leave, until this is cancelled."""
    draw = random.Random(7)
    running: set[asyncio.Task[None]] = set()

    async def one() -> None:
        _, _, _, writer = await request(case, proxy, "c=feed", draw.getrandbits(63), 2000)
        if writer is not None:
            writer.close()

    while True:
        task = asyncio.create_task(one())
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(0.04)


async def is_ready(proxy: Proxy) -> None:
    """Wait until a process says yes."""
    for _ in range(300):
        if await proxy.call("GET", "/ops/readiness") == 200:
            return
        await asyncio.sleep(0.05)
    raise CannotRunError(f"{proxy.name} does not get ready: {proxy.log()[-300:]}")


async def play(case: Case) -> int:
    """An upgrade under load; after the new process's yes, a server is taken out there."""

    async def tell_load(server: Server, connection: Connection) -> None:
        is_spoilt = case.has_trouble and server.uid == "s-1"
        connection.send(f"UP {server.uid}-{connection.id}".encode())
        connection.send(b"LOAD -1" if is_spoilt else b"LOAD 12000.5")
        while line := await connection.reader.readline():
            connection.writer.write(line)

    discovery = Discovery(case)
    servers = [Server(case, f"s-{number}", "a", tell_load) for number in range(4)]
    for server in servers:
        await server.start()
        discovery.put(**server.entry())
    await discovery.start()
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    config = case.config(settings(), discovery)
    config["listen"] = f"127.0.0.1:{listener.getsockname()[1]}"
    old = case.proxy("old", config, listener=listener)
    await old.start()
    await is_ready(old)
    draw = random.Random(5)
    standing = [StandingClient(case, old, "c=feed", draw.getrandbits(63), 2000) for _ in range(STANDING)]
    tasks = [asyncio.create_task(client.run()) for client in standing]
    await asyncio.sleep(1.5)

    new = case.proxy("new", config, replaced=old, listener=listener)
    await new.start(is_awaited=False)
    await is_ready(new)
    yes = case.record.now()
    case.record.note("the new process says yes")
    tasks.append(asyncio.create_task(send_requests(case, new)))
    await asyncio.sleep(1)
    statuses = [await process.call("GET", "/ops/readiness") for process in (old, new)]
    case.record.note(f"readiness 1 s later: old {statuses[0]}, new {statuses[1]}")
    status = await new.call("PUT", "/ops/servers/down?id=s-0")
    banned = case.record.now()
    case.record.note(f"s-0 is taken out at the new process: {status}")
    if status != 200:
        raise CannotRunError("the ban was not taken")
    await asyncio.sleep(yes + SIGTERM_AFTER_S - case.record.now())
    if old.is_running():
        old.send_signal(signal.SIGTERM)
    await asyncio.sleep(SIGKILL_AFTER_S)
    await old.kill()
    for task in tasks:
        task.cancel()
    late = [c for c in servers[0].got if c.arrived > banned + GRACE_S + MAX_LATENESS_S]
    for connection in late:
        after_s = connection.arrived - banned
        case.record.note(f"late: {connection.id} at s-0, {after_s:.3f} s after the yes to its ban")
    sends = sum(c.arrived > banned for server in servers for c in server.got)
    if sends < 40 or not new.is_running():
        raise CannotRunError(f"{sends} requests sent: {new.log()[-300:]}")
    case.record.note(f"{sends} requests sent after the ban, {len(late)} of them too late to s-0")
    return BROKEN if late else HELD


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
