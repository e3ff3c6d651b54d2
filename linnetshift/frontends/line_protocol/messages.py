"""What the broker, the endpoint's connection and the frontend post to a client connection's mailbox.

Each is handled at the connection's next turn. `Io`, `Timeout`, `Resume` and `Stop` of the event loop arrive
in the same mailbox.
"""

from __future__ import annotations

from typing import NamedTuple


class Accepted(NamedTuple):
    """The endpoint has accepted the request, and the client was sent its receipt."""


class Rejected(NamedTuple):
    """The request was not executed and a retry is harmless."""

    retry_after_ns: int
    breach: str  # the limit of a contract that was exceeded; the line protocol has no place for it


class Failed(NamedTuple):
    """The request has failed for good, or may have been executed."""


class MigrationRequested(NamedTuple):
    """The client is to be migrated, between two lines of its endpoint."""

    reason: str  # the value of a `Reason`


class EndpointEnded(NamedTuple):
    """The endpoint ended the established connection."""

    outcome: int  # an `Outcome`
    was_reset: bool


class ShutdownNotice(NamedTuple):
    """This proxy takes no more requests."""
