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

settings.register_profile("same", derandomize=True, deadline=None)  # one verdict for one text, always
settings.load_profile("same")

MS = 1_000_000
S = 1_000_000_000


def raw_settings(**changes: Any) -> dict[str, Any]:
    raw: dict[str, Any] = {
        "myNumber": 0,
        "balancers": 4,
        "zone": 0,
        "discovery": "push",
        "weightSource": "nominal",
        "services": [
            {
                "name": "feed",
                "aimNs": 400 * MS,
                "hardLimitNs": 2 * S,
                "effect": "repeatable",
                "group": "all",
                "windowNs": 3 * S,
                "worth": 2.0,
            }
        ],
        "familyInfo": {"messageAimNs": [60 * MS], "mode": "proxy"},
        "rules": {
            "answerSlackNs": 16 * MS,
            "drainGraceNs": 500 * MS,
            "coldFrom": 0.25,
            "warmUpNs": 10 * S,
            "fallMultiple": 3.0,
            "tipAfterNs": 2 * S,
            "mustAskInNs": 8 * S,
        },
        "allowed": {
            "connectTimeoutNs": 200 * MS,
            "maxAttempts": 4,
            "parallelTries": False,
            "probing": False,
            "peerMessages": False,
            "mayCancel": True,
            "retryAfter": True,
            "maxRetryAfterNs": 1 * S,
        },
        "stepNs": 4 * MS,
    }
    for key, value in changes.items():
        raw[key] = {**raw[key], **value} if isinstance(value, dict) and key in raw else value
    return raw


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
