"""The entry point of one proxy process: signals and exit status."""

from __future__ import annotations

import os
import signal
import sys
import time

from linnetshift.config.errors import ConfigurationError
from linnetshift.config.loader import load_broker_file, load_proxy_file
from linnetshift.config.platform_listener import platform_listener
from linnetshift.lifecycle.broker_file_state import import_broker_file
from linnetshift.lifecycle.takeover_socket import TakeoverSocketPath, request_takeover
from linnetshift.observability import log
from linnetshift.proxy import Proxy

EXIT_UNUSABLE_CONFIGURATION = 2
CAUGHT_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def catch_signals() -> int:
    """Catch the signals that the proxy handles; returns the descriptor at which their numbers arrive.

    Call this before anything else, as an uncaught signal ends the process. Python runs the handlers between
    two of its instructions; the byte that each signal writes to the pipe wakes the event loop.
    """
    # A pipe instead of a socket pair: where the platform redirects all sockets, only IP sockets work.
    reader, writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
    signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
    for number in CAUGHT_SIGNALS:
        signal.signal(number, lambda *_: None)
    return reader


def ignore_signals() -> None:
    """Ignore the signals from now on: Python restores the default action of caught signals when it ends."""
    for number in CAUGHT_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def start_proxy() -> Proxy:
    """Start the proxy that the environment describes; it takes over from a running process if there is one.

    Raises ConfigurationError if the proxy file or a variable cannot be used, OSError if one of its addresses
    cannot.
    """
    config = load_proxy_file()
    listener = platform_listener()
    if listener is None:
        return Proxy.start(config, load_broker_file())
    socket_path = TakeoverSocketPath(config.name)
    predecessor = request_takeover(socket_path)
    broker_file = load_broker_file(import_broker_file(predecessor))
    return Proxy.start(config, broker_file, listener, socket_path, predecessor)


def main() -> int:
    """Run the proxy until it has shut down; returns the exit status."""
    log.configure()
    wakeup_pipe = catch_signals()
    try:
        proxy = start_proxy()
    except ConfigurationError as error:
        print(f"linnetshift: {error}", file=sys.stderr)
        return EXIT_UNUSABLE_CONFIGURATION
    except OSError as error:
        print(f"linnetshift: cannot listen: {error.strerror}", file=sys.stderr)
        return EXIT_UNUSABLE_CONFIGURATION
    proxy.watch_signals(wakeup_pipe)
    log.info(
        "process-started",
        name=proxy.config.name,
        listen=f"{proxy.config.listen[0]}:{proxy.config.listen[1]}",
        start_ms=int(time.process_time() * 1000),
    )
    proxy.log_configuration()
    proxy.loop.run()
    ignore_signals()
    proxy.hot_restart.end()
    return 0


if __name__ == "__main__":
    sys.exit(main())
