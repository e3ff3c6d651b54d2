"""Case 10: a proxy that has released the active role goes on taking channels beside the new active one."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path
from typing import Any

sys.path[:0] = [str(Path(__file__).resolve().parent.parent), str(Path(__file__).resolve().parents[2])]

import socket

from channels2 import ClientChannel, ClientSession
from parts2 import BROKEN, HELD, CannotRunError, Case, Discovery, Proxy, Server, free_port, main

from rig.base_settings import changed_settings

HOSTS = ("127.0.0.2", "127.0.0.3")
PRIORITIES = (250, 240)
SLACK_S = 0.05  # each limit on sockets is 50 ms longer


def settings() -> dict[str, Any]:
    """Discovery is asked."""
    return changed_settings({"balancers": 2, "discovery": "ask", "zones": ["a"], "models": ["m"]})


def broker_file(number: int, channels_ports: list[int], vrrp_ports: list[int]) -> str:
    """Channels, and VRRP between the two proxies, in the form of `deploy/broker.toml`."""
    other = 1 - number
    return f"""
[channels]
enabled = true
listen = "{HOSTS[number]}:{channels_ports[number]}"

[vrrp]
enabled = true
vrid = 7
priority = {PRIORITIES[number]}
interval_cs = 100
preempt = true
listen = "{HOSTS[number]}:{vrrp_ports[number]}"
peers = ["{HOSTS[other]}:{vrrp_ports[other]}"]
addresses = ["127.0.0.9"]
"""


class Observer:
    """Opens one channel after another at one proxy, each in a session of its own."""

    def __init__(self, case: Case, proxy: Proxy, host: str, port: int) -> None:
        self.case = case
        self.proxy = proxy
        self.host = host
        self.port = port
        self.served: list[tuple[float, float]] = []  # when asked for, and when up

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, AssertionError):
                await self.open_one()
            await asyncio.sleep(0.02)

    async def open_one(self) -> None:
        """Connect, open a channel and close it."""
        began = self.case.record.now()
        session = ClientSession(self.case, self.proxy.name)
        await session.connect(self.port, self.host)
        channel: ClientChannel = session.open(b"feed", int(began * 1e6), 1000, 32_768)
        await asyncio.wait_for(channel.is_answered.wait(), 1.5)
        if channel.answer == "up":
            self.served.append((began, self.case.record.now()))
            self.case.record.note(f"{self.proxy.name} serves a channel that was asked for at {began:.3f}")
            session.close_channel(channel)
        session.writer.close()


async def play(case: Case) -> int:
    """SIGTERM to the active proxy: the other one becomes active and takes channels."""
    discovery = Discovery(case)
    for number in range(2):
        server = Server(case, f"s-{number}")
        server.is_noted = False
        await server.start()
        discovery.put(**server.entry())
    await discovery.start()
    channels_ports = [free_port(host) for host in HOSTS]
    vrrp_ports = [free_port(host, socket.SOCK_DGRAM) for host in HOSTS]
    observers = []
    for number, host in enumerate(HOSTS):
        broker = broker_file(number, channels_ports, vrrp_ports)
        proxy = case.proxy(f"n{number}", case.config(settings(), discovery, f"n{number}"), broker)
        await proxy.start()
        observers.append(Observer(case, proxy, host, channels_ports[number]))
    await asyncio.sleep(6)
    tasks = [asyncio.create_task(observer.run()) for observer in observers]
    await asyncio.sleep(2)
    active, backup = observers
    if not active.served or backup.served:
        raise CannotRunError(f"served at first: {len(active.served)} and {len(backup.served)}")
    if case.has_trouble:
        active.proxy.send_signal(signal.SIGTERM)
    await asyncio.sleep(4)
    for task in tasks:
        task.cancel()
    both = []
    if backup.served:
        taken_over = backup.served[0][1]
        both = [asked for asked, _ in active.served if asked > taken_over + SLACK_S]
        case.record.note(f"{backup.proxy.name} served its first channel at {taken_over:.3f}")
        case.record.note(f"{active.proxy.name} was asked for and served {len(both)} channels after that")
    if case.has_trouble and not backup.served:
        raise CannotRunError("the backup did not become active")
    return BROKEN if both else HELD


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
