"""The interface through which a hot restart acts on the proxy in this process."""

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

    def handle_predecessor_stopped(self, is_confirmed: bool, /) -> None:
        """Note that the predecessor no longer accepts.

        `is_confirmed` is False where it did not say so, as it hangs or the connection to it has been cut.
        """

    def handle_predecessor_exited(self) -> None:
        """Note that the predecessor has ended, and has closed all descriptors."""

    def apply_administrative_drain(
        self, endpoint: bytes, is_drained: bool, on_applied: Callable[[], None]
    ) -> None:
        """Drain the endpoint, or restore it, in this process alone.

        `on_applied` is called once that has taken effect.
        """

    def peer_resources(self) -> PeerResources:
        """Return the resources that this process holds, for the other one to count towards its limits."""

    def update_peer_resources(self, peer_resources: PeerResources, /) -> None:
        """Count the other process's resources towards this one's limits; empty once it has disconnected."""
