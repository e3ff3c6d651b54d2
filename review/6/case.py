"""Case 6: a broken configuration that lacks `group` of a class is taken, and work is applied twice."""

from __future__ import annotations

import asyncio
import copy
import signal
from collections import Counter
from pathlib import Path
from typing import Any

from parts2 import BROKEN, HELD, MS, CannotRunError, Case, Connection, Discovery, S, Server, main, request

from rig.base_settings import changed_settings

REQUESTS = 60
INTERVAL_S = 0.1
ERROR_ONE_IN = 3


def settings() -> dict[str, Any]:
    """One class whose repeats are thrown away within a zone; two zones, three proxies."""
    raw = changed_settings({"discovery": "ask", "balancers": 3, "zones": ["a", "b"], "models": ["m"]})
    raw["services"] = [
        {
            "name": "plan-set",
            "aimNs": 500 * MS,
            "hardLimitNs": 3 * S,
            "effect": "by_key",
            "group": "zone",
            "windowNs": 5 * S,
            "worth": 5.0,
        }
    ]
    raw["allowed"]["maxAttempts"] = 6
    return raw


async def play(case: Case) -> int:
    """Send requests; one in three servers' answers is ERR after the work was applied, as the pages allow."""
    applied: dict[str, list[str]] = {}  # zones in which the work of an id was applied
    attempts: Counter[str] = Counter()

    async def apply(server: Server, connection: Connection) -> None:
        attempts[connection.id] += 1
        zones = applied.setdefault(connection.id, [])
        if server.zone in zones:
            case.record.note(f"server {server.uid} throws away the repeat of {connection.id}")
        else:
            zones.append(server.zone)
            case.record.note(f"server {server.uid} applied {connection.id} in zone {server.zone}")
        if attempts[connection.id] == 1 and int(connection.id, 16) % ERROR_ONE_IN == 0:
            connection.send(b"ERR")
            return
        connection.send(f"UP {server.uid}-{connection.id}".encode())
        await connection.reader.read()

    discovery = Discovery(case)
    for uid in ("s-a1", "s-a2", "s-b1", "s-b2"):
        server = Server(case, uid, uid[2], apply)
        await server.start()
        discovery.put(**server.entry())
    await discovery.start()
    proxy = case.proxy("n1", case.config(settings(), discovery))
    await proxy.start()
    await asyncio.sleep(1.5)
    config = copy.deepcopy(proxy.config)
    if case.has_trouble:
        del config["settings"]["services"][0]["group"]
        case.record.note("the file lacks settings.services[0].group")
    proxy.write_config(config)
    proxy.send_signal(signal.SIGHUP)
    await asyncio.sleep(1.5)

    for number in range(REQUESTS):
        _, _, _, writer = await request(case, proxy, "c=plan-set", 0x1234567 * (number + 1), 3000)
        if writer is not None:
            writer.close()
        await asyncio.sleep(INTERVAL_S)
    await asyncio.sleep(0.5)
    twice = [request_id for request_id, zones in applied.items() if len(zones) > 1]
    for request_id in twice:
        case.record.note(f"applied twice: {request_id} in zones {applied[request_id]}")
    if len(applied) < REQUESTS // 2 or not proxy.is_running():
        raise CannotRunError(f"{len(applied)} requests run: {proxy.log()[-300:]}")
    case.record.note(f"{len(applied)} requests run, {len(twice)} applied in two zones")
    return BROKEN if twice else HELD


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
