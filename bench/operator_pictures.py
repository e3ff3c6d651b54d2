"""Pictures that operators of other deployments reported: memory and other callers' waits, seen from outside.

    python bench/operator_pictures.py PICTURE [--clients N] [--program ROOT --python PYTHON]

Pictures: `fields` (established clients whose request line has very many short fields), `partial` (sessions
that stop in a packet), `requests` and `opens` (sessions that send requests, or open channels, at full speed),
`queries` (PING at full speed), `abandoned` (channels that are opened by clients that leave at once).
"""

from __future__ import annotations

import argparse
import multiprocessing
import statistics
import struct
import tempfile
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from connections import ChannelsClient, PeerConnection, ssh_packet, ssh_string
from proxy_harness import CHANNELS_ENABLED, ROOT, started_proxy
from running_proxy import RunningProxy

PLAY_S = 4.0
SHORT_FIELDS = 980
GLOBAL_REQUEST = ssh_packet(b"\x50" + ssh_string(b"x") + b"\1")
PARTIAL_PACKET = struct.pack(">IB", 34_996, 4) + b"\2" + bytes(34_000)
BURST = 64


def request_line(number: int, fields: int = 0) -> bytes:
    """A request line with `fields` short fields that the program passes on."""
    names = b"".join(b",%x=" % (0x1000 + field) for field in range(fields))
    return b"OPEN %x %x c=feed,t=acme,d=3000%s\r\n" % (number + 1, number + 1, names[: 3900 - 40])


def serve_endpoint(running: RunningProxy) -> None:
    """Answer each request with UP, and keep its connection open."""

    def serve(conn: PeerConnection) -> None:
        with suppress(OSError):
            conn.line()
            conn.send(b"UP r1\r\n")
            while conn.sock.recv(65_536):
                pass

    def accept() -> None:
        with suppress(OSError):
            while True:
                conn, _ = running.endpoints[0].sock.accept()
                threading.Thread(target=serve, args=(PeerConnection(conn),), daemon=True).start()

    running.endpoints[0].sock.settimeout(None)
    start_process(accept)


def start_process(run: Callable[[], object]) -> None:
    """Run in a process of its own, so that it takes no time of the client whose waits are measured."""
    multiprocessing.get_context("fork").Process(target=run, daemon=True).start()


def measure_waits(running: RunningProxy) -> None:
    """Print how long another client of the line protocol waits for its answer."""
    waits: list[float] = []
    answers: dict[str, int] = {}
    until_s = time.monotonic() + PLAY_S
    number = 1 << 40
    while time.monotonic() < until_s:
        number += 1
        began_s = time.monotonic()
        answer = "none"
        with suppress(OSError):
            client = running.client(request_line(number))
            answer = client.line().split(b" ")[0].strip().decode()
            client.close()
        waits.append(time.monotonic() - began_s)
        answers[answer] = answers.get(answer, 0) + 1
        time.sleep(0.02)
    print(
        f"other client: median {statistics.median(waits):.4f} s, most {max(waits):.4f} s, answers {answers}"
    )


def flood(sock_send: Callable[[bytes], None], make: Callable[[int], bytes]) -> None:
    """Send what `make` returns for 0, 1, 2 and so on until the connection ends."""
    with suppress(OSError):
        for number in range(1 << 30):
            sock_send(make(number))


def read_all(client: PeerConnection) -> None:
    """Read and drop all that comes."""
    with suppress(OSError):
        while client.sock.recv(1 << 16):
            pass


def channel_open(number: int) -> bytes:
    """A CHANNEL_OPEN packet."""
    head = b"\x5a" + ssh_string(b"invocation@linnetshift") + struct.pack(">III", number, 1 << 20, 32_768)
    return ssh_packet(head + ssh_string(b"feed") + ssh_string(b"acme") + struct.pack(">QQI", number, 0, 2000))


