"""Routes of the administrative interface, and the response of each.

Operators and their scripts depend on paths, methods, status codes and texts.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from linnetshift.admin.operations import Operations

READINESS_PATH = "/ops/readiness"
RESOURCE_USAGE_PATH = "/ops/census"
CONFIGURATION_PATH = "/ops/configuration"
DISCOVERY_PATH = "/ops/discovery"
DRAIN_PATH = "/ops/servers/down"
RESTORE_PATH = "/ops/servers/up"
ENDPOINT_PARAMETER = "id"


class AdminRequest(NamedTuple):
    """The request line of one call."""

    method: str
    target: str

    def __str__(self) -> str:
        """Method and target, as the log has them."""
        return f"{self.method} {self.target}"


class Response(NamedTuple):
    """Status code, text, and headers beside those that every response has."""

    status: int
    text: str
    headers: tuple[tuple[str, str], ...] = ()


class DrainChange(NamedTuple):
    """An endpoint to drain or to restore; its response follows once the change is in effect."""

    endpoint_id: str
    is_drained: bool

    def response(self, is_known: bool) -> Response:
        """The response after the change; `is_known` is whether discovery ever listed the endpoint."""
        if not is_known:
            return Response(HTTPStatus.NOT_FOUND, f"{self.endpoint_id} was never listed")
        state = "taken out" if self.is_drained else "in use"
        return Response(HTTPStatus.OK, f"{self.endpoint_id} is {state}")


class Route(NamedTuple):
    """The methods that a path allows, and the handler of its query string."""

    methods: tuple[str, ...]
    handle: Callable[[Operations, str], Response | DrainChange]


def dispatch(operations: Operations, request: AdminRequest) -> Response | DrainChange:
    """The response to a call, or the change that has to take effect before the response."""
    url = urlsplit(request.target)
    route = ROUTES.get(url.path)
    if route is None:
        return Response(HTTPStatus.NOT_FOUND, "no such call")
    if request.method not in route.methods:
        allowed = ", ".join(route.methods)
        return Response(HTTPStatus.METHOD_NOT_ALLOWED, f"use {route.methods[0]}", (("Allow", allowed),))
    return route.handle(operations, url.query)


def check_readiness(operations: Operations, _query: str) -> Response:
    """200 while clients are accepted, and what is not served beside; else 503 and why they are not."""
    reason = operations.not_ready_reason()
    if reason:
        return Response(HTTPStatus.SERVICE_UNAVAILABLE, reason)
    limitation = operations.limitation()
    return Response(HTTPStatus.OK, f"taking consumers; {limitation}" if limitation else "taking consumers")


def show_resource_usage(operations: Operations, _query: str) -> Response:
    """Size and bound of every container, as JSON."""
    usage_by_name = {name: usage._asdict() for name, usage in operations.resource_usage().items()}
    return Response(HTTPStatus.OK, json.dumps(usage_by_name, indent=1))


def show_configuration_status(operations: Operations, _query: str) -> Response:
    """What of the configuration files is not in force, as JSON."""
    return Response(HTTPStatus.OK, json.dumps(operations.configuration_status(), indent=1))


def show_discovery_status(operations: Operations, _query: str) -> Response:
    """How current the endpoint list is, and what unusable lists have cost, as JSON."""
    return Response(HTTPStatus.OK, json.dumps(operations.discovery_status(), indent=1))


def drain_endpoint(operations: Operations, query: str) -> Response | DrainChange:
    """Drain the endpoint in the query; 507 if too many are drained already."""
    change = parse_drain_change(query, is_drained=True)
    if isinstance(change, DrainChange) and operations.is_drain_limit_reached(change.endpoint_id.encode()):
        return Response(HTTPStatus.INSUFFICIENT_STORAGE, "too many are out already; call some back first")
    return change


def restore_endpoint(_operations: Operations, query: str) -> Response | DrainChange:
    """Restore the endpoint in the query."""
    return parse_drain_change(query, is_drained=False)


def parse_drain_change(query: str, is_drained: bool) -> Response | DrainChange:
    """The change for the endpoint in the query; 400 unless the query has exactly one."""
    endpoint_ids = parse_qs(query).get(ENDPOINT_PARAMETER, [])
    if len(endpoint_ids) != 1:
        return Response(HTTPStatus.BAD_REQUEST, "give one id, as in ?id=ID")
    return DrainChange(endpoint_ids[0], is_drained)


ROUTES = {
    READINESS_PATH: Route(("GET", "HEAD"), check_readiness),
    RESOURCE_USAGE_PATH: Route(("GET", "HEAD"), show_resource_usage),
    CONFIGURATION_PATH: Route(("GET", "HEAD"), show_configuration_status),
    DISCOVERY_PATH: Route(("GET", "HEAD"), show_discovery_status),
    DRAIN_PATH: Route(("PUT",), drain_endpoint),
    RESTORE_PATH: Route(("PUT",), restore_endpoint),
}
