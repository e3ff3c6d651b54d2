"""The client listening socket, where the platform opens it and passes it to the process."""

from __future__ import annotations

import os
import socket

from linnetshift.config.errors import EnvironmentVariableError

LISTENER_VARIABLE = "GW_LISTEN_FD"


def platform_listener() -> socket.socket | None:
    """The listening socket passed by the platform, or None if there is none.

    Raises EnvironmentVariableError if the variable is not the descriptor of a listening socket.
    """
    descriptor = os.environ.get(LISTENER_VARIABLE)
    if not descriptor:
        return None
    try:
        listener = socket.socket(fileno=int(descriptor))
        if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ValueError("does not listen")
    except (ValueError, OSError) as error:
        reason = error.strerror if isinstance(error, OSError) else error
        raise EnvironmentVariableError(LISTENER_VARIABLE, f"names no listening socket: {reason}") from None
    return listener
