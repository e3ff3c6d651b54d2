"""Messages between two processes of one proxy during a hot restart.

Each message is one line of JSON: an object whose `say` names its kind. The two processes may be of different
versions: the keys and their order are fixed, and unknown kinds and keys are ignored.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType
from typing import Any, NamedTuple

from linnetshift.broker.latency_estimator import ConnectionLoad
from linnetshift.observability import log

KIND_KEY = "say"
STATE_KIND = "state"
DRAIN_KIND = "ban"
DRAIN_CONFIRMED_KIND = "held"
HEARTBEAT_KIND = "beat"

ENDPOINT_KEY = "provider"
IS_DRAINED_KEY = "out"
NUMBER_KEY = "number"

STREAMS_KEY = "streams"
MIGRATED_KEY = "moved"
LOADS_KEY = "loads"

ENDPOINT_LIST_KEY = "list"
ADMINISTRATIVE_DRAINS_KEY = "bans"
TOKEN_BUCKETS_KEY = "budgets"
PEER_RESOURCES_KEY = "holdings"
SNAPSHOT_KEY = "memory"
IS_VRRP_ACTIVE_KEY = "active"
CLOSES_LISTENER_KEY = "closes_listener"
BROKER_FILE_KEY = "broker_file"
DESCRIPTOR_NAMES_KEY = "passed"

# Bounds of what a peer may report: no process has more descriptors than the kernel's usual hard limit, and a
# counter that is only incremented by one stays far below 63 bits.
MAX_PEER_DESCRIPTORS = 1 << 20
MAX_MIGRATED = 1 << 62

# Raised by reading a JSON document of the wrong shape: absent keys, wrong types, numbers out of range, bytes
# that are not UTF-8 (UnicodeDecodeError is a ValueError) and nesting too deep for the parser.
_WRONG_SHAPE_ERRORS = (AttributeError, KeyError, OverflowError, RecursionError, TypeError, ValueError)


class MessageError(Exception):
    """A peer's message or a part of its state is invalid; the text names the cause, of bounded length."""

    def __init__(self, cause: Exception) -> None:
        """`cause` loses its traceback, see `log.error_text`."""
        super().__init__(f"{type(cause).__name__}: {log.error_text(cause)}")


class PeerResources(NamedTuple):
    """Resources that one process holds during a hot restart; the proxy's limits apply to the sum of both."""

    streams: int = 0  # open descriptors
    migrated: int = 0  # clients migrated since the process started
    # Established connections by endpoint.
    loads: Mapping[bytes, list[ConnectionLoad]] = MappingProxyType({})

    def to_json(self) -> dict[str, object]:
        """Return the keys shared by the heartbeat and the exported state.

        Raises UnicodeDecodeError where an endpoint's name is not UTF-8.
        """
        loads = {
            endpoint.decode(): [(connection.load, connection.group) for connection in connections]
            for endpoint, connections in self.loads.items()
        }
        return {STREAMS_KEY: self.streams, LOADS_KEY: loads, MIGRATED_KEY: self.migrated}

    @classmethod
    def from_json(cls, document: Any) -> PeerResources:
        """Parse the keys of `to_json`; absent ones count as empty.

        Raises MessageError where a value has the wrong type or is out of range.
        """
        try:
            return cls._parse(document)
        except _WRONG_SHAPE_ERRORS as error:
            raise MessageError(error) from error

    @classmethod
    def _parse(cls, document: Any) -> PeerResources:
        """Raise one of _WRONG_SHAPE_ERRORS where the document is invalid."""
        streams = int(document.get(STREAMS_KEY, 0))
        migrated = int(document.get(MIGRATED_KEY, 0))
        loads = {
            endpoint.encode(): [
                ConnectionLoad(None if load is None else float(load), int(group), 0)
                for load, group in connections
            ]
            for endpoint, connections in document.get(LOADS_KEY, {}).items()
        }
        if not 0 <= streams <= MAX_PEER_DESCRIPTORS or not 0 <= migrated < MAX_MIGRATED:
            raise ValueError("impossible holdings")
        if not all(map(_are_loads_valid, loads.values())):
            raise ValueError("impossible load")
        return cls(streams, migrated, loads)


def _are_loads_valid(connections: list[ConnectionLoad]) -> bool:
    """Whether all reported loads are finite and not negative."""
    loads = [connection.load for connection in connections if connection.load is not None]
    return all(math.isfinite(load) and load >= 0.0 for load in loads)


class PlainMessage(Enum):
    """A message that consists of its kind alone."""

    HELLO = "hello"  # the new process requests the state of the one that it replaces
    SERVING = "serving"  # the new process accepts connections; the old one is to stop accepting
    STOPPED = "stopped"  # the old process no longer accepts connections
    REJOIN = "rejoin"  # the old process, which has been replaced, connects again
    REJOINED = "rejoined"  # the answer to it

    def to_json(self) -> dict[str, object]:
        """Return the object to send."""
        return {KIND_KEY: self.value}


