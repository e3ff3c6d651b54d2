"""What a node has learned of its endpoints, in a form that the process that replaces it can take over.

Without it the new process would send clients back to the endpoints that the old one had just moved them
off, and would learn of each jam anew.
"""

from __future__ import annotations

from typing import Any

from linnetshift.broker.latency_estimator import LatencyEstimator
from linnetshift.routing.balancer import Balancer
from linnetshift.routing.snapshot import export_balancer_state, import_balancer_state


def export_state(balancer: Balancer, latency_estimator: LatencyEstimator) -> dict[str, Any]:
    return {
        **export_balancer_state(balancer),
        "guests": [latency_estimator.guests, latency_estimator.guests_at],
        "shed": {endpoint.hex(): at for endpoint, at in latency_estimator.shed_at.items()},
    }


def import_state(balancer: Balancer, latency_estimator: LatencyEstimator, memory: dict[str, Any]) -> None:
    """Once the list is known; an endpoint that is not listed any more is left out."""
    import_balancer_state(balancer, memory)
    latency_estimator.guests, latency_estimator.guests_at = (
        float(memory["guests"][0]),
        int(memory["guests"][1]),
    )
    latency_estimator.shed_at.update({bytes.fromhex(name): int(at) for name, at in memory["shed"].items()})
