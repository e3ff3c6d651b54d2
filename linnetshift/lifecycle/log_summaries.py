"""Summaries of an endpoint list and of the settings in use for the log."""

from __future__ import annotations

from linnetshift.event_loop.timers import MS, S
from linnetshift.observability import log
from linnetshift.routing.events import EndpointList, EndpointState, ListForm
from linnetshift.routing.settings import Settings

# Endpoints that started more recently are named in the log with their age: those may still be warming up.
RECENT_START_NS = 60 * S


def describe_list(event: EndpointList, now_ns: int) -> dict[str, object]:
    """Return the log fields of a full list or of its changes, received at `now_ns` of the loop's clock.

    `warming_up` has the endpoints that started recently, each as name@age with the age in milliseconds.
    """
    recent = [
        (entry.endpoint, (now_ns - entry.started_ns) // MS)
        for entry in event.entries
        if now_ns - entry.started_ns < RECENT_START_NS
    ]
    return {
        "form": ListForm(event.form).name.lower(),
        "rev": event.version,
        "entries": len(event.entries),
        "draining": sum(entry.state == EndpointState.DRAINING for entry in event.entries),
        "removed": sum(entry.state == EndpointState.REMOVED for entry in event.entries),
        "warming_up": ",".join(f"{endpoint.decode('utf-8', 'replace')}@{age}" for endpoint, age in recent),
    }


def log_settings(settings: Settings) -> None:
    """Log the settings as parsed, for operators to compare with what they intended."""
    log.info(
        "settings-applied",
        proxies=settings.balancers,
        cross_zone_weight=f"{settings.cross_zone_weight:.3f}",
        weights="sizes" if settings.weights_are_sizes else "no-sizes",
        lists="asked-for" if settings.must_poll else "pushed",
        health_checks=_describe_health_checks(settings),
        attempts=min(offered.max_attempts for offered in settings.offered),
        aim_ms=min(offered.latency_objective_ns for offered in settings.offered) // MS,
        cold_from=settings.initial_capacity_share,
        warm_ms=settings.warm_up_ns // MS,
    )


def _describe_health_checks(settings: Settings) -> str:
    if not settings.may_health_check:
        return "none"
    return ",".join(settings.report_columns) or "plain"
