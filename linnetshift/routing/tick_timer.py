"""The periodic timer that runs while requests wait or connections are to be migrated."""

from __future__ import annotations

from linnetshift.routing.actions import SetTimer
from linnetshift.routing.context import RoutingContext

TICK_TOKEN = 1 << 16
"""Token of the tick among the balancer's timers; above those of discovery, which have 16 bits."""


class TickTimer:
    """A one-shot timer, restarted by the components that still need it. State: whether it is running."""

    def __init__(self, context: RoutingContext) -> None:
        """The timer is not running at first."""
        self._context = context
        self._is_running = False

    def start(self) -> None:
        """Set the timer unless it is running already."""
        if not self._is_running:
            self._is_running = True
            self._context.emit(SetTimer(self._context.tick_ns, TICK_TOKEN))

    def handle_fired(self) -> None:
        """The timer fired: it can be started again."""
        self._is_running = False
