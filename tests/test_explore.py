"""The model checker on the product's code: a slice of what it walks by hand, and the runs that once broke a rule."""

from pathlib import Path

import pytest
from msgspec import json

from frostpost.simulator.explore import TIMED, UNTIMED
from frostpost.simulator.explore_context import exploring
from frostpost.simulator.explore_move_types import Ask, Crash, Next, Propose, Restart
from frostpost.simulator.explore_search import Found, begin, breadth_first
from frostpost.simulator.explore_state import Scenario
from frostpost.simulator.explore_transitions import make
from frostpost.simulator.explore_walks import replayed, rules, shortened, walk_at_random

RUNS = sorted((Path(__file__).parent / "explorations").glob("*.json"))


def load(path):
    return json.decode(path.read_bytes(), type=Found)


@pytest.mark.parametrize("path", RUNS, ids=lambda p: p.stem)
def test_a_run_that_broke_a_rule_breaks_it_only_with_its_mend_taken_out(path):
    found = load(path)
    with exploring(found.scenario):
        assert replayed(found.scenario, found.moves, strict=True) == ()
    with exploring(found.scenario, path.stem.split("-")[0]):
        assert rules(replayed(found.scenario, found.moves, strict=True)) == rules(found.broken)


def scenario(replicas, voters, kinds, timed=False, most=1, **more):
    return Scenario(replicas, voters, timed=timed, budget=dict.fromkeys(kinds, most), **more)


SLICES = {
    "one deviation": (scenario(3, 3, UNTIMED), 1),
    "one deviation beside a learner": (scenario(4, 3, UNTIMED), 1),
    "one deviation from empty disks": (scenario(3, 3, UNTIMED, founded=False), 1),
    "a proposal and a loss of power": (scenario(3, 3, ("propose", "crash")), 2),
    "a loss of power and a restart at any moment": (scenario(3, 3, ("crash", "restart", "ask")), 2),
    "one deviation on slow disks": (scenario(3, 3, UNTIMED, slow_syncs=True), 1),
    "one deviation beside a learner on slow disks": (scenario(4, 3, UNTIMED, slow_syncs=True), 1),
    "a proposal and a loss of power on slow disks": (scenario(3, 3, ("propose", "crash"), slow_syncs=True), 2),
    "one trouble under the clock": (scenario(3, 3, TIMED, timed=True), 1),
}


@pytest.mark.parametrize("name", SLICES)
def test_no_run_with_few_deviations_breaks_a_rule(name):
    world, deviations = SLICES[name]
    with exploring(world):
        found, figures = breadth_first(world, deviations)
    assert found is None
    assert figures.complete and figures.deviations == deviations and figures.quiet > 0


@pytest.mark.parametrize(
    "world",
    [
        scenario(3, 3, UNTIMED),
        scenario(4, 3, UNTIMED),
        scenario(5, 5, UNTIMED),
        scenario(3, 3, TIMED, timed=True),
        scenario(4, 3, UNTIMED, slow_syncs=True),
        scenario(5, 5, UNTIMED, slow_syncs=True),
        scenario(4, 3, TIMED, timed=True, slow_syncs=True),
    ],
    ids=["three", "a learner", "five", "under the clock", "a slow learner", "five slow", "slow under the clock"],
)
def test_no_random_walk_breaks_a_rule(world):
    with exploring(world):
        found, figures = walk_at_random(world, range(1, 11), 300)
    assert found is None
    assert figures.steps >= 2990


def test_the_same_search_meets_the_same_states():
    world = scenario(3, 3, ("propose", "crash"))
    with exploring(world):
        first, second = (breadth_first(world, 1)[1] for _ in range(2))
    assert (first.states, first.steps, first.layers) == (second.states, second.steps, second.layers)


def test_a_move_changes_no_world_but_its_own():
    world = scenario(3, 3, UNTIMED)
    with exploring(world):
        first = begin(world)
        before = json.encode([first.queue, first.history]), repr(first.replicas)
        later = first
        for move in (Ask("s2"), Propose("s3", ("s1", "s3")), Next(20), Crash("s1"), Restart("s1"), Next(20)):
            later = make(later, move)
        assert (json.encode([first.queue, first.history]), repr(first.replicas)) == before
    assert later.history != first.history


def test_a_run_is_made_as_short_as_its_fault():
    moves = (Ask("s2"), Next(30), Propose("s2", ("s1", "s2")), Next(30))
    world = scenario(3, 3, UNTIMED)
    with exploring(world, "acknowledge_unsynced"):
        found = Found(world, moves, replayed(world, moves))
        short = shortened(found)
    assert rules(found.broken) & rules(short.broken)
    assert len(short.moves) < len(moves)
