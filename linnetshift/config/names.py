"""Maps names in the settings to numbers: classes, tenants, zones and endpoint kinds."""

from __future__ import annotations

from typing import NamedTuple

from linnetshift.routing.settings import Settings
from linnetshift.routing.settings_reader import SettingsReader

UNKNOWN_NUMBER = -1  # the number of a name that the settings do not list

# Maximum number of names of one kind, including names no longer listed. Numbers are never reused, so without
# a limit every renaming would grow the tables until the process ends.
MAX_NAMES = 4096


class NumberedNames(NamedTuple):
    """Numbers by name, for the three kinds of names that keep their numbers until the process ends."""

    tenants: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]


class NameRegistry:
    """The numbers of classes, tenants, zones and endpoint kinds, by name.

    Requests and endpoints refer to tenants, zones and kinds by number. These names therefore keep their
    numbers until the process ends, regardless of the order of the lists in later settings. The number of a
    class identifies its rules: a class that changes gets a new one (`Settings.numbered_after`).
    """

    def __init__(
        self,
        raw_settings: dict[str, object],
        parsed_settings: Settings,
        former: NameRegistry | None = None,
    ) -> None:
        """Number the names in the settings; names in `former` keep their numbers.

        Raises ValueError if there are more than `MAX_NAMES` names of one kind, and SettingsError, which is a
        ValueError too, for a list of another form.
        """
        former_numbers = former.numbered_names() if former is not None else NumberedNames({}, {}, {})
        self.classes = {
            parsed_settings.classes[number].name: number for number in parsed_settings.offered_numbers
        }
        self.tenants = self._number(self.names_in(raw_settings, "tenants"), former_numbers.tenants)
        self.zones = self._number(self.names_in(raw_settings, "zones"), former_numbers.zones)
        self.kinds = self._number(self.names_in(raw_settings, "models"), former_numbers.kinds)

    def numbered_names(self) -> NumberedNames:
        """The tables themselves, not copies."""
        return NumberedNames(self.tenants, self.zones, self.kinds)

    def update_from(self, later: NameRegistry) -> dict[str, int]:
        """Add the names of reloaded settings in place, as other parts hold references to this registry.

        Returns the numbers of discontinued classes, by name. These stay known until `remove_classes` removes
        them, as clients learn of the change later.
        """
        for known, listed in zip(self.numbered_names(), later.numbered_names(), strict=True):
            known.update(listed)
        discontinued = {name: number for name, number in self.classes.items() if name not in later.classes}
        self.classes = {**discontinued, **later.classes}
        return discontinued

    def remove_classes(self, discontinued: dict[str, int], offered: tuple[int, ...]) -> None:
        """Remove discontinued classes, except those offered again or replaced since."""
        for name, number in discontinued.items():
            if number not in offered and self.classes.get(name) == number:
                del self.classes[name]

    @staticmethod
    def names_in(raw_settings: dict[str, object], key: str) -> list[str]:
        """Return the names in one of the settings' lists; raises SettingsError where it is no such list."""
        return SettingsReader(raw_settings).optional_names(key)

    @staticmethod
    def _number(listed: list[str], former_numbers: dict[str, int]) -> dict[str, int]:
        """A copy of `former_numbers`, with the next numbers added for new names in `listed`."""
        numbers = dict(former_numbers)
        for name in listed:
            numbers.setdefault(name, len(numbers))
        if len(numbers) > MAX_NAMES:
            raise ValueError(
                f"more names of one kind since the start than can be kept: {len(numbers)} of {MAX_NAMES}; "
                "that needs a restart"
            )
        return numbers
