"""Slow notes: by the replies where they tell, else by the loads that endpoints tell."""

from __future__ import annotations

import pytest
from conftest import MS, S, raw_settings

from linnetshift.broker.latency_estimator import EstablishedConnection, LatencyEstimator
from linnetshift.routing.settings import Settings

HERE = b"s-1"


def latency_estimator(weight: float = 2.0, proxies: int = 1) -> LatencyEstimator:
    made = LatencyEstimator()
    made.configure(50 * MS, proxies)
    made.weights[HERE] = weight
    return made


def asking(load: float | None, many: int, waiting: int = 0) -> dict[bytes, list[EstablishedConnection]]:
    return {HERE: [EstablishedConnection(load, 1, waiting) for _ in range(many)]}


@pytest.mark.parametrize(
    "weight, proxies, many, noted",
    [(2.0, 1, 5, False), (2.0, 1, 20, True), (2.0, 2, 10, True), (6.0, 2, 10, False)],
)
def test_told_loads_name_a_full_endpoint(weight: float, proxies: int, many: int, noted: bool) -> None:
    # Replies came at once from endpoints that missed every aim: with them alone nothing was ever noted.
    made = latency_estimator(weight, proxies)
    made.record_response_time(HERE, None, MS // 20, 1 * S)
    assert bool(made.review(asking(80_000.0, many), 1 * S)) is noted


@pytest.mark.parametrize("times, noted", [([1, 2, 90], False), ([80, 90, 1], True)])
def test_replies_that_take_long_name_it_too(times: list[int], noted: bool) -> None:
    made = latency_estimator()
    for ms in times:
        made.record_response_time(HERE, None, ms * MS, 1 * S)
    assert bool(made.review(asking(None, 1), 1 * S)) is noted


def test_a_message_without_reply_makes_its_endpoint_slow_but_not_late() -> None:
    # Two endpoints that crashed were taken for a jam, and whole groups were rejected for seconds after.
    assert latency_estimator().review(asking(None, 1, waiting=2 * S), 1 * S) == [(HERE, 40.0)]


def test_the_way_to_a_far_zone_is_not_the_endpoints_time() -> None:
    made = latency_estimator()
    for ms in (20, 21, 22):
        made.record_response_time(HERE, 1, ms * MS, 1 * S)
    assert not made.review(asking(None, 1), 1 * S)


def test_one_more_note_tells_that_it_is_over() -> None:
    made = latency_estimator()
    assert made.review(asking(80_000.0, 20), 1 * S)
    ((endpoint, ms),) = made.review(asking(80_000.0, 1), 2 * S)
    assert endpoint == HERE and ms * 3 < 50
    assert not made.review(asking(80_000.0, 1), 3 * S)


def test_an_endpoint_that_drops_connections_counts_as_slow_for_a_while() -> None:
    # Its piled-up work shows in no reply and in no load; its clients would hash straight back to it.
    made = latency_estimator()
    made.record_reset(HERE, 1 * S)
    assert made.review(asking(None, 1), 2 * S) == [(HERE, 40.0)]
    ((_, over),) = made.review(asking(None, 1), 12 * S)
    assert over * 3 < 50


def test_a_restart_ends_what_was_held_against_an_endpoint() -> None:
    made = latency_estimator()
    made.record_reset(HERE, 1 * S)
    made.handle_restart(HERE)
    assert not made.review(asking(None, 1), 3 * S)


@pytest.mark.parametrize(
    "came, went, noted",
    [
        (0, 0, True),  # the other proxy holds as many
        (8, 0, False),  # it is away: its clients are the ones that came
        (8, 8, True),  # they were sent away here before
    ],
)
def test_clients_of_a_proxy_that_is_away_are_not_taken_twice(came: int, went: int, noted: bool) -> None:
    # With one of two proxies gone every endpoint looked full, and most keys were turned away for 10 s.
    made = latency_estimator(proxies=2)
    for at, count in ((True, came), (False, went)):
        for _ in range(count):
            (made.migrations.record_migrated_in if at else made.migrations.record_migrated_out)(1 * S)
    assert bool(made.review(asking(80_000.0, 8), 1 * S)) is noted


def test_the_few_that_have_told_their_load_do_not_speak_for_the_rest() -> None:
    # After a restart the first to tell were the heavy ones; every endpoint looked jammed.
    made = latency_estimator(weight=4.0)
    heavy = [EstablishedConnection(400_000.0, 1, 0)] * 2
    assert not made.review({HERE: heavy + [EstablishedConnection(None, 1, 0)] * 10}, 1 * S)
    assert made.review({HERE: heavy * 6}, 1 * S)


@pytest.mark.parametrize(
    "figures, times",
    [
        # Seen in a fleet of 40 proxies: the same small figure at each of them at once, a second apart, while
        # no message was answered in time. Taken for loads, they made a jammed endpoint look idle.
        (
            [(0, 89.5), (1000, 237.3), (2001, 609.0), (3000, 1055.5), (4000, 5.7)],
            [89.5, 237.3, 609.0, 1055.5, 5.7],
        ),
        (
            [(0, 1551.7), (1001, 1628.7)],
            [1628.7],
        ),  # one that was jammed long before its first connection here
        (
            [(0, 2512.7), (4200, 2512.7), (5000, 70_000.0), (6000, 43_868.9)],
            [],
        ),  # idle ones' loads, and usual ones
    ],
)
def test_a_small_figure_a_second_after_another_is_a_message_time(
    figures: list[tuple[int, float]], times: list[float]
) -> None:
    made = latency_estimator()
    assert [
        value for at, value in figures if made.record_if_message_time(HERE, value, (9000 + at) * MS)
    ] == times


def test_a_told_message_time_holds_until_the_next() -> None:
    made = latency_estimator()
    assert made.record_if_message_time(HERE, 89.5, 5 * S)
    assert made.review(asking(None, 1), 5 * S + 900 * MS) == [(HERE, 89.5)]
    assert made.record_if_message_time(HERE, 4.0, 6 * S)
    made.review(asking(None, 1), 6 * S + 900 * MS)
    assert not made.review(asking(None, 1), 7 * S + 900 * MS)
    made.handle_restart(HERE)
    assert not made.reported_times


@pytest.mark.parametrize(
    "proxies, loads, noted",
    [
        (40, [200_000.0], False),  # one heavy connection by chance: forty of them would fill four endpoints
        (40, [70_000.0, 70_000.0], True),  # two are few, but would be eighty
        (2, [70_000.0] * 14, True),
        (2, [70_000.0] * 5, False),
    ],
)
def test_a_connection_or_two_do_not_tell_what_the_fleet_has_there(
    proxies: int, loads: list[float], noted: bool
) -> None:
    # At 40 proxies 47 of 95 clients were moved in the first 2 s, off endpoints that were sound.
    made = latency_estimator(proxies=proxies)
    held = {HERE: [EstablishedConnection(load, 1, 0) for load in loads]}
    assert bool(made.review(held, 1 * S)) is noted


@pytest.mark.parametrize(
    "source, noted", [("nominal", True), ("rough", True), ("live", False), ("silent", False)]
)
def test_loads_are_reckoned_only_over_weights_that_are_sizes(source: str, noted: bool) -> None:
    # A live weight is the size over what is held: all endpoints looked full.
    known = Settings.parse(raw_settings(weightSource=source))
    made = latency_estimator(0.3)
    made.configure(50 * MS, 1, known.weights_are_sizes)
    assert bool(made.review(asking(80_000.0, 5), 1 * S)) is noted


@pytest.mark.parametrize("aim_ms", [10, 20, 50])
def test_how_full_an_endpoint_may_be_does_not_hang_on_how_short_the_aim_is(aim_ms: int) -> None:
    # A message was taken for 7 ms of work whatever the aim: with one of 20 ms every idle endpoint was slow.
    made = LatencyEstimator()
    made.configure(aim_ms * MS, 1)
    made.weights[HERE] = 2.0
    assert not made.review(asking(80_000.0, 4), 1 * S)
    assert made.review(asking(80_000.0, 20), 1 * S)
    made.handle_restart(HERE)
    made.review(asking(None, 1), 2 * S)
    made.record_reset(HERE, 3 * S)
    ((_, ms),) = made.review(asking(None, 1), 3 * S)
    assert aim_ms / 3 < ms < aim_ms  # slow, and short of late
