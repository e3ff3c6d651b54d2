"""The broker file's parts in force, in the state that a successor takes over.

They are the last good versions of parts that the successor cannot use as it starts.
"""

from __future__ import annotations

from typing import Any

import msgspec

from linnetshift.config.broker_file import BrokerFileReading
from linnetshift.lifecycle.takeover_messages import BROKER_FILE_KEY
from linnetshift.lifecycle.takeover_socket import PredecessorState
from linnetshift.observability import log
from linnetshift.observability.log import MAX_LOGGED_CHARS


def export_broker_file(reading: BrokerFileReading) -> dict[str, Any]:
    """Return the reading as an object that can be encoded as JSON, by the names of its fields."""
    exported: dict[str, Any] = msgspec.to_builtins(reading)
    return exported


def import_broker_file(predecessor: PredecessorState | None) -> BrokerFileReading | None:
    """Return what is in force at the predecessor; None where there is none, or an older version."""
    exported = predecessor.state.get(BROKER_FILE_KEY) if predecessor is not None else None
    if exported is None:
        return None
    try:
        return msgspec.convert(exported, BrokerFileReading)
    except msgspec.ValidationError as error:
        log.info("imported-state-rejected", error=str(error)[:MAX_LOGGED_CHARS])
        return None
