"""The port through which administrative calls reach the rest of the proxy."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from linnetshift.observability.resource_usage import ResourceUsage


class Operations(Protocol):
    """What an administrative call may ask of the proxy."""

    def not_ready_reason(self) -> str:
        """Why no client is accepted at the moment; empty while clients are accepted."""

    def resource_usage(self) -> dict[str, ResourceUsage]:
        """The size and the bound of every container that lives as long as the process, by its name."""

    def is_drain_limit_reached(self, endpoint: bytes) -> bool:
        """Whether so many endpoints are drained that this one cannot be drained too."""

    def set_administrative_drain(
        self, endpoint: bytes, is_drained: bool, done: Callable[[bool], None]
    ) -> None:
        """Drain an endpoint, or restore it when `is_drained` is false.

        `done` is called once the change is in effect, with whether the endpoint was ever listed.
        """
