"""Case 3: new configurations in a row; the first drops a class that a contract of the operator names."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    TROUBLE,
    Client,
    Discovery,
    Process,
    Proxy,
    Record,
    Server,
    check_all_served,
    run_case,
    service,
)

CONTRACTS = "".join(
    f'[[contract]]\nteam = "{team}"\nservices = ["status-watch", "plan-set"]\nrate_per_s = 50.0\n'
    for team in ("taymobile", "glenlink")
)
# A change counts as told at the latest 6 s after discovery had it and could be reached (what it has at SIGHUP
# 4 s after that); the grace of drains is 1 s; every limit is 50 ms longer on sockets, and a proxy may be held
# up for 0.15 s.
TOLD_S = 6.0
GRACE_S = 1.0 + 0.05 + 0.15
STATUS_WATCH = service("status-watch", 3)
PLAN_SET = service("plan-set", 5)
FEWER_ATTEMPTS = 3  # of 6


def reload(process: Process, discovery: Discovery, with_plan_set: bool, attempts: int) -> None:
    """Replace the configuration file and send SIGHUP."""
    services = [STATUS_WATCH, PLAN_SET] if with_plan_set else [STATUS_WATCH]
    names = " and ".join(str(item["name"]) for item in services)
    process.record.note(f"platform: new configuration: {names}, {attempts} attempts, at {discovery.address}")
    process.proxy.write_config(discovery, services=services, allowed={"maxAttempts": attempts})
    process.signal(signal.SIGHUP)


async def case(record: Record, folder: Path, proxies: list[Proxy]) -> None:
    """Two new configurations, 34 s apart; the second moves discovery, which then lists a drain."""
    servers = [Server(record, f"s-{number}") for number in range(3)]
    for server in servers:
        await server.start()
    former, discovery = Discovery(servers), Discovery(servers)
    await former.start()
    await discovery.start()
    proxy = Proxy(record, folder, "n1", "127.0.0.1")
    proxies.append(proxy)
    proxy.broker_toml = CONTRACTS
    proxy.write_config(former)
    process = await proxy.start()
    clients = [Client(record, f"c{number}", proxy, servers, number) for number in range(1, 9)]
    running = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(2.0)

    reload(process, former, with_plan_set=not TROUBLE, attempts=6)
    await asyncio.sleep(34.0)

    reload(process, discovery, with_plan_set=not TROUBLE, attempts=FEWER_ATTEMPTS)
    await former.retire()
    await asyncio.sleep(1.0)
    check_all_served(clients)
    draining = max(servers, key=lambda server: len(server.open))
    draining.state = "DRAINING"
    await discovery.publish()
    record.note(f"discovery: lists {draining.uid} as draining")
    await asyncio.sleep(TOLD_S + GRACE_S)
    forbidden_from_s = record.now()
    record.note(f"from now on nothing new may go to {draining.uid}")
    late = [Client(record, f"late{number}", proxy, servers, number) for number in range(10, 40)]
    for client in late:
        running.append(asyncio.create_task(client.run()))
        await asyncio.sleep(0.2)
    await asyncio.sleep(2.0)
    check_all_served(late)
    sent_late = [request_id for sent_s, request_id in draining.sent if sent_s > forbidden_from_s]
    if sent_late:
        record.broken(f"{len(sent_late)} requests sent to {draining.uid}, which drains: {sent_late}")
        record.note(f"last words of the proxy: {process.last_log_line()}")
    draining.server.close()
    for request_id, writer in list(draining.open.items()):
        draining.ended.add(request_id)
        record.broken(f"{draining.uid} stops; the client of {request_id} was never told to move")
        writer.transport.abort()
    await asyncio.sleep(1.0)
    for client in (*clients, *late):
        client.stopped = True
    await asyncio.gather(*running)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER / "record.txt", case))
