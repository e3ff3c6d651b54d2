"""What the nodes logged of the requests that broke a rule, for the report of a failure."""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence
from pathlib import Path

from rig.fleet.invariants import Violation
from rig.fleet.observations import ClientRequest, Observations

MAX_EXPLAINED_VIOLATIONS = 8
"""Violations that are reported with log lines; the others are mostly alike."""

LINES_OF_A_VIOLATION = 40
"""Most log lines of one violation."""

LOOK_BACK_S = 0.5
"""How long before a request its rig's delays are reported, in seconds."""

REQUEST_ID = re.compile(r"^[0-9a-f]+")
"""How a violation's text begins that names a request."""

NODE_ID = re.compile(r" id=\d+ ")
"""The id of a request in the log of its node."""


def explain(violations: Sequence[Violation], observations: Observations, folder: Path) -> str:
    """The violations, each with the log lines and the rig's own delays that concern its request."""
    parts = [f"{len(violations)} violations; logs of all nodes are in {folder}", _disturbance(observations)]
    for number, violation in enumerate(violations):
        parts.append(f"{violation.rule}: {violation.detail}")
        if number < MAX_EXPLAINED_VIOLATIONS:
            parts += [f"    {line}" for line in _evidence(violation, observations, folder)]
    return "\n".join(parts)


def _disturbance(observations: Observations) -> str:
    """How much other work on the machine disturbed the run, by figure."""
    node_waits = [waits.share() for waits in observations.node_waits.values()]
    rig_share = observations.rig_waits.share()
    longest = max(node_waits, default=0.0)
    return f"waits for a processor, parts of the run: rig {rig_share:.0%}, nodes up to {longest:.0%}"


def _evidence(violation: Violation, observations: Observations, folder: Path) -> Iterator[str]:
    """What is known of the request that a violation names."""
    match = REQUEST_ID.match(violation.detail)
    request = observations.requests.get(int(match[0], 16)) if match else None
    if request is None:
        return
    answers = ", ".join(f"{answer.keyword} at {answer.at_s:.3f}" for answer in request.answers) or "none"
    yield f"sent at {request.sent_s:.3f} to node {request.node}, answers: {answers}"
    for attempt in observations.attempts:
        if attempt.id == request.id:
            ended = "not ended" if attempt.ended_s is None else f"ended at {attempt.ended_s:.3f}"
            yield f"attempt at {attempt.endpoint}, began at {attempt.began_s:.3f}, {ended}"
    until_s = max((answer.at_s for answer in request.answers), default=request.sent_s + request.deadline_s)
    delay_s = observations.rig_delay_s(request.sent_s - LOOK_BACK_S, until_s)
    yield f"the rig's own loop was late by {delay_s:.3f} s in that time"
    node_wait_s = observations.node_waits[request.node].waited_s(request.sent_s, until_s)
    rig_wait_s = observations.rig_waits.waited_s(request.sent_s, until_s)
    yield f"waits for a processor since then: node {node_wait_s:.3f} s, rig {rig_wait_s:.3f} s"
    yield from _logged(request, folder)


def _logged(request: ClientRequest, folder: Path) -> list[str]:
    """What its node logged of the request: lines with its key, and those with the id that they have."""
    path = folder / f"n{request.node}.log"
    lines = path.read_text(errors="replace").splitlines() if path.exists() else []
    key = f" key={request.key:x} "
    ids = {match[0] for line in lines if key in line and (match := NODE_ID.search(line))}
    return [line for line in lines if any(node_id in line for node_id in ids)][:LINES_OF_A_VIOLATION]
