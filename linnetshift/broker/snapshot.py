"""State snapshot of a proxy's observations of its endpoints, for the process that replaces it.

Without it the new process would send clients back to endpoints that the old one had just migrated them from,
and would have to detect each overload again.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial
from typing import Any

from linnetshift.broker.latency_estimator import LatencyEstimator
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.snapshot import export_balancer_state, import_balancer_state


def export_state(balancer: Balancer, latency_estimator: LatencyEstimator) -> dict[str, Any]:
    """The state under its stored keys; all values can be encoded as JSON."""
    return {**export_balancer_state(balancer), **latency_estimator.export_state()}


def import_state(balancer: Balancer, latency_estimator: LatencyEstimator, state: Mapping[str, Any]) -> None:
    """Restore an exported state; must be called once the endpoint list is known.

    Ignores endpoints that are no longer listed, and unknown keys, as the other process may run another
    version. A malformed section does not prevent the import of the others; the error of the first one
    (AttributeError, KeyError, TypeError or ValueError) is raised at the end.
    """
    first_error: Exception | None = None
    for import_section in (
        partial(_import_balancer, balancer),
        latency_estimator.import_migrations,
        latency_estimator.import_resets,
    ):
        try:
            import_section(state)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            first_error = first_error or error
    if first_error is not None:
        raise first_error


def _import_balancer(balancer: Balancer, state: Mapping[str, Any]) -> None:
    """Import the balancer's state; raises ValueError with the keys whose values have another type."""
    rejected = import_balancer_state(balancer, state)
    if rejected:
        raise ValueError(f"values of another type: {', '.join(rejected)}")
