"""Large fleets: many processes that start at once, a list of a thousand endpoints, no free descriptor."""

from __future__ import annotations

import signal
from contextlib import ExitStack
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from conftest import S
from connections import WAIT_S
from emulated_peers import DiscoveryServer
from proxy_harness import launch_process, limit_descriptors, proxy_environment, started_proxy
from running_proxy import OPEN_LINE, RunningProxy

from rig.free_port import free_port

PROCESS_COUNT = 30
"""Processes that start together."""

ENDPOINT_COUNT = 1024
"""Entries of a long endpoint list."""

DESCRIPTOR_LIMIT = 60
"""Descriptor limit of a process that the test makes run out of descriptors."""


class ListedEndpoint:
    """An endpoint that is listed and never connected to."""

    def __init__(self, number: int) -> None:
        self.uid = f"p-{number}"
        self.state = "SERVING"
        self.address = f"127.1.{number >> 8}.{number & 255}:9000"

    def entry(self) -> dict[str, Any]:
        """The entry in discovery's list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": "a",
            "model": "m",
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 1e-6,  # so that attempts go to the one that exists
            "boot_ms": 0,
        }


@pytest.mark.parametrize("discovery_state", ["down", "failing", "silent", "slow", "full"])
def test_processes_that_start_together_are_ready_without_discovery(
    tmp_path: Path, discovery_state: str
) -> None:
    # Until discovery answers, each process serves requests with the endpoint list of its file.
    with ExitStack() as stack:
        environment = stack.enter_context(
            proxy_environment(tmp_path, discovery="ask", rules={"mustAskInNs": 10 * S})
        )
        discovery = environment.discovery
        if discovery_state == "down":
            discovery.server.server_close()
        elif discovery_state == "failing":
            discovery.fail(True)
        elif discovery_state == "full":
            discovery.server.socket.listen(0)
            discovery.holds_calls = True
        else:
            discovery.holds_calls = True
        running = []
        for number in range(PROCESS_COUNT):
            port = free_port()
            folder = tmp_path / str(number)
            folder.mkdir()
            config = folder / "config.json"
            config.write_text(environment.config.read_text().replace(f":{environment.port}", f":{port}"))
            process = launch_process(str(config), str(environment.broker_file))
            stack.callback(process.wait, WAIT_S)
            stack.callback(process.kill)
            running.append(RunningProxy(process, port, 0))
        for proxy in running:
            proxy.logged("event=process-started")
            assert proxy.alive()
        if discovery_state == "slow":  # discovery answers now, one call after the other
            discovery.holds_calls = False
            discovery.held_calls.get(timeout=WAIT_S).release.set()
        for number, proxy in enumerate(running):
            client = proxy.client(OPEN_LINE % (number + 1, 2000))
            environment.endpoints[0].serve()
            assert client.line() == b"UP r1\r\n"


def test_idle_clients_that_use_all_descriptors_do_not_block_requests(tmp_path: Path) -> None:
    # Idle clients may use all descriptors while discovery fails. Its next call, an attempt and a reload then
    # need some.
    with started_proxy(
        tmp_path, endpoints=2, before=partial(limit_descriptors, DESCRIPTOR_LIMIT), rules={"mustAskInNs": S}
    ) as running:
        client = running.open()
        endpoint = running.next_attempted().serve()
        assert client.line() == b"UP r1\r\n"
        running.discovery.fail(True)
        running.logged("event=discovery-call-failed")
        idle = [running.client() for _ in range(120)]
        assert running.alive()
        running.discovery.change()
        running.discovery.fail(False)
        running.logged("event=endpoint-list-received .*rev=2")
        # An attempt gets a descriptor, a reload reads its files, and the established connection stays open.
        later_client = running.open()
        _, later_endpoint = running.serve_any()
        assert later_client.line() == b"UP r1\r\n"
        other_discovery = DiscoveryServer(running.endpoints)
        other_discovery.rev = 7
        running.reload("event=configuration-reloaded", discovery=other_discovery.address)
        running.logged("event=endpoint-list-received .*rev=7")
        client.send(b"M 1\r\n")
        assert endpoint.line() == b"M 1\r\n"
        endpoint.send(b"R 1\r\n")
        assert client.line() == b"R 1\r\n"
        assert len(idle) == 120
        assert later_endpoint
        running.process.send_signal(signal.SIGTERM)
        assert {client.line(), later_client.line()} == {b"MOVE\r\n"}
        running.logged("event=shutdown-finished")


@pytest.mark.parametrize("discovery", ["ask", "push"])
def test_list_of_a_thousand_endpoints_is_complete(tmp_path: Path, discovery: str) -> None:
    with started_proxy(tmp_path, discovery=discovery, balancers=230) as running:
        (endpoint,) = running.endpoints
        other_discovery = DiscoveryServer([])
        other_discovery.indent = 4
        listed: list[Any] = [endpoint, *map(ListedEndpoint, range(ENDPOINT_COUNT - 1))]
        other_discovery.endpoints = listed
        other_discovery.rev = 5
        running.reload("event=configuration-reloaded", discovery=other_discovery.address)
        assert f"entries={ENDPOINT_COUNT} " in running.logged("event=endpoint-list-received .*rev=5")
        client, endpoint_end = running.establish()
        listed[7].state = "DRAINING"
        other_discovery.change()
        assert f"entries={ENDPOINT_COUNT} draining=1 " in running.logged(
            "event=endpoint-list-received .*rev=6"
        )
        assert not [
            line
            for line in running.passed_lines
            if "endpoint-limit-exceeded" in line or "endpoint-entries-invalid" in line
        ]
        # The established connection relays in both directions after the list has changed.
        client.send(b"M 1\r\n")
        assert endpoint_end.line() == b"M 1\r\n"
        endpoint_end.send(b"R 1\r\n")
        assert client.line() == b"R 1\r\n"
