"""One real proxy: reads its configuration, wires the parts and runs until told to leave."""

from __future__ import annotations

import os
import signal
import sys
import time

from linnetshift.config.errors import ConfigurationError
from linnetshift.config.loader import read_files
from linnetshift.config.platform_listener import platform_listener
from linnetshift.lifecycle.hot_restart import TakeoverSocketPath, request_takeover
from linnetshift.observability import log
from linnetshift.proxy import Proxy


def catch_signals() -> int:
    """The pipe that tells of them. From the first moment: one that nobody catches ends the program.

    Python's own handler runs between two instructions; the byte it leaves wakes the poll.
    """
    # A pipe and no pair of sockets: where the platform leads all sockets, only those of IP work.
    reader, writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
    signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: None)
    return reader


def main() -> int:
    log.set_up()
    signals = catch_signals()
    try:
        config, own = read_files()
        given = platform_listener()
        place = TakeoverSocketPath(config.name) if given is not None else None
        program = Proxy(config, own, given, place, request_takeover(place) if place is not None else None)
    except ConfigurationError as error:
        print(f"linnetshift: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"linnetshift: cannot listen: {error.strerror}", file=sys.stderr)
        return 2
    program.watch_signals(signals)
    log.note(
        "process-started",
        name=config.name,
        listen=f"{config.listen[0]}:{config.listen[1]}",
        start_ms=int(time.process_time() * 1000),
    )
    program.log_settings()
    program.loop.run()
    program.hot_restart.end()
    return 0


if __name__ == "__main__":
    sys.exit(main())
