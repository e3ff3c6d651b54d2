"""Every value of a state handed over by an older version is restored in the successor.

`tests/data/handed-over-state.json` is a recording (see `tests/data/README.md`) with a different value in
nearly every field, so that a key that is misread, left out or swapped with another one fails a test.
"""

from __future__ import annotations

import json
import math
import socket
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from proxy_harness import ROOT

from linnetshift.broker.snapshot import export_state, import_state
from linnetshift.config.broker_file import read_broker_file
from linnetshift.config.proxy_file import read_config
from linnetshift.lifecycle.takeover_socket import PredecessorState
from linnetshift.proxy import Proxy
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.endpoints import Endpoint
from linnetshift.routing.events import EndpointState
from linnetshift.vrrp.router import State
from rig.free_port import free_port

RECORDED = Path(__file__).parent / "data" / "handed-over-state.json"

# Where the balancer has each value of the state's "memory", by part and key.
BALANCER_VALUES: dict[tuple[str, str], Callable[[Balancer], object]] = {
    ("node", "load_each"): lambda balancer: balancer.health_checks.load_per_connection,
    ("node", "each_fill"): lambda balancer: balancer.ranking.connections_per_weight,
    ("window", "size"): lambda balancer: balancer.lifecycle.concurrency_limit.limit,
    ("window", "failing"): lambda balancer: balancer.lifecycle.concurrency_limit.failure_share,
    ("window", "cut_at"): lambda balancer: balancer.lifecycle.concurrency_limit.decreased_at,
    ("shedding", "admit"): lambda balancer: balancer.admission.load_shedding.admitted_share,
    ("shedding", "at"): lambda balancer: balancer.admission.load_shedding.reviewed_at,
    ("shedding", "jammed"): lambda balancer: balancer.admission.load_shedding.is_congested,
    ("slow_start", "fresh"): lambda balancer: balancer.slow_start.first_arrivals_per_s.value,
    ("slow_start", "fresh_at"): lambda balancer: balancer.slow_start.first_arrivals_per_s.updated_at,
    ("bucket", "level"): lambda balancer: balancer.slow_start.token_bucket.level,
    ("bucket", "at"): lambda balancer: balancer.slow_start.token_bucket.refilled_at_ns,
}
# Where an endpoint of the balancer has each value of its record under "hosts".
ENDPOINT_VALUES: dict[str, Callable[[Endpoint], object]] = {
    "hot_until": lambda endpoint: endpoint.over_objective_until,
    "slow_ns": lambda endpoint: endpoint.message_latency_ns,
    "late_until": lambda endpoint: endpoint.majority_over_objective_until,
    "avoid_until": lambda endpoint: endpoint.ejected_until,
    "spell": lambda endpoint: endpoint.ejection_time_ns,
    "overload": lambda endpoint: endpoint.is_overloaded,
    "struck_at": lambda endpoint: endpoint.ejected_at,
    "good_at": lambda endpoint: endpoint.last_established_at,
    "faults": lambda endpoint: endpoint.consecutive_errors,
}


def balancer_endpoints(balancer: Balancer) -> dict[bytes, Endpoint]:
    return {endpoint.id: endpoint for endpoint in balancer.endpoints.values()}


def endpoint_fields(endpoint: Endpoint) -> tuple[int, int, int]:
    """State, start time and drain period as the balancer received them, times in ns."""
    return endpoint.state, endpoint.started_at, endpoint.drain_within_ns


def connections_at_peers(balancer: Balancer) -> int:
    return balancer.ranking.peer_connections


BROKER_FILE = """
[channels]
enabled = true
listen = "127.0.0.1:CHANNELS"

[vrrp]
enabled = true
vrid = 7
listen = "127.0.0.1:VRRP"
peers = []

[[contract]]
team = "taymobile"
rate_per_s = 5
rate_burst = 10
retries_per_s = 1
retries_burst = 3

[[contract]]
team = "glenlink"
rate_per_s = 5
retries_per_s = 2
retries_burst = 6
"""


def recorded_state() -> dict[str, Any]:
    state: dict[str, Any] = json.loads(RECORDED.read_text())
    return state


@pytest.fixture
def recorded() -> dict[str, Any]:
    return recorded_state()


