"""The model checker detects the absence of each safety rule of the ordering protocol."""

import pytest

from frostpost.simulator.explore_context import exploring
from frostpost.simulator.explore_plants import PLANTS
from frostpost.simulator.explore_search import breadth_first
from frostpost.simulator.explore_state import Scenario
from frostpost.simulator.explore_walks import replay_moves, violated_rules


def make_scenario(replicas=3, voters=3, timed=False, slow_syncs=False, **budget):
    return Scenario(replicas, voters, timed=timed, slow_syncs=slow_syncs, budget=budget)


SEARCHED = {
    "acknowledge_unsynced": ({"synced"}, make_scenario(propose=1), 1),
    "minority_primary": ({"synced", "quorum"}, make_scenario(propose=1), 1),
    "deliver_unsafe": ({"synced"}, make_scenario(propose=1), 1),
    "one_acknowledgement": ({"synced"}, make_scenario(propose=1), 1),
    "receipts_are_enough": ({"synced"}, make_scenario(slow_syncs=True, propose=1), 1),
    "unbound_logs_count": ({"synced"}, make_scenario(slow_syncs=True, propose=1), 1),
    "never_bound": ({"epoch"}, make_scenario(propose=2), 2),
    "promise_anything": ({"progress"}, make_scenario(propose=2), 2),
    "confirm_unsynced": ({"synced"}, make_scenario(ask=1, propose=1), 2),
    "own_changes_only": ({"synced", "quorum"}, make_scenario(4, propose=1, revote=1), 2),
    "no_changes": ({"synced", "quorum"}, make_scenario(4, propose=1, revote=1), 2),
    "base_before_rebroadcast": ({"kept"}, Scenario(4, 3, 1, founded=False, budget={"propose": 2}), 2),
    "any_voters": ({"voters"}, make_scenario(4, 4, revote=2), 2),
    "always_leased": ({"lease"}, make_scenario(timed=True, freeze=1, thaw=1), 2),
    "echo_for_all": ({"lease"}, make_scenario(timed=True, freeze=1, thaw=1), 2),
    "lease_from_receipt": ({"lease"}, make_scenario(timed=True, freeze=1, thaw=1), 2),
    "no_rebroadcast": ({"progress"}, make_scenario(propose=1, ask=1), 2),
    "no_resend": ({"progress"}, make_scenario(propose=1, ask=1), 2),
}
REPLAYED = {"apply_before_ready", "old_voters_keep", "old_voters_commit", "stale_voters", "confirmed_keeps"}


def test_every_plant_has_a_search_or_a_recorded_trace():
    assert set(SEARCHED) | REPLAYED == set(PLANTS)


@pytest.mark.parametrize("plant", sorted(SEARCHED))
def test_search_finds_a_counterexample_that_only_fails_with_the_plant(plant):
    rules, scenario, deviations = SEARCHED[plant]
    with exploring(scenario, plant):
        counterexample, _ = breadth_first(scenario, deviations)
        assert counterexample is not None and violated_rules(counterexample.broken) == rules
        assert violated_rules(replay_moves(scenario, counterexample.moves, strict=True)) == rules
    with exploring(scenario):
        assert replay_moves(scenario, counterexample.moves, strict=True) == ()
