"""What a node has learned of its endpoints, in a form that the process that replaces it can take over.

Without it the new process would send clients back to the endpoints that the old one had just moved them
off, and would learn of each jam anew.
"""

from __future__ import annotations

from typing import Any

from linnetshift.broker.latency_estimator import LatencyEstimator
from linnetshift.routing.balancer import Balancer

OF_ENDPOINT = (
    "hot_until",
    "slow_ns",
    "late_until",
    "avoid_until",
    "spell",
    "overload",
    "struck_at",
    "good_at",
    "faults",
)
OF_NODE = (
    "load_each",
    "each_fill",
)
OF_WINDOW = ("size", "failing", "cut_at")
OF_BUCKET = ("level", "at")
OF_SLOW_START = ("fresh", "fresh_at")
OF_SHEDDING = ("admit", "at", "jammed")


def export_state(balancer: Balancer, latency_estimator: LatencyEstimator) -> dict[str, Any]:
    return {
        "node": {key: getattr(balancer, key) for key in OF_NODE},
        "window": {key: getattr(balancer.window, key) for key in OF_WINDOW},
        "shedding": {key: getattr(balancer.shedding, key) for key in OF_SHEDDING},
        "slow_start": {key: getattr(balancer.slow_start, key) for key in OF_SLOW_START},
        "bucket": {key: getattr(balancer.slow_start.bucket, key) for key in OF_BUCKET},
        "hosts": {
            endpoint.id.hex(): {key: getattr(endpoint, key) for key in OF_ENDPOINT}
            for endpoint in balancer.endpoints.values()
        },
        "guests": [latency_estimator.guests, latency_estimator.guests_at],
        "shed": {endpoint.hex(): at for endpoint, at in latency_estimator.shed_at.items()},
    }


def import_state(balancer: Balancer, latency_estimator: LatencyEstimator, memory: dict[str, Any]) -> None:
    """Once the list is known; an endpoint that is not listed any more is left out."""
    deployment_facts = [
        (balancer.endpoints.get(bytes.fromhex(name)), endpoint) for name, endpoint in memory["hosts"].items()
    ]
    window = memory.get("window", {})  # an earlier version's had its place among the node's
    bucket, shedding = memory.get("bucket", {}), memory.get("shedding", {})
    of_all = [
        (balancer, OF_NODE, memory["node"]),
        (balancer.window, OF_WINDOW, window),
        (balancer.slow_start, OF_SLOW_START, memory.get("slow_start", {})),
        (balancer.slow_start.bucket, OF_BUCKET, bucket),
        (balancer.shedding, OF_SHEDDING, shedding),
    ]
    for known, keys, told in of_all + [
        (endpoint, OF_ENDPOINT, told) for endpoint, told in deployment_facts if endpoint is not None
    ]:
        for key in keys:
            kind = type(getattr(known, key))  # a figure of another kind is another version's
            if isinstance(told.get(key), kind):
                setattr(known, key, told[key])
    latency_estimator.guests, latency_estimator.guests_at = (
        float(memory["guests"][0]),
        int(memory["guests"][1]),
    )
    latency_estimator.shed_at.update({bytes.fromhex(name): int(at) for name, at in memory["shed"].items()})
