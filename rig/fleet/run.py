"""Runs a scenario: processes of the program, emulated peers, clients and faults."""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass
from pathlib import Path

from rig.fleet.client_load import ClientLoad
from rig.fleet.deployment import Deployment
from rig.fleet.fault_injection import FaultInjector
from rig.fleet.invariants import InvariantChecker, Violation
from rig.fleet.node_settings import DRAIN_GRACE_S
from rig.fleet.observations import Delay, Observations, RunClock
from rig.fleet.scenario import Scenario
from rig.fleet.violation_logs import explain

DELAY_SAMPLE_S = 0.01
"""Interval at which the delay of the rig's loop is measured, in seconds."""

NEGLIGIBLE_DELAY_S = 0.002
"""Delays of the loop up to this are not recorded, in seconds."""

WAIT_SAMPLE_S = 0.05
"""Interval at which processor waits are sampled, in seconds."""


@dataclass
class Report:
    """Result of a run."""

    violations: list[Violation]
    observations: Observations
    crashes: list[str]
    """Nodes that ended unexpectedly, with their exit status."""

    folder: Path
    """Folder of the nodes' logs."""

    def explain(self) -> str:
        """Text of the violations, with the nodes' log lines about the requests concerned."""
        return explain(self.violations, self.observations, self.folder)

    @property
    def served_share(self) -> float:
        """Share of the wanted time in which messages were echoed in time."""
        return self.observations.served_s / max(self.observations.wanted_s, 1e-9)


def run_scenario(scenario: Scenario, folder: Path) -> Report:
    """Run a scenario in real time; the nodes' logs and files go to the folder."""
    return asyncio.run(_run(scenario, folder))


async def _run(scenario: Scenario, folder: Path) -> Report:
    deployment = Deployment(scenario, folder)
    try:
        await deployment.open()
        await deployment.start()
        await _run_traffic(deployment)
    finally:
        await deployment.close()
    observations = deployment.observations
    violations = InvariantChecker(observations, DRAIN_GRACE_S).violations()
    crashes = [crash for node in deployment.nodes for crash in node.crashes]
    return Report(violations, observations, crashes, folder)


async def _record_delays(observations: Observations, clock: RunClock) -> None:
    """Record the delays of the rig's own event loop, until cancelled."""
    while True:
        due_s = clock() + DELAY_SAMPLE_S
        await asyncio.sleep(DELAY_SAMPLE_S)
        late_s = clock() - due_s
        if late_s > NEGLIGIBLE_DELAY_S:
            observations.rig_delays.append(Delay(clock(), late_s))


async def _record_processor_waits(deployment: Deployment) -> None:
    """Sample the processor waits of the rig and of all nodes, until cancelled."""
    observations = deployment.observations
    while True:
        now_s = deployment.clock()
        observations.rig_waits.sample(os.getpid(), now_s)
        for node in deployment.nodes:
            if node.process is not None:
                observations.node_waits[node.number].sample(node.process.pid, now_s)
        await asyncio.sleep(WAIT_SAMPLE_S)


async def _run_traffic(deployment: Deployment) -> None:
    background = [
        asyncio.ensure_future(work)
        for work in (
            _record_delays(deployment.observations, deployment.clock),
            _record_processor_waits(deployment),
            deployment.drop_overload(),
        )
    ]
    injector = FaultInjector(deployment)
    faults = [asyncio.ensure_future(injector.inject(fault)) for fault in deployment.scenario.faults]
    await ClientLoad(deployment).run()
    await asyncio.gather(*faults)
    await deployment.background.wait()
    for task in background:
        task.cancel()
