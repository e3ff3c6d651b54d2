"""What a hot restart needs of the proxy that runs in this process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from linnetshift.lifecycle.takeover_messages import ExportedState, PeerResources


class RestartOperations(Protocol):
    """The proxy's side of a hot restart; `LocalProcess` implements it."""

    def export_state(self) -> ExportedState:
        """Return everything that a successor needs to take over."""

    def yield_to_successor(self) -> None:
        """Stop accepting connections and migrate the clients to the successor."""

    def resume_accepting(self) -> None:
        """Accept connections again, as the successor is gone."""

    def apply_administrative_drain(self, endpoint: bytes, is_drained: bool, done: Callable[[], None]) -> None:
        """Take the endpoint out or restore it in this process alone; `done` is called once that is done."""

    def peer_resources(self) -> PeerResources:
        """Return what this process holds, to be counted by the other one."""

    def update_peer_resources(self, peer_resources: PeerResources, /) -> None:
        """Count what the other process holds towards this one's limits; empty once it is gone."""
