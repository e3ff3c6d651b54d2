"""Constants of the simulator's wire: record codes, messages other than events and actions, limits.

Source: the simulator's wire protocol ("Read, decide, reply", "Handle these", "Send these"). Where its name
for a record differs, the comment after the code gives it.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from linnetshift.routing.events import Event

LENGTH_BYTES = 4
"""Size of the length field at the start of a frame; the length includes this field."""
MAX_FRAME_BYTES = 1 << 30
"""Far above the megabytes that a batch can have; a greater length means that the input is malformed."""
MAX_TEXT_BYTES = 0xFFFF
"""Highest value of the two-byte length of a text; longer texts are truncated."""


class WireError(ValueError):
    """A malformed frame. The process ends, as the start of the next frame is unknown."""


class Create(NamedTuple):
    """An instance starts without state."""

    seed: int  # of its random numbers
    settings: bytes  # JSON


class Halt(NamedTuple):
    """An instance is killed and loses all its state."""


WireEvent = Event | Create | Halt


InstanceEvents = tuple[int, list[WireEvent]]
"""The number of an instance and a run of its events in a batch, in order of arrival.

A plain pair: with named tuples for this and for the batch, decoding of recorded batches took over 20% longer.
"""


class InstanceFault(NamedTuple):
    """The number of an instance that failed and the text of its error; the last record of a reply."""

    instance: int
    text: str


class EventCode(IntEnum):
    """Codes of the records in a batch."""

    CREATE = 0
    ENDPOINT_LIST = 1  # Membership
    REQUEST = 2  # Inbound
    CONNECTION_ESTABLISHED = 3  # Begun
    ATTEMPT_ENDED = 4  # Result
    REQUEST_WITHDRAWN = 5  # Withdrawn
    TIMER_FIRED = 6  # Alarm
    HEALTH_CHECK_RESULT = 7  # Sampled
    PEER_MESSAGE = 8  # Mail
    HALT = 9
    ADOPTED_CONNECTION = 10  # AlreadyOpen
    CONNECTION_NOTE = 11  # Change
    SELECT_INSTANCE = 12  # On: the instance of the following events


class ActionCode(IntEnum):
    """Codes of the records in a reply."""

    SEND = 0  # SubmitTo
    REJECT = 1  # Deny
    FAIL = 2  # GiveUp
    CANCEL = 3  # Retract
    SET_TIMER = 4  # NotifyMe
    HEALTH_CHECK = 5  # Probe
    SEND_PEER_MESSAGE = 7  # Notify
    LOG = 8  # Record
    FAULT = 9
    WATCH = 10  # Listen
    FETCH_LIST = 11  # Reload
    MIGRATE = 12  # Reassign
    SELECT_INSTANCE = 13  # As: the instance of the following actions
