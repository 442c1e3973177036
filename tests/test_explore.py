"""The model checker on the product's code: searches short enough for CI, and runs that once violated an invariant."""

from pathlib import Path

import pytest
from msgspec import json

from frostpost.simulator.explore import TIMED_KINDS, UNTIMED_KINDS
from frostpost.simulator.explore_context import exploring
from frostpost.simulator.explore_move_types import Crash, Next, Propose, Restart, Submit
from frostpost.simulator.explore_search import Counterexample, breadth_first, initial_world
from frostpost.simulator.explore_state import Scenario
from frostpost.simulator.explore_transitions import apply_move
from frostpost.simulator.explore_walks import random_walks, replay_moves, shrink, violated_rules

TRACES = sorted((Path(__file__).parent / "explorations").glob("*.json"))


def load(path):
    return json.decode(path.read_bytes(), type=Counterexample)


@pytest.mark.parametrize("path", TRACES, ids=lambda p: p.stem)
def test_fixed_counterexample_fails_only_with_its_safety_rule_switched_off(path):
    trace = load(path)
    with exploring(trace.scenario):
        assert replay_moves(trace.scenario, trace.moves, strict=True) == ()
    with exploring(trace.scenario, path.stem.split("-")[0]):
        assert violated_rules(replay_moves(trace.scenario, trace.moves, strict=True)) == violated_rules(trace.broken)


def make_scenario(replicas, voters, kinds, timed=False, most=1, **options):
    return Scenario(replicas, voters, timed=timed, budget=dict.fromkeys(kinds, most), **options)


SEARCHES = {
    "one deviation": (make_scenario(3, 3, UNTIMED_KINDS), 1),
    "one deviation with a learner": (make_scenario(4, 3, UNTIMED_KINDS), 1),
    "one deviation from empty disks": (make_scenario(3, 3, UNTIMED_KINDS, founded=False), 1),
    "a proposal and a power loss": (make_scenario(3, 3, ("propose", "crash")), 2),
    "a power loss and a restart": (make_scenario(3, 3, ("crash", "restart", "ask")), 2),
    "one deviation on slow disks": (make_scenario(3, 3, UNTIMED_KINDS, slow_syncs=True), 1),
    "one deviation with a learner on slow disks": (make_scenario(4, 3, UNTIMED_KINDS, slow_syncs=True), 1),
    "a proposal and a power loss on slow disks": (make_scenario(3, 3, ("propose", "crash"), slow_syncs=True), 2),
    "one deviation with a clock": (make_scenario(3, 3, TIMED_KINDS, timed=True), 1),
}


@pytest.mark.parametrize("name", SEARCHES)
def test_breadth_first_search_finds_no_violation(name):
    scenario, deviations = SEARCHES[name]
    with exploring(scenario):
        counterexample, statistics = breadth_first(scenario, deviations)
    assert counterexample is None
    assert statistics.complete and statistics.deviations == deviations and statistics.quiet > 0


@pytest.mark.parametrize(
    "scenario",
    [
        make_scenario(3, 3, UNTIMED_KINDS),
        make_scenario(4, 3, UNTIMED_KINDS),
        make_scenario(5, 5, UNTIMED_KINDS),
        make_scenario(3, 3, TIMED_KINDS, timed=True),
        make_scenario(4, 3, UNTIMED_KINDS, slow_syncs=True),
        make_scenario(5, 5, UNTIMED_KINDS, slow_syncs=True),
        make_scenario(4, 3, TIMED_KINDS, timed=True, slow_syncs=True),
    ],
    ids=[
        "three voters",
        "a learner",
        "five voters",
        "with a clock",
        "a learner on slow disks",
        "five voters on slow disks",
        "slow disks with a clock",
    ],
)
def test_random_walks_find_no_violation(scenario):
    with exploring(scenario):
        counterexample, statistics = random_walks(scenario, range(1, 11), 300)
    assert counterexample is None
    assert statistics.steps >= 2990


def test_breadth_first_search_is_deterministic():
    scenario = make_scenario(3, 3, ("propose", "crash"))
    with exploring(scenario):
        first, second = (breadth_first(scenario, 1)[1] for _ in range(2))
    assert (first.states, first.steps, first.layers) == (second.states, second.steps, second.layers)


def test_applying_moves_leaves_earlier_worlds_unchanged():
    scenario = make_scenario(3, 3, UNTIMED_KINDS)
    with exploring(scenario):
        first = initial_world(scenario)
        before = json.encode([first.queue, first.history]), repr(first.replicas)
        later = first
        for move in (Submit("s2"), Propose("s3", ("s1", "s3")), Next(20), Crash("s1"), Restart("s1"), Next(20)):
            later = apply_move(later, move)
        assert (json.encode([first.queue, first.history]), repr(first.replicas)) == before
    assert later.history != first.history


def test_shrinking_keeps_a_violated_rule_and_removes_moves():
    moves = (Submit("s2"), Next(30), Propose("s2", ("s1", "s2")), Next(30))
    scenario = make_scenario(3, 3, UNTIMED_KINDS)
    with exploring(scenario, "acknowledge_unsynced"):
        counterexample = Counterexample(scenario, moves, replay_moves(scenario, moves))
        shrunk = shrink(counterexample)
    assert violated_rules(counterexample.broken) & violated_rules(shrunk.broken)
    assert len(shrunk.moves) < len(moves)
