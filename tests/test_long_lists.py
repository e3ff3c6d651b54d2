"""Endpoint lists of the largest fleet, in every form that the pages allow.

Guards against a bound beside which no list is ever used: new requests went to endpoints that drain.
"""

from __future__ import annotations

import json
import time
import tracemalloc
from pathlib import Path
from typing import Any

import pytest
from conftest import raw_settings
from emulated_peers import DiscoveryServer
from proxy_harness import started_proxy, successor_of
from running_proxy import ranked

from linnetshift.broker.latency_estimator import ConnectionLoad
from linnetshift.endpoint_list.document import (
    MAX_DOCUMENT_BYTES,
    MAX_ENTRIES,
    MAX_FLEET_ENDPOINTS,
    decode_list,
)
from linnetshift.endpoint_list.names import NameRegistry
from linnetshift.endpoint_list.parsing import EndpointListError, parse_endpoint_list
from linnetshift.lifecycle.peer_process import MAX_MESSAGE_BYTES
from linnetshift.lifecycle.takeover_messages import Heartbeat, PeerResources, encode_message
from linnetshift.routing.events import EndpointState, ListForm
from linnetshift.routing.settings import Settings

LONG_NAME = "n" * 64
OTHER_KEYS = {f"other-key-{number:06}": 1.2345678901234567e-300 for number in range(12)}
MAX_CLIENT_CONNECTIONS = 5000  # several times what a proxy's 1,024 descriptors allow
MAX_TURN_S = 0.15  # how long a proxy may be held up (STANDING.md)
BYTES_OF_ONE_VALUE = 24  # a decoded number takes that much; 12 of them are not read of each entry
MAX_MEMORY_BYTES_PER_ENDPOINT = 4096  # 4 MB for each thousand servers (STANDING.md)


def entry(number: int, **changes: Any) -> dict[str, Any]:
    """One entry with the longest names."""
    return {
        "uid": f"s-{number:062}",
        "endpoint": f"255.255.255.255:{65535 - number % 1000}",
        "az": LONG_NAME,
        "model": LONG_NAME,
        "pod_group": 2**62,
        "state": "DRAINING",
        "capacity_hint": 1.2345678901234567,
        "boot_ms": 1_790_000_000_000,
        **changes,
    }


def names() -> NameRegistry:
    raw = raw_settings(zones=[LONG_NAME], models=[LONG_NAME])
    return NameRegistry(raw, Settings.parse(raw))


def encode(entries: int, indent: int | None, other_keys: dict[str, Any]) -> bytes:
    targets = [entry(number, **other_keys) for number in range(entries)]
    return json.dumps({"rev": 7, "all": True, "targets": targets}, indent=indent).encode()


@pytest.mark.parametrize("indent", [None, 0, 4, 8])
@pytest.mark.parametrize("other_keys", [{}, OTHER_KEYS])
@pytest.mark.parametrize("entries", [MAX_FLEET_ENDPOINTS, MAX_ENTRIES])
def test_longest_list_of_every_form_is_within_the_bound(
    entries: int, indent: int | None, other_keys: dict[str, Any]
) -> None:
    """Guards against a bound that a list in a form of the pages exceeds."""
    body = encode(entries, indent, other_keys).replace(b"\n", b"\r\n")
    assert len(body) <= MAX_DOCUMENT_BYTES
    list_update = parse_endpoint_list(decode_list(body), names())
    assert len(list_update.event.entries) == entries
    assert list_update.event.form == ListForm.FULL
    assert list_update.event.entries[-1].state == EndpointState.DRAINING
    assert list_update.event.entries[-1].zone == 0


def peak_bytes(body: bytes) -> int:
    """The most that is allocated at once while the body is decoded and parsed."""
    registry = names()
    tracemalloc.start()
    try:
        list_update = parse_endpoint_list(decode_list(body), registry)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(list_update.event.entries) == MAX_FLEET_ENDPOINTS
    return peak


def test_keys_that_are_not_read_take_no_memory() -> None:
    """Guards against memory that grows with the body instead of with what is used of it."""
    peak = peak_bytes(encode(MAX_FLEET_ENDPOINTS, 8, OTHER_KEYS))
    without_other_keys = peak_bytes(encode(MAX_FLEET_ENDPOINTS, None, {}))
    assert peak - without_other_keys < MAX_FLEET_ENDPOINTS * BYTES_OF_ONE_VALUE
    assert peak < MAX_FLEET_ENDPOINTS * MAX_MEMORY_BYTES_PER_ENDPOINT


def test_longest_list_is_parsed_within_the_time_that_a_proxy_may_be_held_up() -> None:
    """Guards against a turn of the loop that makes deadlines pass."""
    body, registry = encode(MAX_FLEET_ENDPOINTS, 8, OTHER_KEYS), names()
    began_s = time.process_time()
    parse_endpoint_list(decode_list(body), registry)
    assert time.process_time() - began_s < MAX_TURN_S


