"""Some seeds of the fault soak, and detection of deliberately broken proxies by its checks."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from rig.fleet import node_process
from rig.fleet.random_scenario import draw_scenario
from rig.fleet.run import Report, run_scenario
from rig.fleet.scenario import parse

ROOT = Path(__file__).parent.parent

TRAFFIC = """
        name = "broken on purpose"
        nodes = 2
        [traffic]
        duration_s = 3.0
        arrivals_per_s = 60.0
        deadline_s = 0.5
        leaving_share = 0.3
        groups = 300
"""
DRAIN = """
        [[faults]]
        at_s = 0.5
        kind = "drain"
        endpoints = [0]
"""
TERMINATION = """
        [[faults]]
        at_s = 1.0
        kind = "terminate"
        nodes = [0]
"""
SLOW_ENDPOINTS = """
        [[faults]]
        at_s = 0.1
        kind = "slow"
        endpoints = [0, 1, 2, 3, 4, 5]
        delay_s = 2.0
"""


@pytest.mark.parametrize("seed", [2, 7, 19])
def test_invariants_hold_under_the_faults_of_a_seed(tmp_path: Path, seed: int) -> None:
    report = run_scenario(draw_scenario(seed), tmp_path)
    assert report.violations == [], report.explain()
    assert report.crashes == []


@pytest.mark.parametrize(
    ("rule", "faults", "file", "text", "broken_text"),
    [
        (
            "sent-to-draining",
            DRAIN,
            "endpoint_list/parsing.py",
            '"DRAINING": EndpointState.DRAINING',
            '"DRAINING": EndpointState.READY',
        ),
        (
            "unanswered",
            SLOW_ENDPOINTS,
            "frontends/line_protocol/protocol.py",
            'ERROR_LINE = b"ERR\\r\\n"',
            'ERROR_LINE = b""',
        ),
        (
            "cut-off",
            TERMINATION,
            "frontends/line_protocol/protocol.py",
            'MOVE_LINE = b"MOVE\\r\\n"',
            'MOVE_LINE = b""',
        ),
    ],
)
def test_checks_detect_a_proxy_that_violates_an_invariant(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    rule: str,
    faults: str,
    file: str,
    text: str,
    broken_text: str,
) -> None:
    program = tmp_path / "program"
    shutil.copytree(ROOT / "linnetshift", program / "linnetshift")
    source = program / "linnetshift" / file
    assert text in source.read_text()
    source.write_text(source.read_text().replace(text, broken_text))
    monkeypatch.setattr(node_process, "ROOT", program)
    assert rule in violated_rules(run_scenario(parse(TRAFFIC + faults), tmp_path))


def violated_rules(report: Report) -> set[str]:
    return {violation.rule for violation in report.violations}
