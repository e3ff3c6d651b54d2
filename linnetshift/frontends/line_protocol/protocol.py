"""The line protocol's keywords, field names and messages on the wire.

Covers what a client connection itself reads or writes; lines relayed between a client and an endpoint are not
interpreted.
"""

from __future__ import annotations

LINE_END = b"\r\n"

# Request line: OPEN <request id> <key> [<field>=<value>,...]; id and key are hexadecimal.
OPEN = b"OPEN"
MAX_HEXADECIMAL_DIGITS = 16  # ids, keys and groups are 64 bits wide

CLASS_FIELD = b"c"
TENANT_FIELD = b"t"
RETRY_FIELD = b"r"  # "1": the client repeats a request that got no answer
RETURNED_FIELD = b"again"  # "1": the client's previous connection was migrated
DEADLINE_FIELD = b"d"  # in milliseconds from when the client sent the line
MAX_DEADLINE_DIGITS = 9
ADOPTED_FIELD = b"at"  # the endpoint of a connection that was established before this process started
GROUP_FIELD = b"g"
LOAD_HINT_FIELD = b"h"
FLAG_SET = b"1"

# Readiness queries, which may precede the request line.
PING = b"PING"
STATS = b"STATS"
QUERIES = (PING, STATS)
QUERY_PREFIX_BYTES = 6  # the longest query and the first byte of its line end
PONG_LINE = b"PONG\r\n"
NO_STATS_LINE = b"NO\r\n"  # this proxy itself has no load report

# Answers to a request line, and the notice that ends an established connection.
ERROR_LINE = b"ERR\r\n"
BUSY_LINE = b"BUSY\r\n"  # not executed: an immediate retry is safe
MOVE_LINE = b"MOVE\r\n"


def encode_busy(retry_after_ms: int) -> bytes:
    """Return the answer to a rejected request; with 0 it gives no retry delay."""
    return b"BUSY %d\r\n" % retry_after_ms if retry_after_ms else BUSY_LINE
