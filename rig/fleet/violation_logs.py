"""Reports of violations, with what the nodes logged about the requests concerned."""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence
from pathlib import Path

from rig.fleet.invariants import Violation
from rig.fleet.observations import ClientRequest, Observations

MAX_EXPLAINED_VIOLATIONS = 8
"""Violations that are reported with log lines; further ones are mostly similar."""

MAX_LINES_PER_VIOLATION = 40
"""Upper bound of the log lines of one violation."""

LOOK_BACK_S = 0.5
"""How long before a request the reported delays of the rig start, in seconds."""

REQUEST_ID = re.compile(r"^[0-9a-f]+")
"""Request id at the start of a violation's text; not all violations have one."""

LOGGED_ID = re.compile(r" id=\d+ ")
"""Field of a log line with the id that the node gave the request."""


def explain(violations: Sequence[Violation], observations: Observations, folder: Path) -> str:
    """Text of the violations, each with the log lines and the rig's delays that concern its request."""
    parts = [
        f"{len(violations)} violations; logs of all nodes are in {folder}",
        _processor_waits(observations),
    ]
    for number, violation in enumerate(violations):
        parts.append(f"{violation.rule}: {violation.detail}")
        if number < MAX_EXPLAINED_VIOLATIONS:
            parts += [f"    {line}" for line in _request_details(violation, observations, folder)]
    return "\n".join(parts)


def _processor_waits(observations: Observations) -> str:
    """Share of the run in which the rig and the nodes waited for a processor."""
    node_waits = [waits.share() for waits in observations.node_waits.values()]
    rig_share = observations.rig_waits.share()
    longest = max(node_waits, default=0.0)
    return f"waits for a processor, parts of the run: rig {rig_share:.0%}, nodes up to {longest:.0%}"


def _request_details(violation: Violation, observations: Observations, folder: Path) -> Iterator[str]:
    """Details of the request that a violation names; nothing if it names none."""
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
    yield from _logged_lines(request, folder)


def _logged_lines(request: ClientRequest, folder: Path) -> list[str]:
    """Log lines of the request: those with an id that the node logged together with the request's key."""
    path = folder / f"n{request.node}.log"
    lines = path.read_text(errors="replace").splitlines() if path.exists() else []
    key = f" key={request.key:x} "
    ids = {match[0] for line in lines if key in line and (match := LOGGED_ID.search(line))}
    return [line for line in lines if any(node_id in line for node_id in ids)][:MAX_LINES_PER_VIOLATION]
