"""Typed look-ups in the settings object, with errors that name the path of the value.

The settings are JSON, already parsed. Their keys and units are listed under "Read your settings" in the
simulator's wire protocol; this module only reads values and words the errors.
"""

from __future__ import annotations

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


class SettingsError(ValueError):
    """A required setting is missing or has the wrong type; the text names its key."""


class SettingsReader:
    """Look-ups in one JSON object of the settings.

    The `required_...` methods raise `SettingsError` where the key is missing or its value has another type.
    The `optional_...` methods are for values that some deployments omit or send as null, and never raise it.

    If an optional object has an unexpected type, the first look-up in it raises an `AttributeError` that does
    not name the key; callers report it as it is.
    """

    __slots__ = ("path", "values")

    def __init__(self, values: Mapping[str, Any], path: str = "") -> None:
        """Read from `values`; `path` is put before each key in errors and ends in a dot unless empty."""
        self.values = values
        self.path = path

    def required_int(self, key: str) -> int:
        """Return a whole number; `true` and `false` are not accepted."""
        number: int = self._required(key, int)
        return number

    def positive_int(self, key: str) -> int:
        """Return a whole number above 0."""
        number = self.required_int(key)
        if number <= 0:
            raise SettingsError(f"settings key '{self.path}{key}' must be above 0")
        return number

    def required_float(self, key: str) -> float:
        """Return a number as a float; a whole number is accepted."""
        if key in self.values and type(self.values[key]) is int:
            return float(self.values[key])
        number: float = self._required(key, float)
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
        return number_or(self.values.get(key), default)

    def optional_object(self, key: str) -> SettingsReader:
        """Return a reader of the object under `key`, or of an empty one where there is none."""
        return SettingsReader(self.values.get(key) or {}, f"{self.path}{key}.")

    def optional_list(self, key: str) -> list[Any]:
        """Return the list under `key`, or an empty one; its items are not checked."""
        return self.values.get(key) or []

    def optional_text(self, key: str, default: object) -> str:
        """Return the value under `key` as text, whatever its type, or `default` as text."""
        return str(self.values.get(key, default))

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


def number_or(value: Any, default: float) -> float:
    """Return `value` as a float if it is a number, else `default` unchanged."""
    return float(value) if isinstance(value, int | float) else default
