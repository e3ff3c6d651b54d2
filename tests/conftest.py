"""Settings and events for unit tests; figures are made up, not taken from any deployment."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

import pytest
from failure_logs import report_sections
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

settings.register_profile("same", derandomize=True, deadline=None)  # the same examples in every run
settings.load_profile("same")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item,
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Add what the processes of a failing test logged to its report."""
    report = yield
    if report.failed:
        report.sections += report_sections(item.nodeid)
    return report


def raw_settings(**changes: Any) -> dict[str, Any]:
    """The settings object of a proxy file, with changes to the base settings."""
    return changed_settings(changes)


def effect(effect_name: str, group: str = "all", **other_keys: Any) -> dict[str, Any]:
    """Changes to the settings: one service with this effect, and other keys in `more`."""
    return {
        "services": [{**raw_settings()["services"][0], "effect": effect_name, "group": group, **other_keys}]
    }


def endpoint(number: int) -> bytes:
    """Address of the endpoint with this number, as it is in events."""
    return bytes([10, 0, number >> 8, number & 255, 31, 144])


def entry(number: int, **changes: Any) -> EndpointEntry:
    """An endpoint's entry in a list: ready, weight 1, started long ago."""
    return EndpointEntry(endpoint(number), number % 3, 0, number % 5, EndpointState.READY, 1.0, 0)._replace(
        **changes
    )


def listed(*entries: EndpointEntry, form: int = ListForm.FULL) -> EndpointList:
    """A list event."""
    return EndpointList(form, 1, entries)


def request(number: int, **changes: Any) -> Request:
    """A request event, with 2 s to its deadline."""
    return Request(number, 0, 0, number + 1000, 0, 0, 0, 2 * S)._replace(**changes)


def ended(sent: Send, attempt: int, outcome: int, elapsed_ns: int = 0, closed: bool = False) -> AttemptEnded:
    """The end of an attempt that was sent, `elapsed` nanoseconds after that."""
    return AttemptEnded(sent.request_id, attempt, sent.endpoint, closed, elapsed_ns, outcome, ())


def balancer(endpoints: int = 8, seed: int = 1, concurrency_limit: float = 1e9, **changes: Any) -> Balancer:
    """A balancer that knows `endpoints` endpoints; the wide limit lets tests place many requests at once."""
    new_balancer = Balancer(Settings.parse(raw_settings(**changes)), seed)
    new_balancer.lifecycle.concurrency_limit.limit = concurrency_limit
    new_balancer.step(1 * S, [listed(*(entry(n) for n in range(endpoints)))])
    return new_balancer


def single_send(actions: list[Action]) -> Send:
    """The only action of a step, which must be an attempt."""
    (action,) = actions
    assert isinstance(action, Send)
    return action


def only(actions: list[Action], kind: type) -> list[Any]:
    """The actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]
