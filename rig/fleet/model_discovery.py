"""Emulated discovery: one list for all nodes, changes of which reach each node after a delay of its own.

Where the scenario limits its capacity, calls wait for their turn, and those that wait too long fail.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from rig.fleet.listeners import NodeListeners
from rig.fleet.observations import Observations, RunClock
from rig.fleet.scenario import Scenario

NOTICE_DEADLINE_S = 6.0
"""A node counts as notified of a change so long after discovery had it and could be reached, in seconds."""

CONTINUATION_S = 0.2
"""A call that comes so soon after the last answer continues the watch, and has no turn to wait for."""

UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
"""The answer to a call that waited too long."""

RELOAD_NOTICE_S = 4.0
"""What discovery had at a reload counts as known so long after it."""

PIECES = 5
"""Pieces of an answer that comes in pieces."""

PIECE_INTERVAL_S = 0.04
"""Time between two of them, in seconds."""

ListEntry = dict[str, object]
"""An endpoint's entry of the list, as JSON."""

ListEntries = dict[str, ListEntry]
"""Entries by the endpoint's uid."""


def loop_time_s() -> float:
    """Time on the running loop's clock, in seconds."""
    return asyncio.get_running_loop().time()


@dataclass
class AnswerFaults:
    """What is wrong with the answers to one node."""

    delay_s: float = 0.0
    is_unavailable: bool = False
    is_older: bool = False
    """Whether the list is that of the start, under a version before it."""

    has_invalid_entry: bool = False
    is_in_pieces: bool = False


