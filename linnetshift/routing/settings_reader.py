"""Typed look-ups in the settings object, with errors that name the path of the value.

The settings are JSON, already parsed. Their keys and units are listed under "Read your settings" in the
simulator's wire protocol; this module only reads values and words the errors.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, TypeVar

Choice = TypeVar("Choice")

TYPE_DESCRIPTIONS: Mapping[type, str] = {
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    str: "a text",
    list: "a list",
    dict: "an object",
}
"""The expected JSON types, as errors name them."""

NUMBER_LIMIT = 1 << 63  # exclusive: decisions hold numbers and times in signed 64-bit numbers


class SettingsError(ValueError):
    """A required setting is missing or has the wrong type; the text names its key."""


class SettingsReader:
    """Look-ups in one JSON object of the settings.

    All methods raise `SettingsError` where a value has another type or is out of range. The `required_...`
    methods raise it for a missing key too; the `optional_...` methods are for values that some deployments
    omit or send as null. Numbers are finite, not negative and below `NUMBER_LIMIT`.
    """

    __slots__ = ("path", "values")

    def __init__(self, values: Mapping[str, Any], path: str = "") -> None:
        """Read from `values`; `path` is put before each key in errors and ends in a dot unless empty.

        Raises SettingsError where `values`, an item of a list, is no object.
        """
        if not isinstance(values, Mapping):
            raise SettingsError(f"settings key '{path.rstrip('.')}' must be {TYPE_DESCRIPTIONS[dict]}")
        self.values = values
        self.path = path

    def required_int(self, key: str) -> int:
        """Return a whole number from 0; `true` and `false` are not accepted."""
        number: int = self._required(key, int)
        self._check_range(key, number)
        return number

    def positive_int(self, key: str) -> int:
        """Return a whole number above 0."""
        number: int = self._required(key, int)
        if number <= 0:
            raise SettingsError(f"settings key '{self.path}{key}' must be above 0")
        self._check_range(key, number)
        return number

    def required_float(self, key: str) -> float:
        """Return a number as a float; a whole number is accepted."""
        if key in self.values and type(self.values[key]) is int:
            return float(self.required_int(key))
        number: float = self._required(key, float)
        self._check_range(key, number)
        return number

    def required_bool(self, key: str) -> bool:
        """Return true or false."""
        flag: bool = self._required(key, bool)
        return flag

    def required_list(self, key: str) -> list[Any]:
        """Return a list, whose items are not checked."""
        items: list[Any] = self._required(key, list)
        return items

    def required_object(self, key: str) -> SettingsReader:
        """Return a reader of the object under `key`."""
        return SettingsReader(self._required(key, dict), f"{self.path}{key}.")

    def required_choice(self, key: str, choices: Mapping[str, Choice]) -> Choice:
        """Return the value of `choices` for the text under `key`."""
        value: str = self._required(key, str)
        if value not in choices:
            raise self.unknown_value_error(key)
        return choices[value]

    def optional_number(self, key: str, default: float) -> float:
        """Return a number as a float, or `default` unchanged where there is none."""
        return default if self.values.get(key) is None else self.required_float(key)

    def optional_object(self, key: str) -> SettingsReader:
        """Return a reader of the object under `key`, or of an empty one where there is none."""
        if self.values.get(key) is None:
            return SettingsReader({}, f"{self.path}{key}.")
        return self.required_object(key)

    def optional_list(self, key: str) -> list[Any]:
        """Return the list under `key`, or an empty one; its items are not checked."""
        return [] if self.values.get(key) is None else self.required_list(key)

    def optional_numbers(self, key: str) -> list[float | None]:
        """Return the list of numbers and nulls under `key`, or an empty one."""
        items = SettingsReader(
            {f"{key}[{index}]": item for index, item in enumerate(self.optional_list(key))}, self.path
        )
        return [None if value is None else items.required_float(item) for item, value in items.values.items()]

    def optional_name(self, key: str, default: object) -> str:
        """Return the text or number under `key` as text, or `default` as text."""
        value = self.values.get(key, default)
        if not isinstance(value, str | int | float) or isinstance(value, bool):
            raise SettingsError(f"settings key '{self.path}{key}' must be {TYPE_DESCRIPTIONS[str]}")
        return str(value)

    def optional_names(self, key: str) -> list[str]:
        """Return the names in a list whose items are names, or objects with a key `name`."""
        names = []
        for index, item in enumerate(self.optional_list(key)):
            values = item if isinstance(item, Mapping) else {"name": item}
            names.append(SettingsReader(values, f"{self.path}{key}[{index}].").optional_name("name", index))
        return names

    def unknown_value_error(self, key: str) -> SettingsError:
        """Return the error for a value of the right type that is not a known choice."""
        return SettingsError(f"settings key '{self.path}{key}' has a value this version does not know")

    def _required(self, key: str, expected_type: type) -> Any:
        if key not in self.values:
            raise SettingsError(f"settings key '{self.path}{key}' is missing")
        value = self.values[key]
        if type(value) is not expected_type:
            raise SettingsError(f"settings key '{self.path}{key}' must be {TYPE_DESCRIPTIONS[expected_type]}")
        return value

    def _check_range(self, key: str, number: float) -> None:
        """Raise SettingsError unless the number is finite, not negative and below `NUMBER_LIMIT`."""
        if not math.isfinite(number) or not 0 <= number < NUMBER_LIMIT:
            raise SettingsError(f"settings key '{self.path}{key}' must be from 0 to below 2^63")
