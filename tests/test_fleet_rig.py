"""Several real processes under faults between them; and the rig itself: its links, its rules, its files."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest

from rig.fleet.ledger import Asked, Attempt, Ledger, Referee, Start
from rig.fleet.links import Link
from rig.fleet.play import Report, play
from rig.fleet.scenario import ScenarioError, parse

CROWD = """
        [servers]
        cores = 2.0
        cold_from = 0.13
        [traffic]
        rate = 80.0
"""
COLD = """
        [[faults]]
        at_s = 0.3
        kind = "replace"
        servers = [0, 1, 2, 3, 4]
        for_s = 0.8
"""
PLAYS = {
    "a proxy killed and back, another stopped": """
        [[faults]]
        at_s = 1.0
        kind = "kill"
        nodes = [0]
        for_s = 0.5
        [[faults]]
        at_s = 1.2
        kind = "stop"
        nodes = [1]
        for_s = 1.0
    """,
    "half of the servers replaced while a proxy restarts": """
        [[faults]]
        at_s = 0.8
        kind = "replace"
        servers = [0, 1, 2]
        for_s = 1.5
        [[faults]]
        at_s = 1.0
        kind = "restart"
        nodes = [2]
        for_s = 0.2
    """,
    "one server cut from one proxy only, one way, and a slow link": """
        [[faults]]
        at_s = 0.5
        kind = "cut-back"
        nodes = [0]
        servers = [1]
        for_s = 1.5
        [[faults]]
        at_s = 0.5
        kind = "delay"
        nodes = [1]
        servers = [2, 3]
        delay_s = 0.05
        for_s = 2.0
    """,
    "servers that answer late, and one that never does to one proxy": """
        [[faults]]
        at_s = 0.4
        kind = "slow"
        servers = [0, 1]
        delay_s = 0.8
        for_s = 1.5
        [[faults]]
        at_s = 0.4
        kind = "silent"
        nodes = [1]
        servers = [2]
        for_s = 1.0
    """,
    "a crowd while five of six servers are cold": CROWD + COLD,
    "half of a crowd through one proxy while five of six servers are cold": CROWD + "busiest = 0.5" + COLD,
    "discovery cut from a third, while a server drains": """
        [[faults]]
        at_s = 0.5
        kind = "cut-back"
        nodes = [0]
        discovery = true
        for_s = 1.5
        [[faults]]
        at_s = 0.6
        kind = "drain"
        servers = [0]
        for_s = 2.0
    """,
}


def sound(report: Report) -> None:
    assert report.broken == [] and report.crashed == []
    asked = report.ledger.asked.values()
    assert len(asked) > 30 and any(word == "UP" for one in asked for _, word in one.answers)


@pytest.mark.parametrize(
    "name, nodes",
    [(name, 3 if place % 2 else 8) for place, name in enumerate(PLAYS)] + [(list(PLAYS)[1], 24)],
)
def test_processes_under_faults_keep_the_rules(tmp_path: Path, name: str, nodes: int) -> None:
    sound(play(parse(f'name = "{name}"\nnodes = {nodes}\n{PLAYS[name]}'), tmp_path))


KILLS = """
        [[faults]]
        at_s = 0.6
        kind = "kill"
        nodes = [0, 1, 2, 3, 4, 5, 6, 7]
        for_s = 0.3
