"""Structured log lines of key=value pairs, and the reason codes for why a connection ended.

Lines go to standard error. Event names, field names and reason codes are an interface: on-call staff and
`bench/fleet_log.py` search for them.
"""

from __future__ import annotations

import logging
import re
import select
import sys
import time
from enum import Enum
from typing import Any, TextIO

# Text that a peer or a library wrote is cut to this many characters, so that no peer can flood the log.
MAX_LOGGED_CHARS = 200
# Blanks and control characters, and what separates or quotes in a log line.
NEEDS_QUOTES = re.compile(r'[\x00-\x20"=\\]')


class Reason(Enum):
    """Why a connection ended; every ended connection leaves one line with one of these."""

    SERVED = "served"  # its endpoint ended it with BYE
    CLIENT_LEFT = "client-left"  # its client ended its side
    CLIENT_RESET = "client-reset"  # its client reset it
    ENDPOINT_LEFT = "endpoint-left"  # its endpoint ended its side without BYE
    ENDPOINT_RESET = "endpoint-reset"  # its endpoint reset it
    ENDPOINT_MIGRATED = "endpoint-migrated"  # a draining endpoint sent MOVE
    MIGRATED = "migrated"  # this proxy sent MOVE
    UNRESPONSIVE = "unresponsive"  # migrated, since its endpoint no longer answered
    STALLED = "stalled"  # its client stopped reading
    REJECTED = "rejected"  # the request was not done: a limit, load shedding, or no endpoint in time
    FAILED = "failed"  # the request was not served, and may have had effects
    WITHDRAWN = "withdrawn"  # the client left before the answer
    BAD_LINE = "bad-line"  # the peer sent a line outside the protocol
    REQUEST_TIMEOUT = "request-timeout"  # no whole request came in time
    EVICTED = "evicted"  # it had no request under way, and descriptors ran short
    PROBED = "probed"  # the client only asked whether this proxy is ready
    ANSWERED = "answered"  # an administrative call or a health check got its answer
    EMPTY = "empty"  # ended without a request
    UNREACHABLE = "unreachable"  # the connection to the endpoint did not come up
    ENDPOINT_FULL = "endpoint-full"  # the endpoint answered BUSY
    ERROR = "error"  # the endpoint answered with an error
    TIMED_OUT = "timed-out"  # the endpoint did not answer in time
    ABANDONED = "abandoned"  # the proxy no longer needed the attempt
    SHUT_DOWN = "shut-down"  # this proxy is shutting down
    CHANNEL_CLOSED = "channel-closed"  # an SSH channel was closed by its client
    PROTOCOL_ERROR = "protocol-error"  # the peer broke the SSH protocol
    FAULT = "fault"  # an error in this program; the event `fault` has its traceback


class KeyValueFormatter(logging.Formatter):
    """`ts=... level=... event=... key=value ...`; values with blanks or quotes are quoted."""

    def format(self, record: logging.LogRecord) -> str:
        """One line for the record; times are UTC with milliseconds."""
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs: dict[str, Any] = {
            "ts": f"{timestamp}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        # A pair may have any name, as a load report's column has, but never replaces the event.
        pairs.update(getattr(record, "pairs", {}) | {"event": record.getMessage()})
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={self.quote(value)}" for key, value in pairs.items())

    @staticmethod
    def quote(value: object) -> str:
        """The value as text, in quotes with escapes where it would not read back as one word."""
        text = str(value.value if isinstance(value, Enum) else value)
        if text and NEEDS_QUOTES.search(text) is None:
            return text
        escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
        return f'"{escaped}"'


logger = logging.getLogger("linnetshift")


def info(event: str, /, **pairs: object) -> None:
    """Log one event with its fields, in the order given."""
    logger.info(event, extra={"pairs": pairs})


def exception(error: Exception) -> None:
    """Log an error in this program, with its traceback."""
    logger.error("fault", exc_info=error)


def connection_ended(side: str, reason: Reason, /, **pairs: object) -> None:
    """Log the one line that an ended connection leaves.

    `side` is the part that owned it: client, endpoint, admin, health-check and such.
    """
    leading_pairs = {"side": side, "reason": reason}
    # Written first, and never replaced: a load report's column may have any name.
    info("connection-ended", **(leading_pairs | pairs | leading_pairs))


def error_text(error: Exception) -> str:
    """The message of a caught error, cut to MAX_LOGGED_CHARS; its traceback is dropped.

    A library's frame in the traceback may refer to the error itself (h11's does). That cycle would keep this
    program's frames alive, and with them the connection, until the garbage collector runs.
    """
    error.__traceback__ = None
    return str(error)[:MAX_LOGGED_CHARS]


class NonBlockingStreamHandler(logging.StreamHandler[TextIO]):
    """Drops lines while the reader of the stream does not keep up, and later logs how many.

    Writing to a full pipe would block the one thread that serves all connections.
    """

    dropped_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record if the stream takes it now."""
        try:
            writable = select.select([], [self.stream], [], 0)[1]
        except (OSError, ValueError):  # standard error is closed
            return
        if not writable:
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            dropped_lines = self.dropped_lines
            self.dropped_lines = 0  # before the next line, which calls this method again
            info("log-lines-dropped", count=dropped_lines)
        super().emit(record)


def configure() -> None:
    """Log to standard error from now on; called once, at the start of the process."""
    handler = NonBlockingStreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