class DiscoveryServer:
    """Answers the nodes' calls and watches; each node has its own view of the list."""

    def __init__(self, scenario: Scenario, observations: Observations, clock: RunClock) -> None:
        self.scenario = scenario
        self.observations = observations
        self.clock = clock
        self.listeners = NodeListeners()
        self.views: list[ListEntries] = [{} for _ in range(scenario.nodes)]
        self._revision = 1
        self._revisions_seen = [1] * scenario.nodes
        self._revisions_notified = [1] * scenario.nodes
        """The newest revision that a node counts as notified of, whether or not it was sent there."""

        self._notified_endpoints: list[set[str]] = [set() for _ in range(scenario.nodes)]
        """Endpoints of that revision, so that those that a newer one omits count as removed."""

        self._notices_at_return: set[int] = set()
        """Nodes that could not reach discovery when there was something to be notified of."""

        self._free_at_s = 0.0
        """When the calls that wait or are served now will all have had their turn, on the loop's clock.

        The clock of the run begins anew once all nodes are ready, after their first calls.
        """

        self.faults = [AnswerFaults() for _ in range(scenario.nodes)]
        self._first_views: list[ListEntries] = [{} for _ in range(scenario.nodes)]
        self._answered_s = [-math.inf] * scenario.nodes
        """When each node was last sent an answer, on the loop's clock."""

        self._changes = [asyncio.Condition() for _ in range(scenario.nodes)]
        self._delay_stream = scenario.stream("lists")

    async def open(self) -> None:
        """Listen for each node."""
        await self.listeners.open(self.scenario.nodes, self._serve)

    def close(self) -> None:
        """Stop listening."""
        self.listeners.close()

    def document(self, node: int) -> dict[str, object]:
        """The list as the node sees it, as JSON."""
        targets = list(self.views[node].values())
        return {"rev": self._revisions_seen[node], "all": True, "targets": targets}

    def publish(self, entries: Callable[[int], ListEntries]) -> list[asyncio.Task[None]]:
        """Make a new list, whose `entries` are those that the node with the number sees."""
        self._revision += 1
        shortest_s, longest_s = self.scenario.list_delay_s
        tasks = []
        for node in range(self.scenario.nodes):
            delay_s = float(self._delay_stream.uniform(shortest_s, longest_s))
            update = self._update_view(node, self._revision, entries(node), delay_s)
            tasks.append(asyncio.ensure_future(update))
        return tasks

    async def _update_view(self, node: int, revision: int, entries: ListEntries, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        async with self._changes[node]:
            if revision <= self._revisions_seen[node]:  # a newer one came first
                return
            self.views[node] = entries
            self._revisions_seen[node] = revision
            self._changes[node].notify_all()
        self._schedule_notice(node, NOTICE_DEADLINE_S)

    def _schedule_notice(self, node: int, delay_s: float) -> None:
        """Count what discovery has now as known to the node after the delay, if it could be reached.

        Else the delay runs from the moment in which it can be reached again.
        """
        if self.faults[node].is_unavailable:
            self._notices_at_return.add(node)
            return
        loop = asyncio.get_running_loop()
        revision, entries = self._revisions_seen[node], self.views[node]
        loop.call_later(delay_s, self._record_overdue_notice, node, revision, entries)

    async def set_unavailable(self, node: int, is_on: bool) -> None:
        """End the watches of a node and refuse all its calls at once, or serve them again."""
        async with self._changes[node]:
            self.faults[node].is_unavailable = is_on
            self._changes[node].notify_all()
        if not is_on and node in self._notices_at_return:
            self._notices_at_return.discard(node)
            self._schedule_notice(node, NOTICE_DEADLINE_S)

    def _record_overdue_notice(self, node: int, revision: int, entries: ListEntries) -> None:
        if self._revisions_notified[node] < revision:
            self._record_notified(node, revision, entries)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: int) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, IndexError, asyncio.CancelledError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.observations.discovery_calls.append((self.clock(), node))
                is_continued = loop_time_s() - self._answered_s[node] < CONTINUATION_S
                if self.faults[node].is_unavailable or not (is_continued or await self._wait_for_turn()):
                    writer.write(UNAVAILABLE)
                    break
                query = parse_qs(urlsplit(head.split()[1].decode()).query)
                if "since" in query:
                    timeout_s = int(query["timeout_ms"][0]) / 1000
                    await self._wait_for_change(node, int(query["since"][0]), timeout_s)
                    if self.faults[node].is_unavailable:  # a watch ends when discovery goes down
                        writer.write(UNAVAILABLE)
                        break
                if reader.at_eof():  # the caller has ended: a list that is sent to it notifies nobody
                    break
                await self._send_document(writer, node)
        writer.close()

    async def _send_document(self, writer: asyncio.StreamWriter, node: int) -> None:
        faults = self.faults[node]
        await asyncio.sleep(faults.delay_s)
        if faults.is_older:
            await self._send(
                writer, {"rev": 0, "all": True, "targets": list(self._first_views[node].values())}
            )
            return
        document = self.document(node)
        if faults.has_invalid_entry:
            document["targets"] = self._with_invalid_entry(node)
        await self._send(writer, document, PIECES if faults.is_in_pieces else 1)
        self._answered_s[node] = loop_time_s()
        self.observations.discovery_answers.append((self.clock(), node))
        self.record_view(node)

    def record_reload(self, node: int) -> None:
        """The node was told to reload: what there is now counts as known soon, wherever discovery moved."""
        self._schedule_notice(node, RELOAD_NOTICE_S)

    def record_new_process(self, node: int) -> None:
        """The node starts with an old list: it counts as notified of nothing until discovery has told it."""
        self.observations.forget_notices(node, self.clock())
        self._revisions_notified[node] = 0
        self._schedule_notice(node, NOTICE_DEADLINE_S)

    async def _wait_for_turn(self) -> bool:
        """Wait until the calls that came before are served; False where that takes too long.

        A call that fails, or that its caller has given up, takes its turn all the same. Only one that is
        refused at once costs nothing.
        """
        capacity = self.scenario.discovery
        wait_s = max(0.0, self._free_at_s - loop_time_s())
        if wait_s > 2 * capacity.longest_wait_s:
            return False
        self._free_at_s = loop_time_s() + wait_s + capacity.service_s
        await asyncio.sleep(min(wait_s + capacity.service_s, capacity.longest_wait_s))
        return wait_s <= capacity.longest_wait_s

    def record_view(self, node: int) -> None:
        """Note that the node has received its view of the list."""
        self._first_views[node] = self._first_views[node] or self.views[node]
        self._record_notified(node, self._revisions_seen[node], self.views[node])

    def _record_notified(self, node: int, revision: int, entries: ListEntries) -> None:
        removed = self._notified_endpoints[node] - entries.keys()
        states = {uid: str(entry["state"]) for uid, entry in entries.items()}
        states |= dict.fromkeys(removed, "DELETED")
        for uid, state in states.items():
            self.observations.record_state(node, uid, state, self.clock())
        self._notified_endpoints[node] |= entries.keys()
        self._revisions_notified[node] = revision

    def _with_invalid_entry(self, node: int) -> list[ListEntry]:
        """The entries that the node sees, one of them with a value of a wrong form."""
        targets = list(self.views[node].values())
        position = int(self._delay_stream.integers(len(targets)))
        targets[position] = targets[position] | {"capacity_hint": "many"}
        return targets

    async def _send(self, writer: asyncio.StreamWriter, document: dict[str, object], pieces: int = 1) -> None:
        body = json.dumps(document).encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (
            len(body),
            body,
        )
        size = -(-len(answer) // pieces)
        for position in range(0, len(answer), size):
            writer.write(answer[position : position + size])
            await writer.drain()
            if pieces > 1:
                await asyncio.sleep(PIECE_INTERVAL_S)

    async def _wait_for_change(self, node: int, revision: int, timeout_s: float) -> None:
        """Wait until the node's view is newer than the revision, at most for the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s), self._changes[node]:
                await self._changes[node].wait_for(
                    lambda: self._revisions_seen[node] > revision or self.faults[node].is_unavailable
                )