class ExportedState(NamedTuple):
    """The answer to `PlainMessage.HELLO`: everything that the new process needs to take over."""

    endpoint_list: dict[str, Any]  # in discovery's form
    administrative_drains: dict[str, Any]
    token_buckets: dict[str, list[list[float] | None]]  # by team
    peer_resources: PeerResources
    snapshot: dict[str, Any]  # of the balancer and the latency estimator
    is_vrrp_active: bool
    closes_listener: bool  # the channels listener, as soon as the sender is replaced
    broker_file: dict[str, Any]  # the broker file's parts in force
    descriptors: dict[str, int]  # sockets by name, passed as ancillary data in this order

    def to_json(self) -> dict[str, object]:
        """Return the object to send."""
        return {
            KIND_KEY: STATE_KIND,
            ENDPOINT_LIST_KEY: self.endpoint_list,
            ADMINISTRATIVE_DRAINS_KEY: self.administrative_drains,
            TOKEN_BUCKETS_KEY: self.token_buckets,
            PEER_RESOURCES_KEY: self.peer_resources.to_json(),
            SNAPSHOT_KEY: self.snapshot,
            IS_VRRP_ACTIVE_KEY: self.is_vrrp_active,
            DESCRIPTOR_NAMES_KEY: list(self.descriptors),
            CLOSES_LISTENER_KEY: self.closes_listener,
            BROKER_FILE_KEY: self.broker_file,
        }


class AdministrativeDrain(NamedTuple):
    """An operator drained or restored an endpoint at the sender; the receiver is to do the same."""

    endpoint: bytes
    is_drained: bool
    number: int  # the confirmation repeats it

    def to_json(self) -> dict[str, object]:
        """Return the object to send; raises UnicodeDecodeError where the endpoint's name is not UTF-8."""
        return {
            KIND_KEY: DRAIN_KIND,
            ENDPOINT_KEY: self.endpoint.decode(),
            IS_DRAINED_KEY: self.is_drained,
            NUMBER_KEY: self.number,
        }


class AdministrativeDrainConfirmed(NamedTuple):
    """The sender, and every other process connected to it, has applied the drain of this number."""

    number: int

    def to_json(self) -> dict[str, object]:
        """Return the object to send."""
        return {KIND_KEY: DRAIN_CONFIRMED_KIND, NUMBER_KEY: self.number}


class Heartbeat(NamedTuple):
    """The resources that the sender holds at the moment, sent at intervals."""

    peer_resources: PeerResources

    def to_json(self) -> dict[str, object]:
        """Return the object to send."""
        return {KIND_KEY: HEARTBEAT_KIND, **self.peer_resources.to_json()}


class UnknownMessage(NamedTuple):
    """A message of a kind that is unknown to this version or not expected at this point; it is ignored."""

    kind: str


SentMessage = PlainMessage | ExportedState | AdministrativeDrain | AdministrativeDrainConfirmed | Heartbeat
# Without the exported state: a new process reads that separately, before it decodes any message.
ReceivedMessage = (
    PlainMessage | AdministrativeDrain | AdministrativeDrainConfirmed | Heartbeat | UnknownMessage
)


def encode_message(message: SentMessage) -> bytes:
    """Return the message as a line of JSON, line end included."""
    return json.dumps(message.to_json()).encode() + b"\n"


def decode_message(line: bytes | bytearray) -> ReceivedMessage:
    """Decode one complete line of a peer; raises MessageError where it is invalid."""
    try:
        return _parse_message(line)
    except _WRONG_SHAPE_ERRORS as error:
        raise MessageError(error) from error


def _parse_message(line: bytes | bytearray) -> ReceivedMessage:
    """Raise MessageError or one of _WRONG_SHAPE_ERRORS where the line is invalid."""
    document = json.loads(line)
    kind = document[KIND_KEY]
    if not isinstance(kind, str):
        raise ValueError("says nothing")
    if kind == DRAIN_KIND:
        return AdministrativeDrain(
            str(document[ENDPOINT_KEY]).encode(), bool(document[IS_DRAINED_KEY]), int(document[NUMBER_KEY])
        )
    if kind == DRAIN_CONFIRMED_KIND:
        return AdministrativeDrainConfirmed(int(document[NUMBER_KEY]))
    if kind == HEARTBEAT_KIND:
        return Heartbeat(PeerResources.from_json(document))
    try:
        return PlainMessage(kind)
    except ValueError:
        return UnknownMessage(kind)
