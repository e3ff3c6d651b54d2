"""Moves a listener to the address of a reloaded configuration."""

from __future__ import annotations

from collections.abc import Callable

from linnetshift.event_loop.address import Address, format_address
from linnetshift.event_loop.loop import Loop
from linnetshift.lifecycle.bind_retry import BindRetry
from linnetshift.observability import log


class ListenerSwitch:
    """Keeps one listener at its former address until the new one can be bound, which it retries.

    Attributes:
        key: The key of the address in the proxy file.
        failure: Address and cause of the last failed attempt while it is retried; empty otherwise.
    """

    def __init__(
        self,
        loop: Loop,
        key: str,
        current_address: Callable[[], Address | None],
        listen: Callable[[Address], None],
        may_listen: Callable[[], bool] = lambda: True,
    ) -> None:
        """`listen` replaces the listener by one at the given address, or raises OSError and keeps it.

        Once `may_listen` returns False, no further attempt is made.
        """
        self.key = key
        self.failure = ""
        self._current_address = current_address
        self._listen = listen
        self._may_listen = may_listen
        self._retry = BindRetry(loop)
        self._address: Address | None = None

    def move_to(self, address: Address) -> None:
        """Listen at the address, at once or as soon as it can be bound."""
        if self.failure and address == self._address:
            return  # repeated anyway
        self.cancel()
        self._address = address
        if address != self._current_address():
            self._attempt()

    def cancel(self) -> None:
        """Keep the listener where it is."""
        self._retry.cancel()
        self.failure = ""

    def _attempt(self) -> None:
        assert self._address is not None
        if not self._may_listen():
            self.cancel()
            return
        try:
            self._listen(self._address)
        except OSError as error:
            self._handle_failure(self._address, error)
            self._retry.schedule(self._attempt)
            return
        if self.failure:
            log.info("listener-opened", key=self.key, address=format_address(self._address))
        self.cancel()

    def _handle_failure(self, address: Address, error: OSError) -> None:
        """Note the failure, and log it once for each address and cause."""
        failure = f"{format_address(address)}: {error.strerror}"
        if failure != self.failure:
            log.info(
                "listener-unavailable", key=self.key, address=format_address(address), error=error.strerror
            )
        self.failure = failure