@pytest.fixture
def successor(tmp_path: Path, recorded: dict[str, Any]) -> Iterator[Proxy]:
    """A proxy that has just taken over the recorded state; its event loop does not run."""
    settings = json.loads((ROOT / "example" / "config.json").read_text())
    settings.update(listen=f"127.0.0.1:{free_port()}", admin_addr=f"127.0.0.1:{free_port()}")
    config_file = tmp_path / "config.json"
    config_file.write_text(json.dumps(settings))
    broker_file = tmp_path / "broker.toml"
    broker_file.write_text(
        BROKER_FILE.replace("CHANNELS", str(free_port())).replace("VRRP", str(free_port()))
    )
    config = read_config(str(config_file))
    broker_config = read_broker_file(str(broker_file))
    own_end, peer_end = socket.socketpair()
    proxy = Proxy.start(config, broker_config, predecessor=PredecessorState(own_end, recorded, b"", []))
    yield proxy
    proxy.frontend.close()
    proxy.channels.close()
    assert proxy.activation.vrrp is not None
    proxy.activation.vrrp.sock.close()
    assert proxy.admin_server.acceptor is not None
    proxy.admin_server.acceptor.close()
    own_end.close()
    peer_end.close()


def names_by_number(numbers: dict[str, int]) -> dict[int, str]:
    return {number: name for name, number in numbers.items()}


def test_endpoint_list_is_restored(successor: Proxy, recorded: dict[str, Any]) -> None:
    listed = successor.broker.administrative_drains.listed
    zones = names_by_number(successor.names.zones)
    kinds = names_by_number(successor.names.kinds)
    targets = recorded["list"]["targets"]

    assert successor.discovery.version == recorded["list"]["rev"] == 42
    assert len(targets) == 5
    for target in targets:
        uid = target["uid"].encode()
        entry = listed[uid]
        host, port = successor.connector.addresses[uid]
        assert {
            "uid": entry.endpoint.decode(),
            "endpoint": f"{host}:{port}",
            "az": zones[entry.zone],
            "model": kinds[entry.kind],
            "pod_group": entry.cell,
            "state": "DRAINING" if entry.state == EndpointState.DRAINING else "SERVING",
            "capacity_hint": entry.weight,
            "boot_ms": entry.started_ns // 1_000_000,
        } == target
    assert successor.broker.latency_estimator.weights == {
        target["uid"].encode(): target["capacity_hint"] for target in targets
    }


def test_administrative_drains_are_restored(successor: Proxy) -> None:
    drains = successor.broker.administrative_drains
    endpoints = balancer_endpoints(successor.broker.balancer)

    assert drains.listed[b"s-gone"].state == EndpointState.REMOVED
    assert b"s-gone" not in endpoints
    assert drains.export_state() == {
        "gone": ["s-gone"],
        "out": {"s-out": 5_000_000_000_001},
        "back": {"s-back": [5_000_000_000_002, 5_000_000_000_003]},
    }
    assert endpoint_fields(endpoints[b"s-out"]) == (EndpointState.DRAINING, 1_004_000_000, 1_700_000_000)
    assert endpoint_fields(endpoints[b"s-back"]) == (EndpointState.READY, 5_000_000_000_003, 0)
    assert endpoint_fields(endpoints[b"s-draining"]) == (EndpointState.DRAINING, 1_003_000_000, 0)
    assert endpoint_fields(endpoints[b"s-ready"]) == (EndpointState.READY, 1_001_000_000, 0)
    assert endpoint_fields(endpoints[b"s-cold"]) == (EndpointState.READY, 1_002_000_000, 0)


def test_token_buckets_of_contracts_are_restored(successor: Proxy) -> None:
    teams = successor.broker.contracts.teams
    taymobile = teams[successor.names.tenants["taymobile"]]
    glenlink = teams[successor.names.tenants["glenlink"]]

    buckets = (taymobile.rate, taymobile.retries, glenlink.rate, glenlink.retries)
    assert [(bucket.level, bucket.refilled_at_ns) for bucket in buckets if bucket is not None] == [
        (4.25, 6_000_000_000_001),
        (1.5, 6_000_000_000_002),
        (math.inf, 0),  # the older process had no rate limit for this team
        (2.75, 6_000_000_000_003),
    ]


def test_peer_resources_are_restored(successor: Proxy) -> None:
    broker = successor.broker

    assert successor.connection_limiter.peer_descriptors == 37
    assert successor.local_process.migrated_by_peer == 91
    assert broker.migrated == 0
    assert connections_at_peers(broker.balancer) == 3
    assert broker.latency_estimator.peer_connections == {
        b"s-ready": [(81000.5, 71, 0), (None, 72, 0)],
        b"s-draining": [(64000.25, 0, 0)],
    }


