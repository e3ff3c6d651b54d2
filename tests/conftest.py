"""Settings and events for unit tests; the values are invented, not those of a deployment."""

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

settings.register_profile("deterministic", derandomize=True, deadline=None)  # the same examples in every run
settings.load_profile("deterministic")


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
    """The settings object of a proxy file: the base settings with these changes."""
    return changed_settings(changes)


def effect(effect_name: str, group: str = "all", **other_keys: Any) -> dict[str, Any]:
    """Changes to the settings: a single service with this effect, group and other keys."""
    return {
        "services": [{**raw_settings()["services"][0], "effect": effect_name, "group": group, **other_keys}]
    }


def endpoint(number: int) -> bytes:
    """Address of the endpoint with this number, as events contain it."""
    return bytes([10, 0, number >> 8, number & 255, 31, 144])


def entry(number: int, **changes: Any) -> EndpointEntry:
    """The list entry of an endpoint that is ready, has weight 1 and started long ago."""
    return EndpointEntry(endpoint(number), number % 3, 0, number % 5, EndpointState.READY, 1.0, 0)._replace(
        **changes
    )


def listed(*entries: EndpointEntry, form: int = ListForm.FULL) -> EndpointList:
    """An endpoint list with these entries."""
    return EndpointList(form, 1, entries)


def request(number: int, **changes: Any) -> Request:
    """A request with 2 s to its deadline."""
    return Request(number, 0, 0, number + 1000, 0, 0, 0, 2 * S)._replace(**changes)


def ended(sent: Send, attempt: int, outcome: int, elapsed_ns: int = 0, closed: bool = False) -> AttemptEnded:
    """The end of a sent attempt, `elapsed_ns` after the send."""
    return AttemptEnded(sent.request_id, attempt, sent.endpoint, closed, elapsed_ns, outcome, ())


def balancer(endpoints: int = 8, seed: int = 1, concurrency_limit: float = 1e9, **changes: Any) -> Balancer:
    """A balancer with `endpoints` listed; the default concurrency limit queues no request."""
    new_balancer = Balancer(Settings.parse(raw_settings(**changes)), seed)
    new_balancer.lifecycle.concurrency_limit.limit = concurrency_limit
    new_balancer.step(1 * S, [listed(*(entry(n) for n in range(endpoints)))])
    return new_balancer


def single_send(actions: list[Action]) -> Send:
    """The only action of a step, which must be a `Send`."""
    (action,) = actions
    assert isinstance(action, Send)
    return action


def only(actions: list[Action], kind: type) -> list[Any]:
    """The actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]
