"""Links of the fleet rig, with an echo server behind them."""

from __future__ import annotations

import asyncio

import pytest

from rig.fleet.fault_injection import apply_link_fault
from rig.fleet.faulty_links import LinkProxy, reset_connection
from rig.fleet.scenario import Fault, FaultKind


async def echo_through_link(fault: str) -> list[str]:
    """The echoes before and during a fault, and the number of lines that reached the echo server."""

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
def test_link_applies_its_fault(fault: str, results: list[str]) -> None:
    assert asyncio.run(echo_through_link(fault)) == results


class EchoThroughLink:
    """An echo server behind a link; `accepted` counts the server's connections."""

    def __init__(self) -> None:
        self.accepted = 0
        self.client_writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> EchoThroughLink:
        self.server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        self.link = LinkProxy(("127.0.0.1", self.server.sockets[0].getsockname()[1]))
        await self.link.open()
        return self

    async def __aexit__(self, *_: object) -> None:
        for writer in self.client_writers:
            writer.close()
        await self.link.close()
        self.server.close()

    async def echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        while line := await reader.readline():
            if line == b"reset\n":
                reset_connection(writer)
                return
            writer.write(line)
        writer.write(b"end\n")
        writer.close()

    async def connect(self, *lines: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.link.port)
        writer.writelines(lines)
        self.client_writers.append(writer)
        return reader, writer


def test_refusing_link_resets_connections_until_its_faults_are_cleared() -> None:
    async def run() -> None:
        async with EchoThroughLink() as echo:
            echo.link.refuses_connections = True
            reader, _ = await echo.connect()
            with pytest.raises(ConnectionResetError):
                await reader.readline()
            echo.link.clear_faults()
            reader, _ = await echo.connect(b"one\n")
            assert await reader.readline() == b"one\n"
            assert echo.accepted == 1

    asyncio.run(run())


def test_unresponsive_link_forwards_nothing_and_resets_its_connections_when_cleared() -> None:
    async def run() -> None:
        async with EchoThroughLink() as echo:
            echo.link.is_unresponsive = True
            reader, _ = await echo.connect(b"one\n")
            while not echo.link._writers:  # until the link has accepted
                await asyncio.sleep(0)
            echo.link.is_unresponsive = False
            later_reader, _ = await echo.connect(b"two\n")
            assert await later_reader.readline() == b"two\n"
            assert echo.accepted == 1  # a forwarded first connection would count, too
            echo.link.is_unresponsive = True
            echo.link.clear_faults()
            with pytest.raises(ConnectionResetError):
                await reader.readline()
            later_reader, _ = await echo.connect(b"three\n")
            assert await later_reader.readline() == b"three\n"

    asyncio.run(run())


def test_half_close_by_the_client_is_forwarded_and_answers_still_arrive() -> None:
    async def run() -> None:
        async with EchoThroughLink() as echo:
            reader, writer = await echo.connect(b"one\n")
            writer.write_eof()
            assert await reader.read() == b"one\nend\n"

    asyncio.run(run())


def test_reset_by_the_target_reaches_the_client() -> None:
    async def run() -> None:
        async with EchoThroughLink() as echo:
            reader, _ = await echo.connect(b"reset\n")
            with pytest.raises(ConnectionResetError):
                await reader.readline()

    asyncio.run(run())


def test_connection_is_reset_when_the_target_does_not_listen() -> None:
    async def run() -> None:
        async with EchoThroughLink() as echo:
            echo.server.close()
            await echo.server.wait_closed()
            reader, _ = await echo.connect()
            with pytest.raises(ConnectionResetError):
                await reader.readline()

    asyncio.run(run())


def test_delayed_echo_arrives_no_sooner_than_the_delay() -> None:
    async def run() -> None:
        async with EchoThroughLink() as echo:
            reader, writer = await echo.connect(b"one\n")
            await reader.readline()
            echo.link.delay_s = 0.1
            sent_s = asyncio.get_running_loop().time()
            writer.write(b"two\n")
            assert await reader.readline() == b"two\n"
            assert asyncio.get_running_loop().time() - sent_s >= echo.link.delay_s  # delayed both ways

    asyncio.run(run())


def faults_of(link: LinkProxy) -> dict[str, object]:
    """Public attributes of a link that differ from those of a new one."""
    new = vars(LinkProxy(link.target))
    return {name: value for name, value in vars(link).items() if name[0] != "_" and value != new[name]}


@pytest.mark.parametrize(
    ("kind", "faults"),
    [
        ("delay", {"delay_s": 0.5}),
        ("cut", {"is_cut_forward": True, "is_cut_backward": True}),
        ("cut-forward", {"is_cut_forward": True}),
        ("cut-backward", {"is_cut_backward": True}),
        ("refuse", {"refuses_connections": True}),
        ("unresponsive", {"is_unresponsive": True}),
    ],
)
def test_fault_of_a_scenario_applies_to_the_link_until_cleared(
    kind: FaultKind, faults: dict[str, object]
) -> None:
    link = LinkProxy(("127.0.0.1", 1))
    apply_link_fault(link, Fault(at_s=0.0, kind=kind, delay_s=0.5))
    assert faults_of(link) == faults
    link.clear_faults()
    assert faults_of(link) == {}
