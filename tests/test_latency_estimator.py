"""Detection of slow endpoints from reply times, reported loads and reported message times."""

from __future__ import annotations

import pytest
from conftest import MS, S, raw_settings

from linnetshift.broker.latency_estimator import ConnectionLoad, LatencyEstimator
from linnetshift.routing.settings import Settings

ENDPOINT = b"s-1"


def configured_estimator(weight: float = 2.0, proxies: int = 1) -> LatencyEstimator:
    estimator = LatencyEstimator()
    estimator.configure(50 * MS, proxies)
    estimator.weights[ENDPOINT] = weight
    return estimator


def connections(
    load: float | None, count: int, oldest_unanswered_ns: int = 0
) -> dict[bytes, list[ConnectionLoad]]:
    return {ENDPOINT: [ConnectionLoad(load, 1, oldest_unanswered_ns) for _ in range(count)]}


@pytest.mark.parametrize(
    ("weight", "proxies", "count", "expected_slow"),
    [(2.0, 1, 5, False), (2.0, 1, 20, True), (2.0, 2, 10, True), (6.0, 2, 10, False)],
)
def test_endpoint_with_high_reported_loads_is_slow_despite_fast_replies(
    weight: float, proxies: int, count: int, expected_slow: bool
) -> None:
    # Fault: endpoints that missed every objective still replied at once, so none of them counted as slow.
    estimator = configured_estimator(weight, proxies)
    estimator.record_response_time(ENDPOINT, None, MS // 20, 1 * S)
    assert bool(estimator.review(connections(80_000.0, count), 1 * S)) is expected_slow


@pytest.mark.parametrize(("reply_times_ms", "expected_slow"), [([1, 2, 90], False), ([80, 90, 1], True)])
def test_endpoint_with_slow_median_reply_is_slow(reply_times_ms: list[int], expected_slow: bool) -> None:
    estimator = configured_estimator()
    for reply_time_ms in reply_times_ms:
        estimator.record_response_time(ENDPOINT, None, reply_time_ms * MS, 1 * S)
    assert bool(estimator.review(connections(None, 1), 1 * S)) is expected_slow


def test_endpoint_with_unanswered_message_is_slow_but_not_over_objective() -> None:
    # Fault: two crashed endpoints were taken for overload, and whole groups were rejected for seconds.
    assert configured_estimator().review(connections(None, 1, oldest_unanswered_ns=2 * S), 1 * S) == [
        (ENDPOINT, 40.0)
    ]


def test_round_trip_to_a_remote_zone_is_subtracted_from_reply_times() -> None:
    estimator = configured_estimator()
    for reply_time_ms in (20, 21, 22):
        estimator.record_response_time(ENDPOINT, 1, reply_time_ms * MS, 1 * S)
    assert not estimator.review(connections(None, 1), 1 * S)


def test_endpoint_that_is_no_longer_slow_is_returned_once_more() -> None:
    estimator = configured_estimator()
    assert estimator.review(connections(80_000.0, 20), 1 * S)
    ((endpoint, message_time_ms),) = estimator.review(connections(80_000.0, 1), 2 * S)
    assert endpoint == ENDPOINT
    assert message_time_ms * 3 < 50
    assert not estimator.review(connections(80_000.0, 1), 3 * S)


def test_endpoint_that_reset_a_connection_is_slow_for_the_penalty_time() -> None:
    # Its backlog shows neither in replies nor in loads, and its clients would be placed there again.
    estimator = configured_estimator()
    estimator.record_reset(ENDPOINT, 1 * S)
    assert estimator.review(connections(None, 1), 2 * S) == [(ENDPOINT, 40.0)]
    ((_, message_time_ms),) = estimator.review(connections(None, 1), 12 * S)
    assert message_time_ms * 3 < 50


def test_restart_clears_the_reset_penalty() -> None:
    estimator = configured_estimator()
    estimator.record_reset(ENDPOINT, 1 * S)
    estimator.handle_restart(ENDPOINT)
    assert not estimator.review(connections(None, 1), 3 * S)


@pytest.mark.parametrize(
    ("migrated_in", "migrated_out", "expected_slow"),
    [
        (0, 0, True),  # the other proxy has as many connections
        (8, 0, False),  # the other proxy is down, and its clients migrated in
        (8, 8, True),  # the clients had migrated from here before
    ],
)
def test_clients_of_a_proxy_that_is_down_count_once(
    migrated_in: int, migrated_out: int, expected_slow: bool
) -> None:
    # Fault: with one of two proxies down, every endpoint looked full and most keys were rejected for 10 s.
    estimator = configured_estimator(proxies=2)
    for _ in range(migrated_in):
        estimator.migrations.record_migrated_in(1 * S)
    for _ in range(migrated_out):
        estimator.migrations.record_migrated_out(1 * S)
    assert bool(estimator.review(connections(80_000.0, 8), 1 * S)) is expected_slow


def test_loads_of_the_first_connections_to_report_are_not_assumed_for_the_rest() -> None:
    # Fault: after a restart, heavy connections reported first, and every endpoint looked overloaded.
    estimator = configured_estimator(weight=4.0)
    heavy = [ConnectionLoad(400_000.0, 1, 0)] * 2
    assert not estimator.review({ENDPOINT: heavy + [ConnectionLoad(None, 1, 0)] * 10}, 1 * S)
    assert estimator.review({ENDPOINT: heavy * 6}, 1 * S)


@pytest.mark.parametrize(
    ("figures", "message_times_ms"),
    [
        # Overloaded endpoints reported the same small figures to all 40 proxies of a fleet once a second.
        # Fault: taken for loads, these made an overloaded endpoint look idle.
        (
            [(0, 89.5), (1000, 237.3), (2001, 609.0), (3000, 1055.5), (4000, 5.7)],
            [89.5, 237.3, 609.0, 1055.5, 5.7],
        ),
        (
            [(0, 1551.7), (1001, 1628.7)],
            [1628.7],
        ),  # overloaded before its first connection here
        (
            [(0, 2512.7), (4200, 2512.7), (5000, 70_000.0), (6000, 43_868.9)],
            [],
        ),  # loads of idle and of typical connections
    ],
)
def test_small_figure_one_report_interval_after_another_is_a_message_time(
    figures: list[tuple[int, float]], message_times_ms: list[float]
) -> None:
    estimator = configured_estimator()
    assert [
        figure
        for at_ms, figure in figures
        if estimator.record_if_message_time(ENDPOINT, figure, (9000 + at_ms) * MS)
    ] == message_times_ms


def test_reported_message_time_is_valid_until_the_next_report() -> None:
    estimator = configured_estimator()
    assert estimator.record_if_message_time(ENDPOINT, 89.5, 5 * S)
    assert estimator.review(connections(None, 1), 5 * S + 900 * MS) == [(ENDPOINT, 89.5)]
    assert estimator.record_if_message_time(ENDPOINT, 4.0, 6 * S)
    estimator.review(connections(None, 1), 6 * S + 900 * MS)
    assert not estimator.review(connections(None, 1), 7 * S + 900 * MS)
    estimator.handle_restart(ENDPOINT)
    assert not estimator.reported_times.latest
    assert not estimator.reported_times.small_figure_at_ns


def test_observations_of_endpoint_without_connections_are_dropped_except_its_reset() -> None:
    estimator = configured_estimator()
    assert estimator.record_if_message_time(ENDPOINT, 89.5, 5 * S)
    estimator.record_response_time(ENDPOINT, None, 90 * MS, 5 * S)
    estimator.record_reset(ENDPOINT, 5 * S)
    estimator.review({}, 5 * S)
    assert not estimator.reported_times.latest
    assert not estimator.reported_times.small_figure_at_ns
    assert not estimator.samples
    assert not estimator.slow_endpoints
    assert estimator.reset_at_ns == {ENDPOINT: 5 * S}


@pytest.mark.parametrize(
    ("proxies", "loads", "expected_slow"),
    [
        (40, [200_000.0], False),  # one heavy connection, by chance: forty would fill four endpoints
        (40, [70_000.0, 70_000.0], True),  # two connections, extrapolated to eighty
        (2, [70_000.0] * 14, True),
        (2, [70_000.0] * 5, False),
    ],
)
def test_load_of_a_single_connection_is_not_extrapolated_to_all_proxies(
    proxies: int, loads: list[float], expected_slow: bool
) -> None:
    # Fault: with 40 proxies, 47 of 95 clients were migrated from healthy endpoints in the first 2 s.
    estimator = configured_estimator(proxies=proxies)
    established = {ENDPOINT: [ConnectionLoad(load, 1, 0) for load in loads]}
    assert bool(estimator.review(established, 1 * S)) is expected_slow


@pytest.mark.parametrize(
    ("source", "expected_slow"), [("nominal", True), ("rough", True), ("live", False), ("silent", False)]
)
def test_loads_count_only_where_weights_are_sizes(source: str, expected_slow: bool) -> None:
    # Fault: live weights, the size divided by the connections there, made all endpoints look full.
    settings = Settings.parse(raw_settings(weightSource=source))
    estimator = configured_estimator(0.3)
    estimator.configure(50 * MS, 1, settings.weights_are_sizes)
    assert bool(estimator.review(connections(80_000.0, 5), 1 * S)) is expected_slow


@pytest.mark.parametrize("objective_ms", [10, 20, 50])
def test_endpoint_is_slow_at_the_same_utilization_for_any_objective(objective_ms: int) -> None:
    # Fault: with 7 ms of work per message for any objective, all idle endpoints were slow at 20 ms.
    estimator = LatencyEstimator()
    estimator.configure(objective_ms * MS, 1)
    estimator.weights[ENDPOINT] = 2.0
    assert not estimator.review(connections(80_000.0, 4), 1 * S)
    assert estimator.review(connections(80_000.0, 20), 1 * S)
    estimator.handle_restart(ENDPOINT)
    estimator.review(connections(None, 1), 2 * S)
    estimator.record_reset(ENDPOINT, 3 * S)
    ((_, message_time_ms),) = estimator.review(connections(None, 1), 3 * S)
    assert objective_ms / 3 < message_time_ms < objective_ms  # slow, but not over the objective
