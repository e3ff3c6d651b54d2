"""What is on the simulator's wire: codes of the records, messages beside events and actions, limits.

Source: the simulator's wire protocol ("Read, decide, reply", "Handle these", "Send these"). Where
its name for a record differs, the comment behind the code has it.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from linnetshift.routing.events import Event

LENGTH_BYTES = 4
"""Size of the field that opens a frame: the bytes of the whole frame, this field included."""
MAX_FRAME_BYTES = 1 << 30
"""Far above any batch (they can be megabytes long): a greater length means that the input is malformed."""
MAX_TEXT_BYTES = 0xFFFF
"""Texts carry a length of two bytes; longer ones are cut."""


class WireError(ValueError):
    """A frame that breaks the wire's rules; as the start of the next one is unknown, the process ends."""


class Create(NamedTuple):
    """An instance starts without state."""

    salt: int  # seed of its random numbers
    settings: bytes  # JSON


class Halt(NamedTuple):
    """An instance is killed and loses all its state."""


WireEvent = Event | Create | Halt


InstanceEvents = tuple[int, list[WireEvent]]
"""Number of an instance, and its events that follow each other in a batch, in order of arrival.

A plain pair: with named tuples for this and for the batch, decoding recorded batches took over 20% longer in
a trial.
"""


class InstanceFault(NamedTuple):
    """An instance that failed and the error's text, which ends a reply."""

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
    SELECT_INSTANCE = 12  # On: whose events the following records are


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
    SELECT_INSTANCE = 13  # As: whose actions the following records are
