"""Discovery that answers with lists that cannot be used: what they cost, and what is learned meanwhile.

Guards against a proxy that asks for such a list about twice a second for as long as it lives (review/9).
"""

from __future__ import annotations

import json
import queue
import threading
import time
from pathlib import Path
from typing import Any

import pytest
from conftest import S
from connections import WAIT_S
from emulated_peers import DiscoveryServer, EmulatedEndpoint
from proxy_harness import proxy_in_thread, started_proxy
from running_proxy import ranked

from linnetshift.discovery.unusable_lists import (
    ALLOWANCE_BYTES,
    ALLOWANCE_BYTES_PER_ENDPOINT,
    ALLOWANCE_PERIOD_NS,
    UnusableListBudget,
)
from linnetshift.endpoint_list.document import MAX_DOCUMENT_BYTES

FULL_LIST = "/catalog/members"
OBSERVED_S = 6.0


def test_allowance_of_one_period_may_be_spent_at_once_and_again_after_it() -> None:
    """Guards against a wait after a single answer, and against one that never ends."""
    budget = UnusableListBudget()
    allowance = ALLOWANCE_BYTES + 3200 * ALLOWANCE_BYTES_PER_ENDPOINT
    budget.charge(allowance, 3200, 1 * S)
    assert budget.wait_ns(1 * S) == 0
    budget.charge(allowance // 2, 3200, 1 * S)
    assert budget.wait_ns(1 * S) == ALLOWANCE_PERIOD_NS // 2
    assert budget.wait_ns(1 * S + ALLOWANCE_PERIOD_NS // 2) == 0
    assert (budget.count, budget.total_bytes) == (2, allowance + allowance // 2)


def test_list_of_any_length_is_requested_again_after_one_period() -> None:
    """Guards against a wait of hours after one answer of a wrong length."""
    budget = UnusableListBudget()
    for _ in range(3):
        budget.charge(1 << 40, 3, 1 * S)
    assert budget.wait_ns(1 * S) == ALLOWANCE_PERIOD_NS
    assert budget.wait_ns(1 * S + ALLOWANCE_PERIOD_NS) == 0


def test_bytes_requested_in_many_periods_keep_to_the_allowance() -> None:
    """Guards against a budget that lets through more the longer discovery is at fault."""
    budget = UnusableListBudget()
    now, requested = 0, 0
    while now < 20 * ALLOWANCE_PERIOD_NS:
        budget.charge(50_000, 10, now)
        requested += 50_000
        now += max(budget.wait_ns(now), S // 4)
    allowance = ALLOWANCE_BYTES + 10 * ALLOWANCE_BYTES_PER_ENDPOINT
    assert requested <= 22 * allowance


class UnusableDiscovery(DiscoveryServer):
    """Answers calls for the full list with one that cannot be used, watches with changes."""

    def __init__(self, endpoints: list[EmulatedEndpoint], full_list: str) -> None:
        self.full_list = full_list
        self.filling = "x" * 40_000
        self.call = threading.local()  # each call has a thread
        super().__init__(endpoints)

    def next_answer(self) -> bytes:
        listing = super().listing()
        if hasattr(self.call, "is_watch"):
            return json.dumps({**listing, "all": False}).encode()
        if self.full_list == "too-long":
            return json.dumps(listing).encode() + b" " * MAX_DOCUMENT_BYTES
        if self.full_list == "no-json":
            return json.dumps(listing).encode()[:-2] + b" " * 40_000
        if self.full_list == "empty":
            return json.dumps({**listing, "targets": [], "fill": self.filling}).encode()
        return json.dumps({**listing, "rev": 0, "fill": self.filling}).encode()

    def wait_for_change(self, revision: int, timeout_s: float) -> bool:
        self.call.is_watch = True
        return super().wait_for_change(revision, timeout_s)


def full_list_calls(discovery: DiscoveryServer, within_s: float) -> int:
    """How many calls for the full list come within this time."""
    until_s = time.monotonic() + within_s
    calls = 0
    while (remaining_s := until_s - time.monotonic()) > 0:
        try:
            calls += discovery.calls.get(timeout=remaining_s) == FULL_LIST
        except queue.Empty:
            break
    return calls


@pytest.mark.parametrize("discovery", ["ask", "push"])
@pytest.mark.parametrize("full_list", ["too-long", "no-json", "empty", "older"])
def test_unusable_full_list_is_requested_seldom_and_drains_are_learned_meanwhile(
    tmp_path: Path, full_list: str, discovery: str
) -> None:
    """Guards against calls at full speed, and against drains that are not learned of."""
    with started_proxy(tmp_path, 2, admin_server=True, discovery=discovery) as running:
        best, other = ranked(running)
        running.discovery.change()
        running.logged("event=endpoint-list-received .*rev=2")
        moved = UnusableDiscovery(running.endpoints, full_list)
        moved.rev = 2
        running.reload("event=configuration-reloaded", discovery=moved.address)
        assert moved.calls.get(timeout=WAIT_S) == FULL_LIST
        running.logged(f"event=endpoint-list-unusable path={FULL_LIST} bytes=.* wait_ms=")
        # 40,000 bytes each are within the allowance of a minute twice; the longest list is not once.
        assert full_list_calls(moved, OBSERVED_S) <= 2
        moved.change(**{best.uid: "DRAINING"})
        running.logged("event=endpoint-list-received .*draining=1")
        client = running.open()
        assert running.next_attempted() is other
        endpoint = other.serve()
        assert client.line() == b"UP r1\r\n"
        endpoint.close()
        status = running.admin_document("/ops/discovery")
        assert status["needs_full_list"]
        assert status["unusable_lists"] >= 1
        assert status["age_ms"] >= 1000 * OBSERVED_S  # changes alone do not confirm the list


def test_full_list_that_becomes_usable_is_used_and_confirms_the_list(tmp_path: Path) -> None:
    """Guards against a proxy that goes on by changes for ever after one unusable list."""
    with started_proxy(tmp_path, 2, admin_server=True) as running:
        best, other = ranked(running)
        moved = DiscoveryServer(running.endpoints)
        moved.rev = 5
        moved.replacement_answers.append(b"{")
        running.reload("event=configuration-reloaded", discovery=moved.address)
        running.logged(f"event=endpoint-list-unusable path={FULL_LIST}")
        running.logged("event=endpoint-list-received form=full rev=5")
        status = running.admin_document("/ops/discovery")
        assert not status["needs_full_list"]
        assert status["age_ms"] < 1000 * WAIT_S
        moved.change(**{best.uid: "DRAINING"})
        running.logged("event=endpoint-list-received .*draining=1")
        assert other.state == "SERVING"


def test_list_with_an_invalid_entry_is_fetched_again_within_the_allowance(tmp_path: Path) -> None:
    """Guards against a fetch of the whole list every 2 s for as long as one entry is invalid."""

    class WithInvalidEntry(DiscoveryServer):
        def listing(self) -> dict[str, Any]:
            listing = super().listing()
            listing["targets"].append({"uid": "odd", "state": "SERVING", "fill": "x" * 40_000})
            return listing

    with started_proxy(tmp_path, 2) as running:
        moved = WithInvalidEntry(running.endpoints)
        moved.rev = 2
        running.reload("event=configuration-reloaded", discovery=moved.address)
        running.logged("event=endpoint-entries-invalid count=1")
        assert full_list_calls(moved, OBSERVED_S) <= 3


def test_older_full_list_is_used_once_it_has_been_confirmed_beside_the_watch(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a discovery with new version numbers that is never followed."""
    monkeypatch.setattr("linnetshift.discovery.stale_list.CONFIRMATION_NS", 3 * S)
    with proxy_in_thread(tmp_path) as running:
        running.discovery.change()
        while running.program.discovery.version < 2:
            time.sleep(0.01)
        moved = UnusableDiscovery(running.endpoints, "older")
        moved.filling = ""
        host, port = moved.address.split(":")
        running.program.discovery.reconfigure((host, int(port)), running.program.discovery.timeouts)
        until_s = time.monotonic() + WAIT_S
        while running.program.discovery.version:
            assert time.monotonic() < until_s
            time.sleep(0.01)
        assert not running.program.discovery.requests.needs_full_list
