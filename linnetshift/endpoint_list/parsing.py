"""The endpoint list as discovery sends it: parsing and serializing.

The same format is used in the proxy file (`known`) and between two processes in a hot restart.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any, NamedTuple

from msgspec import UNSET

from linnetshift.endpoint_list.document import (
    ADDRESS_KEY,
    CELL_KEY,
    ENDPOINT_ID_KEY,
    KIND_KEY,
    STARTED_MS_KEY,
    STATE_KEY,
    WEIGHT_KEY,
    ZONE_KEY,
    EntryDocument,
    ListDocument,
    convert_list,
)
from linnetshift.endpoint_list.names import UNKNOWN_NUMBER, NameRegistry
from linnetshift.event_loop.address import Address, parse_address
from linnetshift.event_loop.timers import MS
from linnetshift.observability import log
from linnetshift.observability.log import MAX_LOGGED_CHARS
from linnetshift.routing.events import EndpointEntry, EndpointList, EndpointState, ListForm
from linnetshift.util.figures import check_figure

STATES_BY_WIRE_NAME = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
DEFAULT_WEIGHT = 1.0  # of an entry without a weight, or with one that is not finite

# What `_parse_entry` raises for an invalid entry.
ENTRY_ERRORS = (AttributeError, KeyError, TypeError, ValueError, OverflowError)


class EndpointListError(ValueError):
    """A document that is not an endpoint list, or a list that must not be used as a whole."""


class EndpointListUpdate(NamedTuple):
    """A full list or a delta for the balancer, and the addresses of its endpoints."""

    event: EndpointList
    addresses: dict[bytes, Address]  # of all entries except invalid ones
    invalid_entry_count: int  # entries that were left out, or used only for their state
    # All endpoints that a full list names; None for a delta, or where an entry names none.
    named_endpoints: frozenset[bytes] | None = None

    def with_removals(self, listed: Iterable[bytes]) -> EndpointListUpdate:
        """Add removals of listed endpoints that a full list with invalid entries does not name."""
        if self.named_endpoints is None or self.event.form != ListForm.DELTA:
            return self
        removed = tuple(
            _state_only_entry(e, EndpointState.REMOVED) for e in listed if e not in self.named_endpoints
        )
        return self._replace(event=self.event._replace(entries=self.event.entries + removed))

    def only_unavailable(self, version: int) -> EndpointListUpdate:
        """Only the endpoints that are not ready, as a delta of this version."""
        entries = tuple(entry for entry in self.event.entries if entry.state != EndpointState.READY)
        return self._replace(event=EndpointList(ListForm.DELTA, version, entries))


def parse_endpoint_list(document: Any, names: NameRegistry, is_cached: bool = False) -> EndpointListUpdate:
    """Parse a list as decoded; `is_cached`: it comes from a file and may be old.

    Raises EndpointListError if the document has no list of entries or no valid version. Invalid entries are
    logged. One that names an endpoint and does not list it as ready is used for its state only, any other is
    left out. A full list with invalid entries becomes a delta, as an endpoint that it does not name may be
    one that could not be parsed: see `EndpointListUpdate.with_removals`.
    """
    listing = _convert(document)
    version = 0 if is_cached and listing.version is UNSET else listing.version
    if not isinstance(version, int) or version < 0:
        raise EndpointListError("no version")
    entries = []
    addresses = {}
    errors = []
    for target in listing.entries:
        try:
            entry, address = _parse_entry(target, names)
        except ENTRY_ERRORS as error:
            errors.append(f"{type(error).__name__}: {error}")
            entries += _parse_unavailable(target)
            continue
        entries.append(entry)
        addresses[entry.endpoint] = address
    if errors:
        log.info("endpoint-entries-invalid", count=len(errors), first=errors[0][:MAX_LOGGED_CHARS])
    form = _list_form(is_cached, is_full=bool(listing.is_full) and not errors)
    named_endpoints = _named_endpoints(listing.entries) if listing.is_full else None
    return EndpointListUpdate(
        EndpointList(form, version, tuple(entries)), addresses, len(errors), named_endpoints
    )


def _convert(document: Any) -> ListDocument:
    """Raise EndpointListError where the document is not an endpoint list."""
    try:
        return convert_list(document)
    except ValueError as error:
        raise EndpointListError(str(error)) from None


def _named_endpoints(entries: list[Any]) -> frozenset[bytes] | None:
    """The endpoints that the entries name; None where an entry names none."""
    ids = [entry.endpoint_id if isinstance(entry, EntryDocument) else None for entry in entries]
    if not all(isinstance(endpoint_id, str) for endpoint_id in ids):
        return None
    return frozenset(str(endpoint_id).encode() for endpoint_id in ids)


def _list_form(is_cached: bool, is_full: bool) -> ListForm:
    """The form for the balancer: only a full list from discovery shows which endpoints are removed."""
    if is_cached:
        return ListForm.CACHED
    return ListForm.FULL if is_full else ListForm.DELTA


def _parse_entry(target: Any, names: NameRegistry) -> tuple[EndpointEntry, Address]:
    """One entry and its address; raises one of ENTRY_ERRORS if it is invalid.

    Zones and kinds that the configuration does not name become UNKNOWN_NUMBER. A negative figure, or one that
    is too large, makes the entry invalid, so that the former one stays.
    """
    if not isinstance(target, EntryDocument):
        raise TypeError("an entry is no object")
    if target.endpoint_id is UNSET:
        raise KeyError(ENDPOINT_ID_KEY)
    weight = DEFAULT_WEIGHT if target.weight is UNSET else float(target.weight)
    entry = EndpointEntry(
        endpoint=str(target.endpoint_id).encode(),
        zone=names.zones.get(str(target.zone), UNKNOWN_NUMBER),
        kind=names.kinds.get(str(target.kind), UNKNOWN_NUMBER),
        cell=int(check_figure(int(target.cell or 0))),
        state=STATES_BY_WIRE_NAME[target.state],
        weight=check_figure(weight) if math.isfinite(weight) else DEFAULT_WEIGHT,
        started_ns=int(check_figure(int(target.started_ms or 0) * MS)),
    )
    return entry, parse_address(target.address)


def _parse_unavailable(target: Any) -> list[EndpointEntry]:
    """What can be used of an invalid entry: that its endpoint drains or is removed.

    An endpoint whose state cannot be read is not known to be ready, and counts as draining. Empty where the
    entry names no endpoint, or lists it as ready.
    """
    if not isinstance(target, EntryDocument) or not isinstance(target.endpoint_id, str):
        return []
    state = STATES_BY_WIRE_NAME.get(target.state) if isinstance(target.state, str) else None
    if state == EndpointState.READY:
        return []
    return [_state_only_entry(target.endpoint_id.encode(), state or EndpointState.DRAINING)]


def _state_only_entry(endpoint: bytes, state: EndpointState) -> EndpointEntry:
    """The entry of an endpoint of which only the state is known."""
    return EndpointEntry(
        endpoint,
        zone=UNKNOWN_NUMBER,
        kind=UNKNOWN_NUMBER,
        cell=0,
        state=state,
        weight=DEFAULT_WEIGHT,
        started_ns=0,
    )


def serialize_entry(entry: EndpointEntry, address: Address, names: NameRegistry) -> dict[str, Any]:
    """The entry as discovery sends it; `_parse_entry` reverses this."""
    return {
        ENDPOINT_ID_KEY: entry.endpoint.decode(),
        ADDRESS_KEY: f"{address[0]}:{address[1]}",
        ZONE_KEY: _name_of(names.zones, entry.zone),
        KIND_KEY: _name_of(names.kinds, entry.kind),
        CELL_KEY: entry.cell,
        STATE_KEY: next(name for name, state in STATES_BY_WIRE_NAME.items() if state == entry.state),
        WEIGHT_KEY: entry.weight,
        STARTED_MS_KEY: entry.started_ns // MS,
    }


def _name_of(numbers_by_name: dict[str, int], number: int) -> str:
    """The name that has the number; empty for UNKNOWN_NUMBER."""
    return next((name for name, known in numbers_by_name.items() if known == number), "")