@pytest.mark.parametrize(("part", "key"), BALANCER_VALUES)
def test_balancer_state_is_restored(successor: Proxy, recorded: dict[str, Any], part: str, key: str) -> None:
    assert BALANCER_VALUES[part, key](successor.broker.balancer) == recorded["memory"][part][key]


def test_tables_cover_all_values_of_the_recording(recorded: dict[str, Any]) -> None:
    memory = recorded["memory"]
    parts = ("node", "window", "shedding", "slow_start", "bucket")

    assert {(part, key) for part in parts for key in memory[part]} == set(BALANCER_VALUES)
    assert {*memory} == {*parts, "hosts", "guests", "shed"}
    assert len(memory["hosts"]) == 5
    assert all(values.keys() == ENDPOINT_VALUES.keys() for values in memory["hosts"].values())


@pytest.mark.parametrize("key", ENDPOINT_VALUES)
def test_endpoints_ejection_state_is_restored(successor: Proxy, recorded: dict[str, Any], key: str) -> None:
    endpoints = balancer_endpoints(successor.broker.balancer)
    hosts = recorded["memory"]["hosts"]

    assert {name: ENDPOINT_VALUES[key](endpoints[bytes.fromhex(name)]) for name in hosts} == {
        name: values[key] for name, values in hosts.items()
    }


def test_latency_estimator_state_is_restored(successor: Proxy) -> None:
    estimator = successor.broker.latency_estimator

    assert (estimator.migrations.net, estimator.migrations.updated_ns) == (-4.5, 9_000_000_000_001)
    assert estimator.reset_at_ns == {b"s-ready": 9_000_000_000_002, b"s-draining": 9_000_000_000_003}


def test_vrrp_stays_active_and_channels_listen_without_descriptors(successor: Proxy) -> None:
    assert successor.activation.vrrp is not None
    assert successor.activation.vrrp.router.state is State.ACTIVE
    assert successor.channels.acceptor is not None
    assert successor.hot_restart.is_taking_over


def test_state_is_exported_under_the_same_keys(successor: Proxy, recorded: dict[str, Any]) -> None:
    state = successor.local_process.export_state()
    exported = json.loads(json.dumps(state.to_json()))

    assert exported.keys() == recorded.keys() | {
        "closes_listener",
        "broker_file",
    }  # not in the recorded version
    assert exported["say"] == recorded["say"]
    for part in ("bans", "memory", "active", "passed"):
        assert exported[part] == recorded[part]
    assert exported["list"]["rev"] == recorded["list"]["rev"]
    assert sorted(exported["list"]["targets"], key=lambda target: str(target["uid"])) == sorted(
        recorded["list"]["targets"], key=lambda target: str(target["uid"])
    )
    assert exported["budgets"]["taymobile"] == recorded["budgets"]["taymobile"]
    assert exported["budgets"]["glenlink"] == [[math.inf, 0], [2.75, 6_000_000_000_003]]
    assert exported["holdings"].keys() == recorded["holdings"].keys()
    assert len(state.descriptors) == 2


def test_unknown_keys_of_another_version_are_ignored(successor: Proxy, recorded: dict[str, Any]) -> None:
    broker = successor.broker
    memory = recorded["memory"]
    before = export_state(broker.balancer, broker.latency_estimator)
    memory["later"] = {"key": 1}
    memory["window"]["later"] = 1
    memory["hosts"]["732d7265616479"]["later"] = 1
    memory["hosts"]["00"] = {"faults": 9}  # no longer listed

    import_state(broker.balancer, broker.latency_estimator, memory)
    assert export_state(broker.balancer, broker.latency_estimator) == before


def test_value_of_another_type_is_named_in_the_error_and_others_are_restored(
    successor: Proxy, recorded: dict[str, Any]
) -> None:
    broker = successor.broker
    memory = recorded["memory"]
    memory["window"]["size"] = "wide"
    memory["window"]["failing"] = 0.5
    memory["guests"][0] = 7.5

    with pytest.raises(ValueError, match=r"values of another type: window\.size"):
        import_state(broker.balancer, broker.latency_estimator, memory)

    assert BALANCER_VALUES["window", "size"](broker.balancer) == 21.5
    assert BALANCER_VALUES["window", "failing"](broker.balancer) == 0.5
    assert broker.latency_estimator.migrations.net == 7.5
