"""Run a scenario: N real processes, emulated peers, clients, and the faults at their times."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

from rig.fleet.client_load import ClientLoad
from rig.fleet.deployment import Deployment
from rig.fleet.fault_injection import FaultInjector
from rig.fleet.invariants import InvariantChecker, Violation
from rig.fleet.node_settings import DRAIN_GRACE_S
from rig.fleet.observations import Observations
from rig.fleet.scenario import Scenario


@dataclass
class Report:
    """Result of a run."""

    violations: list[Violation]
    observations: Observations
    crashes: list[str]
    """Nodes that ended by themselves, with their exit status."""

    @property
    def served_share(self) -> float:
        """Seconds in which messages came back in time, as a part of all that clients wanted."""
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
    return Report(violations, observations, crashes)


async def _run_traffic(deployment: Deployment) -> None:
    dropping = asyncio.ensure_future(deployment.drop_overload())
    injector = FaultInjector(deployment)
    faults = [asyncio.ensure_future(injector.inject(fault)) for fault in deployment.scenario.faults]
    await ClientLoad(deployment).run()
    await asyncio.gather(*faults)
    await deployment.background.wait()
    dropping.cancel()
