"""Another process of this proxy that may live although the connection to it has ended."""

from __future__ import annotations

import os
import select
from collections.abc import Callable
from typing import NamedTuple

from linnetshift.event_loop.loop import Loop
from linnetshift.lifecycle.peer_process import MAX_UNCONFIRMED_DRAINS, PeerProcess, UnconfirmedDrain


class MissedDrain(NamedTuple):
    """The last administrative drain of an endpoint that the other process has not confirmed."""

    is_drained: bool
    on_applied: list[Callable[[], None]]


class LostPeer:
    """Keeps what the other process misses until it is connected again or has exited.

    A closed connection does not prove an exit: the process may have closed it over a fault, or because this
    one hung. Its process descriptor does.
    """

    def __init__(self, loop: Loop, peer_process: PeerProcess, on_exit: Callable[[], None]) -> None:
        """`on_exit` is called at most once, on a later turn; not if `has_exited` is true from the start."""
        self.loop = loop
        self.process_id = peer_process.process_id
        self.on_exit = on_exit
        self.missed_drains: dict[bytes, MissedDrain] = {}
        self.descriptor = -1
        self.has_exited = False
        for drain in peer_process.take_unconfirmed_drains():
            self.add_drain(drain)
        try:
            self.descriptor = os.pidfd_open(self.process_id)
        except OSError:  # it has exited and was reaped, or this system can't tell: then its silence decides
            self.has_exited = True
        else:
            loop.watch(self.descriptor, select.EPOLLIN, self._handle_exit)

    def add_drain(self, drain: UnconfirmedDrain) -> None:
        """Keep a drain that the other process has to apply; beyond the bound it is never confirmed."""
        former = self.missed_drains.get(drain.endpoint)
        callbacks = former.on_applied if former is not None else []
        if len(callbacks) < MAX_UNCONFIRMED_DRAINS:
            callbacks.append(drain.on_applied)
        if former is not None or len(self.missed_drains) < MAX_UNCONFIRMED_DRAINS:
            self.missed_drains[drain.endpoint] = MissedDrain(drain.is_drained, callbacks)

    def hand_over(self, peer_process: PeerProcess) -> None:
        """Send what was missed over a new connection to the process."""
        self._close()
        for endpoint, missed in self.missed_drains.items():
            for on_applied in missed.on_applied:
                peer_process.apply_administrative_drain(endpoint, missed.is_drained, on_applied)
        self.missed_drains.clear()

    def release(self) -> None:
        """Confirm what was missed, as the process sends no more requests to endpoints."""
        self._close()
        missed_drains = list(self.missed_drains.values())
        self.missed_drains.clear()
        for missed in missed_drains:
            for on_applied in missed.on_applied:
                on_applied()

    def _handle_exit(self, _mask: int) -> None:
        self.has_exited = True
        self._close()
        self.on_exit()

    def _close(self) -> None:
        if self.descriptor >= 0:
            self.loop.unwatch(self.descriptor)
            os.close(self.descriptor)
            self.descriptor = -1
