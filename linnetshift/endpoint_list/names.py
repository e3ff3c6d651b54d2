"""Maps names in the settings to numbers: classes, tenants, zones and endpoint kinds."""

from __future__ import annotations

from collections.abc import Iterable
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


class DiscontinuedNames(NamedTuple):
    """Names that later settings do not list, with their numbers; clients may still use them for a while."""

    classes: dict[str, int]
    tenants: dict[str, int]


class NameRegistry:
    """The numbers of classes, tenants, zones and endpoint kinds, by name.

    Requests and endpoints refer to tenants, zones and kinds by number. These names therefore keep their
    numbers until the process ends, regardless of the order of the lists in later settings; but only those
    that the settings list can be looked up, as in a process that starts with these settings. The number of a
    class identifies its rules: a class that changes gets a new one (`Settings.numbered_after`).

    Attributes:
        classes, tenants: Numbers of listed names, and of those discontinued recently.
        zones, kinds: Numbers of listed names.
        ever_listed: Numbers of all names that any settings have listed.
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
        self.classes = {
            parsed_settings.classes[number].name: number for number in parsed_settings.offered_numbers
        }
        tenants, zones, kinds = (self.names_in(raw_settings, key) for key in ("tenants", "zones", "models"))
        former_numbers = former.ever_listed if former is not None else NumberedNames({}, {}, {})
        self.ever_listed: NumberedNames = NumberedNames(
            self._number(tenants, former_numbers.tenants),
            self._number(zones, former_numbers.zones),
            self._number(kinds, former_numbers.kinds),
        )
        self.tenants = _select(self.ever_listed.tenants, tenants)
        self.zones = _select(self.ever_listed.zones, zones)
        self.kinds = _select(self.ever_listed.kinds, kinds)

    def update_from(self, later: NameRegistry) -> DiscontinuedNames:
        """Adopt the names of reloaded settings in place, as other parts hold references to this registry.

        Returns the discontinued names. These stay known until `remove_discontinued` removes them, as clients
        learn of the change later.
        """
        discontinued = DiscontinuedNames(
            _missing_from(later.classes, self.classes), _missing_from(later.tenants, self.tenants)
        )
        self.classes = {**discontinued.classes, **later.classes}
        self.tenants = {**discontinued.tenants, **later.tenants}
        self.zones = dict(later.zones)
        self.kinds = dict(later.kinds)
        self.ever_listed = later.ever_listed
        return discontinued

    def remove_discontinued(self, discontinued: DiscontinuedNames, listed: NameRegistry) -> None:
        """Remove discontinued names, except those listed again, or replaced, by the settings of `listed`."""
        for name, number in discontinued.classes.items():
            if number not in listed.classes.values() and self.classes.get(name) == number:
                del self.classes[name]
        for name in discontinued.tenants:
            if name not in listed.tenants:
                self.tenants.pop(name, None)

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


def _select(numbers: dict[str, int], names: Iterable[str]) -> dict[str, int]:
    """Return the numbers of these names."""
    return {name: numbers[name] for name in names}


def _missing_from(later: dict[str, int], former: dict[str, int]) -> dict[str, int]:
    """Return the entries of `former` whose names `later` lacks."""
    return {name: number for name, number in former.items() if name not in later}
