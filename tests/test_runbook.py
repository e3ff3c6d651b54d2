"""The runbook lists every event and reason that the program can log, and no other."""

from __future__ import annotations

import re
from pathlib import Path

from logged_events import logged_events

from linnetshift.observability.log import Reason

RUNBOOK = (Path(__file__).parent.parent / "docs" / "runbook.md").read_text()


def names_in_first_column(begin: str, end: str) -> set[str]:
    """Names in backquotes that begin the rows of the tables between two headings."""
    section = RUNBOOK[RUNBOOK.index(begin) : RUNBOOK.index(end)]
    first_columns = re.findall(r"^\| (`[^|]*) \|", section, re.MULTILINE)
    return {
        name for cell in first_columns for name in re.findall(r"`([a-z]+(?:-[a-z]+)*)`", cell.split(" (")[0])
    }


def test_runbook_lists_the_events_that_the_program_logs() -> None:
    events = logged_events()
    assert len(events) > 20
    assert names_in_first_column("## Events", "## Reason codes") == events


def test_runbook_lists_the_reasons_that_a_connection_ends_with() -> None:
    reasons = {reason.value for reason in Reason}
    assert names_in_first_column("## Reason codes", "## Situations") == reasons
