"""Settings that differ between deployments, on the real process: list delivery and health check requests."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from proxy_harness import started_proxy


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_list_change_arrives_whether_lists_are_pushed_or_polled(tmp_path: Path, mode: str) -> None:
    # Where lists are pushed, the agent must be polled too: otherwise the list never changes after the start.
    with started_proxy(tmp_path, 2, discovery=mode) as running:
        running.discovery.change(**{"s-0": "DRAINING"})
        running.logged("event=endpoint-list-received form=full rev=2")
        for _ in range(8):
            client = running.open()
            endpoint = running.endpoints[1].serve()
            assert client.line() == b"UP r1\r\n"
            client.close()
            endpoint.close()


def test_pushed_list_is_polled_again_after_failed_call(tmp_path: Path) -> None:
    with started_proxy(tmp_path, 1, discovery="push") as running:
        running.discovery.fail(True)
        running.logged("event=discovery-call-failed")
        running.discovery.fail(False)
        running.discovery.change(**{"s-0": "DRAINING"})
        running.logged("event=endpoint-list-received form=full")


REPORT_WITH_LOAD_COLUMNS = {"report": {"columns": ["outstanding", "x0"], "how": "pull"}}
REPORT_WITH_LOG_FIELD_NAMES = {"report": {"columns": ["ms", "side", "event"], "how": "pull"}}


@pytest.mark.parametrize(
    ("report_settings", "request_line", "answer", "log_pattern"),
    [
        ({}, b"PING\r\n", b"PONG\r\n", r"reason=answered endpoint=s-0 ms=\d+$"),
        (
            REPORT_WITH_LOAD_COLUMNS,
            b"STATS\r\n",
            b"PONG x0=0.5,zz=1,outstanding=7\r\n",
            r"answered .* outstanding=7.0 x0=0.5",
        ),
        (REPORT_WITH_LOAD_COLUMNS, b"STATS\r\n", b"PONG x0=0.5\r\n", r"reason=answered endpoint=s-0 ms=\d+$"),
        (
            REPORT_WITH_LOAD_COLUMNS,
            b"STATS\r\n",
            b"PONG outstanding=1,x0=nan\r\n",
            r"reason=answered endpoint=s-0 ms=\d+$",
        ),
        (REPORT_WITH_LOAD_COLUMNS, b"STATS\r\n", b"ERR\r\n", "side=health-check reason=error"),
        (
            REPORT_WITH_LOG_FIELD_NAMES,
            b"STATS\r\n",
            b"PONG ms=7,side=8,event=9\r\n",
            r"side=health-check reason=answered endpoint=s-0 ms=\d+",
        ),
    ],
)
def test_health_check_requests_the_configured_report(
    tmp_path: Path, report_settings: dict[str, Any], request_line: bytes, answer: bytes, log_pattern: str
) -> None:
    with started_proxy(tmp_path, 1, allowed={"probing": True}, **report_settings) as running:
        client = running.open()
        connection = running.endpoints[0].accept()
        assert connection.line() == request_line
        connection.send(answer)
        running.logged(log_pattern)
        if answer != b"ERR\r\n":
            running.endpoints[0].serve()
            assert client.line() == b"UP r1\r\n"
