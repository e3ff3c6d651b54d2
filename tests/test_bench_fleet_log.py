"""Counts over the logs of all proxies, on sample logs: two proxies and three endpoints, one warming up."""

from __future__ import annotations

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "bench"))

import fleet_counts  # noqa: E402
import fleet_log  # noqa: E402
import proxy_logs  # noqa: E402
from logged_events import logged_events  # noqa: E402

from linnetshift.observability.log import Reason  # noqa: E402

LINE_START = "ts=2026-01-01T00:00:{:06.3f}Z level=info event="
LOGS = {
    "n0": [
        (0.0, "process-started name=n0 start_ms=300"),
        (0.1, "connection-ended side=client reason=probed id=0 attempts=0 ms=1"),
        (0.2, "endpoint-list-received form=full rev=1 entries=3 draining=0 removed=0 warming_up=s-3@200"),
        (1.01, "attempt-started id=1 attempt=0 endpoint=s-1"),
        (1.16, "connection-ended side=endpoint reason=unreachable id=1 attempt=0 endpoint=s-1 ms=150"),
        (1.17, "attempt-started id=1 attempt=1 endpoint=s-3"),
        (5.0, "connection-ended side=client reason=served id=1 endpoint=s-3 attempts=2 ms=4000"),
        (5.0, "connection-ended side=endpoint reason=served id=1 attempt=1 endpoint=s-3 ms=3800"),
    ],
    "n1": [
        (0.05, "process-started name=n1 start_ms=300"),
        (0.35, "connection-ended side=client reason=probed id=0 attempts=0 ms=1"),
        (0.4, 'discovery-call-failed path="/a?b=1" error="ConnectionError: status 503"'),
        (1.12, "attempt-started id=1 attempt=0 endpoint=s-3"),
        (1.3, "connection-ended side=health-check reason=timed-out endpoint=s-2 ms=200"),
        (2.0, 'connection-ended side=client reason=rejected id=2 endpoint="" attempts=0 wait_ms=2000 ms=0'),
        (2.2, 'connection-ended side=client reason=rejected id=3 endpoint="" attempts=0 wait_ms=1800 ms=0'),
        (3.0, "connection-ended side=client reason=migrated id=1 endpoint=s-3 attempts=1 ms=2000"),
        (3.1, "not a line of the program's"),
    ],
}


CLIENT_LOGS = {
    "n0": [
        (0.0, "process-started name=n0"),
        (1.0, "attempt-started id=1 attempt=0 endpoint=s-1 key=7f group=5 flags=0"),
        (1.1, "attempt-started id=2 attempt=0 endpoint=s-2 key=80 group=5 flags=0"),
        (1.2, "connection-ended side=endpoint reason=endpoint-reset id=1 attempt=0 endpoint=s-1 ms=200"),
        (1.2, "connection-ended side=client reason=endpoint-reset id=1 open=ab1 key=7f endpoint=s-1 ms=200"),
        (3.0, "process-started name=n0"),
        (3.1, "attempt-started id=1 attempt=0 endpoint=s-3 key=81 group=6 flags=0"),
    ],
    "n1": [
        (0.0, "process-started name=n1"),
        (2.0, "attempt-started id=1 attempt=0 endpoint=s-2 key=7f group=5 flags=16"),
        (2.5, "connection-ended side=client reason=served id=1 open=ab2 key=7f endpoint=s-2 ms=500"),
    ],
}


def write_logs(directory: Path, logs: dict[str, list[tuple[float, str]]]) -> None:
    """Write a log file for each proxy; a text without fields is written unchanged, as another program's."""
    for name, lines in logs.items():
        written = [
            f"[{at_s:.2f}] {LINE_START.format(at_s)}{text}" if "=" in text else text for at_s, text in lines
        ]
        (directory / f"{name}.log").write_text("\n".join(written))


