"""The response of each administrative call, without a connection."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from linnetshift.admin.routes import AdminRequest, DrainChange, Response, dispatch
from linnetshift.observability.resource_usage import ResourceUsage


class FakeOperations:
    """Ready while `reason` is empty; draining the endpoint `full` would exceed the drain limit."""

    reason = ""
    limited_by = ""

    def not_ready_reason(self) -> str:
        return self.reason

    def resource_usage(self) -> dict[str, ResourceUsage]:
        return {"loop.ready": ResourceUsage(1, 2)}

    def limitation(self) -> str:
        return self.limited_by

    def configuration_status(self) -> dict[str, object]:
        return {"unusable": []}

    def discovery_status(self) -> dict[str, object]:
        return {"version": 7}

    def is_drain_limit_reached(self, endpoint: bytes) -> bool:
        return endpoint == b"full"

    def set_administrative_drain(
        self, endpoint: bytes, is_drained: bool, on_applied: Callable[[bool], None]
    ) -> None:
        raise AssertionError("only the connection applies a change")


@pytest.mark.parametrize(
    ("method", "target", "answer"),
    [
        ("GET", "/ops/readiness", Response(200, "taking consumers")),
        ("GET", "/ops/census", Response(200, '{\n "loop.ready": {\n  "size": 1,\n  "bound": 2\n }\n}')),
        ("GET", "/ops/configuration", Response(200, '{\n "unusable": []\n}')),
        ("GET", "/ops/discovery", Response(200, '{\n "version": 7\n}')),
        ("GET", "/ops/other", Response(404, "no such call")),
        ("PUT", "/ops/readiness", Response(405, "use GET", (("Allow", "GET, HEAD"),))),
        ("PUT", "/ops/servers/down", Response(400, "give one id, as in ?id=ID")),
        ("PUT", "/ops/servers/up?id=a&id=b", Response(400, "give one id, as in ?id=ID")),
        ("PUT", "/ops/servers/down?id=full", Response(507, "too many are out already; call some back first")),
        ("PUT", "/ops/servers/up?id=full", DrainChange("full", is_drained=False)),
        ("PUT", "/ops/servers/down?id=s-0", DrainChange("s-0", is_drained=True)),
    ],
)
def test_call_is_answered_by_its_route(method: str, target: str, answer: Response | DrainChange) -> None:
    assert dispatch(FakeOperations(), AdminRequest(method, target)) == answer


def test_readiness_of_a_proxy_that_is_not_ready_is_503_with_the_reason() -> None:
    operations = FakeOperations()
    operations.reason = "leaving"
    assert dispatch(operations, AdminRequest("GET", "/ops/readiness")) == Response(503, "leaving")


def test_readiness_of_a_proxy_that_does_not_serve_channels_says_so() -> None:
    """Guards against a yes that hides that channels are not served."""
    operations = FakeOperations()
    operations.limited_by = "cannot bind 127.0.0.1:9: in use"
    answer = Response(200, "taking consumers; cannot bind 127.0.0.1:9: in use")
    assert dispatch(operations, AdminRequest("GET", "/ops/readiness")) == answer


@pytest.mark.parametrize(
    ("is_drained", "is_known", "answer"),
    [
        (True, True, Response(200, "s-0 is taken out")),
        (False, True, Response(200, "s-0 is in use")),
        (True, False, Response(404, "s-0 was never listed")),
    ],
)
def test_response_to_a_change_reports_its_effect(is_drained: bool, is_known: bool, answer: Response) -> None:
    assert DrainChange("s-0", is_drained).response(is_known) == answer
