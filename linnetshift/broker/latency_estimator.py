"""Estimates how long messages take at each endpoint: measured by replies, or estimated from reported loads.

A slow endpoint may still return a line at once (seen on this platform: 777 replies, the longest after
2 ms, while endpoints missed a 50 ms objective), so the replies alone would never show it. Its utilization,
which is the load of its connections over its capacity, does: the time of a message is its work / (1 -
utilization).

An endpoint counts as slow from a third of the message latency objective on; the balancer decides what is over
the objective.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from statistics import median
from typing import Any, NamedTuple

from linnetshift.broker.migration_balance import MigrationBalance
from linnetshift.broker.reported_message_times import ReportedMessageTimes
from linnetshift.observability.resource_usage import ResourceUsage

NS_PER_S = 1_000_000_000
NS_PER_MS = 1e6
US_PER_S = 1e6

# Replies older than this say nothing of the present: a little over the interval between two reviews.
SAMPLE_LIFETIME_NS = 3 * NS_PER_S // 2
# Reply times kept for one endpoint, which is enough for a stable median.
MAX_SAMPLES = 64
# Remote zones whose round trip is kept; there are far fewer, unless the list is broken.
MAX_ZONES = 256
# An endpoint counts as slow above this fraction of the message latency objective.
SLOW_DIVISOR = 3

# Serving a group costs an endpoint as much as this many usual connections, whatever its clients ask of it.
GROUP_OVERHEAD_LOADS = 3.0
# An endpoint's weight is its size in standard cores, and it has two of them.
ENDPOINT_CORES = 2
# A message's work on a standard core is reported nowhere: 7 ms where it was measured, and no more than a
# share of the shortest objective, which is set with a view to it. Both are at the upper end: to avoid an
# endpoint too early costs less than to wait for certainty.
MAX_MESSAGE_WORK_NS = 7_000_000
MESSAGE_WORK_SHARE = 0.14
# Keeps the estimate finite at an endpoint that is full.
MAX_UTILIZATION = 0.995

# An endpoint that resets established connections has work piled up, which drains slowly and shows in no
# reply. It counts as slow for this long.
RESET_PENALTY_NS = 10 * NS_PER_S
# The message time that it then counts with, at most, and at most this share of the objective: slow, but not
# over the objective, as most other endpoints may be fine.
MAX_PENALTY_LATENCY_NS = 40_000_000
PENALTY_LATENCY_SHARE = 0.8

# Heavy connections are the first to report their load. Before half have reported, their mean says nothing of
# the rest, which count with this load: 11 to 21 usual connections fill a core.
TYPICAL_LOAD_US_PER_S = 70_000.0
MIN_REPORTED_SHARE = 0.5
# Reported loads are averaged with this many typical ones, which count for little once many have reported.
PRIOR_CONNECTIONS = 4

# Keys of the state that is handed over to another process.
_MIGRATIONS_KEY = "guests"
_RESETS_KEY = "shed"


class ConnectionLoad(NamedTuple):
    """What one established connection asks of its endpoint."""

    load: float | None  # in us of work a second, once reported
    group: int
    oldest_unanswered_ns: int  # how long its oldest message without a reply has waited; 0 when none waits


class LatencyEstimator:
    """Finds the endpoints whose messages are slow. All times are in ns of the caller's clock.

    Attributes:
        weights: sizes of the listed endpoints in standard cores.
        peer_connections: what another process of this proxy holds meanwhile, by endpoint.
        reset_at_ns: when endpoints last reset an established connection.
        migrations: clients that came from other proxies and went to them.
    """

    def __init__(self) -> None:
        """Start with nothing observed; `configure` must be called before the first review."""
        self.latency_objective_ns = 0
        self.slow_threshold_ns = 0
        self.proxies = 1
        self.weights_are_sizes = True
        self.weights: dict[bytes, float] = {}
        self.samples: dict[bytes, deque[tuple[int, int]]] = {}  # when latest replies came, and their time
        self.zone_round_trip_ns: dict[int, int] = {}  # shortest reply time, by remote zone
        self.migrations = MigrationBalance()
        self.slow_endpoints: set[bytes] = set()
        self.peer_connections: dict[bytes, list[ConnectionLoad]] = {}
        self.reset_at_ns: dict[bytes, int] = {}
        self.reported_times = ReportedMessageTimes()

    def configure(self, latency_objective_ns: int, proxies: int, weights_are_sizes: bool = True) -> None:
        """Apply the settings, also while running.

        `latency_objective_ns` is the shortest message latency objective of the offered classes, `proxies` how
        many share the endpoints. Loads are estimated only where weights are sizes in standard cores.
        """
        self.latency_objective_ns = latency_objective_ns
        self.slow_threshold_ns = latency_objective_ns // SLOW_DIVISOR
        self.proxies = proxies
        self.weights_are_sizes = weights_are_sizes

    # ---- observations -----------------------------------------------------------------------

    def record_response_time(
        self, endpoint: bytes, remote_zone: int | None, elapsed_ns: int, now_ns: int
    ) -> None:
        """Record that a reply came after `elapsed_ns`.

        `remote_zone` is the endpoint's zone where that is not this proxy's own: the round trip there, which
        is the shortest reply time seen, does not count.
        """
        if remote_zone is not None and (
            remote_zone in self.zone_round_trip_ns or len(self.zone_round_trip_ns) < MAX_ZONES
        ):
            round_trip_ns = min(self.zone_round_trip_ns.get(remote_zone, elapsed_ns), elapsed_ns)
            self.zone_round_trip_ns[remote_zone] = round_trip_ns
            elapsed_ns -= round_trip_ns
        samples = self.samples.setdefault(endpoint, deque(maxlen=MAX_SAMPLES))
        samples.append((now_ns, elapsed_ns))

    def record_if_message_time(self, endpoint: bytes, figure: float, now_ns: int) -> bool:
        """Record a reported figure if it is a message time in ms; False where it is a connection's load."""
        elapsed_ns = self.reported_times.record(endpoint, figure, now_ns)
        if elapsed_ns is None:
            return False
        if elapsed_ns > self.slow_threshold_ns:
            self.slow_endpoints.add(endpoint)
        return True

    def record_reset(self, endpoint: bytes, now_ns: int) -> None:
        """The endpoint reset an established connection."""
        self.reset_at_ns[endpoint] = now_ns

    def handle_restart(self, endpoint: bytes) -> None:
        """The endpoint restarted: what was observed of the old process says nothing of the new one."""
        self.reset_at_ns.pop(endpoint, None)
        self.samples.pop(endpoint, None)
        self.reported_times.forget(endpoint)

    def forget(self, endpoint: bytes) -> None:
        """Drop everything kept under the name of an endpoint that is not known any more."""
        self.handle_restart(endpoint)
        self.weights.pop(endpoint, None)
        self.slow_endpoints.discard(endpoint)

    # ---- review -----------------------------------------------------------------------------

    def review(
        self, connections: Mapping[bytes, list[ConnectionLoad]], now_ns: int
    ) -> list[tuple[bytes, float]]:
        """The endpoints to notify the balancer of, with the ms that a message takes there; once a second.

        `connections` are this process's, by endpoint. A slow endpoint is returned for as long as it is slow,
        and once more when it no longer is.
        """
        self.reset_at_ns = {
            endpoint: at_ns
            for endpoint, at_ns in self.reset_at_ns.items()
            if now_ns - at_ns < RESET_PENALTY_NS
        }
        connection_lists = (*connections.values(), *self.peer_connections.values())
        usual_load = self._usual_load(connection_lists)
        fleet_multiple = self._fleet_multiple(sum(map(len, connection_lists)), now_ns)
        notes = []
        for endpoint, established in connections.items():
            elapsed_ns = max(
                self._measured_ns(endpoint, established, now_ns),
                self._estimated_from_load_ns(endpoint, established, usual_load, fleet_multiple),
                self.reported_times.elapsed_ns(endpoint, now_ns),
                self._penalty_latency_ns() if endpoint in self.reset_at_ns else 0.0,
            )
            if self._update_slow(endpoint, elapsed_ns):
                notes.append((endpoint, elapsed_ns / NS_PER_MS))
        self._forget_all_but(connections)
        return notes

    def _update_slow(self, endpoint: bytes, elapsed_ns: float) -> bool:
        """Record whether the endpoint is slow now; whether it is, or was until now."""
        was_slow = endpoint in self.slow_endpoints
        is_slow = elapsed_ns > self.slow_threshold_ns
        if is_slow:
            self.slow_endpoints.add(endpoint)
        else:
            self.slow_endpoints.discard(endpoint)
        return is_slow or was_slow

    def _forget_all_but(self, connections: Mapping[bytes, list[ConnectionLoad]]) -> None:
        """Drop what is kept of endpoints without connections, but for their resets."""
        self.slow_endpoints &= connections.keys()
        for endpoint in self.samples.keys() - connections.keys():
            del self.samples[endpoint]
        self.reported_times.forget_all_but(connections.keys())

    def _usual_load(self, connection_lists: Iterable[list[ConnectionLoad]]) -> float:
        """The load in us/s of a connection that has not reported any; 0 while none has."""
        total = 0
        reported = []
        for established in connection_lists:
            total += len(established)
            reported += [connection.load for connection in established if connection.load is not None]
        if not reported:
            return 0.0
        prior = PRIOR_CONNECTIONS * TYPICAL_LOAD_US_PER_S
        usual = (sum(reported) + prior) / (len(reported) + PRIOR_CONNECTIONS)
        if len(reported) < total * MIN_REPORTED_SHARE:
            return min(usual, TYPICAL_LOAD_US_PER_S)
        return usual

    def _fleet_multiple(self, own_connections: int, now_ns: int) -> float:
        """All proxies' connections over this one's.

        While another proxy is away its clients are here: counted twice, every endpoint would look full.
        """
        own_share = 1.0 - self.migrations.net_in(now_ns) / max(1, own_connections)
        return min(max(1.0, self.proxies * own_share), float(self.proxies))

    def _measured_ns(self, endpoint: bytes, established: Iterable[ConnectionLoad], now_ns: int) -> float:
        """The median of recent reply times and of waits that are longer already; 0 where there is neither."""
        oldest_ns = now_ns - SAMPLE_LIFETIME_NS
        times: list[float] = [
            elapsed_ns for at_ns, elapsed_ns in self.samples.get(endpoint, ()) if at_ns >= oldest_ns
        ]
        median_reply_ns = median(times) if times else 0
        # An endpoint that answers nothing is stalled or gone, which says nothing of how full the others are:
        # its clients migrate as from a slow one, but a wait alone does not put it over the objective.
        max_wait_ns = int(self._penalty_latency_ns())
        for connection in established:
            if connection.oldest_unanswered_ns > median_reply_ns:
                times.append(min(connection.oldest_unanswered_ns, max_wait_ns))
        return median(times) if times else 0.0

    def _estimated_from_load_ns(
        self,
        endpoint: bytes,
        established: list[ConnectionLoad],
        usual_load: float,
        fleet_multiple: float,
    ) -> float:
        """The message time by the reported loads and the endpoint's capacity; 0 where either is unknown.

        A weight gives the capacity only where weights are sizes: a live weight is a tenth of the size where
        ten connections fill a core, and any endpoint would look full.
        """
        if not usual_load or not self.weights_are_sizes:
            return 0.0
        weight = self.weights.get(endpoint, 1.0)
        established = established + self.peer_connections.get(endpoint, [])
        demand = _fleet_load(established, usual_load, fleet_multiple)
        utilization = min(demand / (weight * US_PER_S), MAX_UTILIZATION)
        work_ns = min(MAX_MESSAGE_WORK_NS, MESSAGE_WORK_SHARE * self.latency_objective_ns)
        return work_ns * ENDPOINT_CORES / weight / (1.0 - utilization)

    def _penalty_latency_ns(self) -> float:
        """The message time of a slow endpoint that is not over the objective."""
        return min(MAX_PENALTY_LATENCY_NS, PENALTY_LATENCY_SHARE * self.latency_objective_ns)

    # ---- state and usage --------------------------------------------------------------------

    def export_state(self) -> dict[str, Any]:
        """What another process needs to go on; `import_migrations` and `import_resets` take it."""
        return {
            _MIGRATIONS_KEY: [self.migrations.net, self.migrations.updated_ns],
            _RESETS_KEY: {endpoint.hex(): at_ns for endpoint, at_ns in self.reset_at_ns.items()},
        }

    def import_migrations(self, state: Mapping[str, Any]) -> None:
        """Take over the clients migrated in and out.

        Raises AttributeError, KeyError, TypeError or ValueError where the state makes no sense, and takes
        nothing then.
        """
        net, updated_ns = state[_MIGRATIONS_KEY][:2]
        self.migrations = MigrationBalance(float(net), int(updated_ns))

    def import_resets(self, state: Mapping[str, Any]) -> None:
        """Take over when endpoints last reset a connection; errors as in `import_migrations`."""
        resets = {bytes.fromhex(name): int(at_ns) for name, at_ns in state[_RESETS_KEY].items()}
        self.reset_at_ns.update(resets)

    def resource_usage(self, max_names: int) -> dict[str, ResourceUsage]:
        """Sizes and bounds, under their names in `GET /ops/census`; `max_names`: most endpoints known."""
        return {
            "gauge.weights": ResourceUsage(len(self.weights), max_names),
            "gauge.samples": ResourceUsage(len(self.samples), max_names),
            "gauge.shed_at": ResourceUsage(len(self.reset_at_ns), max_names),
            **self.reported_times.resource_usage(max_names),
            "gauge.slow": ResourceUsage(len(self.slow_endpoints), max_names),
            "gauge.nearest": ResourceUsage(len(self.zone_round_trip_ns), MAX_ZONES),
        }


def _fleet_load(established: list[ConnectionLoad], usual_load: float, fleet_multiple: float) -> float:
    """The load in us/s that all proxies together put on an endpoint, as far as is likely.

    `established` are this proxy's connections there; each other proxy is taken to have as many.
    """
    loads = [usual_load if connection.load is None else connection.load for connection in established]
    own = sum(loads)
    # As many as are here may be here by chance: a fortieth of the fleet has one heavy connection at an
    # endpoint, and forty of those would fill any. Of the other proxies, only the part that exceeds one
    # standard deviation counts; where there are two proxies, or this one's share is all there is, all does.
    deviation = math.sqrt(sum(load * load for load in loads))
    deviation *= max(0.0, 1.0 - 2.0 / fleet_multiple)
    demand = own + max(0.0, own - deviation) * (fleet_multiple - 1.0)
    groups = {connection.group for connection in established}
    return demand + GROUP_OVERHEAD_LOADS * usual_load * len(groups)
