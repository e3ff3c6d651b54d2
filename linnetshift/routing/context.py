"""State shared by the components of one balancer: settings, time, random numbers, actions of the step."""

from __future__ import annotations

import random

from linnetshift.routing.actions import Action
from linnetshift.routing.settings import Settings

TICKS_PER_LATENCY_OBJECTIVE = 8  # of the shortest one; waiting requests are retried at each tick


class RoutingContext:
    """The settings in force, the time of the current step and the actions emitted in it so far."""

    settings: Settings
    slow_start_window_ns: int
    tick_ns: int
    message_latency_objective_ns: int

    def __init__(self, settings: Settings, seed: int) -> None:
        """`seed` determines every random draw of the balancer."""
        self.random = random.Random(seed)
        self.now = 0
        self.actions: list[Action] = []
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply new settings and recompute the values derived from them."""
        self.settings = settings
        self.slow_start_window_ns = settings.overload_window_ns or settings.warm_up_ns
        offered = settings.offered
        self.tick_ns = min(c.latency_objective_ns for c in offered) // TICKS_PER_LATENCY_OBJECTIVE
        self.message_latency_objective_ns = min(c.message_latency_objective_ns for c in offered)

    def begin_step(self, now_ns: int) -> None:
        """Start a step without actions; time never goes back, or expired deadlines would be valid again."""
        self.now = max(self.now, now_ns)
        self.actions = []

    def emit(self, action: Action) -> None:
        """Add an action to the current step."""
        self.actions.append(action)
