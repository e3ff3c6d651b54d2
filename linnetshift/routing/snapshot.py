"""What a balancer has learned, in the form that a process hands to its successor."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

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


def export_balancer_state(balancer: Balancer) -> dict[str, Any]:
    """The state under its stored keys; `import_balancer_state` takes it."""
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
    }


def import_balancer_state(balancer: Balancer, state: Mapping[str, Any]) -> None:
    """Once the list is known; an endpoint that is not listed any more is left out."""
    listed = [
        (balancer.endpoints.get(bytes.fromhex(name)), values) for name, values in state["hosts"].items()
    ]
    parts = [
        (balancer, OF_NODE, state["node"]),
        (balancer.window, OF_WINDOW, state.get("window", {})),  # an earlier version's was in the node's
        (balancer.slow_start, OF_SLOW_START, state.get("slow_start", {})),
        (balancer.slow_start.bucket, OF_BUCKET, state.get("bucket", {})),
        (balancer.shedding, OF_SHEDDING, state.get("shedding", {})),
    ]
    for part, keys, values in parts + [
        (known, OF_ENDPOINT, values) for known, values in listed if known is not None
    ]:
        for key in keys:
            kind = type(getattr(part, key))  # a value of another kind is another version's
            if isinstance(values.get(key), kind):
                setattr(part, key, values[key])
