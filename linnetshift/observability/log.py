"""Structured logging of key=value lines to standard error, and the reason codes of ended connections.

Event names, field names and reason codes are an interface: operators and `bench/fleet_log.py` search for
them.
"""

from __future__ import annotations

import logging
import re
import select
import sys
import time
from enum import Enum
from typing import Any, TextIO

# Texts from peers and libraries are truncated to this many characters, so that no peer can flood the log.
MAX_LOGGED_CHARS = 200
# Blanks, control characters, and the characters that separate or quote values in a log line.
NEEDS_QUOTES = re.compile(r'[\x00-\x20"=\\]')


class Reason(Enum):
    """Why a connection ended; every ended connection is logged once, with one of these."""

    SERVED = "served"  # its endpoint closed it with BYE
    CLIENT_LEFT = "client-left"  # its client closed its side
    CLIENT_RESET = "client-reset"  # its client reset it
    ENDPOINT_LEFT = "endpoint-left"  # its endpoint closed its side without BYE
    ENDPOINT_RESET = "endpoint-reset"  # its endpoint reset it
    ENDPOINT_MIGRATED = "endpoint-migrated"  # a draining endpoint sent MOVE
    MIGRATED = "migrated"  # this proxy sent MOVE
    UNRESPONSIVE = "unresponsive"  # migrated, as its endpoint no longer replied
    STALLED = "stalled"  # its client stopped reading
    REJECTED = "rejected"  # not done, due to a limit, load shedding, or no endpoint in time
    FAILED = "failed"  # not served, and may have had effects
    WITHDRAWN = "withdrawn"  # the client left before the final answer
    BAD_LINE = "bad-line"  # the peer sent a line outside the protocol
    REQUEST_TIMEOUT = "request-timeout"  # no complete request arrived in time
    EVICTED = "evicted"  # closed without a request in progress, as descriptors were short
    PROBED = "probed"  # the client only checked whether this proxy is ready
    ANSWERED = "answered"  # an administrative call or a health check was answered
    EMPTY = "empty"  # closed without a request
    UNREACHABLE = "unreachable"  # the connection to the endpoint could not be opened
    ENDPOINT_FULL = "endpoint-full"  # the endpoint answered BUSY
    ERROR = "error"  # the endpoint answered with an error
    TIMED_OUT = "timed-out"  # the endpoint did not answer in time
    ABANDONED = "abandoned"  # the proxy no longer needed the attempt
    SHUT_DOWN = "shut-down"  # this proxy is shutting down
    CHANNEL_CLOSED = "channel-closed"  # an SSH channel was closed by its client
    PROTOCOL_ERROR = "protocol-error"  # the peer violated the SSH protocol
    FAULT = "fault"  # an error in this program; the event `fault` has its traceback


class KeyValueFormatter(logging.Formatter):
    """`ts=... level=... event=... key=value ...`; values with blanks or quotes are quoted."""

    def format(self, record: logging.LogRecord) -> str:
        """Format the record as one line; times are in UTC with milliseconds."""
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs: dict[str, Any] = {
            "ts": f"{timestamp}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        # Pairs may have any name, such as a column of a load report, but must not replace the event.
        pairs.update(getattr(record, "pairs", {}) | {"event": record.getMessage()})
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={self.quote(value)}" for key, value in pairs.items())

    @staticmethod
    def quote(value: object) -> str:
        """The value as text, quoted and escaped if it is empty or not a single word."""
        text = str(value.value if isinstance(value, Enum) else value)
        if text and NEEDS_QUOTES.search(text) is None:
            return text
        escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
        return f'"{escaped}"'


logger = logging.getLogger("linnetshift")


def info(event: str, /, **pairs: object) -> None:
    """Log an event with its fields, in the given order."""
    logger.info(event, extra={"pairs": pairs})


def exception(error: Exception) -> None:
    """Log an internal error with its traceback."""
    logger.error("fault", exc_info=error)


def connection_ended(side: str, reason: Reason, /, **pairs: object) -> None:
    """Log the end of a connection; called once for each connection.

    `side` is the part that owned it, such as client, endpoint, admin or health-check.
    """
    leading_pairs = {"side": side, "reason": reason}
    # First in the line, and never replaced: columns of a load report may have any name.
    info("connection-ended", **(leading_pairs | pairs | leading_pairs))


def error_text(error: Exception) -> str:
    """The message of a caught error, truncated to MAX_LOGGED_CHARS; clears the error's traceback.

    A library's frame in the traceback may refer to the error itself, as in h11. That cycle would keep the
    frames, and with them the connection, in memory until the garbage collector runs.
    """
    error.__traceback__ = None
    return str(error)[:MAX_LOGGED_CHARS]


class NonBlockingStreamHandler(logging.StreamHandler[TextIO]):
    """Drops lines while the stream is not writable, and logs their number afterwards.

    Writing to a full pipe would block the single thread that serves all connections.
    """

    dropped_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record if the stream is writable."""
        try:
            writable = select.select([], [self.stream], [], 0)[1]
        except (OSError, ValueError):  # standard error is closed
            return
        if not writable:
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            dropped_lines = self.dropped_lines
            self.dropped_lines = 0  # before `info`, which calls this method again
            info("log-lines-dropped", count=dropped_lines)
        super().emit(record)


def configure() -> None:
    """Start logging to standard error; called once, at the start of the process."""
    handler = NonBlockingStreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
