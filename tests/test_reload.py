"""Reload on SIGHUP: both files are read again while the proxy continues to serve."""

from __future__ import annotations

import math
import signal
from pathlib import Path
from typing import Any

import pytest
from conftest import MS, S, raw_settings
from connections import WAIT_S
from emulated_peers import DiscoveryServer
from proxy_harness import proxy_environment, settings, started_proxy
from requests_in_state import LONG_DEADLINE_MS, REQUEST_LINE, answer_all, request_in_state
from running_proxy import ranked

from linnetshift.config.proxy_file import read_config
from linnetshift.routing.settings import Settings
from rig.free_port import free_port


def test_changed_discovery_address_is_watched_and_no_connection_ends(tmp_path: Path) -> None:
    # SIGHUP ended the process; discovery's old address stops answering after the change.
    with started_proxy(tmp_path, endpoints=2) as running:
        first, second = ranked(running)
        client = running.open()
        endpoint = first.serve()
        assert client.line() == b"UP r1\r\n"
        new_discovery = DiscoveryServer(running.endpoints)
        running.reload("event=configuration-reloaded", discovery=new_discovery.address)
        # The full list first: it has the changes made in the meantime.
        assert new_discovery.calls.get(timeout=WAIT_S) == "/catalog/members"
        assert new_discovery.calls.get(timeout=WAIT_S).startswith("/catalog/members?since=1&")
        client.send(b"M 1\r\n")
        assert endpoint.line() == b"M 1\r\n"
        new_discovery.change(**{first.uid: "DRAINING"})
        assert client.line() == b"MOVE\r\n"
        second_client = running.open()
        second.serve()
        assert second_client.line() == b"UP r1\r\n"


def one_service(**changes: Any) -> dict[str, Any]:
    return {"services": [{**settings()["services"][0], **changes}]}


def service_without(key: str) -> dict[str, Any]:
    return {name: value for name, value in settings()["services"][0].items() if name != key}


def test_open_request_keeps_the_rules_of_its_class_when_the_class_is_discontinued(tmp_path: Path) -> None:
    # Settings that removed or changed a class were rejected, and so were clients of a new class.
    feed = settings()["services"][0]
    with started_proxy(tmp_path, endpoints=2) as running:
        first, second = ranked(running)
        established, endpoint = running.client(b"OPEN 1 2 c=feed,t=acme,d=2000\r\n"), first.accept()
        new_class = {**feed, "name": "late", "effect": "once", "hardLimitNs": 3_000_000_000}
        running.reload(
            "event=configuration-reloaded .*classes=late dropped=feed",
            settings=settings(services=[new_class], allowed={"maxAttempts": 1}),
        )
        endpoint.close("reset")  # whether the line was read or not: `feed` allows retries, up to 4 attempts
        second_endpoint = second.serve()
        assert established.line() == b"UP r1\r\n"
        new_class_client = running.client(b"OPEN 3 2 c=late,t=acme,d=2000\r\n")
        _, new_class_endpoint = running.serve_any()
        assert new_class_client.line() == b"UP r1\r\n"
        # A client that has not learned yet that the class is discontinued:
        old_class_client = running.client(b"OPEN 4 2 c=feed,t=acme,d=2000\r\n")
        _, old_class_endpoint = running.serve_any()
        assert old_class_client.line() == b"UP r1\r\n"
        for conn in (second_endpoint, new_class_endpoint, old_class_endpoint):
            conn.close()


def test_class_number_always_has_the_same_rules() -> None:
    first = Settings.parse(raw_settings())
    second = Settings.parse(raw_settings(**one_service(effect="once"))).numbered_after(first)
    third = Settings.parse(raw_settings()).numbered_after(second)
    fewer = Settings.parse(raw_settings(allowed={"maxAttempts": 2})).numbered_after(third)
    assert [s.offered_numbers for s in (first, second, third, fewer)] == [(0,), (1,), (0,), (2,)]
    assert fewer.classes[:2] == second.classes
    assert [klass.max_attempts for klass in fewer.classes] == [4, 4, 2]
    more = Settings.parse(
        raw_settings(services=[*raw_settings()["services"], one_service(name="late")["services"][0]])
    )
    assert [klass.message_latency_objective_ns for klass in more.classes] == [60 * MS, 60 * MS]