def play_fields(running: RunningProxy, clients: int) -> None:
    """Established clients with many short fields."""
    connections = [running.client(request_line(number, SHORT_FIELDS)) for number in range(clients)]
    answers = [connection.line() for connection in connections]
    print(f"{sum(answer.startswith(b'UP') for answer in answers)} of {clients} up")
    measure_waits(running)


def play_partial(running: RunningProxy, clients: int) -> None:
    """Sessions that stop in a packet."""
    sessions = [ChannelsClient(running.channels_port) for _ in range(clients)]
    for session in sessions:
        session.send(PARTIAL_PACKET)
    time.sleep(0.5)
    print(f"resident with {clients}: {running.resident_mib():.1f} MiB")
    measure_waits(running)


def play_flood(running: RunningProxy, clients: int, make: Callable[[int], bytes]) -> None:
    """Sessions that send at full speed."""

    def run() -> None:
        for _ in range(clients):
            session = ChannelsClient(running.channels_port)
            threading.Thread(target=read_all, args=(session,), daemon=True).start()
            threading.Thread(target=flood, args=(session.sock.sendall, make), daemon=True).start()
        time.sleep(2 * PLAY_S)

    start_process(run)
    time.sleep(0.3)
    measure_waits(running)


def play_queries(running: RunningProxy, clients: int) -> None:
    """Connections that send PING at full speed."""

    def run() -> None:
        for _ in range(clients):
            client = running.client()
            threading.Thread(target=read_all, args=(client,), daemon=True).start()
            threading.Thread(
                target=flood, args=(client.sock.sendall, lambda _: b"PING\r\n" * BURST), daemon=True
            ).start()
        time.sleep(2 * PLAY_S)

    start_process(run)
    time.sleep(0.3)
    measure_waits(running)


def play_abandoned(running: RunningProxy, clients: int) -> None:
    """Sessions that open channels and leave at once; requests that arrive later than 0.1 s count."""
    arrivals: list[float] = []

    def accept() -> None:
        with suppress(OSError):
            while True:
                conn, _ = running.endpoints[0].sock.accept()
                arrivals.append(time.monotonic())
                PeerConnection(conn)

    running.endpoints[0].sock.settimeout(None)
    threading.Thread(target=accept, daemon=True).start()
    for client_number in range(clients):
        session = ChannelsClient(running.channels_port)
        packets = b"".join(channel_open(number) for number in range(200))
        session.send(packets)
        if client_number % 2:
            session.close("reset")
        else:
            session.close()
    left_at = time.monotonic()
    time.sleep(2)
    late = sum(arrival > left_at + 0.1 for arrival in arrivals)
    print(f"{len(arrivals)} requests sent on, {late} later than 0.1 s after the last client had left")


PICTURES: dict[str, Callable[[RunningProxy, int], None]] = {
    "fields": play_fields,
    "partial": play_partial,
    "requests": lambda running, clients: play_flood(running, clients, lambda _: GLOBAL_REQUEST * BURST),
    "opens": lambda running, clients: play_flood(running, clients, channel_open),
    "queries": play_queries,
    "abandoned": play_abandoned,
}


def main() -> None:
    """Play one picture and print what was seen."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("picture", choices=PICTURES)
    parser.add_argument("--clients", type=int, default=8)
    parser.add_argument("--program", type=Path, default=ROOT)
    parser.add_argument("--python", default=".venv/bin/python")
    options = parser.parse_args()
    with (
        tempfile.TemporaryDirectory() as folder,
        started_proxy(
            Path(folder),
            broker_toml=CHANNELS_ENABLED,
            command=(options.python, "-m", "linnetshift"),
            program=options.program,
        ) as running,
    ):
        if options.picture != "abandoned":
            serve_endpoint(running)
        print(f"{options.picture}, {options.clients}: resident before {running.resident_mib():.1f} MiB")
        PICTURES[options.picture](running, options.clients)
        print(f"resident after {running.resident_mib():.1f} MiB")


if __name__ == "__main__":
    main()
