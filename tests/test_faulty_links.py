"""Links of the fleet rig, with an echo server behind them."""

from __future__ import annotations

import asyncio

import pytest

from rig.fleet.faulty_links import LinkProxy


async def echo_through_link(fault: str) -> list[str]:
    """What an echo server returns before and during a fault, and how many lines reached it."""

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            received.append(line)
            writer.write(line)
        writer.close()

    received: list[bytes] = []
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    link = LinkProxy(("127.0.0.1", server.sockets[0].getsockname()[1]))
    await link.open()
    reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
    writer.write(b"one\n")
    results = [(await reader.readline()).decode().strip()]
    link.is_cut_forward = fault in ("cut", "cut-forward")
    link.is_cut_backward = fault in ("cut", "cut-backward")
    if fault == "reset":
        link.reset()
    try:
        writer.write(b"two\n")
        results.append((await asyncio.wait_for(reader.readline(), 0.3)).decode().strip())
    except TimeoutError:
        results.append("silence")
    except ConnectionResetError:
        results.append("reset")
    results.append(str(len(received)))
    writer.close()
    await link.close()
    server.close()
    return results


@pytest.mark.parametrize(
    ("fault", "results"),
    [
        ("none", ["one", "two", "2"]),
        ("cut", ["one", "silence", "1"]),
        ("cut-forward", ["one", "silence", "1"]),
        ("cut-backward", ["one", "silence", "2"]),
        ("reset", ["one", "reset", "1"]),
    ],
)
def test_link_has_the_fault_that_is_set(fault: str, results: list[str]) -> None:
    assert asyncio.run(echo_through_link(fault)) == results
