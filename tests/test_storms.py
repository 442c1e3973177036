import pytest

from frostpost.simulator.play import play

SHORT_GAP_MS = 700


@pytest.mark.parametrize("seed", range(101, 117))
def test_no_rule_is_violated_under_random_faults(seed):
    _, report = play(seed)
    assert report.decided > 200
    assert report.broken == []


@pytest.mark.parametrize("seed", range(201, 211))
def test_no_rule_is_violated_under_frequent_faults(seed):
    _, report = play(seed, gap_ms=SHORT_GAP_MS)
    assert report.broken == []


@pytest.mark.parametrize("seed", (301, 302, 303))
def test_no_rule_is_violated_in_a_full_fleet(seed):
    _, report = play(seed, 8, 3, 5, gap_ms=SHORT_GAP_MS)
    assert report.broken == []


@pytest.mark.parametrize(
    "kind",
    (
        "kill",
        "power",
        "all_down",
        "freeze",
        "cut",
        "pairs",
        "three",
        "lossy",
        "slow_disk",
        "lose_disk",
        "ack_power",
        "zone",
    ),
)
def test_no_rule_is_violated_under_a_single_kind_of_fault(kind):
    _, report = play(401, kinds=[kind], gap_ms=1500)
    assert len(report.trace) >= 8
    assert report.broken == []


def test_runs_of_the_same_seed_are_identical():
    first_world, first_report = play(7)
    second_world, second_report = play(7)
    assert first_report == second_report
    assert first_world.history == second_world.history
