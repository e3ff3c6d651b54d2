"""Reading the settings: defaults, and errors that name the path of the value."""

from __future__ import annotations

import math
import re
from typing import Any

import pytest
from conftest import MS, S, raw_settings

from linnetshift.routing.settings import Effect, Scope, Settings
from linnetshift.routing.settings_reader import SettingsError, SettingsReader

READER = SettingsReader(
    {"count": 3, "zero": 0, "share": 0.5, "flag": True, "name": "push", "items": [1], "none": None}, "rules."
)


def services(*changes: dict[str, Any]) -> list[dict[str, Any]]:
    return [
        {**raw_settings()["services"][0], "name": f"class-{n}", **change} for n, change in enumerate(changes)
    ]


def test_required_values_are_returned_with_their_type() -> None:
    assert READER.required_int("count") == 3
    assert READER.positive_int("count") == 3
    assert READER.required_float("share") == 0.5
    assert READER.required_bool("flag") is True
    assert READER.required_list("items") == [1]
    assert READER.required_choice("name", {"push": Effect.IDEMPOTENT}) is Effect.IDEMPOTENT


def test_whole_number_is_read_as_float() -> None:
    value = READER.required_float("count")
    assert value == 3.0
    assert type(value) is float


@pytest.mark.parametrize(
    ("method", "key", "text"),
    [
        ("required_int", "absent", "settings key 'rules.absent' is missing"),
        ("required_float", "absent", "settings key 'rules.absent' is missing"),
        ("required_object", "absent", "settings key 'rules.absent' is missing"),
        ("required_int", "flag", "settings key 'rules.flag' must be a whole number"),
        ("required_int", "none", "settings key 'rules.none' must be a whole number"),
        ("positive_int", "share", "settings key 'rules.share' must be a whole number"),
        ("positive_int", "zero", "settings key 'rules.zero' must be above 0"),
        ("required_float", "flag", "settings key 'rules.flag' must be a number"),
        ("required_bool", "count", "settings key 'rules.count' must be true or false"),
        ("required_list", "name", "settings key 'rules.name' must be a list"),
        ("required_object", "items", "settings key 'rules.items' must be an object"),
    ],
)
def test_error_names_path_and_type_of_the_value(method: str, key: str, text: str) -> None:
    with pytest.raises(SettingsError) as raised:
        getattr(READER, method)(key)
    assert str(raised.value) == text


def test_choice_rejects_other_types_and_unknown_values() -> None:
    with pytest.raises(SettingsError) as raised:
        READER.required_choice("count", {"push": 1})
    assert str(raised.value) == "settings key 'rules.count' must be a text"
    with pytest.raises(SettingsError) as raised:
        READER.required_choice("name", {"ask": 1})
    assert str(raised.value) == "settings key 'rules.name' has a value this version does not know"


def test_nested_objects_carry_the_path_of_their_parent() -> None:
    reader = SettingsReader({"allowed": {"fees": {}}})
    nested = reader.required_object("allowed").required_object("fees")
    assert nested.path == "allowed.fees."
    assert reader.optional_object("report").values == {}


def test_optional_values_fall_back_to_their_default() -> None:
    assert READER.optional_number("share", 0.0) == 0.5
    assert READER.optional_number("none", 2.0) == 2.0
    assert READER.optional_number("absent", 2.0) == 2.0
    assert READER.optional_list("none") == []
    assert READER.optional_numbers("none") == []
    assert READER.optional_name("count", "x") == "3"
    assert READER.optional_name("absent", 7) == "7"
    assert READER.optional_object("none").values == {}