def test_heartbeat_of_a_proxy_with_the_most_connections_is_within_the_bound() -> None:
    """Guards against a report that the other process of a hot restart cannot read."""
    loads = {
        f"s-{number:08x}".encode(): [ConnectionLoad(1.2345678901234567, 2**63, 0)]
        for number in range(MAX_CLIENT_CONNECTIONS)
    }
    heartbeat = Heartbeat(PeerResources(MAX_CLIENT_CONNECTIONS, 0, loads))
    assert len(encode_message(heartbeat)) <= MAX_MESSAGE_BYTES


@pytest.mark.parametrize("weight", ["NaN", "Infinity", "1e999"])
def test_number_that_is_not_finite_does_not_make_the_list_unreadable(weight: str) -> None:
    """Guards against a stricter decoder that costs a whole list for one number."""
    text = json.dumps({"rev": 1, "targets": [entry(1, capacity_hint=-1.5)]}).replace("-1.5", weight)
    (only_entry,) = parse_endpoint_list(decode_list(text.encode()), names()).event.entries
    assert only_entry.weight == 1.0


@pytest.mark.parametrize("odd", [5, "text", None, [1], True, {}, {"uid": 3}])
def test_entry_of_another_form_is_invalid_and_the_others_are_used(odd: object) -> None:
    """Guards against a typed decoder that costs a whole list for one entry."""
    text = json.dumps({"rev": 1, "all": True, "targets": [odd, entry(1)]})
    list_update = parse_endpoint_list(decode_list(text.encode()), names())
    assert [e.endpoint for e in list_update.event.entries] == [entry(1)["uid"].encode()]
    assert list_update.invalid_entry_count == 1


@pytest.mark.parametrize("body", [b"", b"[" * 100_000, b'{"targets":[]', b"\xff"])
def test_body_that_is_not_json_raises_a_value_error(body: bytes) -> None:
    """Guards against a fault in the call, which contains only the errors that it names."""
    with pytest.raises(ValueError, match=r"^(Expecting|nested too deeply|'utf-8' codec)"):
        decode_list(body)


@pytest.mark.parametrize("body", [b"[]", b"{}", b'{"targets":{}}', b"3"])
def test_body_that_holds_no_list_is_reported_as_such(body: bytes) -> None:
    """Guards against an answer of another form that is logged as a failed call."""
    with pytest.raises(EndpointListError, match="no list of targets"):
        parse_endpoint_list(decode_list(body), names())


def test_document_that_is_no_list_is_reported_as_such() -> None:
    """Guards against an error of the decoder in the proxy file or a handed-over state."""
    with pytest.raises(EndpointListError, match="no list of targets"):
        parse_endpoint_list({"targets": 3}, names())


class LargeDiscovery(DiscoveryServer):
    """Lists the largest fleet: the emulated endpoints, and others that drain."""

    def listing(self) -> dict[str, Any]:
        listing = super().listing()
        listing["targets"] += [entry(number) for number in range(MAX_FLEET_ENDPOINTS)]
        return listing


def test_indented_list_of_the_largest_fleet_is_used_once_discovery_has_moved(tmp_path: Path) -> None:
    # review/9: the list was over the bound, and was asked for again and again while the process lived.
    with started_proxy(tmp_path, endpoints=2) as running:
        best, other = ranked(running)
        moved = LargeDiscovery(running.endpoints, indent=8)
        best.state = "DRAINING"
        moved.rev += 1
        running.reload("event=configuration-reloaded", discovery=moved.address)
        running.logged("event=endpoint-list-received form=full .*draining=3201")
        client = running.open()
        assert running.next_attempted() is other
        endpoint = other.serve()
        assert client.line() == b"UP r1\r\n"
        endpoint.close()


def test_list_of_the_largest_fleet_is_handed_over_in_a_hot_restart(tmp_path: Path) -> None:
    """Guards against a successor that starts without its predecessor's list, as that is too long."""
    with started_proxy(tmp_path, endpoints=2, admin_server=True, inherits_listener=True) as old:
        best, other = ranked(old)
        moved = LargeDiscovery(old.endpoints)
        moved.rev += 1
        old.reload("event=configuration-reloaded", discovery=moved.address)
        old.logged("event=endpoint-list-received form=full .*entries=3202")
        assert old.call(f"PUT /ops/servers/down?id={best.uid}") == 200
        moved.fail(True)
        with successor_of(old) as new:
            assert any(
                "endpoint-list-received" in line and "entries=3202" in line for line in new.passed_lines
            )
            new.wait_until_ready()
            client = new.open()
            assert new.next_attempted() is other
            endpoint = other.serve()
            assert client.line() == b"UP r1\r\n"
            endpoint.close()
