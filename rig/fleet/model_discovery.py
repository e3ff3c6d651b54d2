"""Emulated discovery: one list for all nodes; a change reaches each node after a delay of its own.

If the scenario limits its capacity, calls are queued, and those that wait too long fail.
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
"""Time after which a node counts as notified of a change that discovery has and can serve, in seconds."""

CONTINUATION_S = 0.2
"""A call within this time after the last answer continues the watch and is not queued, in seconds."""

UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
"""Answer to a call that waited too long, or while discovery is unavailable."""

RELOAD_NOTICE_S = 4.0
"""Time after a reload at which the node counts as notified of the list at the reload, in seconds."""

PIECES = 5
"""Pieces in which an answer is sent under `discovery-in-pieces`."""

PIECE_INTERVAL_S = 0.04
"""Interval between the pieces, in seconds."""

ListEntry = dict[str, object]
"""An endpoint's entry in the list, as a JSON object."""

ListEntries = dict[str, ListEntry]
"""Entries by the endpoint's uid."""


def loop_time_s() -> float:
    """Time on the running loop's clock, in seconds."""
    return asyncio.get_running_loop().time()


@dataclass
class AnswerFaults:
    """Faults of the answers to one node."""

    delay_s: float = 0.0
    is_unavailable: bool = False
    has_initial_list: bool = False
    """Whether answers have the first list that the node received, as revision 0."""

    has_invalid_entry: bool = False
    is_in_pieces: bool = False


