"""Which endpoints count as slow: by their replies, or by the loads that they report."""

from __future__ import annotations

import pytest
from conftest import MS, S, raw_settings

from linnetshift.broker.latency_estimator import EstablishedConnection, LatencyEstimator
from linnetshift.routing.settings import Settings

ENDPOINT = b"s-1"


def latency_estimator(weight: float = 2.0, proxies: int = 1) -> LatencyEstimator:
    made = LatencyEstimator()
    made.configure(50 * MS, proxies)
    made.weights[ENDPOINT] = weight
    return made


def connections(
    load: float | None, number: int, waiting: int = 0
) -> dict[bytes, list[EstablishedConnection]]:
    return {ENDPOINT: [EstablishedConnection(load, 1, waiting) for _ in range(number)]}


@pytest.mark.parametrize(
    ("weight", "proxies", "number", "noted"),
    [(2.0, 1, 5, False), (2.0, 1, 20, True), (2.0, 2, 10, True), (6.0, 2, 10, False)],
)
def test_endpoint_is_slow_where_its_reported_loads_fill_it(
    weight: float, proxies: int, number: int, noted: bool
) -> None:
    # Replies came at once from endpoints that missed every objective: by them alone none was ever slow.
    made = latency_estimator(weight, proxies)
    made.record_response_time(ENDPOINT, None, MS // 20, 1 * S)
    assert bool(made.review(connections(80_000.0, number), 1 * S)) is noted


@pytest.mark.parametrize(("times", "noted"), [([1, 2, 90], False), ([80, 90, 1], True)])
def test_endpoint_is_slow_where_its_median_reply_is(times: list[int], noted: bool) -> None:
    made = latency_estimator()
    for ms in times:
        made.record_response_time(ENDPOINT, None, ms * MS, 1 * S)
    assert bool(made.review(connections(None, 1), 1 * S)) is noted


def test_unanswered_message_makes_its_endpoint_slow_but_not_late() -> None:
    # Two crashed endpoints were mistaken for congestion, and whole groups were rejected for seconds after.
    assert latency_estimator().review(connections(None, 1, waiting=2 * S), 1 * S) == [(ENDPOINT, 40.0)]


def test_round_trip_to_a_remote_zone_does_not_count() -> None:
    made = latency_estimator()
    for ms in (20, 21, 22):
        made.record_response_time(ENDPOINT, 1, ms * MS, 1 * S)
    assert not made.review(connections(None, 1), 1 * S)


def test_endpoint_is_returned_once_more_when_it_is_slow_no_longer() -> None:
    made = latency_estimator()
    assert made.review(connections(80_000.0, 20), 1 * S)
    ((endpoint, ms),) = made.review(connections(80_000.0, 1), 2 * S)
    assert endpoint == ENDPOINT
    assert ms * 3 < 50
    assert not made.review(connections(80_000.0, 1), 3 * S)


def test_endpoint_that_resets_a_connection_is_slow_for_a_while() -> None:
    # The work that has piled up there shows in no reply and no load; its clients would hash back to it.
    made = latency_estimator()
    made.record_reset(ENDPOINT, 1 * S)
    assert made.review(connections(None, 1), 2 * S) == [(ENDPOINT, 40.0)]
    ((_, over),) = made.review(connections(None, 1), 12 * S)
    assert over * 3 < 50


def test_restart_clears_the_reset_penalty() -> None:
    made = latency_estimator()
    made.record_reset(ENDPOINT, 1 * S)
    made.handle_restart(ENDPOINT)
    assert not made.review(connections(None, 1), 3 * S)


@pytest.mark.parametrize(
    ("migrated_in", "migrated_out", "noted"),
    [
        (0, 0, True),  # the other proxy holds as number
        (8, 0, False),  # it is away: its clients are the ones that migrated in
        (8, 8, True),  # they were migrated from here before
    ],
)
def test_clients_of_a_proxy_that_is_away_count_once(migrated_in: int, migrated_out: int, noted: bool) -> None:
    # With one of two proxies gone every endpoint looked full, and most keys were rejected for 10 s.
    made = latency_estimator(proxies=2)
    for at, count in ((True, migrated_in), (False, migrated_out)):
        for _ in range(count):
            (made.migrations.record_migrated_in if at else made.migrations.record_migrated_out)(1 * S)
    assert bool(made.review(connections(80_000.0, 8), 1 * S)) is noted


def test_few_reported_loads_do_not_stand_for_the_rest() -> None:
    # After a restart the first to report were the heavy ones; every endpoint looked overloaded.
    made = latency_estimator(weight=4.0)
    heavy = [EstablishedConnection(400_000.0, 1, 0)] * 2
    assert not made.review({ENDPOINT: heavy + [EstablishedConnection(None, 1, 0)] * 10}, 1 * S)
    assert made.review({ENDPOINT: heavy * 6}, 1 * S)


@pytest.mark.parametrize(
    ("figures", "times"),
    [
        # Seen in a fleet of 40 proxies: the same small figure at each of them at once, a second apart, while
        # no message was answered in time. Taken for loads, they made an overloaded endpoint look idle.
        (
            [(0, 89.5), (1000, 237.3), (2001, 609.0), (3000, 1055.5), (4000, 5.7)],
            [89.5, 237.3, 609.0, 1055.5, 5.7],
        ),
        (
            [(0, 1551.7), (1001, 1628.7)],
            [1628.7],
        ),  # overloaded long before its first connection here
        (
            [(0, 2512.7), (4200, 2512.7), (5000, 70_000.0), (6000, 43_868.9)],
            [],
        ),  # idle ones' loads, and usual ones
    ],
)
def test_small_figure_one_interval_after_another_is_a_message_time(
    figures: list[tuple[int, float]], times: list[float]
) -> None:
    made = latency_estimator()
    assert [
        value for at, value in figures if made.record_if_message_time(ENDPOINT, value, (9000 + at) * MS)
    ] == times


def test_reported_message_time_holds_until_the_next() -> None:
    made = latency_estimator()
    assert made.record_if_message_time(ENDPOINT, 89.5, 5 * S)
    assert made.review(connections(None, 1), 5 * S + 900 * MS) == [(ENDPOINT, 89.5)]
    assert made.record_if_message_time(ENDPOINT, 4.0, 6 * S)
    made.review(connections(None, 1), 6 * S + 900 * MS)
    assert not made.review(connections(None, 1), 7 * S + 900 * MS)
    made.handle_restart(ENDPOINT)
    assert not made.reported_times.latest
    assert not made.reported_times.small_figure_at_ns


@pytest.mark.parametrize(
    ("proxies", "loads", "noted"),
    [
        (40, [200_000.0], False),  # one heavy connection by chance: forty of them would fill four endpoints
        (40, [70_000.0, 70_000.0], True),  # two are few, but would be eighty
        (2, [70_000.0] * 14, True),
        (2, [70_000.0] * 5, False),
    ],
)
def test_one_or_two_connections_do_not_stand_for_the_whole_fleet(
    proxies: int, loads: list[float], noted: bool
) -> None:
    # At 40 proxies 47 of 95 clients were migrated in the first 2 s, off endpoints that were healthy.
    made = latency_estimator(proxies=proxies)
    held = {ENDPOINT: [EstablishedConnection(load, 1, 0) for load in loads]}
    assert bool(made.review(held, 1 * S)) is noted


@pytest.mark.parametrize(
    ("source", "noted"), [("nominal", True), ("rough", True), ("live", False), ("silent", False)]
)
def test_loads_count_only_where_weights_are_sizes(source: str, noted: bool) -> None:
    # A live weight is the size over the connections there: all endpoints looked full.
    known = Settings.parse(raw_settings(weightSource=source))
    made = latency_estimator(0.3)
    made.configure(50 * MS, 1, known.weights_are_sizes)
    assert bool(made.review(connections(80_000.0, 5), 1 * S)) is noted


@pytest.mark.parametrize("objective_ms", [10, 20, 50])
def test_utilization_that_is_slow_does_not_depend_on_the_objective(objective_ms: int) -> None:
    # A message counted as 7 ms of work whatever the objective: at 20 ms every idle endpoint was slow.
    made = LatencyEstimator()
    made.configure(objective_ms * MS, 1)
    made.weights[ENDPOINT] = 2.0
    assert not made.review(connections(80_000.0, 4), 1 * S)
    assert made.review(connections(80_000.0, 20), 1 * S)
    made.handle_restart(ENDPOINT)
    made.review(connections(None, 1), 2 * S)
    made.record_reset(ENDPOINT, 3 * S)
    ((_, ms),) = made.review(connections(None, 1), 3 * S)
    assert objective_ms / 3 < ms < objective_ms  # slow, and short of late
