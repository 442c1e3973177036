"""Each fault planted in the product violates the invariant that guards against it."""

import pytest
from fleet_simulator.plants import PLANTS, planted
from fleet_simulator.play import play
from test_fleet_simulator_races import SEEDS_BY_FAULT

DETECTION = {
    "claim_skipped": ("TWICE", [1], {}),
    "keys_by_host": ("TWICE", [1, 2, 3], {}),
    "promise_broken": ("REFUSED", [1], {}),
    "echo_unread": ("MIXED", [2, 1], {}),
    "cut_ended": ("ORDER", [1], {}),
    "resumed_always": ("ORDER", [1, 2, 3, 4], {}),
    "attempts_unbounded": ("BUDGET", [23, *range(1, 40)], {}),
    "tokens_forgotten": ("BUDGET", [1], {}),
    "empty_budget_unbounded": ("BUDGET", [1, 2, 3], {}),
    "end_unawaited": ("LOST", range(1, 13), {"closing": "power"}),
    "chain_reversed": ("UNASKED", [1], {}),
    "base_ignored": ("CONFIG", [3, 1], {}),
    "unordered_ack": ("CONFIG", [3, 1], {"kinds": ["node_kill_storage"]}),
    "lease_ignored": ("CONFIG", range(1, 13), {"kinds": ["node_cut_edge"], "storm_ms": 16000}),
    "drain_ignored": ("DRAIN", [1], {"kinds": ["scale_in"]}),
    "every_voter": ("RECOVER", [1], {"closing": "wipe"}),
}


def test_every_plant_has_an_expected_rule():
    assert set(DETECTION) | set(SEEDS_BY_FAULT) == set(PLANTS)


@pytest.mark.parametrize("plant", sorted(DETECTION))
def test_planted_fault_violates_its_rule(plant):
    rule, seeds, options = DETECTION[plant]
    reported = set()
    for seed in seeds:
        with planted(plant):
            _, report = play(seed, **{"kinds": [], "closing": "none", "storm_ms": 8000, **options})
        reported |= {violation.rule for violation in report.broken}
        if rule in reported:
            return
    raise AssertionError(f"{plant} was not detected; reported {reported}")
