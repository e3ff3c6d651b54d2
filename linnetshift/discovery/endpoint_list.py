"""The endpoint list as discovery sends it: parsing and writing."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from linnetshift.config.names import UNKNOWN, NameRegistry
from linnetshift.event_loop.address import Address, parse_address
from linnetshift.event_loop.loop import MS
from linnetshift.observability import log
from linnetshift.observability.log import MAX_LOGGED_CHARS
from linnetshift.routing.events import EndpointEntry, EndpointList, EndpointState, ListForm

STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}


class EndpointListUpdate(NamedTuple):
    """A list or its changes, as the module wants it, and where the endpoints listen."""

    event: EndpointList
    addresses: dict[bytes, Address]
    unread: int  # entries that made no sense


def read_list(document: Any, names: NameRegistry, cached: bool = False) -> EndpointListUpdate:
    """Raises ValueError where the document is no list; an entry that makes no sense is left out.

    What a whole list with such an entry does not name may be what could not be read, so it counts as
    changes only.
    """
    if not isinstance(document, dict) or not isinstance(document.get("targets"), list):
        raise ValueError("no list of targets")
    version = document.get("rev", 0 if cached else None)
    if not isinstance(version, int) or version < 0:
        raise ValueError("no version")
    entries, addresses, errors = [], {}, []
    for target in document["targets"]:
        try:
            entry, address = read_entry(target, names)
        except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
            errors.append(f"{type(error).__name__}: {error}")
            continue
        entries.append(entry)
        addresses[entry.endpoint] = address
    if errors:
        log.info("endpoint-entries-invalid", count=len(errors), first=errors[0][:MAX_LOGGED_CHARS])
    whole = document.get("all") and not errors
    form = ListForm.CACHED if cached else ListForm.FULL if whole else ListForm.DELTA
    return EndpointListUpdate(EndpointList(form, version, tuple(entries)), addresses, len(errors))


def read_entry(target: dict[str, Any], names: NameRegistry) -> tuple[EndpointEntry, Address]:
    weight = float(target.get("capacity_hint", 1.0))
    entry = EndpointEntry(
        endpoint=str(target["uid"]).encode(),
        zone=names.zones.get(str(target.get("az")), UNKNOWN),
        kind=names.kinds.get(str(target.get("model")), UNKNOWN),
        cell=int(target.get("pod_group") or 0),
        state=STATES[target["state"]],
        weight=weight if math.isfinite(weight) else 1.0,
        started_ns=int(target.get("boot_ms") or 0) * MS,
    )
    return entry, parse_address(target["endpoint"])


def describe(entry: EndpointEntry, address: Address, names: NameRegistry) -> dict[str, Any]:
    """The entry as discovery would list it: what `read_entry` reads."""

    def named(places: dict[str, int], place: int) -> str:
        return next((name for name, at in places.items() if at == place), "")

    return {
        "uid": entry.endpoint.decode(),
        "endpoint": f"{address[0]}:{address[1]}",
        "az": named(names.zones, entry.zone),
        "model": named(names.kinds, entry.kind),
        "pod_group": entry.cell,
        "state": next(word for word, state in STATES.items() if state == entry.state),
        "capacity_hint": entry.weight,
        "boot_ms": entry.started_ns // MS,
    }
