"""Messages that the broker, the endpoint's connection and the frontend post to a client connection.

Each is handled at the connection's next turn. `Io`, `Timeout`, `Resume` and `Stop` of the event loop arrive
in the same mailbox.
"""

from __future__ import annotations

from typing import NamedTuple


class Accepted(NamedTuple):
    """The endpoint has accepted the request, and its receipt has been sent to the client."""


class Rejected(NamedTuple):
    """The request was not executed, so a retry is safe."""

    retry_after_ns: int
    exceeded_limit: str  # the contract limit that was exceeded; the line protocol has no field for it


class Failed(NamedTuple):
    """The request has failed for good, or may have been executed."""


class MigrationRequested(NamedTuple):
    """The client is to be migrated; MOVE is sent between two lines from the endpoint."""

    reason: str  # the value of a `Reason`


class EndpointEnded(NamedTuple):
    """The endpoint ended the established connection."""

    outcome: int  # an `Outcome`
    was_reset: bool


class ShutdownNotice(NamedTuple):
    """This proxy is shutting down and accepts no more requests."""


class NextTurn:
    """Timer tag: the connection's next turn, for input that was read and left over."""
