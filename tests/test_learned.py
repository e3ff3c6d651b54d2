"""What the program learns of a deployment, and the lines that tell of it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from conftest import S, entry, host
from proxy import proxy

from linnetshift.core.learned import Learned
from linnetshift.interface import HostState

GOES = entry(1, state=HostState.DRAINING)


@pytest.mark.parametrize(
    "entries, whole, standing, after, news",
    [
        ([GOES], False, [host(1)], 2 * S, [("drain", "serves-on")]),
        ([GOES], False, [host(1)], S // 2, []),  # it may be sending them away at this moment
        ([GOES], False, [host(2)], 2 * S, []),
        ([GOES._replace(leave_ns=S)], False, [host(1)], 2 * S, []),  # operators took it out
    ],
)
def test_a_drain_is_judged_by_what_still_stands(
    entries: list[Any], whole: bool, standing: list[bytes], after: int, news: list[tuple[str, str]]
) -> None:
    learned = Learned()
    learned.listed(entries, whole, 5 * S)
    learned.listed([entry(3)], False, 5 * S + 1)  # a change that does not name it takes nothing back
    learned.review(standing, 5 * S + after)
    assert learned.fresh() == news


@pytest.mark.parametrize("later, whole", [([entry(3)], True), ([entry(1)], False), ([], True)])
def test_a_drain_that_is_over_is_forgotten(later: list[Any], whole: bool) -> None:
    learned = Learned()
    learned.listed([GOES], False, 1 * S)
    learned.listed(later, whole, 2 * S)
    learned.review([host(1)], 9 * S)
    assert not learned.fresh() and not learned.drains


def test_a_fact_is_told_once_and_again_when_it_changes() -> None:
    learned = Learned()
    learned.sent_away()
    learned.sent_away()
    assert learned.fresh() == [("drain", "sends-away")] and not learned.fresh()
    learned.found("drain", "serves-on")
    assert learned.fresh() == [("drain", "serves-on")]


def test_the_log_says_what_was_made_of_the_settings_and_what_was_learned(tmp_path: Path) -> None:
    settings = {"allowed": {"probing": True}, "fees": {"crossZone": 0.056}, "weightSource": "live"}
    report = {"columns": ["outstanding", "x0"], "how": "pull"}
    with proxy(tmp_path, 1, discovery="push", report=report, **settings) as running:
        running.logged(
            "event=reckoned .*far_weight=0.368 weights=no-sizes lists=pushed probes=outstanding,x0"
        )
        consumer = running.open()
        probe = running.listeners[0].accept()
        probe.line()
        probe.send(b"PONG\r\n")
        provider = running.listeners[0].serve()
        assert consumer.line() == b"UP r1\r\n"
        running.logged("event=learned what=reports value=none")
        provider.send(b"MOVE\r\n")
        provider.close()
        running.logged("event=learned what=drain value=sends-away")
