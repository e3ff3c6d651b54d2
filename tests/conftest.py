"""Settings and events for tests; figures are made up for the tests, not taken from any deployment."""

from __future__ import annotations

from typing import Any

from hypothesis import settings

from linnetshift.routing.actions import Action, Send
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointList,
    EndpointState,
    ListForm,
    Request,
)
from linnetshift.routing.settings import Settings
from rig.base_settings import MS as MS
from rig.base_settings import S as S
from rig.base_settings import changed_settings

settings.register_profile("same", derandomize=True, deadline=None)  # one verdict for one text, always
settings.load_profile("same")


def raw_settings(**changes: Any) -> dict[str, Any]:
    """The settings object of a proxy file, with changes to the base settings."""
    return changed_settings(changes)


def effect(word: str, group: str = "all", **more: Any) -> dict[str, Any]:
    return {"services": [{**raw_settings()["services"][0], "effect": word, "group": group, **more}]}


def endpoint(number: int) -> bytes:
    return bytes([10, 0, number >> 8, number & 255, 31, 144])


def entry(number: int, **changes: Any) -> EndpointEntry:
    return EndpointEntry(endpoint(number), number % 3, 0, number % 5, EndpointState.READY, 1.0, 0)._replace(
        **changes
    )


def listed(*entries: EndpointEntry, form: int = ListForm.FULL) -> EndpointList:
    return EndpointList(form, 1, entries)


def request(number: int, **changes: Any) -> Request:
    return Request(number, 0, 0, number + 1000, 0, 0, 0, 2 * S)._replace(**changes)


def ended(sent: Send, attempt: int, outcome: int, elapsed: int = 0, closed: bool = False) -> AttemptEnded:
    return AttemptEnded(sent.request_id, attempt, sent.endpoint, closed, elapsed, outcome, ())


def balancer(endpoints: int = 8, seed: int = 1, window: float = 1e9, **changes: Any) -> Balancer:
    """A node that knows `addresses` endpoints; a wide window lets tests place many requests at one moment."""
    made = Balancer(Settings.parse(raw_settings(**changes)), seed)
    made.lifecycle.concurrency_limit.limit = window
    made.step(1 * S, [listed(*(entry(n) for n in range(endpoints)))])
    return made


def only(actions: list[Action], kind: type) -> list[Any]:
    return [action for action in actions if isinstance(action, kind)]