@pytest.mark.parametrize(
    ("method", "value", "text"),
    [
        ("optional_number", "5", "'x' must be a number"),
        ("optional_number", True, "'x' must be a number"),
        ("optional_number", [], "'x' must be a number"),
        ("optional_number", math.nan, "'x' must be from 0 to below 2^63"),
        ("optional_number", math.inf, "'x' must be from 0 to below 2^63"),
        ("optional_number", -1, "'x' must be from 0 to below 2^63"),
        ("optional_number", 1 << 63, "'x' must be from 0 to below 2^63"),
        ("optional_name", [], "'x' must be a text"),
        ("optional_name", None, "'x' must be a text"),
        ("optional_numbers", [1, "a"], "'x[1]' must be a number"),
    ],
    ids=str,
)
def test_present_optional_value_of_a_wrong_type_or_range_is_rejected(
    method: str, value: object, text: str
) -> None:
    """Guards against wrong settings that were taken for missing ones, and replaced by a default."""
    reader = SettingsReader({"x": value})
    arguments = () if method == "optional_numbers" else (1.0,)
    with pytest.raises(SettingsError, match=re.escape(text)):
        getattr(reader, method)("x", *arguments)


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"familyInfo": [1]}, "'familyInfo' must be an object"),
        ({"tenants": {"a": 1}}, "'tenants' must be a list"),
        ({"tenants": [3]}, "'tenants[0]' must be an object"),
        ({"services": [3]}, "'services[0]' must be an object"),
        ({"services": services({"windowNs": "5"})}, "'services[0].windowNs' must be a number"),
        ({"services": services({"worth": -1})}, "'services[0].worth' must be from 0 to below 2^63"),
        ({"fees": {"crossZone": []}}, "'fees.crossZone' must be a number"),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_wrong_value_at_any_depth_is_rejected_with_its_path(changes: dict[str, Any], path: str) -> None:
    """Guards against errors without the place of the value, and wrong values that were ignored."""
    with pytest.raises(SettingsError, match=re.escape(path)):
        Settings.parse(raw_settings(**changes))


def test_class_is_read_with_its_rules_and_the_limits_for_all_classes() -> None:
    settings = Settings.parse(raw_settings())
    (feed,) = settings.offered
    assert feed.name == "feed"
    assert feed.latency_objective_ns == 400 * MS
    assert feed.deadline_ns == 2 * S
    assert feed.message_latency_objective_ns == 60 * MS
    assert feed.idempotency_window_ns == 3 * S
    assert (feed.effect, feed.scope) == (Effect.IDEMPOTENT, Scope.ALL)
    assert (feed.priority_weight, feed.max_attempts) == (2.0, 4)


@pytest.mark.parametrize(
    ("objectives", "expected"),
    [
        ([60 * MS, 90 * MS], [60 * MS, 90 * MS]),
        ([60 * MS], [60 * MS, 60 * MS]),
        ([90 * MS, None], [90 * MS, 400 * MS]),
        ([0], [400 * MS, 400 * MS]),
        ([], [400 * MS, 400 * MS]),
        (None, [400 * MS, 400 * MS]),
    ],
    ids=str,
)
def test_missing_message_objective_defaults_to_the_shortest_one_or_the_set_ups(
    objectives: list[int | None] | None, expected: list[int]
) -> None:
    raw = raw_settings(services=services({}, {}), familyInfo={"messageAimNs": objectives})
    assert [
        request_class.message_latency_objective_ns for request_class in Settings.parse(raw).classes
    ] == expected


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"services": []}, "settings key 'services' must name at least one class"),
        ({"services": services({}, {"name": "class-0"})}, "settings key 'services' names a class twice"),
        ({"services": services({}, {"aimNs": 0})}, "settings key 'services[1].aimNs' must be above 0"),
        (
            {"services": services({"effect": "twice"})},
            "settings key 'services[0].effect' has a value this version does not know",
        ),
        (
            {"services": services({"group": "planet"})},
            "settings key 'services[0].group' has a value this version does not know",
        ),
        ({"allowed": {"maxAttempts": 0}}, "settings key 'allowed.maxAttempts' must be above 0"),
        ({"rules": {"fallMultiple": "3"}}, "settings key 'rules.fallMultiple' must be a number"),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_bad_settings_name_the_path_of_the_value(changes: dict[str, Any], text: str) -> None:
    with pytest.raises(SettingsError) as raised:
        Settings.parse(raw_settings(**changes))
    assert str(raised.value) == text


def test_retry_after_is_0_where_clients_are_given_none() -> None:
    assert Settings.parse(raw_settings()).max_retry_after_ns == 1 * S
    assert Settings.parse(raw_settings(allowed={"retryAfter": False})).max_retry_after_ns == 0


def test_tenants_without_a_quota_have_0() -> None:
    raw = raw_settings(
        tenants=[{"name": "a", "fraction": 0.25}, {}], familyInfo={"tenantQuotaConnections": [3]}
    )
    first, second = Settings.parse(raw).tenants
    assert (first.name, first.fraction, first.quota_connections) == ("a", 0.25, 3.0)
    assert (second.name, second.fraction, second.quota_connections) == ("1", 0.0, 0.0)
