"""What differs between deployments, on the real process: how lists arrive, what health checks ask."""

from __future__ import annotations

from pathlib import Path

import pytest
from proxy import proxy


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_list_change_arrives_whether_lists_are_pushed_or_polled(tmp_path: Path, mode: str) -> None:
    # Where lists are pushed the agent was not polled: the list stayed for good as it was at the start.
    with proxy(tmp_path, 2, discovery=mode) as running:
        running.discovery.change(**{"s-0": "DRAINING"})
        running.logged("event=endpoint-list-received form=full rev=2")
        for _ in range(8):
            client = running.open()
            endpoint = running.listeners[1].serve()
            assert client.line() == b"UP r1\r\n"
            client.close()
            endpoint.close()


def test_pushed_list_is_polled_again_after_a_failure(tmp_path: Path) -> None:
    with proxy(tmp_path, 1, discovery="push") as running:
        running.discovery.fail(True)
        running.logged("event=discovery-call-failed")
        running.discovery.fail(False)
        running.discovery.change(**{"s-0": "DRAINING"})
        running.logged("event=endpoint-list-received form=full")


COLUMNS = {"report": {"columns": ["outstanding", "x0"], "how": "pull"}}
ODD = {"report": {"columns": ["ms", "side", "event"], "how": "pull"}}


@pytest.mark.parametrize(
    ("more", "sent", "answer", "logged"),
    [
        ({}, b"PING\r\n", b"PONG\r\n", r"reason=answered endpoint=s-0 ms=\d+$"),
        (COLUMNS, b"STATS\r\n", b"PONG x0=0.5,zz=1,outstanding=7\r\n", r"answered .* outstanding=7.0 x0=0.5"),
        (COLUMNS, b"STATS\r\n", b"PONG x0=0.5\r\n", r"reason=answered endpoint=s-0 ms=\d+$"),
        (COLUMNS, b"STATS\r\n", b"PONG outstanding=1,x0=nan\r\n", r"reason=answered endpoint=s-0 ms=\d+$"),
        (COLUMNS, b"STATS\r\n", b"ERR\r\n", "side=health-check reason=error"),
        (
            ODD,
            b"STATS\r\n",
            b"PONG ms=7,side=8,event=9\r\n",
            r"side=health-check reason=answered endpoint=s-0 ms=\d+",
        ),
    ],
)
def test_health_check_requests_the_report_that_the_settings_name(
    tmp_path: Path, more: dict[str, object], sent: bytes, answer: bytes, logged: str
) -> None:
    with proxy(tmp_path, 1, allowed={"probing": True}, **more) as running:
        client = running.open()
        connection = running.listeners[0].accept()
        assert connection.line() == sent
        connection.send(answer)
        running.logged(logged)
        if answer != b"ERR\r\n":
            running.listeners[0].serve()
            assert client.line() == b"UP r1\r\n"
