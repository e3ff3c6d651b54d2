"""The interface through which administrative calls reach the rest of the proxy."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from linnetshift.observability.resource_usage import ResourceUsage


class Operations(Protocol):
    """Operations of the proxy that administrative calls use."""

    def not_ready_reason(self) -> str:
        """Why the proxy accepts no clients at the moment; empty while it does."""

    def limitation(self) -> str:
        """What is not served although clients are accepted; empty if all is."""

    def resource_usage(self) -> dict[str, ResourceUsage]:
        """Size and bound of each container that exists as long as the process, by its name."""

    def configuration_status(self) -> dict[str, object]:
        """What of the configuration files is not in force at the moment, as an object for JSON."""

    def discovery_status(self) -> dict[str, object]:
        """How current the endpoint list is, and what unusable lists have cost, as an object for JSON."""

    def is_drain_limit_reached(self, endpoint: bytes) -> bool:
        """Whether too many endpoints are drained for this one to be drained too."""

    def set_administrative_drain(
        self, endpoint: bytes, is_drained: bool, on_applied: Callable[[bool], None]
    ) -> None:
        """Drain an endpoint, or restore it when `is_drained` is false.

        `on_applied` is called once the change is in effect, with whether the endpoint was ever listed.
        """
