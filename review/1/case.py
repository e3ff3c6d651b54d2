"""Case 1: a proxy's process is replaced, and another router of its VRRP group is killed shortly after."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    TROUBLE,
    CannotRunError,
    Client,
    Discovery,
    Proxy,
    Record,
    Server,
    accepts,
    check_all_served,
    free_port,
    run_case,
    until,
)

PRIORITIES = {"n1": 100, "n2": 200, "n3": 50}
INTERVAL_CS = 50
SSH_GREETING = b"SSH-2.0-"


class Group:
    """Three proxies of one VRRP group; the channels frontend listens on the Active one only."""

    def __init__(self, record: Record, folder: Path, proxies: list[Proxy]) -> None:
        addresses = {name: f"127.0.0.{number}" for number, name in enumerate(PRIORITIES, 1)}
        self.vrrp = {
            name: f"{address}:{free_port(address, socket.SOCK_DGRAM)}" for name, address in addresses.items()
        }
        self.channels = {name: (address, free_port(address)) for name, address in addresses.items()}
        self.proxies = {name: Proxy(record, folder, name, address) for name, address in addresses.items()}
        proxies += self.proxies.values()
        for name, proxy in self.proxies.items():
            peers = [address for peer, address in self.vrrp.items() if peer != name]
            proxy.broker_toml = (
                "[channels]\nenabled = true\nlisten = "
                f'"{self.channels[name][0]}:{self.channels[name][1]}"\n'
                f"[vrrp]\nenabled = true\nvrid = 7\npriority = {PRIORITIES[name]}\n"
                f'interval_cs = {INTERVAL_CS}\npreempt = true\nlisten = "{self.vrrp[name]}"\n'
                f"peers = {peers}\naddresses = []\n"
            )

    async def is_active(self, name: str) -> bool:
        """Whether clients of the channels frontend are accepted there."""
        return await accepts(self.channels[name], SSH_GREETING)


async def case(record: Record, folder: Path, proxies: list[Proxy]) -> None:
    """Replace n1's process while it is Active; n2 comes back, takes over and (trouble) is killed."""
    servers = [Server(record, f"s-{number}") for number in range(3)]
    for server in servers:
        await server.start()
    discovery = Discovery(servers)
    await discovery.start()
    group = Group(record, folder, proxies)
    for number, proxy in enumerate(group.proxies.values()):
        proxy.write_config(discovery, myNumber=number)
    n1, n2, n3 = group.proxies.values()
    old = await n1.start()
    await n3.start()
    if not await until(lambda: group.is_active("n1"), 10):
        raise CannotRunError("n1 did not become Active")
    record.note("n1 is Active: it accepts channels")
    clients = [Client(record, f"c{number}", n1, servers, number) for number in range(1, 9)]
    running = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(1.0)
    check_all_served(clients)

    new = await n1.start()  # the platform replaces the process
    end_of_old = asyncio.create_task(old.replace_after(5.5))
    peer = await n2.start()
    if not await until(lambda: group.is_active("n2"), 4):
        raise CannotRunError("n2 did not become Active")
    record.note("n2 is Active: it accepts channels")
    if TROUBLE:
        peer.signal(signal.SIGKILL)
        await asyncio.sleep(3.0)
        await n2.start()
    await asyncio.sleep(4.0)
    await end_of_old
    await asyncio.sleep(1.0)

    if new.popen.poll() is not None:
        record.broken(
            f"{new.label}, which replaced {old.label}, ended by itself with {new.popen.returncode}: "
            f"{new.last_log_line()}"
        )
    for client in clients:
        client.stopped = True
        if client.cut:
            record.broken(f"connections of client {client.name} cut off without MOVE: {client.cut}")
    await asyncio.gather(*running)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER / "record.txt", case))
