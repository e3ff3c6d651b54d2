"""Proxy file and broker file, whose owners change them at different times, with the real program.

Guards against a proxy that stays with a former discovery, or does not start, for what an operator's file
says.
"""

from __future__ import annotations

import signal
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from connections import WAIT_S
from emulated_peers import DiscoveryServer
from proxy_harness import (
    CHANNELS_ENABLED,
    launch_process,
    proxy_environment,
    settings,
    started_proxy,
    successor_of,
)
from running_proxy import REQUEST_IDS, RunningProxy, ranked

from rig.free_port import free_port

CONTRACT = '[[contract]]\nteam = "acme"\nservices = ["feed", "late"]\nconcurrency = 1\n'
VRRP = '[vrrp]\nenabled = true\nvrid = 7\nlisten = "127.0.0.1:VRRP"\npeers = []\n'


def services(*names: str, **changes: Any) -> list[dict[str, Any]]:
    """The settings' services, under these names."""
    return [{**settings()["services"][0], "name": name, **changes} for name in names]


@pytest.fixture
def used_port() -> Iterator[int]:
    """A port at which another program listens."""
    with socket.create_server(("127.0.0.1", 0)) as other_program:
        yield int(other_program.getsockname()[1])


def status(running: RunningProxy) -> dict[str, Any]:
    """What the admin interface says of the configuration files."""
    return running.admin_document("/ops/configuration")


# What does not fit the proxy file: changes of its settings, and the text of the broker file at the reload.
MISFITS: dict[str, tuple[dict[str, Any], str]] = {
    "class-dropped": ({"services": services("feed")}, CONTRACT),
    "team-dropped": ({"tenants": [{"name": "other"}]}, CONTRACT),
    "no-toml": ({}, "[[contract]\n"),
    "contract-unusable": ({}, CONTRACT + "rate_per_s = -1\n"),
    "vrrp-changed": ({}, CONTRACT + VRRP),
    "channels-address-in-use": ({}, CONTRACT + CHANNELS_ENABLED.replace("PORT", "USED")),
}


@pytest.mark.parametrize("misfit", MISFITS)
def test_moved_discovery_is_followed_whatever_the_broker_file_says(
    tmp_path: Path, used_port: int, misfit: str
) -> None:
    """Guards against review/3: requests went to a server that drained at the new address."""
    changes, broker_toml = MISFITS[misfit]
    broker_toml = broker_toml.replace("USED", str(used_port)).replace("VRRP", str(free_port()))
    with started_proxy(
        tmp_path, 2, CONTRACT, admin_server=True, services=services("feed", "late")
    ) as running:
        first, second = ranked(running)
        assert status(running) == {"unusable": [], "unmatched_names": [], "unbound_listeners": {}}
        (tmp_path / "broker.toml").write_text(broker_toml)
        moved = DiscoveryServer(running.endpoints)
        new_settings = settings(**{"services": services("feed", "late"), **changes})
        running.reload("event=configuration-reloaded", discovery=moved.address, settings=new_settings)
        assert moved.calls.get(timeout=WAIT_S) == "/catalog/members"
        moved.change(**{first.uid: "DRAINING"})
        running.logged("event=endpoint-list-received .*draining=1")
        client, endpoint = running.open(), second.serve()
        assert client.line() == b"UP r1\r\n"
        # The contract holds: the former version where it cannot be used, and for 30 s for a dropped team.
        assert running.open().line() == b"BUSY 1000\r\n"
        shown = status(running)
        expected_paths = {"no-toml": [""], "contract-unusable": ["contract[0]"], "vrrp-changed": ["vrrp"]}
        assert [part["path"] for part in shown["unusable"]] == expected_paths.get(misfit, [])
        assert all(part["in_force"] == "last-good" for part in shown["unusable"])
        unmatched = {"class-dropped": ["service late"], "team-dropped": ["team acme"]}
        assert shown["unmatched_names"] == unmatched.get(misfit, [])
        assert ("channels" in shown["unbound_listeners"]) == (misfit == "channels-address-in-use")
        assert running.call("GET /ops/readiness") == 200
        endpoint.close()