class DiscoveryServer:
    """Serves calls and watches; each node has its own view of the list."""

    def __init__(self, scenario: Scenario, observations: Observations, clock: RunClock) -> None:
        self.scenario = scenario
        self.observations = observations
        self.clock = clock
        self.listeners = NodeListeners()
        self.views: list[ListEntries] = [{} for _ in range(scenario.nodes)]
        self._revision = 1
        self._view_revisions = [1] * scenario.nodes
        self._notified_revisions = [1] * scenario.nodes
        """The newest revision that a node counts as notified of, whether or not it was sent, by node."""

        self._notified_endpoints: list[set[str]] = [set() for _ in range(scenario.nodes)]
        """Uids that each node counts as notified of; those that a newer revision omits count as removed."""

        self._deferred_notices: set[int] = set()
        """Nodes for which discovery was unavailable when a notice was due to be scheduled."""

        self._queue_empty_s = 0.0
        """When the queue of calls will be empty, on the loop's clock.

        Not on the run's clock, which restarts once all nodes are ready, after their first calls.
        """

        self.faults = [AnswerFaults() for _ in range(scenario.nodes)]
        self._initial_views: list[ListEntries] = [{} for _ in range(scenario.nodes)]
        self._answered_s = [-math.inf] * scenario.nodes
        """Time of the last answer to each node, on the loop's clock."""

        self._changes = [asyncio.Condition() for _ in range(scenario.nodes)]
        self._delay_stream = scenario.stream("lists")

    async def open(self) -> None:
        """Listen for each node."""
        await self.listeners.open(self.scenario.nodes, self._serve)

    def close(self) -> None:
        """Stop listening."""
        self.listeners.close()

    def document(self, node: int) -> dict[str, object]:
        """The node's view of the list, as a JSON object."""
        targets = list(self.views[node].values())
        return {"rev": self._view_revisions[node], "all": True, "targets": targets}

    def publish(self, entries: Callable[[int], ListEntries]) -> list[asyncio.Task[None]]:
        """Publish a new list, with `entries` by node; returns the tasks that update the nodes' views."""
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
            if revision <= self._view_revisions[node]:  # a newer revision was faster
                return
            self.views[node] = entries
            self._view_revisions[node] = revision
            self._changes[node].notify_all()
        self._schedule_notice(node, NOTICE_DEADLINE_S)

    def _schedule_notice(self, node: int, delay_s: float) -> None:
        """Count the node as notified of its current view after the delay.

        While discovery is unavailable, the delay starts when it becomes available again.
        """
        if self.faults[node].is_unavailable:
            self._deferred_notices.add(node)
            return
        loop = asyncio.get_running_loop()
        revision, entries = self._view_revisions[node], self.views[node]
        loop.call_later(delay_s, self._record_overdue_notice, node, revision, entries)

    async def set_unavailable(self, node: int, is_on: bool) -> None:
        """End a node's watches and refuse its calls, or (`is_on` False) serve them again."""
        async with self._changes[node]:
            self.faults[node].is_unavailable = is_on
            self._changes[node].notify_all()
        if not is_on and node in self._deferred_notices:
            self._deferred_notices.discard(node)
            self._schedule_notice(node, NOTICE_DEADLINE_S)

    def _record_overdue_notice(self, node: int, revision: int, entries: ListEntries) -> None:
        if self._notified_revisions[node] < revision:
            self._record_notified(node, revision, entries)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: int) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, IndexError, asyncio.CancelledError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.observations.discovery_calls.append((self.clock(), node))
                is_continued = loop_time_s() - self._answered_s[node] < CONTINUATION_S
                if self.faults[node].is_unavailable or not (is_continued or await self._wait_in_queue()):
                    writer.write(UNAVAILABLE)
                    break
                query = parse_qs(urlsplit(head.split()[1].decode()).query)
                if "since" in query:
                    timeout_s = int(query["timeout_ms"][0]) / 1000
                    await self._wait_for_change(node, int(query["since"][0]), timeout_s)
                    if self.faults[node].is_unavailable:  # a watch ends when discovery becomes unavailable
                        writer.write(UNAVAILABLE)
                        break
                if reader.at_eof():  # the caller has closed: an answer would not be a notice
                    break
                await self._send_document(writer, node)
        writer.close()

    async def _send_document(self, writer: asyncio.StreamWriter, node: int) -> None:
        faults = self.faults[node]
        await asyncio.sleep(faults.delay_s)
        if faults.has_initial_list:
            await self._send(
                writer, {"rev": 0, "all": True, "targets": list(self._initial_views[node].values())}
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
        """Schedule the notice of a node that is told to reload, also if discovery has moved."""
        self._schedule_notice(node, RELOAD_NOTICE_S)

    def record_new_process(self, node: int) -> None:
        """Reset the notices of a node that starts with an old list: it has been notified of nothing yet."""
        self.observations.end_notices(node, self.clock())
        self._notified_revisions[node] = 0
        self._schedule_notice(node, NOTICE_DEADLINE_S)

    async def _wait_in_queue(self) -> bool:
        """Wait until the queued calls and this one are served; returns False if the wait was too long.

        A call that fails or is abandoned still uses capacity; only one that is refused at once does not.
        """
        capacity = self.scenario.discovery
        wait_s = max(0.0, self._queue_empty_s - loop_time_s())
        if wait_s > 2 * capacity.longest_wait_s:
            return False
        self._queue_empty_s = loop_time_s() + wait_s + capacity.service_s
        await asyncio.sleep(min(wait_s + capacity.service_s, capacity.longest_wait_s))
        return wait_s <= capacity.longest_wait_s

    def record_view(self, node: int) -> None:
        """Record that the node has received its view of the list."""
        self._initial_views[node] = self._initial_views[node] or self.views[node]
        self._record_notified(node, self._view_revisions[node], self.views[node])

    def _record_notified(self, node: int, revision: int, entries: ListEntries) -> None:
        removed = self._notified_endpoints[node] - entries.keys()
        states = {uid: str(entry["state"]) for uid, entry in entries.items()}
        states |= dict.fromkeys(removed, "DELETED")
        for uid, state in states.items():
            self.observations.record_state(node, uid, state, self.clock())
        self._notified_endpoints[node] |= entries.keys()
        self._notified_revisions[node] = revision

    def _with_invalid_entry(self, node: int) -> list[ListEntry]:
        """The entries of the node's view, a random one with a value of the wrong type."""
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
        """Wait until the node's view is newer than the revision, discovery is unavailable, or the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s), self._changes[node]:
                await self._changes[node].wait_for(
                    lambda: self._view_revisions[node] > revision or self.faults[node].is_unavailable
                )