@pytest.mark.parametrize(
    ("changes", "error"),
    [
        ({"listen": "nowhere"}, "ADDRESS:PORT"),
        ({"settings": settings(services=[])}, "at least one class"),
        ({"settings": settings(tenants=[{"name": str(n)} for n in range(5000)])}, "more names of one kind"),
        ({"settings": {**settings(), "services": None}}, "'services' must be a list"),
        ({"settings": {k: v for k, v in settings().items() if k != "tenants"}}, "key 'settings.tenants'"),
        ({"settings": {**settings(), "rules": {"drainGraceNs": 1}}}, "key 'settings.rules"),
        ({"settings": settings(**one_service(hardLimitNs=0))}, "hardLimitNs' must be above 0"),
        ({"settings": settings(**one_service(hardLimitNs=True))}, "hardLimitNs' must be a whole number"),
        ({"settings": settings(**one_service(hardLimitNs=math.nan))}, "hardLimitNs' must be a whole number"),
        ({"settings": settings(**one_service(hardLimitNs="3"))}, "hardLimitNs' must be a whole number"),
        ({"settings": settings(allowed={"maxAttempts": -1})}, "maxAttempts' must be above 0"),
        ({"settings": settings(allowed={"maxAttempts": 0})}, "maxAttempts' must be above 0"),
        ({"settings": settings(services=2 * settings()["services"])}, "a class twice"),
        ({"known": {"rev": -1, "all": True, "targets": []}}, "no version"),
        ({"settings": settings(services=[service_without("group")])}, "key 'settings.services.feed..group'"),
        ({"settings": settings(services=[service_without("windowNs")])}, "services.feed..windowNs'"),
        ({"settings": settings(**one_service(worth="2"))}, "'services.0..worth' must be a number"),
        ({"settings": settings(**one_service(worth=math.inf))}, "'services.0..worth' must be from 0"),
        ({"settings": settings(tenants=[{"name": "a"}, {"name": "a"}])}, "tenants' names 'a' twice"),
        ({"limits": {"sockets": "many"}}, "'limits.sockets' must be a number"),
    ],
)
def test_unusable_configuration_is_rejected_and_changes_nothing(
    tmp_path: Path, changes: dict[str, Any], error: str
) -> None:
    with started_proxy(tmp_path) as running:
        client, endpoint = running.establish()
        other_discovery = DiscoveryServer([])
        running.reload(
            f"event=configuration-rejected .*{error}", discovery=other_discovery.address, **changes
        )
        running.discovery.change(**{running.endpoints[0].uid: "DRAINING"})
        endpoint.send(b"still\r\n")
        assert client.line() == b"still\r\n"
        assert running.alive()
        assert other_discovery.calls.empty()


@pytest.mark.parametrize(("kept_bytes", "kept_share"), [(0, 0.0), (1, 0.0), (0, 0.5), (0, 0.99)])
def test_truncated_file_is_rejected_and_changes_nothing(
    tmp_path: Path, kept_bytes: int, kept_share: float
) -> None:
    with started_proxy(tmp_path) as running:
        whole_text = running.config.read_text()
        kept_length = kept_bytes + int(kept_share * len(whole_text))
        running.config.write_text(whole_text[:kept_length])
        running.process.send_signal(signal.SIGHUP)
        running.logged("event=configuration-rejected .*is not JSON")
        running.establish()


def test_changed_settings_and_addresses_are_applied(tmp_path: Path) -> None:
    old_settings = settings()
    new_services = [*old_settings["services"], {**old_settings["services"][0], "name": "late"}]
    with started_proxy(
        tmp_path, broker_toml='[channels]\nenabled = true\nlisten = "127.0.0.1:PORT"\n'
    ) as running:
        old_port, new_port, new_channels_port = running.port, free_port(), free_port()
        established, endpoint = running.establish()
        broker_file = tmp_path / "broker.toml"
        broker_file.write_text(
            broker_file.read_text().replace(str(running.channels_port), str(new_channels_port))
        )
        running.reload(
            "event=configuration-reloaded",
            listen=f"127.0.0.1:{new_port}",
            settings=settings(services=new_services),
        )
        running.port = new_port
        client = running.client(b"OPEN 1 2 c=late,t=acme,d=2000\r\n")
        running.endpoints[0].serve()
        assert client.line() == b"UP r1\r\n"
        assert running.client(b"SSH-2.0-t\r\n", new_channels_port).line().startswith(b"SSH-2.0-")
        for closed_port in (old_port, running.channels_port):
            with pytest.raises(ConnectionRefusedError):
                running.client(port=closed_port)
        endpoint.send(b"on\r\n")
        assert established.line() == b"on\r\n"


def test_open_requests_count_towards_the_reloaded_contract(tmp_path: Path) -> None:
    contract_toml = '[[contract]]\nteam = "acme"\nconcurrency = 1\n'
    with started_proxy(tmp_path, broker_toml=contract_toml) as running:
        open_connections = running.establish()
        running.reload("event=configuration-reloaded")
        assert running.open().line() == b"BUSY 1000\r\n"
        open_connections[0].close()


def test_reload_during_graceful_shutdown_is_applied(tmp_path: Path) -> None:
    with started_proxy(tmp_path) as running:
        client, _ = running.establish()
        running.terminate()
        running.logged("event=shutdown-started")
        running.reload("event=configuration-reloaded", discovery=DiscoveryServer(running.endpoints).address)
        assert client.line() == b"MOVE\r\n"
        client.close()
        assert running.process.wait(WAIT_S) == 0