@pytest.mark.parametrize("misfit", MISFITS)
def test_proxy_starts_and_serves_whatever_the_broker_file_says(
    tmp_path: Path, used_port: int, misfit: str
) -> None:
    # The program ended with status 2.
    changes, broker_toml = MISFITS[misfit]
    broker_toml = broker_toml.replace("USED", str(used_port)).replace("VRRP", str(free_port()))
    changes = {"services": services("feed", "late"), **changes}
    with started_proxy(tmp_path, 1, broker_toml, admin_server=True, **changes) as running:
        running.wait_until_ready()
        client = running.open()
        if misfit == "team-dropped":
            # As the file says: acme is no team of the settings, and others have no contract.
            assert client.line() == b"BUSY 60000\r\n"
            return
        endpoint = running.endpoints[0].serve()
        assert client.line() == b"UP r1\r\n"
        is_limited = misfit not in ("no-toml", "contract-unusable")
        second_client = running.open()
        if is_limited:
            assert second_client.line() == b"BUSY 1000\r\n"
        else:
            second_endpoint = running.endpoints[0].serve()
            assert second_client.line() == b"UP r1\r\n"
            second_endpoint.close()
            assert [part["in_force"] for part in status(running)["unusable"]] == ["none"]
        endpoint.close()


@pytest.mark.parametrize("misfit", MISFITS)
def test_successor_and_fresh_start_serve_with_the_files_that_a_reload_accepted(
    tmp_path: Path, used_port: int, misfit: str
) -> None:
    """Guards against a state that reloads lead to, and in which a process cannot be replaced or restarted."""
    changes, broker_toml = MISFITS[misfit]
    broker_toml = broker_toml.replace("USED", str(used_port)).replace("VRRP", str(free_port()))
    other_contract = '[[contract]]\nteam = "other"\n'
    options: dict[str, Any] = {"services": services("feed", "late"), "inherits_listener": True}
    with started_proxy(tmp_path, 1, other_contract + CONTRACT, admin_server=True, **options) as old:
        (tmp_path / "broker.toml").write_text(other_contract + broker_toml)
        new_settings = settings(**{"services": services("feed", "late"), **changes})
        old.reload("event=configuration-reloaded", settings=new_settings)
        with successor_of(old) as successor:
            successor.wait_until_ready()
            assert_served(successor)
        old.process.kill()
        old.process.wait(WAIT_S)
        with successor_of(old) as fresh:  # nobody is left to take over from
            fresh.wait_until_ready()
            assert_served(fresh)


def assert_served(running: RunningProxy) -> None:
    """A request of a team whose contract fits is served."""
    client = running.client(b"OPEN %x 2 c=feed,t=other,d=2000\r\n" % next(REQUEST_IDS))
    endpoint = running.endpoints[0].serve()
    assert client.line() == b"UP r1\r\n"
    endpoint.close()


def test_missing_broker_file_does_not_keep_the_proxy_from_starting(tmp_path: Path) -> None:
    """Guards against a start that ends with status 2."""
    with proxy_environment(tmp_path) as environment:
        process = launch_process(str(environment.config), str(tmp_path / "gone.toml"))
        running = RunningProxy(process, environment.port, environment.channels_port)
        try:
            running.logged('event=broker-file-part-unusable path="" error=.*gone.toml.* in_force=none')
            assert running.alive()
        finally:
            process.kill()
            process.wait(WAIT_S)


