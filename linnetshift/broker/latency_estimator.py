"""Estimates the message time at each endpoint, from reply times and from reported loads.

Reply times alone do not reveal a slow endpoint, which may still return a line at once: the longest of 777
replies took 2 ms while endpoints missed a 50 ms objective. Its utilization does, which is the load of its
connections over its capacity: the message time is the message's work / (1 - utilization).

An endpoint counts as slow above a third of the message latency objective; the balancer decides whether it is
over the objective.
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

# Maximum age of a reply time: a little more than the interval between two reviews.
SAMPLE_LIFETIME_NS = 3 * NS_PER_S // 2
# Maximum number of reply times stored per endpoint, which is enough for a stable median.
MAX_SAMPLES = 64
# Maximum number of remote zones whose round trip is stored; only a faulty list has as many.
MAX_ZONES = 256
# An endpoint counts as slow above the message latency objective divided by this.
SLOW_DIVISOR = 3

# Overhead of each group at an endpoint, in default connection loads, regardless of its clients' loads.
GROUP_OVERHEAD_LOADS = 3.0
# Number of cores of an endpoint, whose weight is its total size in standard cores.
ENDPOINT_CORES = 2
# Assumed work of a message on a standard core, which nothing reports: at most 7 ms, and at most this share of
# the shortest objective, which is set with that work in mind. Both are upper estimates: avoiding an endpoint
# too early costs less than too late.
MAX_MESSAGE_WORK_NS = 7_000_000
MESSAGE_WORK_SHARE = 0.14
# Keeps the estimate finite for a fully utilized endpoint.
MAX_UTILIZATION = 0.995

# An endpoint that resets established connections has a backlog, which shrinks slowly and does not show in
# reply times. It counts as slow for this long.
RESET_PENALTY_NS = 10 * NS_PER_S
# Message time of such an endpoint: at most 40 ms, and at most this share of the objective. That is slow, but
# not over the objective, as most other endpoints may be healthy.
MAX_PENALTY_LATENCY_NS = 40_000_000
PENALTY_LATENCY_SHARE = 0.8

# Heavy connections report their load first. Until half of the connections have reported, the mean does not
# represent the others, which are assumed to have at most this load: 11 to 21 typical connections fill a core.
TYPICAL_LOAD_US_PER_S = 70_000.0
MIN_REPORTED_SHARE = 0.5
# Number of typical loads averaged with the reported ones; negligible once many connections have reported.
PRIOR_CONNECTIONS = 4

# Keys of the state handed over to another process.
_MIGRATIONS_KEY = "guests"
_RESETS_KEY = "shed"


class ConnectionLoad(NamedTuple):
    """The load of one established connection on its endpoint."""

    load: float | None  # in us of work per second; None if not reported yet
    group: int
    oldest_unanswered_ns: int  # age of the oldest message that awaits a reply; 0 if there is none


class LatencyEstimator:
    """Estimates message times and finds slow endpoints. All times are in ns of the caller's clock.

    Attributes:
        weights: sizes of the listed endpoints in standard cores.
        peer_connections: connections of the peer process of this proxy, by endpoint.
        reset_at_ns: when an endpoint last reset an established connection, by endpoint.
        migrations: balance of clients that migrated here from other proxies and from here to them.
    """

    def __init__(self) -> None:
        """Start without observations; `configure` must be called before the first review."""
        self.latency_objective_ns = 0
        self.slow_threshold_ns = 0
        self.proxies = 1
        self.weights_are_sizes = True
        self.weights: dict[bytes, float] = {}
        self.samples: dict[bytes, deque[tuple[int, int]]] = {}  # arrival and time of recent replies
        self.zone_round_trip_ns: dict[int, int] = {}  # shortest reply time, by remote zone
        self.migrations = MigrationBalance()
        self.slow_endpoints: set[bytes] = set()
        self.peer_connections: dict[bytes, list[ConnectionLoad]] = {}
        self.reset_at_ns: dict[bytes, int] = {}
        self.reported_times = ReportedMessageTimes()

    def configure(self, latency_objective_ns: int, proxies: int, weights_are_sizes: bool = True) -> None:
        """Apply the settings, at the start or at a reload.

        `latency_objective_ns` is the shortest message latency objective of the offered classes, `proxies` the
        number of proxies that share the endpoints. Reported loads are used only if weights are sizes in
        standard cores.
        """
        self.latency_objective_ns = latency_objective_ns
        self.slow_threshold_ns = latency_objective_ns // SLOW_DIVISOR
        self.proxies = proxies
        self.weights_are_sizes = weights_are_sizes

    # ---- observations -----------------------------------------------------------------------

    def record_response_time(
        self, endpoint: bytes, remote_zone: int | None, elapsed_ns: int, now_ns: int
    ) -> None:
        """Record a reply time.

        `remote_zone` is the endpoint's zone if it differs from this proxy's own: the shortest reply time from
        there so far counts as the round trip, and is subtracted.
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
        """Record a reported figure if it is a message time in ms; False if it is a connection's load."""
        elapsed_ns = self.reported_times.record(endpoint, figure, now_ns)
        if elapsed_ns is None:
            return False
        if elapsed_ns > self.slow_threshold_ns:
            self.slow_endpoints.add(endpoint)
        return True

    def record_reset(self, endpoint: bytes, now_ns: int) -> None:
        """Record that the endpoint reset an established connection."""
        self.reset_at_ns[endpoint] = now_ns

    def handle_restart(self, endpoint: bytes) -> None:
        """Drop the observations of an endpoint that has restarted, as they concern its old process."""
        self.reset_at_ns.pop(endpoint, None)
        self.samples.pop(endpoint, None)
        self.reported_times.drop(endpoint)

    def evict(self, endpoint: bytes) -> None:
        """Drop all data on an endpoint that is no longer known."""
        self.handle_restart(endpoint)
        self.weights.pop(endpoint, None)
        self.slow_endpoints.discard(endpoint)

    # ---- review -----------------------------------------------------------------------------

    def review(
        self, connections: Mapping[bytes, list[ConnectionLoad]], now_ns: int
    ) -> list[tuple[bytes, float]]:
        """The endpoints to notify the balancer of, with their message times in ms; called once a second.

        `connections` holds this process's connections by endpoint. A slow endpoint is returned while it is
        slow, and once more when it no longer is.
        """
        self.reset_at_ns = {
            endpoint: at_ns
            for endpoint, at_ns in self.reset_at_ns.items()
            if now_ns - at_ns < RESET_PENALTY_NS
        }
        connection_lists = (*connections.values(), *self.peer_connections.values())
        default_load = self._default_load(connection_lists)
        fleet_multiple = self._fleet_multiple(sum(map(len, connection_lists)), now_ns)
        notes = []
        for endpoint, established in connections.items():
            elapsed_ns = max(
                self._measured_ns(endpoint, established, now_ns),
                self._estimated_from_load_ns(endpoint, established, default_load, fleet_multiple),
                self.reported_times.elapsed_ns(endpoint, now_ns),
                self._penalty_latency_ns() if endpoint in self.reset_at_ns else 0.0,
            )
            if self._update_slow(endpoint, elapsed_ns):
                notes.append((endpoint, elapsed_ns / NS_PER_MS))
        self._drop_unconnected(connections)
        return notes

    def _update_slow(self, endpoint: bytes, elapsed_ns: float) -> bool:
        """Record whether the endpoint is slow; returns whether it is slow now or was before."""
        was_slow = endpoint in self.slow_endpoints
        is_slow = elapsed_ns > self.slow_threshold_ns
        if is_slow:
            self.slow_endpoints.add(endpoint)
        else:
            self.slow_endpoints.discard(endpoint)
        return is_slow or was_slow

    def _drop_unconnected(self, connections: Mapping[bytes, list[ConnectionLoad]]) -> None:
        """Drop the observations of endpoints without connections, except their resets."""
        self.slow_endpoints &= connections.keys()
        for endpoint in self.samples.keys() - connections.keys():
            del self.samples[endpoint]
        self.reported_times.drop_all_but(connections.keys())

    def _default_load(self, connection_lists: Iterable[list[ConnectionLoad]]) -> float:
        """The load in us/s assumed for connections that have not reported theirs; 0 if none has reported."""
        total = 0
        reported = []
        for established in connection_lists:
            total += len(established)
            reported += [connection.load for connection in established if connection.load is not None]
        if not reported:
            return 0.0
        prior = PRIOR_CONNECTIONS * TYPICAL_LOAD_US_PER_S
        mean = (sum(reported) + prior) / (len(reported) + PRIOR_CONNECTIONS)
        if len(reported) < total * MIN_REPORTED_SHARE:
            return min(mean, TYPICAL_LOAD_US_PER_S)
        return mean

    def _fleet_multiple(self, own_connections: int, now_ns: int) -> float:
        """The ratio of all proxies' connections to this proxy's, from 1 to the number of proxies.

        While another proxy is down, its clients are connected here; counting them twice would make every
        endpoint look full.
        """
        own_share = 1.0 - self.migrations.net_in(now_ns) / max(1, own_connections)
        return min(max(1.0, self.proxies * own_share), float(self.proxies))

    def _measured_ns(self, endpoint: bytes, established: Iterable[ConnectionLoad], now_ns: int) -> float:
        """The median of recent reply times and of longer waits for a reply; 0 if there are none."""
        oldest_ns = now_ns - SAMPLE_LIFETIME_NS
        times: list[float] = [
            elapsed_ns for at_ns, elapsed_ns in self.samples.get(endpoint, ()) if at_ns >= oldest_ns
        ]
        median_reply_ns = median(times) if times else 0
        # An endpoint without any replies is stalled or gone, which does not indicate load on the others: its
        # clients migrate as from a slow one, but a wait alone must not put it over the objective.
        max_wait_ns = int(self._penalty_latency_ns())
        for connection in established:
            if connection.oldest_unanswered_ns > median_reply_ns:
                times.append(min(connection.oldest_unanswered_ns, max_wait_ns))
        return median(times) if times else 0.0

    def _estimated_from_load_ns(
        self,
        endpoint: bytes,
        established: list[ConnectionLoad],
        default_load: float,
        fleet_multiple: float,
    ) -> float:
        """The message time estimated from reported loads and the endpoint's capacity; 0 if either is unknown.

        Weights give the capacity only if they are sizes: a live weight is a tenth of the size where ten
        connections fill a core, so every endpoint would look full.
        """
        if not default_load or not self.weights_are_sizes:
            return 0.0
        weight = self.weights.get(endpoint, 1.0)
        established = established + self.peer_connections.get(endpoint, [])
        demand = _fleet_load(established, default_load, fleet_multiple)
        utilization = min(demand / (weight * US_PER_S), MAX_UTILIZATION)
        work_ns = min(MAX_MESSAGE_WORK_NS, MESSAGE_WORK_SHARE * self.latency_objective_ns)
        return work_ns * ENDPOINT_CORES / weight / (1.0 - utilization)

    def _penalty_latency_ns(self) -> float:
        """A message time that is slow but not over the objective, in ns."""
        return min(MAX_PENALTY_LATENCY_NS, PENALTY_LATENCY_SHARE * self.latency_objective_ns)

    # ---- state and usage --------------------------------------------------------------------

    def export_state(self) -> dict[str, Any]:
        """The state that another process continues from, for `import_migrations` and `import_resets`."""
        return {
            _MIGRATIONS_KEY: [self.migrations.net, self.migrations.updated_ns],
            _RESETS_KEY: {endpoint.hex(): at_ns for endpoint, at_ns in self.reset_at_ns.items()},
        }

    def import_migrations(self, state: Mapping[str, Any]) -> None:
        """Restore the balance of migrated clients from an exported state.

        Raises AttributeError, KeyError, TypeError or ValueError, and changes nothing, if it is malformed.
        """
        net, updated_ns = state[_MIGRATIONS_KEY][:2]
        self.migrations = MigrationBalance(float(net), int(updated_ns))

    def import_resets(self, state: Mapping[str, Any]) -> None:
        """Restore the times of the latest resets; raises the same errors as `import_migrations`."""
        resets = {bytes.fromhex(name): int(at_ns) for name, at_ns in state[_RESETS_KEY].items()}
        self.reset_at_ns.update(resets)

    def resource_usage(self, max_names: int) -> dict[str, ResourceUsage]:
        """Sizes and bounds, under their names in `GET /ops/census`; `max_names` bounds known endpoints."""
        return {
            "gauge.weights": ResourceUsage(len(self.weights), max_names),
            "gauge.samples": ResourceUsage(len(self.samples), max_names),
            "gauge.shed_at": ResourceUsage(len(self.reset_at_ns), max_names),
            **self.reported_times.resource_usage(max_names),
            "gauge.slow": ResourceUsage(len(self.slow_endpoints), max_names),
            "gauge.nearest": ResourceUsage(len(self.zone_round_trip_ns), MAX_ZONES),
        }


def _fleet_load(established: list[ConnectionLoad], default_load: float, fleet_multiple: float) -> float:
    """The likely load in us/s of all proxies together on an endpoint.

    `established` holds this proxy's connections there; each other proxy is assumed to have as many.
    """
    loads = [default_load if connection.load is None else connection.load for connection in established]
    own = sum(loads)
    # This proxy may have more connections here than others by chance: one heavy connection at one of forty
    # proxies, multiplied by forty, would fill any endpoint. For the other proxies, only the load above one
    # standard deviation counts; up to a fleet multiple of two, all of it does.
    deviation = math.sqrt(sum(load * load for load in loads))
    deviation *= max(0.0, 1.0 - 2.0 / fleet_multiple)
    demand = own + max(0.0, own - deviation) * (fleet_multiple - 1.0)
    groups = {connection.group for connection in established}
    return demand + GROUP_OVERHEAD_LOADS * default_load * len(groups)
