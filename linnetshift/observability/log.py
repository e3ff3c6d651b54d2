"""Log lines of key=value pairs, and the codes for why a connection ended."""

from __future__ import annotations

import logging
import select
import sys
import time
from enum import Enum
from typing import Any, TextIO

MOST_TOLD = 200  # characters of somebody else's text in a log line


class Reason(Enum):
    """Why a connection ended; every ended connection leaves one line with one of these."""

    SERVED = "served"  # its endpoint said BYE
    CLIENT_LEFT = "client-left"
    CLIENT_RESET = "client-reset"
    ENDPOINT_LEFT = "endpoint-left"
    ENDPOINT_RESET = "endpoint-reset"
    ENDPOINT_MIGRATED = "endpoint-migrated"  # a draining endpoint said MOVE
    MIGRATED = "migrated"  # this proxy said MOVE
    UNRESPONSIVE = "unresponsive"  # moved, since its endpoint brought nothing back
    STALLED = "stalled"  # its client stopped reading
    REJECTED = "rejected"
    FAILED = "failed"
    WITHDRAWN = "withdrawn"  # the client left before the answer
    BAD_LINE = "bad-line"
    REQUEST_TIMEOUT = "request-timeout"
    EVICTED = "evicted"  # a stranger, for want of descriptors
    PROBED = "probed"  # a frontend asked whether this proxy is ready
    ANSWERED = "answered"  # an operator's call
    EMPTY = "empty"  # ended without a line
    UNREACHABLE = "unreachable"
    ENDPOINT_FULL = "endpoint-full"
    ERROR = "error"
    TIMED_OUT = "timed-out"
    ABANDONED = "abandoned"
    SHUT_DOWN = "shut-down"
    CHANNEL_CLOSED = "channel-closed"
    PROTOCOL_ERROR = "protocol-error"
    FAULT = "fault"  # an error of this program's; its trace is logged beside


class KeyValueFormatter(logging.Formatter):
    """`ts=... level=... event=... key=value ...`; values with blanks or quotes are quoted."""

    def format(self, record: logging.LogRecord) -> str:
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs: dict[str, Any] = {
            "ts": f"{stamp}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        pairs.update(getattr(record, "pairs", {}) | {"event": record.getMessage()})
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={self.quote(value)}" for key, value in pairs.items())

    @staticmethod
    def quote(value: object) -> str:
        text = str(value.value if isinstance(value, Enum) else value)
        if text and not any(c <= " " or c in '"=\\' for c in text):
            return text
        escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
        return f'"{escaped}"'


logger = logging.getLogger("linnetshift")


def note(event: str, /, **pairs: object) -> None:
    logger.info(event, extra={"pairs": pairs})


def connection_ended(side: str, reason: Reason, /, **pairs: object) -> None:
    """The one line that an ended connection leaves."""
    own = {"side": side, "reason": reason}
    note("connection-ended", **(own | pairs | own))  # a report's column may have any name


def words(error: Exception) -> str:
    """What an error that was caught says, cut to what a line may hold.

    Its traceback is cut off: a library's frame in there may hold the error itself (h11's does), and that
    cycle would keep the frames of ours, and with them the connection, until a collector comes.
    """
    error.__traceback__ = None
    return str(error)[:MOST_TOLD]


def fault(error: Exception) -> None:
    logger.error("fault", exc_info=error)


class Patient(logging.StreamHandler[TextIO]):
    """Leaves lines out while whoever reads them does not, and says later how many: writing would block."""

    left_out = 0

    def emit(self, record: logging.LogRecord) -> None:
        try:
            writable = select.select([], [self.stream], [], 0)[1]
        except (OSError, ValueError):  # standard error is closed
            return
        if not writable:
            self.left_out += 1
            return
        if self.left_out:
            left_out, self.left_out = self.left_out, 0
            note("log-lines-dropped", count=left_out)
        super().emit(record)


def set_up() -> None:
    handler = Patient(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
