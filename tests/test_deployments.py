"""What differs between deployments, on the real program: lists, health checks, weights."""

from __future__ import annotations

from pathlib import Path

import pytest
from proxy import proxy


@pytest.mark.parametrize("how", ["push", "ask"])
def test_a_change_of_the_list_arrives_however_lists_come(tmp_path: Path, how: str) -> None:
    # Where lists are pushed nobody asked the agent: the list stayed as it was at the start for good.
    with proxy(tmp_path, 2, discovery=how) as running:
        running.discovery.change(**{"s-0": "DRAINING"})
        running.logged("event=endpoint-list-received form=full rev=2")
        for _ in range(8):
            client = running.open()
            endpoint = running.listeners[1].serve()
            assert client.line() == b"UP r1\r\n"
            client.close()
            endpoint.close()


def test_a_pushed_list_is_asked_for_again_after_a_failure(tmp_path: Path) -> None:
    with proxy(tmp_path, 1, discovery="push") as running:
        running.discovery.fail(True)
        running.logged("event=discovery-call-failed")
        running.discovery.fail(False)
        running.discovery.change(**{"s-0": "DRAINING"})
        running.logged("event=endpoint-list-received form=full")


COLUMNS = {"report": {"columns": ["outstanding", "x0"], "how": "pull"}}
ODD = {"report": {"columns": ["ms", "side", "event"], "how": "pull"}}


@pytest.mark.parametrize(
    "more, asked, answer, logged",
    [
        ({}, b"PING\r\n", b"PONG\r\n", r"reason=answered provider=s-0 ms=\d+$"),
        (COLUMNS, b"STATS\r\n", b"PONG x0=0.5,zz=1,outstanding=7\r\n", r"answered .* outstanding=7.0 x0=0.5"),
        (COLUMNS, b"STATS\r\n", b"PONG x0=0.5\r\n", r"reason=answered provider=s-0 ms=\d+$"),
        (COLUMNS, b"STATS\r\n", b"PONG outstanding=1,x0=nan\r\n", r"reason=answered provider=s-0 ms=\d+$"),
        (COLUMNS, b"STATS\r\n", b"ERR\r\n", "side=health-check reason=error"),
        (
            ODD,
            b"STATS\r\n",
            b"PONG ms=7,side=8,event=9\r\n",
            r"side=health-check reason=answered provider=s-0 ms=\d+",
        ),
    ],
)
def test_a_health_check_asks_for_what_the_settings_name(
    tmp_path: Path, more: dict[str, object], asked: bytes, answer: bytes, logged: str
) -> None:
    with proxy(tmp_path, 1, allowed={"probing": True}, **more) as running:
        client = running.open()
        check_health = running.listeners[0].accept()
        assert check_health.line() == asked
        check_health.send(answer)
        running.logged(logged)
        if answer != b"ERR\r\n":
            running.listeners[0].serve()
            assert client.line() == b"UP r1\r\n"
