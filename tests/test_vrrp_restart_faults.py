"""Random hot restarts, ends of processes and changes of the VRRP role: who accepts channels after each.

The steps follow from the seed. The processes are real; clients and the VRRP peer tell what they see.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path

import pytest
from connections import WAIT_S
from proxy_harness import CHANNELS_ENABLED, started_proxy, successor_of
from running_proxy import RunningProxy
from vrrp_peer import VrrpPeer, open_channel, vrrp_peer, wait_until_refused

STEPS = 8
"""Steps of one run."""

MAX_PROCESSES = 3
"""Processes of the proxy that live at a time: the newest, the one that it replaced, and that one's."""

RESUMABLE_FOR_S = 4.0
"""How long after its replacement a process is expected to be able to resume; it exits after 8 s."""

PAUSE_S = 0.15
"""How long a paused process stands still."""


class ProxyProcess:
    """One process of the proxy, and what the run did to it."""

    def __init__(self, running: RunningProxy, has_vrrp: bool) -> None:
        self.running = running
        self.has_vrrp = has_vrrp
        self.replaced_at_s = 0.0
        self.connection = running.establish()
        """Both ends of a connection that stays: the process lives on while it is open."""

    def has_exited(self) -> bool:
        """Whether the process has ended; an exit that nobody asked for fails the run."""
        status = self.running.process.poll()
        assert status is None or (status == 0 and self.replaced_at_s), f"ended with {status}"
        return status is not None

    def can_resume(self) -> bool:
        """Whether the process accepts again if its successor ends now."""
        return not self.has_exited() and time.monotonic() - self.replaced_at_s < RESUMABLE_FOR_S


class RandomRestarts:
    """One run: the processes of the proxy, oldest first, and its VRRP peer."""

    def __init__(self, seed: int, peer: VrrpPeer, first: ProxyProcess, stack: ExitStack) -> None:
        self.random = random.Random(seed)
        self.peer = peer
        self.peer_holds_role = False
        self.processes = [first]
        self.stack = stack
        self.channels: list[object] = []
        """Channels that stay open."""

    @property
    def newest(self) -> ProxyProcess:
        """The process that accepts."""
        return self.processes[-1]

    def run(self) -> None:
        """Take the steps, and check who accepts channels after each."""
        self.check()
        for _ in range(STEPS):
            step = self.random.choice(self.possible_steps())
            step()
            self.processes = [process for process in self.processes if not process.has_exited()]
            self.check()

    def possible_steps(self) -> list[Callable[[], None]]:
        """The steps that can be taken now."""
        steps = [self.change_role]
        if len(self.processes) < MAX_PROCESSES:
            steps += [self.restart, self.restart]
        if len(self.processes) > 1:
            steps += [self.kill_oldest, self.terminate_oldest, self.pause_predecessor]
            if self.processes[-2].can_resume():
                steps.append(self.kill_newest)
        return steps

    def change_role(self) -> None:
        """Have the peer take or release the role."""
        self.peer_holds_role = not self.peer_holds_role
        if self.peer_holds_role:
            self.peer.hold_role()
        else:
            self.peer.release_role()

    def restart(self) -> None:
        """Replace the newest process, with VRRP switched on, off or left as it is."""
        has_vrrp = self.random.random() < 0.7
        broker_file = self.newest.running.config.parent / "broker.toml"
        enabled = CHANNELS_ENABLED.replace("PORT", str(self.newest.running.channels_port))
        broker_file.write_text(enabled + (self.peer.vrrp_table() if has_vrrp else ""))
        new = self.stack.enter_context(successor_of(self.newest.running))
        new.wait_until_ready()
        self.newest.replaced_at_s = time.monotonic()
        self.processes.append(ProxyProcess(new, has_vrrp))

    def kill_newest(self) -> None:
        """Kill the process that accepts; the one that it replaced resumes."""
        self.end(self.processes.pop())
        self.newest.running.logged("event=successor-gone")
        self.newest.running.wait_until_ready()
        self.newest.replaced_at_s = 0.0

    def kill_oldest(self) -> None:
        """Kill a process that was replaced."""
        self.end(self.processes.pop(0))

    def terminate_oldest(self) -> None:
        """Have a process that was replaced shut down; it lives on for up to 3 s, beside the next steps."""
        self.processes.pop(0).running.terminate()

    def pause_predecessor(self) -> None:
        """Let the process that the newest one replaced stand still for a moment."""
        with self.processes[-2].running.stopped():
            time.sleep(PAUSE_S)

    def end(self, process: ProxyProcess) -> None:
        """Kill a process."""
        process.running.process.kill()
        process.running.process.wait(WAIT_S)

    def check(self) -> None:
        """Channels are accepted by the newest process exactly if it has no VRRP or is the active router."""
        running = self.newest.running
        if not self.newest.has_vrrp:
            self.channels.append(open_channel(running))
        elif self.peer_holds_role:
            wait_until_refused(running.channels_port)
        else:
            self.peer.discard_received()
            self.peer.wait_until_active()
            self.channels.append(open_channel(running))


@pytest.mark.parametrize("seed", [*range(6), 1002, 1104])
def test_channels_are_accepted_by_the_active_router_alone(tmp_path: Path, seed: int) -> None:
    # Guards against what the review found: ended processes, refused clients and clients left in a queue.
    with ExitStack() as stack:
        peer = stack.enter_context(vrrp_peer())
        broker_toml = CHANNELS_ENABLED + peer.vrrp_table()
        first = stack.enter_context(
            started_proxy(tmp_path, broker_toml=broker_toml, admin_server=True, inherits_listener=True)
        )
        RandomRestarts(seed, peer, ProxyProcess(first, has_vrrp=True), stack).run()