def test_reordered_names_keep_their_numbers(tmp_path: Path) -> None:
    # Settings with reordered tenants, zones or models were rejected, and with them discovery's new address.
    contracts_toml = '[[contract]]\nteam = "acme"\nconcurrency = 1\n[[contract]]\nteam = "other"\n'
    with started_proxy(tmp_path, broker_toml=contracts_toml) as running:
        acme_connections = running.establish()
        reordered_settings = settings(
            tenants=[{"name": "new"}, {"name": "other"}, {"name": "acme"}], zones=["z", "a"], zone=1
        )
        new_discovery = DiscoveryServer(running.endpoints)
        running.reload(
            "event=configuration-reloaded", settings=reordered_settings, discovery=new_discovery.address
        )
        assert new_discovery.calls.get(timeout=WAIT_S) == "/catalog/members"
        assert (
            running.open().line() == b"BUSY 1000\r\n"
        )  # acme's only one is open, under the number it began with
        other_client = running.client(b"OPEN 1 2 c=feed,t=other,d=2000\r\n")
        other_endpoint = running.endpoints[0].serve()
        assert other_client.line() == b"UP r1\r\n"
        assert other_endpoint
        acme_connections[0].close()


def test_requests_of_an_unlisted_tenant_do_not_count_for_one_listed_later(tmp_path: Path) -> None:
    # An unlisted tenant had the number that the next listed tenant received.
    with started_proxy(tmp_path) as running:
        unlisted_client = running.client(b"OPEN 1 2 c=feed,t=nobody,d=2000\r\n")
        endpoint = running.endpoints[0].serve()
        assert unlisted_client.line() == b"UP r1\r\n"
        assert endpoint
        (tmp_path / "broker.toml").write_text('[[contract]]\nteam = "late"\nconcurrency = 1\n')
        running.reload(
            "event=configuration-reloaded",
            settings=settings(tenants=[{"name": n} for n in ("acme", "other", "late")]),
        )
        late_client = running.client(b"OPEN 2 2 c=feed,t=late,d=2000\r\n")
        late_endpoint = running.endpoints[0].serve()
        assert late_client.line() == b"UP r1\r\n"
        assert late_endpoint
        assert running.client(b"OPEN 3 2 c=feed,t=late,d=2000\r\n").line() == b"BUSY 1000\r\n"


def test_zone_of_this_proxy_is_found_by_its_name(tmp_path: Path) -> None:
    with proxy_environment(tmp_path, zones=["a", "b"], zone=1) as environment:
        first_config = read_config(str(environment.config))
        text = environment.config.read_text().replace('"zones": ["a", "b"]', '"zones": ["c", "b"]')
        environment.config.write_text(text)
        reloaded_config = read_config(str(environment.config), first_config)
    assert (first_config.settings.zone, reloaded_config.settings.zone) == (1, 1)
    assert reloaded_config.names.zones == {"b": 1, "c": 2}
    assert reloaded_config.names.ever_listed.zones == {"a": 0, "b": 1, "c": 2}


@pytest.mark.parametrize("state", ["queued", "connecting", "sent"])
@pytest.mark.parametrize(("before", "after"), [("once", "repeatable"), ("repeatable", "once")])
def test_open_request_is_retried_by_the_effect_it_was_opened_with(
    tmp_path: Path, state: str, before: str, after: str
) -> None:
    base = {**settings()["services"][0], "aimNs": 10 * S, "hardLimitNs": 20 * S}
    allowed = {"connectTimeoutNs": 10 * S, "maxAttempts": 4}

    def with_effect(effect: str) -> list[dict[str, Any]]:
        return [{**base, "name": "feed", "effect": effect}]

    with started_proxy(tmp_path, 2, services=with_effect(before), allowed=allowed) as running:
        first, second = ranked(running)
        client, endpoint, out = request_in_state(running, first, state)
        extra_services = [{**base, "name": "extra", "effect": after}]  # listed first: the order changes too
        running.reload(
            "event=configuration-reloaded",
            settings=settings(services=extra_services + with_effect(after), allowed=allowed),
        )
        if state == "connecting":
            first.empty_accept_queue()
        if endpoint is None:
            answer_all(out)
            endpoint = first.accept()
            assert endpoint.line().startswith(b"OPEN 77 ")
        endpoint.close("reset")
        if before == "once":
            assert client.line() == b"ERR\r\n"
        else:
            retried = second.serve()
            assert client.line() == b"UP r1\r\n"
            assert retried
        new_client = running.client(REQUEST_LINE.replace(b"77", b"78") % LONG_DEADLINE_MS)
        attempt = running.next_attempted().accept()
        assert attempt.line().startswith(b"OPEN 78 ")
        attempt.close("reset")
        if after == "once":
            assert new_client.line() == b"ERR\r\n"
        else:
            _, accepted = running.serve_any()
            assert new_client.line() == b"UP r1\r\n"
            assert accepted