"""


@pytest.mark.parametrize(
    "nodes, busiest, faults", [(24, 0.0, ""), (32, 0.0, ""), (32, 0.5, ""), (32, 0.0, KILLS)]
)
def test_many_processes_use_cold_servers_within_what_they_bear(
    tmp_path: Path, nodes: int, busiest: float, faults: str
) -> None:
    # What part they use is the matter of tests/test_slow_start.py: here loads are told nowhere, and a process
    # that has just started knows of no connection yet.
    text = f'name = "cold"\nnodes = {nodes}\n{CROWD}busiest = {busiest}\n{COLD}{faults}'
    report = play(parse(text), tmp_path)
    sound(report)
    sent, bears = report.ledger.cold_use()
    assert 0 < sent <= bears


def run(ledger: Ledger) -> set[str]:
    return {broken.rule for broken in Referee(ledger, 0.5).broken()}


def a_request(**changes: object) -> Ledger:
    ledger = Ledger()
    asked = Asked(1, 0, 1.0, 2.0, 7, [(1.1, "UP")])
    for key, value in changes.items():
        setattr(asked, key, value)
    ledger.asked[1] = asked
    return ledger


def with_attempts(*attempts: Attempt) -> Ledger:
    ledger = a_request()
    ledger.attempts += attempts
    return ledger


def cold(sends: int) -> Ledger:
    ledger = Ledger(starts=[Start("s", 10.0, 10.0, 2.0, lambda age: 4.0)])
    ledger.attempts += [Attempt(n, 0, "s", 11.0 + n * 0.01, 11.0 + n * 0.01) for n in range(sends)]
    return ledger


def told_to_drain(at: float) -> Ledger:
    ledger = with_attempts(Attempt(1, 0, "s", at, at))
    ledger.tell(0, "s", "DRAINING", 5.0)
    return ledger


def cut(ledger: Ledger) -> Ledger:
    ledger.cut[0, "a"].append((0.5, 9.0))
    return ledger


def away(ledger: Ledger) -> Ledger:
    ledger.away[0].append((0.5, 9.0))
    return ledger


@pytest.mark.parametrize(
    "ledger, rules",
    [
        (a_request(), set()),
        (a_request(answers=[]), {"unanswered"}),
        (a_request(answers=[(3.9, "BUSY")]), {"unanswered"}),
        (away(a_request(answers=[])), set()),
        (a_request(answers=[(1.1, "BUSY"), (1.2, "UP")]), {"answered-twice"}),
        (with_attempts(Attempt(1, 0, "a", 1.0, 1.5), Attempt(1, 0, "b", 1.4, 1.6)), set()),
        (with_attempts(Attempt(1, 0, "a", 1.0, None), Attempt(1, 0, "b", 1.4, 1.6)), {"two-attempts"}),
        (cut(with_attempts(Attempt(1, 0, "a", 1.0, None), Attempt(1, 0, "b", 1.4, 1.6))), set()),
        (told_to_drain(5.4), set()),
        (told_to_drain(5.9), {"drained"}),
        (cold(10), set()),
        (cold(11), {"overrun"}),
    ],
)
def test_each_rule_can_be_broken(ledger: Ledger, rules: set[str]) -> None:
    assert run(ledger) == rules


@pytest.mark.parametrize(
    "text, says",
    [
        ('name = "x"\nnodes = 0', "`$.nodes`"),
        ('name = "x"\n[traffic]\nrate = "fast"', "`$.traffic.rate`"),
        ('name = "x"\n[[faults]]\nat_s = 1.0\nkind = "flood"', "`$.faults[0].kind`"),
        ('name = "x"\n[[faults]]\nat_s = 1.0\nkind = "kill"\nnodes = [9]', "`$.faults[0]`"),
        ('name = "x"\n[[faults]]\nat_s = 1.0\nkind = "kill"', "needs nodes"),
        ('name = "x"\ncolour = "red"', "colour"),
        ("name = ", "nvalid"),
    ],
)
def test_a_wrong_scenario_is_refused_with_the_place(text: str, says: str) -> None:
    with pytest.raises(ScenarioError) as caught:
        parse(text)
    assert says in str(caught.value)


def test_streams_of_one_scenario_are_apart_and_the_same_again() -> None:
    one, other = parse('name = "x"\nseed = 4'), parse('name = "x"\nseed = 5')
    assert one.stream("a").random() == one.stream("a").random() != one.stream("b").random()
    assert one.stream("a").random() != other.stream("a").random()


async def through(fault: str) -> list[str]:
    """What an echo sends back through a link at fault, what after that, and how the connection ends."""

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            heard.append(line)
            writer.write(line)
        writer.close()

    heard: list[bytes] = []
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    link = Link(("127.0.0.1", server.sockets[0].getsockname()[1]))
    await link.open()
    reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
    writer.write(b"one\n")
    told = [(await reader.readline()).decode().strip()]
    link.cut_there, link.cut_back = fault in ("cut", "cut-there"), fault in ("cut", "cut-back")
    if fault == "reset":
        link.reset()
    try:
        writer.write(b"two\n")
        told.append((await asyncio.wait_for(reader.readline(), 0.3)).decode().strip())
    except TimeoutError:
        told.append("silence")
    except ConnectionResetError:
        told.append("reset")
    told.append(str(len(heard)))
    writer.close()
    await link.close()
    server.close()
    return told


@pytest.mark.parametrize(
    "fault, told",
    [
        ("none", ["one", "two", "2"]),
        ("cut", ["one", "silence", "1"]),
        ("cut-there", ["one", "silence", "1"]),
        ("cut-back", ["one", "silence", "2"]),
        ("reset", ["one", "reset", "1"]),
    ],
)
def test_a_link_fails_as_it_is_told(fault: str, told: list[str]) -> None:
    assert asyncio.run(through(fault)) == told


def test_what_is_random_is_named() -> None:
    # The rig's own draws must not hang on the module-wide generator, which any import may move on.
    state = random.getstate()
    parse('name = "x"').stream("keys").random()
    assert random.getstate() == state
