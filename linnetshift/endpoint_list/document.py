"""The JSON document of an endpoint list: its keys on the wire, and a decoder that skips all others.

Values are decoded but not checked, as an entry with an invalid one may still tell that its endpoint drains.
"""

from __future__ import annotations

import json
from typing import Any

import msgspec

# Keys of the list on the wire.
TARGETS_KEY = "targets"
VERSION_KEY = "rev"
IS_FULL_KEY = "all"

# Keys of one entry on the wire.
ENDPOINT_ID_KEY = "uid"
ADDRESS_KEY = "endpoint"
ZONE_KEY = "az"
KIND_KEY = "model"
CELL_KEY = "pod_group"
STATE_KEY = "state"
WEIGHT_KEY = "capacity_hint"
STARTED_MS_KEY = "boot_ms"

# The longest list: a fleet has at most 3,200 endpoints, and if all are replaced, the changes name each old
# and each new one.
MAX_FLEET_ENDPOINTS = 3200
MAX_ENTRIES = 2 * MAX_FLEET_ENDPOINTS
# One entry with a line for each key: names of keys (52 bytes), their quotes, separators and line ends (56),
# values (id, zone and kind of 64 characters, address of 21, state of 8, three numbers of 24, quotes: 303),
# the lines of the braces (7), and 8 blanks for each of three levels (8 keys of 24, 2 braces of 16: 224).
MAX_NAMED_KEYS_BYTES = 642
# Keys that the pages do not name are skipped: 12 of 71 bytes each, indented in the same way.
MAX_OTHER_KEYS_BYTES = 852
MAX_DOCUMENT_BYTES = MAX_ENTRIES * (MAX_NAMED_KEYS_BYTES + MAX_OTHER_KEYS_BYTES)


class EntryDocument(msgspec.Struct):
    """One entry as decoded; an absent key is UNSET."""

    endpoint_id: Any = msgspec.field(name=ENDPOINT_ID_KEY, default=msgspec.UNSET)
    address: Any = msgspec.field(name=ADDRESS_KEY, default=msgspec.UNSET)
    zone: Any = msgspec.field(name=ZONE_KEY, default=None)
    kind: Any = msgspec.field(name=KIND_KEY, default=None)
    cell: Any = msgspec.field(name=CELL_KEY, default=None)
    state: Any = msgspec.field(name=STATE_KEY, default=msgspec.UNSET)
    weight: Any = msgspec.field(name=WEIGHT_KEY, default=msgspec.UNSET)
    started_ms: Any = msgspec.field(name=STARTED_MS_KEY, default=None)


class ListDocument(msgspec.Struct):
    """A list as decoded; an absent key is UNSET. Entries that are not objects are kept, and are invalid."""

    entries: list[EntryDocument | str | int | float | bool | list[Any] | None] = msgspec.field(
        name=TARGETS_KEY
    )
    version: Any = msgspec.field(name=VERSION_KEY, default=msgspec.UNSET)
    is_full: Any = msgspec.field(name=IS_FULL_KEY, default=False)


_DECODER = msgspec.json.Decoder(ListDocument)


def decode_list(body: bytes | bytearray) -> Any:
    """Decode the body of a response to a list, or to another document for `convert_list`.

    Raises ValueError where the body is not JSON.
    """
    try:
        return _DECODER.decode(body)
    except (msgspec.MsgspecError, RecursionError):
        # Stricter than JSON's parser in the standard library, which reads numbers that are not finite.
        return _load_json(body)


def _load_json(body: bytes | bytearray) -> Any:
    try:
        return json.loads(body)
    except RecursionError:
        raise ValueError("nested too deeply") from None


def convert_list(document: Any) -> ListDocument:
    """Convert a list that was decoded as another document or a part of one; ValueError where it is none."""
    if isinstance(document, ListDocument):
        return document
    try:
        return msgspec.convert(document, ListDocument)
    except msgspec.ValidationError:
        raise ValueError("no list of targets") from None
