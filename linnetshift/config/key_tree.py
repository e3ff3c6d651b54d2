"""The keys of a JSON document at every depth, to find the first one that a later document lacks."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

# Containers inside each other: settings need fewer than ten, and the readers of the document recurse.
MAX_NESTING = 64

# An item of a list is matched with the former item that has the same value under the first of these keys.
ITEM_NAME_KEYS = ("name", "uid")


class NestingError(ValueError):
    """A document has containers nested deeper than `MAX_NESTING`."""

    def __init__(self) -> None:
        """The text names the limit."""
        super().__init__(f"nested deeper than {MAX_NESTING} levels")


class DuplicateNameError(ValueError):
    """Two items of one list have the same name."""

    def __init__(self, path: str, name: str) -> None:
        """`path` is the dotted path of the list."""
        super().__init__(f"key '{path}' names {name!r} twice")


@dataclass(frozen=True, slots=True)
class KeyTree:
    """The keys in one value, and in the values inside it.

    Attributes:
        keys: For an object, the tree of each value by its key.
        named_items: For a list, the trees of the items that have a name, by name.
        other_items: For a list, the trees of the other items, in order.
    """

    keys: dict[str, KeyTree] = field(default_factory=dict)
    named_items: dict[str, KeyTree] = field(default_factory=dict)
    other_items: tuple[KeyTree, ...] = ()

    @classmethod
    def of(cls, value: Any) -> KeyTree:
        """Return the tree of a decoded JSON value; of items with one name, the first counts."""
        if isinstance(value, dict):
            return cls(keys={key: cls.of(child) for key, child in value.items()})
        if isinstance(value, list):
            return cls._of_list(value)
        return _LEAF

    @classmethod
    def _of_list(cls, items: list[Any]) -> KeyTree:
        named: dict[str, KeyTree] = {}
        others: list[KeyTree] = []
        for item in items:
            name = _item_name(item)
            if name is None:
                others.append(cls.of(item))
            else:
                named.setdefault(name, cls.of(item))
        return cls(named_items=named, other_items=tuple(others))

    def missing_path(self, later: KeyTree, path: str = "") -> str | None:
        """Return the path of the first key of this tree that `later` lacks, None if it lacks none.

        An item that was added to a list or removed from it is no missing key. Items without a name are
        matched by position where their number is unchanged; otherwise each needs the keys common to all.
        """
        for key, tree in self.keys.items():
            key_path = _join(path, key)
            if key not in later.keys:
                return key_path
            missing = tree.missing_path(later.keys[key], key_path)
            if missing is not None:
                return missing
        for item_path, former, item in self._matched_items(later, path):
            missing = former.missing_path(item, item_path)
            if missing is not None:
                return missing
        return None

    def _matched_items(self, later: KeyTree, path: str) -> Iterator[tuple[str, KeyTree, KeyTree]]:
        """Yield the path of each matched item, its former tree and its later one."""
        for name, tree in self.named_items.items():
            if name in later.named_items:
                yield f"{path}[{name}]", tree, later.named_items[name]
        for index, (former, item) in enumerate(
            zip(self._former_of_others(later), later.other_items, strict=True)
        ):
            yield f"{path}[{index}]", former, item

    def _former_of_others(self, later: KeyTree) -> tuple[KeyTree, ...]:
        """Return a former tree for each of the later items without a name."""
        if len(self.other_items) == len(later.other_items):
            return self.other_items
        # An item that has lost its name is among them: it lacks what all former items had.
        common = _common_keys((*self.named_items.values(), *self.other_items))
        return (common,) * len(later.other_items)


_LEAF = KeyTree()  # shared by all values without keys: a list of thousands of endpoints has many


def _common_keys(trees: tuple[KeyTree, ...]) -> KeyTree:
    """Return the tree of the outermost keys that all trees have."""
    if not trees:
        return KeyTree()
    common = set(trees[0].keys).intersection(*(tree.keys for tree in trees[1:]))
    return KeyTree(keys={key: KeyTree() for key in trees[0].keys if key in common})


def check_nesting(document: Any) -> None:
    """Raise NestingError for a document that is nested too deeply; does not recurse."""
    level: list[Any] = [document]
    for _ in range(MAX_NESTING):
        level = [child for value in level for child in _children(value)]
        if not level:
            return
    raise NestingError


def check_unique_names(value: Any, path: str) -> None:
    """Raise DuplicateNameError where two items of a list have one name, at any depth below `path`."""
    if isinstance(value, dict):
        for key, child in value.items():
            check_unique_names(child, _join(path, key))
    elif isinstance(value, list):
        seen: set[str] = set()
        for index, item in enumerate(value):
            name = _item_name(item)
            if name in seen:
                raise DuplicateNameError(path, name)
            if name is not None:
                seen.add(name)
            check_unique_names(item, f"{path}[{index}]")


def _children(value: Any) -> list[Any]:
    """Return the containers directly inside a value."""
    if isinstance(value, dict):
        values = list(value.values())
    elif isinstance(value, list):
        values = value
    else:
        return []
    return [child for child in values if isinstance(child, dict | list)]


def _item_name(item: Any) -> str | None:
    """Return what names an item of a list: the item itself, or its value under a naming key."""
    if isinstance(item, str):
        return item
    if not isinstance(item, dict):
        return None
    return next((str(item[key]) for key in ITEM_NAME_KEYS if key in item), None)


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
