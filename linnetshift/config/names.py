"""Numbers for the names in the settings: classes, tenants, zones and endpoint kinds."""

from __future__ import annotations

from linnetshift.routing.settings import Settings

UNKNOWN = -1  # the place of a name that the settings do not know
MOST_NAMES = 4096  # of tenants, zones or kinds, with those that reloads have dropped


class NameRegistry:
    """Numbers of classes; places of tenants, zones and kinds, which no later settings give to another name.

    What is under way refers to them: a place is a name's for good, wherever later lists have the name.
    """

    def __init__(
        self, settings: dict[str, object], known: Settings, former: NameRegistry | None = None
    ) -> None:
        self.classes = {known.classes[number].name: number for number in known.offered_numbers}
        before: tuple[dict[str, int], ...] = former.lists() if former is not None else ({}, {}, {})
        self.tenants, self.zones, self.kinds = (
            self._places(settings.get(key), places)
            for key, places in zip(("tenants", "zones", "models"), before, strict=True)
        )

    def lists(self) -> tuple[dict[str, int], ...]:
        return self.tenants, self.zones, self.kinds

    def follow(self, later: NameRegistry) -> dict[str, int]:
        """The classes that are offered no more, which are still known: clients learn of it later."""
        for known, listed in zip(self.lists(), later.lists(), strict=True):
            known.update(listed)
        dropped = {name: number for name, number in self.classes.items() if name not in later.classes}
        self.classes = {**dropped, **later.classes}
        return dropped

    def forget(self, dropped: dict[str, int], offered: tuple[int, ...]) -> None:
        for name, number in dropped.items():
            if number not in offered and self.classes.get(name) == number:
                del self.classes[name]

    @staticmethod
    def told(listed: object) -> list[str]:
        items = listed if isinstance(listed, list) else []
        return [str(item.get("name") if isinstance(item, dict) else item) for item in items]

    @classmethod
    def _places(cls, listed: object, before: dict[str, int]) -> dict[str, int]:
        places = dict(before)
        for name in cls.told(listed):
            places.setdefault(name, len(places))
        if len(places) > MOST_NAMES:
            raise ValueError("more names of one kind since the start than can be kept; that needs a restart")
        return places
