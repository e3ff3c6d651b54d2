"""What a proxy has observed of its endpoints, in a form that the process which replaces it can take over.

Without it the new process would send clients back to the endpoints that the old one had just migrated them
from, and would have to detect each overload again.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial
from typing import Any

from linnetshift.broker.latency_estimator import LatencyEstimator
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.snapshot import export_balancer_state, import_balancer_state


def export_state(balancer: Balancer, latency_estimator: LatencyEstimator) -> dict[str, Any]:
    """The state under its stored keys, of values that JSON can hold."""
    return {**export_balancer_state(balancer), **latency_estimator.export_state()}


def import_state(balancer: Balancer, latency_estimator: LatencyEstimator, state: Mapping[str, Any]) -> None:
    """Take over an exported state, once the endpoint list is known.

    Endpoints that are not listed any more and unknown keys are left out, as the other process may be of
    another version. A part that makes no sense does not keep the others from being taken; the error of the
    first such part is raised at the end (AttributeError, KeyError, TypeError or ValueError).
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
    """Raise ValueError with the keys whose values have another type, once all others are taken."""
    rejected = import_balancer_state(balancer, state)
    if rejected:
        raise ValueError(f"values of another type: {', '.join(rejected)}")
