"""Simulated days with faults violate no invariant."""

import pytest
from fleet_simulator.play import play
from fleet_simulator.shapes import SHAPES

PLANNED_WORK = ("add_nodes", "scale_in", "retire", "roll_term", "roll_storage")


def assert_no_violations(report):
    assert [(violation.rule, violation.text) for violation in report.broken] == []
    assert report.odd == []


@pytest.mark.parametrize("seed", [1, 2, 3, 5, 8])
def test_no_invariant_is_violated_under_random_faults(seed):
    assert_no_violations(play(seed, storm_ms=9000, gap_ms=1800)[1])


@pytest.mark.parametrize("shape", [name for name in SHAPES if name != "three"])
def test_no_invariant_is_violated_on_other_shapes(shape):
    assert_no_violations(play(11, SHAPES[shape], storm_ms=7000, gap_ms=1800)[1])


@pytest.mark.parametrize("closing", ["power", "kill", "wipe"])
def test_acknowledged_data_survives_a_closing_fault(closing):
    assert_no_violations(play(21, kinds=[], storm_ms=3000, closing=closing)[1])


@pytest.mark.parametrize("seed", [22, 23, 24, 25])
def test_acknowledged_data_survives_lost_disks_and_power_loss_of_all_others(seed):
    assert_no_violations(play(seed, kinds=[], storm_ms=2000, closing="wipe")[1])


def test_planned_work_interrupts_no_request():
    assert_no_violations(play(31, kinds=PLANNED_WORK, storm_ms=12000, closing="none", odds={})[1])


def test_day_without_faults_serves_nearly_all_and_accepts_every_change():
    _, report = play(41, kinds=[], storm_ms=5000, closing="none", odds={})
    assert_no_violations(report)
    answered = report.tries.get(200, 0) + report.tries.get(402, 0) + report.tries.get(404, 0)
    assert answered * 100 > sum(report.tries.values()) * 97
    assert set(report.acks) <= {"acked", "400", "412"}


def test_seed_reproduces_the_same_day():
    first, second = (play(51, storm_ms=4000, closing="none")[1] for _ in range(2))
    assert (first.tries, first.trace, first.runs) == (second.tries, second.trace, second.runs)
