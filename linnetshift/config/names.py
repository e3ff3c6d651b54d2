"""Numbers for the names in the settings: classes, tenants, zones and endpoint kinds."""

from __future__ import annotations

from typing import NamedTuple

from linnetshift.routing.settings import Settings

UNKNOWN_NUMBER = -1  # the number of a name that the settings do not list

# The most names of one kind, with those that are no longer listed. Numbers are never reused, so without a
# limit the tables would grow with every renaming for as long as the process lives.
MAX_NAMES = 4096


class NumberedNames(NamedTuple):
    """The three kinds of names whose numbers last as long as the process; each maps a name to its number."""

    tenants: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]


class NameRegistry:
    """The number of each class, tenant, zone and endpoint kind, by its name.

    Requests and endpoints in use refer to tenants, zones and kinds by number. Such a number therefore belongs
    to its name for good, whatever the order of the lists in later settings. The number of a class stands for
    its rules: a class that changes gets a new one (`Settings.numbered_after`).
    """

    def __init__(
        self,
        raw_settings: dict[str, object],
        parsed_settings: Settings,
        former: NameRegistry | None = None,
    ) -> None:
        """Number what the settings list, after the numbers that `former` has given.

        Raises ValueError where there would be more than `MAX_NAMES` of one kind.
        """
        former_numbers = former.numbered_names() if former is not None else NumberedNames({}, {}, {})
        self.classes = {
            parsed_settings.classes[number].name: number for number in parsed_settings.offered_numbers
        }
        self.tenants = self._number(raw_settings.get("tenants"), former_numbers.tenants)
        self.zones = self._number(raw_settings.get("zones"), former_numbers.zones)
        self.kinds = self._number(raw_settings.get("models"), former_numbers.kinds)

    def numbered_names(self) -> NumberedNames:
        """The tables themselves, not copies."""
        return NumberedNames(self.tenants, self.zones, self.kinds)

    def adopt(self, later: NameRegistry) -> dict[str, int]:
        """Take up the names of reloaded settings, in place, as other parts hold this registry.

        Returns the classes that are no longer offered, by name. They stay known until `forget_classes`:
        clients learn of the change later.
        """
        for known, listed in zip(self.numbered_names(), later.numbered_names(), strict=True):
            known.update(listed)
        discontinued = {name: number for name, number in self.classes.items() if name not in later.classes}
        self.classes = {**discontinued, **later.classes}
        return discontinued

    def forget_classes(self, discontinued: dict[str, int], offered: tuple[int, ...]) -> None:
        """Make discontinued classes unknown, but for those that have been offered again or replaced since."""
        for name, number in discontinued.items():
            if number not in offered and self.classes.get(name) == number:
                del self.classes[name]

    @staticmethod
    def names_in(listed: object) -> list[str]:
        """The names in a list of the settings, whose items are names or objects with a key `name`."""
        items = listed if isinstance(listed, list) else []
        return [str(item.get("name") if isinstance(item, dict) else item) for item in items]

    @classmethod
    def _number(cls, listed: object, former_numbers: dict[str, int]) -> dict[str, int]:
        """The numbers in `former_numbers`, and the next ones for names that are new."""
        numbers = dict(former_numbers)
        for name in cls.names_in(listed):
            numbers.setdefault(name, len(numbers))
        if len(numbers) > MAX_NAMES:
            raise ValueError("more names of one kind since the start than can be kept; that needs a restart")
        return numbers
