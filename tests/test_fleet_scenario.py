"""Scenarios of the fleet rig: decoding and random streams."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from rig.fleet.scenario import Endpoints, Fault, ScenarioError, Traffic, load, parse


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('name = "x"\nnodes = 0', "`$.nodes`"),
        ('name = "x"\n[traffic]\narrivals_per_s = "fast"', "`$.traffic.arrivals_per_s`"),
        ('name = "x"\n[[faults]]\nat_s = 1.0\nkind = "flood"', "`$.faults[0].kind`"),
        ('name = "x"\n[[faults]]\nat_s = 1.0\nkind = "kill"\nnodes = [9]', "`$.faults[0]`"),
        ('name = "x"\n[[faults]]\nat_s = 1.0\nkind = "kill"', "needs nodes"),
        ('name = "x"\n[[faults]]\nat_s = 1.0\nkind = "drain"', "needs endpoints"),
        ('name = "x"\n[[faults]]\nat_s = 1.0\nkind = "pause"\nnodes = [-1]', "no number -1"),
        ('name = "x"\n[[faults]]\nat_s = 1.0\nkind = "slow"\nendpoints = [6]', "no number 6"),
        ('name = "x"\ncolour = "red"', "colour"),
        ("name = ", "nvalid"),
    ],
)
def test_invalid_scenario_is_rejected_with_its_path(text: str, message: str) -> None:
    with pytest.raises(ScenarioError) as caught:
        parse(text)
    assert message in str(caught.value)


def test_error_names_the_position_of_the_fault() -> None:
    fault = "[[faults]]\nat_s = 1.0\nkind = 'kill'\nnodes = [{node}]\n"
    with pytest.raises(ScenarioError, match=r"no number 3 - at `\$\.faults\[1\]`"):
        parse('name = "x"\n' + fault.format(node=2) + fault.format(node=3))


def test_omitted_values_of_a_scenario_file_have_defaults(tmp_path: Path) -> None:
    path = tmp_path / "scenario.toml"
    path.write_text(
        'name = "x"\n[endpoints]\ncores = 2.0\n[[faults]]\nat_s = 1\nkind = "cut"\nendpoints = [5]'
    )
    scenario = load(path)
    assert scenario.endpoints == Endpoints(cores=2.0)
    assert scenario.traffic == Traffic()
    assert scenario.faults == (Fault(at_s=1.0, kind="cut", endpoints=(5,)),)


def test_streams_of_a_scenario_are_independent_and_reproducible() -> None:
    scenario, reseeded = parse('name = "x"\nseed = 4'), parse('name = "x"\nseed = 5')
    assert scenario.stream("a").random() == scenario.stream("a").random() != scenario.stream("b").random()
    assert scenario.stream("a").random() != reseeded.stream("a").random()


def test_streams_do_not_use_the_global_generator() -> None:
    # Any import may draw from the global generator, so a run that used it would not be reproducible.
    state = random.getstate()
    parse('name = "x"').stream("keys").random()
    assert random.getstate() == state
