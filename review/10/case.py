"""Case 10: a CHANNEL_OPEN that crosses the end of a resting session gets no answer at a planned restart."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from pathlib import Path
from typing import Any

from channels2 import ClientChannel, ClientSession
from parts2 import BROKEN, HELD, CannotRunError, Case, Discovery, Server, free_port, main

from rig.base_settings import changed_settings

SESSIONS = 80
TENANTS = [{"name": "acme", "fraction": 1.0, "quotaPerS": 1.0}]
DELAY_S = 0.010  # one way; the pages name 5.6 to 10 ms between data centres
WAIT_MS = 2000
REST_S = (0.05, 0.35)


def settings() -> dict[str, Any]:
    """Discovery is asked."""
    return changed_settings(
        {"balancers": 3, "discovery": "ask", "zones": ["a"], "models": ["m"], "tenants": TENANTS}
    )


async def use(case: Case, port: int, number: int, opened: list[tuple[ClientSession, ClientChannel]]) -> None:
    """One terminal: it opens a channel, sends a line, closes the channel, rests, and so on."""
    draw = random.Random(number)
    session = ClientSession(case, f"client {number}", DELAY_S)
    await session.connect(port)
    while not session.ended.is_set():
        channel = session.open(b"feed", draw.getrandbits(63), WAIT_MS, 32_768)
        opened.append((session, channel))
        waits = [asyncio.create_task(event.wait()) for event in (channel.is_answered, session.ended)]
        await asyncio.wait(waits, timeout=WAIT_MS / 1000 + 0.6, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        if channel.answer == "up":
            session.send_data(channel, b"status\r\n")
            await asyncio.sleep(0.03)
            if not channel.is_closed.is_set() and not session.ended.is_set():
                channel.is_closed.set()
                session.close_channel(channel)
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(session.ended.wait(), draw.uniform(*REST_S))
    case.record.note(f"{session.name}: {len(session.channels)} channels, ended by {session.end}")


def is_overdue(case: Case, channel: ClientChannel) -> bool:
    """Whether the time for an answer is over, with the half second that only costs worth."""
    return case.record.now() - channel.opened_at > WAIT_MS / 1000 + 0.5


async def play(case: Case) -> int:
    """SIGTERM while terminals on resting and busy sessions open channels."""
    discovery = Discovery(case)
    for number in range(4):
        server = Server(case, f"s-{number}")
        server.is_noted = False
        await server.start()
        discovery.put(**server.entry())
    await discovery.start()
    port = free_port()
    broker = f'[channels]\nenabled = true\nlisten = "127.0.0.1:{port}"\n'
    proxy = case.proxy("n1", case.config(settings(), discovery), broker)
    await proxy.start()
    await asyncio.sleep(1)
    opened: list[tuple[ClientSession, ClientChannel]] = []
    clients = [asyncio.create_task(use(case, port, number, opened)) for number in range(SESSIONS)]
    await asyncio.sleep(4)
    if case.has_trouble:
        proxy.send_signal(signal.SIGTERM)
        await asyncio.wait(clients, timeout=5)
        if proxy.is_running():
            await asyncio.sleep(1)
    else:
        await asyncio.sleep(2)
    unanswered = [
        (session, channel)
        for session, channel in opened
        if channel.is_written and not channel.answer and (session.ended.is_set() or is_overdue(case, channel))
    ]
    for session, channel in unanswered:
        case.record.note(
            f"{session.name} channel {channel.number} of {channel.opened_at:.3f}: no answer, {session.end}"
        )
    answered = sum(1 for _, channel in opened if channel.answer)
    up = sum(1 for _, channel in opened if channel.answer == "up")
    case.record.note(
        f"{len(opened)} CHANNEL_OPEN, {answered} answered, {up} up, {len(unanswered)} without answer"
    )
    if not up or (proxy.process is not None and proxy.process.returncode not in (None, 0)):
        raise CannotRunError(f"{up} channels up: {proxy.log()[-300:]}")
    return BROKEN if unanswered else HELD


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
