"""What differs between deployments, on the real program: how the list comes, what probes tell, what weights mean."""

from __future__ import annotations

from pathlib import Path

import pytest
from proxy import proxy


@pytest.mark.parametrize("how", ["push", "ask"])
def test_a_change_of_the_list_arrives_however_lists_come(tmp_path: Path, how: str) -> None:
    # Where lists are pushed nobody asked the agent: the list stayed as it was at the start for good.
    with proxy(tmp_path, 2, discovery=how) as running:
        running.directory.change(**{"s-0": "DRAINING"})
        running.logged("event=listed form=full rev=2")
        for _ in range(8):
            consumer = running.open()
            provider = running.listeners[1].serve()
            assert consumer.line() == b"UP r1\r\n"
            consumer.close()
            provider.close()


def test_a_pushed_list_is_asked_for_again_after_a_failure(tmp_path: Path) -> None:
    with proxy(tmp_path, 1, discovery="push") as running:
        running.directory.fail(True)
        running.logged("event=directory-call-failed")
        running.directory.fail(False)
        running.directory.change(**{"s-0": "DRAINING"})
        running.logged("event=listed form=full")
