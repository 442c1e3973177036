"""Days on which tenants and their credentials come and go, and faults planted in how their clients' ids are kept."""

import pytest
from fleet_simulator.plants import TENANT_PLANTS, planted
from fleet_simulator.play import play
from fleet_simulator.tenant_changes import ChangingTenantsCrowd, keyless_document
from test_fleet_simulator_days import assert_no_violations

DETECTION = {
    "adoption_skipped": ("TWICE", [1, 2, 3]),
    "turns_not_adopted": ("LOST", [1, 2, 3]),
    "budgets_not_adopted": ("BUDGET", range(1, 13)),
    "former_holders_forgotten": ("LOST", range(2, 13, 2)),
}


def play_changes(seed, **options):
    """Play a day; with even seeds a tenant is there from the start, with odd ones there are no subscribers."""
    document = keyless_document(() if seed % 2 else ("tenant-a",))
    return play(seed, document=document, make_crowd=ChangingTenantsCrowd, **options)[1]


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_tenants_keep_what_they_did_while_credentials_come_and_go_under_random_faults(seed):
    assert_no_violations(play_changes(seed, storm_ms=9000, gap_ms=1800))


def test_every_plant_has_an_expected_rule():
    assert set(DETECTION) == set(TENANT_PLANTS)


@pytest.mark.parametrize("plant", sorted(DETECTION))
def test_planted_fault_violates_its_rule(plant):
    rule, seeds = DETECTION[plant]
    reported = set()
    for seed in seeds:
        with planted(plant):
            report = play_changes(seed, kinds=[], closing="none", storm_ms=8000)
        reported |= {violation.rule for violation in report.broken}
        if rule in reported:
            return
    raise AssertionError(f"{plant} was not detected; reported {reported}")