def test_logs_of_all_proxies_are_joined_on_time_and_endpoint(tmp_path: Path) -> None:
    write_logs(tmp_path, LOGS)
    counts = fleet_counts.FleetCounts(proxy_logs.read_logs(tmp_path))
    rows = "\n".join(fleet_log.report(counts, 0.1, 2))
    assert counts.busiest_steps(0.1, 1) == [
        (2, 1.1, "s-3", 2)
    ]  # one from each proxy, within one step of 0.1 s
    assert counts.attempts_per_request == {2: 1, 0: 2, 1: 1}
    assert counts.migrations == {"migrated": 1}
    assert "proxies 2" in rows
    assert "discovery answers 2  failed 1  most in a second 2" in rows
    assert "connections opened 3  to cold endpoints 2" in rows
    assert "s-1            failed 1 of 1  unreachable:1" in rows
    assert "rejections 2  without an attempt 2  most in a second 2, due back in one 2" in rows
    assert "health checks of s-2            timed-out:1" in rows
    assert [
        round(duration, 2) for durations in counts.start_durations.values() for duration in durations
    ] == [
        0.4,
        0.6,
    ]


def test_lines_of_a_client_are_found_in_logs_of_all_proxies(tmp_path: Path) -> None:
    write_logs(tmp_path, CLIENT_LOGS)
    lines = proxy_logs.read_logs(tmp_path)
    for client_id in ("00AB1", "ab2", "7f"):  # two of its ids, and its key
        found = [
            (line.at_s, line.proxy, line.fields["id"]) for line in proxy_logs.follow_client(lines, client_id)
        ]
        # Neither the request with the same number in the next process, nor the one of the same group.
        assert found == [
            (1.0, "n0", "1"),
            (1.2, "n0", "1"),
            (1.2, "n0", "1"),
            (2.0, "n1", "1"),
            (2.5, "n1", "1"),
        ]
    assert proxy_logs.follow_client(lines, "99") == []


def test_ends_of_connections_are_counted_by_class_and_step(tmp_path: Path) -> None:
    write_logs(
        tmp_path,
        {
            "n0": [
                (1.0, "attempt-started id=1 attempt=0 endpoint=s-1 key=7f group=5 class=feed flags=0"),
                (2.0, "attempt-started id=2 attempt=0 endpoint=s-1 key=80 group=5 class=bulk flags=0"),
                (
                    6.5,
                    "connection-ended side=client reason=migrated id=1 key=7f class=feed attempts=1 ms=5500",
                ),
                (
                    7.0,
                    "connection-ended side=client reason=stalled id=2 key=80 class=bulk attempts=1 ms=1000",
                ),
                (
                    7.5,
                    "connection-ended side=client reason=rejected id=3 key=81 class=bulk attempts=0 ms=500",
                ),
            ],
            "n1": [
                (8.0, "connection-ended side=client reason=migrated id=9 key=82 class=feed attempts=1 ms=100")
            ],
        },
    )
    head, *rows = (row.split() for row in fleet_log.class_table(proxy_logs.read_logs(tmp_path), 5.0))
    assert head[3:] == ["attempts", *fleet_log.CLIENT_END_REASONS]
    table = {(row[0], row[1]): dict(zip(head[2:], map(int, row[2:]), strict=True)) for row in rows}
    assert {step: {name: count for name, count in row.items() if count} for step, row in table.items()} == {
        ("0.0", "bulk"): {"attempts": 1},
        ("0.0", "feed"): {"came": 1, "attempts": 1},
        ("5.0", "bulk"): {"came": 2, "rejected": 1, "other": 1},
        ("5.0", "feed"): {"came": 1, "migrated": 2},
    }


def test_tool_and_sample_logs_use_only_events_and_reasons_of_the_program() -> None:
    texts = [
        text for logs in (LOGS, CLIENT_LOGS) for lines in logs.values() for _, text in lines if "=" in text
    ]
    assert {text.split()[0] for text in texts} <= logged_events()
    reasons = {reason for text in texts for reason in re.findall(r" reason=(\S+)", text)}
    counted_reasons = {*fleet_log.FAILED_ATTEMPTS, *fleet_log.CLIENT_END_REASONS} - {"other"}
    assert reasons | counted_reasons <= {reason.value for reason in Reason}