def test_successor_takes_the_last_good_parts_from_its_predecessor(tmp_path: Path) -> None:
    """Guards against a hot restart that lifts contracts, as the broker file is broken at that moment."""
    with started_proxy(
        tmp_path, 1, CONTRACT, inherits_listener=True, services=services("feed", "late")
    ) as old:
        (tmp_path / "broker.toml").write_text("[[contract]\n")
        with successor_of(old) as new:
            new.wait_until_ready()
            assert [part["in_force"] for part in status(new)["unusable"]] == ["last-good"]
            client = new.open()
            endpoint = new.endpoints[0].serve()
            assert client.line() == b"UP r1\r\n"
            assert new.open().line() == b"BUSY 1000\r\n"
            endpoint.close()


def test_unusable_proxy_file_does_not_keep_the_broker_file_from_being_used(tmp_path: Path) -> None:
    """Guards against contracts that stay out of force for a mistake in the other file."""
    with started_proxy(tmp_path) as running:
        (tmp_path / "broker.toml").write_text('[[contract]]\nteam = "other"\n')
        running.config.write_text("{")
        running.process.send_signal(signal.SIGHUP)
        running.logged("event=configuration-rejected .*is not JSON")
        assert running.open().line() == b"BUSY 60000\r\n"


@pytest.mark.parametrize("key", ["listen", "admin_addr"])
def test_listener_keeps_its_former_address_until_the_new_one_is_free(tmp_path: Path, key: str) -> None:
    # The whole configuration was rejected, and the proxy stayed at a discovery that had moved.
    with (
        socket.create_server(("127.0.0.1", 0)) as other_program,
        started_proxy(tmp_path, admin_server=True) as running,
    ):
        moved = DiscoveryServer(running.endpoints)
        port = int(other_program.getsockname()[1])
        running.reload(
            f'listener-unavailable key={key} address=127.0.0.1:{port} error="Address already in use"',
            discovery=moved.address,
            **{key: f"127.0.0.1:{port}"},
        )
        assert moved.calls.get(timeout=WAIT_S) == "/catalog/members"
        running.establish()
        assert status(running)["unbound_listeners"] == {key: f"127.0.0.1:{port}: Address already in use"}
        other_program.close()
        running.logged(f"listener-opened key={key} address=127.0.0.1:{port}")
        if key == "listen":
            running.port = port
        else:
            running.admin_port = port
        running.establish()
        assert status(running)["unbound_listeners"] == {}


def test_address_that_cannot_be_assigned_leaves_the_listener_and_applies_the_rest(tmp_path: Path) -> None:
    # It was a case of a rejected configuration; the new discovery was not called.
    with started_proxy(tmp_path) as running:
        client, endpoint = running.establish()
        moved = DiscoveryServer(running.endpoints)
        running.reload(
            "event=listener-unavailable .*Cannot assign", discovery=moved.address, listen="192.0.2.1:1"
        )
        assert moved.calls.get(timeout=WAIT_S) == "/catalog/members"
        endpoint.send(b"still\r\n")
        assert client.line() == b"still\r\n"
        assert running.alive()


def test_contract_holds_for_a_class_again_at_whatever_number_it_returns(tmp_path: Path) -> None:
    """Guards against a contract that applies to another class that got the number of a dropped one."""
    contract = '[[contract]]\nteam = "acme"\nservices = ["late"]\nrate_per_s = 0.001\nrate_burst = 1\n'
    with started_proxy(tmp_path, 1, contract, services=services("feed", "late")) as running:
        line = b"OPEN %d 2 c=%s,t=acme,d=2000\r\n"
        late, endpoint = running.client(line % (1, b"late")), running.endpoints[0].serve()
        assert late.line() == b"UP r1\r\n"
        for names in (("feed",), ("feed", "new"), ("new", "late")):
            running.reload("event=configuration-reloaded", settings=settings(services=services(*names)))
        assert running.client(line % (2, b"new")).line() == b"BUSY 60000\r\n"
        # Its only token of a long time is used, however often the name went and came.
        (answer,) = running.client(line % (3, b"late")).line().split(b" ")[1:]
        assert 60_000 < int(answer) <= 1_000_000
        endpoint.close()
