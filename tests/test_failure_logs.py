"""The report of a failing test or run includes the logs of its processes."""

from __future__ import annotations

from pathlib import Path

import failure_logs
import pytest
from proxy_harness import started_proxy

from rig.fleet.invariants import Violation
from rig.fleet.observations import Answer, Attempt, ClientRequest, Delay, Observations
from rig.fleet.violation_logs import explain


def test_report_of_failing_test_includes_logs_of_process_and_endpoints(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(failure_logs, "LOG_FOLDER", tmp_path / "found")
    with started_proxy(tmp_path) as running:
        running.establish()
        running.logged("event=attempt-started")
        sections = dict(failure_logs.report_sections("test_file.py::test[a b]"))
    process_log = sections[f"log of process-{running.process.pid}"]
    endpoint_log = sections[f"log of endpoint-s-0-{running.endpoints[0].port}"]
    assert "event=process-started" in process_log
    assert "event=attempt-started" in process_log
    assert "answered UP" in endpoint_log
    kept = {path.read_text().strip() for path in (tmp_path / sections["whole logs"]).iterdir()}
    assert {process_log, endpoint_log} <= kept


def test_explanation_of_violation_has_log_lines_and_delays_of_its_request(tmp_path: Path) -> None:
    request = ClientRequest(0x1083, 0, 1.5, 2.0, 7, [Answer(4.5, "UP")], key=0xABC)
    observations = Observations(
        requests={request.id: request},
        attempts=[Attempt(request.id, 0, "s-1", 1.6, 4.4)],
        rig_delays=[Delay(2.0, 0.25), Delay(9.0, 1.0)],
    )
    (tmp_path / "n0.log").write_text(
        "event=attempt-started id=7 attempt=0 endpoint=s-1 key=abc group=1\n"
        "event=attempt-started id=8 attempt=0 endpoint=s-2 key=def group=1\n"
        "event=connection-ended side=endpoint reason=timed-out id=7 attempt=0\n"
    )
    violation = Violation("unanswered", "1083 at node 0, sent at 1.500")
    text = explain([violation], observations, tmp_path)
    assert "unanswered: 1083 at node 0" in text
    assert "attempt at s-1, began at 1.600" in text
    assert "late by 0.250 s" in text
    assert "reason=timed-out id=7" in text
    assert "id=8" not in text
