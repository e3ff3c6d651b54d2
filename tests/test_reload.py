"""SIGHUP: the files are read anew while the program serves on."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from proxy import WAIT, Directory, free_port, proxy, settings
from test_platform import ranked


def test_the_watch_moves_and_nothing_is_dropped(tmp_path: Path) -> None:
    # SIGHUP used to end the program, and the directory's old address falls silent after it.
    with proxy(tmp_path, providers=2) as running:
        first, second = ranked(running)
        consumer = running.open()
        provider = first.serve()
        assert consumer.line() == b"UP r1\r\n"
        later = Directory(running.listeners)
        running.reload("event=reloaded", discovery=later.address)
        assert later.calls.get(timeout=WAIT) == "/catalog/members"  # what changed meanwhile is in it
        assert later.calls.get(timeout=WAIT).startswith("/catalog/members?since=1&")
        consumer.send(b"M 1\r\n")
        assert provider.line() == b"M 1\r\n"
        later.change(**{first.uid: "DRAINING"})
        assert consumer.line() == b"MOVE\r\n"
        again = running.open()
        second.serve()
        assert again.line() == b"UP r1\r\n"


@pytest.mark.parametrize(
    "changes, says",
    [
        ({"listen": "nowhere"}, "ADDRESS:PORT"),
        ({"listen": "192.0.2.1:1"}, "Cannot assign"),
        ({"settings": settings(services=[])}, "at least one class"),
        ({"settings": settings(tenants=[])}, "'acme' has lost its place"),
        ({"known": {"rev": -1, "targets": []}}, "no version"),
    ],
)
def test_what_cannot_be_used_changes_nothing(tmp_path: Path, changes: dict[str, Any], says: str) -> None:
    with proxy(tmp_path) as running:
        consumer, provider = running.standing()
        elsewhere = Directory([])
        running.reload(f"event=reload-refused .*{says}", discovery=elsewhere.address, **changes)
        running.directory.change(**{running.listeners[0].uid: "DRAINING"})
        provider.send(b"still\r\n")
        assert consumer.line() == b"still\r\n"
        assert running.alive()
        assert elsewhere.calls.empty()


def test_settings_and_addresses_are_taken_up(tmp_path: Path) -> None:
    base = settings()
    more = [*base["services"], {**base["services"][0], "name": "late"}]
    with proxy(tmp_path, own='[channels]\nenabled = true\nlisten = "127.0.0.1:PORT"\n') as running:
        old, new, extra = running.port, free_port(), free_port()
        standing, provider = running.standing()
        own = tmp_path / "broker.toml"
        own.write_text(own.read_text().replace(str(running.extra_port), str(extra)))
        running.reload("event=reloaded", listen=f"127.0.0.1:{new}", settings=settings(services=more))
        running.port = new
        consumer = running.client(b"OPEN 1 2 c=late,t=acme,d=2000\r\n")
        running.listeners[0].serve()
        assert consumer.line() == b"UP r1\r\n"
        assert running.client(b"SSH-2.0-t\r\n", extra).line().startswith(b"SSH-2.0-")
        for gone in (old, running.extra_port):
            with pytest.raises(ConnectionRefusedError):
                running.client(port=gone)
        provider.send(b"on\r\n")
        assert standing.line() == b"on\r\n"


def test_what_a_team_holds_goes_on_counting(tmp_path: Path) -> None:
    one = '[[contract]]\nteam = "acme"\nconcurrency = 1\n'
    with proxy(tmp_path, own=one) as running:
        held = running.standing()
        running.reload("event=reloaded")
        assert running.open().line() == b"BUSY 1000\r\n"
        held[0].close()


def test_a_reload_beside_a_planned_stop(tmp_path: Path) -> None:
    with proxy(tmp_path) as running:
        consumer, _ = running.standing()
        running.leave()
        running.logged("event=leaving")
        running.reload("event=reloaded", discovery=Directory(running.listeners).address)
        assert consumer.line() == b"MOVE\r\n"
        consumer.close()
        assert running.process.wait(WAIT) == 0
